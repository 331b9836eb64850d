"""Server side of one connection: pipelined requests, disconnects of the peer, and time limits."""

import dataclasses

import h11
import logbook
import trio

from buckthornstage import errors
from buckthornstage.http import (
    framing,
    messages,
    request_body,
    request_head,
    response_sender,
    tcp_stream,
    timeouts,
)
from buckthornstage.limits import held_bytes, request_pipeline

IDLE_TIMEOUT_SECONDS = 60
HEADER_TIMEOUT_SECONDS = 30
BODY_TIMEOUT_SECONDS = 30
"""Times to receive a head and a body; a slow sender holds a connection no longer than this."""
LINGER_SECONDS = 0.3
"""Time for the peer to close a connection after the last response. Closing a socket with unread
bytes resets the connection, and the peer could lose a response that it has not read yet."""
RETRY_AFTER = (b"retry-after", b"1")
BODY_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

log = logbook.Logger("http")


@dataclasses.dataclass(eq=False)
class Exchange:
    """A request, and the parser that read it, which also encodes a streamed response."""

    protocol: h11.Connection
    request: messages.Request | None = None
    response: messages.Response | None = None
    taken_bytes: int = 0
    """Memory that is reserved for the request."""
    held_bytes: int = 0
    """Bytes of the response that count as held for the client."""


class ServerConnection:
    """Reads requests from one connection, runs the handler and sends the responses in order.

    Cancelling `scope` ends the connection and all its handlers. `deadline_seconds`, on the clock of
    the timeout monitor, bounds the time to wait for and receive a request; it is None while
    handlers run and no request is partly received.
    """

    def __init__(
        self,
        server,
        connected: tcp_stream.TcpStream,
        monitor: timeouts.TimeoutMonitor,
        is_refused: bool,
    ) -> None:
        self.server = server
        self.tcp_stream = connected
        self.monitor = monitor
        self.is_refused = is_refused
        self.is_between_requests = False
        """Whether nothing of the next request was received."""
        self.is_last_announced = False
        """Whether the peer said that it sends no further request."""
        self.waits_for_turn = False
        """Whether what was received waits to be parsed; see `parsing_turns`."""
        self.is_lingering = False
        """Whether the last response was sent, so that only the end of the peer is waited for."""
        self.scope = trio.CancelScope()
        self.wait_scope: trio.CancelScope | None = None
        """Cancelled when a response was sent, so that waiting requests are looked at again; None
        while nothing waits for that."""
        self.deadline_seconds: float | None = None
        self.idle_seconds = server.idle_seconds
        """The idle time that was in force when the connection last became idle."""
        self.pipeline = request_pipeline.RequestPipeline()
        self.is_sending = False
        self.max_header_bytes = server.max_header_bytes
        self.max_body_bytes = server.max_body_bytes
        """Limits of the request that is being received: the largest that were in force since its
        first byte."""
        self.protocol = _new_protocol(self.max_header_bytes)
        self.protocol_header_bytes = self.max_header_bytes
        self.received_seconds = 0.0
        """When bytes were last received, on trio's clock."""
        self.began_seconds = 0.0
        """When the first of the buffered bytes were received, or passed on by the request before
        them."""
        self.idle_since_seconds = 0.0
        """When the connection last became idle, on trio's clock."""
        self.buffered_bytes = 0
        """Bytes received of the next request, and of those behind it."""
        self.memory = server.memory.transfer(connected.peer, self.reset)
        """For the request that is being received."""
        self.receiver = server.responses.transfer(connected.peer, self.reset)
        self.nursery: trio.Nursery | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is running, waiting for its response or partly received."""
        return self.is_between_requests and not self.pipeline.entries

    def why_unused(self, seconds: float) -> str | None:
        """Why the connection may be closed for a new one, or None.

        It has been idle for this time, or its only request has arrived so slowly or not at all, or
        is costly to parse and began before, or its last response was sent.
        """
        if self.is_lingering:
            return "has its last response"
        now_seconds = trio.current_time()
        if self.pipeline.entries or self.pipeline.is_closing:
            return None
        if self.waits_for_turn:
            is_recent = now_seconds - self.began_seconds < seconds
            return None if is_recent else "sends what is costly to parse"
        if self.deadline_seconds is None:
            return None
        if self.is_between_requests:
            reason, since_seconds = "is idle", self.idle_since_seconds
        else:
            reason, since_seconds = "sends its request slowly", self.received_seconds
            elapsed_ms = 1_000 * (now_seconds - self.began_seconds)
            if self.buffered_bytes < held_bytes.MIN_BYTES_PER_MS * elapsed_ms:
                since_seconds = self.began_seconds
        is_recent = now_seconds - since_seconds < seconds
        return None if is_recent or not self.tcp_stream.is_open_and_idle() else reason

    def is_overdue(self, elapsed_seconds: int) -> bool:
        """Whether the peer has sent too slowly, or nothing for the idle time now in force."""
        if self.deadline_seconds is None:
            return False
        deadline_seconds = self.deadline_seconds
        if self.is_idle:
            # Clients that know of a longer idle time may still use the connection.
            deadline_seconds += max(0, self.server.idle_seconds - self.idle_seconds)
        # Unread bytes were sent in time if this process was paused.
        return deadline_seconds < elapsed_seconds and self.tcp_stream.is_open_and_idle()

    def end_overdue(self) -> None:
        """Closes a connection that is overdue."""
        if not self.is_idle:
            self.server.on_refused(None, "the request did not arrive in time", self.tcp_stream.peer)
        self.scope.cancel()

    def reset(self) -> None:
        """Ends the connection and drops what the client has not received."""
        self.tcp_stream.reset_at_close()
        self.scope.cancel()

    async def run(self) -> None:
        """Serves the connection until it ends; a disconnect by the peer is not an error."""
        try:
            with self.scope:
                async with trio.open_nursery() as self.nursery:
                    await self._run_guarded(self._serve)
        finally:
            self.server.active -= len(self.pipeline.entries)
            self.pipeline.entries.clear()
            self.memory.end()
            self.receiver.end()

    async def _run_guarded(self, step, *arguments) -> None:
        """Runs a step; an error ends this connection and no other one of the server."""
        try:
            await step(*arguments)
            return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.LocalProtocolError as error:
            log.error("response violates HTTP and was truncated: {}", error)
        except Exception:
            log.exception("connection closed after an unexpected error")
        self.scope.cancel()

    async def _serve(self) -> None:
        """Starts requests until the connection accepts no more, then waits for the responses."""
        while not self.pipeline.is_closing:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                errors.release(error)
                self.memory.give_back()
                await self._wait_until_answered()
                if not self.pipeline.is_closing:
                    await self._refuse(error.error_status_hint or 400, str(error))
                break
            if request is None:
                break
            if self.is_refused:
                await self._refuse(503, "this server has too many connections")
                break
            self._start(request)
            # Its body is not to be held while the next request is awaited.
            del request
        # Ends with an error when the peer closes, or is cancelled after the last response.
        while True:
            await self._receive_or_wait()

    def _start(self, request: messages.Request) -> None:
        exchange = Exchange(self.protocol, request, taken_bytes=self.memory.hand_over())
        entry = self.pipeline.start(exchange)
        self.server.active += 1
        if self.protocol.their_state is h11.MUST_CLOSE:
            self.is_last_announced = True
            self.pipeline.close()
        else:
            # h11 reads no further request before the response; another parser does.
            rest = self.protocol.trailing_data[0]
            self.buffered_bytes = len(rest)
            self.began_seconds = trio.current_time()
            self._renew_protocol(rest)
        self.nursery.start_soon(self._run_guarded, self._respond, entry)

    async def _respond(self, entry: request_pipeline.Entry) -> None:
        exchange = entry.payload
        try:
            exchange.response = await self._handle(exchange.request)
        finally:
            if exchange.taken_bytes:
                # The response may wait for its turn.
                exchange.request = dataclasses.replace(exchange.request, headers=(), body=b"")
                self.server.memory.give_back(exchange.taken_bytes)
        self.pipeline.complete(entry, len(exchange.response.body))
        if self.is_sending or self.pipeline.first_ready() is not entry:
            response_sender.hold(self, exchange)
        await self._send_ready()

    async def _handle(self, request: messages.Request) -> messages.Response:
        try:
            return await self.server.handler(request)
        except Exception:
            log.exception("handler failed: {} {}", request.method, request.target)
            headers = ((b"buckthornstage-outcome", b"may-have-run"),)
            return messages.Response(500, headers, b"internal error\n")

    async def _send_ready(self) -> None:
        """Sends the responses whose turn it is, unless another handler's task does so already."""
        if self.is_sending:
            return
        self.is_sending = True
        while (entry := self.pipeline.first_ready()) is not None:
            await self._send_first(entry)
        self.is_sending = False
        if self.is_idle:
            self._restart_idle_timer()

    async def _send_first(self, entry: request_pipeline.Entry) -> None:
        """Sends the response to the oldest request."""
        exchange: Exchange = entry.payload
        is_last = self.pipeline.is_last(entry)
        if is_last and self._ends_with_response():
            self.pipeline.close()
        is_last = is_last and self.pipeline.is_closing
        if not await response_sender.send(self, exchange, is_last):
            raise trio.BrokenResourceError("the response ended early")
        self.pipeline.remove_first()
        self.server.active -= 1
        if self.wait_scope is not None:
            self.wait_scope.cancel()
        if is_last:
            self._close_after_last()

    def _ends_with_response(self) -> bool:
        """Whether the server stops and nothing of a further request was received."""
        if self.server.is_closing:
            return True
        return self.server.is_draining and not (self.buffered_bytes or self.tcp_stream.peek())

    def _restart_idle_timer(self) -> None:
        self.idle_since_seconds = trio.current_time()
        self.idle_seconds = self.server.idle_seconds
        self.deadline_seconds = self.monitor.elapsed_seconds + self.idle_seconds

    def _close_after_last(self) -> None:
        if self.is_last_announced:
            self.scope.cancel()
            return
        self.is_lingering = True
        # What was received is not needed, and further bytes are discarded.
        self.buffered_bytes = 0
        self._renew_protocol(b"")
        self.tcp_stream.end_sending()
        self.scope.deadline = trio.current_time() + LINGER_SECONDS

    async def _wait_until_answered(self) -> None:
        while self.pipeline.entries:
            await self._receive_or_wait()

    async def _read_request(self) -> messages.Request | None:
        """The next request, once it may start; None if the connection accepts no more."""
        event = await request_head.read(self)
        if event is None:
            return None
        head = (event.method.decode("ascii"), event.target.decode("ascii"), tuple(event.headers))
        request = messages.Request(*head, b"", self.tcp_stream.peer)
        if self.pipeline.entries:
            await self._wait_for_turn(request)
            if self.pipeline.is_closing:
                return None
        self.deadline_seconds = self.monitor.elapsed_seconds + BODY_TIMEOUT_SECONDS
        body = await request_body.read(self, request)
        self.deadline_seconds = None
        return messages.Request(*head, body, self.tcp_stream.peer) if body else request

    async def _wait_for_turn(self, request: messages.Request) -> None:
        """Waits until the request may start beside the earlier ones, or none is left."""
        has_body = any(name in BODY_HEADERS for name, _ in request.headers)
        may_overlap = not has_body and self.server.may_overlap(request)
        self.deadline_seconds = None
        # A closing server starts one at a time, so that a response comes which ends the connection.
        while not (
            self.pipeline.is_closing
            or self.pipeline.may_start(may_overlap and not self.server.is_closing)
        ):
            await self._receive_or_wait()

    async def _receive_or_wait(self) -> None:
        """Waits until a response was sent or the peer has sent bytes, which are buffered."""
        with trio.CancelScope() as self.wait_scope:
            if self.buffered_bytes < self.server.buffer_bytes:
                await self.receive(self.server.buffer_bytes)
            else:
                await trio.sleep_forever()
        self.wait_scope = None

    async def receive(self, max_bytes: int = tcp_stream.READ_BYTES) -> bytes:
        """Passes received bytes to the parser and returns them; raises BrokenResourceError if the
        peer closed."""
        data = await self.tcp_stream.receive_some(max_bytes)
        if not data:
            raise trio.BrokenResourceError("the peer closed the connection")
        self.received_seconds = trio.current_time()
        if not self.buffered_bytes:
            self.began_seconds = self.received_seconds
            self.max_header_bytes = self.max_body_bytes = 0
        self._apply_limits()
        self.buffered_bytes += len(data)
        if not self.pipeline.is_closing:
            self.protocol.receive_data(data)
        return data

    def _apply_limits(self) -> None:
        """Raises the limits of the current request to those that are in force now."""
        self.max_header_bytes = max(self.max_header_bytes, self.server.max_header_bytes)
        self.max_body_bytes = max(self.max_body_bytes, self.server.max_body_bytes)

    def _renew_protocol(self, received: bytes) -> None:
        """Replaces the parser by one with the current limit; `received` is not parsed yet."""
        self.protocol_header_bytes = self.max_header_bytes
        self.protocol = _new_protocol(self.max_header_bytes)
        if received:
            self.protocol.receive_data(received)

    async def wait_for_request(self) -> None:
        """Waits for the first bytes of the next request, as an idle connection."""
        self.is_between_requests = True
        if not self.pipeline.entries:
            self._restart_idle_timer()
        await self.receive(self.server.buffer_bytes)

    def parse_head(self) -> h11.Request | type[h11.NEED_DATA]:
        """Parses a head that was checked, as far as it was received."""
        if self.protocol_header_bytes != self.max_header_bytes:
            self._renew_protocol(self.protocol.trailing_data[0])
        return self.protocol.next_event()

    async def _refuse(self, status: int, text: str) -> None:
        """Answers a request that is not passed on, and accepts no further one."""
        self.server.on_refused(status, text, self.tcp_stream.peer)
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.scope.cancel()
            return
        headers = [(b"content-type", b"text/plain"), (b"buckthornstage-outcome", b"not-run")]
        if status == 503:
            headers.append(RETRY_AFTER)
        else:
            kinds = errors.ErrorKind
            kind = kinds.BODY_TOO_LARGE if status == 413 else kinds.BAD_REQUEST
            headers.append((b"buckthornstage-error", kind.encode()))
        body = text.encode("ascii", "replace") + b"\n"
        self.pipeline.close()
        exchange = Exchange(self.protocol)
        exchange.response = messages.Response(status, tuple(headers), body)
        await response_sender.send(self, exchange, is_last=True)
        self._close_after_last()


def _new_protocol(max_header_bytes: int) -> h11.Connection:
    size = framing.MAX_REQUEST_LINE_BYTES + max_header_bytes + framing.LINE_ENDS_BYTES
    return h11.Connection(h11.SERVER, max_incomplete_event_size=size)
