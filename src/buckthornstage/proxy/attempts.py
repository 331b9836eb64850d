"""Attempts of one call: choice of targets, what each break proves, and when to try again."""

import dataclasses
import time

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.document import schema
from buckthornstage.http import messages
from buckthornstage.limits import crash_guard
from buckthornstage.proxy import client, headers, metrics, services
from buckthornstage.routing import selection, table

Kind = errors.ErrorKind
BUFFER_BYTES = 64 * 1024
MAX_REFUSED = 16  # refused connections of one call; bounds the time spent on dead targets
NO_BODY = (204, 304)
TIMEOUT_FAILURE_MS = 1_000  # a shorter deadline says nothing about the health of a target


@dataclasses.dataclass
class Call:
    """Facts of one call that hold for all its attempts; `deadline_ms` is monotonic."""

    route: schema.Route
    service: services.ServiceCalls
    depth: int
    deadline_ms: int
    attempts: int = 0
    refused: int = 0
    """Attempts that ended because no connection could be opened."""
    may_have_run: bool = False
    was_shed: bool = False
    tried: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    waited_s: float = 0.0
    """Time spent in the queue and waiting for targets."""


@dataclasses.dataclass
class Attempt:
    """A request at a target; `body` is its response's whole body, or None when that is long.

    Of a long body `first` holds the chunks that were read already.
    """

    dispatcher: "Dispatcher"
    lease: client.Lease
    began_ms: int
    response: messages.Response | None = None
    body: bytes | None = None
    first: list[bytes] = dataclasses.field(default_factory=list)
    is_finished: bool = False

    async def exchange(self, request: messages.Request, must_stream: bool) -> None:
        """Sends the request, and reads the response's head and a body of up to 64 KiB.

        Raises an HttpError when the response breaks or its end could not be recognised.
        """
        connection = self.lease.connection
        self.response = response = await connection.start(request)
        if not has_declared_end(response, request.method):
            raise messages.MalformedResponseError("the response has neither length nor chunks")
        if must_stream or is_long(response, request.method):
            return
        size = 0
        while (chunk := await connection.read_some()) is not None:
            self.first.append(chunk)
            size += len(chunk)
            if size > BUFFER_BYTES:
                return
        self.body = b"".join(self.first)

    async def finish(self, outcome: selection.Outcome) -> None:
        """Gives the connection back and counts the attempt; further calls change nothing."""
        if self.is_finished:
            return
        self.is_finished = True
        dispatcher = self.dispatcher
        now_ms = dispatcher.clock.now_ms()
        load = headers.reported_load(self.response) if self.response else None
        if dispatcher.selector.attempt_finished(
            self.lease.target, now_ms, now_ms - self.began_ms, outcome, load
        ):
            dispatcher.metrics.count("ejections")
        await dispatcher.pool.release(self.lease)


class Dispatcher:
    """Makes attempts for calls; holds what all calls of the node share."""

    def __init__(
        self,
        clock: clocks.Clock,
        selector: selection.Selector,
        guard: crash_guard.CrashGuard,
        node_metrics: metrics.Metrics,
        on_crash,
    ) -> None:
        self.clock = clock
        self.selector = selector
        self.guard = guard
        self.metrics = node_metrics
        self.on_crash = on_crash
        self.pool = client.ConnectionPool(clock)

    async def first_response(self, call: Call, request: messages.Request) -> Attempt:
        """Makes attempts until a target answers with something else than a shed.

        A body of up to 64 KiB is complete then.

        Raises CallError when no further attempt is allowed; its kind says "not run" only when
        every attempt of the call proved it.
        """
        while True:
            self.check_crashes(call, request)
            error = await self.attempt(call, request)
            if isinstance(error, Attempt):
                return error
            if not self.may_retry(call, error):
                raise self.final(call, error)

    def may_retry(self, call: Call, error: errors.CallError) -> bool:
        """Whether the rules allow an attempt after this error; takes a token and counts a retry."""
        proves_not_run = error.response.outcome is errors.Outcome.NOT_RUN
        is_possible = (
            (proves_not_run or call.route.idempotent)
            and self.clock.now_ms() < call.deadline_ms
            and self.choose(call) is not None
        )
        if not is_possible:
            return False
        if error.kind is Kind.NO_TARGET and call.refused <= MAX_REFUSED:
            # A refused connection puts no load on a target, so it is no attempt and costs no
            # token: after the loss of most targets of a service, calls must find the others.
            return True
        max_attempts = call.service.service.limits.max_attempts
        if call.attempts - call.refused >= max_attempts or not call.service.budget.try_spend():
            return False
        self.metrics.count("retries")
        return True

    def final(self, call: Call, error: errors.CallError) -> errors.CallError:
        """The error for the caller: "not run" only if it is true of all attempts."""
        if call.may_have_run and error.response.outcome is errors.Outcome.NOT_RUN:
            is_late = error.kind is Kind.DEADLINE_EXCEEDED
            kind = Kind.DEADLINE_PASSED_IN_CALL if is_late else Kind.TARGET_FAILED
            return errors.CallError(kind, error.detail)
        return error

    def check_crashes(self, call: Call, request: messages.Request) -> None:
        """Raises CallError with crashes_targets for a request that broke several targets."""
        if self.guard.deaths:
            limit = call.service.service.limits.crash_limit
            if self.guard.is_refused(fingerprint(request), limit, self.clock.now_ms()):
                raise errors.CallError(Kind.CRASHES_TARGETS)

    def choose(self, call: Call) -> tuple[table.Target, bool] | None:
        """Next target, and whether it lies outside the node's subset; None when none is left."""
        now_ms = self.clock.now_ms()
        service = call.service
        near = service.subset.targets
        slow_start_ms = service.service.backends.slow_start_ms
        if call.tried or self.selector.ejected_until_ms > now_ms:
            found = self._outside(call, near, now_ms, slow_start_ms)
            if found is not None:
                return (found, True)
        found = self.selector.choose(
            near, now_ms, call.tried, service.subset.connections, slow_start_ms
        )
        return None if found is None else (found, False)

    def _outside(
        self, call: Call, near: tuple[table.Target, ...], now_ms: int, slow_start_ms: int
    ) -> table.Target | None:
        """Target outside the subset, when all targets in it were tried or are ejected."""
        everywhere = call.service.table.targets(call.service.name)
        if len(everywhere) == len(near) or any(
            target.identity not in call.tried and not self.selector.is_ejected(target, now_ms)
            for target in near
        ):
            return None
        inside = {target.identity for target in near}
        outside = [target for target in everywhere if target.identity not in inside]
        return self.selector.choose(outside, now_ms, call.tried, 1, slow_start_ms)

    async def attempt(
        self, call: Call, request: messages.Request, must_stream: bool = False
    ) -> Attempt | errors.CallError:
        """One attempt, or the error with what it proves; `must_stream` leaves the body unread."""
        choice = self.choose(call)
        if choice is None:
            untried = any(t.identity not in call.tried for t in call.service.subset.targets)
            return errors.CallError(Kind.OVERLOADED if untried else Kind.NO_TARGET)
        target = choice[0]
        call.attempts += 1
        call.tried.add(target.identity)
        self.metrics.count("attempts")
        began = time.perf_counter()
        self.selector.attempt_started(target, self.clock.now_ms())
        try:
            return await self._send(call, request, choice, must_stream)
        finally:
            call.waited_s += time.perf_counter() - began

    async def _send(
        self,
        call: Call,
        request: messages.Request,
        choice: tuple[table.Target, bool],
        must_stream: bool,
    ) -> Attempt | errors.CallError:
        target, is_outside = choice
        began_ms = self.clock.now_ms()
        while True:
            try:
                lease = await self.pool.acquire(
                    target, not call.route.idempotent, call.deadline_ms - began_ms, is_outside
                )
            except messages.ConnectFailedError as error:
                self._count(target, began_ms, selection.Outcome.REFUSED)
                call.refused += 1
                self.metrics.count("refused_connections")
                return errors.CallError(Kind.NO_TARGET, str(error))
            except BaseException:
                self._count(target, began_ms, selection.Outcome.CANCELLED)
                raise
            attempt = Attempt(self, lease, began_ms)
            try:
                return await self._exchange(call, request, attempt, must_stream)
            except messages.StaleConnectionError:
                # Nothing was sent: the next connection takes the same attempt.
                self.selector.attempt_started(target, began_ms)
            except BaseException:
                await attempt.finish(selection.Outcome.CANCELLED)
                raise

    async def _exchange(
        self, call: Call, request: messages.Request, attempt: Attempt, must_stream: bool
    ) -> Attempt | errors.CallError:
        remaining_ms = call.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            await attempt.finish(selection.Outcome.CANCELLED)
            return errors.CallError(Kind.DEADLINE_EXCEEDED)
        fields = headers.for_target(request, call.depth, remaining_ms, call.attempts)
        sent = messages.Request(request.method, request.target, fields, request.body)
        try:
            with trio.fail_after(remaining_ms / 1000):
                await attempt.exchange(sent, must_stream)
        except messages.StaleConnectionError:
            await attempt.finish(selection.Outcome.CANCELLED)
            raise
        except (messages.HttpError, trio.TooSlowError) as error:
            return await self.broken(call, request, attempt, error)
        if headers.is_shed(attempt.response):
            await attempt.finish(selection.Outcome.SHED)
            self.metrics.count("shed_by_target")
            call.was_shed = True
            call.service.admission.record_shed(self.clock.now_ms(), attempt.began_ms)
            return errors.CallError(Kind.OVERLOADED, "targets are at their limit")
        return attempt

    async def broken(
        self, call: Call, request: messages.Request, attempt: Attempt, error: Exception
    ) -> errors.CallError:
        """Ends an attempt that broke after the request was sent, and returns what to answer."""
        call.may_have_run = True
        if isinstance(error, trio.TooSlowError):
            waited_ms = self.clock.now_ms() - attempt.began_ms
            is_failure = waited_ms >= TIMEOUT_FAILURE_MS
            outcome = selection.Outcome.FAILURE if is_failure else selection.Outcome.CANCELLED
            await attempt.finish(outcome)
            return errors.CallError(Kind.DEADLINE_PASSED_IN_CALL)
        await attempt.finish(selection.Outcome.FAILURE)
        if not isinstance(error, messages.MalformedResponseError):
            self._record_death(request, attempt.lease.target)
        return errors.CallError(Kind.TARGET_FAILED, str(error))

    def _record_death(self, request: messages.Request, target: table.Target) -> None:
        self.metrics.count("deaths")
        mark = fingerprint(request)
        is_new = self.guard.record(mark, target.identity, self.clock.now_ms())
        if is_new and self.on_crash is not None:
            self.on_crash(mark, target)

    def _count(self, target: table.Target, began_ms: int, outcome: selection.Outcome) -> None:
        now_ms = self.clock.now_ms()
        if self.selector.attempt_finished(target, now_ms, now_ms - began_ms, outcome):
            self.metrics.count("ejections")


def fingerprint(request: messages.Request) -> str:
    """Fingerprint of a request for the crash guard."""
    return crash_guard.fingerprint(request.method, request.target, request.body)


def is_long(response: messages.Response, method: str) -> bool:
    """Whether the declared length is above what is buffered."""
    declared = response.header(b"content-length")
    return declared is not None and int(declared) > BUFFER_BYTES and method != "HEAD"


def has_declared_end(response: messages.Response, method: str) -> bool:
    """Whether a truncated response can be told from a complete one.

    A body that ends with the connection cannot: a target that dies closes it as well.
    """
    if method == "HEAD" or response.status in NO_BODY:
        return True
    return any(
        name == b"content-length" or (name == b"transfer-encoding" and b"chunked" in value.lower())
        for name, value in response.headers
    )
