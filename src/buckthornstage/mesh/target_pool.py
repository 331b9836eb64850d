"""Connections of the ingress to its target; the newest idle one is reused first.

Log lines name the ingress "door".
"""

import dataclasses
from collections.abc import Callable

import xxhash

from buckthornstage import clock as clocks
from buckthornstage.http import client, messages
from buckthornstage.link import connection as link_connection
from buckthornstage.link import frames
from buckthornstage.mesh import events, header_codec, response_memory

MAX_STRAY_RESPONSES = 8  # before the call's own response; an earlier call leaves one
CONNECT_TIMEOUT_MS = 400  # on the same VM, a target that has not responded by then is unreachable
ACK_TIMEOUT_MS = 1_000
"""The target's machine acknowledges at once what its receive buffer holds; otherwise the connection
no longer works, and the call must not hold its slot until its deadline."""
MAX_UNREAD_BODY_BYTES = 16 * 1024  # what the receive buffer of a target holds at least
IDLE_MARGIN_MS = 1_000  # the keep-alive time is in whole seconds and starts at the target
MAX_CALLS_PER_CONNECTION = 500
"""Bounds the ids that a connection remembers, at about 100 bytes each: their digests, since clients
may send ids of 15 KB. Two ids with one digest only cost a new connection."""


@dataclasses.dataclass(eq=False)
class _Idle:
    connection: client.Connection
    since_ms: int
    limit_ms: int


class TargetPool:
    """Idle connections to one lifetime of the target; `opened` counts the new ones."""

    def __init__(self, clock: clocks.Clock, log: events.EventLog) -> None:
        self.clock = clock
        self.log = log
        self.idle: list[_Idle] = []
        self.in_use: set[client.Connection] = set()
        self.max_connections: int | None = None
        """Connections that the target accepts; idle ones make room for new ones."""
        self.opened = 0

    async def acquire(self, address: str, call: frames.Call) -> client.Connection:
        """Returns an idle connection or a new one; raises ConnectFailedError.

        No earlier call on the connection had the id: a target may write a response once more, and
        only the id shows which call it belongs to. A call without an id gets a new connection.
        With a long body the connection is kept until the call's deadline although the target takes
        no bytes: it may be at work and read late.
        """
        connection = None
        digest = xxhash.xxh3_128_digest(call.call_id.encode())
        if call.call_id:
            connection = self._take_idle(digest)
        if connection is None:
            self.opened += 1
            self._make_room()
            connection = await client.connect(address, CONNECT_TIMEOUT_MS)
            link_connection.set_dead_peer_timeout(connection.tcp_stream, ACK_TIMEOUT_MS)
        timeout_ms = ACK_TIMEOUT_MS
        if len(call.body) > MAX_UNREAD_BODY_BYTES:
            timeout_ms = link_connection.call_timeout_ms(call.deadline_ms)
        connection.tcp_stream.set_user_timeout(timeout_ms)
        connection.sent_ids.add(digest)
        self.in_use.add(connection)
        return connection

    def _make_room(self) -> None:
        """Closes the oldest idle connections if one more would be above the limit."""
        self.in_use = {one for one in self.in_use if not one.tcp_stream.is_closed}
        if self.max_connections is not None:
            room = max(0, self.max_connections - len(self.in_use) - 1)
            while len(self.idle) > room:
                self._drop(self.idle.pop(0).connection)

    def _take_idle(self, digest: bytes) -> client.Connection | None:
        for entry in self.idle[::-1]:
            if digest in entry.connection.sent_ids:
                continue
            self.idle.remove(entry)
            if self._is_reusable(entry):
                return entry.connection
            self._drop(entry.connection)
        return None

    def release(self, connection: client.Connection, keep_alive_ms: int | None) -> None:
        """Takes back a connection; closes it if its response is incomplete or it is used up."""
        self.in_use.discard(connection)
        if not connection.is_usable or len(connection.sent_ids) >= MAX_CALLS_PER_CONNECTION:
            self._drop(connection)
            return
        limit_ms = client.MAX_IDLE_MS
        if keep_alive_ms is not None:
            limit_ms = min(limit_ms, keep_alive_ms - IDLE_MARGIN_MS)
        self.idle.append(_Idle(connection, self.clock.now_ms(), limit_ms))

    def drop_unusable(self) -> None:
        """Closes idle connections that expired, were closed by the target or have unread data."""
        reusable = []
        for entry in self.idle:
            if self._is_reusable(entry):
                reusable.append(entry)
            else:
                self._drop(entry.connection)
        self.idle = reusable

    def _is_reusable(self, entry: _Idle) -> bool:
        is_recent = self.clock.now_ms() - entry.since_ms < entry.limit_ms
        return is_recent and entry.connection.is_open_and_idle()

    def _drop(self, connection: client.Connection) -> None:
        if connection.has_trailing_data():
            self.log.emit("door", "stray_bytes", address=connection.address)
        connection.abort()

    def clear(self) -> None:
        """Closes all idle connections, because the target's lifetime has ended."""
        for entry in self.idle:
            entry.connection.abort()
        self.idle.clear()


async def exchange_heads(
    connection: client.Connection,
    request: messages.Request,
    classify: Callable[[messages.Response], header_codec.ResponseKind],
    on_stray: Callable[[messages.Response], None],
) -> tuple[messages.Response, header_codec.ResponseKind]:
    """Sends a call and returns the head of its own response; skips late ones to earlier calls.

    Raises MalformedResponseError after too many of these, and the errors of `Connection.start`.
    """
    response = await connection.start(request)
    kind = classify(response)
    skipped = 0
    while kind is header_codec.ResponseKind.OTHER_CALL:
        skipped += 1
        if skipped > MAX_STRAY_RESPONSES:
            raise messages.MalformedResponseError(
                f"{connection.address} sent more than {MAX_STRAY_RESPONSES} stray responses"
            )
        on_stray(response)
        while await connection.read_limited(response_memory.MAX_RESPONSE_BYTES) is not None:
            pass
        response = await connection.next_response(request)
        kind = classify(response)
    return response, kind
