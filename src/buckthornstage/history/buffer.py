"""Bounded buffer of the events of one node, kept until a log reader acknowledges them."""

import collections
import itertools

from buckthornstage import clock
from buckthornstage.history import events

MAX_EVENTS = 10_000
MAX_RECENT = 1_000  # events that `GET /events` of the administration API can return
MAX_DETAIL_CHARACTERS = 1_000  # bounds the buffer to about 10 MB


class EventBuffer:
    """Events of one incarnation of a node, oldest first.

    When the buffer is full the oldest event is dropped and counted in `dropped`; this also leaves
    a gap in the sequence numbers.
    """

    def __init__(
        self, node: str, zone: str, incarnation: int, hybrid_clock: clock.HybridClock
    ) -> None:
        self.node = node
        self.zone = zone
        self.incarnation = incarnation
        self.hybrid_clock = hybrid_clock
        self.dropped = 0
        self.last_sequence = 0
        self.pending: collections.deque[events.Event] = collections.deque()
        self.newest: collections.deque[events.Event] = collections.deque(maxlen=MAX_RECENT)

    def __len__(self) -> int:
        """Number of unacknowledged events."""
        return len(self.pending)

    def add(self, kind: events.EventKind, version: int, detail: str = "") -> events.Event:
        """Records an event at the current hybrid time and returns it."""
        timestamp = self.hybrid_clock.tick()
        self.last_sequence += 1
        event = events.Event(
            self.node,
            self.incarnation,
            self.last_sequence,
            self.zone,
            timestamp.wall_ms,
            timestamp.counter,
            kind,
            version,
            detail[:MAX_DETAIL_CHARACTERS],
            2 * self.hybrid_clock.largest_skew_ms,
        )
        if len(self.pending) >= MAX_EVENTS:
            self.pending.popleft()
            self.dropped += 1
        self.pending.append(event)
        self.newest.append(event)
        return event

    def unacknowledged(self, limit: int) -> tuple[events.Event, ...]:
        """Up to `limit` events that no log reader has acknowledged, oldest first."""
        return tuple(itertools.islice(self.pending, limit))

    def acknowledge(self, sequence: int) -> None:
        """Discards the events up to `sequence`, which are in the log.

        The caller passes only acknowledgements of this incarnation. A sequence beyond the last
        event of this buffer does not belong to it and is ignored.
        """
        if sequence > self.last_sequence:
            return
        while self.pending and self.pending[0].sequence <= sequence:
            self.pending.popleft()

    def recent(self) -> tuple[events.Event, ...]:
        """The newest events, acknowledged or not, oldest first."""
        return tuple(self.newest)
