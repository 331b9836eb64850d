"""Limits of a service on this node, and waiting for a slot."""

import time
from collections.abc import Callable

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.document import schema
from buckthornstage.limits import admission, retry_budget
from buckthornstage.proxy import metrics
from buckthornstage.routing import subset, table

PRIORITY_RANKS = {priority: rank for rank, priority in enumerate(schema.Priority)}
LATENCY_FACTOR = 1.5  # times the average; with 1.0 about half of the calls miss the deadline
UNDECLARED_SERVICE = table.Service(schema.BackendService("-", 1, 1), schema.ServiceLimits("-"))


class ServiceCalls:
    """Admission, retry budget and target subset of one service.

    `average_latency_ms()` is the average latency of the service's targets, 0 when unknown.
    """

    def __init__(
        self,
        name: str,
        node: str,
        clock: clocks.Clock,
        node_metrics: metrics.Metrics,
        average_latency_ms: Callable[[], float],
    ) -> None:
        self.name = name
        self.node = node
        self.clock = clock
        self.metrics = node_metrics
        self.average_latency_ms = average_latency_ms
        self.table: table.RoutingTable | None = None
        self.service = UNDECLARED_SERVICE
        self.assigned: subset.Subset | None = None
        self.admission = admission.Admission(0, 0, int(admission.INITIAL_LIMIT))
        self.budget = retry_budget.RetryBudget(0.0)

    def update(self, current: table.RoutingTable) -> None:
        """Applies the limits and targets of a new table; keeps the call counts and the queue."""
        previous, self.table = self.table, current
        self.service = current.services.get(self.name, UNDECLARED_SERVICE)
        self.budget.ratio = self.service.limits.retry_ratio
        if (
            previous is None
            or previous.nodes != current.nodes
            or previous.targets(self.name) != current.targets(self.name)
        ):
            self.assigned = None
        self._configure()

    @property
    def subset(self) -> subset.Subset:
        """Targets assigned to this node, computed on first use after a change.

        This takes milliseconds in a large mesh, and a node calls few services at a time.
        """
        if self.assigned is None:
            targets = self.table.targets(self.name)
            self.assigned = subset.assign(self.table.nodes, targets, self.node)
            self._configure()
        return self.assigned

    def _configure(self) -> None:
        slots = sum(target.slots for target in self.table.targets(self.name))
        if self.assigned is not None:
            slots = min(slots, len(self.assigned.targets) * self.assigned.connections)
        limits = self.service.limits
        self.admission.configure(limits.queue_length, limits.queue_ms, slots)

    async def acquire_slot(self, priority: schema.Priority, deadline_ms: int) -> None:
        """Waits for a slot; raises CallError with overloaded or deadline_exceeded."""
        ticket = admission.Ticket(PRIORITY_RANKS[priority], deadline_ms)
        if self.admission.offer(ticket, self.clock.now_ms()) is admission.State.QUEUED:
            await self._wait(ticket)
        if ticket.state is admission.State.STARTED:
            return
        if ticket.state is admission.State.LATE:
            raise errors.CallError(errors.ErrorKind.DEADLINE_EXCEEDED)
        self.metrics.count("shed_by_node")
        raise errors.CallError(
            errors.ErrorKind.OVERLOADED,
            f"no slot for {self.name}: its queue is full, or the wait was too long",
        )

    async def _wait(self, ticket: admission.Ticket) -> None:
        decided = trio.Event()
        ticket.on_decided = decided.set
        started = time.perf_counter()
        wait_ms = min(self.admission.queue_ms, ticket.deadline_ms - self.clock.now_ms())
        try:
            with trio.move_on_after(max(0, wait_ms) / 1000):
                await decided.wait()
        except trio.Cancelled:
            if ticket.state is admission.State.STARTED:
                self.release_slot(may_grow=False)
            self.admission.cancel(ticket)
            raise
        self.metrics.queued.record_value(int((time.perf_counter() - started) * 1e6))
        if ticket.state is admission.State.QUEUED:
            self.admission.cancel(ticket)
            is_late = ticket.deadline_ms <= self.clock.now_ms()
            ticket.state = admission.State.LATE if is_late else admission.State.SHED

    def release_slot(self, may_grow: bool) -> None:
        """Releases a slot from `acquire_slot`; `may_grow` lets the limit increase."""
        self.admission.expected_ms = LATENCY_FACTOR * self.average_latency_ms()
        self.admission.release(self.clock.now_ms(), may_grow)
