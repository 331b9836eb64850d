"""Loopback TCP proxy that disturbs the connections that pass through it."""

import contextlib
import socket
import struct

import trio

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0
POLL_SECONDS = 0.02


class Proxy:
    """Passes connections on to `upstream`; its attributes switch the disturbances.

    `delay_ms` delays each piece; `is_silent` holds bytes back in both directions, `cuts_answers`
    only those from upstream; `refuses` resets new connections.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.delay_ms = 0
        self.is_silent = False
        self.cuts_answers = False
        self.refuses = False
        self.streams: set[trio.SocketStream] = set()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens on a free port of loopback until cancelled; sets `address`."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def reset_all(self) -> None:
        """Resets all open connections on both sides."""
        for stream in tuple(self.streams):
            _reset(stream)

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.refuses:
            _reset(near)
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(near)
            return
        self.streams |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, False, nursery.cancel_scope)
                nursery.start_soon(self._copy, far, near, True, nursery.cancel_scope)
        finally:
            self.streams -= {near, far}
            for stream in (near, far):
                await trio.aclose_forcefully(stream)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
        scope: trio.CancelScope,
    ) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            while data := await source.receive_some(READ_BYTES):
                await trio.sleep(self.delay_ms / 1_000)
                while self.is_silent or (self.cuts_answers and is_answer):
                    await trio.sleep(POLL_SECONDS)
                await sink.send_all(data)
        scope.cancel()


def _reset(stream: trio.SocketStream) -> None:
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()
