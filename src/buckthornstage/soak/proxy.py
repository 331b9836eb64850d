"""Loopback proxies that disturb the connections and datagrams that pass through them."""

import contextlib
import random
import socket
import struct

import trio

from buckthornstage.standins import ports

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0
POLL_SECONDS = 0.02
LOST_SHARE = 0.5


class Proxy:
    """Passes connections on to `upstream`; its attributes switch the disturbances.

    `delay_ms` delays each piece; `is_silent` holds bytes back in both directions, `cuts_answers`
    only those from upstream; `refuses` resets new connections. `mute_open` makes the open
    connections silent for good, while new ones work.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.delay_ms = 0
        self.is_silent = False
        self.cuts_answers = False
        self.refuses = False
        self.streams: set[trio.SocketStream] = set()
        self.muted: set[trio.SocketStream] = set()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens on a free port of loopback until cancelled; sets `address`."""
        self.address = ports.free_address()
        host, port = _endpoint(self.address)
        await trio.serve_tcp(self._serve, port, host=host, task_status=task_status)

    def reset_all(self) -> None:
        """Resets all open connections on both sides."""
        for stream in tuple(self.streams):
            _reset(stream)

    def mute_open(self) -> None:
        """Nothing more is passed on over the connections that are open now."""
        self.muted |= self.streams

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.refuses:
            _reset(near)
            return
        try:
            far = await trio.open_tcp_stream(*_endpoint(self.upstream))
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
            self.muted -= {near, far}
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
                if source in self.muted:
                    continue
                await sink.send_all(data)
        if source in self.muted:
            # The other side must not learn of the end either.
            await trio.sleep_forever()
        scope.cancel()


class PeerProxy(Proxy):
    """Stands before the link address of a node, and also passes on the datagrams sent there.

    `is_silent` loses all datagrams, and `loses_datagrams` half of them.
    """

    def __init__(self, upstream: str, rng: random.Random) -> None:
        super().__init__(upstream)
        self.rng = rng
        self.loses_datagrams = False

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens for connections and datagrams until cancelled; sets `address`."""
        async with trio.open_nursery() as nursery:
            await nursery.start(super().serve)
            near = trio.socket.socket(type=socket.SOCK_DGRAM)
            await near.bind(_endpoint(self.address))
            task_status.started()
            with near:
                await self._pass_datagrams(near, nursery)

    async def _pass_datagrams(self, near: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            data, _ = await near.recvfrom(READ_BYTES)
            if self.is_silent or self.loses_datagrams and self.rng.random() < LOST_SHARE:
                continue
            if self.delay_ms:
                nursery.start_soon(self._send_later, near, data)
            else:
                await self._send(near, data)

    async def _send_later(self, near: trio.socket.SocketType, data: bytes) -> None:
        await trio.sleep(self.delay_ms / 1_000)
        await self._send(near, data)

    async def _send(self, near: trio.socket.SocketType, data: bytes) -> None:
        with contextlib.suppress(OSError):  # the node is not running
            await near.sendto(data, _endpoint(self.upstream))


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _reset(stream: trio.SocketStream) -> None:
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()
