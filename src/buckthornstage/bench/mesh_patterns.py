"""Targets, kinds of calls, load patterns and baselines for `mesh_model`."""

import dataclasses
import enum
import math
from collections.abc import Callable

from buckthornstage.limits import ingress_queue

TARGET_QUEUE_LENGTH = 36  # calls that a target without an ingress queues (baselines only)
SIGMA = 0.5  # standard deviation of the logarithm of the run time


class Policy(enum.StrEnum):
    """How targets are chosen and calls are admitted."""

    PRODUCT = "product"
    RENEWED_GOAL = "goal renewed on return"
    """The product before the goal of a resubmitted call counted from its first submission."""
    LEAST_CONNECTIONS = "least connections"
    ROUND_ROBIN = "round robin, blind retries"
    GOAL_ONLY = "calls leave their zone for the goal only"
    """The product before calls left a full zone by share."""

    @property
    def has_ingress(self) -> bool:
        """Whether an ingress in front of each target admits calls by goal and deadline."""
        return self in (Policy.PRODUCT, Policy.RENEWED_GOAL, Policy.GOAL_ONLY)


@dataclasses.dataclass(frozen=True)
class CallKind:
    """Kind of calls: earns `value` until `goal_ms`, then `late_factor` of it until `allowed_ms`."""

    goal_ms: int
    allowed_ms: int
    priority: int
    value: float
    late_factor: float
    is_idempotent: bool
    is_bulk: bool = False
    work_ms: float | None = None
    """Mean run time; that of the site if None."""


READ = CallKind(300, 1_200, 2, 1.0, 0.1, True)
DEPOSIT = CallKind(400, 800, 1, 2.0, 0.2, False)
LOOKUP = CallKind(552, 1_656, 0, 1.3, 0.1, True)
DOWNLOAD = CallKind(1_517, 4_551, 2, 0.35, 0.1, True, is_bulk=True)


@dataclasses.dataclass(frozen=True)
class Site:
    """Targets of one service, their zones, and what callers ask for.

    `slowdown` scales the run time of each target. `rare_share` of the calls are of the kind
    `rare`.
    """

    zones: int
    target_zones: tuple[int, ...]
    slowdown: tuple[float, ...]
    slots: int
    mean_run_ms: float
    one_way_ms: float
    """Network delay between zones."""
    usual: CallKind
    rare: CallKind
    rare_share: float
    nodes_per_zone: int = 1
    remote_views: int | None = None
    """Targets of other zones that each node observes; None for all."""
    report_delay_ms: float = 0.0
    """Age of reports on their arrival."""

    @property
    def capacity_per_ms(self) -> float:
        """Calls per ms that all targets complete with all slots in use."""
        return sum(self.slots / (self.mean_run_ms * factor) for factor in self.slowdown)


GUARUMO = Site(
    zones=3,
    target_zones=(0, 0, 1, 1, 1, 2, 2),
    slowdown=(0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0),
    slots=9,
    mean_run_ms=110.0,
    one_way_ms=3.9,
    usual=READ,
    rare=DEPOSIT,
    rare_share=1 / 3,
)
"""Service order-desk of the Guarumo site."""
LARGE = Site(
    zones=3,
    target_zones=tuple(index % 3 for index in range(36)),
    slowdown=tuple(0.6 + 0.4 * (index // 3 % 3) for index in range(36)),
    slots=4,
    mean_run_ms=108.0,
    one_way_ms=3.5,
    usual=LOOKUP,
    rare=DOWNLOAD,
    rare_share=0.1,
    nodes_per_zone=6,
    remote_views=8,
    report_delay_ms=10.0,
)
"""A service of many targets of differing speed, as each node observes a part of them."""
TIGHT = dataclasses.replace(
    LARGE,
    slots=3,
    mean_run_ms=100.0,
    one_way_ms=0.5,
    usual=CallKind(300, 600, 1, 1.0, 0.1, True),
    rare=CallKind(250, 500, 1, 1.0, 0.1, False),
)
"""Short goals, and zones that are near each other."""
LATE_REPORTS = dataclasses.replace(LARGE, one_way_ms=250.0, report_delay_ms=250.0)
"""The same with a round trip of half a second between zones."""


@dataclasses.dataclass(frozen=True)
class Pattern:
    """Load and faults of one run.

    `load(second)` is relative to the capacity of all targets. By target and second, `factor` scales
    run times, `error_rate` is the probability of a failure, and `is_cut` tells whether other zones
    can't reach the target.
    """

    name: str
    load: Callable[[float], float]
    factor: Callable[[int, float], float] = lambda target, second: 1.0
    error_rate: Callable[[int, float], float] = lambda target, second: 0.0
    is_cut: Callable[[int, float], bool] = lambda target, second: False
    free_slots: Callable[[int, float], float] = lambda target, second: 1.0
    """Part of the slots of a target that other work leaves free; it rejects calls beyond them."""
    client_retries: int = 1
    """Retries of a client; with more than one, it retries a refused call after 2 ms."""
    site: Site = GUARUMO
    zone_weight: Callable[[int, float], float] | None = None
    """Part of the load by zone and second, relative to the other zones; None for equal parts."""


def _during(start: float, end: float, inside: float, outside: float):
    return lambda second: inside if start <= second < end else outside


PATTERNS = (
    Pattern("usual load", lambda second: 0.6),
    Pattern("flash crowd", _during(5, 10, 1.8, 0.6)),
    Pattern("lasting overload", lambda second: 1.2),
    Pattern("retry storm", _during(5, 10, 1.3, 0.7), client_retries=3),
    Pattern(
        "slow replica",
        lambda second: 0.6,
        factor=lambda target, second: 6.0 if target == 2 and 5 <= second < 12 else 1.0,
    ),
    Pattern(
        "grey replica",
        lambda second: 0.6,
        factor=lambda target, second: 0.4 if target == 2 and 5 <= second < 12 else 1.0,
        error_rate=lambda target, second: (0.45 if target == 2 and 5 <= second < 12 else 0.0),
    ),
    Pattern(
        "whole service slow",
        lambda second: 0.6,
        factor=lambda target, second: 3.0 if 5 <= second < 10 else 1.0,
    ),
    Pattern(
        "zone lost",
        lambda second: 0.6,
        is_cut=lambda target, second: GUARUMO.target_zones[target] == 1 and 5 <= second < 10,
    ),
)


def wave(swing: float, period_s: float, site: Site) -> Callable[[int, float], float]:
    """Weights of zones whose loads rise and fall one after another; their sum is constant."""
    return lambda zone, second: 1 + swing * math.sin(
        math.tau * (second / period_s + zone / site.zones)
    )


def _first_half_of_zone_0(site: Site) -> frozenset[int]:
    inside = [index for index, zone in enumerate(site.target_zones) if zone == 0]
    return frozenset(inside[: len(inside) // 2])


def zone_patterns(site: Site, name: str) -> tuple[Pattern, ...]:
    """Patterns that tell zones apart, for a site."""
    slow = _first_half_of_zone_0(site)
    return (
        Pattern(
            f"shifted waves, {name}",
            lambda second: 0.85,
            site=site,
            zone_weight=wave(0.55, 15.0, site),
        ),
        Pattern(
            f"half of a zone lost, {name}",
            lambda second: 0.65,
            factor=lambda target, second: 50.0 if target in slow and second >= 3 else 1.0,
            site=site,
        ),
        Pattern(f"all zones full, {name}", lambda second: 1.25, site=site),
        Pattern(
            f"one zone partitioned, {name}",
            lambda second: 0.85,
            is_cut=lambda target, second: site.target_zones[target] == 1 and second >= 3,
            site=site,
            zone_weight=wave(0.55, 15.0, site),
        ),
        Pattern(
            f"competing load in one zone, {name}",
            lambda second: 0.5,
            free_slots=lambda target, second: (
                0.34 if site.target_zones[target] == 0 and second >= 3 else 1.0
            ),
            site=site,
        ),
        Pattern(f"ample room, {name}", lambda second: 0.5, site=site),
    )


class TargetQueue:
    """Bounded first-in, first-out queue of a target without an ingress."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: set[ingress_queue.Ticket] = set()
        self.waiting: list[ingress_queue.Ticket] = []

    def offer(self, ticket: ingress_queue.Ticket, now_ms: int) -> ingress_queue.Decisions:
        """Starts, queues or refuses a call."""
        if len(self.waiting) >= TARGET_QUEUE_LENGTH:
            return ingress_queue.Decisions(refuse=(ticket,))
        self.waiting.append(ticket)
        return self._start(now_ms)

    def finish(self, ticket: ingress_queue.Ticket, now_ms: int, run_ms: float | None):
        """Ends a run; starts the next waiting call."""
        self.running.discard(ticket)
        return self._start(now_ms)

    def _start(self, now_ms: int) -> ingress_queue.Decisions:
        count = min(len(self.waiting), self.slots - len(self.running))
        started, self.waiting = self.waiting[:count], self.waiting[count:]
        for ticket in started:
            ticket.started_ms = now_ms
        self.running.update(started)
        return ingress_queue.Decisions(start=tuple(started))
