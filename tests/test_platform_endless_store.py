"""Calls to a platform store that sends an endless response."""

import os

import pytest
import trio

import loopback
from buckthornstage import errors
from buckthornstage.mesh import followers
from buckthornstage.platform import store_client

MAX_FAILURE_MS = 1_000  # half of the time in which a version must be active
MAX_GROWTH_BYTES = 16 << 20
BLOCK_BYTES = 65_536
HEAD = b"HTTP/1.1 200 X\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BYTES = {
    "garbage": (b"", b"no answer "),
    "interim_answers": (b"", b"HTTP/1.1 100 X\r\n\r\n"),
    "head": (HEAD, b"x-more: 1\r\n"),
    "body": (HEAD + b"\r\n", b"x" * 1_000),
    "chunks_of_a_byte": (CHUNKED, b"1\r\nx\r\n"),
}


def _resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _endless(start, rest, closed):
    async def serve(stream):
        try:
            await stream.receive_some(65_536)
            await stream.send_all(start)
            while True:
                await stream.send_all(rest * (BLOCK_BYTES // len(rest) + 1))
        except trio.BrokenResourceError:
            closed.set()

    return serve


@pytest.mark.parametrize("use", ["newest", "changes", "put"])
@pytest.mark.parametrize(("start", "rest"), ENDLESS_BYTES.values(), ids=ENDLESS_BYTES)
def test_bytes_without_end_of_the_store_fail_the_call_soon(start, rest, use):
    # Guards against a read that fills the memory for 28 s, and a write whose unknown outcome is
    # reported as done or not done.
    async def test(nursery):
        closed = trio.Event()
        address = await loopback.listen_raw(nursery, _endless(start, rest, closed))
        topic = store_client.StoreClient(address).keyed_topic("keyed.nodes")
        before, peak = _resident_bytes(), [0]

        async def watch():
            while True:
                peak[0] = max(peak[0], _resident_bytes() - before)
                await trio.sleep(0.001)

        nursery.start_soon(watch)
        arguments = {"newest": (), "changes": (0, followers.WAIT_MS), "put": ("key", b"value")}[use]
        with trio.fail_after(MAX_FAILURE_MS / 1_000), pytest.raises(errors.LogResponseLostError):
            await getattr(topic, use)(*arguments)
        await closed.wait()
        assert peak[0] <= MAX_GROWTH_BYTES

    loopback.run(test)
