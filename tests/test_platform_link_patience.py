"""Connections between nodes on which the peer takes no bytes for some seconds, but is alive."""

import socket

import trio

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage.http import tcp_stream
from buckthornstage.link import connection, frames
from buckthornstage.membership import peer
from buckthornstage.mesh import peer_calls

CALL_MS = 8_000
CHUNKS = 12
CHUNK_S = 0.1
BUSY_S = 4.0
"""Linux ends a connection without progress at a retransmission, so up to twice after its limit."""
BODY_BYTES = 12 << 20  # more than the buffers of both sockets hold
PACK = b"p" * 600_000
STATE = frames.IngressState(frames.IngressStatus.OPEN, 9)


def make_call(path="/read/1", body=b""):
    headers = ((b"host", b"shop.example"), (b"attempt-id", b"c1"))
    service = platform_mesh.DESK
    times = (CALL_MS, CALL_MS, CALL_MS)
    return frames.Call("c1", "GET", path, headers, body, service, service, "r", 1, True, *times)


def test_an_idempotent_call_waits_for_a_peer_that_is_busy_for_seconds(tmp_path):
    # Guards against LOST of issue 29: a TCP timer ended the connection to a peer that was at work,
    # and the node responded 502 in its place.
    async def test(nursery):
        async def serve(stream):
            link = connection.LinkConnection(tcp_stream.from_stream(stream), "")
            await trio.sleep(BUSY_S)
            call = await link.receive()
            await link.send(frames.Response(200, (), b"done", 0, STATE, 1, call.call_id))
            await trio.sleep_forever()

        address = loopback.listen_with_small_buffer(nursery, serve)
        calls = platform_mesh.peer_calls_to(address)
        outcome = await calls.send_call(make_call(body=bytes(BODY_BYTES)), address)
        assert getattr(outcome, "body", outcome) == b"done"

    loopback.run(test)


def test_a_run_goes_on_while_its_caller_reads_nothing_for_seconds(tmp_path):
    # Guards against LOST of issue 29 at the other end of the link: the node of the target ended the
    # connection to a node that was alive, and its response was lost.
    async def test(mesh, node, target):
        host, _, port = node.settings.link_address.partition(":")
        raw = trio.socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, loopback.SMALL_BUFFER_BYTES)
        await raw.connect((host, int(port)))
        stream = tcp_stream.from_stream(trio.SocketStream(raw))
        link = connection.LinkConnection(stream, "")
        await link.send(make_call("/pack/1"))
        await trio.sleep(BUSY_S)
        head = await link.receive()
        body = bytearray()
        while len(body) < head.length:
            body += (await link.receive()).data
            await link.send(frames.ChunkRead())
        assert (head.status, bytes(body)) == (200, PACK)

    def pack(arrival):
        return platform_mesh.response(arrival, PACK)

    platform_mesh.on_mesh(pack, test, tmp_path)


def test_a_call_is_stalled_only_while_its_peer_acknowledges_nothing(tmp_path):
    # Guards against hedges for calls whose target is slow, and against none for a dead connection.
    async def test(nursery):
        async def read(stream):
            while await stream.receive_some(65536):
                pass

        async def ignore(stream):
            await trio.sleep_forever()

        for serve, body, is_stalled in ((read, b"", False), (ignore, bytes(BODY_BYTES), True)):
            address = await loopback.listen_raw(nursery, serve)
            pool = connection.LinkPool(clocks.Clock())
            sent = peer_calls.SentCall(await pool.acquire(address), 0)
            nursery.start_soon(sent.connection.send, make_call(body=body))
            await trio.sleep(0.1)
            assert sent.is_stalled(peer.LONG_SILENCE_MS) is is_stalled
            assert not sent.is_stalled(peer.LONG_SILENCE_MS - 1)

    loopback.run(test)


def test_a_download_whose_pieces_arrive_is_not_stalled(monkeypatch):
    # Guards against a hedge for each download that lasts longer than a silence, because the last
    # acknowledgement of a piece is under way at some tick.
    monkeypatch.setattr(tcp_stream.TcpStream, "unacknowledged_bytes", lambda stream: 1)
    stalled = []

    async def test(nursery):
        async def serve(stream):
            link = connection.LinkConnection(tcp_stream.from_stream(stream), "")
            call = await link.receive()
            await link.send(frames.Response(200, (), b"", CHUNKS, STATE, 1, call.call_id))
            for _ in range(CHUNKS):
                await trio.sleep(CHUNK_S)
                await link.send(frames.Chunk(b"x"))
                await link.receive()

        address = await loopback.listen_raw(nursery, serve)
        calls = platform_mesh.peer_calls_to(address)
        sent = peer_calls.SentCall()

        async def watch():
            while True:
                await trio.sleep(CHUNK_S)
                stalled.append(sent.is_stalled(calls.clock.now_ms()))

        nursery.start_soon(watch)
        outcome = await calls.send_call(make_call("/pack/1"), address, sent)
        assert outcome.body == b"x" * CHUNKS

    loopback.run(test)
    assert len(stalled) * CHUNK_S * 1_000 > peer.LONG_SILENCE_MS
    assert not any(stalled)
