"""Directory of known nodes: their addresses, last reports and reachability."""

import dataclasses

from buckthornstage.link import frames

PROBE_MS = 500
"""A peer is probed after this time of silence; a new configuration version then spreads
within 2 s even if two datagrams are lost."""
PROBE_MS_PER_NODE = 20
"""Makes the interval grow with the fleet; a node sends at most 50 regular probes per second."""
PENDING_CALL_PROBE_MS = 250
"""Probe interval for peers with pending calls: in a partition, each call sent there is lost."""
PROBE_RETRY_MS = 100
UNANSWERED_LIMIT = 3
"""With 3 % packet loss, three consecutive losses occur once in 37,000 probes."""
SILENT_MS = 200
"""Least time from the first of three unanswered probes until a peer is silent; a round trip takes
8 ms."""
SLOW_FACTOR = 2.0
"""On a saturated link, replies queue behind downloads. A peer is not silent until this multiple of
its slowest recent round trip has passed."""
SLOW_DECAY = 0.8
"""Each faster round trip multiplies the slowest one by this; probes are 0.5 s apart, or 1.3 s with
65 peers."""
LONGEST_QUEUE_MS = 500
"""Longer round trips come from a peer that was frozen or partitioned, not from a full link."""
LONG_SILENCE_MS = 800
"""Silence after which calls that may be retried can be sent to another ingress."""
UNREACHABLE_PROBE_MS = 1_000
LONG_UNREACHABLE_MS = 60_000
LONG_UNREACHABLE_PROBE_MS = 10_000


@dataclasses.dataclass(eq=False)
class Peer:
    """A remote node as seen by this node; times are monotonic ms, -1 for never."""

    entry: frames.NodeEntry
    incarnation: int = 0
    sequence: int = -1
    version: int = 0
    state: frames.IngressState | None = None
    state_ms: int = -1
    heard_ms: int = -1
    first_seen_ms: int = 0
    last_probe_ms: int = -1
    unanswered: int = 0
    unanswered_since_ms: int = -1
    rtt_ms: float | None = None
    slow_rtt_ms: float = 0.0
    """Slowest recent round trip."""
    is_connection_broken: bool = False
    """A connection to the peer failed after its last activity of any kind."""
    sent_ms: list[int] = dataclasses.field(default_factory=list)
    """Send times of this node's calls that are still pending at the peer."""
    ended: tuple[str, int] | None = None
    """Lifetime of the peer's target that most recently announced that it is draining."""
    success_rate: float = 1.0
    """Recent success rate of the calls from this node."""

    def is_silent_long(self, now_ms: int) -> bool:
        """Whether the peer has been silent too long for calls to wait for it alone."""
        is_silent = now_ms - max(self.heard_ms, self.first_seen_ms) >= LONG_SILENCE_MS
        return is_silent and not self.is_reachable(now_ms)

    def is_reachable(self, now_ms: int) -> bool:
        """Whether calls may be sent to the peer."""
        if self.heard_ms < 0 or self.is_connection_broken:
            return False
        if self.unanswered < UNANSWERED_LIMIT:
            return True
        silent_ms = max(SILENT_MS, SLOW_FACTOR * self.slow_rtt_ms)
        return now_ms - self.unanswered_since_ms < silent_ms


class Directory:
    """All peers by link address; `own` is this node's entry."""

    def __init__(self, own: frames.NodeEntry) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {}

    def learn(self, entry: frames.NodeEntry, now_ms: int) -> bool:
        """Adds a node, or updates its name, zone and service; returns whether the node is new."""
        if entry.link_address == self.own.link_address:
            return False
        known = self.peers.get(entry.link_address)
        if known is None:
            self.peers[entry.link_address] = Peer(entry, first_seen_ms=now_ms)
            return True
        known.entry = entry
        return False

    def drop(self, address: str) -> None:
        """Removes a node that has left permanently."""
        self.peers.pop(address, None)

    def receive_beacon(self, beacon: frames.Beacon, now_ms: int) -> Peer | None:
        """Processes a datagram; returns None if it is older than the last one of the same node."""
        self.learn(beacon.entry, now_ms)
        peer = self.peers.get(beacon.entry.link_address)
        if peer is None:
            return None
        if (beacon.incarnation, beacon.sequence) <= (peer.incarnation, peer.sequence):
            return None
        if beacon.incarnation != peer.incarnation:
            peer.success_rate = 1.0
        peer.incarnation, peer.sequence = beacon.incarnation, beacon.sequence
        peer.version = beacon.version
        # A newly started process does not know of any ended lifetime.
        peer.ended = beacon.ended or peer.ended
        self.update_state(peer, beacon.state, now_ms)
        return peer

    def update_state(self, peer: Peer, state: frames.IngressState, now_ms: int) -> None:
        """Updates the state of the peer's ingress and records activity."""
        peer.state, peer.state_ms = state, now_ms
        self.record_activity(peer, now_ms)

    def record_activity(self, peer: Peer, now_ms: int) -> None:
        """Records that the peer sent something, such as a chunk of a download."""
        peer.heard_ms = now_ms
        peer.unanswered, peer.is_connection_broken = 0, False

    def record_rtt(self, peer: Peer, rtt_ms: float) -> None:
        """Smooths the round trip; the smallest recent value is closest to the link delay."""
        if rtt_ms <= LONGEST_QUEUE_MS:
            peer.slow_rtt_ms = max(rtt_ms, SLOW_DECAY * peer.slow_rtt_ms)
        known = peer.rtt_ms
        peer.rtt_ms = rtt_ms if known is None or rtt_ms < known else known + 0.1 * (rtt_ms - known)

    def start_due_probes(self, now_ms: int) -> list[Peer]:
        """Returns the peers to probe now; a probe is unanswered until the peer is heard from."""
        interval_ms = max(PROBE_MS, PROBE_MS_PER_NODE * len(self.peers))
        return [
            peer
            for peer in self.peers.values()
            if self._start_probe_if_due(peer, interval_ms, now_ms)
        ]

    def _start_probe_if_due(self, peer: Peer, interval_ms: int, now_ms: int) -> bool:
        if not peer.unanswered and peer.heard_ms >= 0:
            wait_ms = PENDING_CALL_PROBE_MS if peer.sent_ms else interval_ms
            is_due = now_ms - max(peer.heard_ms, peer.last_probe_ms) >= wait_ms
        else:
            silent_ms = now_ms - max(peer.heard_ms, peer.first_seen_ms)
            wait_ms = PROBE_RETRY_MS if peer.unanswered < UNANSWERED_LIMIT else UNREACHABLE_PROBE_MS
            wait_ms = LONG_UNREACHABLE_PROBE_MS if silent_ms > LONG_UNREACHABLE_MS else wait_ms
            is_due = peer.last_probe_ms < 0 or now_ms - peer.last_probe_ms >= wait_ms
        if is_due:
            peer.last_probe_ms = now_ms
            if not peer.unanswered:
                peer.unanswered_since_ms = now_ms
            peer.unanswered += 1
        return is_due

    def in_service(self, service: str) -> list[Peer]:
        """Peers whose target belongs to the service."""
        return [peer for peer in self.peers.values() if peer.entry.service == service]

    def entries(self) -> tuple[frames.NodeEntry, ...]:
        """Entries of all known nodes, including this one."""
        return (self.own, *(peer.entry for peer in self.peers.values()))
