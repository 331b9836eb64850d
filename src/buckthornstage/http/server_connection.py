"""Server side of one connection, and detection of disconnected and slow peers."""

import http as http_status

import h11
import logbook
import trio

from buckthornstage.http import framing, messages, tcp_stream

IDLE_TIMEOUT_SECONDS = 60
REQUEST_TIMEOUT_SECONDS = 30  # a slow sender holds a connection no longer than this
DISCONNECT_WATCH_DELAY_SECONDS = 0.025
MAX_PIPELINED_BYTES = 64 * 1024
STATUSES_WITHOUT_BODY = (204, 304)

log = logbook.Logger("http")


class ServerConnection:
    """Reads requests from one connection, runs the handler and sends the responses.

    Cancelling `scope` ends the connection. `deadline_seconds`, on the clock of the monitor, bounds
    the time to wait for and receive a request; it is None while a handler runs.
    """

    def __init__(
        self,
        server,
        connected: tcp_stream.TcpStream,
        monitor: "ConnectionMonitor",
        is_refused: bool,
    ) -> None:
        self.server = server
        self.tcp_stream = connected
        self.monitor = monitor
        self.is_refused = is_refused
        self.is_idle = False
        self.scope = trio.CancelScope()
        self.deadline_seconds: int | None = None
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=framing.MAX_REQUEST_HEAD_BYTES
        )
        self.disconnect_scope: trio.CancelScope | None = None
        self.disconnect_watch_ended: trio.Event | None = None

    async def run(self) -> None:
        """Serves the connection until it ends; a disconnect by the peer is not an error."""
        with self.scope:
            try:
                await self._serve()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except h11.LocalProtocolError as error:
                log.error("response violates HTTP and was truncated: {}", error)
            except Exception:
                # An error in one connection must not end the others of the server.
                log.exception("connection closed after an unexpected error")

    async def _serve(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint or 400, str(error))
                return
            if request is None:
                return
            if self.is_refused:
                await self._refuse(503, "this server has too many connections")
                return
            if not await self._respond(request):
                return
            try:
                # Fails after a response with `connection: close`. Without that header the
                # connection stays open: the peer may already be sending the next request.
                self.protocol.start_next_cycle()
            except h11.LocalProtocolError:
                return

    async def _respond(self, request: messages.Request) -> bool:
        """Runs the handler and sends its response; returns whether the connection is reusable."""
        self.server.active += 1
        self.monitor.add(self)
        try:
            response = await self._handle(request)
            return await self._send(response, request.method == "HEAD")
        finally:
            self.server.active -= 1
            await self.monitor.remove(self)

    async def _handle(self, request: messages.Request) -> messages.Response:
        try:
            return await self.server.handler(request)
        except Exception:
            log.exception("handler failed: {} {}", request.method, request.target)
            headers = ((b"buckthornstage-outcome", b"may-have-run"),)
            return messages.Response(500, headers, b"internal error\n")

    async def _read_request(self) -> messages.Request | None:
        event = await self._read_head()
        if not isinstance(event, h11.Request):
            return None
        body = await self._read_body()
        self.deadline_seconds = None
        return messages.Request(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            tuple(event.headers),
            body,
            self.tcp_stream.peer,
        )

    async def _read_head(self):
        """Waits for the head of a request; its bytes are checked before h11 parses them."""
        head = bytes(self.protocol.trailing_data[0])
        if head:
            # Pipelined requests must not starve other connections.
            await trio.lowlevel.checkpoint()
            self._check(head)
            self.deadline_seconds = self.monitor.elapsed_seconds + REQUEST_TIMEOUT_SECONDS
            event = self.protocol.next_event()
        else:
            self.is_idle = True
            self.deadline_seconds = self.monitor.elapsed_seconds + self.server.idle_seconds
            event = h11.NEED_DATA
        while event is h11.NEED_DATA:
            data = await self.tcp_stream.receive_some()
            if self.is_idle:
                # During a drain this request must still finish.
                self.is_idle = False
                self.deadline_seconds = self.monitor.elapsed_seconds + REQUEST_TIMEOUT_SECONDS
            head += data
            self._check(head)
            self.protocol.receive_data(data)
            event = self.protocol.next_event()
        return event

    def _check(self, head: bytes) -> None:
        problem = framing.problem(head)
        if problem is not None:
            raise h11.RemoteProtocolError(problem)

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                if self.protocol.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    await self.tcp_stream.send_all(self.protocol.send(interim))
                self.protocol.receive_data(await self.tcp_stream.receive_some())
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.server.max_body_bytes:
                    raise h11.RemoteProtocolError("the body is too large", error_status_hint=413)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise trio.BrokenResourceError("the peer closed the connection in a body")

    async def _send(self, response: messages.Response, is_head: bool) -> bool:
        if response.stream is None:
            head = self._head(response)
            body = b"" if is_head or not response.body else self._data(response.body)
            await self.tcp_stream.send_all(head + body + self.protocol.send(h11.EndOfMessage()))
            return True
        try:
            await self.tcp_stream.send_all(self._head(response))
            return await self._send_stream(response.stream)
        finally:
            if hasattr(response.stream, "aclose"):
                await response.stream.aclose()

    def _head(self, response: messages.Response) -> bytes:
        headers = list(response.headers)
        if self.server.is_draining:
            headers.append((b"connection", b"close"))
        has_length = response.header(b"content-length") is not None
        if (
            response.stream is None
            and not has_length
            and response.status not in STATUSES_WITHOUT_BODY
        ):
            headers.append((b"content-length", b"%d" % len(response.body)))
        reason = REASONS.get(response.status, b"")
        return self.protocol.send(
            h11.Response(status_code=response.status, headers=headers, reason=reason)
        )

    async def _send_stream(self, stream) -> bool:
        try:
            async for chunk in stream:
                if chunk:
                    await self.tcp_stream.send_all(self._data(chunk))
        except messages.HttpError:
            # Closing before the declared end is the only way to signal a truncated response.
            return False
        await self.tcp_stream.send_all(self.protocol.send(h11.EndOfMessage()))
        return True

    def _data(self, chunk: bytes) -> bytes:
        return self.protocol.send(h11.Data(data=chunk))

    async def _refuse(self, status: int, text: str) -> None:
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            (b"content-type", b"text/plain"),
            (b"connection", b"close"),
            (b"buckthornstage-outcome", b"not-run"),
        ]
        if status != 503:
            kind = b"body_too_large" if status == 413 else b"bad_request"
            headers.append((b"buckthornstage-error", kind))
        body = text.encode("ascii", "replace") + b"\n"
        await self._send(messages.Response(status, tuple(headers), body), is_head=False)


REASONS = {status.value: status.phrase.encode("ascii") for status in http_status.HTTPStatus}


class ConnectionMonitor:
    """Closes connections whose peer disconnects during a request, sends too slowly or is idle.

    Only handlers that run longer than 25 ms are monitored: a task per call would cost more than
    most calls. For the same reason deadlines are checked once a second for all connections,
    instead of with a timer per connection.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.elapsed_seconds = 0
        self.open_connections: set[ServerConnection] = set()
        self.not_yet_watched: dict[ServerConnection, float] = {}
        self.has_work = trio.Event()

    def add(self, connection: ServerConnection) -> None:
        """Called when a handler starts."""
        self.not_yet_watched[connection] = trio.current_time()
        if len(self.not_yet_watched) == 1:
            self.has_work.set()

    async def remove(self, connection: ServerConnection) -> None:
        """Called after a response was sent; returns when no task reads from the connection."""
        self.not_yet_watched.pop(connection, None)
        if connection.disconnect_scope is not None:
            connection.disconnect_scope.cancel()
            with trio.CancelScope(shield=True):
                await connection.disconnect_watch_ended.wait()
            connection.disconnect_scope = None

    async def run_timer(self) -> None:
        """Closes connections whose deadline has passed; runs until cancelled."""
        started = trio.current_time()
        while True:
            await trio.sleep(1)
            self.elapsed_seconds = int(trio.current_time() - started)
            for connection in self.open_connections:
                if (
                    connection.deadline_seconds is not None
                    and connection.deadline_seconds < self.elapsed_seconds
                ):
                    connection.scope.cancel()

    async def run(self) -> None:
        """Monitors the peers of handlers that run longer than 25 ms; runs until cancelled."""
        while True:
            if not self.not_yet_watched:
                self.has_work = trio.Event()
                await self.has_work.wait()
            await trio.sleep(DISCONNECT_WATCH_DELAY_SECONDS)
            latest_start = trio.current_time() - DISCONNECT_WATCH_DELAY_SECONDS
            for connection in [
                running for running, since in self.not_yet_watched.items() if since <= latest_start
            ]:
                del self.not_yet_watched[connection]
                connection.disconnect_scope = trio.CancelScope()
                connection.disconnect_watch_ended = trio.Event()
                self.nursery.start_soon(self._watch_for_disconnect, connection)

    async def _watch_for_disconnect(self, connection: ServerConnection) -> None:
        received_bytes = 0
        try:
            with connection.disconnect_scope:
                while received_bytes <= MAX_PIPELINED_BYTES:
                    data = await connection.tcp_stream.receive_some()
                    if not data:
                        connection.scope.cancel()
                        return
                    received_bytes += len(data)
                    connection.protocol.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            connection.scope.cancel()
        finally:
            connection.disconnect_watch_ended.set()
