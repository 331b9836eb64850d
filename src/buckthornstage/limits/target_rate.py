"""Rate at which one ingress may send requests to its target, if the target names a limit.

The ingress is the only path to the target, so what it sends is what all nodes together send. The
limit is known from the target's responses only: a process that has read none of them, such as a
restarted one, runs a few calls at a time until the first one.
"""

MS_PER_SECOND = 1_000
BURST_MS = 250
"""Requests that were not sent in this time may be sent later at once. In any 4 s the target then
gets 1.06 times its limit, and one request more."""
MIN_PER_SECOND = 0.25
"""Rate for a limit near 0: without any request no response would tell that the limit has ended."""
CALLS_WITHOUT_RESPONSE = 3
"""Calls that run at once at a target of which this process has read no response."""


class TargetRate:
    """Limit of the current target, and the time from which the next request may be sent.

    Times are monotonic ms; `per_second` is None without a limit.
    """

    def __init__(self) -> None:
        self.per_second: float | None = None
        self.has_response = True
        """Whether a response was read, so that a missing limit means that there is none."""
        self.next_ms = 0.0

    @property
    def interval_ms(self) -> float:
        """Time between two requests; 0 without a limit."""
        if self.per_second is None:
            return 0.0
        return MS_PER_SECOND / max(self.per_second, MIN_PER_SECOND)

    def restart(self, has_response: bool) -> None:
        """Forgets the limit. Another lifetime of the target has started; `has_response` is false
        if it may have responded to an earlier process of this node."""
        self.per_second = None
        self.has_response = has_response

    def set_limit(self, per_second: float | None, now_ms: int) -> bool:
        """Takes the limit that a response names; returns whether it differs from the known one."""
        self.has_response = True
        if per_second == self.per_second:
            return False
        if self.per_second is None:
            self.next_ms = now_ms
        self.per_second = per_second
        return True

    def slots(self, slots: int) -> int:
        """Calls that may run at once at a target of `slots` slots."""
        return slots if self.has_response else min(slots, CALLS_WITHOUT_RESPONSE)

    def delay_ms(self, now_ms: int, ahead: int = 0) -> float:
        """Time until one more request may be sent after `ahead` others."""
        if self.per_second is None:
            return 0.0
        return max(0.0, self.next_ms + ahead * self.interval_ms - now_ms)

    def record_request(self, now_ms: int) -> None:
        """Counts a request that is sent now."""
        if self.per_second is not None:
            self.next_ms = max(self.next_ms, now_ms - BURST_MS) + self.interval_ms
