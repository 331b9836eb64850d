"""Share of one node in the retry budget that all nodes of the mesh keep together.

The bound holds over a sliding window for all nodes: retries may be `ratio` x the calls of the
window, and a fixed slack. Each node earns tokens from its own calls alone and holds an equal part
of the slack, so the sum stays below the bound without any message.
"""

import dataclasses

SAFETY = 0.8
"""Part of the bound that is spent, because the window slides and nodes see different loads."""
LARGEST_DEBT = 3.0
"""Most tokens owed for calls of retried runs, which are counted but not held back."""


@dataclasses.dataclass
class FleetRetryBudget:
    """Token bucket of one service."""

    ratio: float
    slack: float
    tokens: float = 0.0
    nodes: int = 1
    is_started: bool = False

    def capacity(self) -> float:
        """Most tokens held at once: this node's part of the slack, at least one."""
        return max(1.0, self.slack * SAFETY / max(1, self.nodes))

    def called(self, nodes: int, retry_share: float = 0.0) -> None:
        """Counts a first send; `nodes` is how many nodes share the slack now.

        `retry_share` is the probability that the call is made by a run which is itself a retry;
        such a call counts as one.
        """
        self.nodes = nodes
        if not self.is_started:
            self.is_started = True
            self.tokens = self.capacity()
        earned = self.ratio * SAFETY - retry_share
        self.tokens = max(-LARGEST_DEBT, min(self.capacity(), self.tokens + earned))

    def try_spend(self, reserve_share: float = 0.0) -> bool:
        """Takes the token of one retry; False when none is left.

        `reserve_share` of the capacity is left for retries that are worth more.
        """
        if self.tokens < max(1.0, 1.0 + reserve_share * self.capacity()):
            return False
        self.tokens -= 1.0
        return True
