"""Directory of known nodes: which of them are probed, and what they report."""

import itertools
import operator
import zlib
from collections.abc import Iterator

import msgspec

from buckthornstage.link import frames
from buckthornstage.membership import peer as peer_state
from buckthornstage.membership import store_readers, watch_list

PROBE_MS = 500
"""A watched peer is probed after this time without a datagram of it; a new configuration version
then spreads within 2 s even if two datagrams are lost. Responses to calls tell no version."""
CONTENDED_REMOTE_PROBE_MS = 800
"""The same for watched peers of other zones where calls leave the zone by shares, which need
reports younger than 1 s. With the interval of the own zone, the probes of 77 nodes that watch 16
ingresses of other zones are 0.8 MB/s between zones (computed)."""
BACKGROUND_PROBE_MS = 5_000
BACKGROUND_PROBE_MS_PER_PEER = 100
"""Interval for peers of the own zone that are not watched: at least 5 s, and at most 10 probes per
second."""
REMOTE_PROBE_MS_PER_PEER = 500
"""The same for other zones, at most 2 probes per second: bytes between zones are charged, and what
a zone has to know of the others reaches it through the probes of all its nodes."""
MAX_BACKGROUND_PROBES = 10
"""Peers that are not watched and are probed at one refresh."""
FIRST_REMOTE_PROBES = 16
"""Peers of other zones that a starting node probes at once; then at most one at each refresh."""
REFRESH_MS = 500
"""Interval at which the watched peers are selected again."""
PENDING_CALL_PROBE_MS = 250
"""Silence of any kind after which peers with pending calls are probed: in a partition, each call
sent there is lost."""
PROBE_RETRY_MS = 100
SLOW_DECAY = 0.8
"""Each faster round trip multiplies the slowest one by this; probes are 0.5 s apart, or 1.3 s with
65 peers."""
LONGEST_QUEUE_MS = 500
"""Longer round trips come from a peer that was frozen or partitioned, not from a full link."""
UNREACHABLE_PROBE_MS = 1_000
LONG_UNREACHABLE_MS = 60_000
LONG_UNREACHABLE_PROBE_MS = 10_000


class Directory:
    """All peers by link address; `own` is this node's entry.

    Only the peers in `watches` are observed closely, whose number does not grow with the fleet.
    """

    def __init__(self, own: frames.NodeEntry) -> None:
        self.own = own
        self.peers: dict[str, peer_state.Peer] = {}
        self.watches = watch_list.WatchList()
        self.reading = store_readers.ReaderElection(store_readers.rank(own))
        self.refreshed_ms: int | None = None
        self.has_zone_shares = False
        """Whether calls leave the zone by shares (`routing.zone_overflow`)."""

    def learn(self, entry: frames.NodeEntry, now_ms: int) -> bool:
        """Adds a node, or updates its name, zone and service; returns whether the node is new."""
        if entry.link_address == self.own.link_address:
            return False
        ended = entry.ended
        if ended is not None:
            entry = msgspec.structs.replace(entry, ended=None)
        is_new = self._learn_location(entry, now_ms)
        if ended is not None:
            self.peers[entry.link_address].learn_kept_end(ended)
        return is_new

    def _learn_location(self, entry: frames.NodeEntry, now_ms: int) -> bool:
        known = self.peers.get(entry.link_address)
        if known is None:
            weight = zlib.crc32(f"{self.own.link_address} {entry.link_address}".encode())
            self.peers[entry.link_address] = peer_state.Peer(
                entry, first_seen_ms=now_ms, weight=weight
            )
            self.refreshed_ms = None
            return True
        if known.entry != entry:
            known.entry = entry
            self.refreshed_ms = None
        return False

    def drop(self, address: str) -> None:
        """Removes a node that has left permanently."""
        if self.peers.pop(address, None) is not None:
            self.refreshed_ms = None

    def is_in_own_zone(self, peer: peer_state.Peer) -> bool:
        """Whether the peer is in the zone of this node."""
        return peer.entry.zone == self.own.zone

    def receive_beacon(self, beacon: frames.Beacon, now_ms: int) -> peer_state.Peer | None:
        """Processes a datagram; returns None if it is older than the last one of the same node."""
        self.learn(beacon.entry, now_ms)
        peer = self.peers.get(beacon.entry.link_address)
        if peer is None:
            return None
        if (beacon.incarnation, beacon.sequence) <= (peer.incarnation, peer.sequence):
            return None
        if beacon.incarnation != peer.incarnation:
            peer.success_rate, peer.state = 1.0, None
        peer.incarnation, peer.sequence = beacon.incarnation, beacon.sequence
        peer.version, peer.datagram_ms = beacon.version, now_ms
        peer.learn_end(beacon.ended)
        peer.is_store_reader = beacon.is_store_reader
        peer.directory_size = beacon.directory_size
        if beacon.is_request:
            peer.asked_ms = now_ms
        self.update_state(peer, beacon.state, now_ms)
        return peer

    def update_state(self, peer: peer_state.Peer, state: frames.IngressState, now_ms: int) -> None:
        """Updates the state of the peer's ingress, unless a newer one is known, and records
        activity."""
        if not peer.has_newer_state(state, now_ms):
            peer.state, peer.state_ms = state, now_ms
        peer.learn_end(state.leaving)
        self.record_activity(peer, now_ms)

    def record_activity(self, peer: peer_state.Peer, now_ms: int) -> None:
        """Records that the peer sent something, such as a chunk of a download."""
        peer.heard_ms = now_ms
        peer.unanswered, peer.is_connection_broken = 0, False

    def record_rtt(self, peer: peer_state.Peer, rtt_ms: float) -> None:
        """Smooths the round trip; the smallest recent value is closest to the link delay."""
        if rtt_ms <= LONGEST_QUEUE_MS:
            peer.slow_rtt_ms = max(rtt_ms, SLOW_DECAY * peer.slow_rtt_ms)
        known = peer.rtt_ms
        peer.rtt_ms = rtt_ms if known is None or rtt_ms < known else known + 0.1 * (rtt_ms - known)

    def refresh(self, now_ms: int) -> None:
        """Selects the watched peers again if that is due or nodes were learned."""
        if self.refreshed_ms is not None and now_ms - self.refreshed_ms < REFRESH_MS:
            return
        self.refreshed_ms = now_ms
        self.watches.refresh(self.own.zone, self.peers.values(), now_ms)

    def start_due_probes(self, now_ms: int) -> list[peer_state.Peer]:
        """Returns the peers to probe now; a probe is unanswered until the peer is heard from."""
        is_refresh_due = self.refreshed_ms is None or now_ms - self.refreshed_ms >= REFRESH_MS
        self.refresh(now_ms)
        due = [
            peer
            for peer in self.watches.watched.values()
            if self._start_probe_if_due(peer, self._watch_interval_ms(peer), now_ms)
        ]
        if is_refresh_due:
            due += self._start_background_probes(now_ms)
        return due

    def _watch_interval_ms(self, peer: peer_state.Peer) -> int:
        if self.has_zone_shares and not self.is_in_own_zone(peer):
            return CONTENDED_REMOTE_PROBE_MS
        return PROBE_MS

    def _start_background_probes(self, now_ms: int) -> list[peer_state.Peer]:
        """Probes peers that are not watched: new ones of the own zone, and a few of the others."""
        unwatched = [
            peer for address, peer in self.peers.items() if address not in self.watches.watched
        ]
        nearby = [peer for peer in unwatched if self.is_in_own_zone(peer)]
        remote = [peer for peer in unwatched if not self.is_in_own_zone(peer)]
        # Otherwise some would never have their turn, as refreshes are later than they are due.
        remote.sort(key=operator.attrgetter("last_probe_ms", "weight"))
        nearby_ms = max(BACKGROUND_PROBE_MS, BACKGROUND_PROBE_MS_PER_PEER * len(nearby))
        remote_ms = max(BACKGROUND_PROBE_MS, REMOTE_PROBE_MS_PER_PEER * len(remote))
        new_nearby = [peer for peer in nearby if peer.last_probe_ms < 0]
        probed = sum(peer.last_probe_ms >= 0 for peer in remote)
        most_remote = min(MAX_BACKGROUND_PROBES, max(1, FIRST_REMOTE_PROBES - probed))

        def due(peers: list[peer_state.Peer], interval_ms: int) -> Iterator[peer_state.Peer]:
            return (
                p for p in peers if self._start_probe_if_due(p, interval_ms, now_ms, interval_ms)
            )

        return [
            *due(new_nearby, nearby_ms),
            *itertools.islice(due(nearby, nearby_ms), MAX_BACKGROUND_PROBES),
            *itertools.islice(due(remote, remote_ms), most_remote),
        ]

    def _start_probe_if_due(
        self, peer: peer_state.Peer, interval_ms: int, now_ms: int, retry_ms: int = PROBE_RETRY_MS
    ) -> bool:
        if not peer.unanswered and peer.heard_ms >= 0:
            is_due = now_ms - max(peer.datagram_ms, peer.last_probe_ms) >= interval_ms
            if peer.sent_ms:
                silent_ms = now_ms - max(peer.heard_ms, peer.last_probe_ms)
                is_due = is_due or silent_ms >= PENDING_CALL_PROBE_MS
        else:
            silent_ms = now_ms - max(peer.heard_ms, peer.first_seen_ms)
            is_lost = peer.unanswered >= peer_state.UNANSWERED_LIMIT
            wait_ms = max(retry_ms, UNREACHABLE_PROBE_MS) if is_lost else retry_ms
            if silent_ms > LONG_UNREACHABLE_MS:
                wait_ms = max(wait_ms, LONG_UNREACHABLE_PROBE_MS)
            is_due = peer.last_probe_ms < 0 or now_ms - peer.last_probe_ms >= wait_ms
        if is_due:
            peer.last_probe_ms = now_ms
            if not peer.unanswered:
                peer.unanswered_since_ms = now_ms
            peer.unanswered += 1
        return is_due

    def watch_for_call(self, peer: peer_state.Peer) -> None:
        """Watches a peer at which a call is pending."""
        self.watches.watched[peer.entry.link_address] = peer

    def candidates(self, service: str, now_ms: int) -> tuple[peer_state.Peer, ...]:
        """Watched peers of a service that calls go to, the own zone's first; none that was
        dropped."""
        if self.watches.is_new_demand(service, now_ms):
            self.refreshed_ms = None
        if self.refreshed_ms is None:
            self.refresh(now_ms)
        return self.watches.candidates(service)

    def is_first_reader(self) -> bool:
        """Whether this node reads the store if all nodes of its zone can."""
        own = store_readers.rank(self.own)
        before = sum(rank < own for rank, _ in self.watches.zone_ranks)
        return before < store_readers.READERS_PER_ZONE

    def update_reader_role(self, now_ms: int) -> bool:
        """Whether this node is to read the store now."""
        own = self.reading.own_rank
        before = itertools.takewhile(lambda item: item[0] < own, self.watches.zone_ranks)
        others = (
            store_readers.ZoneNode(rank, peer.is_store_reader)
            for rank, peer in before
            if peer.is_reachable(now_ms)
        )
        return self.reading.update(others, now_ms)

    def size(self) -> int:
        """Number of known nodes, including this one."""
        return 1 + len(self.peers)

    def entries(self) -> tuple[frames.NodeEntry, ...]:
        """Entries of all known nodes, including this one, with the leaves that they have told."""
        return (self.own, *(peer.entry_with_end() for peer in self.peers.values()))
