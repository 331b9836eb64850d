"""Runs keyed calls at most once: finds the owner of a key, runs there, and answers repeats.

A response "not run" given here holds for the key, not only for this request: the key has not run at
the time of the response, and the request that got it starts no run later. Where nobody can know,
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

# A caller sends this header with "1" when it sent the key nowhere else before and repeats it only
# after the response or a broken connection. Then an unclaimed key provably did not run.
FIRST_SEND_HEADER = b"buckthornstage-first-send"
MAX_RESPONSE_BYTES = 8 << 20  # a longer response cannot be given to a repeat

_logger = logbook.Logger("idempotency")

Claim = Callable[[str], Awaitable[tuple[str, int]]]
Forward = Callable[[str, int, messages.Request], Awaitable[messages.Response]]
Execute = Callable[[messages.Request], Awaitable[messages.Response]]


class TimedRoute(Protocol):
    """The part of a route that bounds a call."""

    timeout_ms: int


@dataclasses.dataclass
class _Execution:
    """A call that runs at this node; `result` is set when `ended` is."""

    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    result: outcomes.Result | None = None


class AtMostOnce:
    """Keyed calls of one node incarnation.

    `claim(key)` names the owner of a UUIDv7 and raises LogError when there is no verdict.
    `forward(node, incarnation, request)` calls the owner; it raises CallError `owner_lost` when
    the member table says that this incarnation is gone, and CallError or HttpError otherwise.
    `nursery` runs calls to their end after their caller has gone. The incarnation is final: a
    node that raises its incarnation builds a new object with an empty table.
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
        """Answers a keyed call; `execute` is called at most once for a key over all nodes.

        `execute` raises CallError with a true kind. Raises CallError for every other end; for a
        forwarded request an error becomes a response that is marked as the owner's response.
        """
        deadline = trio.current_time() + _timeout_ms(request, route) / 1000
        if request.header(forwarding.FORWARDED_HEADER) is None:
            return await self._run_here_or_forward(key_text, request, deadline, execute)
        forwarding.check(request, key_text, self.owner, self.secret)
        try:
            key = self._parse(key_text)
            response = await self._run_as_owner(key, request, deadline, execute)
        except errors.CallError as error:
            response = headers.error_response(error)
        return forwarding.mark(response)

    def wall_ms(self) -> int:
        """Wall time that never runs backwards: a key that expired once stays expired."""
        self.latest_wall_ms = max(self.latest_wall_ms, self.time.wall_ms())
        return self.latest_wall_ms

    def _parse(self, key_text: str) -> keys.IssuedKey | keys.CallerKey:
        return keys.parse(key_text, self.wall_ms(), self.secret, self.table.key_window_ms)

    async def _run_here_or_forward(
        self, key_text: str, request: messages.Request, deadline: float, execute: Execute
    ) -> messages.Response:
        key = self._parse(key_text)
        owner = await self._find_owner(key, request, deadline)
        if owner == self.owner:
            return await self._run_as_owner(key, request, deadline, execute)
        if owner.node != self.owner.node:
            return await self._forward(key, owner, request, deadline)
        if owner.incarnation < self.owner.incarnation:
            raise errors.CallError(
                errors.ErrorKind.OWNER_LOST, f"incarnation {owner.incarnation} of {owner.node}"
            )
        # A newer process has this node's name, so this one is being replaced.
        raise errors.CallError(
            errors.ErrorKind.OWNER_UNREACHABLE, "this node has been replaced by a newer process"
        )

    async def _find_owner(
        self, key: keys.Key, request: messages.Request, deadline: float
    ) -> claims.Owner:
        if isinstance(key, keys.IssuedKey):
            return claims.Owner(key.node, key.incarnation)
        if self.table.knows(key):
            return self.owner
        owner: tuple[str, int] | None = None
        problem = "the deadline passed before the owner of the key was known"
        with trio.move_on_at(deadline):
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
        # Without a verdict nobody here can know whether an earlier send ran at another node.
        raise errors.CallError(errors.ErrorKind.OWNER_UNREACHABLE, problem)

    async def _forward(
        self, key: keys.Key, owner: claims.Owner, request: messages.Request, deadline: float
    ) -> messages.Response:
        remaining_ms = max(0, round((deadline - trio.current_time()) * 1000))
        sent = forwarding.wrap(request, key.text, owner, self.secret)
        sent = forwarding.with_header(sent, headers.DEADLINE, str(remaining_ms))
        response = None
        problem = "it did not answer before the deadline"
        with trio.move_on_at(deadline):
            try:
                response = await self.forward(owner.node, owner.incarnation, sent)
            except messages.HttpError as error:
                problem = str(error)
            except errors.CallError as error:
                if error.response.outcome is errors.Outcome.MAY_HAVE_RUN:
                    raise
                problem = str(error)
        # "Not run" from before the owner looked at the key says nothing about earlier sends.
        if response is None or not forwarding.is_conclusive(response):
            raise errors.CallError(errors.ErrorKind.OWNER_UNREACHABLE, f"{owner.node}: {problem}")
        return forwarding.unmark(response)

    async def _run_as_owner(
        self, key: keys.Key, request: messages.Request, deadline: float, execute: Execute
    ) -> messages.Response:
        """Runs the call, or waits for the run of an earlier send, or answers its result."""
        now_ms = self.wall_ms()
        # Finding the owner takes time, and a pause can make it long.
        keys.check_age(key, now_ms, self.table.key_window_ms)
        step = self.table.begin(key, outcomes.fingerprint(request), now_ms)
        if isinstance(step, outcomes.Completed):
            return _to_response(step.result)
        if isinstance(step, outcomes.Run):
            self._start(key, request, deadline, execute)
        execution = self.executions[key.identity]
        with trio.move_on_at(deadline):
            await execution.ended.wait()
        if execution.result is None:
            raise errors.CallError(errors.ErrorKind.DEADLINE_PASSED_IN_CALL)
        return _to_response(execution.result)

    def _start(
        self, key: keys.Key, request: messages.Request, deadline: float, execute: Execute
    ) -> None:
        """Starts the run in the background; the key is free again when that is impossible."""
        problem = None
        if trio.current_time() >= deadline:
            problem = errors.CallError(errors.ErrorKind.DEADLINE_EXCEEDED)
        else:
            self.executions[key.identity] = _Execution()
            try:
                self.nursery.start_soon(self._execute, key, request, deadline, execute)
            except RuntimeError:
                del self.executions[key.identity]
                problem = errors.CallError(errors.ErrorKind.LEAVING, "this node takes no new calls")
        if problem is not None:
            self.table.abandon(key)
            raise problem

    async def _execute(
        self, key: keys.Key, request: messages.Request, deadline: float, execute: Execute
    ) -> None:
        result: outcomes.Result = outcomes.Failure(
            errors.ErrorKind.TARGET_FAILED, "the node stopped while the call ran"
        )
        try:
            result = await self._result(request, deadline, execute)
        finally:
            # Also reached when the nursery is cancelled: the call may have run by then.
            if _is_not_run(result):
                self.table.abandon(key)
            else:
                self.table.finish(key, result, self.wall_ms())
            execution = self.executions.pop(key.identity)
            execution.result = result
            execution.ended.set()

    async def _result(
        self, request: messages.Request, deadline: float, execute: Execute
    ) -> outcomes.Result:
        if trio.current_time() >= deadline:
            # The process was paused before this task began; nothing was sent.
            return outcomes.Failure(errors.ErrorKind.DEADLINE_EXCEEDED)
        result: outcomes.Result = outcomes.Failure(errors.ErrorKind.DEADLINE_PASSED_IN_CALL)
        with trio.move_on_at(deadline):
            try:
                result = await _with_whole_body(await execute(forwarding.unwrap(request)))
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


async def _with_whole_body(response: messages.Response) -> messages.Response:
    """Reads a streamed body, so that the response can be given to every repeat."""
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
    # The body is framed anew when it is sent, so the framing of the target must not go with it.
    fields = tuple(pair for pair in response.headers if pair[0] != b"transfer-encoding")
    return messages.Response(response.status, fields, b"".join(parts))
