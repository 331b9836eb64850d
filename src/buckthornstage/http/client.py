"""HTTP client connections: one request at a time, with a buffered or streamed response."""

import dataclasses
import re

import h11
import trio

from buckthornstage import errors
from buckthornstage.http import framing, messages, tcp_stream

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
MAX_FETCH_BYTES = 32 << 20  # a read of the log returns up to 8 MB of records in base64
MIN_MEAN_PIECE_BYTES = 2_048
"""Smallest mean size of the pieces (chunks or socket reads) of a buffered body at its size limit.
Bounds the number of pieces, since each costs time to parse."""
MAX_INTERIM_RESPONSES = 100
"""Responses of status 1xx before the final one; a slow request may send one from time to time."""
MAX_IDLE_MS = 2_000
"""For all that reuse connections: one that was idle for longer may have gone silent without notice,
and a request on it would wait to its deadline."""
MAX_EVENTS_PER_TURN = 4
"""Parsed events before other tasks may run; 64 KB of received bytes can hold 10,000 events."""
MAX_ERROR_TEXT_CHARS = 200  # the text may quote a whole line of the peer
HTTP_VERSIONS = (b"1.0", b"1.1")
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d\b")
_REQUEST_SENT = h11.Request(method="GET", target="/", headers=[("host", "any")])
_HEAD_SENT = h11.Request(method="HEAD", target="/", headers=[("host", "any")])
_END_OF_REQUEST = h11.EndOfMessage()


@dataclasses.dataclass(eq=False)
class Connection:
    """One connection to "IP:port"; reusable only after a response was read to its end."""

    address: str
    tcp_stream: tcp_stream.TcpStream
    protocol: h11.Connection
    requests: int = 0
    is_usable: bool = True
    is_request_incomplete: bool = False
    """The peer closed the connection before it had received the whole request."""
    received_bytes: int = 0
    """Bytes received for the response, with heads, framing and bytes that follow its end."""
    pieces: int = 0
    events_without_yield: int = 0
    """Parsed events since this connection last let other tasks run."""
    idle_since: float = 0.0
    """Trio's time of its last response, if its user records it."""
    sent_ids: set[bytes] = dataclasses.field(default_factory=set)
    """Digests of the ids of the calls sent on this connection, if its user records them."""

    async def close(self) -> None:
        """Closes the connection at once, which also cancels a running request at the server."""
        self.abort()

    def abort(self) -> None:
        """The same as `close`, for synchronous callers."""
        self.is_usable = False
        self.tcp_stream.close()

    def is_open_and_idle(self) -> bool:
        """Whether an idle connection is still open and has no unread bytes."""
        return self.tcp_stream.is_open_and_idle()

    def has_trailing_data(self) -> bool:
        """Whether unrequested bytes follow a complete response."""
        return bool(self.protocol.trailing_data[0]) or bool(self.tcp_stream.peek())

    async def start(self, request: messages.Request) -> messages.Response:
        """Sends the request and returns status and headers, with the body as a stream.

        Raises StaleConnectionError if no byte of the request could be sent, so the peer cannot
        have run it, and ConnectionBrokenError if the connection breaks later.
        """
        self.is_usable = False
        data = self._encode(request)
        rest = b""
        if len(request.body) > framing.MAX_JOINED_BODY_BYTES:
            rest = request.body
        else:
            data += request.body
        try:
            sent = self.tcp_stream.try_send(data)
        except trio.BrokenResourceError as error:
            raise messages.StaleConnectionError(f"{self.address}: {error}") from error
        self.requests += 1
        self.received_bytes = self.pieces = 0
        if sent < len(data):
            await self._send_rest(data[sent:])
        if rest and not self.is_request_incomplete:
            await self._send_rest(rest)
        return await self._read_head(is_buffer_empty=True)

    async def next_response(self, request: messages.Request) -> messages.Response:
        """Reads the next response after one that belonged to an earlier request.

        A server that responds twice sends the second response where the next one is expected.
        """
        rest = self.protocol.trailing_data[0]
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )
        self._encode(request)
        self.is_usable = False
        self.received_bytes, self.pieces = len(rest), 0
        if rest:
            self.protocol.receive_data(rest)
        return await self._read_head(is_buffer_empty=not rest)

    async def _read_head(self, is_buffer_empty: bool) -> messages.Response:
        event = await self._next_event(is_buffer_empty)
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise self._limit_exceeded(f"more than {MAX_INTERIM_RESPONSES} interim responses")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise messages.ConnectionBrokenError(f"{self.address} closed before a response")
        # h11 takes any three digits, and any version.
        is_defined = (
            event.status_code <= messages.MAX_STATUS and event.http_version in HTTP_VERSIONS
        )
        if not is_defined:
            raise messages.MalformedResponseError(
                f"{self.address} sent status {event.status_code} of HTTP/"
                f"{event.http_version.decode()}"
            )
        if any(map(STATUS_LINE.search, (event.reason, *(value for _, value in event.headers)))):
            raise messages.MalformedResponseError(f"{self.address} sent a head within a head")
        return messages.Response(event.status_code, tuple(event.headers), stream=Body(self))

    async def fetch(
        self, request: messages.Request, max_bytes: int = MAX_FETCH_BYTES
    ) -> messages.Response:
        """Sends the request and returns the response with its whole body."""
        response = await self.start(request)
        body = bytearray()
        while (chunk := await self.read_limited(max_bytes)) is not None:
            body += chunk
        return messages.Response(response.status, response.headers, bytes(body))

    async def read_limited(self, max_bytes: int) -> bytes | None:
        """Like `read_some`, for a body that is buffered whole.

        Raises MalformedResponseError if the response exceeds `max_bytes`, or comes in more pieces
        than a response of that size needs.
        """
        self.pieces += 1
        if self.received_bytes > max_bytes:
            raise self._limit_exceeded(f"more than {max_bytes} bytes")
        if self.pieces > max_bytes // MIN_MEAN_PIECE_BYTES:
            raise self._limit_exceeded(
                f"more than {max_bytes // MIN_MEAN_PIECE_BYTES} pieces of a body"
            )
        return await self.read_some()

    def _limit_exceeded(self, problem: str) -> messages.MalformedResponseError:
        return messages.MalformedResponseError(f"{self.address} sends {problem}")

    async def read_some(self) -> bytes | None:
        """Next bytes of the response's body, or None when it is complete."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            # A failed send takes the error of a reset; after that the stream seems to end properly.
            if self.is_request_incomplete and self.protocol.trailing_data[1]:
                raise messages.ConnectionBrokenError(f"{self.address}: end of stream after a reset")
            self._finish()
            return None
        raise messages.ConnectionBrokenError(f"{self.address} closed in a response")

    def _encode(self, request: messages.Request) -> bytes:
        """Encodes the head of a request; h11 only tracks that one was sent, and whether by HEAD.

        Raises h11.LocalProtocolError for a header or target with a line break or space.
        """
        lines = [b"%s %s HTTP/1.1" % (request.method.encode(), request.target.encode())]
        # The body is buffered, so its original framing headers no longer apply.
        lines += [
            name + b": " + value for name, value in request.headers if name not in FRAMING_HEADERS
        ]
        if request.header(b"host") is None:
            lines.append(b"host: " + self.address.encode())
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(b"content-length: %d" % len(request.body))
        if lines[0].count(b" ") != 2:
            raise h11.LocalProtocolError("the method or the target contains a space")
        head = framing.encode_head(lines)
        self.protocol.send(_HEAD_SENT if request.method == "HEAD" else _REQUEST_SENT)
        self.protocol.send(_END_OF_REQUEST)
        return head

    async def _send_rest(self, data: bytes) -> None:
        """Sends the rest; a peer may respond and close before it has read the whole request."""
        try:
            await self.tcp_stream.send_all(data)
        except trio.BrokenResourceError:
            self.is_request_incomplete = True

    def _finish(self) -> None:
        try:
            self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return
        # Bytes after the end of the response belong to no request, so don't reuse the connection.
        self.is_usable = not self.is_request_incomplete and not self.protocol.trailing_data[0]

    async def _next_event(self, is_buffer_empty: bool = False):
        self.events_without_yield += 1
        if self.events_without_yield > MAX_EVENTS_PER_TURN:
            self.events_without_yield = 0
            await trio.lowlevel.checkpoint()
        try:
            event = h11.NEED_DATA if is_buffer_empty else self.protocol.next_event()
            while event is h11.NEED_DATA:
                data = await self.tcp_stream.receive_some()
                self.received_bytes += len(data)
                self.events_without_yield = 0
                self.protocol.receive_data(data)
                event = self.protocol.next_event()
            return event
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise messages.ConnectionBrokenError(f"{self.address}: {error}") from error
        except h11.RemoteProtocolError as error:
            errors.release(error)
            raise self._protocol_error(error) from error

    def _protocol_error(self, error: h11.RemoteProtocolError) -> messages.ConnectionBrokenError:
        # h11 reports an end of stream within a message as a remote protocol error.
        is_end = self.protocol.trailing_data[1]
        kind = messages.ConnectionBrokenError if is_end else messages.MalformedResponseError
        return kind(f"{self.address}: {str(error)[:MAX_ERROR_TEXT_CHARS]}")


class Body:
    """Async iterator over the chunks of a response's body."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def __aiter__(self) -> "Body":
        return self

    async def __anext__(self) -> bytes:
        chunk = await self.connection.read_some()
        if chunk is None:
            raise StopAsyncIteration
        return chunk


async def connect(address: str, timeout_ms: int = 1_000) -> Connection:
    """Opens a connection to "IP:port"; raises ConnectFailedError."""
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(timeout_ms / 1000):
            opened = await tcp_stream.connect(host.strip("[]"), int(port))
    except (OSError, ValueError, trio.TooSlowError) as error:
        raise messages.ConnectFailedError(f"{address}: {error or 'timeout'}") from error
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
    return Connection(address, opened, protocol)


async def fetch(
    address: str, request: messages.Request, timeout_ms: int = 5_000
) -> messages.Response:
    """Sends one request on a new connection and returns the response; raises an HttpError."""
    connection = await connect(address, timeout_ms)
    try:
        with trio.fail_after(timeout_ms / 1000):
            return await connection.fetch(request)
    except trio.TooSlowError as error:
        raise messages.TimedOutError(f"{address}: no response within {timeout_ms} ms") from error
    finally:
        await connection.close()
