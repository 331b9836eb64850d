"""A store that comes back from a copy some seconds old: positions, versions and entries."""

import contextlib

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.standins import platform_store

OPERATOR = ("keyed.op", "config")
NODES = "keyed.nodes"
APPLY_S = 2.0


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
