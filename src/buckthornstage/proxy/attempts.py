"""Attempts of a call: choice of targets, outcome of failed attempts, and when to retry."""

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
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_FAILED_CONNECTS = 16  # of one call; limits the time spent on dead targets
BODILESS_STATUSES = (204, 304)
MIN_TIMEOUT_FAILURE_MS = 1_000  # a shorter deadline says nothing about the health of a target


@dataclasses.dataclass
class Call:
    """State of a call that all its attempts share; `deadline_ms` is monotonic."""

    route: schema.Route
    service: services.ServiceCalls
    depth: int
    deadline_ms: int
    attempts: int = 0
    refused_connections: int = 0
    """Attempts that ended because no connection could be opened."""
    may_have_run: bool = False
    was_shed: bool = False
    tried_targets: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    waited_s: float = 0.0
    """Time spent in the queue and waiting for targets."""


@dataclasses.dataclass
class Attempt:
    """A request sent to one target; `body` is the whole response body, or None for a long one.

    `buffered_chunks` holds the chunks of the body that were already read.
    """

    dispatcher: "Dispatcher"
    lease: client.Lease
    started_ms: int
    response: messages.Response | None = None
    body: bytes | None = None
    buffered_chunks: list[bytes] = dataclasses.field(default_factory=list)
    is_finished: bool = False

    async def exchange(self, request: messages.Request, must_stream: bool) -> None:
        """Sends the request, and reads the response head and a body of up to 64 KiB.

        Raises an HttpError when the connection breaks, or when the response is malformed or does
        not declare its end.
        """
        connection = self.lease.connection
        self.response = response = await connection.start(request)
        if not has_declared_end(response, request.method):
            raise messages.MalformedResponseError(
                "the response has neither content-length nor chunked encoding"
            )
        if must_stream or is_long(response, request.method):
            return
        size = 0
        while (chunk := await connection.read_some()) is not None:
            self.buffered_chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BODY_BYTES:
                return
        self.body = b"".join(self.buffered_chunks)

    async def finish(self, outcome: selection.Outcome) -> None:
        """Releases the connection and records the outcome; further calls have no effect."""
        if self.is_finished:
            return
        self.is_finished = True
        dispatcher = self.dispatcher
        now_ms = dispatcher.clock.now_ms()
        load = headers.reported_load(self.response) if self.response else None
        if dispatcher.selector.attempt_finished(
            self.lease.target, now_ms, now_ms - self.started_ms, outcome, load
        ):
            dispatcher.metrics.count("ejections")
        await dispatcher.pool.release(self.lease)


class Dispatcher:
    """Makes the attempts of calls; holds the state that all calls of the node share."""

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
        """Makes attempts until a target responds without shedding the request.

        A body of up to 64 KiB has then been read whole.

        Raises CallError when no further attempt is allowed; its kind says "not run" only when
        every attempt of the call proved it.
        """
        while True:
            self.check_crashes(call, request)
            error = await self.attempt(call, request)
            if isinstance(error, Attempt):
                return error
            if not self.try_start_retry(call, error):
                raise self.error_for_caller(call, error)

    def try_start_retry(self, call: Call, error: errors.CallError) -> bool:
        """Whether to retry after this error; if so, spends a retry token and counts the retry."""
        proves_not_run = error.response.outcome is errors.Outcome.NOT_RUN
        is_possible = (
            (proves_not_run or call.route.idempotent)
            and self.clock.now_ms() < call.deadline_ms
            and self.choose(call) is not None
        )
        if not is_possible:
            return False
        if error.kind is Kind.NO_TARGET and call.refused_connections <= MAX_FAILED_CONNECTS:
            # A refused connection puts no load on a target, so it does not count as an attempt and
            # costs no token: when most targets of a service are lost, calls must reach the others.
            return True
        max_attempts = call.service.service.limits.max_attempts
        if (
            call.attempts - call.refused_connections >= max_attempts
            or not call.service.budget.try_spend()
        ):
            return False
        self.metrics.count("retries")
        return True

    def error_for_caller(self, call: Call, error: errors.CallError) -> errors.CallError:
        """The error for the caller; "not run" only if that is true of all attempts."""
        if call.may_have_run and error.response.outcome is errors.Outcome.NOT_RUN:
            is_late = error.kind is Kind.DEADLINE_EXCEEDED
            kind = Kind.DEADLINE_PASSED_IN_CALL if is_late else Kind.TARGET_FAILED
            return errors.CallError(kind, error.detail)
        return error

    def check_crashes(self, call: Call, request: messages.Request) -> None:
        """Raises CallError with crashes_targets for a request that crashed several targets."""
        if self.guard.deaths:
            limit = call.service.service.limits.crash_limit
            if self.guard.is_refused(fingerprint(request), limit, self.clock.now_ms()):
                raise errors.CallError(Kind.CRASHES_TARGETS)

    def choose(self, call: Call) -> tuple[table.Target, bool] | None:
        """Next target, and whether it is outside the node's subset; None when none is left."""
        now_ms = self.clock.now_ms()
        service = call.service
        subset_targets = service.subset.targets
        slow_start_ms = service.service.backends.slow_start_ms
        if call.tried_targets or self.selector.ejected_until_ms > now_ms:
            found = self._choose_outside_subset(call, subset_targets, now_ms, slow_start_ms)
            if found is not None:
                return (found, True)
        found = self.selector.choose(
            subset_targets, now_ms, call.tried_targets, service.subset.connections, slow_start_ms
        )
        return None if found is None else (found, False)

    def _choose_outside_subset(
        self, call: Call, subset_targets: tuple[table.Target, ...], now_ms: int, slow_start_ms: int
    ) -> table.Target | None:
        """Target outside the subset, if all targets in the subset were tried or are ejected."""
        all_targets = call.service.table.targets(call.service.name)
        if len(all_targets) == len(subset_targets) or any(
            target.identity not in call.tried_targets
            and not self.selector.is_ejected(target, now_ms)
            for target in subset_targets
        ):
            return None
        inside = {target.identity for target in subset_targets}
        outside = [target for target in all_targets if target.identity not in inside]
        return self.selector.choose(outside, now_ms, call.tried_targets, 1, slow_start_ms)

    async def attempt(
        self, call: Call, request: messages.Request, must_stream: bool = False
    ) -> Attempt | errors.CallError:
        """Makes one attempt; returns it, or an error that says whether the request may have run.

        `must_stream` leaves the body unread.
        """
        choice = self.choose(call)
        if choice is None:
            untried = any(t.identity not in call.tried_targets for t in call.service.subset.targets)
            return errors.CallError(Kind.OVERLOADED if untried else Kind.NO_TARGET)
        target = choice[0]
        call.attempts += 1
        call.tried_targets.add(target.identity)
        self.metrics.count("attempts")
        started = time.perf_counter()
        self.selector.attempt_started(target, self.clock.now_ms())
        try:
            return await self._send(call, request, choice, must_stream)
        finally:
            call.waited_s += time.perf_counter() - started

    async def _send(
        self,
        call: Call,
        request: messages.Request,
        choice: tuple[table.Target, bool],
        must_stream: bool,
    ) -> Attempt | errors.CallError:
        target, is_outside = choice
        started_ms = self.clock.now_ms()
        while True:
            try:
                lease = await self.pool.acquire(target, call.deadline_ms - started_ms, is_outside)
            except messages.ConnectFailedError as error:
                self._record_outcome(target, started_ms, selection.Outcome.REFUSED)
                call.refused_connections += 1
                self.metrics.count("refused_connections")
                return errors.CallError(Kind.NO_TARGET, str(error))
            except BaseException:
                self._record_outcome(target, started_ms, selection.Outcome.CANCELLED)
                raise
            attempt = Attempt(self, lease, started_ms)
            try:
                return await self._exchange(call, request, attempt, must_stream)
            except messages.StaleConnectionError:
                # Nothing was sent: the attempt goes on with another connection.
                self.selector.attempt_started(target, started_ms)
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
            return await self.end_broken_attempt(call, request, attempt, error)
        if headers.is_shed(attempt.response):
            # Responses name no request, so a refusal that is repeated here would pass for the next.
            attempt.lease.connection.is_usable = False
            await attempt.finish(selection.Outcome.SHED)
            self.metrics.count("shed_by_target")
            call.was_shed = True
            call.service.admission.record_shed(self.clock.now_ms(), attempt.started_ms)
            return errors.CallError(Kind.OVERLOADED, "targets are at their limit")
        return attempt

    async def end_broken_attempt(
        self, call: Call, request: messages.Request, attempt: Attempt, error: Exception
    ) -> errors.CallError:
        """Finishes an attempt that failed after the request was sent, and returns its error."""
        call.may_have_run = True
        if isinstance(error, trio.TooSlowError):
            waited_ms = self.clock.now_ms() - attempt.started_ms
            is_failure = waited_ms >= MIN_TIMEOUT_FAILURE_MS
            outcome = selection.Outcome.FAILURE if is_failure else selection.Outcome.CANCELLED
            await attempt.finish(outcome)
            return errors.CallError(Kind.DEADLINE_PASSED_IN_CALL)
        await attempt.finish(selection.Outcome.FAILURE)
        if not isinstance(error, messages.MalformedResponseError):
            self._record_suspected_crash(request, attempt.lease.target)
        return errors.CallError(Kind.TARGET_FAILED, str(error))

    def _record_suspected_crash(self, request: messages.Request, target: table.Target) -> None:
        self.metrics.count("deaths")
        request_fingerprint = fingerprint(request)
        is_new = self.guard.record(request_fingerprint, target.identity, self.clock.now_ms())
        if is_new and self.on_crash is not None:
            self.on_crash(request_fingerprint, target)

    def _record_outcome(
        self, target: table.Target, started_ms: int, outcome: selection.Outcome
    ) -> None:
        now_ms = self.clock.now_ms()
        if self.selector.attempt_finished(target, now_ms, now_ms - started_ms, outcome):
            self.metrics.count("ejections")


def fingerprint(request: messages.Request) -> str:
    """Fingerprint by which the crash guard identifies a request."""
    return crash_guard.fingerprint(request.method, request.target, request.body)


def is_long(response: messages.Response, method: str) -> bool:
    """Whether the declared length exceeds MAX_BUFFERED_BODY_BYTES."""
    declared = response.header(b"content-length")
    return declared is not None and int(declared) > MAX_BUFFERED_BODY_BYTES and method != "HEAD"


def has_declared_end(response: messages.Response, method: str) -> bool:
    """Whether a truncated response can be told from a complete one.

    This is impossible for a body that ends with the connection, because the connection also closes
    when the target dies.
    """
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return any(
        name == b"content-length" or (name == b"transfer-encoding" and b"chunked" in value.lower())
        for name, value in response.headers
    )
