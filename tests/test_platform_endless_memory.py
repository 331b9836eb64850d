"""Memory of a node process while many clients get, or send, bytes that are no HTTP at all."""

import itertools
import random

import node_process
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import messages

CLIENTS = 24
LENGTH_S = 3
NODE_BYTES = 64 << 20
MIN_FAILURES = 200
BLOCK_BYTES = 65_536
INFO = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 18}
NO_HTTP = {
    "random": random.Random(1).randbytes(BLOCK_BYTES),
    "zeros": bytes(BLOCK_BYTES),
    "all_values": bytes(range(256)) * (BLOCK_BYTES // 256),
    "line_ends": b"\r\n" * (BLOCK_BYTES // 2),
    "empty_lines": b"\n" * BLOCK_BYTES,
    "short_lines": b"a\n" * (BLOCK_BYTES // 2 - 1) + b"\n",
    "no_line": b"x" * BLOCK_BYTES,
}
CASES = pytest.mark.parametrize("block", NO_HTTP.values(), ids=NO_HTTP)


def _endless(block):
    async def script(arrival):
        if not arrival.path.startswith("/pay/"):
            return platform_mesh.response(arrival)
        while True:
            await arrival.stream.send_all(block)

    return script


async def _for_all_clients(task):
    """Runs `task` for each client again and again."""

    async def repeat(number):
        for turn in itertools.count():
            await task(number, turn)

    with trio.move_on_after(LENGTH_S):
        async with trio.open_nursery() as clients:
            for number in range(CLIENTS):
                clients.start_soon(repeat, number)


async def _check(node):
    assert node.process.poll() is None
    assert node.peak_bytes() <= NODE_BYTES
    assert (await platform_mesh.call(node, "/read/1")).status == 200


@CASES
def test_answers_that_are_no_http_leave_memory_for_other_calls(block, tmp_path):
    # Guards against received bytes that stay in memory after their call has failed, until the
    # node is killed for it.
    async def main(nursery):
        failed = []

        async def call(number, turn):
            try:
                response = await platform_mesh.call(node, f"/pay/{number}-{turn}", "POST", b"x")
                failed.append(response.status)
            except messages.HttpError:
                await trio.sleep(0.01)

        target = platform_mesh.Target(_endless(block))
        async with node_process.running(nursery, tmp_path, target, INFO) as node:
            await _for_all_clients(call)
            assert failed.count(502) >= MIN_FAILURES
            await _check(node)

    loopback.run(main)


@CASES
def test_requests_that_are_no_http_leave_memory_for_other_calls(block, tmp_path):
    # Guards against the same for bytes that clients send.
    async def main(nursery):
        refused = []

        async def send(number, turn):
            stream = await loopback.open_raw(node.settings.call_address)
            try:
                await stream.send_all(block)
                refused.append(b" 4" in await stream.receive_some(BLOCK_BYTES))
            except trio.BrokenResourceError:
                refused.append(False)
            finally:
                await trio.aclose_forcefully(stream)

        target = platform_mesh.Target()
        async with node_process.running(nursery, tmp_path, target, INFO) as node:
            await _for_all_clients(send)
            assert len(refused) >= MIN_FAILURES
            await _check(node)

    loopback.run(main)
