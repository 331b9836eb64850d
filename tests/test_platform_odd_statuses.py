"""Statuses of a target, a peer or the store that HTTP does not define (RFC 9110, section 15)."""

import msgspec
import pytest
import test_platform_odd_outcomes
import trio

import loopback
import platform_mesh
from buckthornstage.http import client, messages
from buckthornstage.link import frames

ODD_STATUSES = ["000", "099", "600", "999", "1000", "20", "0x0", "-01", "2OO", "", "+20", "٢٠٠"]
ODD_FIRST_LINES = [
    "HTTP/1.1",
    "HTTP/1.1  200 OK",
    "HTTP/9.9 200 OK",
    "ICY 200 OK",
    "200 OK",
    "HTTP/1.1 200OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 X\r\n\r\nHTTP/1.1 200 OK",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X",
    "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK",
]
FIRST_LINES = [*(f"HTTP/1.1 {status} X" for status in ODD_STATUSES), *ODD_FIRST_LINES]
USUAL_LINE = "HTTP/1.1 200 X"


def with_first_line(first_line):
    """Script of a target: an odd first line for paths that end with "odd"."""

    def script(arrival):
        usual = platform_mesh.response(arrival)
        if not arrival.path.endswith("odd"):
            return usual
        return usual.replace(USUAL_LINE.encode(), first_line.encode(), 1)

    return script


@pytest.mark.parametrize("first_line", FIRST_LINES, ids=repr)
@pytest.mark.parametrize("is_remote", [False, True], ids=["own node", "over a link"])
def test_a_status_out_of_range_is_no_answer_of_a_target(is_remote, first_line, tmp_path):
    """Guards against an answer whose status HTTP does not define, as a target in trouble sent, and
    against its bytes in the answer to the next call (MIXED)."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = platform_mesh.Target(with_first_line(first_line))
        node = await mesh.start_node("n1", target)
        if is_remote:
            node = await mesh.start_node("n2", service="frontend")
            peers = node.directory.peers
            await platform_mesh.until(lambda: any(peer.is_open for peer in peers.values()))
        await platform_mesh.until(lambda: node.is_ready)
        for prefix, method in (("/pay/", "POST"), ("/read/", "GET")):
            found = await platform_mesh.call(node, f"{prefix}odd", method)
            assert (found.status, found.header(b"response-seal")) == (502, None)
            found = await platform_mesh.call(node, f"{prefix}usual", method)
            assert (found.status, found.body) == (200, b"done")
        assert mesh.events("internal_error") == []

    loopback.run(main)


@pytest.mark.parametrize("status", [0, 99, 600, 999])
def test_a_status_out_of_range_is_no_outcome_of_a_peer(status):
    """Guards against a peer of an older release that passes such a status on."""
    with pytest.raises(frames.errors.ProtocolError):
        frames.decode_frame(test_platform_odd_outcomes.encode_response(status=status))
    for valid in (200, 599):
        encoded = test_platform_odd_outcomes.encode_response(status=valid)
        assert msgspec.msgpack.encode(frames.decode_frame(encoded)) == encoded


@pytest.mark.parametrize("first_line", FIRST_LINES, ids=repr)
def test_a_status_out_of_range_is_no_answer_of_the_store(first_line):
    """Guards against all readers of responses, such as the store's client, that take the number."""

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(f"{first_line}\r\nContent-Length: 0\r\n\r\n".encode())

    async def main(nursery):
        address = platform_mesh.free_address()
        host, port = address.split(":")
        await nursery.start(trio.serve_tcp, serve, int(port))
        with pytest.raises(messages.ConnectionBrokenError):
            await client.fetch(address, messages.Request("GET", "/"))

    loopback.run(main)
