"""Connections between nodes that carry one call at a time."""

import math
import socket

import trio

from buckthornstage import errors
from buckthornstage.http import tcp_stream
from buckthornstage.limits import held_bytes
from buckthornstage.link import frames

CONNECT_TIMEOUT_MS = 400  # a missing machine sends no reply; a round trip between zones is 8 ms
DEAD_PEER_TIMEOUT_MS = 1_500
"""For connections without a call: round trips take a few ms, so the link is cut or the peer
lost."""
DEADLINE_MARGIN_MS = 500
LONG_FRAME_BYTES = 1 << 20  # frames above this size are not copied
COUNTED_FRAME_BYTES = 64 << 10
"""Frames above this size need memory for bodies, as many connections may each hold one."""
KEEPALIVE_INTERVAL_S = 1
MS_PER_SECOND = 1_000
IDLE_TIMEOUT_MS = 20_000
"""Checked by the opener when it reuses the connection."""
PING_AFTER_MS = 2_000
"""A connection that was idle for longer may have gone silent, and a call on it would wait to its
deadline. The peer has to answer a ping on it first, which takes a tenth of the processor time of a
new connection."""
PING_TIMEOUT_MS = 100  # a round trip between zones is 8 ms; without an answer a new one is opened
PING_SHARE = 0.25
"""A ping takes at most this part of the time of its call, which then goes on a new connection."""
MAX_IDLE_PER_PEER = 64  # a target runs fewer calls at once


class LinkBrokenError(errors.BuckthornstageError):
    """The connection to a peer broke.

    `was_sent`: whether the frame may have arrived. `cause` is one word for counters. `unused_ms`:
    how long the connection was idle before the frame was sent; None for a new one.
    """

    def __init__(
        self, problem: str, was_sent: bool, cause: str, unused_ms: int | None = None
    ) -> None:
        super().__init__(problem)
        self.was_sent = was_sent
        self.cause = cause
        self.unused_ms = unused_ms


class LinkConnection:
    """Framed connection; an oversized or malformed frame ends it."""

    def __init__(self, opened: tcp_stream.TcpStream, address: str) -> None:
        self.tcp_stream = opened
        self.address = address
        self.buffer = bytearray()
        self.received_seconds = 0.0
        """Trio's time of the last bytes."""
        self.idle_since_ms = 0
        self.unused_ms: int | None = None
        """Time for which the connection was idle before its current call; None if it is new."""
        self.calls = 0
        """Calls sent on this connection; the number of the newest."""
        set_dead_peer_timeout(opened, DEAD_PEER_TIMEOUT_MS)

    def set_patience(self, deadline_ms: int) -> None:
        """Keeps the connection until the deadline of its next call, although the peer acknowledges
        nothing; 0 if there is no call.

        A peer that is silent for a while may be at work, so only the caller of the exchange ends
        it. Bytes sent before the call count for TCP's time limit, so it must be set before the
        send.
        """
        timeout_ms = call_timeout_ms(deadline_ms) if deadline_ms else DEAD_PEER_TIMEOUT_MS
        self.tcp_stream.set_user_timeout(timeout_ms)

    async def send(self, frame: frames.Frame) -> None:
        """Sends a frame; raises trio.BrokenResourceError or ClosedResourceError."""
        for part in frames.encode_parts(frame):
            await self.tcp_stream.send_all(part)

    async def receive(
        self,
        max_bytes: int = frames.MAX_FRAME_BYTES,
        memory: held_bytes.Transfer | None = None,
    ) -> frames.Frame | None:
        """Next frame of at most `max_bytes`, or None at the end of the stream.

        `memory` gives the memory of a long frame, before its bytes are awaited. Raises
        ProtocolError for a frame that is oversized or malformed, or has no memory, and the errors
        of trio when the connection breaks.
        """
        header = frames.LENGTH.size
        has_memory = False
        while True:
            if len(self.buffer) >= header:
                (length,) = frames.LENGTH.unpack_from(self.buffer)
                if length > max_bytes:
                    raise errors.ProtocolError(f"frame of {length} bytes is above the limit")
                if length > COUNTED_FRAME_BYTES and memory is not None and not has_memory:
                    if not memory.take(length):
                        raise errors.ProtocolError(f"no memory for a frame of {length} bytes")
                    has_memory = True
                    memory.start()
                if len(self.buffer) >= header + length:
                    return frames.decode_frame(self._pop_payload(header, length))
            data = await self.tcp_stream.receive_some()
            if not data:
                return None
            self.received_seconds = trio.current_time()
            self.buffer += data
            if has_memory:
                memory.on_progress(len(data))

    def _pop_payload(self, header: int, length: int) -> bytes | memoryview:
        """Removes a frame from the buffer; a long one keeps the buffer instead of a copy."""
        if length > LONG_FRAME_BYTES and len(self.buffer) == header + length:
            payload = memoryview(self.buffer)[header:]
            self.buffer = bytearray()
            return payload
        payload = bytes(memoryview(self.buffer)[header : header + length])
        del self.buffer[: header + length]
        return payload

    def close(self) -> None:
        """Closes the connection, which cancels the call running on it."""
        self.tcp_stream.close()


def call_timeout_ms(deadline_ms: int) -> int:
    """Time after which a connection without progress may end while a call of this deadline runs on
    it, in whole seconds, since each change costs a system call."""
    seconds = -(-(deadline_ms + DEADLINE_MARGIN_MS) // MS_PER_SECOND)
    return max(DEAD_PEER_TIMEOUT_MS, seconds * MS_PER_SECOND)


def set_dead_peer_timeout(opened: tcp_stream.TcpStream, timeout_ms: int) -> None:
    """Sets TCP_NODELAY, and breaks even an idle connection if its peer stops acknowledging."""
    raw = opened.raw
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    opened.set_user_timeout(timeout_ms)


async def _answers_ping(connection: LinkConnection, timeout_ms: float) -> bool:
    """Whether the peer answers on an idle connection in time; closes it if cancelled meanwhile."""
    try:
        with trio.move_on_after(timeout_ms / 1000):
            await connection.send(frames.Ping())
            return isinstance(await connection.receive(frames.MAX_PING_BYTES), frames.Ping)
    except (trio.BrokenResourceError, trio.ClosedResourceError, errors.ProtocolError):
        return False
    except BaseException:
        connection.close()
        raise
    return False


class LinkPool:
    """Idle connections to the peers, by link address.

    `opened` counts new ones, and `on_silent(address, unused_ms)` is called for one whose peer did
    not answer a ping.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.idle: dict[str, list[LinkConnection]] = {}
        self.opened = 0
        self.on_silent = lambda address, unused_ms: None

    async def acquire(self, address: str, timeout_ms: float = math.inf) -> LinkConnection:
        """Returns an open connection that was used or has answered within the last PING_AFTER_MS,
        or a new one; raises LinkBrokenError if none can be opened. `timeout_ms` is the time that is
        left to the call."""
        ping_timeout_ms = max(0, min(PING_TIMEOUT_MS, PING_SHARE * timeout_ms))
        stack = self.idle.get(address, [])
        while stack:
            connection = stack.pop()
            age_ms = self.clock.now_ms() - connection.idle_since_ms
            if age_ms < IDLE_TIMEOUT_MS and connection.tcp_stream.is_open_and_idle():
                if age_ms < PING_AFTER_MS or await _answers_ping(connection, ping_timeout_ms):
                    connection.unused_ms = age_ms
                    return connection
                self.on_silent(address, age_ms)
                self._close_unproved(address)
            connection.close()
        return await self.connect(address)

    def _close_unproved(self, address: str) -> None:
        """Closes the connections to a peer that would need a ping, as they may be silent too."""
        newest_ms = self.clock.now_ms() - PING_AFTER_MS
        stack = self.idle.get(address, [])
        for connection in stack:
            if connection.idle_since_ms <= newest_ms:
                connection.close()
        stack[:] = [one for one in stack if one.idle_since_ms > newest_ms]

    async def connect(self, address: str) -> LinkConnection:
        """Opens a connection; raises LinkBrokenError."""
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_MS / 1000):
                return LinkConnection(await tcp_stream.connect(host, int(port)), address)
        except (OSError, trio.TooSlowError) as error:
            reason = f"{address}: {str(error) or 'timed out while connecting'}"
            raise LinkBrokenError(reason, was_sent=False, cause="connect") from error

    def release(self, connection: LinkConnection, is_usable: bool) -> None:
        """Returns a connection to the pool, or closes it if it is unusable, has unread bytes,
        or enough are idle."""
        stack = self.idle.setdefault(connection.address, [])
        if is_usable and len(stack) < MAX_IDLE_PER_PEER and not connection.buffer:
            connection.idle_since_ms = self.clock.now_ms()
            connection.set_patience(0)
            stack.append(connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to a peer that is silent or has restarted."""
        for connection in self.idle.pop(address, []):
            connection.close()
