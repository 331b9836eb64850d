"""HTTP server: one task for each connection, bounded sizes and times."""

import dataclasses
import functools
from collections.abc import Awaitable, Callable

import trio

from buckthornstage.http import exchange, messages, tcp_stream

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

DRAIN_IDLE_MS = 2_000
DRAIN_POLL_SECONDS = 0.01
REFUSAL_ROOM = 100  # connections above the limit that are still told so


@dataclasses.dataclass
class HttpServer:
    """Serves `handler` on one or more listeners.

    `max_body_bytes` bounds request bodies. Connections above `max_connections` get one 503 that
    says "not run"; those far above it are closed at once.
    """

    handler: Handler
    max_body_bytes: int = 1 << 20
    max_connections: int = 10_000
    idle_seconds: float = exchange.IDLE_SECONDS
    is_draining: bool = False
    active: int = 0
    connections: int = 0
    exchanges: set["exchange.Exchange"] = dataclasses.field(default_factory=set)
    listeners: list[trio.SocketListener] = dataclasses.field(default_factory=list)

    async def serve(self, address: str, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens on "IP:port" until cancelled; `task_status` reports that it listens."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"), backlog=1024)
        self.listeners.extend(listeners)
        async with trio.open_nursery() as background:
            watch = exchange.PeerWatch(background)
            background.start_soon(watch.run)
            background.start_soon(watch.run_timer)
            # Connections live in a nursery of their own, so that closing a listener does not
            # cancel the requests that are still running.
            async with trio.open_nursery() as connections:
                try:
                    await trio.serve_listeners(
                        functools.partial(self._serve_stream, watch),
                        listeners,
                        handler_nursery=connections,
                        task_status=task_status,
                    )
                except* trio.ClosedResourceError:
                    pass
            background.cancel_scope.cancel()

    async def drain(self, timeout_ms: int, idle_ms: int = DRAIN_IDLE_MS) -> bool:
        """Closes the listeners, then idle connections, and waits for running requests.

        An idle connection stays open for up to `idle_ms`, because its peer may be sending a
        request at this moment; the response to it carries `connection: close`. Returns whether
        all requests finished within `timeout_ms`.
        """
        self.is_draining = True
        for listener in self.listeners:
            await listener.aclose()
        with trio.move_on_after(timeout_ms / 1000):
            with trio.move_on_after(idle_ms / 1000):
                await self._wait_for_connections()
            self._close_idle()
            await self._wait_for_connections()
        return not self.active

    async def _wait_for_connections(self) -> None:
        while self.connections:
            await trio.sleep(DRAIN_POLL_SECONDS)

    def _close_idle(self) -> None:
        for connection in tuple(self.exchanges):
            # Unread bytes are the beginning of a request, which gets its response first.
            if connection.is_idle and connection.tcp_stream.is_open_and_idle():
                connection.scope.cancel()

    async def _serve_stream(self, watch: exchange.PeerWatch, stream: trio.SocketStream) -> None:
        if self.connections >= self.max_connections + REFUSAL_ROOM:
            await trio.aclose_forcefully(stream)
            return
        is_refused = self.connections >= self.max_connections
        self.connections += 1
        connection = exchange.Exchange(self, tcp_stream.from_stream(stream), watch, is_refused)
        self.exchanges.add(connection)
        watch.exchanges.add(connection)
        try:
            await connection.run()
        finally:
            self.exchanges.discard(connection)
            watch.exchanges.discard(connection)
            self.connections -= 1
            connection.tcp_stream.close()
