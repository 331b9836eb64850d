"""Calls whose target sends bytes without end, until the node closes the connection."""

import pytest
import trio

import platform_mesh

ROUTE_MS = 2_000
FAILS_WITHIN_MS = ROUTE_MS / 2
CLOSES_WITHIN_MS = 300
BLOCK_BYTES = 65_536

HEAD = b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BYTES = {
    "garbage": (b"", b"\xfe no answer "),
    "garbage_lines": (b"", b"no answer\r\n"),
    "head": (HEAD, b"x-more: 1\r\n"),
    "long_header": (HEAD + b"x-more: ", b"1"),
    "interim_head": (b"HTTP/1.1 103 X\r\n", b"x-more: 1\r\n"),
    "body_without_length": (HEAD + b"\r\n", b"x" * 1_000),
    "body_of_a_terabyte": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x" * 1_000),
    "chunks": (CHUNKED, b"3e8\r\n" + b"x" * 1_000 + b"\r\n"),
    "chunks_of_a_byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunk_extension": (CHUNKED + b"1;", b"e"),
    "chunk_extensions": (CHUNKED, b"1;" + b"e" * 1_000 + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"x-more: 1\r\n"),
}
CASES = pytest.mark.parametrize(("start", "rest"), ENDLESS_BYTES.values(), ids=ENDLESS_BYTES)


def endless(start, rest):
    """Script that sends without end for `/pay/`, and answers all other calls."""

    async def script(arrival):
        if not arrival.path.startswith("/pay/"):
            return platform_mesh.answer(arrival)
        call_id = arrival.call_id.encode()
        await arrival.stream.send_all(start % call_id if b"%s" in start else start)
        block = rest * (BLOCK_BYTES // len(rest) + 1)
        while True:
            await arrival.stream.send_all(block)

    return script


async def _timed(call):
    began = trio.current_time()
    return await call, (trio.current_time() - began) * 1_000


@CASES
def test_bytes_without_end_fail_the_call_soon_and_close_the_connection(start, rest, tmp_path):
    # Guards against a call that waits for the end of its time, and a connection left open.
    async def test(mesh, node, target):
        found, took_ms = await _timed(platform_mesh.call(node, "/pay/1", "POST", b"x"))
        assert found.status == 502
        assert found.header(b"response-seal") is None
        assert took_ms <= FAILS_WITHIN_MS
        with trio.fail_after(CLOSES_WITHIN_MS / 1_000):
            while not target.closed:
                await trio.sleep(0.005)
        failed = mesh.events("failed")
        assert any(target.address in line.get("reason", "") for line in failed)
        assert len(target.arrivals) == 1
        assert not node.guard.deaths and not node.door.broken
        assert (await platform_mesh.call(node, "/read/1")).status == 200

    platform_mesh.on_mesh(endless(start, rest), test, tmp_path)
