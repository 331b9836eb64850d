"""Targets, calls, patterns of load and baselines of the model of the two-hop mesh."""

import dataclasses
import enum
from collections.abc import Callable

from buckthornstage.limits import ingress_queue

ZONES = 3
TARGET_ZONES = (0, 0, 1, 1, 1, 2, 2)  # order-desk of the Guarumo site
SLOWDOWN = (0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0)  # factor on the run time, as on that site
SLOTS = 9
TARGET_QUEUE_LENGTH = 36  # calls that a target itself holds; only the baselines use it
MEAN_RUN_MS = 110.0
SIGMA = 0.5  # of the logarithm of the run time
ONE_WAY_INTER_ZONE_MS = 3.9  # one way between zones
CAPACITY_PER_MS = sum(SLOTS / (MEAN_RUN_MS * factor) for factor in SLOWDOWN)


class Policy(enum.StrEnum):
    """Ways to choose a target and to admit calls."""

    PRODUCT = "product"
    RENEWED_GOAL = "goal renewed on return"
    """The product before the goal of a returning caller counted from its first call."""
    LEAST_CONNECTIONS = "least connections"
    ROUND_ROBIN = "round robin, blind retries"

    @property
    def has_ingress(self) -> bool:
        """Whether an ingress before each target admits calls by their time."""
        return self in (Policy.PRODUCT, Policy.RENEWED_GOAL)


@dataclasses.dataclass(frozen=True)
class CallKind:
    """Kind of calls; times in ms."""

    goal_ms: int
    allowed_ms: int
    priority: int
    value: float
    late_factor: float
    is_idempotent: bool


READ = CallKind(300, 1_200, 2, 1.0, 0.1, True)
DEPOSIT = CallKind(400, 800, 1, 2.0, 0.2, False)
DEPOSIT_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class Pattern:
    """Load and trouble; `factor(target, second)` scales run times, `fails` is a probability."""

    name: str
    load: Callable[[float], float]
    factor: Callable[[int, float], float] = lambda target, second: 1.0
    error_rate: Callable[[int, float], float] = lambda target, second: 0.0
    is_cut: Callable[[int, float], bool] = lambda target, second: False
    client_retries: int = 1
    """How often a client asks again at once after a failure or refusal, without waiting."""


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
    """First come, first served, with a bounded queue: a target without an ingress."""

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
        """A run has ended."""
        self.running.discard(ticket)
        return self._start(now_ms)

    def _start(self, now_ms: int) -> ingress_queue.Decisions:
        count = min(len(self.waiting), self.slots - len(self.running))
        started, self.waiting = self.waiting[:count], self.waiting[count:]
        for ticket in started:
            ticket.started_ms = now_ms
        self.running.update(started)
        return ingress_queue.Decisions(start=tuple(started))
