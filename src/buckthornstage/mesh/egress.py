"""The egress: accepts calls from clients and the local target, and sends them to an ingress.

A call ends with the target's response, with a refusal that guarantees "not run", or with an error
that says "may have run". An attempt that may be running is abandoned only for a response or at the
deadline. Log lines name the egress "caller", and the ingress that a call goes to `door`; their
field `is_return` marks a resubmitted call. Metrics count retries as "repeats".
"""

import functools
import random
from collections.abc import Callable

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.limits import crash_guard, transfer_times
from buckthornstage.link import frames
from buckthornstage.membership import directory
from buckthornstage.mesh import (
    call_admission,
    call_identity,
    events,
    header_codec,
    hedging,
    ingress,
    ingress_choice,
    metrics,
    peer_calls,
    pending_call,
    response_memory,
    tenant_quotas,
    version_knowledge,
)
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.routing import ingress_selection, routes

Kind = errors.ErrorKind

REFUSAL_STATUSES = frozenset({429, 503})
"""Statuses that say "not run" and when to retry."""
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
        sizes: response_memory.ExpectedSizes | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.header_codec = codec
        self.log = log
        self.metrics = node_metrics
        self.guard = guard
        self.ingress = own_ingress
        self.peer_calls = calls
        self.sizes = sizes or response_memory.ExpectedSizes()
        self.table: routes.RouteTable | None = None
        self.knowledge = version_knowledge.VersionKnowledge()
        self.admission = call_admission.CallAdmission(clock, codec, guard, own_ingress)
        self.choice = ingress_choice.IngressChoice(
            settings, clock, node_metrics, peer_directory, own_ingress
        )
        self.quotas = tenant_quotas.TenantQuotas(settings, clock, peer_directory, log, node_metrics)
        self.rollout_of: Callable[[str], dict[str, object] | None] = lambda service: None
        """What is known of the roll-out of a service, for explanations."""
        self.transfers = transfer_times.TransferTimes(settings.link_mbps)
        self.silent_peers = hedging.SilentPeerWatch()
        self.last_call_ms = 0
        """When the last call arrived."""
        self.node_end = self.admission.node_end
        self.random = random.Random()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one call and returns its response."""
        began_ms = self.last_call_ms = self.clock.now_ms()
        head = self.header_codec.read_head(request)
        try:
            pending = await self._admit(request, head, began_ms)
        except errors.CallError as error:
            return self._error_response(error, head.call_id, None, began_ms, error.retry_ms)
        try:
            response = await self._find_response(pending)
        except errors.CallError as error:
            self._return_token(error, pending)
            return self._error_response(error, head.call_id, pending, began_ms, pending.retry_ms)
        finally:
            pending.hold.end()
        self.sizes.record(pending.route.name, len(response.body))
        if self.guard.deaths:
            self.guard.clear(pending.fingerprint)
        self.choice.record_run(pending, response)
        if pending.route.is_bulk and response.status < frames.FAILURE_STATUS:
            self.transfers.record(pending.route.name, len(response.body))
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
        route = None if self.table is None else call_admission.match(self.table, request)
        return route is not None and route.is_idempotent and not route.is_bulk

    def apply_settings(self, settings: mesh_settings.MeshSettings) -> None:
        """Takes settings that were reloaded."""
        self.settings = self.choice.settings = settings
        self.quotas.apply_settings(settings)
        self.transfers.set_link(settings.link_mbps)

    async def _admit(
        self, request: messages.Request, head: header_codec.CallHead, began_ms: int
    ) -> pending_call.PendingCall:
        """Creates the pending call of a request; raises CallError if no ingress may serve it."""
        table = self.table
        route = call_admission.route_of(table, request)
        tenant = call_identity.identify(table, self.header_codec, request, route)
        is_limited = tenant is not None and tenant.rate_per_second > 0
        token_end_ms = 0
        if is_limited:
            self.quotas.apply(table)
            token_end_ms = await self.quotas.take(tenant)
        try:
            pending = self.admission.admit(request, head, route, tenant, table, began_ms)
        except errors.CallError:
            if is_limited:
                self.quotas.give_back(tenant, token_end_ms)
            raise
        pending.token_end_ms = token_end_ms
        if route.is_bulk and self.choice.is_contended(pending.service):
            pending.transfer_ms = self.transfers.expected_ms(route.name, route.goal_ms)
        self.choice.record_call(pending.service)
        return pending

    def _return_token(self, error: errors.CallError, pending: pending_call.PendingCall) -> None:
        """Gives the token of a call that certainly has not run back to its tenant's quota."""
        is_not_run = error.response.outcome is errors.Outcome.NOT_RUN
        has_run = pending.may_have_run or pending.response is not None
        if pending.tenant is not None and is_not_run and not has_run:
            self.quotas.give_back(pending.tenant, pending.token_end_ms)

    async def _find_response(self, pending: pending_call.PendingCall) -> frames.Response:
        """Response of a target.

        If there is none, raises CallError with what is known of the call ("not run" or "may have
        run") and the reason.
        """
        self.sizes.admit(pending)
        while True:
            candidate = self.choice.next_candidate(pending)
            outcome = await self._attempt_with_hedging(pending, candidate)
            if isinstance(outcome, frames.Response):
                if not self._should_retry(pending, outcome):
                    return outcome
                pending.response = outcome
            elif isinstance(outcome, frames.Failed):
                pending.may_have_run = True
                if not (pending.route.is_idempotent and self.choice.may_retry(pending)):
                    raise self._failure_error(pending, outcome)
            elif outcome.reached_target and not self.choice.may_retry(pending):
                pending.retry_ms = ingress_choice.MIN_RETRY_MS
                raise ingress_choice.final_error(pending, Kind.OVERLOADED, outcome.reason)

    async def _attempt_with_hedging(
        self, pending: pending_call.PendingCall, candidate: ingress_selection.Candidate
    ) -> ingress.Outcome:
        """Outcome of an attempt, or the response of a hedge if its peer is silent or its connection
        stalled."""
        if not (candidate.key and pending.route.is_idempotent):
            return await self._attempt(pending, candidate)
        sent = peer_calls.SentCall(hold=pending.hold)
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
                candidate = self.choice.next_candidate(pending)
            except errors.CallError:
                return None
            is_allowed = is_allowed or self.choice.may_retry(pending)
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
        return may_try and self.choice.may_retry(pending, FAILURE_RESERVE)

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
            sent = sent or peer_calls.SentCall(hold=pending.hold)
            outcome = await self.peer_calls.send_call(call, candidate.key, sent)
        else:
            outcome = await self.ingress.run(call, is_local=True, hold=pending.hold)
        if isinstance(outcome, frames.Refused):
            pending.retry_ms = outcome.retry_ms
            pending.is_above_share |= outcome.reason == ingress.ABOVE_SHARE
            pending.sends -= not outcome.reached_target
        if not isinstance(outcome, frames.Response):
            self._log("attempt", pending, door=candidate.key, outcome=outcome.reason)
        return outcome

    def _failure_error(
        self, pending: pending_call.PendingCall, failed: frames.Failed
    ) -> errors.CallError:
        is_late = self.clock.now_ms() >= pending.deadline_ms
        kind = Kind.DEADLINE_PASSED_IN_CALL if is_late else Kind.TARGET_FAILED
        return ingress_choice.final_error(pending, kind, failed.reason)

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
        if status not in REFUSAL_STATUSES:
            retry_ms = None
        elif pending is not None:
            remaining_ms = pending.deadline_ms - self.clock.now_ms()
            retry_ms = max(
                ingress_choice.MIN_RETRY_MS,
                min(retry_ms or ingress_choice.MIN_RETRY_MS, remaining_ms // RETRY_WAIT_DIVISOR),
            )
            self.admission.record_refusal(pending)
        elif retry_ms is None:
            retry_ms = int(NOT_READY_RETRY_MS * (1 + self.random.random()))
        fields = {"status": status, "reason": str(error.kind), "detail": error.detail}
        fields.update(took_ms=took_ms, retry_ms=retry_ms)
        if pending is None:
            if error.kind is Kind.NO_ROUTE:
                fields.update(self.knowledge.fields(self.clock.now_ms()))
            self.log.emit("caller", "refused", call=call_id, **fields)
            self.metrics.count("refused", str(error.kind))
        else:
            self._log("refused" if status in REFUSAL_STATUSES else "failed", pending, **fields)
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
