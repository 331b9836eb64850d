"""Open connections to the store go silent for good, while new ones work."""

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.mesh import followers
from buckthornstage.soak import proxy

CONFIG = ("keyed.op", "config")
ADDED = platform_mesh.path_of("/added/", "safe")
APPLY_MS = 2_000  # from the acknowledgement of a version until it is active everywhere
CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed
DIRECTORY_PAUSE_MS = 4_000
SILENCE_POINTS_MS = (0, 400, 900)
"""When the connections go silent, after a version: while readers pause, or within a read."""


class SilencedMesh:
    """Four nodes in two zones, whose connections to the store pass through one proxy."""

    async def start(self, nursery, tmp_path):
        self.mesh = platform_mesh.Mesh(nursery, tmp_path)
        await self.mesh.start_store()
        self.link = proxy.Proxy(self.mesh.store_address)
        await nursery.start(self.link.serve)
        self.mesh.store_address = self.link.address
        self.nodes = [
            await self.mesh.start_node(f"n{number}", zone=f"z{number % 2}") for number in range(4)
        ]
        await platform_mesh.until_active(self.nodes, 1)
        await platform_mesh.until(lambda: all(node.peers.is_store_reader for node in self.nodes))

    def publish(self, version):
        paths = [*platform_mesh.PATHS, ADDED][: 3 + (version > 1)]
        self.mesh.store.put(*CONFIG, platform_mesh.operator_record(version, paths))


def on_silenced_mesh(test, tmp_path):
    async def main(nursery):
        silenced = SilencedMesh()
        await silenced.start(nursery, tmp_path)
        await test(silenced)

    loopback.run(main)


# Guards against readers that wait for 25 s on a connection on which no response will come, so that
# all nodes refuse added routes (CONFIG, DENIED; issue 38).
@pytest.mark.parametrize("silent_after_ms", SILENCE_POINTS_MS)
def test_a_version_is_active_in_time_although_the_store_connections_went_silent(
    silent_after_ms, tmp_path
):
    async def test(silenced):
        await trio.sleep(1.0)
        silenced.publish(2)
        await platform_mesh.until_active(silenced.nodes, 2)
        await trio.sleep(silent_after_ms / 1_000)
        silenced.link.mute_open()
        await trio.sleep(CONTACT_MS / 1_000)
        silenced.publish(3)
        await platform_mesh.assert_active_within(silenced.nodes, 3, APPLY_MS)

    on_silenced_mesh(test, tmp_path)


# Guards against a version of the first moments of a silence that comes after the nodes count as in
# touch again (CONFIG; issue 38).
@pytest.mark.parametrize("silent_after_ms", SILENCE_POINTS_MS)
def test_a_version_of_a_silence_is_active_once_nodes_are_in_touch(silent_after_ms, tmp_path):
    async def test(silenced):
        await trio.sleep(1.0)
        silenced.publish(2)
        await platform_mesh.until_active(silenced.nodes, 2)
        await trio.sleep(silent_after_ms / 1_000)
        silenced.link.mute_open()
        silenced.publish(3)
        await platform_mesh.assert_active_within(silenced.nodes, 3, CONTACT_MS)

    on_silenced_mesh(test, tmp_path)


async def assert_learned_within(silenced, name, limit_ms):
    """All nodes learn of an entry that is written now."""
    link = platform_mesh.free_address()
    entry = frames.StoredEntry(name, "z9", "desk", link)
    silenced.mesh.store.put("keyed.nodes", link, msgspec.msgpack.encode(entry))
    with trio.move_on_after(limit_ms / 1_000):
        await platform_mesh.until(
            lambda: all(link in node.directory.peers for node in silenced.nodes)
        )
    assert all(link in node.directory.peers for node in silenced.nodes)


# Guards against a node that learns of other nodes only when its read of the directory, on a
# connection that is silent, is over after 28 s (issue 38).
def test_nodes_are_learned_although_the_store_connections_went_silent(tmp_path, monkeypatch):
    # Otherwise the first readers pause for 10 s after the entries of the nodes that start.
    monkeypatch.setattr(followers, "DIRECTORY_PAUSE_MS", followers.COALESCE_MS)

    async def test(silenced):
        await trio.sleep(2 * followers.COALESCE_MS / 1_000)
        silenced.link.mute_open()
        await trio.sleep(CONTACT_MS / 1_000)
        link = platform_mesh.free_address()
        entry = frames.StoredEntry("n9", "z9", "desk", link)
        silenced.mesh.store.put("keyed.nodes", link, msgspec.msgpack.encode(entry))
        with trio.move_on_after(APPLY_MS / 1_000):
            await platform_mesh.until(
                lambda: any(link in node.directory.peers for node in silenced.nodes)
            )
        assert any(link in node.directory.peers for node in silenced.nodes)

    on_silenced_mesh(test, tmp_path)


# Guards against a reader whose connection goes silent while it pauses after a change of the
# directory: its next read waits for 25 s on that connection (the class of issue 38).
def test_nodes_are_learned_although_readers_paused_when_the_store_went_silent(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(followers, "DIRECTORY_PAUSE_MS", DIRECTORY_PAUSE_MS)

    async def test(silenced):
        await trio.sleep(DIRECTORY_PAUSE_MS / 1_000 + 1)
        await assert_learned_within(silenced, "n8", DIRECTORY_PAUSE_MS + APPLY_MS)
        silenced.publish(2)
        await platform_mesh.until_active(silenced.nodes, 2)
        silenced.link.mute_open()
        await trio.sleep(CONTACT_MS / 1_000)
        await assert_learned_within(silenced, "n9", DIRECTORY_PAUSE_MS + APPLY_MS)

    on_silenced_mesh(test, tmp_path)
