"""Open connections between nodes go silent for good, while new ones and datagrams work."""

import random

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.soak import proxy

CONFIG = ("keyed.op", "config")
CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed
APPLY_MS = 2_000  # from the acknowledgement of a version until it is active everywhere


# Guards against nodes that ask for a new version on pooled connections which are silent, one after
# the other, and refuse added routes meanwhile (CONFIG; the class of issue 38).
@pytest.mark.parametrize("node_count", [3, 6])
def test_a_version_is_active_in_time_although_connections_between_nodes_are_silent(
    node_count, tmp_path
):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        links, nodes = [], []
        for number in range(node_count):
            listen_address = platform_mesh.free_address()
            link = proxy.PeerProxy(listen_address, random.Random(number))
            await nursery.start(link.serve)
            links.append(link)
            nodes.append(
                await mesh.start_node(
                    f"n{number}", link=link.address, link_listen_address=listen_address
                )
            )

        def all_have(version):
            return all(node.peers.version == version for node in nodes)

        await platform_mesh.until(lambda: all_have(1))
        await platform_mesh.until(lambda: sum(node.peers.is_store_reader for node in nodes) == 2)
        for version in range(2, 6):
            mesh.store.put(*CONFIG, platform_mesh.operator_record(version))
            await platform_mesh.until(lambda expected=version: all_have(expected))
        for link in links:
            link.mute_open()
        await trio.sleep(CONTACT_MS / 1_000)
        mesh.store.put(*CONFIG, platform_mesh.operator_record(6))
        with trio.move_on_after(APPLY_MS / 1_000):
            await platform_mesh.until(lambda: all_have(6))
        assert [node.peers.version for node in nodes] == [6] * node_count

    loopback.run(main)
