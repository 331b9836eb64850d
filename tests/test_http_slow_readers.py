"""Responses that wait for a client at the HTTP server: what is counted, and how a client is
closed."""

import sys
import weakref

import trio

import loopback
from buckthornstage.http import messages
from buckthornstage.limits import held_bytes

BODY = bytes(3_000_000)
LIMIT = len(BODY) + 100_000
GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"


async def _respond(request):
    return messages.Response(200, (), BODY)


async def _serve(nursery, handler=_respond, **options):
    responses = held_bytes.HeldBytes(now_ms=lambda: trio.current_time() * 1_000, limit_bytes=LIMIT)
    address = await loopback.listen(nursery, handler, responses=responses, **options)
    return address, responses


async def _until_held(responses, count):
    with trio.fail_after(10):
        while len(responses.transfers) != count:
            await trio.sleep(0.01)


def test_a_client_that_does_not_read_is_reset_for_another_and_sees_no_complete_response():
    # Guards against a response that ends early and looks complete, and against bodies and buffers
    # that stay in memory after their connection has ended.
    async def main(nursery):
        address, responses = await _serve(nursery)
        references = sys.getrefcount(BODY)
        idle = await loopback.open_raw(address)
        await idle.send_all(GET % 1)
        await _until_held(responses, 1)
        assert responses.used_bytes == len(BODY)
        connection = weakref.ref(next(iter(responses.transfers)).close.__self__)
        await trio.sleep(2 * held_bytes.RESPONSES.window_ms / 1_000)
        reading = await loopback.open_raw(address)
        await reading.send_all(GET % 2)
        head_bytes = len(b"HTTP/1.1 200 OK\r\ncontent-length: 3000000\r\n\r\n")
        received = 0
        while received < head_bytes + len(BODY):
            received += len(await reading.receive_some(65_536))
        await reading.aclose()
        data, is_reset = b"", False
        try:
            while chunk := await idle.receive_some(65_536):
                data += chunk
        except trio.BrokenResourceError:
            is_reset = True
        assert is_reset and len(data) < len(BODY)
        await _until_held(responses, 0)
        assert responses.used_bytes == 0
        assert sys.getrefcount(BODY) == references
        assert connection() is None

    loopback.run(main)


def test_responses_behind_an_earlier_one_count_until_they_are_sent():
    # Guards against pipelined responses that wait for their turn and are counted nowhere.
    async def main(nursery):
        release = trio.Event()

        async def handler(request):
            if request.target == "/0":
                await release.wait()
            return messages.Response(200, (), b"x" * 10_000)

        address, responses = await _serve(nursery, handler, may_overlap=lambda request: True)
        stream = await loopback.open_raw(address)
        await stream.send_all(b"".join(GET % number for number in range(4)))
        with trio.fail_after(10):
            while responses.used_bytes < 30_000:
                await trio.sleep(0.01)
        release.set()
        received = b""
        while received.count(b"HTTP/1.1 200") < 4 or not received.endswith(b"x" * 10_000):
            received += await stream.receive_some(65_536)
        assert responses.used_bytes == 0

    loopback.run(main)
