"""One call from start to end: route, limits, attempts against targets, answer."""

import dataclasses
import random as random_module
from collections.abc import Callable

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.proxy import client, headers
from buckthornstage.routing import table
from buckthornstage.settings import node_settings

Kind = errors.ErrorKind


@dataclasses.dataclass
class _Call:
    """Facts of one call that hold for all its attempts."""

    route: table.Route
    table: table.RoutingTable
    depth: int
    deadline_ms: int
    may_have_run: bool = False


class CallProxy:
    """Carries the calls of one node.

    `table_source` returns the table in force or None while the node is not ready;
    `at_most_once.run(key, request, route, execute)` runs the calls of keyed routes;
    `on_crash(fingerprint, target)` is told when a request broke a target.
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
        self.random = random
        self.table_source = table_source
        self.at_most_once = at_most_once
        self.on_crash = on_crash
        self.pool = client.ConnectionPool(clock)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request; every error becomes an answer of the table of kinds."""
        try:
            return await self._run(request)
        except errors.CallError as error:
            return headers.error_response(error)

    async def _run(self, request: messages.Request) -> messages.Response:
        current = self.table_source()
        if current is None:
            raise errors.CallError(Kind.NOT_READY)
        envelope = headers.read(request)
        path = headers.path_of(request.target)
        route = current.match(request.method, path)
        if route is None:
            raise headers.route_error(current.matches(path))
        timeout_ms = route.timeout_ms
        if envelope.deadline_ms is not None:
            timeout_ms = min(timeout_ms, envelope.deadline_ms)
        call = _Call(route, current, envelope.depth, self.clock.now_ms() + timeout_ms)

        async def execute(request: messages.Request) -> messages.Response:
            return await self._execute(call, request)

        if not route.at_most_once:
            return await execute(request)
        key = request.header(headers.KEY)
        if key is None or self.at_most_once is None:
            raise errors.CallError(Kind.BAD_KEY)
        return await self.at_most_once.run(key, request, route, execute)

    async def _execute(self, call: _Call, request: messages.Request) -> messages.Response:
        remaining_ms = call.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            raise errors.CallError(Kind.DEADLINE_EXCEEDED)
        targets = call.table.targets(call.route.service)
        if not targets:
            raise errors.CallError(Kind.NO_TARGET)
        target = self.random.choice(targets)
        try:
            lease = await self.pool.acquire(target, not call.route.idempotent, remaining_ms)
        except messages.ConnectFailedError as error:
            raise errors.CallError(Kind.NO_TARGET, str(error)) from error
        try:
            with trio.fail_after(remaining_ms / 1000):
                sent = headers.for_target(request, call.depth, remaining_ms, 1)
                response = await lease.connection.fetch(dataclasses.replace(request, headers=sent))
        except messages.StaleConnectionError as error:
            raise errors.CallError(Kind.NO_TARGET, str(error)) from error
        except messages.HttpError as error:
            raise errors.CallError(Kind.TARGET_FAILED, str(error)) from error
        except trio.TooSlowError as error:
            raise errors.CallError(Kind.DEADLINE_PASSED_IN_CALL) from error
        finally:
            await self.pool.release(lease)
        if headers.is_shed(response):
            raise errors.CallError(Kind.OVERLOADED)
        return dataclasses.replace(response, headers=headers.for_caller(response))
