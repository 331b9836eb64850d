"""The second reader's connection to the store is silent, and the first reader sends no version."""

import random

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.soak import proxy

CONFIG = ("keyed.op", "config")
APPLY_MS = 2_000  # from the acknowledgement of a version until it is active everywhere
CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed


class ThreeNodes:
    """Nodes of one zone in the order of the election, each with proxies of its own for its
    connections to the store and for its link."""

    async def start(self, nursery, tmp_path):
        self.mesh = mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        store_address = mesh.store_address
        started = []
        for number in range(3):
            store_link = proxy.Proxy(store_address)
            await nursery.start(store_link.serve)
            mesh.store_address = store_link.address
            listen_address = platform_mesh.free_address()
            link = proxy.PeerProxy(listen_address, random.Random(number))
            await nursery.start(link.serve)
            node = await mesh.start_node(
                f"n{number}", link=link.address, link_listen_address=listen_address
            )
            started.append((node, store_link, link))
        started.sort(key=lambda item: item[0].directory.reading.own_rank)
        self.nodes, self.store_links, self.links = zip(*started, strict=True)
        await platform_mesh.until_active(self.nodes, 1)
        await platform_mesh.until(
            lambda: [node.peers.is_store_reader for node in self.nodes] == [True, True, False]
        )
        await platform_mesh.until(lambda: self.nodes[0].synchronization.role.is_lead)

    def publish(self, version):
        self.mesh.store.put(*CONFIG, platform_mesh.operator_record(version))


# Guards against a zone whose nodes know of a version and do not get it, since the first reader
# accepts no connections and the second one waits for 25 s on a silent connection (CONFIG; the class
# of issue 38).
@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_a_version_is_active_in_time_although_only_a_silent_reader_can_pass_it_on(fault, tmp_path):
    async def main(nursery):
        three = ThreeNodes()
        await three.start(nursery, tmp_path)
        # Both readers pause after this version, and then wait for the next one.
        three.publish(2)
        await platform_mesh.until_active(three.nodes, 2)
        await trio.sleep(1.5)
        three.store_links[1].mute_open()
        first_link = three.links[0]
        if fault == "refused":
            first_link.refuses = True
        else:
            first_link.cuts_answers = True
        await trio.sleep(CONTACT_MS / 1_000)
        three.publish(3)
        await platform_mesh.assert_active_within(three.nodes, 3, APPLY_MS)

    loopback.run(main)


# Guards against readers that call the store anew for each version that a peer announces first.
def test_readers_on_connections_that_work_do_not_begin_again(tmp_path):
    async def main(nursery):
        three = ThreeNodes()
        await three.start(nursery, tmp_path)
        for version in range(2, 12):
            three.publish(version)
            await trio.sleep(0.3)
        await platform_mesh.until_active(three.nodes, 11)
        await trio.sleep(1.0)
        assert three.mesh.events("behind") == []

    loopback.run(main)
