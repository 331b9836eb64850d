"""Time in milliseconds: a real clock, a fake clock for tests, and a hybrid logical clock."""

import time
from typing import NamedTuple


class Clock:
    """Real clock of this process; `wall_offset_ms` is added to the machine's time of day."""

    wall_offset_ms = 0

    def now_ms(self) -> int:
        """Monotonic time in ms; differences are meaningful, the origin is not."""
        return time.monotonic_ns() // 1_000_000

    def suspended_ms(self) -> int:
        """Total time for which the machine was suspended, which `now_ms` does not count."""
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return (boot_ns - time.clock_gettime_ns(time.CLOCK_MONOTONIC)) // 1_000_000

    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch, as this machine's clock shows them."""
        return time.time_ns() // 1_000_000 + self.wall_offset_ms


class FakeClock(Clock):
    """Clock for tests that moves only by `advance`; monotonic and wall time advance together."""

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 1_700_000_000_000) -> None:
        self.current_ms = now_ms
        self.wall_offset_ms = wall_offset_ms
        self.suspended_total_ms = 0

    def now_ms(self) -> int:
        """Current fake time in ms."""
        return self.current_ms

    def wall_ms(self) -> int:
        """Current fake time in ms since the Unix epoch."""
        return self.current_ms + self.wall_offset_ms

    def suspended_ms(self) -> int:
        """Total fake time of suspensions."""
        return self.suspended_total_ms

    def advance(self, duration_ms: int) -> None:
        """Moves both times forward by `duration_ms`."""
        self.current_ms += duration_ms


class Timestamp(NamedTuple):
    """Hybrid logical timestamp, ordered by wall time first and by counter second."""

    wall_ms: int
    counter: int


class HybridClock:
    """Hybrid logical clock (Kulkarni et al., 2014): wall time that never runs backwards.

    `largest_skew_ms` is the largest lead of a peer's timestamp over the local wall time seen so
    far; queries use it as the uncertainty of a recorded time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last = Timestamp(0, 0)
        self.largest_skew_ms = 0

    def tick(self) -> Timestamp:
        """Returns a timestamp greater than every one issued or observed before."""
        wall_ms = self.clock.wall_ms()
        if wall_ms > self.last.wall_ms:
            self.last = Timestamp(wall_ms, 0)
        else:
            self.last = Timestamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, remote: Timestamp) -> None:
        """Moves this clock past a timestamp received from a peer."""
        self.largest_skew_ms = max(self.largest_skew_ms, remote.wall_ms - self.clock.wall_ms())
        self.last = max(self.last, remote)
