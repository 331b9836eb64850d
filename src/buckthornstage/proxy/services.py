"""Limits of one service in this node, and the wait for a slot."""

import time

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.document import schema
from buckthornstage.limits import admission, retry_budget
from buckthornstage.proxy import metrics
from buckthornstage.routing import subset, table

RANKS = {priority: rank for rank, priority in enumerate(schema.Priority)}
NO_LIMITS = table.Service(schema.BackendService("-", 1, 1), schema.ServiceLimits("-"))


class ServiceCalls:
    """Admission, retry budget and target subset of one service."""

    def __init__(self, name: str, node: str, clock: clocks.Clock, figures: metrics.Metrics):
        self.name = name
        self.node = node
        self.clock = clock
        self.figures = figures
        self.table: table.RoutingTable | None = None
        self.service = NO_LIMITS
        self.subset = subset.Subset((), 0)
        self.admission = admission.Admission(0, 0, 1)
        self.budget = retry_budget.RetryBudget(0.0)

    def update(self, current: table.RoutingTable) -> None:
        """Takes over limits and targets of a new table; counts and queue stay."""
        if current is self.table:
            return
        self.table = current
        self.service = current.services.get(self.name, NO_LIMITS)
        targets = current.targets(self.name)
        self.subset = subset.assign(current.nodes, targets, self.node)
        slots = sum(target.slots for target in targets)
        maximum = min(slots, len(self.subset.targets) * self.subset.connections)
        limits = self.service.limits
        self.admission.configure(limits.queue_length, limits.queue_ms, maximum)
        self.budget.ratio = limits.retry_ratio

    async def enter(self, priority: schema.Priority, deadline_ms: int) -> None:
        """Waits for a slot; raises CallError with overloaded or deadline_exceeded."""
        ticket = admission.Ticket(RANKS[priority], deadline_ms)
        if self.admission.offer(ticket, self.clock.now_ms()) is admission.State.QUEUED:
            await self._wait(ticket)
        if ticket.state is admission.State.STARTED:
            return
        if ticket.state is admission.State.LATE:
            raise errors.CallError(errors.ErrorKind.DEADLINE_EXCEEDED)
        self.figures.count("shed_by_node")
        raise errors.CallError(errors.ErrorKind.OVERLOADED, f"the queue of {self.name} is full")

    async def _wait(self, ticket: admission.Ticket) -> None:
        decided = trio.Event()
        ticket.decided = decided.set
        began = time.perf_counter()
        wait_ms = min(self.admission.queue_ms, ticket.deadline_ms - self.clock.now_ms())
        try:
            with trio.move_on_after(max(0, wait_ms) / 1000):
                await decided.wait()
        except trio.Cancelled:
            if ticket.state is admission.State.STARTED:
                self.leave(may_grow=False)
            self.admission.cancel(ticket)
            raise
        self.figures.queued.record_value(int((time.perf_counter() - began) * 1e6))
        if ticket.state is admission.State.QUEUED:
            self.admission.cancel(ticket)
            is_late = ticket.deadline_ms <= self.clock.now_ms()
            ticket.state = admission.State.LATE if is_late else admission.State.SHED

    def leave(self, may_grow: bool) -> None:
        """Frees the slot of a call that `enter` let in."""
        self.admission.finished(self.clock.now_ms(), may_grow)
