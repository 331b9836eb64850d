"""Calls whose time is long for a connection: a route's timeout, or a target that reads late."""

import trio

import loopback
import platform_mesh

VERY_LONG_S = 3e6
CALL_MS = 8_000
BUSY_S = 4.0
UPLOAD_BYTES = 1 << 20  # more than the buffers of both sockets hold


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


def test_a_target_that_reads_a_long_body_late_keeps_its_connection(tmp_path):
    # Guards against LOST at the last hop: TCP's time limit ended the connection to a target that
    # was alive and took no bytes for a while, and the node responded 502 in its place.
    async def test(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        path = platform_mesh.path_of("/pay/", "unsafe", timeout_s=CALL_MS / 1_000)
        mesh.store.put("keyed.op", "config", platform_mesh.operator_record(1, [path]))
        await mesh.start_store(version=0)
        target = platform_mesh.Target()

        async def serve(stream):
            await trio.sleep(BUSY_S)
            await target._serve(stream)

        loopback.listen_with_small_buffer(nursery, serve, target.address)
        target.serve = _listen_elsewhere
        node = await mesh.start_node("n1", target)
        await platform_mesh.until(lambda: node.is_ready)
        response = await platform_mesh.call(
            node, "/pay/1", "POST", bytes(UPLOAD_BYTES), CALL_MS - 1_000
        )
        assert (response.status, response.body) == (200, b"done")

    loopback.run(test)


async def _listen_elsewhere(task_status=trio.TASK_STATUS_IGNORED):
    task_status.started()
