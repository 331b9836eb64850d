"""Connections that peers opened and no longer use."""

import trio

import loopback
import platform_mesh
from buckthornstage.link import connection, frames, listener

OPENED = 5


# Guards against connections from peers that stay open for ever once they have gone silent, since
# their opener's end never arrives (the class of issue 38).
def test_a_connection_that_its_peer_no_longer_uses_is_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(listener, "MAX_IDLE_S", 1.0)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1", platform_mesh.Target())
        await platform_mesh.until(lambda: node.is_ready)
        pool = connection.LinkPool(node.clock)
        links = [await pool.connect(node.settings.link_address) for _ in range(OPENED)]
        for link in links[1:]:
            await link.send(frames.Fetch(0))
            assert isinstance(await link.receive(), frames.Copy)
        assert len(node.link_connections) == OPENED
        await platform_mesh.until(lambda: not node.link_connections)

    loopback.run(main)


def test_a_connection_with_a_call_is_not_idle(tmp_path, monkeypatch):
    # Guards against a limit on idle connections that ends one whose call runs for longer.
    monkeypatch.setattr(listener, "MAX_IDLE_S", 0.5)

    async def script(arrival):
        await trio.sleep(1.2)
        return platform_mesh.response(arrival)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        await mesh.start_node("n1", platform_mesh.Target(script))
        caller = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: caller.is_ready)
        await platform_mesh.until(
            lambda: any(peer.is_open for peer in caller.directory.peers.values())
        )
        assert (await platform_mesh.call(caller, "/pay/1", "POST")).status == 200

    loopback.run(main)
