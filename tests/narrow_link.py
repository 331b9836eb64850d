"""A narrow link in front of a node: all bytes that it sends share one first-in first-out queue."""

import trio

import platform_mesh

READ_BYTES = 4096


class NarrowLink:
    """Forwards connections to `behind`; its responses pass at `bytes_per_ms` for all together."""

    def __init__(self, behind, bytes_per_ms):
        self.behind = behind
        self.bytes_per_ms = bytes_per_ms
        self.address = platform_mesh.free_address()
        self.send_queue, self.receive_queue = trio.open_memory_channel(float("inf"))

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        host, port = self.address.split(":")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._transmit)
            await nursery.start(trio.serve_tcp, self._forward, int(port))
            task_status.started()

    async def _forward(self, near):
        host, port = self.behind.split(":")
        far = await trio.open_tcp_stream(host, int(port))
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far)
            try:
                while data := await far.receive_some(READ_BYTES):
                    self.send_queue.send_nowait((near, data, trio.current_time()))
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
            # A late wake-up must not make the link narrower.
            free_at = max(free_at, queued_at) + len(data) / self.bytes_per_ms / 1000
            await trio.sleep_until(free_at)
            try:
                await stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                continue
