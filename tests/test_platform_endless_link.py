"""Peers that send endless frames, or frames above the size limit of their type."""

import os

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.limits import link_pacer
from buckthornstage.link import frames

FAILS_WITHIN_MS = 1_000
CALL_MS = 4_000
HELD_BYTES = 24 << 20
BLOCK_BYTES = 65_536
MB = 1 << 20
STATE = frames.IngressState(frames.IngressStatus.OPEN)
RESPONSE = frames.encode_frame(frames.Response(200, (), b"", 1 << 40, STATE))
ENDLESS_BYTES = {
    "long_frame": (frames.LENGTH.pack(90 * MB), b"x"),
    "empty_chunks": (RESPONSE, frames.encode_frame(frames.Chunk(b""))),
    "chunks": (RESPONSE, frames.encode_frame(frames.Chunk(b"x" * link_pacer.MAX_PIECE_BYTES))),
}


def _resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def _watch_memory(peak):
    before = _resident_bytes()
    while True:
        peak[0] = max(peak[0], _resident_bytes() - before)
        await trio.sleep(0.001)


async def _send(stream, start, rest):
    await stream.send_all(start)
    while True:
        await stream.send_all(rest * (BLOCK_BYTES // len(rest) + 1))


def _peer(start, rest, closed):
    async def serve(stream):
        try:
            await stream.receive_some(BLOCK_BYTES)
            await _send(stream, start, rest)
        except trio.BrokenResourceError:
            closed.set()

    return serve


@pytest.mark.parametrize(("start", "rest"), ENDLESS_BYTES.values(), ids=ENDLESS_BYTES)
def test_frames_without_end_of_a_peer_fail_the_call_soon(start, rest):
    # Guards against a calling node that is killed for its memory use, or waits until the deadline.
    async def test(nursery):
        closed, peak = trio.Event(), [0]
        address = await loopback.listen_raw(nursery, _peer(start, rest, closed))
        calls = platform_mesh.peer_calls_to(address)
        call = frames.Call(
            "c1", "GET", "/pay/1", (), b"", "desk", "desk", "r", 1, False, *[CALL_MS] * 3
        )
        nursery.start_soon(_watch_memory, peak)
        with trio.fail_after(FAILS_WITHIN_MS / 1_000):
            outcome = await calls.send_call(call, address)
            await closed.wait()
        assert isinstance(outcome, frames.Failed)
        assert peak[0] <= HELD_BYTES

    loopback.run(test)


def test_a_frame_that_no_call_can_fill_closes_the_connection(tmp_path):
    # Guards against a node that buffers 90 MB for a sender that is not a node.
    async def test(mesh, node, target):
        peak = [0]
        mesh.nursery.start_soon(_watch_memory, peak)
        stream = await loopback.open_raw(node.settings.link_address)
        with trio.fail_after(FAILS_WITHIN_MS / 1_000), pytest.raises(trio.BrokenResourceError):
            await _send(stream, frames.LENGTH.pack(90 * MB), b"x")
        assert peak[0] <= HELD_BYTES
        assert mesh.events("bad_bytes")
        assert (await platform_mesh.call(node, "/read/1")).status == 200

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)
