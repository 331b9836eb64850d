"""Proxy that simulates a low-bandwidth link: all bytes from a node share one FIFO queue."""

import trio

import platform_mesh

READ_BYTES = 4096


class NarrowLink:
    """Forwards connections to `server_address`, whose responses share a rate of `bytes_per_ms`."""

    def __init__(self, server_address, bytes_per_ms):
        self.server_address = server_address
        self.bytes_per_ms = bytes_per_ms
        self.address = platform_mesh.free_address()
        self.send_queue, self.receive_queue = trio.open_memory_channel(float("inf"))

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        host, port = self.address.split(":")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._transmit)
            await nursery.start(trio.serve_tcp, self._forward, int(port))
            task_status.started()

    async def _forward(self, client):
        host, port = self.server_address.split(":")
        server = await trio.open_tcp_stream(host, int(port))
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server)
            try:
                while data := await server.receive_some(READ_BYTES):
                    self.send_queue.send_nowait((client, data, trio.current_time()))
            except trio.BrokenResourceError:
                pass
            nursery.cancel_scope.cancel()

    async def _copy(self, source, sink):
        try:
            while data := await source.receive_some(READ_BYTES):
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _transmit(self):
        free_at = trio.current_time()
        async for stream, data, queued_at in self.receive_queue:
            # A late wake-up must not reduce the rate.
            free_at = max(free_at, queued_at) + len(data) / self.bytes_per_ms / 1000
            await trio.sleep_until(free_at)
            try:
                await stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                continue
