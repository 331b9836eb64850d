"""Pipelined requests on a server that stops."""

import contextlib
import os

import pytest
import test_http_pipelining as pipelining
import trio

import loopback
from buckthornstage.http import messages

RUN_S = 0.05
DRAIN_MS = 3_000
IDLE_MS = 300
STOP_S = 1.5
"""Idle time, wait for the rest of a request, and linger, with a margin."""


async def run_for_a_while(request):
    await trio.sleep(RUN_S)
    return messages.Response(200, (), request.target.encode() + b":")


async def timed_drain(http_server):
    """Drains the server; returns whether all requests finished, and the time in s."""
    began_s = trio.current_time()
    is_complete = await http_server.drain(DRAIN_MS, idle_ms=IDLE_MS)
    return is_complete, trio.current_time() - began_s


def test_a_stop_answers_all_that_was_received():
    """Guards against responses that are cut off while several requests are in flight, and against
    LOST: what waited behind the last one that had started was read and never answered."""

    async def test(nursery):
        handler = pipelining.Handler("/safe0", "/safe1")
        http_server, stream = await pipelining.start(nursery, handler)
        await stream.send_all(pipelining.requests("/safe0", "/safe1", "/pay2", "/safe3"))
        await pipelining.settled()
        nursery.start_soon(http_server.drain, 5_000)
        await pipelining.settled()
        for target in ("/safe1", "/safe0"):
            handler.gates[target].set()
            await pipelining.settled()
        data = await loopback.read_all(stream)
        assert pipelining.bodies(data) == ["/safe0", "/safe1", "/pay2", "/safe3"] == handler.started
        earlier, _, last = data.partition(b"/pay2:")
        assert b"connection: close" not in earlier.lower()
        assert b"connection: close" in last.lower()

    loopback.run(test)


def test_a_stop_answers_a_request_that_is_not_read_yet():
    """Guards against LOST: a request in the socket buffer when the response before it was sent."""

    async def test(nursery):
        async def handler(request):
            if request.target == "/pay0":
                # The server reads nothing more before it has sent the response.
                os.write(stream.socket.fileno(), pipelining.requests("/pay1"))
            return messages.Response(200, (), request.target.encode() + b":")

        http_server, stream = await pipelining.start(nursery, handler)
        http_server.is_draining = True
        await stream.send_all(pipelining.requests("/pay0"))
        data = await loopback.read_all(stream)
        assert pipelining.bodies(data) == ["/pay0", "/pay1"]
        assert data.lower().count(b"connection: close") == 1

    loopback.run(test)


@pytest.mark.parametrize("target", ["/pay", "/safe"])
def test_a_client_that_never_stops_sending_does_not_hold_up_a_stop(target):
    """Guards against a process that stays until its grace time is over for one client, whose
    requests it then cuts off."""

    async def send_on(stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                await stream.send_all(pipelining.requests(target))
                await trio.sleep(0.01)

    async def test(nursery):
        http_server, stream = await pipelining.start(nursery, run_for_a_while)
        nursery.start_soon(send_on, stream)
        await pipelining.settled()
        is_complete, took_s = await timed_drain(http_server)
        assert is_complete and took_s < STOP_S
        data = await loopback.read_all(stream)
        assert data.lower().count(b"connection: close") == 1
        nursery.cancel_scope.cancel()

    loopback.run(test)


@pytest.mark.parametrize(
    "before", [b"", pipelining.requests("/pay0")], ids=["alone", "behind_another"]
)
def test_a_request_whose_rest_never_comes_does_not_hold_up_a_stop(before):
    """Guards against a process that stays until its grace time is over for half a request."""

    async def test(nursery):
        http_server, stream = await pipelining.start(nursery, run_for_a_while)
        await stream.send_all(before + b"GET /pay1 HT")
        await pipelining.settled()
        is_complete, took_s = await timed_drain(http_server)
        assert is_complete and took_s < STOP_S
        assert pipelining.bodies(await loopback.read_all(stream)) == ["/pay0"] * bool(before)

    loopback.run(test)


def test_a_stop_waits_for_a_request_that_arrives_slowly():
    """Guards against requests that a stop cuts off while their client is sending them."""

    async def test(nursery):
        http_server, stream = await pipelining.start(nursery, run_for_a_while)
        whole = pipelining.requests("/pay1")
        await stream.send_all(whole[:1])
        await pipelining.settled()
        finished = []

        async def drain():
            finished.append(await timed_drain(http_server))

        nursery.start_soon(drain)
        for number in range(1, len(whole)):
            await stream.send_all(whole[number : number + 1])
            await trio.sleep(1.0 / len(whole))
        assert pipelining.bodies(await loopback.read_all(stream)) == ["/pay1"]

    loopback.run(test)
