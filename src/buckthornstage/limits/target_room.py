"""Work that may run at the target beside the calls that wait for it: free slots of the target.

A call whose caller has left, or whose time is over, is abandoned by closing its connection. Some
targets work on for a while. Others of them never answer a request for which they have no place, so
their slots must not be counted as free. Whether a target works on is learned:

- it tells more running and waiting calls than were sent to it and not ended;
- it rejects a call, or leaves one without a response, that was sent above its slots if the
  abandoned calls are counted.

Until then abandoned calls hold no slots. After a restart of this process, calls of the process
before may run; they are known from what the target tells.
"""

import collections

LINGER_FACTOR = 1.5
"""An abandoned call may run until this multiple of the usual run time after its start. In the model
of tests/test_target_room.py, where all runs take equally long, 526 calls were answered with 1.0,
417 with 1.5, 395 with 2.0 and 228 with 2.5. Real run times vary by half of their mean, so that
with 1.0 about half of the runs would still go on."""
MIN_LINGER_FACTOR = 0.3  # the same from the time when it is abandoned
MAX_LINGER_MS = 3_000
LEARNED_MS = 30_000
"""How long an observation counts that the target works on."""
EXCESS_FIGURES = 3
"""Figures in a row that tell of more calls than were sent; one may have been overtaken by the
response of a call that it counts."""
RESTART_MS = 5_000
"""Time after the first response in which calls from before a restart of this process may run."""
FIGURE_MS = 500  # how long a figure on such calls counts


class TargetRoom:
    """Abandoned calls of one target; times are monotonic ms."""

    def __init__(self, has_work_from_before: bool = False) -> None:
        self.ends_ms: collections.deque[float] = collections.deque()
        """Until when abandoned calls may run."""
        self.lingers_until_ms = -1
        """Until when the target counts as one that works on abandoned calls."""
        self.excess_figures = 0
        self.has_work_from_before = has_work_from_before
        self.restart_until_ms: int | None = None
        self.from_before = 0
        """Calls from before a restart, by the figure of `figure_ms`."""
        self.figure_ms = 0

    def abandoned(self, now_ms: int) -> int:
        """Number of abandoned calls that may run."""
        ends_ms = self.ends_ms
        while ends_ms and ends_ms[0] <= now_ms:
            ends_ms.popleft()
        return len(ends_ms)

    def held(self, now_ms: int) -> int:
        """Number of slots that must not be counted as free."""
        held = 0
        if self.from_before:
            if now_ms - self.figure_ms > FIGURE_MS:
                self.from_before = 0
            held = self.from_before
        if self.ends_ms and now_ms < self.lingers_until_ms:
            held = max(held, self.abandoned(now_ms))
        return held

    def next_change_ms(self, now_ms: int) -> float:
        """Time until a held slot becomes free; 0 if none is held."""
        if not self.held(now_ms):
            return 0.0
        ends_ms = [self.figure_ms + FIGURE_MS + 1.0] if self.from_before else []
        if self.ends_ms:
            ends_ms.append(self.ends_ms[0])
        return max(1.0, min(ends_ms) - now_ms)

    def abandon(self, started_ms: int, run_ms: float, now_ms: int) -> None:
        """Counts a call that is abandoned now; `run_ms` is the expected run time."""
        end_ms = max(started_ms + LINGER_FACTOR * run_ms, now_ms + MIN_LINGER_FACTOR * run_ms)
        end_ms = min(end_ms, now_ms + MAX_LINGER_MS)
        # Kept in order; the ends of calls that are abandoned one after the other differ little.
        self.ends_ms.append(max(end_ms, self.ends_ms[-1]) if self.ends_ms else end_ms)

    def is_above(self, running: int, slots: int, now_ms: int) -> bool:
        """Whether the calls sent, with the abandoned ones, are more than the target's slots."""
        return bool(self.ends_ms) and running + self.abandoned(now_ms) > slots

    def learn_lingering(self, now_ms: int) -> bool:
        """Takes that the target works on abandoned calls; returns whether that is new."""
        is_new = now_ms >= self.lingers_until_ms
        self.lingers_until_ms = now_ms + LEARNED_MS
        return is_new

    def record_figure(self, told: int, sent: int, now_ms: int) -> bool:
        """Takes the number of calls that the target tells; `sent` is how many were sent and have
        not ended. Returns whether it is new that the target works on abandoned calls."""
        excess = max(0, told - sent)
        if self.has_work_from_before:
            if self.restart_until_ms is None:
                self.restart_until_ms = now_ms + RESTART_MS
            self.has_work_from_before = now_ms < self.restart_until_ms
            self.from_before, self.figure_ms = excess, now_ms
            return False
        if now_ms < self.lingers_until_ms:
            # A target may not count the call that it responds to.
            while self.abandoned(now_ms) > excess + 1:
                self.ends_ms.popleft()
        if not excess or not self.abandoned(now_ms):
            self.excess_figures = 0
            return False
        self.excess_figures += 1
        return self.excess_figures >= EXCESS_FIGURES and self.learn_lingering(now_ms)
