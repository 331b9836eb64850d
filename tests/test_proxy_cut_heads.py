"""Targets of the first deployment that stop within an answer and close or reset the connection."""

import socket
import struct

import pytest
import trio

import loopback
from buckthornstage.http import client, messages

LINGER_RESET = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nx-a: b\r\n"
ANSWERS = {
    "length": HEAD + b"content-length: 5\r\n\r\nhello",
    "chunked": HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    "empty": HEAD + b"content-length: 0\r\n\r\n",
    "no content": b"HTTP/1.1 204 X\r\nx-a: b\r\n\r\n",
    "interim": b"HTTP/1.1 103 X\r\n\r\n" + HEAD + b"content-length: 5\r\n\r\nhello",
    "refusal": b"HTTP/1.1 503 X\r\nbuckthornstage-outcome: not-run\r\ncontent-length: 2\r\n\r\nno",
}


# Guards against a short answer that looks whole, and against "not run" for a request that has run.
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize(("method", "path"), [("POST", "/print"), ("HEAD", "/status")])
@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_that_stops_anywhere_may_have_run(name, method, path, is_reset):
    whole = ANSWERS[name]
    # The head ends an answer to HEAD.
    end = whole.rindex(b"\r\n\r\n") + 4 if method == "HEAD" else len(whole)
    if method == "HEAD" and name == "chunked":
        end = whole.index(b"\r\n\r\n") + 4
    sent = 0

    async def target(stream):
        await stream.receive_some(65_536)
        await stream.send_all(whole[:sent])
        if is_reset:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        await trio.aclose_forcefully(stream)

    async def test(nursery):
        nonlocal sent
        target_address = await loopback.listen_raw(nursery, target)
        _, address = await loopback.start_proxy(nursery, [target_address])
        for sent in range(end):
            request = messages.Request(method, f"{path}/{sent}", body=b"x" * (method == "POST"))
            found = await client.fetch(address, request)
            outcome = found.header(b"buckthornstage-outcome")
            assert (found.status, outcome) == (502, "may-have-run"), whole[:sent]

    loopback.run(test)
