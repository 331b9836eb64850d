"""HTTP server: one task per connection, with limits on sizes and times."""

import dataclasses
import functools
import itertools
import select
from collections.abc import Awaitable, Callable

import trio

from buckthornstage.http import framing, messages, server_connection, tcp_stream, timeouts
from buckthornstage.limits import held_bytes

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

DRAIN_IDLE_MS = 2_000
DRAIN_POLL_SECONDS = 0.01
STALLED_REQUEST_SECONDS = 0.5
"""A stopping server waits for the rest of a request until nothing has arrived for this time."""
ACCEPT_POLL_SECONDS = 0.001
MAX_ACCEPT_POLLS = 200
MAX_BUFFERED_BYTES, MIN_BUFFERED_BYTES = 64 * 1024, 4 * 1024
"""Bytes that a connection receives while none of its requests may start; reading is what shows a
disconnect. Pipelined requests of usual size fit the smallest buffer."""
ALL_BUFFERED_BYTES = 1 << 20
"""For all connections together, down to MIN_BUFFERED_BYTES for each. They take up to ten times that
in memory, as each of the requests that run keeps the buffer that it was parsed from."""
MIN_UNUSED_SECONDS = 1.0
"""Time after which a connection that is idle, or on which a request does not arrive, may be closed
for a new one; below it, its client may just be sending."""
MAX_LOOKED_AT = 32  # connections that a new one costs a look at the limit
MAX_CONNECTIONS_ANSWERED_503 = 100  # connections above the limit that get a 503


@dataclasses.dataclass
class HttpServer:
    """Serves `handler` on one or more listeners.

    `max_header_bytes` bounds the header section of requests, `max_body_bytes` their bodies, and
    `header_seconds` the time to receive a head. A change applies to open connections too; a request
    that has begun keeps the larger limit of size. A body for which `memory` has no room is
    refused with 503, "not run". Responses that their clients have not taken count in `responses`.
    `on_refused(status, problem, peer)` is called for
    a request that does not reach the handler; `status` is None if its connection is closed.
    `may_overlap(request)` tells whether a request may run beside earlier ones of its connection
    that are not answered yet; its client sends it again if they end the connection. Other requests
    wait until the earlier ones are answered. At `max_connections` one that is idle, or on which a
    request arrives too slowly, is closed for a new one. If there is none, new ones get one 503 that
    says "not run"; those beyond a tenth more, or MAX_CONNECTIONS_ANSWERED_503, are closed at
    once.
    """

    handler: Handler
    max_body_bytes: int = 1 << 20
    max_header_bytes: int = framing.MAX_HEADER_BYTES
    header_seconds: float = server_connection.HEADER_TIMEOUT_SECONDS
    max_connections: int = 10_000
    idle_seconds: float = server_connection.IDLE_TIMEOUT_SECONDS
    memory: held_bytes.HeldBytes = dataclasses.field(
        default_factory=lambda: held_bytes.HeldBytes(held_bytes.REQUESTS)
    )
    responses: held_bytes.HeldBytes = dataclasses.field(default_factory=held_bytes.HeldBytes)
    may_overlap: Callable[[messages.Request], bool] = lambda request: False
    on_refused: Callable[[int | None, str, str], None] = lambda status, problem, peer: None
    is_draining: bool = False
    """Whether a response ends its connection if no further request was received behind it."""
    is_closing: bool = False
    """Whether each response ends its connection, so that clients which send request after request
    do not keep the process from stopping."""
    active: int = 0
    connections: int = 0
    buffer_bytes: int = MAX_BUFFERED_BYTES
    """For requests of one connection that may not start yet; less with many connections."""
    open_connections: dict["server_connection.ServerConnection", None] = dataclasses.field(
        default_factory=dict
    )
    """In the order in which they are looked at for idle ones, the oldest first."""
    parsing_lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    """For `parsing_turns`."""
    listeners: list[trio.SocketListener] = dataclasses.field(default_factory=list)

    async def serve(self, address: str, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens on "IP:port" until cancelled; `task_status` reports that it listens."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"), backlog=1024)
        self.listeners.extend(listeners)
        async with trio.open_nursery() as background:
            monitor = timeouts.TimeoutMonitor()
            background.start_soon(monitor.run)
            # Connections have their own nursery, so that closing a listener does not cancel
            # running requests.
            async with trio.open_nursery() as connections:
                try:
                    await trio.serve_listeners(
                        functools.partial(self._serve_stream, monitor),
                        listeners,
                        handler_nursery=connections,
                        task_status=task_status,
                    )
                except* trio.ClosedResourceError:
                    pass
            background.cancel_scope.cancel()

    async def drain(self, timeout_ms: int, idle_ms: int = DRAIN_IDLE_MS) -> bool:
        """Closes the listeners, then idle connections, and waits for running requests.

        An idle connection stays open for up to `idle_ms`, at most a quarter of `timeout_ms`,
        because its peer may just be sending a request; the response to it has `connection: close`.
        Returns whether all requests finished within `timeout_ms`.
        """
        self.is_draining = True
        for listener in self.listeners:
            await _accept_pending(listener)
            await listener.aclose()
        with trio.move_on_after(timeout_ms / 1000):
            with trio.move_on_after(min(idle_ms, timeout_ms / 4) / 1000):
                while self.connections:
                    await trio.sleep(DRAIN_POLL_SECONDS)
            self.is_closing = True
            began_seconds = trio.current_time()
            while self.connections:
                self._close_unused(began_seconds)
                await trio.sleep(DRAIN_POLL_SECONDS)
        return not self.active

    def _close_unused(self, began_seconds: float) -> None:
        """Closes idle connections, and those on which the rest of a request does not arrive."""
        stalled_since = trio.current_time() - STALLED_REQUEST_SECONDS
        for connection in tuple(self.open_connections):
            is_ending = connection.pipeline.entries or connection.pipeline.is_closing
            # Unread bytes are the beginning of a request, which still gets its response.
            if is_ending or not connection.tcp_stream.is_open_and_idle():
                continue
            since = max(began_seconds, connection.received_seconds)
            if connection.is_idle or since <= stalled_since:
                connection.scope.cancel()

    def _close_unused_one(self) -> bool:
        """Closes a connection that is not used, if one is found among a few."""
        for connection in tuple(itertools.islice(self.open_connections, MAX_LOOKED_AT)):
            # Those in use are looked at again after all others.
            del self.open_connections[connection]
            reason = connection.why_unused(MIN_UNUSED_SECONDS)
            if reason is not None:
                self._count_connections(-1)
                problem = f"{self.max_connections} connections are open, and this one {reason}"
                self.on_refused(None, problem, connection.tcp_stream.peer)
                connection.scope.cancel()
                return True
            self.open_connections[connection] = None
        return False

    def _count_connections(self, change: int) -> None:
        self.connections += change
        part_bytes = ALL_BUFFERED_BYTES // max(1, self.connections)
        self.buffer_bytes = max(MIN_BUFFERED_BYTES, min(MAX_BUFFERED_BYTES, part_bytes))

    async def _serve_stream(
        self, monitor: timeouts.TimeoutMonitor, stream: trio.SocketStream
    ) -> None:
        while self.connections >= self.max_connections and self._close_unused_one():
            pass
        answered = min(MAX_CONNECTIONS_ANSWERED_503, 1 + self.max_connections // 10)
        if self.connections >= self.max_connections + answered:
            await trio.aclose_forcefully(stream)
            return
        is_refused = self.connections >= self.max_connections
        self._count_connections(1)
        connection = server_connection.ServerConnection(
            self, tcp_stream.from_stream(stream), monitor, is_refused
        )
        self.open_connections[connection] = None
        monitor.open_connections.add(connection)
        try:
            await connection.run()
        finally:
            if connection in self.open_connections:
                del self.open_connections[connection]
                self._count_connections(-1)
            monitor.open_connections.discard(connection)
            connection.tcp_stream.close()


async def _accept_pending(listener: trio.SocketListener) -> None:
    """Waits until the server has accepted the connections that clients have opened.

    Closing a listener resets those in its queue, whose clients may have sent a request already.
    """
    if listener.socket.fileno() < 0:
        return
    poll = select.poll()
    poll.register(listener.socket, select.POLLIN)
    for _ in range(MAX_ACCEPT_POLLS):
        if not poll.poll(0):
            return
        await trio.sleep(ACCEPT_POLL_SECONDS)
