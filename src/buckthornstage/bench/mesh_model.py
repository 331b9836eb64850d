"""Model of the two-hop mesh in virtual time: `python -m buckthornstage.bench.mesh_model`.

The product's own code makes the decisions; targets, links and clients follow the Guarumo site.
Baselines get the same load, so a changed decision can be judged without real processes.
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
from buckthornstage.mesh import egress, ingress, ingress_choice
from buckthornstage.routing import ingress_selection

SECONDS = flags.DEFINE_integer("seconds", 20, "Length of each pattern in virtual seconds.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals, run times and choices.")
REPORT_INTERVAL_MS = 500  # between reports of ingress state, besides those in responses
LOST_AFTER_MS = 600  # after which a call to an unreachable target counts as failed
MAX_SENDS = 2  # `max_attempts` of the site's routes
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

    @property
    def earned_fraction(self) -> float:
        """Earned part of the value of all calls."""
        return self.earned_value / max(1.0, self.offered_value)


class Target:
    """Target with the queue of its ingress; a baseline has the queue of the target instead."""

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
        """State that the ingress reports to an egress."""
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
    """State of a target as one node knows it, and the times of its open calls there."""

    state: frames.IngressState
    state_ms: float
    sent_ms: list[float] = dataclasses.field(default_factory=list)
    is_unreachable: bool = False


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
        self.round_robin = itertools.cycle(sorted(self.views))
        self.policy = policy


class Model:
    """One pattern under one policy; `simulate` returns the result."""

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

    def _at(self, time_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time_ms, next(self.order), action))

    def simulate(self, seconds: int) -> Result:
        """Runs until the last call has ended; calls arrive during the first `seconds`."""
        self._schedule_arrivals(seconds * 1_000)
        if self.policy.has_ingress:
            for time_ms in range(REPORT_INTERVAL_MS, seconds * 1_000, REPORT_INTERVAL_MS):
                self._at(time_ms, self._report_states)
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
                self.pattern.client_retries,
            )
            self.result.offered_value += kind.value
            self._at(time_ms, functools.partial(self._arrive, client))

    def _report_states(self, now_ms: float) -> None:
        for node, target in itertools.product(self.nodes, self.targets):
            view = node.views[target.key]
            view.is_unreachable = self._is_cut_off(node, target, now_ms)
            if not view.is_unreachable:
                view.state, view.state_ms = target.state(now_ms), now_ms

    def _is_cut_off(self, node: Node, target: Target, now_ms: float) -> bool:
        return target.zone != node.zone and self.pattern.is_cut(target.index, now_ms / 1_000)

    def _arrive(self, client: Client, now_ms: float) -> None:
        node, client_id = self.nodes[client.zone], str(client.number)
        deadline_ms = int(client.deadline_ms)
        first_goal = node.refused_calls.pop_goal_ms(client_id, int(now_ms), deadline_ms)
        is_renewed = self.policy is mesh_patterns.Policy.RENEWED_GOAL
        goal_ms, latest_ms = call_times.goal_and_latest_ms(
            int(now_ms), client.kind.goal_ms, None if is_renewed else first_goal, deadline_ms
        )
        if is_renewed and first_goal is not None:
            latest_ms = deadline_ms
        node.budget.record_call(mesh_patterns.ZONES)
        self.result.first_sends += 1
        call = Call(client, goal_ms, latest_ms, first_goal is not None)
        self._send(call, now_ms)

    def _send(self, call: Call, now_ms: float) -> None:
        node = self.nodes[call.client.zone]
        target = self._choose_target(node, call, now_ms)
        if target is None:
            self._end_refused(call, now_ms)
            return
        call.tried.add(target.key)
        node.views[target.key].sent_ms.append(now_ms)
        delay_ms = 0.0 if target.zone == node.zone else mesh_patterns.ONE_WAY_INTER_ZONE_MS
        if self._is_cut_off(node, target, now_ms):
            self._at(now_ms + LOST_AFTER_MS, functools.partial(self._on_lost, call, target))
        else:
            self._at(now_ms + delay_ms, functools.partial(self._deliver, call, target, delay_ms))

    def _choose_target(self, node: Node, call: Call, now_ms: float) -> Target | None:
        if self.policy is mesh_patterns.Policy.ROUND_ROBIN:
            return self.by_key[next(node.round_robin)]
        if self.policy is mesh_patterns.Policy.LEAST_CONNECTIONS:
            fewest = min(len(view.sent_ms) for view in node.views.values())
            keys = [key for key, view in node.views.items() if len(view.sent_ms) == fewest]
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
            if key not in call.tried and not view.is_unreachable
        ]
        due_ms = call.goal_ms if now_ms < call.goal_ms else call.latest_ms
        choice = ingress_selection.choose(candidates, due_ms - now_ms, False, self.random.random)
        if choice is None or len(call.tried) >= ingress_choice.MAX_CANDIDATES:
            return None
        candidate, expected_ms = choice
        if expected_ms > ingress_choice.ESTIMATE_MARGIN * (call.latest_ms - now_ms):
            call.retry_ms = max(ingress_choice.MIN_RETRY_MS, ingress_selection.wait_ms(candidate))
            return None
        return self.by_key[candidate.key]

    def _deliver(self, call: Call, target: Target, delay_ms: float, now_ms: float) -> None:
        payload = (call, target, delay_ms)
        ticket = ingress_queue.Ticket(
            call.client.kind.priority,
            int(call.goal_ms - delay_ms),
            int(call.latest_ms - delay_ms),
            payload,
            False,
            call.is_resubmitted,
        )
        self._apply(target, target.queue.offer(ticket, int(now_ms)), now_ms)
        if self.policy.has_ingress and ticket in target.queue.waiting:
            expiry_ms = target.queue.last_start_ms(ticket)
            expire = functools.partial(self._expire, target, ticket)
            self._at(max(now_ms, expiry_ms), expire)

    def _expire(self, target: Target, ticket: ingress_queue.Ticket, now_ms: float) -> None:
        if ticket in target.queue.waiting:
            self._apply(target, target.queue.abandon(ticket, int(now_ms)), now_ms)
            self._send_refusal(ticket, now_ms)

    def _apply(self, target: Target, decisions: ingress_queue.Decisions, now_ms: float) -> None:
        for ticket in decisions.start:
            second = now_ms / 1_000
            scale = mesh_patterns.SLOWDOWN[target.index] * self.pattern.factor(target.index, second)
            noise = self.random.lognormvariate(-(mesh_patterns.SIGMA**2) / 2, mesh_patterns.SIGMA)
            client = ticket.payload[0].client
            run_ms = client.kind.work_ms * scale * noise
            left_ms = max(1.0, client.deadline_ms - now_ms)
            is_ok = run_ms <= left_ms
            is_ok = is_ok and self.random.random() >= self.pattern.error_rate(target.index, second)
            end = functools.partial(self._end_run, target, ticket, is_ok)
            self._at(now_ms + min(run_ms, left_ms), end)
        for ticket in decisions.refuse:
            self._send_refusal(ticket, now_ms)

    def _send_refusal(self, ticket: ingress_queue.Ticket, now_ms: float) -> None:
        call, target, delay_ms = ticket.payload
        if self.policy.has_ingress:
            call.retry_ms = target.queue.retry_ms(int(now_ms), self.random.random())
        self._at(now_ms + delay_ms, functools.partial(self._on_refused, call, target))

    def _end_run(
        self, target: Target, ticket: ingress_queue.Ticket, is_ok: bool, now_ms: float
    ) -> None:
        call, _, delay_ms = ticket.payload
        run_ms = now_ms - ticket.started_ms
        target.success_rate += ingress.SUCCESS_RATE_SMOOTHING * (is_ok - target.success_rate)
        decisions = target.queue.finish(ticket, int(now_ms), run_ms if is_ok else None)
        self._apply(target, decisions, now_ms)
        self._at(now_ms + delay_ms, functools.partial(self._on_response, call, target, is_ok))

    def _update_view(self, call: Call, target: Target, now_ms: float) -> None:
        view = self.nodes[call.client.zone].views[target.key]
        view.sent_ms.pop(0)
        if self.policy.has_ingress:
            view.state, view.state_ms = target.state(now_ms), now_ms

    def _on_response(self, call: Call, target: Target, is_ok: bool, now_ms: float) -> None:
        self._update_view(call, target, now_ms)
        call.sends += 1
        client = call.client
        if not is_ok:
            self._on_failure(call, now_ms)
        elif not client.is_done and now_ms <= client.deadline_ms:
            client.is_done = True
            is_in_time = now_ms <= client.goal_ms
            self.result.in_time += is_in_time
            self.result.late += not is_in_time
            kind = client.kind
            self.result.earned_value += kind.value if is_in_time else kind.late_factor * kind.value
        else:
            self.result.failed += 1

    def _on_lost(self, call: Call, target: Target, now_ms: float) -> None:
        self.nodes[call.client.zone].views[target.key].sent_ms.pop(0)
        self.nodes[call.client.zone].views[target.key].is_unreachable = True
        call.sends += 1
        self._on_failure(call, now_ms)

    def _on_failure(self, call: Call, now_ms: float) -> None:
        node, client = self.nodes[call.client.zone], call.client
        may_retry = client.kind.is_idempotent and call.sends < MAX_SENDS
        may_retry = may_retry and now_ms < client.deadline_ms
        if may_retry and (
            self.policy is mesh_patterns.Policy.ROUND_ROBIN
            or node.budget.try_spend(egress.FAILURE_RESERVE)
        ):
            self.result.retries += 1
            self._send(call, now_ms)
        elif client.kind.is_idempotent and client.retries_left > 0 and now_ms < client.deadline_ms:
            client.retries_left -= 1
            self._at(now_ms + 2, functools.partial(self._arrive, client))
        else:
            self.result.failed += 1

    def _on_refused(self, call: Call, target: Target, now_ms: float) -> None:
        self._update_view(call, target, now_ms)
        is_blind = self.policy is mesh_patterns.Policy.ROUND_ROBIN and len(call.tried) < MAX_SENDS
        if self.policy.has_ingress or is_blind:
            self._send(call, now_ms)
        else:
            self._end_refused(call, now_ms)

    def _end_refused(self, call: Call, now_ms: float) -> None:
        client = call.client
        left_ms = client.deadline_ms - now_ms
        if client.retries_left <= 0 or left_ms <= 0:
            self.result.refused += 1
            return
        client.retries_left -= 1
        node = self.nodes[client.zone]
        node.refused_calls.record_refusal(
            str(client.number), int(now_ms), int(call.goal_ms), int(client.deadline_ms)
        )
        retries_at_once = self.pattern.client_retries > 1
        wait_ms = (
            2.0
            if retries_at_once
            else max(
                ingress_choice.MIN_RETRY_MS, min(call.retry_ms, left_ms / egress.RETRY_WAIT_DIVISOR)
            )
        )
        self._at(now_ms + wait_ms, functools.partial(self._arrive, client))


def simulate(
    pattern: mesh_patterns.Pattern, policy: mesh_patterns.Policy, seconds: int, seed: int
) -> Result:
    """Result of one pattern under one policy."""
    return Model(pattern, policy, seed).simulate(seconds)


HEADER = ("pattern", "policy", "worth", "in time", "late", "refused", "failed")


def main(arguments: list[str]) -> int:
    """Prints the table of all patterns and policies."""
    del arguments
    lines = []
    for pattern, policy in itertools.product(mesh_patterns.PATTERNS, mesh_patterns.Policy):
        result = simulate(pattern, policy, SECONDS.value, SEED.value)
        counts = (result.in_time, result.late, result.refused, result.failed)
        shares = [f"{count / max(1, sum(counts)):.3f}" for count in counts]
        lines.append((pattern.name, str(policy), f"{result.earned_fraction:.3f}", *shares))
    print(report.table(HEADER, lines))
    return 0


if __name__ == "__main__":
    app.run(main)
