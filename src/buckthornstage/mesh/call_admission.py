"""First steps of a call at the egress: its route, its tenant, its times and its pending call."""

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.limits import call_times, crash_guard, refused_calls
from buckthornstage.mesh import header_codec, ingress, pending_call
from buckthornstage.routing import routes

Kind = errors.ErrorKind

RESPONSE_MARGIN_MS = 15
"""Subtracted from the caller's timeout so that the final response arrives in time; its transfer
takes 1 to 3 ms."""
CRASH_LIMIT = 3


def match(table: routes.RouteTable, request: messages.Request) -> routes.Route | None:
    """Route of a request by its host and path, or None."""
    path = request.target.partition("?")[0]
    host = (request.header(b"host") or "").partition(":")[0].lower()
    return table.match(host, path)


def route_of(table: routes.RouteTable | None, request: messages.Request) -> routes.Route:
    """Route of a request; raises CallError if there is none, or no configuration yet."""
    if table is None:
        raise errors.CallError(Kind.NOT_READY)
    route = match(table, request)
    if route is None:
        raise errors.CallError(Kind.NO_ROUTE, f"version {table.configuration.version}")
    return route


class CallAdmission:
    """Creates pending calls; `refused_calls` are the calls that callers were told to resubmit."""

    def __init__(
        self,
        clock: clocks.Clock,
        codec: header_codec.HeaderCodec,
        guard: crash_guard.CrashGuard,
        own_ingress: ingress.Ingress,
    ) -> None:
        self.clock = clock
        self.header_codec = codec
        self.guard = guard
        self.ingress = own_ingress
        self.split = routes.weighted_round_robin()
        self.refused_calls = refused_calls.RefusedCalls()
        self.node_end = call_times.ShutdownDeadline()

    def admit(
        self,
        request: messages.Request,
        head: header_codec.CallHead,
        route: routes.Route,
        tenant: routes.Tenant | None,
        table: routes.RouteTable,
        began_ms: int,
    ) -> pending_call.PendingCall:
        """Creates the pending call of a request; raises CallError if this node must not send it.

        `began_ms` is when the request was received; `table` the one that `route` is of.
        """
        remaining_ms = route.timeout_ms if head.remaining_ms is None else head.remaining_ms
        remaining_ms -= self.ingress.loop_lag.lag_ms(began_ms, self.clock.suspended_ms())
        wanted_ms = began_ms + min(remaining_ms - RESPONSE_MARGIN_MS, route.timeout_ms)
        deadline_ms = self.node_end.deadline_ms(wanted_ms)
        if deadline_ms is None:
            raise errors.CallError(Kind.LEAVING)
        caller_deadline_ms = None if head.remaining_ms is None else began_ms + remaining_ms
        fingerprint = crash_guard.fingerprint(request.method, request.target, request.body)
        first_goal_ms = self.refused_calls.pop_goal_ms(fingerprint, began_ms, caller_deadline_ms)
        goal_ms, latest_ms = call_times.goal_and_latest_ms(
            began_ms, route.goal_ms, first_goal_ms, deadline_ms
        )
        pending = pending_call.PendingCall(
            head.call_id,
            request,
            route,
            self.split(route),
            table.configuration.version,
            began_ms,
            goal_ms,
            latest_ms,
            deadline_ms,
            caller_deadline_ms,
            fingerprint,
            first_goal_ms is not None,
            tenant,
        )
        if self.guard.deaths and self.guard.is_refused(fingerprint, CRASH_LIMIT, began_ms):
            raise errors.CallError(Kind.QUARANTINED)
        pending.headers = self.header_codec.forwarded_headers(
            request, bool(table.configuration.tenants)
        )
        return pending

    def record_refusal(self, pending: pending_call.PendingCall) -> None:
        """Remembers a call whose caller is told to resubmit it."""
        self.refused_calls.record_refusal(
            pending.fingerprint,
            self.clock.now_ms(),
            pending.goal_ms,
            pending.caller_deadline_ms,
        )
