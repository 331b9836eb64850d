"""Token bucket rate limiter."""


class TokenBucket:
    """Allows `per_second` operations per second and bursts of `burst`; it starts full."""

    def __init__(self, per_second: float, burst: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.tokens = burst
        self.updated_ms = 0

    def take(self, now_ms: int) -> bool:
        """Takes a token at this monotonic time; False if none is available."""
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.tokens = min(self.burst, self.tokens + elapsed_ms * self.per_second / 1_000)
        self.updated_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
