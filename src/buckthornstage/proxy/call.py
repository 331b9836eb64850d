"""Handles a call: route, limits, attempts at targets, response."""

import random as random_module
import time
from collections.abc import Callable

import logbook

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.limits import crash_guard
from buckthornstage.proxy import attempts, headers, metrics, responses, services
from buckthornstage.routing import selection, table
from buckthornstage.settings import node_settings

Kind = errors.ErrorKind
log = logbook.Logger("proxy")


class CallProxy:
    """Proxy for the calls of one node.

    `table_source` returns the current routing table, or None while the node is not ready;
    `at_most_once.run(key, request, route, execute)` runs the calls of keyed routes;
    `on_crash(fingerprint, target)` is called when a request crashed a target. Crashes reported by
    peers go to `crash_guard.record`.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        clock: clocks.Clock,
        random: random_module.Random,
        table_source: Callable[[], table.RoutingTable | None],
        at_most_once=None,
        on_crash: Callable[[str, table.Target], None] | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.table_source = table_source
        self.at_most_once = at_most_once
        self.metrics = metrics.Metrics()
        self.crash_guard = crash_guard.CrashGuard()
        wall_offset_ms = clock.wall_ms() - clock.now_ms()
        self.selector = selection.Selector(
            random, settings.zone, settings.link_cost_ms, wall_offset_ms
        )
        self.dispatcher = attempts.Dispatcher(
            clock, self.selector, self.crash_guard, self.metrics, on_crash
        )
        self.services: dict[str, services.ServiceCalls] = {}
        self.table: table.RoutingTable | None = None

    async def handle(self, request: messages.Request) -> messages.Response:
        """Response to a request; an error becomes the response of its error kind."""
        self.metrics.count("calls")
        try:
            return await self._route(request)
        except errors.CallError as error:
            self.metrics.count(f"error:{error.kind}")
            return headers.error_response(error)
        except Exception:
            log.exception("call failed unexpectedly: {} {}", request.method, request.target)
            return headers.error_response(errors.CallError(Kind.TARGET_FAILED, "internal error"))

    async def _route(self, request: messages.Request) -> messages.Response:
        started = time.perf_counter()
        current = self._refresh()
        if current is None:
            raise errors.CallError(Kind.NOT_READY)
        call_headers = headers.read(request)
        path = headers.path_of(request.target)
        route = current.match(request.method, path)
        if route is None:
            raise headers.route_error(current.matches(path))
        timeout_ms = route.timeout_ms
        if call_headers.remaining_ms is not None:
            timeout_ms = min(timeout_ms, call_headers.remaining_ms)
        call = attempts.Call(
            route=route,
            service=self._service(route.service, current),
            depth=call_headers.depth,
            deadline_ms=self.clock.now_ms() + timeout_ms,
        )

        if not route.at_most_once:
            response = await self._execute(call, request)
            added_s = time.perf_counter() - started - call.waited_s
            self.metrics.added.record_value(max(1, int(added_s * 1e6)))
            return response
        key = request.header(headers.KEY)
        if key is None or self.at_most_once is None:
            raise errors.CallError(Kind.BAD_KEY)

        async def execute(request: messages.Request) -> messages.Response:
            # The response is stored for repeats of the call, so its body must be read whole.
            response = await self._execute(call, request)
            return await responses.with_buffered_body(response, self.settings.max_body_bytes)

        return await self.at_most_once.run(key, request, route, execute)

    def _refresh(self) -> table.RoutingTable | None:
        """Current table. Limits and statistics follow it; calls in flight keep their route."""
        current = self.table_source()
        if current is None or current is self.table:
            return current
        self.table = current
        # Calls in flight keep a reference to a service that is no longer declared.
        self.services = {
            name: service for name, service in self.services.items() if name in current.services
        }
        for service in self.services.values():
            service.update(current)
        identities = {
            target.identity for group in current.targets_by_service.values() for target in group
        }
        self.selector.retain(identities)
        self.dispatcher.pool.retain(identities)
        return current

    def _service(self, name: str, current: table.RoutingTable) -> services.ServiceCalls:
        service = self.services.get(name)
        if service is None:
            service = services.ServiceCalls(
                name,
                self.settings.node,
                self.clock,
                self.metrics,
                lambda: self.selector.average_latency_ms.get(name, 0.0),
            )
            service.update(current)
            self.services[name] = service
        return service

    async def _execute(self, call: attempts.Call, request: messages.Request) -> messages.Response:
        """Waits for a slot and runs the call; the kind of a CallError says if it may have run."""
        if not call.service.subset.targets:
            raise errors.CallError(Kind.NO_TARGET)
        self.dispatcher.check_crashes(call, request)
        call.tried_targets.clear()
        started = time.perf_counter()
        try:
            await call.service.acquire_slot(call.route.priority, call.deadline_ms)
        except errors.CallError as error:
            raise self.dispatcher.error_for_caller(call, error) from error
        call.waited_s += time.perf_counter() - started
        response = None
        try:
            response = await self._respond(call, request)
            return response
        finally:
            if response is None or response.stream is None:
                self._release_slot(call, response is not None)

    def _release_slot(self, call: attempts.Call, is_complete: bool) -> None:
        # The next queued call must not use a target that left the mesh while the call waited.
        self._refresh()
        call.service.release_slot(may_grow=is_complete and not call.was_shed)

    async def _respond(self, call: attempts.Call, request: messages.Request) -> messages.Response:
        """Response of the first target that responds; a long body is streamed."""
        attempt = await self.dispatcher.first_response(call, request)
        fields = headers.for_caller(attempt.response)
        if attempt.body is not None:
            self._record_completion(call, request, attempt.response)
            await attempt.finish(responses.outcome_of(attempt.response))
            return messages.Response(attempt.response.status, fields, attempt.body)

        def on_end(is_complete: bool) -> None:
            if is_complete:
                self._record_completion(call, request, attempt.response)
            self._release_slot(call, is_complete)

        stream = responses.ResponseStream(self.dispatcher, call, request, attempt, on_end)
        return messages.Response(attempt.response.status, fields, stream=stream)

    def _record_completion(
        self, call: attempts.Call, request: messages.Request, response: messages.Response
    ) -> None:
        if response.status < responses.MIN_FAILURE_STATUS:
            call.service.budget.record_success()
        if self.crash_guard.deaths:
            self.crash_guard.clear(attempts.fingerprint(request))
