"""Calls whose time is long for a connection: a route's timeout, or a target that reads late."""

import loopback
import platform_mesh

VERY_LONG_S = 3e6


def test_a_call_with_a_very_long_timeout_is_sent(tmp_path):
    # Guards against a 500 (OverflowError) for each call of a route whose timeout exceeds what a
    # socket option takes.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        path = platform_mesh.path_of("/read/", "safe", timeout_s=VERY_LONG_S)
        mesh.store.put("keyed.op", "config", platform_mesh.operator_record(1, [path]))
        await mesh.start_store(version=0)
        await mesh.start_node("n1", platform_mesh.Target())
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: any(p.state for p in calling.directory.peers.values()))
        response = await platform_mesh.call(calling, "/read/1", timeout_remaining="unknown")
        assert response.status == 200

    loopback.run(main)
