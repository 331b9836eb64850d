"""Retry budget of one service: retries stay a small share of the successful calls."""

MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket: a success earns `ratio` tokens, a retry spends one; at most 10 are held."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = MAX_TOKENS

    def record_success(self) -> None:
        """Counts a call that ended well."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Takes the token of one retry; False when the budget is empty."""
        # Ten tenths add up to slightly less than one in binary floating point.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True
