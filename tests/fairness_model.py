"""Model of the mesh with tenants and three kinds of calls, in virtual time.

It extends `bench.mesh_model`: the queue and the choice of an ingress are the product's own code.
"""

import collections
import dataclasses
import functools
import itertools
import math
from collections.abc import Callable

import msgspec

from buckthornstage.bench import mesh_model, mesh_parts, mesh_patterns
from buckthornstage.limits import fair_order, ingress_queue
from buckthornstage.mesh import ingress_choice
from buckthornstage.routing import ingress_selection

LOOKUP = mesh_patterns.CallKind(552, 1_700, 0, 1.3, 0.3, True, work_ms=108.0)
SIGNING = mesh_patterns.CallKind(672, 2_000, 1, 1.4, 0.3, False, work_ms=144.0)
DOWNLOAD = mesh_patterns.CallKind(1_517, 4_500, 2, 0.35, 0.3, True, work_ms=86.0)
NAMES = {LOOKUP: "lookup", SIGNING: "signing", DOWNLOAD: "download"}
MIX = {LOOKUP: 0.5, SIGNING: 0.3, DOWNLOAD: 0.2}
MIN_SHARE_CALLS = 20
"""Tenants with fewer calls are left out of what is said of each tenant."""


def tenants(count=30):
    """Tenants by name with skewed sizes, as shares of the load."""
    sizes = {f"t{number}": 1 / (number + 1) for number in range(count)}
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()}


@dataclasses.dataclass(frozen=True)
class Load:
    """Load by second, relative to the capacity, for each kind and tenant."""

    of_kind: Callable[[mesh_patterns.CallKind, float], float]
    of_tenant: Callable[[str, float], float] = lambda tenant, second: 1.0
    """Factor of the load of a tenant."""
    tenants: dict[str, float] = dataclasses.field(default_factory=tenants)
    priorities: dict[str, int] = dataclasses.field(default_factory=dict)
    client_retries: int = 1
    is_fair: bool = True


@dataclasses.dataclass(eq=False)
class Client(mesh_parts.Client):
    tenant: str = ""
    born_ms: float = 0.0
    is_above_share: bool = False


class Target(mesh_parts.Target):
    def state(self, now_ms):
        found = super().state(now_ms)
        ahead = self.queue.fair_order.ahead(self.queue.waiting)
        return msgspec.structs.replace(found, ahead=ahead)


class FairnessModel(mesh_model.Model):
    """One load; `simulate` returns the result, `shares` the served shares."""

    def __init__(self, load, seed=1):
        pattern = mesh_patterns.Pattern("", lambda second: 1.0, client_retries=load.client_retries)
        super().__init__(pattern, mesh_patterns.Policy.PRODUCT, seed)
        self.load = load
        self.clients = []
        self.targets = [Target(item.index, self.site, self.policy) for item in self.targets]
        self.by_key = {target.key: target for target in self.targets}
        for node in itertools.chain.from_iterable(self.nodes):
            node.strained_ms = math.inf  # so that all ingresses are observed
        for target in self.targets:
            if load.is_fair:
                target.queue.fair_order.set_tenants(
                    {name: 1_000 * share for name, share in load.tenants.items()}
                )

    def _schedule_arrivals(self, length_ms):
        mean_ms = sum(share * kind.work_ms for kind, share in MIX.items())
        capacity = self.site.capacity_per_ms * self.site.mean_run_ms / mean_ms
        for time_ms in range(length_ms):
            second = time_ms / 1_000
            rates = {
                (kind, name): capacity
                * share
                * part
                * self.load.of_kind(kind, second)
                * self.load.of_tenant(name, second)
                for kind, share in MIX.items()
                for name, part in self.load.tenants.items()
            }
            total = sum(rates.values())
            after_ms = self.random.expovariate(total)
            while after_ms < 1:
                choice = self.random.choices(list(rates), rates.values())[0]
                self._add_client(*choice, time_ms + after_ms)
                after_ms += self.random.expovariate(total)

    def _add_client(self, kind, tenant, time_ms):
        client = Client(
            len(self.clients),
            kind,
            self.random.randrange(self.site.zones),
            time_ms + kind.goal_ms,
            time_ms + kind.allowed_ms,
            self.pattern.client_retries,
            tenant=tenant,
            born_ms=time_ms,
        )
        self.clients.append(client)
        self.result.offered_value += kind.value
        self._at(time_ms, functools.partial(self._arrive, client))

    def _choose_target(self, node, call, now_ms):
        kind = call.client.kind
        candidates = node.candidates(
            call,
            now_ms,
            has_rtt=False,
            passed=lambda state: ingress_selection.passed_calls(
                state, None if call.client.is_above_share else kind.priority, call.is_resubmitted
            ),
        )
        due_ms = call.goal_ms if now_ms < call.goal_ms else call.latest_ms
        choice = ingress_selection.choose(candidates, due_ms - now_ms, False, self.random.random)
        if choice is None or len(call.tried) >= ingress_choice.MAX_CANDIDATES:
            return None
        candidate, expected_ms = choice
        margin = 1.0 if call.tried else ingress_choice.ESTIMATE_MARGIN
        if expected_ms > margin * (call.latest_ms - now_ms):
            if not call.tried:
                call.retry_ms = ingress_choice.MIN_RETRY_MS + ingress_selection.wait_ms(candidate)
            return None
        return self.by_key[candidate.key]

    def _deliver(self, call, target, delay_ms, now_ms):
        client = call.client
        ticket = ingress_queue.Ticket(
            client.kind.priority,
            int(call.goal_ms - delay_ms),
            int(call.latest_ms - delay_ms),
            (call, target, delay_ms),
            False,
            call.is_resubmitted,
            NAMES[client.kind],
            client.tenant,
            self.load.priorities.get(client.tenant, 0),
            len(call.tried) <= 1 and not call.is_resubmitted,
        )
        self._apply(target, target.queue.offer(ticket, int(now_ms)), now_ms)
        if ticket in target.queue.waiting:
            expiry_ms = target.queue.last_start_ms(ticket)
            expire = functools.partial(self._expire, target, ticket)
            self._at(max(now_ms, expiry_ms), expire)

    def _send_refusal(self, ticket, now_ms):
        ticket.payload[0].client.is_above_share = ticket.level >= fair_order.ABOVE_SHARE
        super()._send_refusal(ticket, now_ms)

    def shares(self, key, start_s=0.0, end_s=1e9):
        """Served share of the calls of each `key(client)` that were born between two times."""
        served, offered = collections.Counter(), collections.Counter()
        for client in self.clients:
            if start_s <= client.born_ms / 1_000 < end_s:
                offered[key(client)] += 1
                served[key(client)] += client.is_done
        return {name: served[name] / count for name, count in offered.items()}

    def by_kind(self, start_s=0.0, end_s=1e9):
        """Served shares of lookup, signing and download."""
        found = self.shares(lambda client: NAMES[client.kind], start_s, end_s)
        return [found.get(name, 1.0) for name in NAMES.values()]

    def by_tenant(self, start_s=0.0, end_s=1e9):
        """Served shares of the tenants with enough calls."""
        counts = collections.Counter(client.tenant for client in self.clients)
        found = self.shares(lambda client: client.tenant, start_s, end_s)
        return {name: share for name, share in found.items() if counts[name] >= MIN_SHARE_CALLS}


def play(load, seconds, seed=1):
    """The model after a load of some seconds."""
    model = FairnessModel(load, seed)
    model.simulate(seconds)
    return model
