"""Pace of bulk bytes from one node, so that small frames do not wait behind downloads.

A node's link may be as narrow as 6 Mbit/s, and its queue is first in, first out: a download that is
written at once delays every response and datagram behind it. Bulk bytes therefore go in pieces that
the receiver acknowledges, and all downloads of the node together keep only as many bytes on the way
as the link carries in a short time. The link's rate is not configured; it is measured from the
acknowledgements, as the highest rate lately seen (as BBR does, Cardwell et al. 2016).
"""

import collections
import dataclasses
import operator
from collections.abc import Callable

QUEUE_MS = 32
"""Bulk bytes on the way queue for this time at most, beside the round trip. Acknowledgements wait
at the receiver now and then; with a shorter queue the link would be idle meanwhile."""
FIRST_ROUND_TRIP_MS = 8.0
"""Between zones, until the first measurement."""
FIRST_RATE = 750.0
"""Bytes per ms of the narrowest link that is planned for, 6 Mbit/s, until the first measurement."""
MIN_PIECE_BYTES = 4 << 10
MAX_PIECE_BYTES = 64 << 10
PIECES = 4
"""Pieces that fill the window; with fewer, one late acknowledgement stops the link."""
SIZE_SMOOTHING = 0.1
"""Weight of the newest body in the usual size; bodies of a route differ by half of their mean."""
RATE_SPAN_MS = 200
"""A rate is measured over this time while the link is busy; over a single round trip, late
acknowledgements that arrive together would look like a faster link."""
RATE_MEMORY_MS = 4_000
"""A rate counts for this time; a link that became narrower is noticed after it."""
ROUND_TRIP_MEMORY_MS = 30_000
"""The queue that a link has after it became narrower must not be taken for its round trip, so this
is several times the memory of rates."""
SILENT_MS = 120
"""Without an acknowledgement for this time, three times the usual one, one more piece goes out: all
that are on the way may wait at receivers that have stopped."""


@dataclasses.dataclass(eq=False)
class Piece:
    """Bytes on the way."""

    size: int
    sent_ms: float
    is_counted: bool = True


class Recent:
    """Best value of the last `memory_ms`; the newest one stays, however old it is.

    `is_replaced(value, later)` says whether a later value is at least as good.
    """

    def __init__(self, memory_ms: float, is_replaced: Callable[[float, float], bool]) -> None:
        self.memory_ms = memory_ms
        self.is_replaced = is_replaced
        self.kept: collections.deque[tuple[float, float]] = collections.deque()
        """Time and value, without those that a later one replaces; the best one is first."""

    def add(self, value: float, now_ms: float) -> None:
        """Takes a measurement."""
        while self.kept and self.is_replaced(self.kept[-1][1], value):
            self.kept.pop()
        self.kept.append((now_ms, value))
        while len(self.kept) > 1 and now_ms - self.kept[0][0] > self.memory_ms:
            self.kept.popleft()

    def best(self, default: float) -> float:
        """The best value, or `default` before the first."""
        return self.kept[0][1] if self.kept else default


class LinkPacer:
    """Window of all bulk bytes that a node has on its link; times are monotonic ms."""

    def __init__(self) -> None:
        self.on_way: collections.deque[Piece] = collections.deque()
        """Pieces that may be in the link's queue, in the order in which they were sent."""
        self.changed_ms = 0.0
        """Time of the last acknowledgement, or of a piece that was sent without one."""
        self.on_way_bytes = 0
        self.waiting_bytes = 0
        """Of bodies that are ready, not sent yet."""
        self.usual_bytes = 0.0
        """Usual size of a body."""
        self.promised = 0
        """Bodies that targets are at work on; they will need the link."""
        self.busy_since_ms = 0.0
        """When the first of the pieces was sent that have followed each other without a gap."""
        self.delivered = 0
        """Bytes acknowledged since then."""
        self.history: collections.deque[tuple[float, int]] = collections.deque()
        """Time and `delivered` of each acknowledgement in the last `RATE_SPAN_MS`."""
        self.rates = Recent(RATE_MEMORY_MS, operator.le)
        self.round_trips = Recent(ROUND_TRIP_MEMORY_MS, operator.ge)

    @property
    def rate(self) -> float:
        """Bytes per ms that the link carries."""
        return self.rates.best(FIRST_RATE)

    @property
    def window(self) -> int:
        """Bytes that may be on the way."""
        round_trip_ms = self.round_trips.best(FIRST_ROUND_TRIP_MS)
        return max(PIECES * MIN_PIECE_BYTES, int(self.rate * (QUEUE_MS + round_trip_ms)))

    @property
    def piece_bytes(self) -> int:
        """Size of the next piece."""
        return max(MIN_PIECE_BYTES, min(MAX_PIECE_BYTES, self.window // PIECES))

    @property
    def is_busy(self) -> bool:
        """Whether bodies wait for the link, or soon will."""
        return self.waiting_bytes > 0 or self.promised > 0

    def body_ms(self, now_ms: float) -> float:
        """Expected time until one more body of the usual size has passed the link."""
        rate = self.rate
        if not self.on_way and now_ms - self.changed_ms > RATE_MEMORY_MS:
            # Without bodies a rate that was low once would never be measured again.
            rate = max(FIRST_RATE, rate)
        bodies = (1 + self.promised) * self.usual_bytes
        return (self.waiting_bytes + self.on_way_bytes + bodies) / rate

    def enqueue(self, size: int) -> None:
        """A body of this size is ready to be sent."""
        self.waiting_bytes += size
        weight = SIZE_SMOOTHING if self.usual_bytes else 1.0
        self.usual_bytes += weight * (size - self.usual_bytes)

    def withdraw(self, size: int) -> None:
        """Bytes of a body were sent, or will not be sent."""
        self.waiting_bytes -= size

    def has_room(self, now_ms: float) -> bool:
        """Whether one more piece may be sent."""
        does_fit = self.on_way_bytes + self.piece_bytes <= self.window
        return not self.on_way or does_fit or now_ms >= self.next_room_ms()

    def next_room_ms(self) -> float:
        """When a piece may be sent without an acknowledgement before."""
        return self.changed_ms + SILENT_MS

    def sent(self, size: int, now_ms: float) -> Piece:
        """A piece of a body goes out."""
        if not self.on_way:
            self._start_measuring(now_ms)
        if not self.on_way or now_ms >= self.next_room_ms():
            self.changed_ms = now_ms
        piece = Piece(size, now_ms)
        self.on_way.append(piece)
        self.on_way_bytes += size
        return piece

    def acknowledged(self, piece: Piece, now_ms: float) -> None:
        """The receiver has read a piece; the link has then carried all that went before it."""
        is_first = piece.sent_ms == self.busy_since_ms
        if now_ms >= self.next_room_ms():
            # Nobody has read for a while, which says nothing of the link.
            self._start_measuring(now_ms)
        elif is_first:
            # The others were sent behind the queue that this side keeps.
            self.round_trips.add(now_ms - piece.sent_ms, now_ms)
        self.changed_ms = now_ms
        if piece.sent_ms >= self.busy_since_ms:
            self._measure(piece.size, now_ms)
        while piece.is_counted:
            self._uncount(self.on_way.popleft())

    def abandon(self, piece: Piece) -> None:
        """The connection of the piece has ended."""
        if piece.is_counted:
            self.on_way.remove(piece)
            self._uncount(piece)

    def _start_measuring(self, now_ms: float) -> None:
        self.busy_since_ms, self.delivered = now_ms, 0
        self.history = collections.deque([(now_ms, 0)])

    def _measure(self, size: int, now_ms: float) -> None:
        self.delivered += size
        while len(self.history) > 1 and now_ms - self.history[1][0] >= RATE_SPAN_MS:
            self.history.popleft()
        began_ms, before = self.history[0]
        self.rates.add((self.delivered - before) / max(1, now_ms - began_ms), now_ms)
        self.history.append((now_ms, self.delivered))

    def _uncount(self, piece: Piece) -> None:
        piece.is_counted = False
        self.on_way_bytes -= piece.size
