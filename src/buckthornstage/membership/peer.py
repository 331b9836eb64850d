"""A remote node as this node sees it: its last report, reachability and pending calls."""

import dataclasses

import msgspec

from buckthornstage.link import frames

UNANSWERED_LIMIT = 3
"""With 3 % packet loss, three consecutive losses occur once in 37,000 probes."""
SILENT_MS = 200
"""Least time from the first of three unanswered probes until a peer is silent; a round trip takes
8 ms."""
SLOW_FACTOR = 2.0
"""On a saturated link, replies queue behind downloads. A peer is not silent until this multiple of
its slowest recent round trip has passed."""
OVERTAKEN_MS = 500
"""How long after a state an older one of the same process may arrive, since datagrams and
connections overtake each other. A lower number after that comes from a new process."""
LONG_SILENCE_MS = 800
"""Silence after which calls that may be retried can be sent to another ingress."""


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
    datagram_ms: int = -1
    """When its last datagram arrived, which tells more than the outcomes of calls: `version`,
    `is_store_reader` and what else only datagrams carry."""
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
    ended_incarnation: int = 0
    """The incarnation of the peer that told `ended`."""
    success_rate: float = 1.0
    """Recent success rate of the calls from this node."""
    is_store_reader: bool = False
    """Whether the peer reads the store successfully."""
    directory_size: int = 0
    """Number of nodes that the peer knows."""
    asked_ms: int = -1
    """When the peer last sent a probe."""
    weight: int = 0
    """Position in the order in which this node selects peers to watch; differs between nodes."""

    @property
    def is_open(self) -> bool:
        """Whether the peer's ingress accepts calls, as far as known."""
        return self.state is not None and self.state.status is frames.IngressStatus.OPEN

    def has_newer_state(self, state: frames.IngressState, now_ms: int) -> bool:
        """Whether the peer's process took the known state after this one, as far as its number
        tells."""
        if self.state is None or not 0 < state.number < self.state.number:
            return False
        return now_ms - self.state_ms <= OVERTAKEN_MS

    def learn_end(self, ended: tuple[str, int] | None) -> None:
        """Takes the lifetime that the peer tells as its latest ended one.

        One process tells them in order. A restarted one may know of older ones only, so it
        replaces only those that started earlier.
        """
        if ended is None:
            return
        is_same_process = self.ended_incarnation == self.incarnation
        if self.ended is None or is_same_process or ended[1] >= self.ended[1]:
            self.ended, self.ended_incarnation = ended, self.incarnation

    def learn_kept_end(self, ended: tuple[str, int]) -> None:
        """Takes a lifetime that the store, or another peer, knows as ended."""
        if self.ended is None or ended[1] > self.ended[1]:
            self.ended, self.ended_incarnation = ended, 0

    def entry_with_end(self) -> frames.NodeEntry:
        """The entry for another node, with the latest ended lifetime of the peer's target."""
        if self.ended is None:
            return self.entry
        return msgspec.structs.replace(self.entry, ended=self.ended)

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
