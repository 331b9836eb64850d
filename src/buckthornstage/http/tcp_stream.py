"""TCP connection on a non-blocking socket, with few system calls.

trio's socket methods yield to the scheduler after every operation, which costs a poll each time.
Here a send that fits the socket's buffer does not yield, and a receive waits before it reads,
because the bytes have rarely arrived by then.
"""

import contextlib
import fcntl
import functools
import socket
import struct
import sys
import termios
from collections.abc import Callable

import trio

READ_BYTES = 64 * 1024
INT_BYTES = 4
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, on, for no time
SEND_TIMEOUT_SECONDS = 30.0  # a slow reader holds a connection no longer than this


class TcpStream:
    """A connected socket; errors are trio's BrokenResourceError and ClosedResourceError."""

    def __init__(self, raw: socket.socket) -> None:
        raw.setblocking(False)
        self.raw = raw
        self.is_closed = False
        self.user_timeout_ms: int | None = None
        """The time limit that `set_user_timeout` has set."""

    @functools.cached_property
    def peer(self) -> str:
        """IP address of the peer; empty if the socket is not connected or already closed."""
        try:
            return self.raw.getpeername()[0]
        except OSError:
            return ""

    async def receive_some(self, max_bytes: int = READ_BYTES) -> bytes:
        """Waits for bytes and returns them; empty at the end of the stream."""
        while True:
            try:
                await trio.lowlevel.wait_readable(self.raw)
                return self.raw.recv(max_bytes)
            except BlockingIOError:
                continue
            except (OSError, ValueError) as error:
                raise trio.BrokenResourceError(str(error)) from error

    def try_send(self, data: bytes) -> int:
        """Sends without waiting; returns the number of bytes that the socket accepted."""
        try:
            return self.raw.send(data)
        except BlockingIOError:
            return 0
        except (OSError, ValueError) as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_all(
        self, data: bytes, on_sent: Callable[[int], None] = lambda size: None
    ) -> None:
        """Sends all bytes; raises BrokenResourceError if the peer accepts none for 30 s.

        `on_sent(size)` is called for bytes that were accepted after a wait.
        """
        sent = self.try_send(data)
        while sent < len(data):
            data = memoryview(data)[sent:]
            try:
                with trio.fail_after(SEND_TIMEOUT_SECONDS):
                    await trio.lowlevel.wait_writable(self.raw)
            except trio.TooSlowError as error:
                raise trio.BrokenResourceError("the peer accepted no bytes within 30 s") from error
            except (OSError, ValueError) as error:
                raise trio.BrokenResourceError(str(error)) from error
            sent = self.try_send(data)
            on_sent(sent)

    def is_open_and_idle(self) -> bool:
        """Whether the peer has neither closed the connection nor sent anything unread."""
        return self.peek() is None

    def peek(self) -> bytes | None:
        """First unread byte, empty at the end of the stream, or None if there are no bytes."""
        try:
            return self.raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except (OSError, ValueError):
            return b""

    def set_user_timeout(self, timeout_ms: int) -> None:
        """Breaks the connection if the peer takes no bytes for this time; only a change costs a
        system call."""
        if timeout_ms != self.user_timeout_ms:
            self.user_timeout_ms = timeout_ms
            with contextlib.suppress(OSError):  # a closed socket, which the next send reports
                self.raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def unacknowledged_bytes(self) -> int:
        """Bytes that the peer's machine has not acknowledged yet; 0 if the socket is closed."""
        try:
            found = fcntl.ioctl(self.raw, termios.TIOCOUTQ, bytes(INT_BYTES))
        except (OSError, ValueError):
            return 0
        return int.from_bytes(found, sys.byteorder)

    def end_sending(self) -> None:
        """Tells the peer that nothing more is sent; bytes can still be received."""
        with contextlib.suppress(OSError):  # the connection is broken, which a receive reports
            self.raw.shutdown(socket.SHUT_WR)

    def reset_at_close(self) -> None:
        """Makes `close` drop the bytes that the peer has not received, and reset the connection."""
        with contextlib.suppress(OSError, ValueError):  # the socket is closed already
            self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)

    def close(self) -> None:
        """Closes the socket at once; tasks that wait on it get ClosedResourceError."""
        if not self.is_closed:
            self.is_closed = True
            trio.lowlevel.notify_closing(self.raw)
            self.raw.close()


def from_stream(stream: trio.SocketStream) -> TcpStream:
    """Takes over the socket of a trio stream, which must not be used afterwards."""
    trio.lowlevel.notify_closing(stream.socket)
    return TcpStream(socket.socket(fileno=stream.socket.detach()))


async def connect(host: str, port: int) -> TcpStream:
    """Connects to an IP address, or through trio to a host name; raises OSError."""
    try:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        address = (socket.inet_pton(family, host), host)[1]
    except OSError:
        return from_stream(await trio.open_tcp_stream(host, port))
    tcp_stream = TcpStream(socket.socket(family, socket.SOCK_STREAM))
    try:
        tcp_stream.raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            tcp_stream.raw.connect((address, port))
        except BlockingIOError:
            await trio.lowlevel.wait_writable(tcp_stream.raw)
            code = tcp_stream.raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, f"cannot connect to {host}:{port}") from None
    except BaseException:
        tcp_stream.close()
        raise
    return tcp_stream
