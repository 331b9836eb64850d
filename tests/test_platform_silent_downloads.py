"""Connections on which long responses are sent go silent for good, while new ones work."""

import random

import trio

import platform_mesh
from buckthornstage.link import frames
from buckthornstage.soak import proxy

CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed
CALL_MS = 1_500
DOWNLOADS = 6
PACK = bytes(1 << 20)
SLOW_PIECE_MS = 30


def script(arrival):
    return platform_mesh.response(arrival, PACK)


def make_call(number):
    headers = ((b"host", b"shop.example"), (b"attempt-id", b"call-%d" % number))
    service = platform_mesh.DESK
    return frames.Call(
        f"call-{number}",
        "GET",
        "/pack/1",
        headers,
        b"",
        service,
        service,
        "r",
        1,
        True,
        CALL_MS,
        CALL_MS,
        CALL_MS,
        is_bulk=True,
    )


# Guards against the rest of long responses on connections that went silent, which counts as waiting
# for the link for ever, so that the ingress refuses all later ones (the class of issue 38).
def test_downloads_are_served_although_connections_went_silent_midway(tmp_path):
    async def test(mesh, node, target):
        link = proxy.PeerProxy(node.settings.link_address, random.Random(1))
        await mesh.nursery.start(link.serve)
        calls = platform_mesh.peer_calls_to(link.address)
        link.delay_ms = SLOW_PIECE_MS
        async with trio.open_nursery() as nursery:
            for number in range(DOWNLOADS):
                nursery.start_soon(calls.send_call, make_call(number), link.address)
            await trio.sleep(0.3)
            assert node.ingress.pacer.waiting_bytes > len(PACK)
            link.mute_open()
        link.delay_ms = 0
        await trio.sleep(CONTACT_MS / 1_000)
        waiting_bytes = node.ingress.pacer.waiting_bytes
        await mesh.announce(node, target)
        outcome = await calls.send_call(make_call(DOWNLOADS), link.address)
        assert isinstance(outcome, frames.Response)
        assert waiting_bytes == 0
        mesh.nursery.cancel_scope.cancel()

    platform_mesh.on_mesh(script, test, tmp_path)
