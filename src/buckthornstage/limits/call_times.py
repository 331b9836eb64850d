"""Until when an answer to a call is aimed at."""

LATE_SHARE = 0.3
"""Part of the time between goal and deadline in which an answer is still aimed at."""
LATE_MIN_MS = 150
"""The same in ms at least: a call that a target makes has 250 ms in all, and its run is lost
without it."""


def latest_answer_ms(now_ms: int, goal_ms: int, deadline_ms: int) -> int:
    """Until when an answer is aimed at; a call that cannot have one by then is refused.

    A late answer is worth little, and a call that is held and then refused costs its caller more
    than one that is refused at once, so only a part of the time after the goal is used.
    """
    from_ms = max(now_ms, goal_ms)
    late_ms = max(LATE_MIN_MS, int(LATE_SHARE * (deadline_ms - from_ms)))
    return min(deadline_ms, from_ms + late_ms)
