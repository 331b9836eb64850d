"""A store that comes back from a copy some seconds old: positions, versions and entries."""

import contextlib

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import client, messages
from buckthornstage.link import frames
from buckthornstage.standins import platform_store

OPERATOR = ("keyed.op", "config")
NODES = "keyed.nodes"
APPLY_S = 2.0
LINK_DELAY_S = 0.02


class DrilledStore:
    """The mesh's store, whose connections all end when it is away."""

    def __init__(self, mesh):
        self.mesh, self.store = mesh, mesh.store
        self.version = 0

    @contextlib.asynccontextmanager
    async def serving(self):
        async with trio.open_nursery() as nursery:
            await nursery.start(platform_store.serve, self.store, self.mesh.store_address)
            yield
            nursery.cancel_scope.cancel()

    def publish(self, version, *paths):
        self.store.put(
            *OPERATOR, platform_mesh.operator_record(version, paths or platform_mesh.PATHS)
        )


async def in_force(node, version):
    """Waits until a version is in force, for at most the users' bound."""
    with trio.fail_after(APPLY_S):
        await platform_mesh.until(lambda: node.peers.version == version)


@pytest.mark.parametrize("pause_s", [0.0, 0.8])
@pytest.mark.parametrize("lost, again", [(2, 1), (2, 2), (3, 1), (1, 1)])
def test_a_change_after_a_restoration_is_in_force_in_time(lost, again, pause_s, tmp_path):
    # Guards against a reader that goes on at a position of before the restoration: with as many
    # records written again as were lost, it is valid and the change lies before it (CONFIG).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        async with drill.serving():
            node = await mesh.start_node("n1")
            await in_force(node, 1)
            await platform_mesh.until(lambda: mesh.store.partition(NODES).end == 1)
            copy = mesh.store.take_copy()
            for version in range(2, 2 + lost):
                drill.publish(version)
                await in_force(node, version)
                # After a change the reader pauses; the store may be away meanwhile, or later.
                await trio.sleep(pause_s)
        mesh.store.restore(copy)
        for version in range(2 + lost - again, 2 + lost):
            drill.publish(version)
        drill.publish(2 + lost)
        assert mesh.store.partition(OPERATOR[0]).end == 2 + again
        async with drill.serving():
            await in_force(node, 2 + lost)
            drill.publish(3 + lost)
            await in_force(node, 3 + lost)

    loopback.run(main)


def test_a_read_that_waits_over_a_restoration_is_given_up(tmp_path):
    # Guards against a long read that stays open over the restoration, at an offset that exists
    # again, while a response to another read names the new era (CONFIG).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        async with drill.serving():
            copy = mesh.store.take_copy()
            node = await mesh.start_node("n1")
            await platform_mesh.until(lambda: mesh.store.partition(NODES).end == 1)
            drill.publish(2)
            await in_force(node, 2)
            await trio.sleep(1.0)
            mesh.store.restore(copy)
            drill.publish(3)
            await in_force(node, 3)

    loopback.run(main)


def test_an_older_version_after_a_restoration_changes_nothing(tmp_path):
    # Guards against a node that goes back to the version of the copy (CONFIG).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        async with drill.serving():
            node = await mesh.start_node("n1")
            await in_force(node, 1)
            copy = mesh.store.take_copy()
            drill.publish(2)
            await in_force(node, 2)
        mesh.store.restore(copy)
        async with drill.serving():
            await platform_mesh.until(lambda: mesh.events("era")[-1]["era"] == 2)
            await trio.sleep(1.0)
            assert node.peers.version == 2
            assert [line["version"] for line in mesh.events("in_force")] == [1, 2]

    loopback.run(main)


def delay_datagrams(nursery, node):
    """Delays the datagrams of a node, as a link between zones does."""
    send = node.peers._send

    async def send_later(arguments, fields):
        await trio.sleep(LINK_DELAY_S)
        send(*arguments, **fields)

    node.peers._send = lambda *arguments, **fields: nursery.start_soon(
        send_later, arguments, fields
    )


def test_a_restarted_node_takes_no_older_version_than_its_peers_have(tmp_path):
    # Guards against a process that starts after a restoration, before the operator has written the
    # lost version again, and routes calls by the older one of the copy (CONFIG).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        link = platform_mesh.free_address()
        async with drill.serving():
            running = await mesh.start_node("n1")
            async with mesh.killed_at_exit():
                first = await mesh.start_node("n2", link=link)
                await in_force(first, 1)
                await platform_mesh.until(lambda: len(stored_keys(mesh)) == 2)
                copy = mesh.store.take_copy()
                drill.publish(2)
                await in_force(first, 2)
                await in_force(running, 2)
        mesh.store.restore(copy)
        delay_datagrams(nursery, running)
        async with drill.serving():
            again = await mesh.start_node("n2", link=link)
            await in_force(again, 2)
            await platform_mesh.until(lambda: again.is_ready)
            in_force_there = [
                line["version"] for line in mesh.events("in_force") if line["node"] == "n2"
            ]
            assert in_force_there == [1, 2, 2]

    loopback.run(main)


@pytest.mark.parametrize("peer_count", [0, 2])
def test_a_node_whose_peers_are_gone_takes_the_version_of_the_store(peer_count, tmp_path):
    # Guards against a start that waits for peers that no longer exist.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        async with drill.serving():
            async with mesh.killed_at_exit():
                for number in range(peer_count):
                    await mesh.start_node(f"n{number}")
                await platform_mesh.until(lambda: len(stored_keys(mesh)) == peer_count)
            began_s = trio.current_time()
            node = await mesh.start_node("n9")
            await platform_mesh.until(lambda: node.is_ready)
            assert trio.current_time() - began_s < 0.5

    loopback.run(main)


async def drained(node, target):
    """Announces that a node's target is draining."""
    body = target.heartbeat(
        status={"state": "draining", "sequence": target.sequence + 1, "cold_left_s": 0}
    )
    request = messages.Request(
        "POST", f"/buckthornstage/Instances.Heartbeat/{target.instance}", body=body
    )
    assert (await client.fetch(node.settings.announce_address, request)).status == 200


def stored_keys(mesh):
    """Link addresses of the entries in the store."""
    return set(mesh.store.partition(NODES).newest)


def test_all_nodes_write_their_lost_entries_again(tmp_path):
    # Guards against nodes that nobody finds after a restoration, among them those that do not read
    # the store and hear of it from peers only.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        copy = mesh.store.take_copy()
        async with drill.serving():
            nodes = [await mesh.start_node(f"n{number}") for number in range(4)]
            links = {node.settings.link_address for node in nodes}
            await platform_mesh.until(lambda: stored_keys(mesh) == links)
            await platform_mesh.until(
                lambda: sum(node.synchronization.role.is_reader for node in nodes) == 2
            )
        mesh.store.restore(copy)
        async with drill.serving():
            await platform_mesh.until(lambda: stored_keys(mesh) == links)

    loopback.run(main)


def test_a_target_that_left_stays_out_after_a_restoration_and_a_restart(tmp_path):
    # Guards against a restarted node that opens its ingress to a target whose leave was lost with
    # the store's last seconds (DRAIN).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        target, link = platform_mesh.Target(), platform_mesh.free_address()
        await nursery.start(target.serve)
        async with mesh.killed_at_exit():
            async with drill.serving():
                first = await mesh.start_node("n1", link=link, target_address=target.address)
                await mesh.announce(first, target)
                await platform_mesh.until(lambda: stored_keys(mesh) == {link})
                copy = mesh.store.take_copy()
                await drained(first, target)
                await platform_mesh.until(lambda: mesh.store.partition(NODES).end == 2)
            mesh.store.restore(copy)
            before = dict(mesh.store.partition(NODES).newest)
            await mesh.nursery.start(platform_store.serve, mesh.store, mesh.store_address)
            await platform_mesh.until(lambda: mesh.store.partition(NODES).newest != before)
        async with drill.serving():
            again = await mesh.start_node("n1", link=link, target_address=target.address)
            await mesh.announce(again, target)
            await platform_mesh.until(lambda: again.is_ready)
            assert again.ingress.status() is frames.IngressStatus.TARGET_DRAINING

    loopback.run(main)


def test_peers_tell_a_leave_that_the_store_has_lost_before_the_ingress_opens(tmp_path):
    # Guards against a restarted node that opens its ingress on a late announcement of a target that
    # left in the lost seconds, if it could not write its entry again (DRAIN).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        target, link = platform_mesh.Target(), platform_mesh.free_address()
        await nursery.start(target.serve)
        async with drill.serving():
            running = await mesh.start_node("n1", service=platform_mesh.LIBRARY)
            peers = running.directory.peers
            async with mesh.killed_at_exit():
                first = await mesh.start_node("n2", link=link, target_address=target.address)
                await mesh.announce(first, target)
                await platform_mesh.until(lambda: link in peers and peers[link].is_open)
                await platform_mesh.until(lambda: link in stored_keys(mesh))
                copy = mesh.store.take_copy()
                await drained(first, target)
                await platform_mesh.until(lambda: peers[link].ended is not None)
        mesh.store.restore(copy)
        delay_datagrams(nursery, running)
        opened = len(mesh.events("target_state"))
        async with drill.serving():
            again = await mesh.start_node("n2", link=link, target_address=target.address)
            await mesh.announce(again, target)
            await platform_mesh.until(lambda: again.is_ready and again.ingress.is_informed)
            await trio.sleep(2 * LINK_DELAY_S)
            assert again.ingress.status() is frames.IngressStatus.TARGET_DRAINING
            statuses = {line["status"] for line in mesh.events("target_state")[opened:]}
            assert "open" not in statuses

    loopback.run(main)


def test_one_restoration_costs_one_write_for_each_node(tmp_path):
    # Guards against entries that are written again and again once an era has risen.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        drill = DrilledStore(mesh)
        drill.publish(1)
        async with drill.serving():
            nodes = [await mesh.start_node(f"n{number}") for number in range(3)]
            await platform_mesh.until(lambda: len(stored_keys(mesh)) == len(nodes))
            copy = mesh.store.take_copy()
        mesh.store.restore(copy)
        before = mesh.store.calls["log-append"]
        async with drill.serving():
            await trio.sleep(3.0)
            assert mesh.store.calls["log-append"] - before == len(nodes)

    loopback.run(main)
