"""Remembers refused calls, so that the goal of a caller who comes back counts from its first call.

Without that, callers who come back look as fresh as others and go before them. Under a lasting
overload each fresh call is then refused and comes back too late for its goal, and nearly all
responses are late although the targets work at their full rate.
"""

import collections
import dataclasses

MEMORY_MS = 2_000  # callers come back within a third of their time, which is 1.5 s at most
MAX_CALLS = 4_000  # about 0.7 MB; the oldest go first
SAME_CALLER_MS = 50
"""Callers may send equal requests. One that comes back has the end of its time where it was, but
for the way of both calls; a fresh one has it later."""


@dataclasses.dataclass(frozen=True)
class _Refused:
    refused_ms: int
    goal_ms: int
    caller_leaves_ms: int | None


class RefusedCalls:
    """Refused calls by fingerprint, with the goal that each had; all times are monotonic ms."""

    def __init__(self) -> None:
        self.refused: collections.OrderedDict[str, _Refused] = collections.OrderedDict()

    def refuse(
        self, fingerprint: str, now_ms: int, goal_ms: int, caller_leaves_ms: int | None
    ) -> None:
        """A caller was told to come back; `caller_leaves_ms` is None if it did not say."""
        self.refused[fingerprint] = _Refused(now_ms, goal_ms, caller_leaves_ms)
        self.refused.move_to_end(fingerprint)
        while len(self.refused) > MAX_CALLS:
            self.refused.popitem(last=False)

    def take(self, fingerprint: str, now_ms: int, caller_leaves_ms: int | None) -> int | None:
        """Goal of the refused call that this one resubmits, once; None for a fresh call."""
        found = self.refused.get(fingerprint)
        if found is None or now_ms - found.refused_ms > MEMORY_MS:
            return None
        times = (found.caller_leaves_ms, caller_leaves_ms)
        if None not in times and times[1] > times[0] + SAME_CALLER_MS:
            return None
        del self.refused[fingerprint]
        return found.goal_ms
