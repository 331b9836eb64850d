"""Long responses from a peer, as read by the egress."""

import msgspec
import test_platform_narrow_link as narrow
import trio

import platform_mesh
from buckthornstage.http import tcp_stream
from buckthornstage.link import connection, frames

PIECE_BYTES = 1_000
PIECES = 20
SLOTS = 13
OPEN = frames.IngressState(frames.IngressStatus.OPEN, SLOTS)
NEWER = msgspec.structs.replace(OPEN, running=SLOTS, waiting=40)


def response_frames():
    yield frames.Response(200, (), b"", PIECE_BYTES * PIECES, OPEN)
    for _ in range(PIECES):
        yield frames.Chunk(b"x" * PIECE_BYTES)


def with_peer(serve, test):
    """Runs `test(caller)` against a peer whose connections are served by `serve(link)`."""

    async def serve_stream(stream):
        link = connection.LinkConnection(tcp_stream.from_stream(stream), "")
        await link.receive()
        await serve(link)

    async def main():
        address = platform_mesh.free_address()
        async with trio.open_nursery() as nursery:
            port = int(address.rpartition(":")[2])
            await nursery.start(trio.serve_tcp, serve_stream, port)
            await test(narrow.Caller(address))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_whole_answer_counts_although_its_peer_has_gone():
    # Guards against a 502 despite a complete response: the peer stopped after sending everything,
    # and the acknowledgement of a piece could no longer be sent.
    async def serve(link):
        for frame in response_frames():
            await link.send(frame)
        link.tcp_stream.raw.shutdown(1)
        link.close()

    async def test(caller):
        await caller.ask("/pack/1", 1)
        outcome = caller.responses["/pack/1", 1]
        assert isinstance(outcome, frames.Response), outcome
        assert len(outcome.body) == PIECE_BYTES * PIECES

    with_peer(serve, test)


def test_the_state_in_an_answer_does_not_replace_a_newer_one():
    # Guards against downloads sent to a full ingress: the state in the head of a long response is
    # as old as its transfer took, but was taken for new when the last piece had arrived.
    async def serve(link):
        for frame in response_frames():
            await link.send(frame)
            await trio.sleep(0.01)
        await link.receive()

    async def test(caller):
        peer = caller.calls.directory.peers[caller.address]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.ask, "/pack/1", 1)
            await trio.sleep(0.1)
            caller.calls.directory.update_state(peer, NEWER, caller.calls.clock.now_ms())
        assert isinstance(caller.responses["/pack/1", 1], frames.Response)
        assert peer.state == NEWER

    with_peer(serve, test)
