"""How long the process may have been paused while a message waited to be read.

The time left to a call counts from its arrival, but a process that was stopped or had no processor
reads it later. The lag is subtracted, so that no call is started whose time has run out.
"""

BEAT_MS = 100
TOLERANCE_MS = 150
"""Delay of a beat that is not taken for a pause."""
SETTLE_MS = 50
"""Messages read this soon after a pause may have arrived at its beginning."""


class LoopLag:
    """Measures pauses by a beat that is due every BEAT_MS.

    `now_ms` is monotonic; `suspended_ms` is the total time that it does not count, because the
    machine was suspended.
    """

    def __init__(self) -> None:
        self.last_beat_ms: int | None = None
        self.pause_ms = 0
        self.pause_end_ms = 0

    def beat(self, now_ms: int, suspended_ms: int) -> None:
        """To be called every BEAT_MS."""
        lag_ms = self._overdue_ms(now_ms, suspended_ms)
        if lag_ms:
            self.pause_ms, self.pause_end_ms = lag_ms, now_ms
        self.last_beat_ms = now_ms + suspended_ms

    def lag_ms(self, now_ms: int, suspended_ms: int) -> int:
        """Longest time that a message read now may have waited; 0 without a pause."""
        recent_ms = self.pause_ms if now_ms - self.pause_end_ms <= SETTLE_MS else 0
        return max(recent_ms, self._overdue_ms(now_ms, suspended_ms))

    def has_paused_since(self, since_ms: int, now_ms: int, suspended_ms: int) -> bool:
        """Whether the process was paused at some time from `since_ms` to now."""
        has_paused = self.pause_ms > 0 and self.pause_end_ms >= since_ms
        return has_paused or self._overdue_ms(now_ms, suspended_ms) > 0

    def _overdue_ms(self, now_ms: int, suspended_ms: int) -> int:
        if self.last_beat_ms is None:
            return 0
        overdue_ms = now_ms + suspended_ms - self.last_beat_ms - BEAT_MS
        return overdue_ms if overdue_ms > TOLERANCE_MS else 0
