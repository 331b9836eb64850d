"""HTTP server: one task for each connection, bounded sizes and times."""

import dataclasses
import http as http_status
from collections.abc import Awaitable, Callable

import h11
import trio

from buckthornstage.http import messages

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

MAX_HEADER_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
IDLE_SECONDS = 60.0
REQUEST_SECONDS = 30.0  # bounds what a slow sender can hold


@dataclasses.dataclass
class HttpServer:
    """Serves `handler` on one or more listeners.

    `max_body_bytes` bounds request bodies and `max_connections` the open connections; further
    ones are closed at once.
    """

    handler: Handler
    max_body_bytes: int = 1 << 20
    max_connections: int = 10_000
    is_draining: bool = False
    active: int = 0
    connections: int = 0
    idle_scopes: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    listeners: list[trio.SocketListener] = dataclasses.field(default_factory=list)

    async def serve(self, address: str, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens on "IP:port" until cancelled; `task_status` reports that it listens."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"), backlog=1024)
        self.listeners.extend(listeners)
        # Connections live in a nursery of their own, so that closing a listener does not
        # cancel the requests that are still running.
        async with trio.open_nursery() as connections:
            try:
                await trio.serve_listeners(
                    self._serve_stream,
                    listeners,
                    handler_nursery=connections,
                    task_status=task_status,
                )
            except* trio.ClosedResourceError:
                pass

    async def drain(self, timeout_ms: int) -> bool:
        """Closes listeners and idle connections and waits for running requests.

        Returns whether all of them finished within `timeout_ms`.
        """
        self.is_draining = True
        for listener in self.listeners:
            await listener.aclose()
        for scope in tuple(self.idle_scopes):
            scope.cancel()
        with trio.move_on_after(timeout_ms / 1000):
            while self.active or self.connections:
                await trio.sleep(0.01)
        return not self.active

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        if self.connections >= self.max_connections:
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            await _Exchange(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1
            await trio.aclose_forcefully(stream)


class _Exchange:
    """Requests and responses of one connection, one after the other."""

    def __init__(self, server: HttpServer, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)

    async def run(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint or 400, str(error))
                return
            if request is None:
                return
            if not await self._answer(request) or self.server.is_draining:
                return
            try:
                self.connection.start_next_cycle()
            except h11.LocalProtocolError:
                return

    async def _answer(self, request: messages.Request) -> bool:
        """Runs the handler and sends its response; returns whether the connection is usable."""
        self.server.active += 1
        try:
            response = await self._handle(request)
            if response is None:
                return False
            return await self._send(response, request.method == "HEAD")
        finally:
            self.server.active -= 1

    async def _handle(self, request: messages.Request) -> messages.Response | None:
        """Runs the handler; None when the peer closed the connection before the response.

        Waiting for the peer costs a task, so a handler that finishes without blocking pays
        nothing but the nursery.
        """
        result: list[messages.Response] = []
        async with trio.open_nursery() as nursery:

            async def watch_peer() -> None:
                data = await self._receive()
                while data:
                    self.connection.receive_data(data)
                    data = await self._receive()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch_peer)
            result.append(await self.server.handler(request))
            nursery.cancel_scope.cancel()
        return result[0] if result else None

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            return b""

    async def _read_request(self) -> messages.Request | None:
        with trio.move_on_after(IDLE_SECONDS) as scope:
            self.server.idle_scopes.add(scope)
            try:
                event = await self._next_event(scope)
            finally:
                self.server.idle_scopes.discard(scope)
            if not isinstance(event, h11.Request):
                return None
            body = await self._read_body()
            return messages.Request(
                event.method.decode("ascii"),
                event.target.decode("ascii"),
                tuple(event.headers),
                body,
            )
        return None

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event(None)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.server.max_body_bytes:
                    raise h11.RemoteProtocolError("the body is too large", error_status_hint=413)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise trio.BrokenResourceError("the peer closed the connection in a body")

    async def _next_event(self, idle_scope: trio.CancelScope | None):
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                if self.connection.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    await self.stream.send_all(self.connection.send(interim))
                data = await self.stream.receive_some(READ_BYTES)
                if idle_scope is not None and data:
                    # The connection is no longer idle: a drain must let this request finish.
                    self.server.idle_scopes.discard(idle_scope)
                    idle_scope.deadline = trio.current_time() + REQUEST_SECONDS
                self.connection.receive_data(data)
                continue
            return event

    async def _send(self, response: messages.Response, is_head: bool) -> bool:
        headers = list(response.headers)
        if self.server.is_draining:
            headers.append((b"connection", b"close"))
        if response.stream is None and response.header(b"content-length") is None:
            headers.append((b"content-length", str(len(response.body)).encode()))
        reason = _reason(response.status)
        head = self.connection.send(
            h11.Response(status_code=response.status, headers=headers, reason=reason)
        )
        if response.stream is None:
            body = b"" if is_head or not response.body else self._data(response.body)
            await self.stream.send_all(head + body + self.connection.send(h11.EndOfMessage()))
            return True
        await self.stream.send_all(head)
        return await self._send_stream(response.stream)

    async def _send_stream(self, stream) -> bool:
        try:
            async for chunk in stream:
                if chunk:
                    await self.stream.send_all(self._data(chunk))
        except messages.HttpError:
            # Closing before the declared end is the only way to mark a truncated response.
            return False
        await self.stream.send_all(self.connection.send(h11.EndOfMessage()))
        return True

    def _data(self, chunk: bytes) -> bytes:
        return self.connection.send(h11.Data(data=chunk))

    async def _refuse(self, status: int, text: str) -> None:
        if self.connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = (
            (b"content-type", b"text/plain"),
            (b"connection", b"close"),
            (b"buckthornstage-error", b"bad_request" if status != 413 else b"body_too_large"),
            (b"buckthornstage-outcome", b"not-run"),
        )
        body = text.encode("ascii", "replace") + b"\n"
        await self._send(messages.Response(status, headers, body), is_head=False)


def _reason(status: int) -> bytes:
    try:
        return http_status.HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b""
