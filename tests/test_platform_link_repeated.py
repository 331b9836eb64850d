"""Peers that write an earlier outcome once more on a kept connection, or stop within a frame."""

import socket
import struct

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import tcp_stream
from buckthornstage.link import connection, frames

CALL_MS = 2_000
LINGER_RESET = struct.pack("ii", 1, 0)
STATE = frames.IngressState(frames.IngressStatus.OPEN, 9)
REFUSED = frames.Refused("full", 20, STATE, True)
BODY = b"x" * 60


def with_peer(serve, test):
    """Runs `test(send)` against a peer that serves each connection by `serve(link)`; `send(id)`
    sends an unsafe call and returns its outcome."""

    async def serve_stream(stream):
        link = connection.LinkConnection(tcp_stream.from_stream(stream), "")
        try:
            await serve(link)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            link.close()

    async def main(nursery):
        address = await loopback.listen_raw(nursery, serve_stream)
        calls = platform_mesh.peer_calls_to(address)

        async def send(call_id):
            call = frames.Call(
                call_id, "POST", "/pay/1", (), b"", "desk", "desk", "r", 1, False, *[CALL_MS] * 3
            )
            return await calls.send_call(call, address)

        await test(send)

    loopback.run(main)


def answer(call, outcome):
    """The outcome as the listener of a node sends it."""
    return msgspec.structs.replace(outcome, call_id=call.call_id, sequence=call.sequence)


@pytest.mark.parametrize("first_id, second_id", [("same", "same"), ("", ""), ("one", "two")])
@pytest.mark.parametrize("has_id", [True, False], ids=["copy", "copy_without_id"])
@pytest.mark.parametrize("moment", ["with_the_first", "after_the_next", "in_two_segments"])
def test_a_repeated_refusal_of_a_peer_is_no_proof_about_a_later_call(
    first_id, second_id, has_id, moment
):
    """Guards against "not run" for a call that the peer runs (REFUSED), which then runs at another
    ingress as well (TWICE)."""
    ran = []

    async def serve(link):
        first = await link.receive()
        refused = answer(first, REFUSED)
        copy = refused if has_id else msgspec.structs.replace(refused, call_id="")
        copy = frames.encode_frame(copy)
        with_first = copy if moment == "with_the_first" else b""
        await link.tcp_stream.send_all(frames.encode_frame(refused) + with_first)
        second = await link.receive()
        if second is None:
            return
        ran.append(second.call_id)
        if moment == "in_two_segments":
            await link.tcp_stream.send_all(copy[:7])
            await trio.sleep(0.05)
            copy = copy[7:]
        await link.tcp_stream.send_all(copy)
        await link.send(answer(second, frames.Response(200, (), b"own", 0, STATE)))
        await link.receive()

    async def test(send):
        assert isinstance(await send(first_id), frames.Refused)
        outcome = await send(second_id)
        if ran:
            assert isinstance(outcome, frames.Failed)
        # What was left on the connection reaches no other call.
        third = await send("three")
        assert third.call_id == "three"

    with_peer(serve, test)


def test_outcomes_of_an_older_release_count_for_the_first_call_of_a_connection():
    """Guards against a rolling update in which nodes of two releases serve no calls of each other:
    an older one does not know the sequence."""
    connections = []

    async def serve(link):
        connections.append(link)
        while (call := await link.receive()) is not None:
            await link.send(frames.Response(200, (), b"own", 0, STATE, 0, call.call_id))

    async def test(send):
        for call_id in ("one", "two", "three"):
            assert isinstance(await send(call_id), frames.Response)
        assert len(connections) == 3

    with_peer(serve, test)


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["refused", "response", "long_response"])
def test_an_outcome_that_stops_anywhere_may_have_run(kind, is_reset):
    """Guards against a 200 with an empty or short body, or "not run", for a peer that stopped
    within a frame, or between the head of a long response and its pieces."""

    def encoded(call):
        if kind == "refused":
            return frames.encode_frame(answer(call, REFUSED))
        if kind == "response":
            return frames.encode_frame(answer(call, frames.Response(200, (), BODY, 0, STATE)))
        head = answer(call, frames.Response(200, (), b"", len(BODY), STATE))
        chunks = (frames.Chunk(BODY[start : start + 20]) for start in range(0, len(BODY), 20))
        return b"".join(map(frames.encode_frame, (head, *chunks)))

    sent, size = [0], [1]

    async def serve(link):
        call = await link.receive()
        whole = encoded(call)
        size[0] = len(whole)
        await link.tcp_stream.send_all(whole[: sent[0]])
        if is_reset:
            link.tcp_stream.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async def test(send):
        while sent[0] < size[0]:
            outcome = await send("one")
            assert isinstance(outcome, frames.Failed), (sent[0], outcome)
            sent[0] += 1
        assert sent[0] > len(BODY)
        if not is_reset:
            outcome = await send("one")
            expected = frames.Refused if kind == "refused" else frames.Response
            assert isinstance(outcome, expected)

    with_peer(serve, test)


def test_a_call_that_stops_anywhere_is_not_run(tmp_path):
    """Guards against the run of a call of which only a part arrived."""
    call = frames.Call("c", "POST", "/pay/1", (), BODY, "desk", "desk", "r", 1, False, *[500] * 3)
    whole = frames.encode_frame(call)

    async def test(mesh, node, target):
        for sent in range(len(whole)):
            stream = await loopback.open_raw(node.settings.link_address)
            await stream.send_all(whole[:sent])
            await stream.send_eof()
            await loopback.read_all(stream)
            await stream.aclose()
        assert not target.arrivals
        assert (await platform_mesh.call(node, "/read/1")).status == 200

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)
