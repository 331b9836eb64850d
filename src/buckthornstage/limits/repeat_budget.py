"""Share of one node in the retry budget that all nodes of the mesh keep together.

The bound holds over a sliding window for all nodes: repeats may be `ratio` x the calls of the
window, and a fixed slack. Each node earns tokens from its own calls alone and holds an equal part
of the slack, so the sum stays below the bound without any message.
"""

import dataclasses

SAFETY = 0.5
"""Part of the bound that is spent; calls that a repeated run makes count as repeats as well."""


@dataclasses.dataclass
class RepeatBudget:
    """Token bucket of one service."""

    ratio: float
    slack: float
    tokens: float = 0.0
    nodes: int = 1
    is_started: bool = False

    def capacity(self) -> float:
        """Most tokens held at once: this node's part of the slack, at least one."""
        return max(1.0, self.slack * SAFETY / max(1, self.nodes))

    def called(self, nodes: int) -> None:
        """Counts a first send; `nodes` is how many nodes share the slack now."""
        self.nodes = nodes
        if not self.is_started:
            self.is_started = True
            self.tokens = self.capacity()
        self.tokens = min(self.capacity(), self.tokens + self.ratio * SAFETY)

    def try_spend(self) -> bool:
        """Takes the token of one repeat; False when none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
