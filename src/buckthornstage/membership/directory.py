"""Known nodes: where they are, what each last reported, and whether it can be reached."""

import dataclasses

from buckthornstage.link import frames

PROBE_MS = 500
"""A peer that was not heard for this time is asked; a version spreads within 2 s even after two
lost datagrams."""
PROBE_MS_PER_NODE = 20
"""The interval grows with the fleet, so that a node sends at most 50 datagrams a second."""
WAITING_PROBE_MS = 250
"""The same for a peer that calls from here wait for: in a cut each call sent there is lost."""
REPEAT_MS = 100
UNANSWERED_LIMIT = 3
"""Three datagrams lost in a row on a link with 3 % loss happen once in 37,000 probes."""
SILENT_MS = 200
"""Time for the third response after the first question; a round trip takes 8 ms."""
SLOW_FACTOR = 2.0
"""On a link that is full of downloads a response waits behind them. A peer is not silent before
this many of its slowest lately measured round trips have passed."""
SLOW_DECAY = 0.8
"""Each faster round trip lowers the slowest one to this part; a probe takes 0.5 to 1.3 s."""
LONGEST_QUEUE_MS = 500
"""Round trips above it come from a peer that was frozen or cut off, not from a full link."""
LONG_SILENCE_MS = 800
"""Calls that may run again elsewhere may ask another ingress after this time of silence."""
LOST_PROBE_MS = 1_000
FORGOTTEN_MS = 60_000
FORGOTTEN_PROBE_MS = 10_000


@dataclasses.dataclass(eq=False)
class Peer:
    """One node as this node knows it; times are monotonic ms, -1 when it never happened."""

    entry: frames.NodeEntry
    incarnation: int = 0
    sequence: int = -1
    version: int = 0
    state: frames.IngressState | None = None
    state_ms: int = -1
    heard_ms: int = -1
    first_seen_ms: int = 0
    asked_ms: int = -1
    unanswered: int = 0
    unanswered_since_ms: int = -1
    rtt_ms: float | None = None
    slow_rtt_ms: float = 0.0
    """Slowest round trip lately."""
    is_avoided: bool = False
    """A connection to the peer failed after its last sign of life."""
    sent_ms: list[int] = dataclasses.field(default_factory=list)
    """When each call that still runs there was sent from here."""
    ended: tuple[str, int] | None = None
    """Lifetime of the peer's target that has said last that it leaves."""
    success_rate: float = 1.0
    """Share of the calls from here that ended well, lately."""

    def is_silent_long(self, now_ms: int) -> bool:
        """Whether the peer is silent for so long that calls should not wait for it alone."""
        is_silent = now_ms - max(self.heard_ms, self.first_seen_ms) >= LONG_SILENCE_MS
        return is_silent and not self.is_reachable(now_ms)

    def is_reachable(self, now_ms: int) -> bool:
        """Whether calls may be sent to the peer."""
        if self.heard_ms < 0 or self.is_avoided:
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
        """Takes a node up, or its new name or service; returns whether the node is new."""
        if entry.link_address == self.own.link_address:
            return False
        known = self.peers.get(entry.link_address)
        if known is None:
            self.peers[entry.link_address] = Peer(entry, first_seen_ms=now_ms)
            return True
        known.entry = entry
        return False

    def drop(self, address: str) -> None:
        """A node has left for good."""
        self.peers.pop(address, None)

    def heard(self, beacon: frames.Beacon, now_ms: int) -> Peer | None:
        """Takes a datagram; None when a newer one of the same node was heard before."""
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
        # A process that has just started knows of none.
        peer.ended = beacon.ended or peer.ended
        self.reported(peer, beacon.state, now_ms)
        return peer

    def reported(self, peer: Peer, state: frames.IngressState, now_ms: int) -> None:
        """A sign of life with the state of the peer's ingress."""
        peer.state, peer.state_ms = state, now_ms
        self.alive(peer, now_ms)

    def alive(self, peer: Peer, now_ms: int) -> None:
        """A sign of life of any kind, like a piece of a download."""
        peer.heard_ms = now_ms
        peer.unanswered, peer.is_avoided = 0, False

    def measured(self, peer: Peer, rtt_ms: float) -> None:
        """Smooths the round trip; the smallest lately seen is closest to the link's delay."""
        if rtt_ms <= LONGEST_QUEUE_MS:
            peer.slow_rtt_ms = max(rtt_ms, SLOW_DECAY * peer.slow_rtt_ms)
        known = peer.rtt_ms
        peer.rtt_ms = rtt_ms if known is None or rtt_ms < known else known + 0.1 * (rtt_ms - known)

    def due(self, now_ms: int) -> list[Peer]:
        """Peers to ask now; counts the question as unanswered until they are heard."""
        interval_ms = max(PROBE_MS, PROBE_MS_PER_NODE * len(self.peers))
        return [peer for peer in self.peers.values() if self._ask(peer, interval_ms, now_ms)]

    def _ask(self, peer: Peer, interval_ms: int, now_ms: int) -> bool:
        if not peer.unanswered and peer.heard_ms >= 0:
            wait_ms = WAITING_PROBE_MS if peer.sent_ms else interval_ms
            is_due = now_ms - max(peer.heard_ms, peer.asked_ms) >= wait_ms
        else:
            silent_ms = now_ms - max(peer.heard_ms, peer.first_seen_ms)
            wait_ms = REPEAT_MS if peer.unanswered < UNANSWERED_LIMIT else LOST_PROBE_MS
            wait_ms = FORGOTTEN_PROBE_MS if silent_ms > FORGOTTEN_MS else wait_ms
            is_due = peer.asked_ms < 0 or now_ms - peer.asked_ms >= wait_ms
        if is_due:
            peer.asked_ms = now_ms
            if not peer.unanswered:
                peer.unanswered_since_ms = now_ms
            peer.unanswered += 1
        return is_due

    def in_service(self, service: str) -> list[Peer]:
        """Peers whose target belongs to the service."""
        return [peer for peer in self.peers.values() if peer.entry.service == service]

    def entries(self) -> tuple[frames.NodeEntry, ...]:
        """Entries of all known nodes, this one included."""
        return (self.own, *(peer.entry for peer in self.peers.values()))
