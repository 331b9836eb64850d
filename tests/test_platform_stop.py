"""Graceful stops of nodes whose peers still wait for outcomes."""

import trio

import loopback
import platform_mesh
from buckthornstage.http import tcp_stream
from buckthornstage.link import connection, frames

PACK = bytes(range(256)) * 2_000  # more than a link carries before the receiver acknowledges pieces
LONG_ROUTE_S = 4.0  # the longest route timeout at the users' sites
CALL_MS = 5_500
BEFORE_CLIENT_DRAIN_S = 2.0
AFTER_CLIENT_DRAIN_S = 3.2  # after SIGTERM; clients stop calling after 2.4 s, the grace time is 6 s


class StoppingNode:
    """A node whose process ends when its stop does."""

    async def start(self, nursery, tmp_path, script, timeout_s):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        paths = [
            platform_mesh.path_of("/read/", "safe", timeout_s=timeout_s),
            platform_mesh.path_of("/pack/", "download", platform_mesh.LIBRARY, timeout_s=timeout_s),
        ]
        mesh.store.put("keyed.op", "config", platform_mesh.operator_record(1, paths))
        await mesh.start_store(version=0)
        self.mesh, self.target = mesh, platform_mesh.Target(script)
        self.node_nursery = mesh.nursery = await nursery.start(_open_nursery)
        self.node = await mesh.start_node("n1", self.target)
        await platform_mesh.until(lambda: self.node.is_ready)
        mesh.nursery = nursery

    async def start_library(self, script):
        """Starts a second service, which the stopping node can call."""
        target = platform_mesh.Target(script)
        await self.mesh.start_node("n2", target, service=platform_mesh.LIBRARY)
        peers = self.node.directory.peers
        await platform_mesh.until(lambda: any(peer.state for peer in peers.values()))
        return target

    async def stop(self):
        await self.node.stop()
        self.node_nursery.cancel_scope.cancel()


async def _open_nursery(task_status):
    async with trio.open_nursery() as opened:
        task_status.started(opened)
        await trio.sleep_forever()


def make_call(path):
    headers = ((b"host", platform_mesh.HOST.encode()), (b"attempt-id", b"call-a"))
    service = platform_mesh.DESK
    times = (CALL_MS, CALL_MS, CALL_MS)
    return frames.Call("call-a", "GET", path, headers, b"", service, service, "r", 1, True, *times)


async def send_call(node, path):
    """Opens a connection to the ingress of a node and sends one call on it."""
    host, _, port = node.settings.link_address.rpartition(":")
    opened = connection.LinkConnection(await tcp_stream.connect(host, int(port)), "n1")
    await opened.send(make_call(path))
    return opened


def refusal_reasons(mesh):
    """Reasons for which the egress of a node refused calls."""
    return [event["reason"] for event in mesh.events("refused") if event["part"] == "caller"]


async def read_body(opened, missing):
    """Reads and acknowledges the chunks of a long body until it is complete or the stream ends."""
    parts = []
    while missing > 0 and isinstance(chunk := await opened.receive(), frames.Chunk):
        parts.append(chunk.data)
        missing -= len(chunk.data)
        await opened.send(frames.ChunkRead())
    return b"".join(parts)


def test_a_stop_waits_for_answers_that_peers_still_read(tmp_path):
    # Guards against an ingress that exits with 3 s of its grace time left and truncates downloads
    # whose runs have ended (issue 15, guarumo-mesh-grown scale-2, calls 0db40c1b and d3954bea).
    def script(arrival):
        return platform_mesh.response(arrival, PACK)

    async def main(nursery):
        stopping = StoppingNode()
        await stopping.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        opened = await send_call(stopping.node, "/pack/1")
        head = await opened.receive()
        nursery.start_soon(stopping.stop)
        await trio.sleep(AFTER_CLIENT_DRAIN_S)
        assert await read_body(opened, head.length) == PACK
        await platform_mesh.until(lambda: stopping.mesh.events("drained"))

    loopback.run(main)


def test_a_stop_waits_for_runs_of_peers_on_long_routes(tmp_path):
    # Guards against runs for peers that are aborted 2.7 s after SIGTERM because a route
    # allows 4 s.
    async def script(arrival):
        await trio.sleep(AFTER_CLIENT_DRAIN_S)
        return platform_mesh.response(arrival)

    async def main(nursery):
        stopping = StoppingNode()
        await stopping.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        opened = await send_call(stopping.node, "/read/1")
        await platform_mesh.until(lambda: stopping.target.arrivals)
        nursery.start_soon(stopping.stop)
        outcome = await opened.receive()
        assert (outcome.status, outcome.body) == (200, b"done")

    loopback.run(main)


def test_a_stop_ends_within_the_grace_time_although_a_peer_does_not_read(tmp_path):
    # Guards against a stop that waits for a frozen peer (its connection stays open, it reads and
    # sends nothing) until the process is killed.
    def script(arrival):
        return platform_mesh.response(arrival, PACK)

    async def main(nursery):
        stopping = StoppingNode()
        await stopping.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        opened = await send_call(stopping.node, "/pack/1")
        await opened.receive()
        started_s = trio.current_time()
        await stopping.stop()
        assert trio.current_time() - started_s < stopping.node.settings.grace_s

    loopback.run(main)


def test_a_target_that_still_runs_can_make_calls_on_long_routes(tmp_path):
    # Guards against runs that fail because their node closes its listener 2.4 s after SIGTERM when
    # a route allows 4 s. A call that could last beyond the grace time is refused meanwhile.
    async def script(arrival):
        await trio.sleep(AFTER_CLIENT_DRAIN_S)
        return platform_mesh.response(arrival)

    async def main(nursery):
        stopping = StoppingNode()
        await stopping.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        library = await stopping.start_library(platform_mesh.response)
        node = stopping.node
        opened = await send_call(node, "/read/1")
        await platform_mesh.until(lambda: stopping.target.arrivals)
        nursery.start_soon(stopping.stop)
        await trio.sleep(AFTER_CLIENT_DRAIN_S - 0.3)
        assert (await platform_mesh.call(node, "/pack/1")).status == 200
        assert (await platform_mesh.call(node, "/pack/2", remaining_ms=4_000)).status == 503
        assert refusal_reasons(stopping.mesh) == ["leaving"]
        assert len(library.arrivals) == 1
        assert (await opened.receive()).status == 200

    loopback.run(main)


def test_a_call_beyond_the_grace_time_is_answered_before_the_node_ends(tmp_path):
    # Guards against connections closed without a response at the end of the grace time, when a
    # route allows 4 s and a call arrives shortly before clients stop calling.
    async def script(arrival):
        await trio.sleep_forever()

    async def main(nursery):
        stopping = StoppingNode()
        await stopping.start(nursery, tmp_path, platform_mesh.response, timeout_s=LONG_ROUTE_S)
        await stopping.start_library(script)
        nursery.start_soon(stopping.stop)
        await trio.sleep(BEFORE_CLIENT_DRAIN_S)
        response = await platform_mesh.call(stopping.node, "/pack/1", remaining_ms=5_000)
        assert response.status == 504

    loopback.run(main)
