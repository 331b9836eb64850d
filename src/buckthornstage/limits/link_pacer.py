"""Paces bulk bytes sent by one node, so that small frames do not queue behind downloads.

A node's link may be as narrow as 6 Mbit/s, and its queue is first in, first out: a download written
at once delays every response and datagram behind it. Bulk bytes are therefore sent in pieces that
the receiver acknowledges, and all downloads of the node share a window of unacknowledged bytes that
the link carries in a short time. The bandwidth is not configured; it is estimated from the
acknowledgements as the highest recent delivery rate (as BBR does, Cardwell et al. 2016).
"""

import collections
import dataclasses
import operator
from collections.abc import Callable

QUEUE_MS = 32
"""Queueing time, beyond the round trip, that the window allows. Receivers sometimes delay their
acknowledgements; with a shorter queue the link would then be idle."""
INITIAL_ROUND_TRIP_MS = 8.0
"""Round trip between zones, used until the first measurement."""
INITIAL_BYTES_PER_MS = 750.0
"""Rate used until the first measurement: the narrowest supported link, 6 Mbit/s."""
MIN_PIECE_BYTES = 4 << 10
MAX_PIECE_BYTES = 64 << 10
PIECES_PER_WINDOW = 4
"""With fewer pieces, one late acknowledgement leaves the link idle."""
SIZE_SMOOTHING = 0.1
"""Weight of the newest body in the average size; bodies of a route vary by half of their mean."""
RATE_INTERVAL_MS = 200
"""Interval over which the rate of a busy link is measured. Over a single round trip, delayed
acknowledgements that arrive together would look like a faster link."""
RATE_MEMORY_MS = 4_000
"""Window of the rate filter, after which a drop in bandwidth is noticed."""
ROUND_TRIP_MEMORY_MS = 30_000
"""Window of the round-trip filter. It is several times `RATE_MEMORY_MS`, so that the queue that
builds up when the bandwidth drops is not taken for a longer round trip."""
PROBE_TIMEOUT_MS = 120
"""Without an acknowledgement for this time, three times the usual delay, one more piece is sent:
all pieces in flight may be held up at receivers that have stopped."""


@dataclasses.dataclass(eq=False)
class Piece:
    """Bytes in flight."""

    size: int
    sent_ms: float
    is_counted: bool = True


class WindowedBest:
    """Windowed filter: best value of the last `memory_ms`; the newest value never expires.

    `is_replaced(value, later)` says whether a later value is at least as good.
    """

    def __init__(self, memory_ms: float, is_replaced: Callable[[float, float], bool]) -> None:
        self.memory_ms = memory_ms
        self.is_replaced = is_replaced
        self.samples: collections.deque[tuple[float, float]] = collections.deque()
        """Time and value, without samples that a later one replaces; the best one is first."""

    def add(self, value: float, now_ms: float) -> None:
        """Adds a measurement."""
        while self.samples and self.is_replaced(self.samples[-1][1], value):
            self.samples.pop()
        self.samples.append((now_ms, value))
        while len(self.samples) > 1 and now_ms - self.samples[0][0] > self.memory_ms:
            self.samples.popleft()

    def best(self, default: float) -> float:
        """Best value, or `default` before the first measurement."""
        return self.samples[0][1] if self.samples else default


class LinkPacer:
    """Window of the bulk bytes of one node on its link; times are monotonic ms."""

    def __init__(self) -> None:
        self.in_flight: collections.deque[Piece] = collections.deque()
        """Pieces that may still be in the link's queue, in the order of sending."""
        self.last_progress_ms = 0.0
        """Time of the last acknowledgement, or of a piece sent on an idle link or as a probe."""
        self.in_flight_bytes = 0
        self.waiting_bytes = 0
        """Bytes of bodies that are ready but not sent yet."""
        self.average_body_bytes = 0.0
        """Moving average of the body size."""
        self.expected_bodies = 0
        """Bodies that targets are still producing, which will need the link."""
        self.busy_since_ms = 0.0
        """Time at which the first piece of the current busy period was sent. In a busy period
        pieces follow each other without a gap."""
        self.delivered = 0
        """Bytes acknowledged in the current busy period."""
        self.history: collections.deque[tuple[float, int]] = collections.deque()
        """Time and `delivered` at each acknowledgement in the last `RATE_INTERVAL_MS`."""
        self.rates = WindowedBest(RATE_MEMORY_MS, operator.le)
        self.round_trips = WindowedBest(ROUND_TRIP_MEMORY_MS, operator.ge)

    @property
    def rate(self) -> float:
        """Estimated bandwidth of the link in bytes per ms."""
        return self.rates.best(INITIAL_BYTES_PER_MS)

    @property
    def window(self) -> int:
        """Bytes that may be in flight."""
        round_trip_ms = self.round_trips.best(INITIAL_ROUND_TRIP_MS)
        return max(PIECES_PER_WINDOW * MIN_PIECE_BYTES, int(self.rate * (QUEUE_MS + round_trip_ms)))

    @property
    def piece_bytes(self) -> int:
        """Size of the next piece."""
        return max(MIN_PIECE_BYTES, min(MAX_PIECE_BYTES, self.window // PIECES_PER_WINDOW))

    @property
    def is_busy(self) -> bool:
        """Whether bodies are waiting for the link or will be soon."""
        return self.waiting_bytes > 0 or self.expected_bodies > 0

    def body_ms(self, now_ms: float) -> float:
        """Expected time until one more body of average size has been transferred."""
        rate = self.rate
        if not self.in_flight and now_ms - self.last_progress_ms > RATE_MEMORY_MS:
            # Only transfers correct a low estimate, and callers may request none while it is low.
            rate = max(INITIAL_BYTES_PER_MS, rate)
        bodies = (1 + self.expected_bodies) * self.average_body_bytes
        return (self.waiting_bytes + self.in_flight_bytes + bodies) / rate

    def enqueue(self, size: int) -> None:
        """Adds a body of this size that is ready to be sent."""
        self.waiting_bytes += size
        weight = SIZE_SMOOTHING if self.average_body_bytes else 1.0
        self.average_body_bytes += weight * (size - self.average_body_bytes)

    def dequeue(self, size: int) -> None:
        """Removes bytes of a body that were sent or will not be sent."""
        self.waiting_bytes -= size

    def has_room(self, now_ms: float) -> bool:
        """Whether one more piece may be sent."""
        if len(self.in_flight) < PIECES_PER_WINDOW:
            # Pieces from before the window shrank may fill it, and their receiver may be frozen.
            return True
        does_fit = self.in_flight_bytes + self.piece_bytes <= self.window
        return does_fit or now_ms >= self.next_room_ms()

    def next_room_ms(self) -> float:
        """Time at which a piece may be sent even without an acknowledgement."""
        return self.last_progress_ms + PROBE_TIMEOUT_MS

    def on_piece_sent(self, size: int, now_ms: float) -> Piece:
        """Counts a piece of a body that is sent now."""
        if not self.in_flight:
            self._start_measuring(now_ms)
        if not self.in_flight or now_ms >= self.next_room_ms():
            self.last_progress_ms = now_ms
        piece = Piece(size, now_ms)
        self.in_flight.append(piece)
        self.in_flight_bytes += size
        return piece

    def on_acknowledgement(self, piece: Piece, now_ms: float) -> None:
        """The receiver has read a piece; the link has then carried all earlier ones as well."""
        is_first = piece.sent_ms == self.busy_since_ms
        if now_ms >= self.next_room_ms():
            # The receivers had stopped reading, which tells nothing about the link.
            self._start_measuring(now_ms)
        elif is_first:
            # Later pieces wait behind earlier ones, so their time exceeds the round trip.
            self.round_trips.add(now_ms - piece.sent_ms, now_ms)
        self.last_progress_ms = now_ms
        if piece.sent_ms >= self.busy_since_ms:
            self._measure(piece.size, now_ms)
        while piece.is_counted:
            self._uncount(self.in_flight.popleft())

    def abandon(self, piece: Piece) -> None:
        """Removes a piece whose connection has ended."""
        if piece.is_counted:
            self.in_flight.remove(piece)
            self._uncount(piece)

    def _start_measuring(self, now_ms: float) -> None:
        self.busy_since_ms, self.delivered = now_ms, 0
        self.history = collections.deque([(now_ms, 0)])

    def _measure(self, size: int, now_ms: float) -> None:
        self.delivered += size
        while len(self.history) > 1 and now_ms - self.history[1][0] >= RATE_INTERVAL_MS:
            self.history.popleft()
        began_ms, delivered_before = self.history[0]
        self.rates.add((self.delivered - delivered_before) / max(1, now_ms - began_ms), now_ms)
        self.history.append((now_ms, self.delivered))

    def _uncount(self, piece: Piece) -> None:
        piece.is_counted = False
        self.in_flight_bytes -= piece.size
