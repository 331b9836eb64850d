"""Memory of a node process while many clients get, or send, bytes that are no HTTP at all."""

import itertools
import random

import platform_node_process
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import messages
from buckthornstage.link import frames

CLIENTS = 24
LENGTH_S = 3
NODE_BYTES = 64 << 20
MAX_LENGTH_S = 30
MIN_RESULTS = 200
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


MB = 1 << 20
NO_FRAMES = {
    "random": NO_HTTP["random"],
    "short_frame": frames.LENGTH.pack(60_000) + b"\x91" * 60_000,
    "long_frame": frames.LENGTH.pack(MB) + b"\xc1" * MB,
}


def _endless(block):
    async def script(arrival):
        if not arrival.path.startswith("/pay/"):
            return platform_mesh.response(arrival)
        while True:
            await arrival.stream.send_all(block)

    return script


async def _for_all_clients(task, results):
    """Runs `task` for each client again and again, for LENGTH_S and until there are enough
    results."""

    async def repeat(number):
        for turn in itertools.count():
            await task(number, turn)

    async with trio.open_nursery() as clients:
        for number in range(CLIENTS):
            clients.start_soon(repeat, number)
        await trio.sleep(LENGTH_S)
        with trio.fail_after(MAX_LENGTH_S):
            while len(results) < MIN_RESULTS:
                await trio.sleep(0.05)
        clients.cancel_scope.cancel()


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
                # Others are refused while all slots are in use.
                if response.status == 502:
                    failed.append(number)
            except messages.HttpError:
                await trio.sleep(0.01)

        target = platform_mesh.Target(_endless(block))
        async with platform_node_process.running(nursery, tmp_path, target, INFO) as node:
            await _for_all_clients(call, failed)
            await _check(node)

    loopback.run(main)


async def _send_from_all_clients(nursery, tmp_path, listener, block):
    """Sends the bytes to a listening address of a node, on a new connection each time."""
    ended = []

    async def send(number, turn):
        stream = await loopback.open_raw(getattr(node.settings, listener))
        try:
            await stream.send_all(block)
            ended.append(await stream.receive_some(BLOCK_BYTES))
        except trio.BrokenResourceError:
            ended.append(b"")
        finally:
            await trio.aclose_forcefully(stream)

    async with platform_node_process.running(
        nursery, tmp_path, platform_mesh.Target(), INFO
    ) as node:
        await _for_all_clients(send, ended)
        await _check(node)


@CASES
def test_requests_that_are_no_http_leave_memory_for_other_calls(block, tmp_path):
    # Guards against the same for bytes that clients send.
    async def main(nursery):
        await _send_from_all_clients(nursery, tmp_path, "call_address", block)

    loopback.run(main)


@pytest.mark.parametrize("block", NO_FRAMES.values(), ids=NO_FRAMES)
def test_bytes_that_are_no_frame_leave_memory_for_calls(block, tmp_path):
    # Guards against the same for bytes on the port for peers.
    async def main(nursery):
        await _send_from_all_clients(nursery, tmp_path, "link_address", block)

    loopback.run(main)
