"""Callers of the soak: kept connections, pipelined reads, callers that leave early or repeat."""

import contextlib
import dataclasses
import itertools
import random
from collections.abc import Callable

import trio

from buckthornstage.http import client, messages
from buckthornstage.soak import judge, plan, platform_target, record, tenants

HOST = "soak.example"
ADDED_PATH = "v{}/read"
"""Path of the route that a version added, below that of its service."""
ADDED_SHARE = 0.3
"""Share of the safe calls that use the newest route that all nodes must know."""
LEAVE_AFTER_MS = 30
ANSWER_TIMEOUT_MS = 4_000
GAP_MS = 40
RECONNECT_MS = 100
PIPELINED = 3
REPEATS = 2
REFUSED_STATUS = 503


@dataclasses.dataclass
class Caller:
    """One client of a node; keeps its connection until the node or the caller ends it."""

    node: int
    address: str
    found: record.Record
    now_ms: Callable[[], int]
    ids: itertools.count
    rng: random.Random
    services: tuple[str, ...]
    gap_ms: int = GAP_MS
    """Mean time between a response and the next call."""
    pipelines: bool = False
    leaves_early: bool = False
    repeats_at_once: bool = False
    """Sends a refused call again without the wait that the refusal asks for."""

    async def run(self) -> None:
        """Sends calls until cancelled."""
        while True:
            try:
                connection = await client.connect(self.address, 500)
            except messages.ConnectFailedError:
                await trio.sleep(RECONNECT_MS / 1_000)
                continue
            try:
                await self._use(connection)
            except messages.HttpError:
                await trio.sleep(RECONNECT_MS / 1_000 * self.rng.random())
            finally:
                connection.abort()

    async def _use(self, connection: client.Connection) -> None:
        while True:
            if self.pipelines:
                await self._send_together(connection)
            else:
                await self._send_one(connection)
            if not connection.is_usable:
                return
            await trio.sleep(self.gap_ms / 1_000 * (0.5 + self.rng.random()))

    def _request(
        self, is_safe: bool, repeated: tuple[record.Sent, messages.Request] | None = None
    ) -> tuple[record.Sent, messages.Request]:
        """A new call, or `repeated` with an id of its own."""
        service = self.rng.choice(self.services) if repeated is None else repeated[0].service
        call_id = f"c{self.node}-{next(self.ids)}"
        version, verb = 0, "read" if is_safe else "pay"
        if is_safe and self.rng.random() < ADDED_SHARE and (version := self._applied_version()):
            verb = ADDED_PATH.format(version)
        path = f"/{service}/{verb}/{call_id}"
        key = tenants.choose_key(self.rng, self._applied_version())
        if repeated is not None:
            version, path, key = repeated[0].version, repeated[1].target, repeated[0].key
        fields = (
            (b"host", HOST.encode()),
            (b"attempt-id", call_id.encode()),
            (b"timeout-remaining", str(plan.CALL_MS).encode()),
            (b"authorization", f"Token {key.key}".encode()),
        )
        sent = record.Sent(self.now_ms(), call_id, service, self.node, is_safe, version, key)
        self.found.sent.append(sent)
        return sent, messages.Request("GET", path, fields)

    def _applied_version(self) -> int:
        """The newest version that all nodes in touch must have; 0 if there is none yet."""
        last_ms = self.now_ms() - judge.APPLY_MS
        acknowledged = reversed(self.found.versions)
        return next((each.version for each in acknowledged if each.at_ms < last_ms), 0)

    async def _send_one(self, connection: client.Connection) -> None:
        is_safe = self.rng.random() < 0.6
        pair = self._request(is_safe)
        status = await self._exchange(connection, pair)
        for _ in range(REPEATS if self.repeats_at_once else 0):
            if status != REFUSED_STATUS or not connection.is_usable:
                return
            pair = self._request(is_safe, pair)
            status = await self._exchange(connection, pair)

    async def _exchange(
        self, connection: client.Connection, pair: tuple[record.Sent, messages.Request]
    ) -> int | None:
        """Status of the response; None if the caller has left before it."""
        sent, request = pair
        has_left = False
        with self._ends_unanswered([sent]) as open_calls:
            limit_ms = ANSWER_TIMEOUT_MS
            if self.leaves_early and self.rng.random() < 0.3:
                limit_ms, has_left = LEAVE_AFTER_MS, True
            with trio.move_on_after(limit_ms / 1_000) as scope:
                response = await connection.fetch(request)
                self._answered(open_calls.pop(0), response.status, response, response.body)
                return response.status
            if scope.cancelled_caught:
                open_calls.has_left = has_left
                connection.abort()
        return None

    async def _send_together(self, connection: client.Connection) -> None:
        pairs = [self._request(True) for _ in range(PIPELINED)]
        with self._ends_unanswered([sent for sent, _ in pairs]) as open_calls:
            lines = [_encode(request) for _, request in pairs]
            try:
                await connection.tcp_stream.send_all(b"".join(lines))
            except trio.BrokenResourceError as error:
                raise messages.ConnectionBrokenError(str(error)) from error
            with trio.move_on_after(ANSWER_TIMEOUT_MS / 1_000) as scope:
                while open_calls:
                    response = await connection.next_response(pairs[0][1])
                    body = bytearray()
                    while (chunk := await connection.read_some()) is not None:
                        body += chunk
                    self._answered(open_calls.pop(0), response.status, response, bytes(body))
            if scope.cancelled_caught:
                connection.abort()
        connection.is_usable = not scope.cancelled_caught and connection.is_usable

    def _answered(
        self, sent: record.Sent, status: int, response: messages.Response, body: bytes
    ) -> None:
        self.found.answered.append(
            record.Answered(
                self.now_ms(),
                sent.call_id,
                status,
                response.header(b"attempt-id") or "",
                response.header(b"response-seal") is not None,
                body,
            )
        )

        if response.header(b"server-leaving") is not None:
            instance = response.header(platform_target.INSTANCE_HEADER.lower().encode()) or ""
            self.found.leaves.append(record.LeaveAcknowledged(self.now_ms(), instance))

    @contextlib.contextmanager
    def _ends_unanswered(self, calls: list[record.Sent]):
        """Records the calls that are left in the yielded list as unanswered."""
        open_calls = _OpenCalls(calls)
        try:
            yield open_calls
        finally:
            now_ms = self.now_ms()
            self.found.unanswered.extend(
                record.Unanswered(now_ms, sent.call_id, open_calls.has_left) for sent in open_calls
            )


class _OpenCalls(list):
    """Calls without a response so far; `has_left` is true if the caller did not wait."""

    has_left = False


def _encode(request: messages.Request) -> bytes:
    lines = [b"GET %s HTTP/1.1" % request.target.encode()]
    lines += [name + b": " + value for name, value in request.headers]
    return b"\r\n".join([*lines, b"", b""])
