"""Remembers refused calls, so that the goal of a resubmitted call counts from its first attempt.

Otherwise a resubmitted call gets a new goal at each attempt, and is served before calls that are
about to miss theirs. Under a lasting overload each new call is then refused and resubmitted too
late for its goal, and nearly all responses are late although the targets work at their full rate.
"""

import collections
import dataclasses

RETENTION_MS = 2_000  # callers resubmit within a third of their timeout, 1.5 s at most
MAX_CALLS = 4_000  # about 0.7 MB; the oldest are evicted
DEADLINE_TOLERANCE_MS = 50
"""Different callers may send equal requests. A resubmitted call has the same deadline up to the
transit times of both calls; a new call has a later one."""


@dataclasses.dataclass(frozen=True)
class _Refused:
    refused_at_ms: int
    goal_ms: int
    caller_deadline_ms: int | None


class RefusedCalls:
    """Refused calls by fingerprint, with the goal that each had; all times are monotonic ms."""

    def __init__(self) -> None:
        self.refused: collections.OrderedDict[str, _Refused] = collections.OrderedDict()

    def record_refusal(
        self, fingerprint: str, now_ms: int, goal_ms: int, caller_deadline_ms: int | None
    ) -> None:
        """Remembers a refused call whose caller was told to retry.

        `caller_deadline_ms` is the caller's deadline, None if the caller gave none.
        """
        self.refused[fingerprint] = _Refused(now_ms, goal_ms, caller_deadline_ms)
        self.refused.move_to_end(fingerprint)
        while len(self.refused) > MAX_CALLS:
            self.refused.popitem(last=False)

    def pop_goal_ms(
        self, fingerprint: str, now_ms: int, caller_deadline_ms: int | None
    ) -> int | None:
        """Removes and returns the goal of the refused call that is resubmitted; None if new."""
        found = self.refused.get(fingerprint)
        if found is None or now_ms - found.refused_at_ms > RETENTION_MS:
            return None
        times = (found.caller_deadline_ms, caller_deadline_ms)
        if None not in times and times[1] > times[0] + DEADLINE_TOLERANCE_MS:
            return None
        del self.refused[fingerprint]
        return found.goal_ms
