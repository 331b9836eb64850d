"""Bounds the memory of responses that wait for their receivers: clients, or peers on the link.

Each receiver is one connection. Where the memory is used up, the receivers that read least are
closed first. Times are monotonic ms.
"""

import math
from collections.abc import Callable

from buckthornstage.limits import body_memory

WINDOW_MS = 250
"""Interval over which the rate of a receiver is measured. A slow reader on loopback is seen to
read in steps of up to 64 KB, as its machine reports free room only in such steps."""
MIN_BYTES_PER_MS = 64
"""A receiver that reads less than this, a tenth of the narrowest supported link, is closed for a
call that was not started."""
MAX_HELD_MS = 2_000
"""A receiver that takes longer may be closed whatever its rate: the responses of a download are
due 1.5 s after its request."""
MAX_OVERRUN = 2
"""Above the limit times this, receivers are closed without regard to rate and time."""


class HeldResponses(body_memory.BodyMemory):
    """Counts the bytes of responses from before they are received until their receivers have taken
    them.

    `now_ms()` is the time, and `on_closed(receiver)` is called for each receiver that is closed to
    make room.
    """

    def __init__(
        self,
        now_ms: Callable[[], float] = lambda: 0,
        limit_bytes: int | None = None,
        pool: body_memory.BodyMemory | None = None,
    ) -> None:
        super().__init__(limit_bytes, pool)
        self.now_ms = now_ms
        self.on_closed: Callable[[Receiver], None] = lambda receiver: None
        self.receivers: set[Receiver] = set()
        """Those that hold bytes."""
        self.promised_bytes = 0
        """Expected bytes of the responses to calls that were started. They keep further calls from
        being started, but no response from being received: with a common count, responses could
        wait for memory that is promised to calls which wait for their slots."""

    def take(self, size: int) -> bool:
        """Reserves bytes, after closing slow receivers if that is needed; False, with nothing
        reserved, if there is no room. One response of any size fits if there is no other."""
        if super().take(size):
            return True
        self._make_room(size)
        if super().take(size):
            return True
        if self.used_bytes:
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
        """Counts bytes that are held already; closes slow receivers if they exceed the limit."""
        if self.limit_bytes is not None and self.used_bytes + size > self.limit_bytes:
            self._make_room(size)
        self.add(size)

    def _make_room(self, size: int, min_bytes_per_ms: float = math.inf) -> None:
        """Closes receivers, the one that reads least first, until the bytes fit.

        A response that was run for takes the place of any receiver whose rate is known, a call that
        was not started only that of a receiver below `min_bytes_per_ms`.
        """
        now_ms = self.now_ms()
        rated = sorted((one.bytes_per_ms(now_ms), one.began_ms, one) for one in self.receivers)
        for rate, began_ms, receiver in rated:
            if not self._is_above(size, 1):
                return
            is_slow = rate < min_bytes_per_ms or now_ms - began_ms >= MAX_HELD_MS
            if is_slow or self._is_above(size, MAX_OVERRUN):
                self.on_closed(receiver)
                receiver.release_all()
                receiver.close()

    def _is_above(self, size: int, factor: int) -> bool:
        """Whether the bytes exceed a multiple of the limit, or of the room of the process."""
        return any(
            one is not None
            and one.limit_bytes is not None
            and one.used_bytes + size > factor * one.limit_bytes
            for one in (self, self.pool)
        )


def _ignore() -> None:
    """Stands for the end of a connection that has ended."""


class CallHold(body_memory.Reservation):
    """What the response to one call has reserved, before it counts for its receiver."""

    def __init__(self, memory: HeldResponses) -> None:
        super().__init__(memory)
        self.promised_bytes = 0

    def promise(self, size: int) -> bool:
        """See `HeldResponses.promise`; to be called before the call is started."""
        is_promised = self.memory.promise(size)
        self.promised_bytes = size if is_promised else 0
        return is_promised

    def take_up_to(self, size: int) -> bool:
        """Reserves what is missing to `size` bytes; False if there is no room for it."""
        missing = size - self.taken_bytes
        if missing > 0 and not self.take(missing):
            return False
        self._end_promise()
        return True

    def give_back(self) -> None:
        """Releases what is reserved or promised."""
        self._end_promise()
        super().give_back()

    def _end_promise(self) -> None:
        self.memory.promised_bytes -= self.promised_bytes
        self.promised_bytes = 0


class Receiver:
    """One connection, with the bytes of responses that it has not taken; `close()` ends it.

    What the system's send buffer takes at once is not held and not counted as read.
    """

    def __init__(self, memory: HeldResponses, name: str, close: Callable[[], None]) -> None:
        self.memory = memory
        self.name = name
        """For log lines."""
        self.close = close
        self.held_bytes = 0
        self.began_ms = 0.0
        """Time since which the connection has held bytes without a pause."""
        self.is_sending = False
        """Whether bytes of a response have been offered to the receiver."""
        self.window_ms = 0.0
        self.window_bytes = 0
        """Start of the current measuring window, and bytes read in it."""
        self.last_rate = math.inf
        """Bytes per ms in the window before the current one."""

    def __lt__(self, other: "Receiver") -> bool:
        return self.held_bytes > other.held_bytes

    def hold(self, size: int) -> None:
        """Counts bytes that wait for the receiver, or for earlier responses to it."""
        if not self.held_bytes:
            self.began_ms, self.is_sending = self.memory.now_ms(), False
            self.last_rate = math.inf
        self.memory.add_held(size)
        self.held_bytes += size
        self.memory.receivers.add(self)

    def start_sending(self) -> None:
        """The receiver is offered the rest of a response, which it did not take at once."""
        if not self.is_sending:
            self.is_sending = True
            self.window_ms, self.window_bytes = self.memory.now_ms(), 0

    def on_read(self, size: int) -> None:
        """The receiver has taken bytes; their memory is held until it has the whole response."""
        self.window_bytes += size
        now_ms = self.memory.now_ms()
        elapsed_ms = now_ms - self.window_ms
        if elapsed_ms >= WINDOW_MS:
            self.last_rate = self.window_bytes / elapsed_ms
            self.window_ms, self.window_bytes = now_ms, 0

    def bytes_per_ms(self, now_ms: float) -> float:
        """Rate at which the receiver reads; infinite before it is known."""
        elapsed_ms = now_ms - self.window_ms
        if not self.is_sending or elapsed_ms < WINDOW_MS:
            return self.last_rate
        return self.window_bytes / elapsed_ms

    def release(self, size: int) -> None:
        """The receiver has taken a response of this size."""
        size = min(size, self.held_bytes)
        self.memory.give_back(size)
        self.held_bytes -= size
        if not self.held_bytes:
            self.memory.receivers.discard(self)

    def release_all(self) -> None:
        """All responses were taken, or are dropped."""
        self.release(self.held_bytes)

    def end(self) -> None:
        """The connection has ended. Its `close` is dropped, as it refers to the connection and its
        buffers, which would otherwise stay until the cyclic collector runs."""
        self.release_all()
        self.close = _ignore
