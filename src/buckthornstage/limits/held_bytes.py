"""Bounds the memory of bytes that wait for slow connections: responses that clients and peers have
not taken, and bodies of requests that they have not sent yet.

Where the memory is used up, the connections that make the least progress are closed first. Times
are monotonic ms.
"""

import dataclasses
import math
from collections.abc import Callable

from buckthornstage.limits import body_memory

MIN_BYTES_PER_MS = 64
"""A connection that takes or sends less than this, a tenth of the narrowest supported link, may be
closed for a call that was not started."""
MAX_OVERRUN = 2
"""Above the limit times this, connections are closed without regard to rate and time."""
SMALL_BYTES = 64 * 1024
SMALL_RESERVE_BYTES = 2 * body_memory.BYTES_PER_MB
"""Requests with bodies up to SMALL_BYTES may exceed the limit by this much, so that long bodies
keep no others out."""

CONNECTIONS_PER_MS = 20
"""Slow connections are looked for among so many for each ms. A look costs about 1 us for each, and
beside 1,000 connections that want memory it would take all processor time."""


@dataclasses.dataclass(frozen=True)
class Policy:
    """Which connections are closed, and what fits beyond the limit."""

    window_ms: int
    """Interval over which the rate of a connection is measured."""
    max_held_ms: float
    """A connection that holds bytes for longer may be closed whatever its rate."""
    closes_any: bool
    """Whether bytes that must be held now take the place of any connection whose rate is known;
    otherwise only that of one below MIN_BYTES_PER_MS."""
    allows_one: bool
    """Whether one connection may hold more than the limit if no other holds anything."""


RESPONSES = Policy(window_ms=250, max_held_ms=2_000, closes_any=True, allows_one=True)
"""A response is due 1.5 s after its request. One whose call has run is worth more than the rest of
one that is read slowly."""
REQUESTS = Policy(window_ms=1_000, max_held_ms=math.inf, closes_any=False, allows_one=False)
"""The time for a whole body is limited by the server."""


class HeldBytes(body_memory.BodyMemory):
    """Counts bytes from before they are received until they need no memory any more.

    `now_ms()` is the time, and `on_closed(transfer)` is called for each connection that is closed
    to make room.
    """

    def __init__(
        self,
        policy: Policy = RESPONSES,
        now_ms: Callable[[], float] = lambda: 0,
        limit_bytes: int | None = None,
        pool: body_memory.BodyMemory | None = None,
    ) -> None:
        super().__init__(limit_bytes, pool)
        self.policy = policy
        self.now_ms = now_ms
        self.on_closed: Callable[[Transfer], None] = lambda transfer: None
        self.transfers: set[Transfer] = set()
        """Connections that hold bytes."""
        self.found_none_ms = -math.inf
        """When no connection was found that could be closed for the bytes of a request."""
        self.promised_bytes = 0
        """Expected bytes of the responses to calls that were started. They keep further calls from
        being started, but no response from being received: with a common count, responses could
        wait for memory that is promised to calls which wait for their slots."""

    def take(self, size: int) -> bool:
        """Reserves bytes, after closing slow connections if that is needed; False, with nothing
        reserved, if there is no room."""
        if super().take(size):
            return True
        if self.policy.closes_any:
            self._make_room(size, math.inf)
        elif not self._make_room_at_times(size):
            return False
        if super().take(size):
            return True
        if self.used_bytes or not self.policy.allows_one:
            return False
        self.add(size)
        return True

    def take_small(self, size: int) -> bool:
        """Reserves bytes of a small body, for which SMALL_RESERVE_BYTES are kept."""
        limit_bytes = self.limit_bytes
        if limit_bytes is not None and self.used_bytes + size > limit_bytes + SMALL_RESERVE_BYTES:
            return False
        self.add(size)
        return True

    def promise(self, size: int) -> bool:
        """Counts the expected response of a call that is to be started; False, with nothing
        counted, if there is no room for it."""
        wanted = self.promised_bytes + size
        if self._is_above(wanted, 1):
            self._make_room(wanted, MIN_BYTES_PER_MS)
            if self._is_above(wanted, 1) and self.used_bytes + self.promised_bytes:
                return False
        self.promised_bytes += size
        return True

    def add_held(self, size: int) -> None:
        """Counts bytes that are held already; closes slow connections if they exceed the limit."""
        if self.limit_bytes is not None and self.used_bytes + size > self.limit_bytes:
            self._make_room(size, math.inf)
        self.add(size)

    def transfer(self, name: str, close: Callable[[], None]) -> "Transfer":
        """For the bytes of one connection, which `close()` ends; `name` is for log lines."""
        return Transfer(self, name, close)

    def _make_room_at_times(self, size: int) -> bool:
        """Like `_make_room`, but not again soon after it has closed none; returns whether it has
        closed any."""
        pause_ms = len(self.transfers) / CONNECTIONS_PER_MS
        if self.now_ms() - self.found_none_ms < pause_ms:
            return False
        used_bytes = self.used_bytes
        self._make_room(size, MIN_BYTES_PER_MS)
        if self.used_bytes < used_bytes:
            return True
        self.found_none_ms = self.now_ms()
        return False

    def _make_room(self, size: int, min_bytes_per_ms: float) -> None:
        """Closes connections below the rate, those with the least progress first, until the bytes
        fit."""
        now_ms = self.now_ms()
        rated = sorted(
            ((one.bytes_per_ms(now_ms), one.began_ms, one) for one in self.transfers),
            key=lambda item: item[:2],
        )
        for rate, began_ms, transfer in rated:
            if not self._is_above(size, 1):
                return
            is_slow = rate < min_bytes_per_ms or now_ms - began_ms >= self.policy.max_held_ms
            if is_slow or self._is_above(size, MAX_OVERRUN):
                self.on_closed(transfer)
                transfer.give_back()
                transfer.close()

    def _is_above(self, size: int, factor: int) -> bool:
        """Whether the bytes exceed a multiple of the limit, or of the room of the process."""
        return any(
            one is not None
            and one.limit_bytes is not None
            and one.used_bytes + size > factor * one.limit_bytes
            for one in (self, self.pool)
        )


class CallHold(body_memory.Reservation):
    """What the response to one call has reserved, before it counts for its connection."""

    def __init__(self, memory: HeldBytes) -> None:
        super().__init__(memory)
        self.promised_bytes = 0
        self.has_ended = False

    def promise(self, size: int) -> bool:
        """See `HeldBytes.promise`; to be called before the call is started."""
        is_promised = self.memory.promise(size)
        self.promised_bytes = size if is_promised else 0
        return is_promised

    def take_up_to(self, size: int) -> bool:
        """Reserves what is missing to `size` bytes; False if there is no room for it.

        A hedge that is being cancelled may still read after its call has ended; nothing would
        release what it reserves, so it reserves nothing.
        """
        if self.has_ended:
            return True
        missing = size - self.taken_bytes
        if missing > 0 and not self.take(missing):
            return False
        self._end_promise()
        return True

    def give_back(self) -> None:
        """Releases what is reserved or promised."""
        self._end_promise()
        super().give_back()

    def end(self) -> None:
        """The call has ended."""
        self.has_ended = True
        self.give_back()

    def _end_promise(self) -> None:
        self.memory.promised_bytes -= self.promised_bytes
        self.promised_bytes = 0


def _ignore() -> None:
    """Stands for the end of a connection that has ended."""


class Transfer(body_memory.Reservation):
    """One connection, with the bytes that are held for it; `close()` ends it.

    What the system's send buffer takes at once is not held and is no progress.
    """

    def __init__(self, memory: HeldBytes, name: str, close: Callable[[], None]) -> None:
        super().__init__(memory)
        self.name = name
        """For log lines."""
        self.close = close
        self.began_ms = 0.0
        """Time since which the connection has held bytes, or has had the last part of them."""
        self.is_started = False
        """Whether the connection can make progress: earlier bytes are not waited for."""
        self.window_ms = 0.0
        self.window_bytes = 0
        """Start of the current measuring window, and the progress in it."""
        self.last_rate = math.inf
        """Bytes per ms in the window before the current one."""

    def take(self, size: int) -> bool:
        """Reserves further bytes; False, with nothing more reserved, if there is no room."""
        is_taken = super().take(size)
        if is_taken:
            self._register(size)
        return is_taken

    def take_small(self, size: int) -> bool:
        """Like `take`, for a small body."""
        is_taken = self.memory.take_small(size)
        if is_taken:
            self._register(size)
            self.taken_bytes += size
        return is_taken

    def hold(self, size: int) -> None:
        """Counts bytes that are held already."""
        self.memory.add_held(size)
        self._register(size)
        self.taken_bytes += size

    def _register(self, size: int) -> None:
        if size and self not in self.memory.transfers:
            self.began_ms, self.is_started = self.memory.now_ms(), False
            self.last_rate = math.inf
            self.memory.transfers.add(self)

    def start(self) -> None:
        """The connection can make progress from now on."""
        if not self.is_started:
            self.is_started = True
            self.window_ms, self.window_bytes = self.memory.now_ms(), 0

    def on_progress(self, size: int) -> None:
        """The peer has taken or sent bytes; the memory is held until all of them are through."""
        self.window_bytes += size
        now_ms = self.memory.now_ms()
        elapsed_ms = now_ms - self.window_ms
        if elapsed_ms >= self.memory.policy.window_ms:
            self.last_rate = self.window_bytes / elapsed_ms
            self.window_ms, self.window_bytes = now_ms, 0

    def bytes_per_ms(self, now_ms: float) -> float:
        """Rate of the progress; infinite before it is known."""
        elapsed_ms = now_ms - self.window_ms
        if not self.is_started or elapsed_ms < self.memory.policy.window_ms:
            return self.last_rate
        return self.window_bytes / elapsed_ms

    def release(self, size: int) -> None:
        """A part of the bytes is not held any more."""
        size = min(size, self.taken_bytes)
        self.memory.give_back(size)
        self.taken_bytes -= size
        self.began_ms = self.memory.now_ms()
        if not self.taken_bytes:
            self.memory.transfers.discard(self)

    def hand_over(self) -> int:
        """Leaves the bytes to the caller, who gives them back; the connection holds none then."""
        self.memory.transfers.discard(self)
        return super().hand_over()

    def end(self) -> None:
        """The connection has ended. Its `close` is dropped, as it refers to the connection and its
        buffers, which would otherwise stay until the cyclic collector runs."""
        self.give_back()
        self.close = _ignore
