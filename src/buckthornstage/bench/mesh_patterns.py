"""Targets, calls, patterns of load and baselines of the model of the two-hop mesh."""

import dataclasses
import enum
from collections.abc import Callable

from buckthornstage.limits import door_queue

ZONES = 3
DOOR_ZONES = (0, 0, 1, 1, 1, 2, 2)  # order-desk of the Guarumo site
SPEEDS = (0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0)  # factor on the run time, as on that site
SLOTS = 9
TARGET_QUEUE = 36  # calls that a target itself holds; only the baselines use it
WORK_MS = 110.0
DEVIATION = 0.5  # of the logarithm of the run time
CROSSING_MS = 3.9  # one way between zones
CAPACITY_PER_MS = sum(SLOTS / (WORK_MS * speed) for speed in SPEEDS)


class Policy(enum.StrEnum):
    """Ways to choose a door and to admit calls."""

    PRODUCT = "product"
    RENEWED_GOAL = "goal renewed on return"
    """The product before the goal of a returning caller counted from its first call."""
    LEAST_CONNECTIONS = "least connections"
    ROUND_ROBIN = "round robin, blind retries"

    @property
    def has_doors(self) -> bool:
        """Whether doors admit calls by their time."""
        return self in (Policy.PRODUCT, Policy.RENEWED_GOAL)


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of calls; times in ms."""

    goal_ms: int
    allowed_ms: int
    priority: int
    worth: float
    late_worth: float
    is_idempotent: bool


READ = Kind(300, 1_200, 2, 1.0, 0.1, True)
DEPOSIT = Kind(400, 800, 1, 2.0, 0.2, False)
DEPOSIT_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class Pattern:
    """Load and trouble; `factor(door, second)` scales run times, `fails` is a probability."""

    name: str
    load: Callable[[float], float]
    factor: Callable[[int, float], float] = lambda door, second: 1.0
    fails: Callable[[int, float], float] = lambda door, second: 0.0
    is_cut: Callable[[int, float], bool] = lambda door, second: False
    impatience: int = 1
    """How often a client asks again at once after a failure or refusal, without waiting."""


def _during(start: float, end: float, inside: float, outside: float):
    return lambda second: inside if start <= second < end else outside


PATTERNS = (
    Pattern("usual load", lambda second: 0.6),
    Pattern("flash crowd", _during(5, 10, 1.8, 0.6)),
    Pattern("lasting overload", lambda second: 1.2),
    Pattern("retry storm", _during(5, 10, 1.3, 0.7), impatience=3),
    Pattern(
        "slow replica",
        lambda second: 0.6,
        factor=lambda door, second: 6.0 if door == 2 and 5 <= second < 12 else 1.0,
    ),
    Pattern(
        "grey replica",
        lambda second: 0.6,
        factor=lambda door, second: 0.4 if door == 2 and 5 <= second < 12 else 1.0,
        fails=lambda door, second: 0.45 if door == 2 and 5 <= second < 12 else 0.0,
    ),
    Pattern(
        "whole service slow",
        lambda second: 0.6,
        factor=lambda door, second: 3.0 if 5 <= second < 10 else 1.0,
    ),
    Pattern(
        "zone lost",
        lambda second: 0.6,
        is_cut=lambda door, second: DOOR_ZONES[door] == 1 and 5 <= second < 10,
    ),
)


class TargetQueue:
    """First come, first served, with a bounded queue: a target without a door."""

    def __init__(self) -> None:
        self.slots = SLOTS
        self.running: set[door_queue.Ticket] = set()
        self.waiting: list[door_queue.Ticket] = []

    def offer(self, ticket: door_queue.Ticket, now_ms: int) -> door_queue.Step:
        """Starts, queues or refuses a call."""
        if len(self.waiting) >= TARGET_QUEUE:
            return door_queue.Step(refuse=(ticket,))
        self.waiting.append(ticket)
        return self._start(now_ms)

    def finish(self, ticket: door_queue.Ticket, now_ms: int, run_ms: float | None):
        """A run has ended."""
        self.running.discard(ticket)
        return self._start(now_ms)

    def _start(self, now_ms: int) -> door_queue.Step:
        count = min(len(self.waiting), self.slots - len(self.running))
        started, self.waiting = self.waiting[:count], self.waiting[count:]
        for ticket in started:
            ticket.started_ms = now_ms
        self.running.update(started)
        return door_queue.Step(start=tuple(started))
