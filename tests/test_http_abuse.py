"""Requests that are malformed, smuggled, slow or too many."""

import contextlib

import pytest
import trio
import trio.testing

import loopback
from buckthornstage.http import client, messages

MAX_EVENTS_PER_TURN = 50  # 1 ms of parsing, so 18 such connections delay a call by 18 ms


@pytest.mark.parametrize(
    "head",
    [
        b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nContent-Length: 3\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 3\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length : 3\r\n",
        b"POST /status HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ntransfer-encoding:\r\n chunked\r\n",
        b"GET /status HTTP/1.1\nhost: a\r\n",
        b"GET /status HTTP/1.1\r\nhost: a\nx: y\r\n",
        b"GET /status HTTP/1.1\r\nhost: a\r\nhost: b\r\n",
        b"GET /status HTTP/1.1\r\nhost: a\r\nx: a\0b\r\n",
        b"GET /status HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 20_000 + b"\r\n",
    ],
)
@pytest.mark.parametrize("first", [b"", b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"])
def test_request_smuggling_shapes_are_refused_alone_and_pipelined(head, first):
    async def test(nursery):
        seen = []

        async def target(request):
            seen.append(request)
            return messages.Response(200)

        _, address = await loopback.start_proxy(nursery, [await loopback.listen(nursery, target)])
        stream = await loopback.open_raw(address)
        await stream.send_all(first + head + b"\r\nabc")
        response = await loopback.read_all(stream)
        assert response.count(b"HTTP/1.1 200") == bool(first) == len(seen)
        assert (
            response.count(b"HTTP/1.1 400")
            + response.count(b"HTTP/1.1 501")
            + response.count(b"HTTP/1.1 431")
            == 1
        ), response
        assert b"buckthornstage-outcome: not-run" in response

    loopback.run(test)


def test_slow_sender_is_cut_off():
    async def test(nursery):
        _, address = await loopback.start_proxy(
            nursery, [await loopback.listen(nursery, loopback.echo)]
        )
        stream = await loopback.open_raw(address)
        for _ in range(200):
            try:
                await stream.send_all(b"G")
                with trio.move_on_after(1):
                    assert await stream.receive_some(1) == b""
                    return
            except trio.BrokenResourceError:
                return
        raise AssertionError("a sender of one byte a second was still served")

    loopback.run(test, trio.testing.MockClock(rate=200))


def test_connection_above_the_limit_is_told_not_run():
    async def test(nursery):
        address = await loopback.listen(nursery, loopback.echo, max_connections=1)
        first = await client.connect(address)
        await first.fetch(messages.Request("GET", "/"))
        response = await client.fetch(address, messages.Request("GET", "/"))
        assert (response.status, response.header(b"buckthornstage-outcome")) == (503, "not-run")

    loopback.run(test)


LONG_BODY_BYTES = 1_000_000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % LONG_BODY_BYTES


@pytest.mark.parametrize(("size", "is_displaced"), [(0, True), (1, True), (100_000, False)])
def test_only_a_slow_request_gives_its_connection_to_a_new_client(size, is_displaced):
    # Guards against clients that hold all connections with requests which they do not complete, and
    # against closing a connection on which a long body arrives, here `size` bytes each 0.6 s.
    async def test(nursery):
        address = await loopback.listen(nursery, loopback.echo, max_connections=1)
        first = await loopback.open_raw(address)
        await first.send_all(HEAD)
        for _ in range(3):
            await first.send_all(bytes(size))
            await trio.testing.wait_all_tasks_blocked(0.05)
            clock.jump(0.6)
        response = await client.fetch(address, messages.Request("GET", "/"))
        assert response.status == (200 if is_displaced else 503)
        received = b""
        with contextlib.suppress(trio.BrokenResourceError):
            await first.send_all(bytes(LONG_BODY_BYTES - 3 * size))
            received = await first.receive_some(100)
        assert received.startswith(b"HTTP/1.1 200 ") is not is_displaced

    clock = trio.testing.MockClock()
    loopback.run(test, clock)


async def _take_turns(turns):
    """Adds to `turns` in each pass of the event loop."""
    while True:
        turns.append(None)
        await trio.lowlevel.checkpoint()


def test_chunks_that_arrive_together_leave_turns_to_other_tasks():
    # Guards against one read of 10,000 chunks of one byte, which delayed all other calls.
    chunks = 4_000
    head = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(head + b"1\r\nx\r\n" * chunks)
        await trio.sleep_forever()

    async def test(nursery):
        connection = await client.connect(await loopback.listen_raw(nursery, serve))
        await connection.start(messages.Request("GET", "/"))
        turns = []
        nursery.start_soon(_take_turns, turns)
        for _ in range(chunks):
            await connection.read_some()
        assert len(turns) >= chunks / MAX_EVENTS_PER_TURN

    loopback.run(test)


def test_chunks_of_many_clients_leave_turns_to_other_tasks():
    # Guards against one read of 10,000 chunks of one byte for each of many connections, which kept
    # a node busy for seconds.
    clients, chunks = 20, 2_000
    head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"

    async def test(nursery):
        address = await loopback.listen(nursery, loopback.echo)
        streams = [await loopback.open_raw(address) for _ in range(clients)]
        turns = []
        nursery.start_soon(_take_turns, turns)
        for stream in streams:
            await stream.send_all(head + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")
        for stream in streams:
            assert (await stream.receive_some(100)).startswith(b"HTTP/1.1 200 ")
        assert len(turns) >= clients * chunks / MAX_EVENTS_PER_TURN

    loopback.run(test)
