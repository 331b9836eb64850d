"""More records of the store than one response holds."""

import trio

import loopback
import platform_mesh

CONFIG = ("keyed.op", "config")
ROUTES = 1_400  # about 250 kB
VERSIONS = 30
APPLY_MS = 2_000  # from the acknowledgement of a version until it is active everywhere


# Guards against a reader that pauses after each page of a backlog, so that large versions in quick
# succession are active seconds late on all nodes (CONFIG; issue 38).
def test_large_versions_in_quick_succession_are_active_in_time(tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        nodes = [await mesh.start_node(name) for name in ("n1", "n2", "n3")]
        await platform_mesh.until(lambda: all(node.peers.version == 1 for node in nodes))
        await platform_mesh.until(lambda: sum(node.peers.is_store_reader for node in nodes) == 2)
        paths = [platform_mesh.path_of(f"/route-{number}/", "safe") for number in range(ROUTES)]
        for version in range(2, VERSIONS + 1):
            mesh.store.put(*CONFIG, platform_mesh.operator_record(version, paths))
            await trio.sleep(0.01)
        with trio.move_on_after(APPLY_MS / 1_000):
            await platform_mesh.until(lambda: all(node.peers.version == VERSIONS for node in nodes))
        assert [node.peers.version for node in nodes] == [VERSIONS] * len(nodes)

    loopback.run(main)
