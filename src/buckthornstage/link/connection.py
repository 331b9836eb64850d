"""Connections between nodes that carry one call at a time."""

import socket

import trio

from buckthornstage import errors
from buckthornstage.http import tcp_stream
from buckthornstage.link import frames

CONNECT_MS = 400  # an address without a machine does not answer; a zone crossing takes 8 ms
SILENT_MS = 1_500  # unacknowledged bytes on a link of a few ms mean a cut, or a lost peer
KEEPALIVE_SECONDS = 1
IDLE_MS = 20_000  # idle connections are closed after this time by the side that opened them
MAX_IDLE = 64  # connections kept for each peer; a target runs fewer calls at once


class LinkBrokenError(errors.BuckthornstageError):
    """The connection to a peer ended; `was_sent` tells whether the frame may have arrived."""

    def __init__(self, problem: str, was_sent: bool) -> None:
        super().__init__(problem)
        self.was_sent = was_sent


class LinkConnection:
    """Framed connection; a length beyond the limit or unreadable bytes end it."""

    def __init__(self, opened: tcp_stream.TcpStream, address: str) -> None:
        self.tcp_stream = opened
        self.address = address
        self.buffer = bytearray()
        self.idle_since_ms = 0
        set_silence_limit(opened.raw, SILENT_MS)

    async def send(self, frame: frames.Frame) -> None:
        """Sends a frame; raises trio.BrokenResourceError or ClosedResourceError."""
        await self.tcp_stream.send_all(frames.encode_frame(frame))

    async def receive(self, max_bytes: int = frames.MAX_FRAME_BYTES) -> frames.Frame | None:
        """Next frame of at most `max_bytes`, or None at the end of the stream.

        Raises ProtocolError for bytes that are no frame, and trio's errors for a break.
        """
        header = frames.LENGTH.size
        while True:
            if len(self.buffer) >= header:
                (length,) = frames.LENGTH.unpack_from(self.buffer)
                if length > max_bytes:
                    raise errors.ProtocolError(f"frame of {length} bytes is above the limit")
                if len(self.buffer) >= header + length:
                    payload = bytes(memoryview(self.buffer)[header : header + length])
                    del self.buffer[: header + length]
                    return frames.decode_frame(payload)
            data = await self.tcp_stream.receive_some()
            if not data:
                return None
            self.buffer += data

    def close(self) -> None:
        """Ends the connection, which cancels a call that runs on it."""
        self.tcp_stream.close()


def set_silence_limit(raw: socket.socket, silent_ms: int) -> None:
    """Breaks a connection whose peer acknowledges nothing, also while it is idle."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_ms)


class LinkPool:
    """Idle connections to the peers, by link address."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.idle: dict[str, list[LinkConnection]] = {}

    async def acquire(self, address: str) -> LinkConnection:
        """Lends an open connection; raises LinkBrokenError when none can be opened."""
        stack = self.idle.get(address, [])
        while stack:
            connection = stack.pop()
            age_ms = self.clock.now_ms() - connection.idle_since_ms
            if age_ms < IDLE_MS and connection.tcp_stream.is_open_and_idle():
                break
            connection.close()
        else:
            connection = await self._connect(address)
        return connection

    async def _connect(self, address: str) -> LinkConnection:
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_MS / 1000):
                return LinkConnection(await tcp_stream.connect(host, int(port)), address)
        except (OSError, trio.TooSlowError) as error:
            reason = f"{address}: {str(error) or 'no connection in time'}"
            raise LinkBrokenError(reason, was_sent=False) from error

    def release(self, connection: LinkConnection, is_usable: bool) -> None:
        """Takes a connection back; one in the middle of a call is closed."""
        stack = self.idle.setdefault(connection.address, [])
        if is_usable and len(stack) < MAX_IDLE and not connection.buffer:
            connection.idle_since_ms = self.clock.now_ms()
            stack.append(connection)
        else:
            connection.close()

    def forget(self, address: str) -> None:
        """Closes the idle connections to a peer that is silent or has started again."""
        for connection in self.idle.pop(address, []):
            connection.close()
