"""Stops of nodes whose peers still wait for outcomes."""

import trio

import loopback
import platform_mesh
from buckthornstage.http import tcp_stream
from buckthornstage.link import connection, frames

PACK = bytes(range(256)) * 2_000  # more than a link carries without acknowledgements
LONG_ROUTE_S = 4.0  # the longest one of the users' sites
CALL_MS = 5_500
BEFORE_CLIENTS_LEAVE_S = 2.0
BEYOND_CLIENTS_S = 3.2  # after SIGTERM; clients have gone after 2.4 s, the grace time is 6 s


class Leaving:
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
        self.life = mesh.nursery = await nursery.start(_open_nursery)
        self.node = await mesh.start_node("n1", self.target)
        await platform_mesh.until(lambda: self.node.is_ready)
        mesh.nursery = nursery

    async def start_library(self, script):
        """A second service, which the leaving node can call."""
        target = platform_mesh.Target(script)
        await self.mesh.start_node("n2", target, service=platform_mesh.LIBRARY)
        peers = self.node.directory.peers
        await platform_mesh.until(lambda: any(peer.state for peer in peers.values()))
        return target

    async def stop(self):
        await self.node.stop()
        self.life.cancel_scope.cancel()


async def _open_nursery(task_status):
    async with trio.open_nursery() as opened:
        task_status.started(opened)
        await trio.sleep_forever()


def make_call(path):
    headers = ((b"host", platform_mesh.HOST.encode()), (b"attempt-id", b"call-a"))
    service = platform_mesh.DESK
    times = (CALL_MS, CALL_MS, CALL_MS)
    return frames.Call("call-a", "GET", path, headers, b"", service, service, "r", 1, True, *times)


async def ask(node, path):
    """A connection to the ingress of a node, on which one call was sent."""
    host, _, port = node.settings.link_address.rpartition(":")
    opened = connection.LinkConnection(await tcp_stream.connect(host, int(port)), "n1")
    await opened.send(make_call(path))
    return opened


def refusals(mesh):
    """Why calls were refused by the nodes that read them."""
    return [event["reason"] for event in mesh.events("refused") if event["part"] == "caller"]


async def read_body(opened, missing):
    """Reads and acknowledges the pieces of a long body; stops at the end of the stream."""
    parts = []
    while missing > 0 and isinstance(chunk := await opened.receive(), frames.Chunk):
        parts.append(chunk.data)
        missing -= len(chunk.data)
        await opened.send(frames.ChunkRead())
    return b"".join(parts)


def test_a_stop_waits_for_answers_that_peers_still_read(tmp_path):
    # Guards against an ingress that exits with 3 s of its grace time left and cuts off downloads
    # whose runs have ended (issue 15, guarumo-mesh-grown scale-2, calls 0db40c1b and d3954bea).
    def script(arrival):
        return platform_mesh.response(arrival, PACK)

    async def main(nursery):
        leaving = Leaving()
        await leaving.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        opened = await ask(leaving.node, "/pack/1")
        head = await opened.receive()
        nursery.start_soon(leaving.stop)
        await trio.sleep(BEYOND_CLIENTS_S)
        assert await read_body(opened, head.length) == PACK
        await platform_mesh.until(lambda: leaving.mesh.events("drained"))

    loopback.run(main)


def test_a_stop_waits_for_runs_of_peers_on_long_routes(tmp_path):
    # Guards against runs for peers that are cut off 2.7 s after SIGTERM because a route allows 4 s.
    async def script(arrival):
        await trio.sleep(BEYOND_CLIENTS_S)
        return platform_mesh.response(arrival)

    async def main(nursery):
        leaving = Leaving()
        await leaving.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        opened = await ask(leaving.node, "/read/1")
        await platform_mesh.until(lambda: leaving.target.arrivals)
        nursery.start_soon(leaving.stop)
        outcome = await opened.receive()
        assert (outcome.status, outcome.body) == (200, b"done")

    loopback.run(main)


def test_a_stop_ends_within_the_grace_time_although_a_peer_does_not_read(tmp_path):
    # Guards against a stop that waits for a frozen peer until it is killed.
    def script(arrival):
        return platform_mesh.response(arrival, PACK)

    async def main(nursery):
        leaving = Leaving()
        await leaving.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        opened = await ask(leaving.node, "/pack/1")
        await opened.receive()
        began = trio.current_time()
        await leaving.stop()
        assert trio.current_time() - began < leaving.node.settings.grace_s

    loopback.run(main)


def test_a_target_that_still_runs_can_make_calls_on_long_routes(tmp_path):
    # Guards against runs that fail because their node closes its listener 2.4 s after SIGTERM when
    # a route allows 4 s. A call that could last beyond the grace time is refused meanwhile.
    async def script(arrival):
        await trio.sleep(BEYOND_CLIENTS_S)
        return platform_mesh.response(arrival)

    async def main(nursery):
        leaving = Leaving()
        await leaving.start(nursery, tmp_path, script, timeout_s=LONG_ROUTE_S)
        library = await leaving.start_library(platform_mesh.response)
        node = leaving.node
        opened = await ask(node, "/read/1")
        await platform_mesh.until(lambda: leaving.target.arrivals)
        nursery.start_soon(leaving.stop)
        await trio.sleep(BEYOND_CLIENTS_S - 0.3)
        assert (await platform_mesh.call(node, "/pack/1")).status == 200
        assert (await platform_mesh.call(node, "/pack/2", remaining_ms=4_000)).status == 503
        assert refusals(leaving.mesh) == ["leaving"]
        assert len(library.arrivals) == 1
        assert (await opened.receive()).status == 200

    loopback.run(main)


def test_a_call_beyond_the_grace_time_is_answered_before_the_node_ends(tmp_path):
    # Guards against connections that end without a response at the end of the grace time, when a
    # route allows 4 s and a call came shortly before the clients had gone.
    async def script(arrival):
        await trio.sleep_forever()

    async def main(nursery):
        leaving = Leaving()
        await leaving.start(nursery, tmp_path, platform_mesh.response, timeout_s=LONG_ROUTE_S)
        await leaving.start_library(script)
        nursery.start_soon(leaving.stop)
        await trio.sleep(BEFORE_CLIENTS_LEAVE_S)
        response = await platform_mesh.call(leaving.node, "/pack/1", remaining_ms=5_000)
        assert response.status == 504

    loopback.run(main)
