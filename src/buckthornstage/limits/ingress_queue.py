"""Admission control at the ingress of one target: starts, queues or refuses each call.

Urgent classes have precedence. Within a class, calls that can still meet their goal precede those
that cannot, because a late response has less value. A call that cannot complete in time is refused
as soon as that is known, so that its caller can try another ingress. With tenants, `fair_order`
has the order.
"""

import dataclasses
import itertools
import math

from buckthornstage.limits import (
    fair_order,
    target_pace,
    target_rate,
    target_rejections,
    target_room,
)

DEFAULT_RUN_MS = 100.0
"""Expected run time before the first completion; typical services take 20 to 260 ms."""
SMOOTHING = 0.1
"""Least weight of the newest run time, so that the average follows the last ten or so (about 1 s).
The weight grows with the time since the run before, as what is known of the target gets old."""
RUNNING_AGE_FACTOR = 0.9
"""Factor of the mean age of the running calls. Runs that already last longer than the average show
a slow target before they end."""
AVERAGE_HALF_LIFE_MS = 1_500
"""After this time without a run the average decays with the same half-life, so that a target that
was slow is tried again."""
IN_TIME_MARGIN = 1.4
"""A call counts as in time if this many expected run times are left until its goal. Run times of
typical services vary by 0.3 to 0.8 of their mean, so with a margin of 1 half would be late."""
MIN_REMAINING_RUN_FRACTION = 0.5
"""A queued call is refused when less than this fraction of an average run time is left."""
MIN_RETRY_MS = 15
MAX_RETRY_WAIT_FACTOR = 2.0
"""Refused callers retry after 1 to 2 times the expected wait, which spreads their retries."""


@dataclasses.dataclass(eq=False)
class Ticket:
    """One call at the ingress; times are monotonic ms.

    A response has full value until `goal_ms` and none after `latest_ms`. `is_retry`: an earlier
    send may have run. `is_resubmitted`: the caller resubmits the call after a refusal. `is_first`:
    no ingress was tried before. `kind` is the route; `fair_order` sets `level` and `place`.
    """

    priority: int
    goal_ms: int
    latest_ms: int
    payload: object = None
    is_retry: bool = False
    is_resubmitted: bool = False
    kind: str = ""
    tenant: str = ""
    tenant_priority: int = 0
    is_first: bool = True
    order: int = 0
    offered_ms: int = 0
    started_ms: int = 0
    start_factor: float = 1.0
    """The target's pace when the run started."""
    is_above_room: bool = False
    """Whether the target had no free slot for it if it still ran all abandoned calls."""
    level: float = fair_order.USUAL
    place: tuple[bool, int, int] = (False, 0, 0)


@dataclasses.dataclass(frozen=True)
class Decisions:
    """Calls to start and calls to refuse after a change of the queue, in order."""

    start: tuple[Ticket, ...] = ()
    refuse: tuple[Ticket, ...] = ()


class IngressQueue:
    """Running and queued calls of one target."""

    def __init__(self, slots: int = 1) -> None:
        self.slots = self.announced_slots = slots
        self.max_slots: int | None = None
        self.rate = target_rate.TargetRate()
        self.rejections = target_rejections.TargetRejections()
        self.pace = target_pace.TargetPace()
        self.room = target_room.TargetRoom()
        self.fair_order = fair_order.FairOrder()
        self.running: set[Ticket] = set()
        self.waiting: list[Ticket] = []
        self.average_ms = DEFAULT_RUN_MS
        self.has_average = False
        """Whether a run has completed since the target started."""
        self.last_end_ms = 0
        """End of the last run."""
        self.measured_ms = 0
        """End of the last run that counted towards the average."""
        self.decayed_ms = math.inf
        """What the last idle time has left of the average, until a run counts towards it."""
        self.orders = itertools.count()

    def run_ms(self, now_ms: int) -> float:
        """Expected run time of a call that starts now."""
        expected_ms = self._usual_ms(now_ms) * self.pace.factor(now_ms)
        if not self.running:
            return expected_ms
        age_ms = sum(now_ms - ticket.started_ms for ticket in self.running) / len(self.running)
        return max(expected_ms, RUNNING_AGE_FACTOR * age_ms)

    def _usual_ms(self, now_ms: int) -> float:
        """Run time at the usual pace of the target."""
        if self.running:
            return self.average_ms
        idle_ms = max(0, now_ms - self.last_end_ms - AVERAGE_HALF_LIFE_MS)
        return self.average_ms * 0.5 ** (idle_ms / AVERAGE_HALF_LIFE_MS)

    def retry_share(self) -> float:
        """Share of the running calls that are retries."""
        if not self.running:
            return 0.0
        return sum(ticket.is_retry for ticket in self.running) / len(self.running)

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Expected time until a call starts that has `ahead` queued calls before it."""
        return self._wait_ms(ahead, self.run_ms(now_ms), now_ms)

    def _wait_ms(self, ahead: int, run_ms: float, now_ms: int) -> float:
        completions = max(0, self.taken(now_ms) + ahead - self.slots + 1)
        return max(completions * run_ms / max(1, self.slots), self.rate.delay_ms(now_ms, ahead))

    def _can_start(self, now_ms: int) -> bool:
        has_slot = self.taken(now_ms) < self.rate.slots(self.slots)
        return has_slot and self.rate.delay_ms(now_ms) <= 0

    def is_withheld(self, now_ms: int) -> bool:
        """Whether the target rejects calls and can get no trial now."""
        if not self.rejections.is_closed(now_ms):
            return False
        has_slot = len(self.running) < self.slots
        return not has_slot or self.rejections.trial_wait_ms(now_ms) > 0

    def held(self, now_ms: int) -> int:
        """Slots that work of abandoned calls may take; never all, so that calls find out."""
        return max(0, min(self.room.held(now_ms), self.slots - 1))

    def taken(self, now_ms: int) -> int:
        """Slots that are in use or held."""
        return len(self.running) + self.held(now_ms)

    def change_ms(self, now_ms: int) -> float:
        """Time until a waiting call may start without the end of another one; 0 for never."""
        return self.rate.delay_ms(now_ms) or self.room.next_change_ms(now_ms)

    def record_abandoned(self, ticket: Ticket, now_ms: int) -> None:
        """Counts a running call that is abandoned; the target may work on."""
        self.room.abandon(ticket.started_ms, self.run_ms(now_ms), now_ms)

    def offer(self, ticket: Ticket, now_ms: int) -> Decisions:
        """Adds a call, which may be started or refused at once, or displace others."""
        ticket.order, ticket.offered_ms = next(self.orders), now_ms
        self.waiting.append(ticket)
        self.fair_order.record_arrival(ticket, now_ms)
        return self.advance(now_ms)

    def finish(self, ticket: Ticket, now_ms: int, run_ms: float | None) -> Decisions:
        """Removes a call that has ended; `run_ms` is None if it tells nothing about the target."""
        self.running.discard(ticket)
        if run_ms is not None:
            self._measure(ticket, run_ms, now_ms)
        self.last_end_ms = now_ms
        return self.advance(now_ms)

    def _measure(self, ticket: Ticket, run_ms: float, now_ms: int) -> None:
        if self.pace.is_known:
            run_ms = self.pace.normalized_ms(run_ms, ticket.start_factor, now_ms)
            self.pace.kinds.record(ticket.kind, run_ms, self.average_ms)
        weight = 1.0
        if self.has_average:
            unmeasured_ms = max(0, now_ms - self.measured_ms)
            weight = max(SMOOTHING, 1 - 0.5 ** (unmeasured_ms / AVERAGE_HALF_LIFE_MS))
        known_ms = min(self.average_ms, self.decayed_ms)
        self.average_ms = known_ms + weight * (run_ms - known_ms)
        self.has_average, self.measured_ms, self.decayed_ms = True, now_ms, math.inf

    def abandon(self, ticket: Ticket, now_ms: int) -> Decisions:
        """Removes a queued or running call whose caller has disconnected."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)
            self.fair_order.record_refusals((ticket,), now_ms)
        if ticket in self.running:
            self.record_abandoned(ticket, now_ms)
        self.running.discard(ticket)
        return self.advance(now_ms)

    def restart(self, slots: int) -> None:
        """Resets the average after a restart of the target, whose run times may differ."""
        self.set_slots(slots)
        self.average_ms, self.has_average = DEFAULT_RUN_MS, False
        self.rejections = target_rejections.TargetRejections()
        self.pace = target_pace.TargetPace()
        self.room = target_room.TargetRoom(has_work_from_before=not self.rate.has_response)

    def set_slots(self, slots: int) -> None:
        """Sets the slots that the target has announced."""
        self.announced_slots = slots
        self.slots = slots if self.max_slots is None else min(slots, self.max_slots)

    def set_max_slots(self, limit: int | None) -> None:
        """Sets how many calls may run at most, whatever the target announces; None for any."""
        self.max_slots = limit
        self.set_slots(self.announced_slots)

    def refuse_all(self, now_ms: int) -> Decisions:
        """Refuses all queued calls, because the target accepts no more work."""
        refused, self.waiting = tuple(self.waiting), []
        self.fair_order.record_refusals(refused, now_ms)
        return Decisions(refuse=refused)

    def advance(self, now_ms: int) -> Decisions:
        """Starts calls while slots are free, and refuses those that cannot complete in time."""
        run_ms = self.run_ms(now_ms)
        in_time_ms = now_ms + IN_TIME_MARGIN * run_ms
        if self.fair_order.is_enabled:
            self.waiting = self.fair_order.sort(self.waiting, in_time_ms, now_ms)
        else:
            self.waiting.sort(key=lambda ticket: _rank(ticket, in_time_ms))
        started, refused = [], []
        while self.waiting and self._can_start(now_ms):
            ticket = self.waiting.pop(0)
            # A call that has just come may use a free slot until its latest time.
            was_queued = now_ms > ticket.offered_ms
            if now_ms >= (self.last_start_ms(ticket) if was_queued else ticket.latest_ms):
                refused.append(ticket)
                continue
            if not self.running:
                # Otherwise the run that ends the idle time would restore what has decayed.
                self.decayed_ms = self._usual_ms(now_ms)
            self.rate.record_request(now_ms)
            self.rejections.record_start(now_ms)
            self.fair_order.record_start(ticket, now_ms)
            ticket.started_ms, ticket.start_factor = now_ms, self.pace.factor(now_ms)
            self.running.add(ticket)
            ticket.is_above_room = self.room.is_above(len(self.running), self.slots, now_ms)
            started.append(ticket)
        if not self.waiting:
            return self._decisions(started, refused, now_ms)
        kept = []
        # Computed again: the calls just started lower the mean age of the running ones.
        slot_ms = self.run_ms(now_ms)
        for ticket in self.waiting:
            # A refused call does not count as ahead of those behind it.
            own_ms = run_ms * self.pace.kinds.ratio(ticket.kind)
            done_ms = now_ms + self._wait_ms(len(kept), slot_ms, now_ms) + own_ms
            (kept if done_ms <= ticket.latest_ms else refused).append(ticket)
        self.waiting = kept
        return self._decisions(started, refused, now_ms)

    def _decisions(self, started: list[Ticket], refused: list[Ticket], now_ms: int) -> Decisions:
        self.fair_order.record_refusals(refused, now_ms)
        return Decisions(tuple(started), tuple(refused))

    def last_start_ms(self, ticket: Ticket) -> float:
        """Time at which a call that has been queued may no longer start."""
        return ticket.latest_ms - MIN_REMAINING_RUN_FRACTION * self.average_ms

    def retry_ms(self, now_ms: int, jitter: float, least_ms: float = 0.0) -> int:
        """Time after which a refused caller may find a free slot; at least `least_ms`.

        `jitter` in [0, 1) spreads the retries.
        """
        wait_ms = max(least_ms, self.wait_ms(len(self.waiting), now_ms))
        if self.fair_order.is_enabled:
            place_ms = self.run_ms(now_ms) / max(1, self.slots)
            return int(MIN_RETRY_MS + self.fair_order.retry_ms(wait_ms, place_ms, now_ms, jitter))
        return int(MIN_RETRY_MS + wait_ms * (1 + jitter * (MAX_RETRY_WAIT_FACTOR - 1)))


def _rank(ticket: Ticket, in_time_ms: float) -> tuple[int, bool, bool, int]:
    # A resubmitted call was refused before, and should not be refused twice.
    return (ticket.priority, in_time_ms > ticket.goal_ms, not ticket.is_resubmitted, ticket.order)
