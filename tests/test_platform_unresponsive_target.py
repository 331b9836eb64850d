"""Target that never answers a call for which it has no place, nor a later one on its connection."""

import trio

import platform_mesh

CALL_MS = 300


def test_a_connection_without_an_answer_is_not_used_again(tmp_path):
    # Guards against calls on a connection on which the target answers nothing any more.
    silent = set()

    async def script(arrival):
        if arrival.path == "/pay/silent":
            silent.add(arrival.stream)
        if arrival.stream in silent:
            await trio.sleep_forever()
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pay/1", "POST")).status == 200
        found = await platform_mesh.call(node, "/pay/silent", "POST", b"", CALL_MS)
        assert found.status == 504
        for number in range(4):
            assert (await platform_mesh.call(node, f"/pay/{number}", "POST")).status == 200
        streams = [arrival.stream for arrival in target.arrivals]
        assert streams[0] is streams[1]
        assert streams[1] not in streams[2:]
        assert not node.ingress.pool.in_use
        assert node.ingress.queue.room.ends_ms

    platform_mesh.on_mesh(script, test, tmp_path)
