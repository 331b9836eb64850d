"""Admission at the ingress of one target: who runs, who waits, and who is refused at once.

Urgent classes go first; within a class the calls that can still meet their goal go before those
that are late already, because a late response is worth less. A call whose turn cannot come in time
is refused as soon as that is known, so that its caller can go elsewhere.
"""

import dataclasses
import itertools

DEFAULT_RUN_MS = 100.0
"""Expected run time before the first completion; the users' services take 20 to 260 ms."""
SMOOTHING = 0.1
"""Weight of the newest run time; ten runs, about a second of one target's load, shift it."""
AGE_WEIGHT = 0.9
"""Runs that last longer than the average already show that a target has turned slow."""
OUTDATED_MS = 1_500
"""After this time without a run the average halves again and again for the same time, so that a
target which was slow once is tried again."""
IN_TIME_MARGIN = 1.4
"""A call counts as in time if this many expected run times are left until its goal. Run times vary
by 0.3 to 0.8 of their mean at the users' services, so with one run time left half would be late."""
MIN_RETRY_MS = 15
MAX_SPREAD = 2.0
"""A refused caller comes back after 1 to 2 times the expected wait, so that callers spread."""


@dataclasses.dataclass(eq=False)
class Ticket:
    """One call at the ingress; times are monotonic ms.

    `latest_ms` is when a response must be there to be of use, `goal_ms` when it has full value.
    `is_retry`: an earlier send may have run. `is_resubmitted`: the caller sends the call again
    after a refusal.
    """

    priority: int
    goal_ms: int
    latest_ms: int
    payload: object = None
    is_retry: bool = False
    is_resubmitted: bool = False
    order: int = 0
    started_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Step:
    """What a change of the queue leads to: calls to start and calls to refuse, in order."""

    start: tuple[Ticket, ...] = ()
    refuse: tuple[Ticket, ...] = ()


class IngressQueue:
    """Running and waiting calls of one target."""

    def __init__(self, slots: int = 1) -> None:
        self.slots = slots
        self.running: set[Ticket] = set()
        self.waiting: list[Ticket] = []
        self.average_ms = DEFAULT_RUN_MS
        self.has_average = False
        """Whether a run has ended since the target started."""
        self.ended_ms = 0
        """When the last run ended."""
        self.orders = itertools.count()

    def run_ms(self, now_ms: int) -> float:
        """Expected run time of a call that starts now."""
        if not self.running:
            outdated_ms = max(0, now_ms - self.ended_ms - OUTDATED_MS)
            return self.average_ms * 0.5 ** (outdated_ms / OUTDATED_MS)
        age_ms = sum(now_ms - ticket.started_ms for ticket in self.running) / len(self.running)
        return max(self.average_ms, AGE_WEIGHT * age_ms)

    def retry_share(self) -> float:
        """Share of the running calls that are retries."""
        if not self.running:
            return 0.0
        return sum(ticket.is_retry for ticket in self.running) / len(self.running)

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Expected time until a call with `ahead` waiting calls before it starts."""
        return self._wait_ms(ahead, self.run_ms(now_ms))

    def _wait_ms(self, ahead: int, run_ms: float) -> float:
        places = max(0, len(self.running) + ahead - self.slots + 1)
        return places * run_ms / max(1, self.slots)

    def offer(self, ticket: Ticket, now_ms: int) -> Step:
        """Takes a call in; the step may start or refuse it, and refuse others that it displaces."""
        ticket.order = next(self.orders)
        self.waiting.append(ticket)
        return self.advance(now_ms)

    def finish(self, ticket: Ticket, now_ms: int, run_ms: float | None) -> Step:
        """A running call has ended; `run_ms` is None when that says nothing of the target."""
        self.running.discard(ticket)
        if run_ms is not None:
            weight = SMOOTHING if self.has_average else 1.0
            self.average_ms += weight * (run_ms - self.average_ms)
            self.has_average = True
        self.ended_ms = now_ms
        return self.advance(now_ms)

    def abandon(self, ticket: Ticket, now_ms: int) -> Step:
        """The caller of a waiting or running call has gone."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        self.running.discard(ticket)
        return self.advance(now_ms)

    def restart(self, slots: int) -> None:
        """The target has started anew: what was learned of the old one does not hold for it."""
        self.slots = slots
        self.average_ms, self.has_average = DEFAULT_RUN_MS, False

    def refuse_all(self) -> Step:
        """Empties the queue, because the target takes no more work."""
        refused, self.waiting = tuple(self.waiting), []
        return Step(refuse=refused)

    def advance(self, now_ms: int) -> Step:
        """Starts what fits, and refuses what cannot be answered in time."""
        run_ms = self.run_ms(now_ms)
        in_time_ms = now_ms + IN_TIME_MARGIN * run_ms
        self.waiting.sort(key=lambda ticket: _rank(ticket, in_time_ms))
        started = []
        while self.waiting and len(self.running) < self.slots:
            ticket = self.waiting.pop(0)
            ticket.started_ms = now_ms
            self.running.add(ticket)
            started.append(ticket)
        if not self.waiting:
            return Step(tuple(started))
        kept, refused = [], []
        # The calls that have just started lower the mean age of the running ones.
        place_ms = self.run_ms(now_ms)
        for ticket in self.waiting:
            # A refused call gives its place to those behind it.
            done_ms = now_ms + self._wait_ms(len(kept), place_ms) + run_ms
            (kept if done_ms <= ticket.latest_ms else refused).append(ticket)
        self.waiting = kept
        return Step(tuple(started), tuple(refused))

    def retry_ms(self, now_ms: int, draw: float, least_ms: float = 0.0) -> int:
        """When a refused caller may find a place, after `least_ms`; `draw` in [0, 1) spreads the
        callers."""
        wait_ms = max(least_ms, self.wait_ms(len(self.waiting), now_ms))
        return int(MIN_RETRY_MS + wait_ms * (1 + draw * (MAX_SPREAD - 1)))


def _rank(ticket: Ticket, in_time_ms: float) -> tuple[int, bool, bool, int]:
    # A caller that was told to come back has waited longest, and is not sent away twice.
    return (ticket.priority, in_time_ms > ticket.goal_ms, not ticket.is_resubmitted, ticket.order)
