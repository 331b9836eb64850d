"""The ingress: the only path to the target of this VM.

It admits calls by the target's slots and runs each at most once at the target. The outcome is a
proof that the call has not run, the target's whole response, or "may have run". Log lines and
metrics name the ingress "door".
"""

import functools
import math
import random
from collections.abc import Callable

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage.http import messages
from buckthornstage.limits import (
    broken_calls,
    crash_guard,
    fair_order,
    held_bytes,
    ingress_queue,
    link_pacer,
    loop_lag,
)
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import (
    at_target,
    crash_attribution,
    events,
    header_codec,
    ingress_log,
    ingress_state,
    metrics,
    queued_call,
    response_memory,
    target_acceptance,
    target_pool,
)
from buckthornstage.routing import routes

Status = lifetimes.Status
Outcome = frames.Refused | frames.Failed | frames.Response

HEARTBEAT_TIMEOUT_INTERVALS = 3.5
"""A target is considered down after this many intervals without an announcement; an announcement
may be seconds late."""
SUCCESS_RATE_SMOOTHING = 0.08  # weight of the newest outcome
ABOVE_SHARE = "above_share"
"""Reason of the refusal of a call that others pass, as its tenant sends more than its share."""
MAX_STALE_CONNECTIONS = 2
"""Stale idle connections that a call may meet; each proves that it has not run."""
STATUS_OF_TARGET = {
    Status.READY: frames.IngressStatus.OPEN,
    Status.DRAINING: frames.IngressStatus.TARGET_DRAINING,
    Status.DOWN: frames.IngressStatus.TARGET_DOWN,
}


class Ingress:
    """State of the ingress; `on_change` is called when its status changes."""

    def __init__(
        self,
        clock: clocks.Clock,
        codec: header_codec.HeaderCodec,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
        guard: crash_guard.CrashGuard,
        heartbeat_ms: int,
    ) -> None:
        self.clock = clock
        self.header_codec = codec
        self.log = log
        self.metrics = node_metrics
        self.guard = guard
        self.heartbeat_ms = heartbeat_ms
        self.random = random.Random()
        self.lifetimes = lifetimes.Lifetimes()
        self.queue = ingress_queue.IngressQueue()
        self.pool = target_pool.TargetPool(clock, log)
        self.memory = response_memory.ResponseMemory()
        self.success_rate = 1.0
        self.is_leaving = False
        self.is_informed = True
        """Whether it is known which lifetimes have announced that they leave; before that, a late
        announcement could reopen the ingress to one of them."""
        self.broken_calls = broken_calls.BrokenCalls()
        self.is_balanced = False
        """Whether the queue balances kinds of calls, as last logged."""
        self.loop_lag = loop_lag.LoopLag()
        self.on_change = lambda: None
        self.on_run: Callable[[frames.Call, Outcome], None] | None = None
        """Called with the outcome of each call that was admitted; None if nobody counts them."""
        self.tells_version = False
        """Whether states name the version of the target, because of a roll-out."""
        self.states = 0
        """States that this process has taken; the number of the newest."""
        self.pacer = link_pacer.LinkPacer()
        """For long responses on the link of this node."""

    def status(self) -> frames.IngressStatus:
        """Whether the ingress accepts calls."""
        current = self.lifetimes.current
        if self.is_leaving:
            return frames.IngressStatus.LEAVING
        if current is None or not self.is_informed:
            return frames.IngressStatus.NO_TARGET
        return STATUS_OF_TARGET[current.status]

    def state(self) -> frames.IngressState:
        """Load and health, by which callers select an ingress."""
        return ingress_state.of(self)

    def announce(self, announcement: lifetimes.Announcement) -> lifetimes.AnnouncementResult:
        """Processes an announcement of the target."""
        previous = self.lifetimes.current
        verdict = self.lifetimes.announce(announcement, self.clock.now_ms())
        now = self.lifetimes.current
        if verdict is lifetimes.AnnouncementResult.STARTED:
            crash_attribution.record_crashes(self, previous)
            self.pool.clear()
            self.success_rate = 1.0
            # A lifetime starts with announcement 1, so it can have responded to nobody yet.
            self.queue.rate.restart(has_response=announcement.sequence <= 1)
            self.queue.restart(announcement.slots)
        elif verdict is not lifetimes.AnnouncementResult.STALE:
            self.queue.set_slots(announcement.slots)
        if previous is None or previous.status is not now.status or verdict is verdict.STARTED:
            self._status_changed(str(verdict), announcement.sequence)
        return verdict

    def set_max_connections(self, limit: int | None) -> None:
        """Sets how many connections the target accepts from all callers; None if not known.

        This ingress is the only one that opens connections to it.
        """
        self.pool.max_connections = limit
        self.queue.set_max_slots(limit)
        self.advance_queue()

    def set_tenants(self, tenants: tuple[routes.Tenant, ...]) -> None:
        """Takes the tenants in force, whose calls the queue orders by their shares."""
        rates = {tenant.name: tenant.rate_per_second for tenant in tenants}
        self.queue.fair_order.set_tenants(rates)
        self.advance_queue()

    def deregister(self, instance: str, started_at_ms: int | None) -> bool:
        """Ends a lifetime whose target says it is about to exit; returns whether it is current."""
        is_current = self.lifetimes.deregister(instance, started_at_ms)
        if is_current:
            self._status_changed("deregistered", -1)
        return is_current

    def restore_ended(
        self, ended: tuple[lifetimes.Identity, ...], instances: tuple[str, ...]
    ) -> None:
        """Takes the leaves that the store kept for an earlier process of this node."""
        if self.lifetimes.restore(ended, instances):
            self._status_changed("told_by_store", -1)

    def end(self, identity: lifetimes.Identity, cause: str) -> None:
        """Ends a lifetime that leaves, as its response says, or as a peer or the store knows from
        before a restart of this node."""
        if self.lifetimes.end(identity):
            self._status_changed(cause, -1)

    def set_informed(self) -> None:
        """The ended lifetimes are known from now on, as far as anybody knows them."""
        if not self.is_informed:
            self.is_informed = True
            if self.lifetimes.current is not None:
                self._status_changed("informed", -1)

    def check_heartbeat(self) -> None:
        """Closes the ingress to a target that has announced nothing for several intervals."""
        current = self.lifetimes.current
        limit_ms = HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_ms
        if current is not None and self.clock.now_ms() - current.heard_ms > limit_ms:
            self.mark_down(current, "silent")

    def check_order(self) -> None:
        """Logs when the queue begins or ends to balance kinds of calls; to be called regularly."""
        order = self.queue.fair_order
        is_balanced = order.is_enabled and self.clock.now_ms() < order.overloaded_until_ms
        if is_balanced != self.is_balanced:
            self.is_balanced = is_balanced
            ingress_log.order_changed(self, is_balanced)

    def leave(self) -> None:
        """Stops admission for shutdown: waiting calls are refused, running ones go on."""
        self.is_leaving = True
        self._status_changed("leaving", -1)

    async def run(
        self,
        call: frames.Call,
        is_local: bool = False,
        hold: held_bytes.CallHold | None = None,
    ) -> Outcome:
        """Admits the call, runs it at the target, and returns the outcome.

        The frame of a peer may have waited for this process; a call of this node (`is_local`) has
        not. Cancelling this function abandons the call, also at the target.
        """
        now_ms = self.clock.now_ms()
        suspended_ms = self.clock.suspended_ms()
        lag_ms = 0 if is_local else self.loop_lag.lag_ms(now_ms, suspended_ms)
        caller_deadline_ms = now_ms + call.deadline_ms
        deadline_ms = caller_deadline_ms - lag_ms
        if self.status() is not frames.IngressStatus.OPEN:
            return self.refused(call, self.status().name.lower())
        if self.lifetimes.current.service != call.service:
            return self.refused(call, "other_service")
        if (withheld := target_acceptance.withheld(self, call)) is not None:
            return withheld
        admission = queued_call.Admission(trio.Event(), hold=hold)
        ticket = queued_call.ticket_of(call, admission, now_ms - lag_ms)
        self._apply(self.queue.offer(ticket, now_ms))
        try:
            if admission.is_admitted is None:
                await self._wait(admission, ticket)
            if not admission.is_admitted:
                self._apply(self.queue.abandon(ticket, self.clock.now_ms()))
                is_above_share = ticket.level >= fair_order.ABOVE_SHARE
                return self.refused(call, ABOVE_SHARE if is_above_share else "overloaded")
            deadline_ms -= self.clock.suspended_ms() - suspended_ms
            outcome, run_ms = await self._run_at_target(
                call, ticket, deadline_ms, caller_deadline_ms
            )
        except BaseException as error:
            ingress_log.abandoned(self, call, ticket, now_ms, error)
            self._apply(self.queue.abandon(ticket, self.clock.now_ms()))
            raise
        self._apply(self.queue.finish(ticket, self.clock.now_ms(), run_ms))
        if self.tells_version and self.on_run is not None:
            self.on_run(call, outcome)
        # The state in the outcome must show the slot that has just become free.
        return msgspec.structs.replace(outcome, state=self.state())

    async def _wait(self, admission: queued_call.Admission, ticket: ingress_queue.Ticket) -> None:
        """Waits for the decision until a run could no longer end in time."""
        now_ms = self.clock.now_ms()
        max_wait_ms = self.queue.last_start_ms(ticket) - now_ms
        with trio.move_on_after(max(0.0, max_wait_ms) / 1000):
            while admission.is_admitted is None:
                delay_ms = self.queue.change_ms(self.clock.now_ms())
                with trio.move_on_after(max(1.0, delay_ms) / 1000 if delay_ms else math.inf):
                    await admission.decided.wait()
                if admission.is_admitted is None:
                    self.advance_queue()

    def advance_queue(self) -> None:
        """Starts and refuses calls by what is known now."""
        self._apply(self.queue.advance(self.clock.now_ms()))

    def refuse_waiting(self) -> None:
        """Refuses all queued calls, because the target accepts no more work."""
        self._apply(self.queue.refuse_all(self.clock.now_ms()))

    def _apply(self, step: ingress_queue.Decisions) -> None:
        for ticket in (*step.start, *step.refuse):
            ticket.payload.is_admitted = ticket in self.queue.running
            ticket.payload.decided.set()

    async def _run_at_target(
        self,
        call: frames.Call,
        ticket: ingress_queue.Ticket,
        deadline_ms: int,
        caller_deadline_ms: int,
    ) -> tuple[Outcome, int | None]:
        """Outcome, and the run time in ms; None if it must not count towards the average.

        No run starts after `deadline_ms`, which pauses of this process have shortened. One that has
        started may go on until `caller_deadline_ms`, since its caller ends it when its time is up.
        """
        current = self.lifetimes.current
        if (refusal := self._refusal_at_start(call, deadline_ms)) is not None:
            return refusal, None
        connection = None
        run = functools.partial(at_target.run, self, call, ticket, current)
        with trio.move_on_after((caller_deadline_ms - self.clock.now_ms()) / 1000):
            try:
                for _ in range(MAX_STALE_CONNECTIONS):
                    connection = await self.pool.acquire(current.address, call)
                    try:
                        outcome = await run(connection, deadline_ms)
                        break
                    except messages.StaleConnectionError:
                        connection.abort()
                        self.pool.clear()
                else:
                    return self.refused(call, "stale_connection"), None
            except messages.ConnectFailedError as error:
                if error.is_reset:
                    return self.refused(call, "target_full"), None
                self.mark_down(current, str(error))
                return self.refused(call, "target_down"), None
            except messages.HttpError as error:
                connection.abort()
                self.update_success_rate(False)
                crash_attribution.record_broken(self, call, current, error)
                return self.failed(call, f"broken: {error}"), None
            except BaseException:
                if connection is not None:
                    connection.abort()
                raise
            # Failed runs may end at once; counting them would make a failing target look fast.
            return outcome, self._measured_run_ms(ticket) if frames.is_success(outcome) else None
        if connection is None:
            return self.refused(call, "time_ran_out"), None
        target_acceptance.unanswered(self, current, ticket)
        return self.failed(call, "deadline"), self._measured_run_ms(ticket)

    def _refusal_at_start(self, call: frames.Call, deadline_ms: int) -> frames.Refused | None:
        """Refusal of an admitted call that can no longer run, or None."""
        if self.status() is not frames.IngressStatus.OPEN:
            return self.refused(call, self.status().name.lower())
        if deadline_ms <= self.clock.now_ms():
            return self.refused(call, "time_ran_out")
        return None

    def _measured_run_ms(self, ticket: ingress_queue.Ticket) -> int | None:
        """Run time of a call that ends now; None if this process was paused meanwhile, which says
        nothing about the target."""
        now_ms = self.clock.now_ms()
        if self.loop_lag.has_paused_since(ticket.started_ms, now_ms, self.clock.suspended_ms()):
            return None
        return now_ms - ticket.started_ms

    def refused(
        self,
        call: frames.Call,
        reason: str,
        reached_target: bool = False,
        wait_ms: float = 0.0,
    ) -> frames.Refused:
        """Logs and counts a refusal, and returns it."""
        retry_ms = self.queue.retry_ms(self.clock.now_ms(), self.random.random(), wait_ms)
        ingress_log.refused(self, call, reason, retry_ms)
        return frames.Refused(reason, retry_ms, self.state(), reached_target)

    def failed(self, call: frames.Call, reason: str) -> frames.Failed:
        """Logs and counts a failure, and returns it."""
        ingress_log.failed(self, call, reason)
        return frames.Failed(reason, self.state())

    def update_success_rate(self, succeeded: bool) -> None:
        """Takes whether a run had a proper response of the target."""
        self.success_rate += SUCCESS_RATE_SMOOTHING * (succeeded - self.success_rate)

    def mark_down(self, current: lifetimes.Lifetime, reason: str) -> None:
        """Closes the ingress to a target that cannot be reached, until its next announcement."""
        was_leaving = current.identity in self.lifetimes.ended
        if self.lifetimes.mark_down(current.instance, current.started_at_ms):
            if not was_leaving:
                crash_attribution.record_crashes(self, current)
            self.pool.clear()
            self._status_changed(reason, -1)

    def _status_changed(self, cause: str, sequence: int) -> None:
        current = self.lifetimes.current
        if self.status() is not frames.IngressStatus.OPEN:
            self.refuse_waiting()
        self.log.emit(
            "door",
            "target_state",
            is_vital=True,
            status=self.status().name.lower(),
            cause=cause,
            instance=current.instance if current else None,
            born_ms=current.started_at_ms if current else None,
            sequence=sequence,
        )
        self.on_change()
