"""One node's share of the retry budget of the whole fleet.

The bound holds for all nodes together over a sliding window: at most `ratio` x the calls of the
window plus a fixed slack may be retries. Each node earns tokens from its own calls only and holds
an equal part of the slack, so the total stays within the bound without coordination.
"""

import dataclasses

USABLE_FRACTION = 0.8
"""Part of the bound that is used; the rest allows for the sliding window and uneven load."""
MAX_DEBT_TOKENS = 3.0
"""Limit of the debt for calls that targets make while they handle a retry. Such calls cost tokens
but are not blocked."""


@dataclasses.dataclass
class FleetRetryBudget:
    """Token bucket of one service."""

    ratio: float
    slack: float
    tokens: float = 0.0
    nodes: int = 1
    is_started: bool = False

    def capacity(self) -> float:
        """Maximum number of tokens: this node's part of the slack, at least one."""
        return max(1.0, self.slack * USABLE_FRACTION / max(1, self.nodes))

    def record_call(self, nodes: int, retry_share: float = 0.0) -> None:
        """Counts a first send; `nodes` is how many nodes share the slack now.

        `retry_share` is the probability that the call is made on behalf of a retry;
        such a call counts as a retry.
        """
        self.nodes = nodes
        if not self.is_started:
            self.is_started = True
            self.tokens = self.capacity()
        earned = self.ratio * USABLE_FRACTION - retry_share
        self.tokens = max(-MAX_DEBT_TOKENS, min(self.capacity(), self.tokens + earned))

    def try_spend(self, reserve_share: float = 0.0) -> bool:
        """Takes the token for one retry; False if the budget is exhausted.

        `reserve_share` of the capacity is kept for retries of higher value.
        """
        if self.tokens < max(1.0, 1.0 + reserve_share * self.capacity()):
            return False
        self.tokens -= 1.0
        return True
