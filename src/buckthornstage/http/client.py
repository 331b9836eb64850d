"""HTTP client connections: one request at a time, the response whole or streamed."""

import dataclasses

import h11
import trio

from buckthornstage.http import messages, tcp_stream

MAX_HEADER_BYTES = 64 * 1024
MAX_FETCHED_BYTES = 32 << 20  # a read of the log brings 8 MB of records as base64
PIECE_BYTES = 2_048
"""Pieces of a body that is read whole, chunks or reads from the socket, have this mean size when
they reach the limits of bytes and of pieces together. Each piece costs time to parse."""
MAX_INTERIM_RESPONSES = 100
"""Responses of status 1xx before the final one; a slow request may bring one from time to time."""
EVENTS_AT_ONCE = 16
"""Events taken from received bytes before other tasks run; 64 KB can hold 10,000 of them."""
MAX_PROBLEM_CHARS = 200  # of an error's text, which may quote a whole line of the peer
FRAMING = (b"content-length", b"transfer-encoding")


@dataclasses.dataclass
class Connection:
    """One connection to "IP:port"; reusable only after a response was read completely."""

    address: str
    tcp_stream: tcp_stream.TcpStream
    protocol: h11.Connection
    requests: int = 0
    is_usable: bool = True
    is_cut: bool = False
    """The peer did not take the whole request."""
    received: int = 0
    """Bytes of the response so far, with heads and framing, and those received with its end."""
    pieces: int = 0
    events_in_a_row: int = 0
    """Events since this connection last let other tasks run."""

    async def close(self) -> None:
        """Closes the connection at once, which also cancels a running request at the peer."""
        self.abort()

    def abort(self) -> None:
        """The same as `close`, for callers that cannot wait."""
        self.is_usable = False
        self.tcp_stream.close()

    def is_open_and_idle(self) -> bool:
        """Whether an idle connection is still open, with nothing to read."""
        return self.tcp_stream.is_open_and_idle()

    def has_trailing_data(self) -> bool:
        """Whether bytes follow a complete response that no request has asked for."""
        return bool(self.protocol.trailing_data[0]) or bool(self.tcp_stream.peek())

    async def start(self, request: messages.Request) -> messages.Response:
        """Sends the request and returns status and headers with the body as a stream.

        Raises StaleConnectionError when the connection took no byte of the request, so that
        the peer cannot have run it, and ConnectionBrokenError for every later break.
        """
        self.is_usable = False
        data = self._encode(request)
        try:
            sent = self.tcp_stream.send_now(data)
        except trio.BrokenResourceError as error:
            raise messages.StaleConnectionError(f"{self.address}: {error}") from error
        self.requests += 1
        self.received = self.pieces = 0
        if sent < len(data):
            await self._send_rest(data[sent:])
        return await self._read_head(is_buffer_empty=True)

    async def next_response(self, request: messages.Request) -> messages.Response:
        """The response behind a complete one that belonged to an earlier request.

        A server that answers twice sends the second response where the next one is expected.
        """
        rest = self.protocol.trailing_data[0]
        self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._encode(request)
        self.is_usable = False
        self.received, self.pieces = len(rest), 0
        if rest:
            self.protocol.receive_data(rest)
        return await self._read_head(is_buffer_empty=not rest)

    async def _read_head(self, is_buffer_empty: bool) -> messages.Response:
        event = await self._next_event(is_buffer_empty)
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise self._endless(f"more than {MAX_INTERIM_RESPONSES} interim answers")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise messages.ConnectionBrokenError(f"{self.address} closed before a response")
        return messages.Response(event.status_code, tuple(event.headers), stream=Body(self))

    async def fetch(
        self, request: messages.Request, max_bytes: int = MAX_FETCHED_BYTES
    ) -> messages.Response:
        """Sends the request and returns the response with its whole body."""
        response = await self.start(request)
        body = bytearray()
        while (chunk := await self.read_limited(max_bytes)) is not None:
            body += chunk
        return messages.Response(response.status, response.headers, bytes(body))

    async def read_limited(self, max_bytes: int) -> bytes | None:
        """Like `read_some`, for a body that is held whole.

        Raises MalformedResponseError when the response has more than `max_bytes` so far, or more
        pieces than such a response needs.
        """
        self.pieces += 1
        if self.received > max_bytes:
            raise self._endless(f"more than {max_bytes} bytes")
        if self.pieces > max_bytes // PIECE_BYTES:
            raise self._endless(f"more than {max_bytes // PIECE_BYTES} pieces of a body")
        return await self.read_some()

    def _endless(self, problem: str) -> messages.MalformedResponseError:
        return messages.MalformedResponseError(f"{self.address} sends {problem}")

    async def read_some(self) -> bytes | None:
        """Next bytes of the response's body, or None when it is complete."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise messages.ConnectionBrokenError(f"{self.address} closed in a response")

    def _encode(self, request: messages.Request) -> bytes:
        # The body is whole, whatever framing it arrived in.
        headers = [item for item in request.headers if item[0] not in FRAMING]
        if request.header(b"host") is None:
            headers.append((b"host", self.address.encode()))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        data = self.protocol.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        if request.body:
            data += self.protocol.send(h11.Data(data=request.body))
        return data + self.protocol.send(h11.EndOfMessage())

    async def _send_rest(self, data: bytes) -> None:
        """Sends what did not fit; a peer may answer before it has read everything, and close."""
        try:
            await self.tcp_stream.send_all(data)
        except trio.BrokenResourceError:
            self.is_cut = True

    def _finish(self) -> None:
        try:
            self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return
        # Bytes past the end of the response belong to no request; never reuse such a connection.
        self.is_usable = not self.is_cut and not self.protocol.trailing_data[0]

    async def _next_event(self, is_buffer_empty: bool = False):
        self.events_in_a_row += 1
        if self.events_in_a_row > EVENTS_AT_ONCE:
            self.events_in_a_row = 0
            await trio.lowlevel.checkpoint()
        try:
            event = h11.NEED_DATA if is_buffer_empty else self.protocol.next_event()
            while event is h11.NEED_DATA:
                data = await self.tcp_stream.receive_some()
                self.received += len(data)
                self.events_in_a_row = 0
                self.protocol.receive_data(data)
                event = self.protocol.next_event()
            return event
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise messages.ConnectionBrokenError(f"{self.address}: {error}") from error
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from error

    def _protocol_error(self, error: h11.RemoteProtocolError) -> messages.ConnectionBrokenError:
        # h11 reports an end of stream inside a message as a protocol error of the peer.
        is_end = self.protocol.trailing_data[1]
        kind = messages.ConnectionBrokenError if is_end else messages.MalformedResponseError
        return kind(f"{self.address}: {str(error)[:MAX_PROBLEM_CHARS]}")


class Body:
    """Chunks of a response's body as an async iterator."""

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
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
    return Connection(address, opened, protocol)


async def fetch(
    address: str, request: messages.Request, timeout_ms: int = 5_000
) -> messages.Response:
    """One request on a connection of its own; raises an HttpError."""
    connection = await connect(address, timeout_ms)
    try:
        with trio.fail_after(timeout_ms / 1000):
            return await connection.fetch(request)
    except trio.TooSlowError as error:
        raise messages.TimedOutError(f"{address}: no response in {timeout_ms} ms") from error
    finally:
        await connection.close()
