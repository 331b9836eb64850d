"""Fetches a newer version, and the directory, from peers."""

import dataclasses
import random
from collections.abc import Callable

import trio

from buckthornstage import clock as clocks
from buckthornstage.membership import peer as peer_state
from buckthornstage.mesh import peers, versions

FETCH_ATTEMPTS = 3
FETCH_PATIENCE_MS = 500
"""A peer that has not sent its copy by then may be frozen; another is asked beside it."""


@dataclasses.dataclass
class _Fetches:
    """Fetches that run beside each other; `asked` holds the versions that the asked peers had
    told, as a peer may tell a newer one meanwhile."""

    nursery: trio.Nursery
    asked: dict[str, int] = dataclasses.field(default_factory=dict)
    begun: int = 0
    running: set[str] = dataclasses.field(default_factory=set)


class PeerFetches:
    """Fetches from one peer after the other; `on_fetched()` is called after each that succeeded."""

    def __init__(
        self,
        clock: clocks.Clock,
        own_peers: peers.Peers,
        own_versions: versions.Versions,
        on_fetched: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.peers = own_peers
        self.directory = own_peers.directory
        self.versions = own_versions
        self.on_fetched = on_fetched
        self.is_running = False

    async def fetch(self, peer: peer_state.Peer) -> None:
        """Fetches from a peer, and from others while these have a newer version: after it, and
        beside it if it may be frozen."""
        try:
            async with trio.open_nursery() as nursery:
                fetches = _Fetches(nursery)
                nursery.start_soon(self._fetch_beside, fetches)
                await self._fetch_in_turn(peer, fetches)
        finally:
            self.is_running = False

    async def _fetch_in_turn(self, peer: peer_state.Peer | None, fetches: _Fetches) -> None:
        while peer is not None and fetches.begun < FETCH_ATTEMPTS:
            address = peer.entry.link_address
            fetches.begun += 1
            fetches.running.add(address)
            fetches.asked[address] = peer.version
            # With a configuration a peer also sends its directory, so the node need not wait for
            # the store.
            if await self.versions.fetch(address):
                self.on_fetched()
            fetches.running.discard(address)
            peer = self._peer_to_ask(fetches)
        if not fetches.running or not self._newer_peers({}):
            fetches.nursery.cancel_scope.cancel()

    async def _fetch_beside(self, fetches: _Fetches) -> None:
        while fetches.begun < FETCH_ATTEMPTS:
            await trio.sleep(FETCH_PATIENCE_MS / 1000)
            peer = self._peer_to_ask(fetches)
            if peer is not None:
                fetches.nursery.start_soon(self._fetch_in_turn, peer, fetches)

    def _newer_peers(self, asked: dict[str, int]) -> list[peer_state.Peer]:
        """Peers with a newer version than this node's, and than when they were asked."""
        own, peers_by_address = self.peers.version, self.directory.peers.items()
        return [p for a, p in peers_by_address if p.version > max(own, asked.get(a, 0))]

    def _peer_to_ask(self, fetches: _Fetches) -> peer_state.Peer | None:
        """A random reachable peer with a newer version; first those not asked, of the own zone."""
        now_ms = self.clock.now_ms()
        groups: dict[tuple[bool, bool], list[peer_state.Peer]] = {}
        for peer in self._newer_peers(fetches.asked):
            address = peer.entry.link_address
            if peer.is_reachable(now_ms) and address not in fetches.running:
                order = (address in fetches.asked, not self.directory.is_in_own_zone(peer))
                groups.setdefault(order, []).append(peer)
        return random.choice(groups[min(groups)]) if groups else None
