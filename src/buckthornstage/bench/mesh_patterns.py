"""Targets, kinds of calls, load patterns and baselines for `mesh_model`."""

import dataclasses
import enum
from collections.abc import Callable

from buckthornstage.limits import ingress_queue

ZONES = 3
TARGET_ZONES = (0, 0, 1, 1, 1, 2, 2)  # zone of each target; order-desk of the Guarumo site
SLOWDOWN = (0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0)  # run time relative to the mean, as on that site
SLOTS = 9
TARGET_QUEUE_LENGTH = 36  # calls that a target without an ingress queues (baselines only)
MEAN_RUN_MS = 110.0
SIGMA = 0.5  # standard deviation of the logarithm of the run time
ONE_WAY_INTER_ZONE_MS = 3.9  # network delay
CAPACITY_PER_MS = sum(SLOTS / (MEAN_RUN_MS * factor) for factor in SLOWDOWN)


class Policy(enum.StrEnum):
    """How targets are chosen and calls are admitted."""

    PRODUCT = "product"
    RENEWED_GOAL = "goal renewed on return"
    """The product before the goal of a resubmitted call counted from its first submission."""
    LEAST_CONNECTIONS = "least connections"
    ROUND_ROBIN = "round robin, blind retries"

    @property
    def has_ingress(self) -> bool:
        """Whether an ingress in front of each target admits calls by goal and deadline."""
        return self in (Policy.PRODUCT, Policy.RENEWED_GOAL)


@dataclasses.dataclass(frozen=True)
class CallKind:
    """Kind of calls: earns `value` until `goal_ms`, then `late_factor` of it until `allowed_ms`."""

    goal_ms: int
    allowed_ms: int
    priority: int
    value: float
    late_factor: float
    is_idempotent: bool
    work_ms: float = MEAN_RUN_MS


READ = CallKind(300, 1_200, 2, 1.0, 0.1, True)
DEPOSIT = CallKind(400, 800, 1, 2.0, 0.2, False)
DEPOSIT_SHARE = 1 / 3


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
    client_retries: int = 1
    """Retries of a client; with more than one, it retries a refused call after 2 ms."""


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
        is_cut=lambda target, second: TARGET_ZONES[target] == 1 and 5 <= second < 10,
    ),
)


class TargetQueue:
    """Bounded first-in, first-out queue of a target without an ingress."""

    def __init__(self) -> None:
        self.slots = SLOTS
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
