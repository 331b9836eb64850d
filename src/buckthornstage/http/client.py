"""HTTP client connections: one request at a time, the response whole or streamed."""

import dataclasses
from collections.abc import AsyncIterator

import h11
import trio

from buckthornstage.http import messages

READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024


@dataclasses.dataclass
class Connection:
    """One connection to "IP:port"; reusable only after a response was read completely."""

    address: str
    stream: trio.SocketStream
    protocol: h11.Connection
    requests: int = 0
    is_usable: bool = True

    async def close(self) -> None:
        """Closes the connection at once, which also cancels a running request at the peer."""
        self.is_usable = False
        await trio.aclose_forcefully(self.stream)

    async def start(self, request: messages.Request) -> messages.Response:
        """Sends the request and returns status and headers with the body as a stream.

        Raises StaleConnectionError when a reused connection turns out closed before any byte of
        the response and the request provably did not reach a handler (the send failed), and
        ConnectionBrokenError for every later break.
        """
        self.is_usable = False
        data = self._encode(request)
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            # A partial send never completes a request, so the peer cannot have run it.
            raise messages.StaleConnectionError(f"{self.address}: {error}") from error
        self.requests += 1
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise messages.ConnectionBrokenError(f"{self.address} closed before a response")
        return messages.Response(event.status_code, tuple(event.headers), stream=self._body())

    async def fetch(self, request: messages.Request) -> messages.Response:
        """Sends the request and returns the response with its whole body."""
        response = await self.start(request)
        body = b"".join([chunk async for chunk in response.stream])
        return dataclasses.replace(response, body=body, stream=None)

    def _encode(self, request: messages.Request) -> bytes:
        headers = [*request.headers]
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

    async def _body(self) -> AsyncIterator[bytes]:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            else:
                raise messages.ConnectionBrokenError(f"{self.address} closed in a response")

    def _finish(self) -> None:
        try:
            self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return
        # Bytes past the end of the response belong to no request; never reuse such a connection.
        self.is_usable = not self.protocol.trailing_data[0]

    async def _next_event(self):
        try:
            while True:
                event = self.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.protocol.receive_data(await self.stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise messages.ConnectionBrokenError(f"{self.address}: {error}") from error
        except h11.RemoteProtocolError as error:
            raise messages.ConnectionBrokenError(f"{self.address}: {error}") from error


async def connect(address: str, timeout_ms: int = 1_000) -> Connection:
    """Opens a connection to "IP:port"; raises ConnectFailedError."""
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    except (OSError, trio.TooSlowError) as error:
        raise messages.ConnectFailedError(f"{address}: {error or 'timeout'}") from error
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
    return Connection(address, stream, protocol)


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
