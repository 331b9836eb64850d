"""Clients, calls, targets and nodes of `mesh_model`."""

import collections
import dataclasses
import itertools
from collections.abc import Callable

from buckthornstage.bench import mesh_patterns
from buckthornstage.limits import fleet_retry_budget, ingress_queue, refused_calls
from buckthornstage.link import frames
from buckthornstage.membership import watch_list
from buckthornstage.mesh import ingress_choice
from buckthornstage.routing import ingress_selection, zone_overflow

RETRY_RATIO, RETRY_SLACK = 0.2, 56.0


@dataclasses.dataclass(eq=False)
class Client:
    """Client with one call, which it may submit again until `deadline_ms`."""

    number: int
    kind: mesh_patterns.CallKind
    zone: int
    goal_ms: float
    deadline_ms: float
    retries_left: int
    is_done: bool = False


@dataclasses.dataclass(eq=False)
class Call:
    """One submission of a call, as the node in the zone of its client handles it."""

    client: Client
    goal_ms: float
    latest_ms: float
    is_resubmitted: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    retry_ms: float = ingress_choice.MIN_RETRY_MS


@dataclasses.dataclass
class Result:
    """Value and number of calls by outcome, for one pattern and policy."""

    offered_value: float = 0.0
    earned_value: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    first_sends: int = 0
    retries: int = 0
    sends: collections.Counter[tuple[int, int, int, bool]] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Sends by second, zone of the node, zone of the target, and whether the response is long."""

    @property
    def earned_fraction(self) -> float:
        """Earned part of the value of all calls."""
        return self.earned_value / max(1.0, self.offered_value)

    @property
    def served_fraction(self) -> float:
        """Answered part of all calls."""
        answered = self.in_time + self.late
        return answered / max(1, answered + self.refused + self.failed)

    def crossing_fraction(self, since_s: int = 0) -> float:
        """Part of the sends from a second on that leave their zone."""
        counted = [(key, count) for key, count in self.sends.items() if key[0] >= since_s]
        crossed = sum(count for (_, origin, zone, _), count in counted if origin != zone)
        return crossed / max(1, sum(count for _, count in counted))

    def long_crossings(self) -> int:
        """Sends for long responses that leave their zone."""
        return sum(
            count
            for (_, origin, zone, is_bulk), count in self.sends.items()
            if is_bulk and origin != zone
        )


class Target:
    """Target with the queue of its ingress; a baseline has the queue of the target instead."""

    def __init__(self, index: int, site: mesh_patterns.Site, policy: mesh_patterns.Policy) -> None:
        self.index = index
        self.key = str(index)
        self.zone = site.target_zones[index]
        queue_type = ingress_queue.IngressQueue if policy.has_ingress else mesh_patterns.TargetQueue
        self.queue = queue_type(site.slots)
        self.success_rate = 1.0

    def state(self, now_ms: float) -> frames.IngressState:
        """State that the ingress reports to an egress."""
        queue = self.queue
        run_ms = queue.run_ms(int(now_ms)) if queue.has_average else 0.0
        return frames.IngressState(
            frames.IngressStatus.OPEN,
            queue.slots,
            len(queue.running),
            len(queue.waiting),
            run_ms,
            0,
            self.success_rate,
        )


@dataclasses.dataclass
class View:
    """State of a target as one node knows it, and the times of its open calls there."""

    state: frames.IngressState
    state_ms: float
    sent_ms: list[float] = dataclasses.field(default_factory=list)
    is_unreachable: bool = False


class Node:
    """An egress; `targets` are those that it observes."""

    def __init__(
        self,
        zone: int,
        targets: list[Target],
        site: mesh_patterns.Site,
        policy: mesh_patterns.Policy,
    ) -> None:
        self.zone = zone
        self.inter_zone_rtt_ms = 2 * site.one_way_ms
        self.targets = targets
        self.views = {
            item.key: View(frames.IngressState(frames.IngressStatus.OPEN, item.queue.slots), 0.0)
            for item in targets
        }
        self.refused_calls = refused_calls.RefusedCalls()
        self.budget = fleet_retry_budget.FleetRetryBudget(RETRY_RATIO, RETRY_SLACK)
        self.round_robin = itertools.cycle(sorted(self.views))
        self.overflow = zone_overflow.ZoneOverflow(str(zone))
        self.policy = policy
        self.strained_ms = -watch_list.REMOTE_DEMAND_MS
        """When the own zone last did not suffice."""

    def is_watched(self, target: Target, now_ms: float) -> bool:
        """Whether the target's reports reach this node."""
        is_near = target.zone == self.zone
        return is_near or now_ms - self.strained_ms < watch_list.REMOTE_DEMAND_MS

    def candidates(
        self,
        call: Call,
        now_ms: float,
        has_rtt: bool = True,
        passed: Callable[[frames.IngressState], int] = lambda state: 0,
    ) -> list[ingress_selection.Candidate]:
        """Targets that the call has not tried; `passed(state)` are the waiting calls that it would
        start before, and `has_rtt` tells whether the round trips between zones are known."""
        zones = {target.key: target.zone for target in self.targets}
        rtt_ms = {True: 0.0, False: self.inter_zone_rtt_ms} if has_rtt else {}
        return [
            ingress_selection.Candidate(
                key,
                zones[key] == self.zone,
                view.state,
                int(now_ms - view.state_ms),
                rtt_ms.get(zones[key] == self.zone),
                ingress_selection.sent_since(view.sent_ms, view.state_ms, None),
                passed=passed(view.state),
                zone=str(zones[key]),
            )
            for key, view in self.views.items()
            if key not in call.tried and not view.is_unreachable
        ]

    def choose(
        self, call: Call, now_ms: float, uniform: Callable[[], float]
    ) -> tuple[ingress_selection.Candidate, float] | None:
        """Candidate by the product's decisions, and its expected time in ms."""
        candidates = self.candidates(call, now_ms)
        due_ms = (call.goal_ms if now_ms < call.goal_ms else call.latest_ms) - now_ms
        is_bulk = call.client.kind.is_bulk
        candidates = [
            item for item in candidates if item.age_ms <= zone_overflow.MAX_REPORT_AGE_MS
        ] or candidates
        if self.policy is mesh_patterns.Policy.GOAL_ONLY:
            found = ingress_selection.choose(candidates, due_ms, is_bulk, uniform)
            if ingress_selection.is_zone_strained(found, due_ms, is_bulk):
                self.strained_ms = now_ms
            return found
        if not call.tried and self.overflow.is_due(int(now_ms)):
            self.overflow.update(candidates, int(now_ms))
        was_refused = bool(call.tried) and not call.sends
        found = self.overflow.choose(candidates, due_ms, is_bulk, was_refused, uniform)
        estimate = None if found is None else (found.candidate, found.expected_ms)
        if self.overflow.is_own_zone_busy() or ingress_selection.is_zone_strained(
            estimate, due_ms, is_bulk
        ):
            self.strained_ms = now_ms
        return estimate
