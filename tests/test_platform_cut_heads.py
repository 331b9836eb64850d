"""Targets that stop within an answer and close or reset the connection."""

import socket
import struct

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import client, messages

MAY_HAVE_RUN, NOT_RUN = 502, 503
MAX_PAUSED_CALLS = 5
BODY = b"the whole body"
LONG_BODY_BYTES = 8 << 20  # more than the sockets of a loopback connection hold
LINGER_RESET = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno"
LENGTH = b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
ANSWERS = {
    "length": HEAD + LENGTH,
    "interim": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + HEAD + LENGTH,
    "stray": OTHER + HEAD + LENGTH,
    "chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n8\r\nthe whol\r\n6\r\ne body\r\n0\r\nX-Sum: 1\r\n\r\n",
    "no_length": HEAD + b"\r\n" + BODY,
}


async def end(stream, is_reset):
    """Closes the connection, with a reset if `is_reset`."""
    if is_reset:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    await trio.aclose_forcefully(stream)


class CutTarget:
    """Script that sends the first `sent` bytes of an answer and then ends the connection."""

    def __init__(self, answer, is_reset):
        self.answer = answer
        self.is_reset = is_reset
        self.sent = 0

    async def __call__(self, arrival):
        whole = self.answer.replace(b"%s", arrival.call_id.encode())
        await arrival.stream.send_all(whole[: self.sent])
        await end(arrival.stream, self.is_reset)


async def call_that_arrives(node, target, *arguments):
    """Response to a call that reaches the target; one that a pause of this process has left no time
    is refused without that, and made again."""
    arrivals = len(target.arrivals)
    for _ in range(MAX_PAUSED_CALLS):
        found = await platform_mesh.call(node, "/pay/1", *arguments, attempt_id="c-1")
        if found.status != NOT_RUN or len(target.arrivals) > arrivals:
            break
    return found


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_an_answer_that_stops_anywhere_is_never_a_success(answer, is_reset, tmp_path):
    """Guards against a 200 with an empty or short body, framed as whole, and against "not run" for
    a call that has run."""
    whole = answer.replace(b"%s", b"c-1")
    cut = range(len(whole))
    if answer is ANSWERS["no_length"]:
        # Its body ends with the connection, so only a reset shows that it is not whole.
        cut = range(len(whole) + 1) if is_reset else range(whole.index(BODY))

    async def test(mesh, node, target):
        for target.script.sent in cut:
            found = await call_that_arrives(node, target, "POST", b"x")
            assert found.status == MAY_HAVE_RUN, whole[: target.script.sent]
            assert found.header(b"response-seal") is None
        assert len(target.arrivals) == len(cut)
        target.script.sent = len(whole)
        if not is_reset:
            found = await call_that_arrives(node, target, "POST", b"x")
            assert (found.status, found.body) == (200, BODY)

    platform_mesh.on_mesh(CutTarget(answer, is_reset), test, tmp_path)


OTHER_ANSWERS = {
    "refusal": HEAD.replace(b"200 OK", b"503 X") + b"Not-Executed: 1\r\n" + LENGTH,
    "no content": HEAD.replace(b"200 OK", b"204 X") + b"\r\n",
    "empty": HEAD + b"Content-Length: 0\r\n\r\n",
    "older version": HEAD.replace(b"/1.1", b"/1.0") + LENGTH,
    "line feeds": (HEAD + LENGTH).replace(b"\r\n", b"\n"),
    "two lengths": HEAD + b"Content-Length: %d\r\n" % len(BODY) + LENGTH,
    "length and chunks": ANSWERS["chunked"].replace(
        b"Transfer", b"Content-Length: 3\r\nTransfer", 1
    ),
}


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("method", ["POST", "HEAD"])
@pytest.mark.parametrize("name", OTHER_ANSWERS)
def test_any_kind_of_answer_that_stops_anywhere_may_have_run(name, method, is_reset, tmp_path):
    """Guards against "not run" by a part of a refusal, and against a part of a rarer kind of answer
    that looks whole."""
    whole = OTHER_ANSWERS[name].replace(b"%s", b"c-1")
    blank_line = b"\n\n" if name == "line feeds" else b"\r\n\r\n"
    # The head ends an answer to HEAD.
    end = whole.index(blank_line) + len(blank_line) if method == "HEAD" else len(whole)

    async def test(mesh, node, target):
        for target.script.sent in range(end):
            body = b"x" if method == "POST" else b""
            found = await call_that_arrives(node, target, method, body)
            assert found.status == MAY_HAVE_RUN, whole[: target.script.sent]
            assert found.header(b"response-seal") is None
        assert len(target.arrivals) == end

    platform_mesh.on_mesh(CutTarget(whole, is_reset), test, tmp_path)


@pytest.mark.parametrize("sent", [0, 20, 60, -20, -1])
def test_an_idempotent_call_whose_answer_stops_is_served_by_another_target(sent, tmp_path):
    """Guards against a read that fails although another target could serve it."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        cut = CutTarget(ANSWERS["length"], is_reset=False)
        cut.sent = sent
        whole = platform_mesh.Target()
        node = await mesh.start_node("n1", platform_mesh.Target(cut))
        await mesh.start_node("n2", whole)
        peers = node.directory.peers
        await platform_mesh.until(lambda: any(peer.is_open for peer in peers.values()))
        for number in range(4):
            found = await platform_mesh.call(node, f"/read/{number}")
            assert (found.status, found.body) == (200, b"done")

    loopback.run(main)


def test_an_answer_without_a_length_that_is_reset_while_the_request_is_sent_is_not_whole():
    """Guards against a reset that only the sending of the request notices: what had arrived of the
    answer then seems to end properly (MIXED)."""

    async def serve(stream):
        await stream.receive_some(1_000)
        await stream.send_all(ANSWERS["no_length"] % b"c-1")
        await trio.sleep(0.1)
        await end(stream, is_reset=True)

    async def main(nursery):
        connection = await client.connect(await loopback.listen_raw(nursery, serve))
        long_request = messages.Request("POST", "/", (), b"x" * LONG_BODY_BYTES)
        with pytest.raises(messages.ConnectionBrokenError):
            await connection.fetch(long_request)
        assert connection.is_request_incomplete

    loopback.run(main)
