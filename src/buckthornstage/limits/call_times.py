"""Times of a call: its goal, until when a response is aimed at, and when it ends at the latest."""

import dataclasses

LATE_SHARE = 0.3
"""Part of the time between goal and deadline in which a response is still aimed at."""
LATE_MIN_MS = 150
"""The same in ms at least: a call that a target makes has 250 ms in all, and its run is lost
without it."""


def goal_and_latest_ms(
    now_ms: int, usual_goal_ms: int, first_goal_ms: int | None, deadline_ms: int
) -> tuple[int, int]:
    """Goal of a call that arrives now, and the latest time of a response; a call that cannot have
    one by then is refused.

    `usual_goal_ms` is a duration; `first_goal_ms` is the goal that the same call had when it was
    refused, or None. A late response is worth little, and a call that is held and then refused
    costs its caller more than one that is refused at once, so only a part of the time after the
    goal is used.
    """
    goal_ms = now_ms + usual_goal_ms if first_goal_ms is None else first_goal_ms
    goal_ms = min(deadline_ms, goal_ms)
    from_ms = max(now_ms, goal_ms)
    late_ms = max(LATE_MIN_MS, int(LATE_SHARE * (deadline_ms - from_ms)))
    return goal_ms, min(deadline_ms, from_ms + late_ms)


@dataclasses.dataclass
class ShutdownDeadline:
    """End of a node that stops; `last_response_ms` is when its last call must have a response."""

    last_response_ms: int | None = None
    accepts_longer_calls: bool = True
    """Whether calls that may last beyond the end are taken, and end with it."""

    def deadline_ms(self, wanted_ms: int) -> int | None:
        """Latest end of a call that may last until `wanted_ms`; None if it is not taken."""
        if self.last_response_ms is None or wanted_ms <= self.last_response_ms:
            return wanted_ms
        return self.last_response_ms if self.accepts_longer_calls else None
