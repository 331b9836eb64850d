"""Log lines of the ingress on single calls.

Functions of the ingress, given as `own`; log lines name it "door".
"""

from typing import TYPE_CHECKING

import trio

from buckthornstage.limits import ingress_queue
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes

if TYPE_CHECKING:
    from buckthornstage.mesh import ingress


def ran(
    own: "ingress.Ingress",
    call: frames.Call,
    current: lifetimes.Lifetime,
    status: int,
    run_ms: int,
    waited_ms: int,
) -> None:
    """The target has responded."""
    own.log.emit(
        "door",
        "ran",
        call=call.call_id,
        status=status,
        run_ms=run_ms,
        waited_ms=waited_ms,
        instance=current.instance,
        running=len(own.queue.running),
        waiting=len(own.queue.waiting),
        limit=own.queue.rate.per_second,
    )


def refused(own: "ingress.Ingress", call: frames.Call, reason: str, retry_ms: int) -> None:
    """The call has not run; `retry_ms` is what its caller is told."""
    own.metrics.count("door_refused", reason)
    fields = {}
    if own.queue.fair_order.is_enabled:
        fields = {"route": call.route, "tenant": call.tenant}
        own.metrics.count("door_refused_route", call.route)
        if call.tenant:
            own.metrics.count("door_refused_tenant", call.tenant)
    own.log.emit(
        "door",
        "refused",
        call=call.call_id,
        reason=reason,
        retry_ms=retry_ms,
        running=len(own.queue.running),
        waiting=len(own.queue.waiting),
        usual_run_ms=round(own.queue.average_ms),
        latest_ms=call.latest_ms,
        **fields,
    )


def order_changed(own: "ingress.Ingress", is_balanced: bool) -> None:
    """The queue begins or ends to balance kinds of calls, because calls are refused or no longer.

    `shares` are the served shares by route, `above_share` the tenants whose further calls come
    last.
    """
    own.log.emit(
        "door",
        "order",
        is_balanced=is_balanced,
        shares=own.queue.fair_order.kind_shares(),
        above_share=own.queue.fair_order.tenants_above_share(),
    )


def failed(own: "ingress.Ingress", call: frames.Call, reason: str) -> None:
    """The call may have run, and there is no complete response."""
    # Text after the colon may quote the target and would create a counter for each text.
    own.metrics.count("door_failed", reason.partition(":")[0])
    own.log.emit("door", "failed", call=call.call_id, reason=reason, may_have_run=True)


def abandoned(
    own: "ingress.Ingress",
    call: frames.Call,
    ticket: ingress_queue.Ticket,
    arrived_ms: int,
    error: BaseException,
) -> None:
    """The call ended without an outcome: its caller has left, or something failed here.

    `run_ms` is None for a call that was still queued.
    """
    now_ms = own.clock.now_ms()
    began_ms = ticket.started_ms if ticket in own.queue.running else None
    own.metrics.count("door_abandoned", "queued" if began_ms is None else "running")
    own.log.emit(
        "door",
        "abandoned",
        call=call.call_id,
        cause="caller_left" if isinstance(error, trio.Cancelled) else repr(error),
        waited_ms=(now_ms if began_ms is None else began_ms) - arrived_ms,
        run_ms=None if began_ms is None else now_ms - began_ms,
        instance=own.lifetimes.current.instance if own.lifetimes.current else None,
        running=len(own.queue.running),
        waiting=len(own.queue.waiting),
        deadline_ms=call.deadline_ms,
    )
