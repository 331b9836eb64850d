"""Model of the two-hop mesh in virtual time: `python -m buckthornstage.bench.mesh_model`.

The decisions are the product's own (`ingress_selection`, `ingress_queue`, `refused_calls`,
`fleet_retry_budget`); targets, links and clients are modelled after the users' Guarumo site.
Baselines meet the same load, so that a change of a decision can be judged without a bench.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from absl import app, flags

from buckthornstage.bench import mesh_patterns
from buckthornstage.demo import report
from buckthornstage.limits import call_times, fleet_retry_budget, ingress_queue, refused_calls
from buckthornstage.link import frames
from buckthornstage.mesh import egress, ingress
from buckthornstage.routing import ingress_selection

SECONDS = flags.DEFINE_integer("seconds", 20, "Length of each pattern in virtual seconds.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals, run times and choices.")

REPORT_MS = 500  # state of a target without a response from it
SILENT_MS = 600  # until a lost call is given up
MAX_SENDS = 2  # `max_attempts` of the site's routes
RETRY_RATIO, RETRY_SLACK = 0.2, 56.0


@dataclasses.dataclass(eq=False)
class Client:
    """A caller with one call, which it may ask for again."""

    number: int
    kind: mesh_patterns.Kind
    zone: int
    goal_ms: float
    leaves_ms: float
    tries_left: int
    is_done: bool = False


@dataclasses.dataclass(eq=False)
class Call:
    """One attempt of a client, as the node of its zone handles it."""

    client: Client
    goal_ms: float
    latest_ms: float
    is_resubmitted: bool
    asked: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    retry_ms: float = egress.MIN_RETRY_MS


@dataclasses.dataclass
class Result:
    """What became of the clients of one pattern."""

    owed: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    first_sends: int = 0
    retries: int = 0

    @property
    def share(self) -> float:
        """Worth earned of the worth owed."""
        return self.earned / max(1.0, self.owed)


class Target:
    """A target with the queue of its ingress."""

    def __init__(self, index: int, policy: mesh_patterns.Policy) -> None:
        self.index = index
        self.key = str(index)
        self.zone = mesh_patterns.TARGET_ZONES[index]
        self.queue = (
            ingress_queue.IngressQueue(mesh_patterns.SLOTS)
            if policy.has_ingress
            else mesh_patterns.TargetQueue()
        )
        self.success_rate = 1.0

    def state(self, now_ms: float) -> frames.IngressState:
        """What the ingress tells the egress."""
        queue = self.queue
        run_ms = queue.run_ms(int(now_ms)) if queue.has_average else 0.0
        return frames.IngressState(
            frames.IngressStatus.OPEN,
            mesh_patterns.SLOTS,
            len(queue.running),
            len(queue.waiting),
            run_ms,
            0,
            self.success_rate,
        )


@dataclasses.dataclass
class View:
    """What one node knows of a target."""

    state: frames.IngressState
    state_ms: float
    sent_ms: list[float] = dataclasses.field(default_factory=list)
    is_lost: bool = False


class Node:
    """The egress of one zone."""

    def __init__(self, zone: int, targets: list[Target], policy: mesh_patterns.Policy) -> None:
        self.zone = zone
        self.views = {
            item.key: View(frames.IngressState(frames.IngressStatus.OPEN, mesh_patterns.SLOTS), 0.0)
            for item in targets
        }
        self.refused_calls = refused_calls.RefusedCalls()
        self.budget = fleet_retry_budget.FleetRetryBudget(RETRY_RATIO, RETRY_SLACK)
        self.turns = itertools.cycle(sorted(self.views))
        self.policy = policy


class Model:
    """One pattern under one policy; `play` returns the result."""

    def __init__(
        self, pattern: mesh_patterns.Pattern, policy: mesh_patterns.Policy, seed: int
    ) -> None:
        self.pattern = pattern
        self.policy = policy
        self.random = random.Random(seed)
        self.targets = [Target(index, policy) for index in range(len(mesh_patterns.TARGET_ZONES))]
        self.by_key = {target.key: target for target in self.targets}
        self.nodes = [Node(zone, self.targets, policy) for zone in range(mesh_patterns.ZONES)]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = itertools.count()
        self.result = Result()

    def at(self, time_ms: float, action: Callable[[float], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (time_ms, next(self.order), action))

    def play(self, seconds: int) -> Result:
        """Plays the pattern to the end of its last call."""
        self._schedule_arrivals(seconds * 1_000)
        if self.policy.has_ingress:
            for time_ms in range(REPORT_MS, seconds * 1_000, REPORT_MS):
                self.at(time_ms, self._report)
        while self.events:
            time_ms, _, action = heapq.heappop(self.events)
            action(time_ms)
        return self.result

    def _schedule_arrivals(self, length_ms: int) -> None:
        numbers, time_ms = itertools.count(), 0.0
        while time_ms < length_ms:
            load = self.pattern.load(time_ms / 1_000)
            time_ms += self.random.expovariate(load * mesh_patterns.CAPACITY_PER_MS)
            kind = (
                mesh_patterns.DEPOSIT
                if self.random.random() < mesh_patterns.DEPOSIT_SHARE
                else mesh_patterns.READ
            )
            client = Client(
                next(numbers),
                kind,
                self.random.randrange(mesh_patterns.ZONES),
                time_ms + kind.goal_ms,
                time_ms + kind.allowed_ms,
                self.pattern.impatience,
            )
            self.result.owed += kind.worth
            self.at(time_ms, functools.partial(self._arrive, client))

    def _report(self, now_ms: float) -> None:
        for node, target in itertools.product(self.nodes, self.targets):
            view = node.views[target.key]
            view.is_lost = self._is_lost(node, target, now_ms)
            if not view.is_lost:
                view.state, view.state_ms = target.state(now_ms), now_ms

    def _is_lost(self, node: Node, target: Target, now_ms: float) -> bool:
        return target.zone != node.zone and self.pattern.is_cut(target.index, now_ms / 1_000)

    def _arrive(self, client: Client, now_ms: float) -> None:
        node, mark = self.nodes[client.zone], str(client.number)
        leaves_ms = int(client.leaves_ms)
        first_goal = node.refused_calls.pop_goal_ms(mark, int(now_ms), leaves_ms)
        is_renewed = self.policy is mesh_patterns.Policy.RENEWED_GOAL
        goal_ms, latest_ms = call_times.goal_and_latest_ms(
            int(now_ms), client.kind.goal_ms, None if is_renewed else first_goal, leaves_ms
        )
        if is_renewed and first_goal is not None:
            latest_ms = leaves_ms
        node.budget.record_call(mesh_patterns.ZONES)
        self.result.first_sends += 1
        call = Call(client, goal_ms, latest_ms, first_goal is not None)
        self._send(call, now_ms)

    def _send(self, call: Call, now_ms: float) -> None:
        node = self.nodes[call.client.zone]
        target = self._pick(node, call, now_ms)
        if target is None:
            self._end_refused(call, now_ms)
            return
        call.asked.add(target.key)
        node.views[target.key].sent_ms.append(now_ms)
        way_ms = 0.0 if target.zone == node.zone else mesh_patterns.CROSSING_MS
        if self._is_lost(node, target, now_ms):
            self.at(now_ms + SILENT_MS, functools.partial(self._lost, call, target))
        else:
            self.at(now_ms + way_ms, functools.partial(self._deliver, call, target, way_ms))

    def _pick(self, node: Node, call: Call, now_ms: float) -> Target | None:
        if self.policy is mesh_patterns.Policy.ROUND_ROBIN:
            return self.by_key[next(node.turns)]
        if self.policy is mesh_patterns.Policy.LEAST_CONNECTIONS:
            free = min(len(view.sent_ms) for view in node.views.values())
            keys = [key for key, view in node.views.items() if len(view.sent_ms) == free]
            return self.by_key[self.random.choice(keys)]
        candidates = [
            ingress_selection.Candidate(
                key,
                self.by_key[key].zone == node.zone,
                view.state,
                int(now_ms - view.state_ms),
                None,
                ingress_selection.sent_since(view.sent_ms, view.state_ms, None),
            )
            for key, view in node.views.items()
            if key not in call.asked and not view.is_lost
        ]
        aim_ms = call.goal_ms if now_ms < call.goal_ms else call.latest_ms
        found = ingress_selection.choose(candidates, aim_ms - now_ms, False, self.random.random)
        if found is None or len(call.asked) >= egress.MAX_CANDIDATES:
            return None
        candidate, expected_ms = found
        if expected_ms > egress.ESTIMATE_MARGIN * (call.latest_ms - now_ms):
            call.retry_ms = max(egress.MIN_RETRY_MS, ingress_selection.wait_ms(candidate))
            return None
        return self.by_key[candidate.key]

    def _deliver(self, call: Call, target: Target, way_ms: float, now_ms: float) -> None:
        payload = (call, target, way_ms)
        ticket = ingress_queue.Ticket(
            call.client.kind.priority,
            int(call.goal_ms - way_ms),
            int(call.latest_ms - way_ms),
            payload,
            False,
            call.is_resubmitted,
        )
        self._apply(target, target.queue.offer(ticket, int(now_ms)), now_ms)
        if self.policy.has_ingress and ticket in target.queue.waiting:
            patience_ms = (
                call.latest_ms
                - way_ms
                - ingress.MIN_REMAINING_RUN_FRACTION * target.queue.average_ms
            )
            expire = functools.partial(self._expire, target, ticket)
            self.at(max(now_ms, patience_ms), expire)

    def _expire(self, target: Target, ticket: ingress_queue.Ticket, now_ms: float) -> None:
        if ticket in target.queue.waiting:
            self._apply(target, target.queue.abandon(ticket, int(now_ms)), now_ms)
            self._refuse(ticket, now_ms)

    def _apply(self, target: Target, step: ingress_queue.Decisions, now_ms: float) -> None:
        for ticket in step.start:
            second = now_ms / 1_000
            factor = mesh_patterns.SPEEDS[target.index] * self.pattern.factor(target.index, second)
            draw = self.random.lognormvariate(-(mesh_patterns.SIGMA**2) / 2, mesh_patterns.SIGMA)
            run_ms = mesh_patterns.WORK_MS * factor * draw
            left_ms = max(1.0, ticket.payload[0].client.leaves_ms - now_ms)
            is_good = run_ms <= left_ms
            is_good = is_good and self.random.random() >= self.pattern.fails(target.index, second)
            end = functools.partial(self._end_run, target, ticket, is_good)
            self.at(now_ms + min(run_ms, left_ms), end)
        for ticket in step.refuse:
            self._refuse(ticket, now_ms)

    def _refuse(self, ticket: ingress_queue.Ticket, now_ms: float) -> None:
        call, target, way_ms = ticket.payload
        if self.policy.has_ingress:
            call.retry_ms = target.queue.retry_ms(int(now_ms), self.random.random())
        self.at(now_ms + way_ms, functools.partial(self._refused, call, target))

    def _end_run(
        self, target: Target, ticket: ingress_queue.Ticket, is_good: bool, now_ms: float
    ) -> None:
        call, _, way_ms = ticket.payload
        run_ms = now_ms - ticket.started_ms
        target.success_rate += ingress.SUCCESS_RATE_SMOOTHING * (is_good - target.success_rate)
        step = target.queue.finish(ticket, int(now_ms), run_ms if is_good else None)
        self._apply(target, step, now_ms)
        self.at(now_ms + way_ms, functools.partial(self._answered, call, target, is_good))

    def _heard(self, call: Call, target: Target, now_ms: float) -> None:
        view = self.nodes[call.client.zone].views[target.key]
        view.sent_ms.pop(0)
        if self.policy.has_ingress:
            view.state, view.state_ms = target.state(now_ms), now_ms

    def _answered(self, call: Call, target: Target, is_good: bool, now_ms: float) -> None:
        self._heard(call, target, now_ms)
        call.sends += 1
        client = call.client
        if not is_good:
            self._failed(call, now_ms)
        elif not client.is_done and now_ms <= client.leaves_ms:
            client.is_done = True
            is_in_time = now_ms <= client.goal_ms
            self.result.in_time += is_in_time
            self.result.late += not is_in_time
            kind = client.kind
            self.result.earned += kind.worth if is_in_time else kind.late_worth * kind.worth
        else:
            self.result.failed += 1

    def _lost(self, call: Call, target: Target, now_ms: float) -> None:
        self.nodes[call.client.zone].views[target.key].sent_ms.pop(0)
        self.nodes[call.client.zone].views[target.key].is_lost = True
        call.sends += 1
        self._failed(call, now_ms)

    def _failed(self, call: Call, now_ms: float) -> None:
        node, client = self.nodes[call.client.zone], call.client
        may_retry = client.kind.is_idempotent and call.sends < MAX_SENDS
        may_retry = may_retry and now_ms < client.leaves_ms
        if may_retry and (
            self.policy is mesh_patterns.Policy.ROUND_ROBIN
            or node.budget.try_spend(egress.FAILURE_RESERVE)
        ):
            self.result.retries += 1
            self._send(call, now_ms)
        elif client.kind.is_idempotent and client.tries_left > 0 and now_ms < client.leaves_ms:
            client.tries_left -= 1
            self.at(now_ms + 2, functools.partial(self._arrive, client))
        else:
            self.result.failed += 1

    def _refused(self, call: Call, target: Target, now_ms: float) -> None:
        self._heard(call, target, now_ms)
        is_blind = self.policy is mesh_patterns.Policy.ROUND_ROBIN and len(call.asked) < MAX_SENDS
        if self.policy.has_ingress or is_blind:
            self._send(call, now_ms)
        else:
            self._end_refused(call, now_ms)

    def _end_refused(self, call: Call, now_ms: float) -> None:
        client = call.client
        left_ms = client.leaves_ms - now_ms
        if client.tries_left <= 0 or left_ms <= 0:
            self.result.refused += 1
            return
        client.tries_left -= 1
        node = self.nodes[client.zone]
        node.refused_calls.record_refusal(
            str(client.number), int(now_ms), int(call.goal_ms), int(client.leaves_ms)
        )
        is_impatient = self.pattern.impatience > 1
        wait_ms = (
            2.0
            if is_impatient
            else max(egress.MIN_RETRY_MS, min(call.retry_ms, left_ms / egress.RETRY_WAIT_DIVISOR))
        )
        self.at(now_ms + wait_ms, functools.partial(self._arrive, client))


def play(
    pattern: mesh_patterns.Pattern, policy: mesh_patterns.Policy, seconds: int, seed: int
) -> Result:
    """Result of one pattern under one policy."""
    return Model(pattern, policy, seed).play(seconds)


HEADER = ("pattern", "policy", "worth", "in time", "late", "refused", "failed")


def main(arguments: list[str]) -> int:
    """Prints the table of all patterns and policies."""
    del arguments
    lines = []
    for pattern, policy in itertools.product(mesh_patterns.PATTERNS, mesh_patterns.Policy):
        found = play(pattern, policy, SECONDS.value, SEED.value)
        counts = (found.in_time, found.late, found.refused, found.failed)
        shares = [f"{count / max(1, sum(counts)):.3f}" for count in counts]
        lines.append((pattern.name, str(policy), f"{found.share:.3f}", *shares))
    print(report.table(HEADER, lines))
    return 0


if __name__ == "__main__":
    app.run(main)
