"""Times of a call: latency goal, until when a response is attempted, and the latest end."""

import dataclasses

LATE_FRACTION = 0.3
"""Part of the time between goal and deadline in which a late response is still attempted."""
MIN_LATE_MS = 150
"""Lower bound of that time. A target may make further calls while it handles one. These have
250 ms in total, and if one fails, so does the call that the target handles."""


def goal_and_latest_ms(
    now_ms: int, goal_duration_ms: int, original_goal_at_ms: int | None, deadline_ms: int
) -> tuple[int, int]:
    """Goal of a call that arrives now, and the latest time of a response.

    A call that cannot have a response by the latest time is refused.

    `original_goal_at_ms` is the goal that the same call had when it was refused, or None. Only part
    of the time after the goal is used: a late response has little value, and a call that is queued
    and then refused costs its caller more than an immediate refusal.
    """
    goal_ms = now_ms + goal_duration_ms if original_goal_at_ms is None else original_goal_at_ms
    goal_ms = min(deadline_ms, goal_ms)
    late_from_ms = max(now_ms, goal_ms)
    late_ms = max(MIN_LATE_MS, int(LATE_FRACTION * (deadline_ms - late_from_ms)))
    return goal_ms, min(deadline_ms, late_from_ms + late_ms)


@dataclasses.dataclass
class ShutdownDeadline:
    """End of a node that shuts down; its last call needs a response by `last_response_ms`."""

    last_response_ms: int | None = None
    accepts_longer_calls: bool = True
    """Whether calls that may outlast the node are accepted, with their deadline cut to its end."""

    def deadline_ms(self, wanted_ms: int) -> int | None:
        """Deadline of a call that may last until `wanted_ms`; None if it is not accepted."""
        if self.last_response_ms is None or wanted_ms <= self.last_response_ms:
            return wanted_ms
        return self.last_response_ms if self.accepts_longer_calls else None
