"""Which peers a node observes closely; their number does not grow with the fleet.

Watched are the nodes that may read the store for the own zone, a few others, and the ingresses of
the services that calls go to: those in the own zone, and those in other zones while the own zone
does not suffice. Each node selects by its own order, so that about equally many nodes watch each
ingress.
"""

import heapq
import itertools
import operator
from collections.abc import Iterable

from buckthornstage.membership import peer as peer_state
from buckthornstage.membership import store_readers

Peers = tuple[peer_state.Peer, ...]

LOCAL_PER_SERVICE = 16
REMOTE_PER_SERVICE = 8
BASE_PER_SIDE = 2
"""Peers in the own zone, and in all other zones together, that are watched without any call."""
READER_CANDIDATES = store_readers.READERS_PER_ZONE + 1
"""Nodes that read the store for the own zone, and the one that takes over."""
DEMAND_MS = 10_000
"""A service counts as called for this time after a call."""
REMOTE_DEMAND_MS = 5_000


class WatchList:
    """Watched peers by link address, and the candidates for calls by service."""

    def __init__(self) -> None:
        self.watched: dict[str, peer_state.Peer] = {}
        self.zone_ranks: tuple[tuple[store_readers.Rank, peer_state.Peer], ...] = ()
        """All peers of the own zone with their ranks as store readers, the best first."""
        self.called_ms: dict[str, int] = {}
        """Last call by service."""
        self.remote_ms: dict[str, int] = {}
        """Last call by service for which the own zone did not suffice."""
        self.local: dict[str, Peers] = {}
        self.remote: dict[str, Peers] = {}

    def is_new_demand(self, service: str, now_ms: int) -> bool:
        """Notes a call to a service; returns whether its candidates are to be selected first."""
        self.called_ms[service] = now_ms
        return service not in self.local

    def needs_remote(self, service: str, now_ms: int) -> None:
        """Notes that the ingresses of the own zone do not suffice for a service."""
        is_new = now_ms - self.remote_ms.get(service, -REMOTE_DEMAND_MS) >= REMOTE_DEMAND_MS
        self.remote_ms[service] = now_ms
        if is_new:
            self.watched.update((p.entry.link_address, p) for p in self.remote.get(service, ()))

    def candidates(self, service: str) -> Peers:
        """Peers that calls to the service may go to, those of the own zone first."""
        return self.local.get(service, ()) + self.remote.get(service, ())

    def refresh(self, zone: str, peers: Iterable[peer_state.Peer], now_ms: int) -> None:
        """Selects the peers to watch; a peer that is lost or closed makes room for another."""
        local_peers: list[peer_state.Peer] = []
        remote_peers: list[peer_state.Peer] = []
        for peer in peers:
            (local_peers if peer.entry.zone == zone else remote_peers).append(peer)
        ranks = ((store_readers.rank(peer.entry), peer) for peer in local_peers)
        self.zone_ranks = tuple(sorted(ranks, key=operator.itemgetter(0)))
        self.called_ms = {
            service: at for service, at in self.called_ms.items() if now_ms - at < DEMAND_MS
        }
        self.local = {
            service: _select(local_peers, service, LOCAL_PER_SERVICE, now_ms)
            for service in self.called_ms
        }
        self.remote = {
            service: _select(remote_peers, service, REMOTE_PER_SERVICE, now_ms)
            for service in self.called_ms
        }
        reachable = (peer for _, peer in self.zone_ranks if peer.is_reachable(now_ms))
        demanded_remotely = (
            self.remote[service]
            for service in self.called_ms
            if now_ms - self.remote_ms.get(service, -REMOTE_DEMAND_MS) < REMOTE_DEMAND_MS
        )
        selected = itertools.chain(
            itertools.islice(reachable, READER_CANDIDATES),
            heapq.nsmallest(BASE_PER_SIDE, local_peers, key=lambda peer: _order(peer, now_ms)),
            heapq.nsmallest(BASE_PER_SIDE, remote_peers, key=lambda peer: _order(peer, now_ms)),
            itertools.chain.from_iterable(self.local.values()),
            itertools.chain.from_iterable(demanded_remotely),
            (peer for peer in itertools.chain(local_peers, remote_peers) if peer.sent_ms),
        )
        self.watched = {peer.entry.link_address: peer for peer in selected}


def _order(peer: peer_state.Peer, now_ms: int) -> tuple[bool, int]:
    return not peer.is_reachable(now_ms), peer.weight


def _select(peers: Iterable[peer_state.Peer], service: str, count: int, now_ms: int) -> Peers:
    """The peers of a service to watch; reachable and open ones go first, then those that have not
    been heard yet."""
    of_service = (peer for peer in peers if peer.entry.service == service)
    return tuple(
        heapq.nsmallest(count, of_service, key=lambda peer: (_rank(peer, now_ms), peer.weight))
    )


def _rank(peer: peer_state.Peer, now_ms: int) -> int:
    if peer.is_open and peer.is_reachable(now_ms):
        return 0
    if peer.heard_ms < 0 and peer.unanswered < peer_state.UNANSWERED_LIMIT:
        return 1
    return 2 if peer.is_open else 3
