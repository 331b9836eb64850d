"""Requests and responses of one server connection, and the watch for peers that go away."""

import http as http_status

import h11
import logbook
import trio

from buckthornstage.http import framing, messages, tcp_stream

IDLE_SECONDS = 60
REQUEST_SECONDS = 30  # bounds what a slow sender can hold
WATCH_SECONDS = 0.025
MAX_PIPELINED_BYTES = 64 * 1024
NO_BODY = (204, 304)

log = logbook.Logger("http")


class Exchange:
    """One connection: reads a request, runs the handler, sends its response, and so on.

    `scope` ends the whole connection. `expires` bounds waiting and receiving, in seconds of the
    watch, or is None while a handler runs.
    """

    def __init__(
        self, server, connected: tcp_stream.TcpStream, watch: "PeerWatch", is_refused: bool
    ) -> None:
        self.server = server
        self.tcp_stream = connected
        self.watch = watch
        self.is_refused = is_refused
        self.is_idle = False
        self.scope = trio.CancelScope()
        self.expires: int | None = None
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=framing.MAX_HEADER_BYTES
        )
        self.watch_scope: trio.CancelScope | None = None
        self.watch_ended: trio.Event | None = None

    async def run(self) -> None:
        """Serves the connection until it ends; a break by the peer is no error."""
        with self.scope:
            try:
                await self._serve()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except h11.LocalProtocolError as error:
                log.error("response breaks the protocol and is cut off: {}", error)
            except Exception:
                # One connection must not end the others of its server.
                log.exception("connection ended by an unexpected error")

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
                # Fails after a response with `connection: close`. A connection whose last
                # response had none stays open: its peer may be sending the next request.
                self.protocol.start_next_cycle()
            except h11.LocalProtocolError:
                return

    async def _respond(self, request: messages.Request) -> bool:
        """Runs the handler and sends its response; returns whether the connection is usable."""
        self.server.active += 1
        self.watch.add(self)
        try:
            response = await self._handle(request)
            return await self._send(response, request.method == "HEAD")
        finally:
            self.server.active -= 1
            await self.watch.remove(self)

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
        self.expires = None
        return messages.Request(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            tuple(event.headers),
            body,
            self.tcp_stream.peer,
        )

    async def _read_head(self):
        """Waits for a request; its bytes are checked before h11 sees them."""
        head = bytes(self.protocol.trailing_data[0])
        if head:
            # Pipelined requests must not keep other connections from running.
            await trio.lowlevel.checkpoint()
            self._check(head)
            self.expires = self.watch.seconds + REQUEST_SECONDS
            event = self.protocol.next_event()
        else:
            self.is_idle = True
            self.expires = self.watch.seconds + self.server.idle_seconds
            event = h11.NEED_DATA
        while event is h11.NEED_DATA:
            data = await self.tcp_stream.receive_some()
            if self.is_idle:
                # A drain must let this request finish.
                self.is_idle = False
                self.expires = self.watch.seconds + REQUEST_SECONDS
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
        if response.stream is None and not has_length and response.status not in NO_BODY:
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
            # Closing before the declared end is the only way to mark a truncated response.
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


class PeerWatch:
    """Ends connections whose peer goes away during a request, or sends too slowly.

    Only handlers that run longer than 25 ms are watched: a task for every call would cost more
    than most calls. For the same reason limits of time are checked once a second for all
    connections, instead of by a timer for each.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.seconds = 0
        self.exchanges: set[Exchange] = set()
        self.running: dict[Exchange, float] = {}
        self.has_work = trio.Event()

    def add(self, exchange: Exchange) -> None:
        """A handler begins."""
        self.running[exchange] = trio.current_time()
        if len(self.running) == 1:
            self.has_work.set()

    async def remove(self, exchange: Exchange) -> None:
        """A response was sent; returns when nothing else reads from the connection."""
        self.running.pop(exchange, None)
        if exchange.watch_scope is not None:
            exchange.watch_scope.cancel()
            with trio.CancelScope(shield=True):
                await exchange.watch_ended.wait()
            exchange.watch_scope = None

    async def run_timer(self) -> None:
        """Ends connections that wait or receive for too long, until cancelled."""
        began = trio.current_time()
        while True:
            await trio.sleep(1)
            self.seconds = int(trio.current_time() - began)
            for exchange in self.exchanges:
                if exchange.expires is not None and exchange.expires < self.seconds:
                    exchange.scope.cancel()

    async def run(self) -> None:
        """Starts to watch handlers that have run for a while, until cancelled."""
        while True:
            if not self.running:
                self.has_work = trio.Event()
                await self.has_work.wait()
            await trio.sleep(WATCH_SECONDS)
            newest = trio.current_time() - WATCH_SECONDS
            for exchange in [known for known, since in self.running.items() if since <= newest]:
                del self.running[exchange]
                exchange.watch_scope = trio.CancelScope()
                exchange.watch_ended = trio.Event()
                self.nursery.start_soon(self._watch, exchange)

    async def _watch(self, exchange: Exchange) -> None:
        received = 0
        try:
            with exchange.watch_scope:
                while received <= MAX_PIPELINED_BYTES:
                    data = await exchange.tcp_stream.receive_some()
                    if not data:
                        exchange.scope.cancel()
                        return
                    received += len(data)
                    exchange.protocol.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            exchange.scope.cancel()
        finally:
            exchange.watch_ended.set()
