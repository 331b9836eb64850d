"""Runs keyed calls at most once: finds the owner of a key, runs there, and responds to repeats.

The response "not run" is about the key, not only about this request: the key has not run at the
time of the response, and the request that got it starts no run later. Where this can't be proved,
the response says "may have run".
"""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

import logbook
import trio

from buckthornstage import clock, errors
from buckthornstage.http import messages
from buckthornstage.idempotency import claims, forwarding, keys, outcomes
from buckthornstage.proxy import headers

# A caller sets this header to "1" when it has sent the key to no other node before and repeats it
# only after the response or a broken connection. An unclaimed key then provably did not run.
FIRST_SEND_HEADER = b"buckthornstage-first-send"
MAX_RESPONSE_BYTES = 8 << 20  # a longer response of a keyed call becomes target_failed

_logger = logbook.Logger("idempotency")

Claim = Callable[[str], Awaitable[tuple[str, int]]]
Forward = Callable[[str, int, messages.Request], Awaitable[messages.Response]]
Execute = Callable[[messages.Request], Awaitable[messages.Response]]


class TimedRoute(Protocol):
    """The field of a route that limits the time of a call."""

    timeout_ms: int


@dataclasses.dataclass
class _Execution:
    """A call that is running at this node; `result` is set before `ended`."""

    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    result: outcomes.Result | None = None


class AtMostOnce:
    """Runs the keyed calls of one node incarnation.

    `claim(key)` returns the owner of a UUIDv7 and raises LogError when there is no verdict.
    `forward(node, incarnation, request)` calls the owner; it raises CallError `owner_lost` when
    the incarnation is gone by the member table, and CallError or HttpError for other failures.
    Calls run in `nursery`, so that they complete even if their caller disconnects. The incarnation
    is fixed: a node that raises its incarnation creates a new object with an empty table.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        secret: bytes,
        time: clock.Clock,
        table: outcomes.OutcomeTable,
        nursery: trio.Nursery,
        claim: Claim,
        forward: Forward,
    ) -> None:
        self.owner = claims.Owner(node, incarnation)
        self.secret = secret
        self.time = time
        self.table = table
        self.nursery = nursery
        self.claim = claim
        self.forward = forward
        self.executions: dict[bytes, _Execution] = {}
        self.latest_wall_ms = 0

    async def run(
        self, key_text: str, request: messages.Request, route: TimedRoute, execute: Execute
    ) -> messages.Response:
        """Response to a keyed call; `execute` runs at most once for a key across all nodes.

        `execute` may raise a CallError, whose kind must say correctly whether the call may have
        run. Raises CallError when there is no response; for a forwarded request a CallError after
        the check of its headers becomes a response with the owner's mark.
        """
        deadline_s = trio.current_time() + _timeout_ms(request, route) / 1000
        if request.header(forwarding.FORWARDED_HEADER) is None:
            return await self._run_here_or_forward(key_text, request, deadline_s, execute)
        forwarding.check(request, key_text, self.owner, self.secret)
        try:
            key = self._parse(key_text)
            response = await self._run_as_owner(key, request, deadline_s, execute)
        except errors.CallError as error:
            response = headers.error_response(error)
        return forwarding.mark(response)

    def wall_ms(self) -> int:
        """Wall time that never goes backwards, so that an expired key stays expired."""
        self.latest_wall_ms = max(self.latest_wall_ms, self.time.wall_ms())
        return self.latest_wall_ms

    def _parse(self, key_text: str) -> keys.IssuedKey | keys.CallerKey:
        return keys.parse(key_text, self.wall_ms(), self.secret, self.table.key_window_ms)

    async def _run_here_or_forward(
        self, key_text: str, request: messages.Request, deadline_s: float, execute: Execute
    ) -> messages.Response:
        key = self._parse(key_text)
        owner = await self._find_owner(key, request, deadline_s)
        if owner == self.owner:
            return await self._run_as_owner(key, request, deadline_s, execute)
        if owner.node != self.owner.node:
            return await self._forward(key, owner, request, deadline_s)
        if owner.incarnation < self.owner.incarnation:
            raise errors.CallError(
                errors.ErrorKind.OWNER_LOST, f"incarnation {owner.incarnation} of {owner.node}"
            )
        # A newer process has taken over this node's name and is replacing this one.
        raise errors.CallError(
            errors.ErrorKind.OWNER_UNREACHABLE, "this node has been replaced by a newer process"
        )

    async def _find_owner(
        self, key: keys.Key, request: messages.Request, deadline_s: float
    ) -> claims.Owner:
        if isinstance(key, keys.IssuedKey):
            return claims.Owner(key.node, key.incarnation)
        if self.table.knows(key):
            return self.owner
        owner: tuple[str, int] | None = None
        problem = "the deadline passed before the owner of the key was known"
        with trio.move_on_at(deadline_s):
            try:
                owner = await self.claim(key.text)
            except errors.LogError as error:
                problem = str(error)
        if owner is not None:
            return claims.Owner(*owner)
        if self.table.knows(key):
            return self.owner
        if request.header(FIRST_SEND_HEADER) == "1":
            raise errors.CallError(errors.ErrorKind.LOG_UNAVAILABLE, problem)
        # Without a verdict an earlier send of the key may have run at another node.
        raise errors.CallError(errors.ErrorKind.OWNER_UNREACHABLE, problem)

    async def _forward(
        self, key: keys.Key, owner: claims.Owner, request: messages.Request, deadline_s: float
    ) -> messages.Response:
        remaining_ms = max(0, round((deadline_s - trio.current_time()) * 1000))
        forwarded = forwarding.wrap(request, key.text, owner, self.secret)
        forwarded = forwarding.with_header(forwarded, headers.DEADLINE, str(remaining_ms))
        response = None
        problem = "no conclusive response before the deadline"
        with trio.move_on_at(deadline_s):
            try:
                response = await self.forward(owner.node, owner.incarnation, forwarded)
            except messages.HttpError as error:
                problem = str(error)
            except errors.CallError as error:
                if error.response.outcome is errors.Outcome.MAY_HAVE_RUN:
                    raise
                problem = str(error)
        # A "not run" from before the owner checked the key does not cover earlier sends.
        if response is None or not forwarding.is_conclusive(response):
            raise errors.CallError(errors.ErrorKind.OWNER_UNREACHABLE, f"{owner.node}: {problem}")
        return forwarding.unmark(response)

    async def _run_as_owner(
        self, key: keys.Key, request: messages.Request, deadline_s: float, execute: Execute
    ) -> messages.Response:
        """Runs the call, waits for the run of an earlier send, or returns its stored result."""
        now_ms = self.wall_ms()
        # The key may have expired while the owner was looked up, for example during a pause.
        keys.check_age(key, now_ms, self.table.key_window_ms)
        action = self.table.begin(key, outcomes.fingerprint(request), now_ms)
        if isinstance(action, outcomes.Completed):
            return _to_response(action.result)
        if isinstance(action, outcomes.Run):
            self._start(key, request, deadline_s, execute)
        execution = self.executions[key.identity]
        with trio.move_on_at(deadline_s):
            await execution.ended.wait()
        if execution.result is None:
            raise errors.CallError(errors.ErrorKind.DEADLINE_PASSED_IN_CALL)
        return _to_response(execution.result)

    def _start(
        self, key: keys.Key, request: messages.Request, deadline_s: float, execute: Execute
    ) -> None:
        """Starts the run in the nursery; drops the key from the table when that fails."""
        problem = None
        if trio.current_time() >= deadline_s:
            problem = errors.CallError(errors.ErrorKind.DEADLINE_EXCEEDED)
        else:
            self.executions[key.identity] = _Execution()
            try:
                self.nursery.start_soon(self._execute, key, request, deadline_s, execute)
            except RuntimeError:
                del self.executions[key.identity]
                problem = errors.CallError(
                    errors.ErrorKind.LEAVING, "this node accepts no new calls"
                )
        if problem is not None:
            self.table.abandon(key)
            raise problem

    async def _execute(
        self, key: keys.Key, request: messages.Request, deadline_s: float, execute: Execute
    ) -> None:
        result: outcomes.Result = outcomes.Failure(
            errors.ErrorKind.TARGET_FAILED, "the node stopped while the call was running"
        )
        try:
            result = await self._run_until_deadline(request, deadline_s, execute)
        finally:
            # Also runs when the nursery is cancelled; the call may have run by then.
            if _is_not_run(result):
                self.table.abandon(key)
            else:
                self.table.finish(key, result, self.wall_ms())
            execution = self.executions.pop(key.identity)
            execution.result = result
            execution.ended.set()

    async def _run_until_deadline(
        self, request: messages.Request, deadline_s: float, execute: Execute
    ) -> outcomes.Result:
        if trio.current_time() >= deadline_s:
            # The process was paused before this task started; nothing was sent.
            return outcomes.Failure(errors.ErrorKind.DEADLINE_EXCEEDED)
        result: outcomes.Result = outcomes.Failure(errors.ErrorKind.DEADLINE_PASSED_IN_CALL)
        with trio.move_on_at(deadline_s):
            try:
                result = await _with_buffered_body(await execute(forwarding.unwrap(request)))
            except errors.CallError as error:
                result = outcomes.Failure(error.kind, error.detail)
            except Exception as error:
                _logger.exception("keyed call ended with an unexpected error")
                result = outcomes.Failure(errors.ErrorKind.TARGET_FAILED, type(error).__name__)
        return result


def _timeout_ms(request: messages.Request, route: TimedRoute) -> int:
    text = request.header(headers.DEADLINE)
    if text is None or not (text.isascii() and text.isdecimal()):
        return route.timeout_ms
    return min(int(text), route.timeout_ms)


def _is_not_run(result: outcomes.Result) -> bool:
    if isinstance(result, outcomes.Failure):
        return errors.ERROR_RESPONSES[result.kind].outcome is errors.Outcome.NOT_RUN
    return result.header(headers.OUTCOME) == errors.Outcome.NOT_RUN


def _to_response(result: outcomes.Result) -> messages.Response:
    if isinstance(result, outcomes.Failure):
        raise errors.CallError(result.kind, result.detail)
    return result


async def _with_buffered_body(response: messages.Response) -> messages.Response:
    """Reads a streamed body, so that the response can be stored for repeats."""
    if response.stream is None:
        return response
    parts: list[bytes] = []
    size = 0
    async for chunk in response.stream:
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise errors.CallError(
                errors.ErrorKind.TARGET_FAILED, f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
            )
        parts.append(chunk)
    # The body is framed again when it is sent, so the target's framing header is removed.
    fields = tuple(pair for pair in response.headers if pair[0] != b"transfer-encoding")
    return messages.Response(response.status, fields, b"".join(parts))
