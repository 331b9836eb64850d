"""Nodes that peers reach through a proxy, with a real node on loopback."""

import random

import loopback
import platform_mesh
from buckthornstage.soak import proxy


def test_peers_reach_a_node_at_the_address_that_it_tells(tmp_path):
    """Guards against a soak whose faults on the links between nodes disturb nothing: connections
    and datagrams of peers must go through the proxy."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        listen_address = platform_mesh.free_address()
        link = proxy.PeerProxy(listen_address, random.Random(1))
        await nursery.start(link.serve)
        target = platform_mesh.Target()
        served = await mesh.start_node(
            "n1", target, link=link.address, link_listen_address=listen_address
        )
        caller = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: served.is_ready and caller.is_ready)
        peers = caller.directory.peers
        await platform_mesh.until(lambda: any(peer.is_open for peer in peers.values()))
        assert list(peers) == [link.address]
        assert (await platform_mesh.call(caller, "/read/1")).status == 200
        link.is_silent = True
        heard_ms = peers[link.address].heard_ms
        assert (await platform_mesh.call(caller, "/pay/1", "POST", remaining_ms=300)).status == 504
        await platform_mesh.until(
            lambda: not peers[link.address].is_reachable(caller.clock.now_ms())
        )
        link.is_silent = False
        await platform_mesh.until(lambda: peers[link.address].heard_ms > heard_ms + 1_000)
        assert (await platform_mesh.call(caller, "/pay/2", "POST")).status == 200

    loopback.run(main)


def test_peers_hear_a_node_that_restarts_with_an_earlier_clock(tmp_path):
    """Guards against a restarted node whose datagrams its peers discard as old ones of its
    predecessor, because its clock was set back."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        link = platform_mesh.free_address()
        watcher = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        async with mesh.killed_at_exit():
            await mesh.start_node("n1", platform_mesh.Target(), link=link)
            await platform_mesh.until(lambda: link in watcher.directory.peers)
            await platform_mesh.until(lambda: watcher.directory.peers[link].is_open)
        restarted = await mesh.start_node(
            "n1", platform_mesh.Target(), link=link, clock_offset_s=-3_600.0
        )
        await platform_mesh.until(
            lambda: (peer := watcher.directory.peers[link]).is_open
            and peer.incarnation == restarted.peers.incarnation
        )
        assert (await platform_mesh.call(watcher, "/read/1")).status == 200

    loopback.run(main)
