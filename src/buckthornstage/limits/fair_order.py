"""Order of the calls that wait for one target, by tenant and by kind of call (its route).

It holds only while the configuration has tenants. Calls are ordered by

1. what the tenant uses: calls of a tenant that is far above its share, beyond that share, come
   last; some calls of a tenant that is hardly served come first;
2. the priority of the tenant;
3. the kind. Without overload the more urgent kind precedes. Under overload the kind that is served
   least often precedes, and each kind may be ahead of the next less urgent one by `KIND_LEAD`;
4. whether the goal can still be met, whether the call was refused before, and its goal, which for
   a resubmitted call counts from the first submission.

Counts are of calls, not of attempts: a call arrives where it is first tried, and is served where
it starts. The ratio of both, over all ingresses, is the share of the calls that are served. For a
kind, a call that waits counts as served until it is refused; otherwise kinds with a long goal,
whose calls wait for longer, would seem to be served less often while the load rises.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import operator
from collections.abc import Hashable, Mapping, Sequence
from typing import Protocol

HALF_LIFE_MS = 3_000
"""Of the counts by which shares are compared; an ingress starts about 30 calls a second, so that
100 calls decide."""
USUAL_HALF_LIFE_MS = 60_000
"""Of the counts from which the usual share of a tenant at this ingress is learned."""
MIN_USUAL_CALLS = 300
"""Calls, about 10 s of them, from which a usual share is learned. The latest calls are left out, so
that a burst does not look usual."""
OVERLOAD_MS = 3_000
"""Kinds are balanced for this time after a refusal."""
KIND_LEAD = 0.03
"""Served share by which a kind is ahead of the next less urgent one under overload."""
TENANT_SLACK_CALLS = 3
"""Calls that a tenant may have above its share; a small tenant has less than one call in the time
that the counts cover."""
TENANT_DEMAND_FACTOR = 1.2
"""A tenant is above its share if it sends this many times its share of the calls, beside the slack.
Its calls up to its share have their usual place."""
LEAST_TENANT_SHARE = 0.45
"""A tenant that is served less often than this part of the average takes precedence. The goal is
a quarter; the rest is for the delay until the order has an effect, and for the differences between
small tenants, which are judged together."""
SORTED_MS = 20
"""Time for which calls that wait keep their order while none is offered; sorting takes most of the
processor time of an overloaded ingress."""
PLACE = operator.attrgetter("place")
RESCALE_EXPONENT = 20
MIN_COUNT = 0.01
"""Smaller counts are dropped; they are those of calls of more than 6 half-lives ago."""
MAX_REPORTED_PRIORITIES = 8

HARDLY_SERVED, USUAL, ABOVE_SHARE = 0.0, 1.0, 2.0
"""Levels of calls by what their tenant uses; above its share, the excess is added."""


class Ticket(Protocol):
    """What the order reads of a queued call, and the level and the place that it writes."""

    kind: str
    priority: int
    tenant: str
    tenant_priority: int
    goal_ms: int
    is_resubmitted: bool
    is_first: bool
    order: int
    level: float
    place: tuple[bool, int, int]


@dataclasses.dataclass
class DecayedCounts:
    """Counts by name in which each half-life halves the weight of a call.

    New calls have a growing weight instead, so that a count changes only when it is added to.
    """

    half_life_ms: int
    epoch_ms: int = 0
    unit: float = 1.0
    """Weight of a call that is counted now."""
    tables: tuple[dict, ...] = ()

    def advance(self, now_ms: int) -> None:
        """Sets the weight of a call that is counted now."""
        exponent = (now_ms - self.epoch_ms) / self.half_life_ms
        if exponent > RESCALE_EXPONENT:
            self._rescale(0.5**exponent if exponent < 1_000 else 0.0)
            self.epoch_ms, exponent = now_ms, 0.0
        self.unit = 2.0**exponent

    def _rescale(self, factor: float) -> None:
        for table in self.tables:
            kept = {name: count * factor for name, count in table.items()}
            table.clear()
            table.update((name, count) for name, count in kept.items() if count > MIN_COUNT)


def _table() -> collections.defaultdict[Hashable, float]:
    return collections.defaultdict(float)


class FairOrder:
    """Counts of arrived and served calls, and the order that follows from them."""

    def __init__(self) -> None:
        self.is_enabled = False
        self.fractions: dict[str, float] = {}
        """Share of each tenant in all calls, by the rates of the configuration."""
        self.kinds_arrived, self.kinds_taken = _table(), _table()
        self.tenants_arrived, self.tenants_served = _table(), _table()
        self.priorities_arrived, self.priorities_served = _table(), _table()
        self.totals = _table()
        self.usual = _table()
        self.usual_total = _table()
        self.counts = DecayedCounts(
            HALF_LIFE_MS,
            tables=(
                self.kinds_arrived,
                self.kinds_taken,
                self.tenants_arrived,
                self.tenants_served,
                self.priorities_arrived,
                self.priorities_served,
                self.totals,
            ),
        )
        self.usual_counts = DecayedCounts(USUAL_HALF_LIFE_MS, tables=(self.usual, self.usual_total))
        self.overloaded_until_ms = 0
        self.next_place_ms = 0.0
        self.is_sorted = False
        """Whether no call has been offered since the waiting ones were sorted."""
        self.sorted_ms = 0

    def set_tenants(self, rates: Mapping[str, float]) -> None:
        """Takes the tenants of a configuration with their rates (calls/s, 0 for no limit).

        A tenant without a limit has the mean share. Without tenants the order is not used.
        """
        limited = [rate for rate in rates.values() if rate > 0]
        mean = sum(limited) / len(limited) if limited else 1.0
        total = sum(rate or mean for rate in rates.values())
        self.fractions = {name: (rate or mean) / total for name, rate in rates.items()}
        self.is_enabled = bool(rates)

    def record_arrival(self, ticket: Ticket, now_ms: int) -> None:
        """Takes a call that is offered; only the first attempt of a call counts as its arrival."""
        if not self.is_enabled:
            return
        ticket.place = (not ticket.is_resubmitted, ticket.goal_ms, ticket.order)
        self.is_sorted = False
        self.counts.advance(now_ms)
        unit = self.counts.unit
        self.kinds_taken[ticket.kind] += unit
        if not ticket.is_first:
            return
        self.kinds_arrived[ticket.kind] += unit
        if ticket.tenant:
            self.totals["arrived"] += unit
            self.tenants_arrived[ticket.tenant] += unit
            self.priorities_arrived[ticket.tenant_priority] += unit
            self.usual_counts.advance(now_ms)
            self.usual[ticket.tenant] += self.usual_counts.unit
            self.usual_total[""] += self.usual_counts.unit

    def record_start(self, ticket: Ticket, now_ms: int) -> None:
        """Counts a call that starts at the target."""
        if self.is_enabled and ticket.tenant:
            self.counts.advance(now_ms)
            unit = self.counts.unit
            self.totals["served"] += unit
            self.tenants_served[ticket.tenant] += unit
            self.priorities_served[ticket.tenant_priority] += unit

    def record_refusals(self, refused: Sequence[Ticket], now_ms: int) -> None:
        """Takes that calls were refused, from which on kinds are balanced for a while."""
        if not (self.is_enabled and refused):
            return
        self.overloaded_until_ms = now_ms + OVERLOAD_MS
        self.counts.advance(now_ms)
        for ticket in refused:
            self.kinds_taken[ticket.kind] -= self.counts.unit

    def sort(self, waiting: Sequence[Ticket], in_time_ms: float, now_ms: int) -> list[Ticket]:
        """Waiting calls in the order in which they are to start.

        A run that begins now and ends at `in_time_ms` has lasted as long as nearly all do.
        """
        is_sorted = self.is_sorted and now_ms - self.sorted_ms < SORTED_MS
        if is_sorted or len(waiting) < 2:
            return list(waiting)
        self.is_sorted, self.sorted_ms = True, now_ms
        self.counts.advance(now_ms)
        self._set_levels(waiting)
        is_balanced = now_ms < self.overloaded_until_ms
        groups: dict[tuple[float, int], dict[Hashable, list[Ticket]]] = collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
        for ticket in sorted(waiting, key=PLACE):
            kind = ticket.kind if is_balanced else ticket.priority
            groups[ticket.level, ticket.tenant_priority][kind].append(ticket)
        balance = self._balance(waiting) if is_balanced else {}
        merged: list[Ticket] = []
        for group in sorted(groups):
            kinds = {
                kind: _late_last(tickets, in_time_ms) for kind, tickets in groups[group].items()
            }
            if is_balanced:
                _merge(kinds, balance, merged)
            else:
                merged.extend(itertools.chain.from_iterable(kinds[kind] for kind in sorted(kinds)))
        return merged

    def _balance(self, waiting: Sequence[Ticket]) -> dict[str, tuple[float, float]]:
        """For each kind that waits: its score, and by how much one more served call raises it.

        The score is the served share, with the lead of more urgent kinds. One call more on both
        sides makes that of a kind without calls 1. It is not above 1: an ingress that serves calls
        refused elsewhere would otherwise hold back the kind that is refused most.
        """
        priorities = {ticket.kind: ticket.priority for ticket in waiting}
        ranks = {priority: rank for rank, priority in enumerate(sorted(set(priorities.values())))}
        unit = self.counts.unit
        balance = {}
        for kind, priority in priorities.items():
            step = unit / (self.kinds_arrived.get(kind, 0.0) + unit)
            taken = max(0.0, self.kinds_taken.get(kind, 0.0)) / unit + 1
            share = min(1.0, taken * step)
            balance[kind] = (share + KIND_LEAD * ranks[priority], step)
        return balance

    def _set_levels(self, waiting: Sequence[Ticket]) -> None:
        """Sets the level of each call. Calls of a tenant before it count as served, so that only
        what exceeds the tenant's share comes last."""
        unit = self.counts.unit
        bounds: dict[str, tuple[float, float]] = {}
        used: dict[str, float] = {}
        missing = self._missing_by_priority()
        for ticket in waiting:
            tenant, priority = ticket.tenant, ticket.tenant_priority
            ticket.level = USUAL
            if not tenant:
                continue
            if tenant not in bounds:
                bounds[tenant] = self._bounds(tenant)
                used[tenant] = self.tenants_served.get(tenant, 0.0)
            least, most = bounds[tenant]
            use = used[tenant]
            if use < least:
                ticket.level = HARDLY_SERVED
            elif use > most:
                excess = self.tenants_served.get(tenant, 0.0) / max(unit, most)
                ticket.level = ABOVE_SHARE + excess
            elif missing and missing.get(priority, 0.0) > 0:
                ticket.level = HARDLY_SERVED
                missing[priority] -= unit
            used[tenant] = use + unit

    def _served_share(self) -> float:
        """Part of the calls of all tenants that is served."""
        arrived = self.totals.get("arrived", 0.0)
        return min(1.0, self.totals.get("served", 0.0) / max(self.counts.unit, arrived))

    def _missing_by_priority(self) -> dict[int, float]:
        """For each tenant priority that is hardly served: calls by which it is below its least.

        Many small tenants have too few calls here to be judged one by one.
        """
        least_share = LEAST_TENANT_SHARE * self._served_share()
        missing = {}
        for priority, arrived in self.priorities_arrived.items():
            calls = least_share * arrived - self.priorities_served.get(priority, 0.0)
            if calls > 0 and arrived > TENANT_SLACK_CALLS * self.counts.unit:
                missing[priority] = calls
        return missing

    def _bounds(self, tenant: str) -> tuple[float, float]:
        """Served calls below which a tenant takes precedence, and above which it comes last."""
        arrived = self.tenants_arrived.get(tenant, 0.0)
        slack = TENANT_SLACK_CALLS * self.counts.unit
        if arrived <= slack:
            return 0.0, math.inf
        least = LEAST_TENANT_SHARE * self._served_share() * arrived
        fraction = self.fraction(tenant)
        if arrived - slack <= TENANT_DEMAND_FACTOR * fraction * self.totals["arrived"]:
            return least, math.inf
        return least, max(least, fraction * self.totals["served"])

    def fraction(self, tenant: str) -> float:
        """Usual share of a tenant in the calls here: by its rate, or what it had here before.

        The callers of a tenant may all be in one zone, where it then has more than by its rate.
        """
        configured = self.fractions.get(tenant, 0.0)
        usual_unit, unit = self.usual_counts.unit, self.counts.unit
        total = self.usual_total.get("", 0.0) / usual_unit - self.totals["arrived"] / unit
        if total < MIN_USUAL_CALLS:
            return configured
        calls = self.usual.get(tenant, 0.0) / usual_unit
        return max(configured, (calls - self.tenants_arrived.get(tenant, 0.0) / unit) / total)

    def kind_shares(self) -> dict[str, float]:
        """Served share of each kind in the last seconds, for log lines."""
        taken = self.kinds_taken
        return {
            kind: round(min(1.0, max(0.0, taken.get(kind, 0.0)) / arrived), 2)
            for kind, arrived in self.kinds_arrived.items()
            if arrived > self.counts.unit
        }

    def tenants_above_share(self) -> list[str]:
        """Tenants whose further calls come last, for log lines."""
        return [
            tenant
            for tenant, served in self.tenants_served.items()
            if served > self._bounds(tenant)[1]
        ]

    def ahead(self, waiting: Sequence[Ticket]) -> tuple[tuple[int, int], ...]:
        """For each route priority that waits, how many calls are before the end of its calls.

        Calls of tenants that are above their share are left out, since others pass them.
        """
        if not (self.is_enabled and waiting):
            return ()
        last: dict[int, int] = {}
        for count, ticket in enumerate(waiting, 1):
            if ticket.level >= ABOVE_SHARE:
                break
            last[ticket.priority] = count
        return tuple(sorted(last.items())[:MAX_REPORTED_PRIORITIES])

    def retry_ms(self, wait_ms: float, place_ms: float, now_ms: int, jitter: float) -> float:
        """Time after which a refused caller may find a place, another one for each caller.

        Places become free `wait_ms` from now on, each `place_ms`; after twice the wait they are
        given again. `jitter` in [0, 1) spreads the callers of several ingresses.
        """
        first_ms = now_ms + wait_ms
        if not first_ms <= self.next_place_ms <= first_ms + max(wait_ms, place_ms):
            self.next_place_ms = first_ms
        found_ms = self.next_place_ms
        self.next_place_ms += place_ms
        return found_ms + jitter * place_ms - now_ms


def _late_last(tickets: list[Ticket], in_time_ms: float) -> list[Ticket]:
    """The same calls; those that cannot meet their goal come last."""
    late = [ticket for ticket in tickets if ticket.goal_ms < in_time_ms]
    if not late:
        return tickets
    return [ticket for ticket in tickets if ticket.goal_ms >= in_time_ms] + late


def _merge(
    kinds: dict[str, list[Ticket]], balance: dict[str, tuple[float, float]], merged: list[Ticket]
) -> None:
    """Appends the calls of all kinds to `merged`, each time one of the kind with the least score,
    and adds them to the scores."""
    heap = [(balance[kind][0], tickets[0].priority, kind) for kind, tickets in kinds.items()]
    heapq.heapify(heap)
    iterators = {kind: iter(tickets) for kind, tickets in kinds.items()}
    while len(heap) > 1:
        score, priority, kind = heap[0]
        ticket = next(iterators[kind], None)
        step = balance[kind][1]
        if ticket is None:
            heapq.heappop(heap)
            balance[kind] = (score, step)
            continue
        merged.append(ticket)
        heapq.heapreplace(heap, (score + step, priority, kind))
    score, _, kind = heap[0]
    rest = list(iterators[kind])
    merged.extend(rest)
    step = balance[kind][1]
    balance[kind] = (score + len(rest) * step, step)
