"""The egress: accepts calls from clients and the local target, and sends them to an ingress.

A call ends with the target's response, with a refusal that guarantees "not run", or with an error
that says "may have run". An attempt that may be running is abandoned only for a response or at the
deadline. Log lines name the egress "caller", and the ingress that a call goes to `door`; their
field `is_return` marks a resubmitted call. Metrics count retries as "repeats".
"""

import functools
import random
from collections.abc import Iterator

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.limits import call_times, crash_guard, fleet_retry_budget, refused_calls
from buckthornstage.link import frames
from buckthornstage.membership import directory
from buckthornstage.mesh import (
    candidates,
    events,
    header_codec,
    hedging,
    ingress,
    metrics,
    peer_calls,
    pending_call,
    version_knowledge,
)
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.routing import ingress_selection, routes

Kind = errors.ErrorKind

RESPONSE_MARGIN_MS = 15
"""Subtracted from the caller's timeout so that the final response arrives in time; its transfer
takes 1 to 3 ms."""
ESTIMATE_MARGIN = 1.3
"""The first ingress is tried even if the egress's estimate is too long by this factor; only the
ingress knows its load. After a refusal the estimate must hold: in an overload all ingresses refuse,
and each further attempt takes processor time and bytes from the calls that are served."""
MAX_CANDIDATES = 4
"""Candidates tried for one call; each refusal costs an inter-zone round trip of up to 8 ms."""
CRASH_LIMIT = 3
NOT_RUN_STATUS = 503
MIN_RETRY_MS = 20
NOT_READY_RETRY_MS = 150
"""For a node without a configuration; it loads the first one 0.1 to 0.3 s after its start."""
RETRY_WAIT_DIVISOR = 3
"""A caller honours a requested wait only up to a third of its remaining time."""
FAILURE_RESERVE = 0.5
"""Fraction of the retry budget that is not spent on calls that a target has run and failed: the
next run often fails for the same reason, while a call that was not run only needs another
ingress."""


class Egress:
    """Handles the calls of one node; `table` is None until a configuration is known."""

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        clock: clocks.Clock,
        codec: header_codec.HeaderCodec,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
        guard: crash_guard.CrashGuard,
        peer_directory: directory.Directory,
        own_ingress: ingress.Ingress,
        calls: peer_calls.PeerCalls,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.header_codec = codec
        self.log = log
        self.metrics = node_metrics
        self.guard = guard
        self.directory = peer_directory
        self.ingress = own_ingress
        self.peer_calls = calls
        self.table: routes.RouteTable | None = None
        self.knowledge = version_knowledge.VersionKnowledge()
        self.split = routes.weighted_round_robin()
        self.budgets: dict[str, fleet_retry_budget.FleetRetryBudget] = {}
        self.refused_calls = refused_calls.RefusedCalls()
        self.silent_peers = hedging.SilentPeerWatch()
        self.last_call_ms = 0
        """When the last call arrived."""
        self.node_end = call_times.ShutdownDeadline()
        self.random = random.Random()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one call and returns its response."""
        began_ms = self.last_call_ms = self.clock.now_ms()
        head = self.header_codec.read_head(request)
        try:
            pending = self._admit(request, head, began_ms)
        except errors.CallError as error:
            return self._error_response(error, head.call_id, None, began_ms, None)
        try:
            response = await self._find_response(pending)
        except errors.CallError as error:
            return self._error_response(error, head.call_id, pending, began_ms, pending.retry_ms)
        if self.guard.deaths:
            self.guard.clear(pending.fingerprint)
        took_ms = self.clock.now_ms() - began_ms
        self.metrics.answered(pending.route.name, response.status, took_ms)
        self._log(
            "answered", pending, status=response.status, took_ms=took_ms, run_ms=response.run_ms
        )
        return messages.Response(response.status, response.headers, response.body)

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether a pipelined request may run beside earlier ones of its connection.

        Only idempotent ones may: a client sends what it pipelined again if an earlier response ends
        the connection. Long responses are excluded, because they would be held until their turn.
        """
        route = None if self.table is None else self._match(request)
        return route is not None and route.is_idempotent and not route.is_bulk

    def _match(self, request: messages.Request) -> routes.Route | None:
        path = request.target.partition("?")[0]
        host = (request.header(b"host") or "").partition(":")[0].lower()
        return self.table.match(host, path)

    def _admit(
        self, request: messages.Request, head: header_codec.CallHead, began_ms: int
    ) -> pending_call.PendingCall:
        """Creates the pending call of a request; raises CallError if no ingress can serve it."""
        if self.table is None:
            raise errors.CallError(Kind.NOT_READY)
        route = self._match(request)
        if route is None:
            raise errors.CallError(Kind.NO_ROUTE, f"version {self.table.configuration.version}")
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
            self.table.configuration.version,
            began_ms,
            goal_ms,
            latest_ms,
            deadline_ms,
            caller_deadline_ms,
            fingerprint,
            first_goal_ms is not None,
        )
        if self.guard.deaths and self.guard.is_refused(fingerprint, CRASH_LIMIT, began_ms):
            raise errors.CallError(Kind.QUARANTINED)
        pending.headers = self.header_codec.forwarded_headers(request)
        nodes = 1 + len(self.directory.peers)
        self._budget(pending.service).record_call(nodes, self.ingress.queue.retry_share())
        return pending

    def _budget(self, service: str) -> fleet_retry_budget.FleetRetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = fleet_retry_budget.FleetRetryBudget(
                self.settings.retry_ratio, self.settings.retry_slack
            )
            self.budgets[service] = budget
        return budget

    async def _find_response(self, pending: pending_call.PendingCall) -> frames.Response:
        """Response of a target.

        If there is none, raises CallError with what is known of the call ("not run" or "may have
        run") and the reason.
        """
        while True:
            candidate = self._next_candidate(pending)
            outcome = await self._attempt_with_hedging(pending, candidate)
            if isinstance(outcome, frames.Response):
                if not self._should_retry(pending, outcome):
                    return outcome
                pending.response = outcome
            elif isinstance(outcome, frames.Failed):
                pending.may_have_run = True
                if not (pending.route.is_idempotent and self._may_retry(pending)):
                    raise self._failure_error(pending, outcome)
            elif outcome.reached_target and not self._may_retry(pending):
                pending.retry_ms = MIN_RETRY_MS
                raise self._final_error(pending, Kind.OVERLOADED, outcome.reason)

    async def _attempt_with_hedging(
        self, pending: pending_call.PendingCall, candidate: ingress_selection.Candidate
    ) -> ingress.Outcome:
        """Outcome of an attempt, or the response of a hedge if its peer is silent or its connection
        stalled."""
        if not (candidate.key and pending.route.is_idempotent):
            return await self._attempt(pending, candidate)
        sent = peer_calls.SentCall()
        return await hedging.first_response(
            self.silent_peers,
            candidate.key,
            functools.partial(self._attempt, pending, candidate, sent),
            functools.partial(self._hedge, pending),
            lambda: sent.is_stalled(self.clock.now_ms()),
        )

    async def _hedge(self, pending: pending_call.PendingCall) -> frames.Response | None:
        """Successful response of another candidate; None if none can be tried or the one that ran
        the call failed."""
        is_allowed = False
        while True:
            try:
                candidate = self._next_candidate(pending)
            except errors.CallError:
                return None
            is_allowed = is_allowed or self._may_retry(pending)
            if not is_allowed:
                return None
            self._log("hedged", pending, door=candidate.key)
            outcome = await self._attempt(pending, candidate)
            if frames.is_success(outcome):
                return outcome
            if isinstance(outcome, frames.Response):
                pending.response = outcome
            pending.may_have_run |= isinstance(outcome, frames.Failed)
            if not isinstance(outcome, frames.Refused) or outcome.reached_target:
                return None

    def _should_retry(self, pending: pending_call.PendingCall, response: frames.Response) -> bool:
        is_failure = response.status >= frames.FAILURE_STATUS and pending.route.is_idempotent
        may_try = is_failure and pending.response is None
        return may_try and self._may_retry(pending, FAILURE_RESERVE)

    def _may_retry(self, pending: pending_call.PendingCall, reserve_share: float = 0.0) -> bool:
        """Whether the call may be sent to one more target; spends a token of the budget."""
        is_possible = (
            pending.sends < pending.route.max_attempts
            and self.clock.now_ms() < pending.deadline_ms
            and next(self._candidates(pending), None) is not None
        )
        if not is_possible or not self._budget(pending.service).try_spend(reserve_share):
            self.metrics.count("repeat_denied", pending.service)
            return False
        self.metrics.count("repeats", pending.service)
        return True

    def _candidates(
        self, pending: pending_call.PendingCall
    ) -> Iterator[ingress_selection.Candidate]:
        """Open candidates that have not been tried, generated lazily."""
        return candidates.untried(
            self.directory,
            self.ingress,
            self.settings.zone,
            pending.service,
            pending.tried,
            self.clock.now_ms(),
        )

    def _next_candidate(self, pending: pending_call.PendingCall) -> ingress_selection.Candidate:
        """Candidate for the next attempt; raises CallError when none can serve the call."""
        now_ms = self.clock.now_ms()
        if now_ms >= pending.deadline_ms:
            raise self._final_error(pending, Kind.DEADLINE_PASSED_IN_CALL, "")
        untried = candidates.with_fresh_reports(self._candidates(pending))
        # A call is due at its goal, or at its latest time once the goal has passed.
        due_ms = pending.goal_ms if now_ms < pending.goal_ms else pending.latest_ms
        is_bulk = pending.route.is_bulk
        found = ingress_selection.choose(untried, due_ms - now_ms, is_bulk, self.random.random)
        if ingress_selection.is_zone_strained(found, due_ms - now_ms, is_bulk):
            self.directory.watches.needs_remote(pending.service, now_ms)
        if found is None:
            if pending.tried and pending.retry_ms is not None:
                raise self._final_error(pending, Kind.OVERLOADED, "every ingress refused")
            pending.retry_ms = MIN_RETRY_MS
            raise self._final_error(pending, Kind.NO_TARGET, pending.service)
        candidate, expected_ms = found
        allowed_ms = pending.latest_ms - now_ms
        margin = 1.0 if pending.tried else ESTIMATE_MARGIN
        if expected_ms > allowed_ms * margin or len(pending.tried) >= MAX_CANDIDATES:
            if pending.retry_ms is None:
                pending.retry_ms = int(MIN_RETRY_MS + ingress_selection.wait_ms(candidate))
            detail = (
                f"expected {expected_ms:.0f} ms at {candidate.key or 'own'} by a report"
                f" {candidate.age_ms} ms old, allowed {allowed_ms} ms"
            )
            raise self._final_error(pending, Kind.OVERLOADED, detail)
        return candidate

    async def _attempt(
        self,
        pending: pending_call.PendingCall,
        candidate: ingress_selection.Candidate,
        sent: peer_calls.SentCall | None = None,
    ) -> ingress.Outcome:
        pending.tried.add(candidate.key)
        call = pending.frame(self.settings.service, self.clock.now_ms())
        pending.sends += 1
        if candidate.key:
            outcome = await self.peer_calls.send_call(call, candidate.key, sent)
        else:
            outcome = await self.ingress.run(call, is_local=True)
        if isinstance(outcome, frames.Refused):
            pending.retry_ms = outcome.retry_ms
            pending.sends -= not outcome.reached_target
        if not isinstance(outcome, frames.Response):
            self._log("attempt", pending, door=candidate.key, outcome=outcome.reason)
        return outcome

    def _failure_error(
        self, pending: pending_call.PendingCall, failed: frames.Failed
    ) -> errors.CallError:
        is_late = self.clock.now_ms() >= pending.deadline_ms
        kind = Kind.DEADLINE_PASSED_IN_CALL if is_late else Kind.TARGET_FAILED
        return self._final_error(pending, kind, failed.reason)

    def _final_error(
        self, pending: pending_call.PendingCall, kind: errors.ErrorKind, detail: str
    ) -> errors.CallError:
        """Error for the caller; "not run" only if no target can have run the call."""
        is_not_run = errors.ERROR_RESPONSES[kind].outcome is errors.Outcome.NOT_RUN
        if is_not_run and pending.may_have_run:
            kind = Kind.TARGET_FAILED
        if not is_not_run and not pending.may_have_run:
            kind = Kind.OVERLOADED
        return errors.CallError(kind, detail)

    def _error_response(
        self,
        error: errors.CallError,
        call_id: str,
        pending: pending_call.PendingCall | None,
        began_ms: int,
        retry_ms: int | None,
    ) -> messages.Response:
        took_ms = self.clock.now_ms() - began_ms
        if pending is not None and pending.response is not None:
            response = pending.response
            self._log("answered", pending, status=response.status, took_ms=took_ms, failed=True)
            self.metrics.answered(pending.route.name, response.status, took_ms)
            return messages.Response(response.status, response.headers, response.body)
        status = error.response.status
        if status != NOT_RUN_STATUS:
            retry_ms = None
        elif pending is not None:
            remaining_ms = pending.deadline_ms - self.clock.now_ms()
            retry_ms = max(
                MIN_RETRY_MS, min(retry_ms or MIN_RETRY_MS, remaining_ms // RETRY_WAIT_DIVISOR)
            )
            self.refused_calls.record_refusal(
                pending.fingerprint,
                self.clock.now_ms(),
                pending.goal_ms,
                pending.caller_deadline_ms,
            )
        else:
            retry_ms = int(NOT_READY_RETRY_MS * (1 + self.random.random()))
        fields = {"status": status, "reason": str(error.kind), "detail": error.detail}
        fields.update(took_ms=took_ms, retry_ms=retry_ms)
        if pending is None:
            if error.kind is Kind.NO_ROUTE:
                fields.update(self.knowledge.fields(self.clock.now_ms()))
            self.log.emit("caller", "refused", call=call_id, **fields)
            self.metrics.count("refused", str(error.kind))
        else:
            self._log("refused" if status == NOT_RUN_STATUS else "failed", pending, **fields)
            self.metrics.answered(pending.route.name, status, took_ms)
        return self.header_codec.error_response(error, call_id, retry_ms)

    def _log(self, event: str, pending: pending_call.PendingCall, **fields) -> None:
        self.log.emit(
            "caller",
            event,
            call=pending.call_id,
            route=pending.route.name,
            service=pending.service,
            version=pending.version,
            sends=pending.sends,
            is_return=pending.is_resubmitted,
            asked=[key or "own" for key in pending.tried],
            **fields,
        )
