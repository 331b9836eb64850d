"""Open connections that carry calls go silent for good, while new ones and datagrams work."""

import random

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.soak import proxy

CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed
HEARTBEAT_MS = 500
CALLS = 8
ARRIVAL_MS = 40  # within which calls at once arrive
CALL_KINDS = [("/read/", "GET", b""), ("/pay/", "POST", b"x")]


async def slow_response(arrival):
    await trio.sleep(0.1)
    return platform_mesh.response(arrival)


async def calls_at_once(node, path, method, body):
    """Statuses of calls that are sent within ARRIVAL_MS."""
    statuses = []

    async def send():
        response = await platform_mesh.call(node, path, method, body)
        statuses.append(response.status)

    async with trio.open_nursery() as calls:
        for _ in range(CALLS):
            calls.start_soon(send)
            await trio.sleep(ARRIVAL_MS / 1_000 / CALLS)
    return statuses


async def calls_in_turn(node, path, method, body):
    return [(await platform_mesh.call(node, path, method, body)).status for _ in range(CALLS)]


async def keep_announcing(mesh, node, target):
    while True:
        await mesh.announce(node, target)
        await trio.sleep(HEARTBEAT_MS / 1_000)


def is_open(ingress):
    return ingress.status() is frames.IngressStatus.OPEN


async def node_with_target(mesh):
    """A node whose connections to its target pass through a proxy."""
    target = platform_mesh.Target(slow_response)
    await mesh.nursery.start(target.serve)
    proxied = proxy.Proxy(target.address)
    await mesh.nursery.start(proxied.serve)
    target.address = proxied.address
    node = await mesh.start_node("n1", target_address=target.address)
    mesh.nursery.start_soon(keep_announcing, mesh, node, target)
    await platform_mesh.until(lambda: node.is_ready and is_open(node.ingress))
    return node, proxied


async def node_with_peer(mesh):
    """A node without a target, whose connections to that of a peer pass through a proxy."""
    listen_address = platform_mesh.free_address()
    proxied = proxy.PeerProxy(listen_address, random.Random(1))
    await mesh.nursery.start(proxied.serve)
    target = platform_mesh.Target(slow_response)
    peer = await mesh.start_node(
        "n2", target, link=proxied.address, link_listen_address=listen_address
    )
    mesh.nursery.start_soon(keep_announcing, mesh, peer, target)
    node = await mesh.start_node("n1", service=platform_mesh.LIBRARY)
    await platform_mesh.until(lambda: node.is_ready and peer.is_ready)
    await platform_mesh.until(lambda: any(known.is_open for known in node.directory.peers.values()))
    return node, proxied


# Guards against calls that are sent on connections which have been silent since before the node was
# in touch again, and wait there to their deadline (the class of issue 38).
@pytest.mark.parametrize("send", [calls_at_once, calls_in_turn])
@pytest.mark.parametrize("kind", CALL_KINDS, ids=["idempotent", "unsafe"])
@pytest.mark.parametrize("start", [node_with_target, node_with_peer])
def test_calls_are_served_although_idle_connections_are_silent(start, kind, send, tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node, proxied = await start(mesh)
        assert await calls_at_once(node, *kind) == [200] * CALLS
        proxied.mute_open()
        await trio.sleep(CONTACT_MS / 1_000)
        assert await send(node, *kind) == [200] * CALLS

    loopback.run(main)
