"""Admission control of one service: an adaptive concurrency limit and a bounded queue."""

import collections
import dataclasses
import enum
from collections.abc import Callable

INITIAL_LIMIT = 10.0
MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.9
ADDITIVE_INCREASE = 1.0  # per `limit` calls that count for growth, see `release`
PRIORITY_CLASSES = 3


class State(enum.Enum):
    """State of a ticket; every state but QUEUED is final."""

    QUEUED = "queued"
    STARTED = "started"
    SHED = "shed"
    LATE = "late"
    CANCELLED = "cancelled"


@dataclasses.dataclass(eq=False)
class Ticket:
    """A call that requests a slot; `priority` 0 is the most urgent of three classes.

    `on_decided` is called once when a queued ticket leaves the queue, except by `cancel`.
    """

    priority: int
    deadline_ms: int
    on_decided: Callable[[], None] = lambda: None
    queued_at_ms: int = 0
    state: State = State.QUEUED


class Admission:
    """Slots and queue of one service.

    `maximum` bounds the adaptive limit, because the targets cannot run more calls. A queued call
    with less than `expected_ms` left (set by the owner from measured latencies) is shed, because it
    would use a slot and still be late. `queue_ms` is the longest time in the queue.
    """

    def __init__(self, queue_length: int, queue_ms: int, maximum: int) -> None:
        self.queue_length = queue_length
        self.queue_ms = queue_ms
        self.maximum = max(MIN_LIMIT, float(maximum))
        self.limit = min(INITIAL_LIMIT, self.maximum)
        self.in_flight = 0
        self.expected_ms = 0.0
        self.last_decrease_at_ms: int | None = None
        self.queues = tuple(collections.deque() for _ in range(PRIORITY_CLASSES))

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self.queues[0]) + len(self.queues[1]) + len(self.queues[2])

    def configure(self, queue_length: int, queue_ms: int, maximum: int) -> None:
        """Applies new limits; queued calls are shed only if the queue is now too long."""
        self.queue_length = queue_length
        self.queue_ms = queue_ms
        self.maximum = max(MIN_LIMIT, float(maximum))
        self.limit = min(self.limit, self.maximum)
        while self.queued > queue_length:
            self._decide(self._least_urgent(), State.SHED)

    def offer(self, ticket: Ticket, now_ms: int) -> State:
        """Starts, queues or sheds the ticket, or marks it late.

        If the queue is full, it displaces the oldest call of the least urgent class, unless that
        class is more urgent.
        """
        if ticket.deadline_ms <= now_ms:
            ticket.state = State.LATE
            return ticket.state
        if self.in_flight < int(self.limit) and not self.queued:
            return self._start(ticket)
        self.expire(now_ms)
        if self.queued >= self.queue_length:
            victim = self._least_urgent()
            if victim is None or victim.priority < ticket.priority:
                ticket.state = State.SHED
                return ticket.state
            # Within a class the oldest call is shed: it has waited longest and has the least value.
            self._decide(victim, State.SHED)
        ticket.queued_at_ms = now_ms
        ticket.state = State.QUEUED
        self.queues[ticket.priority].append(ticket)
        self.fill(now_ms)
        return ticket.state

    def release(self, now_ms: int, may_grow: bool) -> None:
        """Frees the slot of a started call and starts queued ones.

        `may_grow` is true if the call succeeded and no target shed one of its attempts.
        """
        if may_grow and self.in_flight >= int(self.limit):
            # Grow only while the limit is the bottleneck.
            self.limit = min(self.maximum, self.limit + ADDITIVE_INCREASE / self.limit)
        self.in_flight -= 1
        self.fill(now_ms)

    def record_shed(self, now_ms: int, began_ms: int) -> None:
        """Lowers the limit after a target shed an attempt for lack of slots.

        An attempt that began before the last decrease belongs to the same overload and is
        ignored.
        """
        if self.last_decrease_at_ms is None or began_ms >= self.last_decrease_at_ms:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
            self.last_decrease_at_ms = now_ms

    def cancel(self, ticket: Ticket) -> None:
        """Removes a queued ticket whose caller has disconnected."""
        if ticket.state is State.QUEUED:
            self._remove(ticket)
            ticket.state = State.CANCELLED

    def expire(self, now_ms: int) -> None:
        """Removes calls that waited `queue_ms`: LATE after their deadline, otherwise SHED."""
        for queue in self.queues:
            while queue and now_ms - queue[0].queued_at_ms >= self.queue_ms:
                self._decide(queue[0], self._expiry_state(queue[0], now_ms))

    def fill(self, now_ms: int) -> None:
        """Starts queued calls while slots are free, the most urgent class first."""
        latest_ms = now_ms + self.expected_ms
        while self.in_flight < int(self.limit):
            ticket = self._next()
            if ticket is None:
                return
            is_late = ticket.deadline_ms <= latest_ms
            if is_late or now_ms - ticket.queued_at_ms >= self.queue_ms:
                self._decide(ticket, self._expiry_state(ticket, now_ms))
                continue
            self._remove(ticket)
            self._start(ticket)
            ticket.on_decided()

    def _start(self, ticket: Ticket) -> State:
        self.in_flight += 1
        ticket.state = State.STARTED
        return ticket.state

    def _next(self) -> Ticket | None:
        # When the queue is over half full, callers have probably given up on the oldest calls.
        newest_first = 2 * self.queued > self.queue_length
        queue = next((queue for queue in self.queues if queue), None)
        if queue is None:
            return None
        return queue[-1] if newest_first else queue[0]

    def _least_urgent(self) -> Ticket | None:
        queue = next((queue for queue in reversed(self.queues) if queue), None)
        return queue[0] if queue else None

    def _expiry_state(self, ticket: Ticket, now_ms: int) -> State:
        return State.LATE if ticket.deadline_ms <= now_ms else State.SHED

    def _decide(self, ticket: Ticket, state: State) -> None:
        self._remove(ticket)
        ticket.state = state
        ticket.on_decided()

    def _remove(self, ticket: Ticket) -> None:
        queue = self.queues[ticket.priority]
        if queue[-1] is ticket:
            queue.pop()
        else:
            queue.remove(ticket)
