"""Retry budget of one service: limits retries to a share of the successful calls."""

MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket: a success earns `ratio` tokens, a retry spends one; at most 10 are held."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = MAX_TOKENS

    def record_success(self) -> None:
        """Counts a successful call."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Takes the token for one retry; False if the budget is exhausted."""
        # In binary floating point, ten times 0.1 adds up to slightly less than 1.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True
