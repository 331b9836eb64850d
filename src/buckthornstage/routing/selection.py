"""Load balancing: power of two choices by observed load, with zone preference and slow start."""

import dataclasses
import enum
import math
import random as random_module
from collections.abc import Collection, Sequence

from buckthornstage.routing import table

LATENCY_WINDOW_MS = 5_000
INITIAL_LATENCY_MS = 1.0
AVERAGE_LATENCY_WEIGHT = 0.05
REPORTED_WEIGHT = 0.3  # low, so that reports only break near ties: they may be late or wrong
REPORT_AGE_MS = 3_000
FAILURES_TO_EJECT = 5
EJECT_MS = 1_000
MAX_EJECT_MS = 30_000
SHED_PENALTY_MS = 100  # after shedding a call, a target is full for about one run time
SHED_FACTOR = 10.0
FAILURE_FACTOR = 2.0
MIN_WEIGHT = 0.1  # fraction of the normal load for a newly started target


class Outcome(enum.Enum):
    """Result of an attempt, as it affects the statistics of the target."""

    SUCCESS = "success"
    SHED = "shed"
    FAILURE = "failure"
    REFUSED = "refused"
    """No connection could be opened; one such attempt is enough evidence to eject the target."""
    CANCELLED = "cancelled"


@dataclasses.dataclass
class Statistics:
    """Statistics of one target incarnation as seen by this node; times are monotonic ms."""

    first_seen_ms: int
    in_flight: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    last_measured_ms: int | None = None
    reported_load: float = 0.0
    reported_ms: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    shed_until_ms: int = 0


class Selector:
    """Keeps statistics of all targets known to this node and selects among them.

    `link_cost_ms` is the cost of a round trip to another zone; `wall_offset_ms` is wall time minus
    monotonic time and is used to compute the age of targets.
    """

    def __init__(
        self,
        random: random_module.Random,
        local_zone: str,
        link_cost_ms: float,
        wall_offset_ms: int = 0,
    ) -> None:
        self.random = random
        self.local_zone = local_zone
        self.link_cost_ms = link_cost_ms
        self.wall_offset_ms = wall_offset_ms
        self.statistics: dict[tuple[str, int], Statistics] = {}
        self.average_latency_ms: dict[str, float] = {}
        self.ejected_until_ms = 0
        self.local_pools: dict[str, tuple[Sequence[table.Target], Sequence[table.Target]]] = {}
        self.ejections = 0

    def statistics_of(self, target: table.Target, now_ms: int) -> Statistics:
        """Statistics of the target, created on first use."""
        found = self.statistics.get(target.identity)
        if found is None:
            found = self.statistics[target.identity] = Statistics(now_ms)
        return found

    def choose(
        self,
        targets: Sequence[table.Target],
        now_ms: int,
        exclude: Collection[tuple[str, int]] = (),
        connections: int | None = None,
        slow_start_ms: int = 0,
    ) -> table.Target | None:
        """Returns the target for the next attempt, or None if all are excluded or busy.

        `exclude` holds the identities of targets that this call has already tried. A target is
        busy when this node alone uses all of its slots or `connections`.
        """

        fast = self._choose_fast(targets, now_ms, exclude, connections, slow_start_ms)
        if fast is not None:
            return fast

        def is_free(target: table.Target) -> bool:
            if target.identity in exclude:
                return False
            limit = target.slots if connections is None else min(connections, target.slots)
            return self.statistics_of(target, now_ms).in_flight < limit

        # Fall back to ejected targets if no other target is free.
        free = [target for target in self._healthy(targets, now_ms) if is_free(target)] or [
            target for target in targets if is_free(target)
        ]
        local = [target for target in free if target.zone == self.local_zone]
        chosen = self._choose_of_two(local, now_ms, slow_start_ms)
        if chosen is None or len(local) == len(free):
            return chosen or self._choose_of_two(free, now_ms, slow_start_ms)
        if min(self._queueing_ms(target, now_ms) for target in local) <= self.link_cost_ms:
            return chosen
        remote = [target for target in free if target.zone != self.local_zone]
        other = self._choose_of_two(remote, now_ms, slow_start_ms)
        return self._lower_cost(chosen, other, now_ms, slow_start_ms)

    def _choose_fast(
        self,
        targets: Sequence[table.Target],
        now_ms: int,
        exclude: Collection[tuple[str, int]],
        connections: int | None,
        slow_start_ms: int,
    ) -> table.Target | None:
        """Fast path of `choose`: samples two targets without filtering all of them first.

        Returns None if it does not apply: targets are excluded or ejected, or one of the
        two is busy, overloaded or has just shed a call.
        """
        if exclude or self.ejected_until_ms > now_ms or not targets:
            return None
        service = targets[0].service
        known_targets, pool = self.local_pools.get(service, (None, ()))
        if known_targets is not targets:
            pool = tuple(target for target in targets if target.zone == self.local_zone) or targets
            self.local_pools[service] = (targets, pool)
        first = second = pool[0]
        if len(pool) > 1:
            index = self.random.randrange(len(pool))
            other = self.random.randrange(len(pool) - 1)
            first, second = pool[index], pool[other + (other >= index)]
        for target in (first, second):
            stats = self.statistics_of(target, now_ms)
            limit = target.slots if connections is None else min(connections, target.slots)
            load = self._load(target, stats, now_ms)
            if stats.in_flight >= limit or stats.shed_until_ms > now_ms or load > target.slots:
                return None
        return first if first is second else self._lower_cost(first, second, now_ms, slow_start_ms)

    def _choose_of_two(
        self, targets: Sequence[table.Target], now_ms: int, slow_start_ms: int
    ) -> table.Target | None:
        if len(targets) <= 1:
            return targets[0] if targets else None
        first = self.random.randrange(len(targets))
        second = self.random.randrange(len(targets) - 1)
        second += second >= first
        return self._lower_cost(targets[first], targets[second], now_ms, slow_start_ms)

    def _lower_cost(
        self, first: table.Target, second: table.Target, now_ms: int, slow_start_ms: int
    ) -> table.Target:
        first_cost = self._cost(first, now_ms, slow_start_ms)
        return first if first_cost <= self._cost(second, now_ms, slow_start_ms) else second

    def attempt_started(self, target: table.Target, now_ms: int) -> None:
        """Records the start of an attempt."""
        self.statistics_of(target, now_ms).in_flight += 1

    def attempt_finished(
        self,
        target: table.Target,
        now_ms: int,
        latency_ms: float,
        outcome: Outcome,
        reported_load: float | None = None,
    ) -> bool:
        """Records the end of an attempt; returns whether it caused the target to be ejected."""
        stats = self.statistics_of(target, now_ms)
        stats.in_flight = max(0, stats.in_flight - 1)
        if reported_load is not None:
            stats.reported_load = min(reported_load, 2.0)
            stats.reported_ms = now_ms
        if outcome is Outcome.SUCCESS:
            stats.failures = stats.ejections = 0
            _record_latency(stats, latency_ms, now_ms)
            typical = self.average_latency_ms.get(target.service, latency_ms)
            self.average_latency_ms[target.service] = typical + AVERAGE_LATENCY_WEIGHT * (
                latency_ms - typical
            )
        elif outcome is Outcome.SHED:
            stats.shed_until_ms = now_ms + SHED_PENALTY_MS
        elif outcome is Outcome.REFUSED:
            stats.failures = FAILURES_TO_EJECT
            return self._eject(stats, now_ms)
        elif outcome is Outcome.FAILURE:
            stats.failures += 1
            if stats.failures >= FAILURES_TO_EJECT:
                return self._eject(stats, now_ms)
        return False

    def retain(self, identities: Collection[tuple[str, int]]) -> None:
        """Drops statistics of targets not in `identities` that have no attempt in flight."""
        self.statistics = {
            identity: stats
            for identity, stats in self.statistics.items()
            if identity in identities or stats.in_flight
        }

    def is_ejected(self, target: table.Target, now_ms: int) -> bool:
        """Whether the target is ejected, ignoring the limit of half of the targets."""
        stats = self.statistics.get(target.identity)
        return stats is not None and stats.ejected_until_ms > now_ms

    def _eject(self, stats: Statistics, now_ms: int) -> bool:
        if stats.ejected_until_ms > now_ms:
            return False
        duration_ms = min(MAX_EJECT_MS, EJECT_MS << min(stats.ejections, 10))
        stats.ejections += 1
        stats.ejected_until_ms = now_ms + duration_ms
        self.ejected_until_ms = max(self.ejected_until_ms, stats.ejected_until_ms)
        self.ejections += 1
        return True

    def _healthy(self, targets: Sequence[table.Target], now_ms: int) -> Sequence[table.Target]:
        """Targets that are not ejected; at most half of all targets are left out."""
        ejected = [target for target in targets if self.is_ejected(target, now_ms)]
        if not ejected:
            return targets
        ejected.sort(key=lambda target: -self.statistics_of(target, now_ms).ejected_until_ms)
        left_out = {target.identity for target in ejected[: len(targets) // 2]}
        return [target for target in targets if target.identity not in left_out]

    def _load(self, target: table.Target, stats: Statistics, now_ms: int) -> float:
        load = stats.in_flight + 1.0
        if now_ms - stats.reported_ms <= REPORT_AGE_MS:
            load += REPORTED_WEIGHT * stats.reported_load * target.slots
        return load

    def _cost(self, target: table.Target, now_ms: int, slow_start_ms: int) -> float:
        stats = self.statistics_of(target, now_ms)
        # Without a measurement, use the average so that the target does not look fastest.
        is_new = stats.last_measured_ms is None
        average_ms = self.average_latency_ms.get(target.service, INITIAL_LATENCY_MS)
        cost = self._load(target, stats, now_ms) * (average_ms if is_new else stats.latency_ms)
        cost *= FAILURE_FACTOR ** min(stats.failures, FAILURES_TO_EJECT)
        if stats.shed_until_ms > now_ms:
            cost *= SHED_FACTOR
        if target.zone != self.local_zone:
            cost += self.link_cost_ms
        return cost / self._weight(target, stats, now_ms, slow_start_ms)

    def _weight(
        self, target: table.Target, stats: Statistics, now_ms: int, slow_start_ms: int
    ) -> float:
        # Age by wall clock is too low if the clock of the target's VM is ahead; age since first
        # seen is too low if this node has just started. The greater is too low only if both apply.
        age_ms = max(
            now_ms - stats.first_seen_ms, now_ms + self.wall_offset_ms - target.started_at_ms
        )
        if age_ms >= slow_start_ms:
            return 1.0
        return max(MIN_WEIGHT, age_ms / slow_start_ms)

    def _queueing_ms(self, target: table.Target, now_ms: int) -> float:
        """Estimated queueing delay at the target."""
        stats = self.statistics_of(target, now_ms)
        if stats.shed_until_ms > now_ms:
            return math.inf
        queued = self._load(target, stats, now_ms) - target.slots
        return max(0.0, queued) / target.slots * stats.latency_ms


def _record_latency(stats: Statistics, latency_ms: float, now_ms: int) -> None:
    if stats.last_measured_ms is None:
        stats.latency_ms = latency_ms
    else:
        weight = 1.0 - math.exp(-max(1, now_ms - stats.last_measured_ms) / LATENCY_WINDOW_MS)
        stats.latency_ms += weight * (latency_ms - stats.latency_ms)
    stats.latency_ms = max(stats.latency_ms, 0.01)
    stats.last_measured_ms = now_ms
