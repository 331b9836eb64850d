"""Model of the two-hop mesh in virtual time: `python -m buckthornstage.bench.mesh_model`.

The product's own code makes the decisions; targets, links and clients follow a site.
Baselines get the same load, so a changed decision can be judged without real processes.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

from absl import app, flags

from buckthornstage.bench import mesh_parts, mesh_patterns
from buckthornstage.demo import report
from buckthornstage.limits import call_times, ingress_queue
from buckthornstage.link import frames
from buckthornstage.mesh import egress, ingress, ingress_choice
from buckthornstage.routing import ingress_selection

SECONDS = flags.DEFINE_integer("seconds", 20, "Length of each pattern in virtual seconds.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals, run times and choices.")
REPORT_INTERVAL_MS = 500  # between reports of ingress state, besides those in responses
LOST_AFTER_MS = 600  # after which a call to an unreachable target counts as failed
MAX_SENDS = 2  # `max_attempts` of the site's routes
RETRY_RATIO, RETRY_SLACK = mesh_parts.RETRY_RATIO, mesh_parts.RETRY_SLACK


class Model:
    """One pattern under one policy; `simulate` returns the result."""

    def __init__(
        self, pattern: mesh_patterns.Pattern, policy: mesh_patterns.Policy, seed: int
    ) -> None:
        self.pattern = pattern
        self.policy = policy
        self.random = random.Random(seed)
        self.site = site = pattern.site
        self.targets = [
            mesh_parts.Target(index, site, policy) for index in range(len(site.target_zones))
        ]
        self.by_key = {target.key: target for target in self.targets}
        self.nodes = [
            [
                mesh_parts.Node(zone, self._observed(zone), site, policy)
                for _ in range(site.nodes_per_zone)
            ]
            for zone in range(site.zones)
        ]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = itertools.count()
        self.result = mesh_parts.Result()

    def _observed(self, zone: int) -> list[mesh_parts.Target]:
        if self.site.remote_views is None:
            return self.targets
        local = [target for target in self.targets if target.zone == zone]
        remote = [target for target in self.targets if target.zone != zone]
        return local + self.random.sample(remote, self.site.remote_views)

    def _at(self, time_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time_ms, next(self.order), action))

    def simulate(self, seconds: int) -> mesh_parts.Result:
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
            time_ms += self.random.expovariate(load * self.site.capacity_per_ms)
            is_rare = self.random.random() < self.site.rare_share
            kind = self.site.rare if is_rare else self.site.usual
            client = mesh_parts.Client(
                next(numbers),
                kind,
                self._zone(time_ms / 1_000),
                time_ms + kind.goal_ms,
                time_ms + kind.allowed_ms,
                self.pattern.client_retries,
            )
            self.result.offered_value += kind.value
            self._at(time_ms, functools.partial(self._arrive, client))

    def _zone(self, second: float) -> int:
        """Zone of the next client."""
        zones = range(self.site.zones)
        if self.pattern.zone_weight is None:
            return self.random.randrange(self.site.zones)
        return self.random.choices(zones, [self.pattern.zone_weight(z, second) for z in zones])[0]

    def _report_states(self, now_ms: float) -> None:
        for target in self.targets:
            state = target.state(now_ms)
            for node in itertools.chain.from_iterable(self.nodes):
                if target.key not in node.views or not node.is_watched(target, now_ms):
                    continue
                view = node.views[target.key]
                view.is_unreachable = self._is_cut_off(node, target, now_ms)
                if not view.is_unreachable:
                    receive = functools.partial(self._receive_state, view, state)
                    self._at(now_ms + self.site.report_delay_ms, receive)

    def _receive_state(
        self, view: mesh_parts.View, state: frames.IngressState, now_ms: float
    ) -> None:
        view.state, view.state_ms = state, now_ms

    def _is_cut_off(self, node: mesh_parts.Node, target: mesh_parts.Target, now_ms: float) -> bool:
        return target.zone != node.zone and self.pattern.is_cut(target.index, now_ms / 1_000)

    def _node(self, client: mesh_parts.Client) -> mesh_parts.Node:
        """Node that the client sends to."""
        return self.nodes[client.zone][client.number % self.site.nodes_per_zone]

    def _arrive(self, client: mesh_parts.Client, now_ms: float) -> None:
        node, client_id = self._node(client), str(client.number)
        deadline_ms = int(client.deadline_ms)
        first_goal = node.refused_calls.pop_goal_ms(client_id, int(now_ms), deadline_ms)
        is_renewed = self.policy is mesh_patterns.Policy.RENEWED_GOAL
        goal_ms, latest_ms = call_times.goal_and_latest_ms(
            int(now_ms), client.kind.goal_ms, None if is_renewed else first_goal, deadline_ms
        )
        if is_renewed and first_goal is not None:
            latest_ms = deadline_ms
        node.budget.record_call(self.site.zones * self.site.nodes_per_zone)
        self.result.first_sends += 1
        call = mesh_parts.Call(client, goal_ms, latest_ms, first_goal is not None)
        self._send(call, now_ms)

    def _send(self, call: mesh_parts.Call, now_ms: float) -> None:
        node = self._node(call.client)
        target = self._choose_target(node, call, now_ms)
        if target is None:
            self._end_refused(call, now_ms)
            return
        call.tried.add(target.key)
        node.views[target.key].sent_ms.append(now_ms)
        second, is_bulk = int(now_ms / 1_000), call.client.kind.is_bulk
        self.result.sends[second, node.zone, target.zone, is_bulk] += 1
        delay_ms = 0.0 if target.zone == node.zone else self.site.one_way_ms
        if self._is_cut_off(node, target, now_ms):
            self._at(now_ms + LOST_AFTER_MS, functools.partial(self._on_lost, call, target))
        else:
            self._at(now_ms + delay_ms, functools.partial(self._deliver, call, target, delay_ms))

    def _choose_target(
        self, node: mesh_parts.Node, call: mesh_parts.Call, now_ms: float
    ) -> mesh_parts.Target | None:
        if self.policy is mesh_patterns.Policy.ROUND_ROBIN:
            return self.by_key[next(node.round_robin)]
        if self.policy is mesh_patterns.Policy.LEAST_CONNECTIONS:
            fewest = min(len(view.sent_ms) for view in node.views.values())
            keys = [key for key, view in node.views.items() if len(view.sent_ms) == fewest]
            return self.by_key[self.random.choice(keys)]
        choice = node.choose(call, now_ms, self.random.random)
        if choice is None or len(call.tried) >= ingress_choice.MAX_CANDIDATES:
            return None
        candidate, expected_ms = choice
        if expected_ms > ingress_choice.ESTIMATE_MARGIN * (call.latest_ms - now_ms):
            call.retry_ms = max(ingress_choice.MIN_RETRY_MS, ingress_selection.wait_ms(candidate))
            return None
        return self.by_key[candidate.key]

    def _deliver(
        self, call: mesh_parts.Call, target: mesh_parts.Target, delay_ms: float, now_ms: float
    ) -> None:
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

    def _expire(
        self, target: mesh_parts.Target, ticket: ingress_queue.Ticket, now_ms: float
    ) -> None:
        if ticket in target.queue.waiting:
            self._apply(target, target.queue.abandon(ticket, int(now_ms)), now_ms)
            self._send_refusal(ticket, now_ms)

    def _apply(
        self, target: mesh_parts.Target, decisions: ingress_queue.Decisions, now_ms: float
    ) -> None:
        for ticket in decisions.start:
            second = now_ms / 1_000
            free = self.pattern.free_slots(target.index, second) * self.site.slots
            if len(target.queue.running) > max(1.0, free):
                self._at(now_ms, functools.partial(self._reject, target, ticket))
                continue
            scale = self.site.slowdown[target.index] * self.pattern.factor(target.index, second)
            noise = self.random.lognormvariate(-(mesh_patterns.SIGMA**2) / 2, mesh_patterns.SIGMA)
            client = ticket.payload[0].client
            run_ms = (client.kind.work_ms or self.site.mean_run_ms) * scale * noise
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
        self, target: mesh_parts.Target, ticket: ingress_queue.Ticket, is_ok: bool, now_ms: float
    ) -> None:
        call, _, delay_ms = ticket.payload
        run_ms = now_ms - ticket.started_ms
        target.success_rate += ingress.SUCCESS_RATE_SMOOTHING * (is_ok - target.success_rate)
        decisions = target.queue.finish(ticket, int(now_ms), run_ms if is_ok else None)
        self._apply(target, decisions, now_ms)
        self._at(now_ms + delay_ms, functools.partial(self._on_response, call, target, is_ok))

    def _reject(
        self, target: mesh_parts.Target, ticket: ingress_queue.Ticket, now_ms: float
    ) -> None:
        """The target rejects a call although its ingress knows of a free slot."""
        target.success_rate -= ingress.SUCCESS_RATE_SMOOTHING * target.success_rate
        self._apply(target, target.queue.finish(ticket, int(now_ms), None), now_ms)
        ticket.payload[0].sends += 1
        self._send_refusal(ticket, now_ms)

    def _update_view(self, call: mesh_parts.Call, target: mesh_parts.Target, now_ms: float) -> None:
        view = self._node(call.client).views[target.key]
        view.sent_ms.pop(0)
        if self.policy.has_ingress:
            view.state, view.state_ms = target.state(now_ms), now_ms

    def _on_response(
        self, call: mesh_parts.Call, target: mesh_parts.Target, is_ok: bool, now_ms: float
    ) -> None:
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

    def _on_lost(self, call: mesh_parts.Call, target: mesh_parts.Target, now_ms: float) -> None:
        self._node(call.client).views[target.key].sent_ms.pop(0)
        self._node(call.client).views[target.key].is_unreachable = True
        call.sends += 1
        self._on_failure(call, now_ms)

    def _on_failure(self, call: mesh_parts.Call, now_ms: float) -> None:
        node, client = self._node(call.client), call.client
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

    def _on_refused(self, call: mesh_parts.Call, target: mesh_parts.Target, now_ms: float) -> None:
        self._update_view(call, target, now_ms)
        is_blind = self.policy is mesh_patterns.Policy.ROUND_ROBIN and len(call.tried) < MAX_SENDS
        may_send = self.policy.has_ingress or is_blind
        if call.sends and may_send:
            # A target has rejected the call, which counts as a send.
            may_send = call.sends < MAX_SENDS and self._node(call.client).budget.try_spend(0.0)
            self.result.retries += may_send
        if may_send:
            self._send(call, now_ms)
        else:
            self._end_refused(call, now_ms)

    def _end_refused(self, call: mesh_parts.Call, now_ms: float) -> None:
        client = call.client
        left_ms = client.deadline_ms - now_ms
        if client.retries_left <= 0 or left_ms <= 0:
            self.result.refused += 1
            return
        client.retries_left -= 1
        node = self._node(client)
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
) -> mesh_parts.Result:
    """Result of one pattern under one policy."""
    return Model(pattern, policy, seed).simulate(seconds)


HEADER = ("pattern", "policy", "worth", "in time", "late", "refused", "failed", "crossed", "long")
ZONE_PATTERNS = (
    *mesh_patterns.zone_patterns(mesh_patterns.GUARUMO, "few targets"),
    *mesh_patterns.zone_patterns(mesh_patterns.LARGE, "many targets"),
    *mesh_patterns.zone_patterns(mesh_patterns.TIGHT, "tight goals"),
    *mesh_patterns.zone_patterns(mesh_patterns.LATE_REPORTS, "late reports"),
)
ZONE_POLICIES = (mesh_patterns.Policy.PRODUCT, mesh_patterns.Policy.GOAL_ONLY)


def main(arguments: list[str]) -> int:
    """Prints the table of all patterns and policies."""
    del arguments
    lines = []
    runs = itertools.chain(
        itertools.product(mesh_patterns.PATTERNS, mesh_patterns.Policy),
        itertools.product(ZONE_PATTERNS, ZONE_POLICIES),
    )
    for pattern, policy in runs:
        result = simulate(pattern, policy, SECONDS.value, SEED.value)
        counts = (result.in_time, result.late, result.refused, result.failed)
        shares = [f"{count / max(1, sum(counts)):.3f}" for count in counts]
        shares += [f"{result.crossing_fraction():.3f}", str(result.long_crossings())]
        lines.append((pattern.name, str(policy), f"{result.earned_fraction:.3f}", *shares))
    print(report.table(HEADER, lines))
    return 0


if __name__ == "__main__":
    app.run(main)
