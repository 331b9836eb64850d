"""Calls to a node whose datagrams are lost while its connections work."""

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import tcp_stream

RUN_S = 1.5  # longer than the time after which a peer counts as silent


async def slow(arrival):
    await trio.sleep(RUN_S)
    return platform_mesh.response(arrival, b"first")


def refusing(arrival):
    return platform_mesh.response(arrival, b"", 503, Not_Executed="full", Response_Seal=None)


def at_once(arrival):
    return platform_mesh.response(arrival, b"second")


async def _stop_datagrams(calling, peer):
    """Stops all datagrams of `peer`; `calling` gets only the responses to its calls."""
    peer.peers.announce = lambda: None
    peer.peers._send = lambda address, is_request, echo=-1: None
    known = calling.directory.peers[peer.settings.link_address]
    await platform_mesh.until(lambda: known.state is not None)
    return known


def _run(tmp_path, second_script, use):
    """Runs `use(calling, first)`; a second ingress opens once a call has reached the first."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        first = platform_mesh.Target(slow)
        silent = await mesh.start_node("n1", first)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: any(p.state for p in calling.directory.peers.values()))

        async def open_second():
            await platform_mesh.until(lambda: first.arrivals)
            await _stop_datagrams(calling, silent)
            if second_script is not None:
                await mesh.start_node("n3", platform_mesh.Target(second_script))

        nursery.start_soon(open_second)
        await use(mesh, calling)

    loopback.run(main)


@pytest.mark.parametrize("second_script", [None, refusing])
def test_a_stopping_node_waits_for_the_response_of_a_silent_peer(second_script, tmp_path):
    # Guards against LOST of issue 15: after SIGTERM the node itself responded 502 to a call that
    # a target was running, because no datagram of the target's node had arrived for 800 ms.
    async def use(mesh, calling):
        async with trio.open_nursery() as stopping:
            stopping.start_soon(calling.stop)
            response = await platform_mesh.call(calling, "/read/1", remaining_ms=2_500)
        assert (response.status, response.body) == (200, b"first")

    _run(tmp_path, second_script, use)


def test_a_call_to_a_silent_peer_is_served_by_another_ingress(tmp_path):
    # Guards against calls that wait for a lost peer although another ingress can serve them.
    async def use(mesh, calling):
        response = await platform_mesh.call(calling, "/read/1", remaining_ms=2_500)
        assert (response.status, response.body) == (200, b"second")

    _run(tmp_path, at_once, use)


def test_an_unsafe_call_is_not_sent_again_when_its_peer_is_silent(tmp_path):
    # Guards against a call that runs twice because its first attempt was considered lost.
    async def use(mesh, calling):
        response = await platform_mesh.call(calling, "/pay/1", "POST", remaining_ms=2_500)
        assert (response.status, response.body) == (200, b"first")

    _run(tmp_path, at_once, use)


def test_a_call_on_a_stalled_connection_is_served_by_another_ingress(tmp_path, monkeypatch):
    # Guards against calls that wait until their deadline on a connection that has gone silent for
    # good, while datagrams of the same peer arrive.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        first = platform_mesh.Target(slow)
        await mesh.start_node("n1", first)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: any(p.state for p in calling.directory.peers.values()))

        async def open_second():
            await platform_mesh.until(lambda: first.arrivals)
            monkeypatch.setattr(tcp_stream.TcpStream, "unacknowledged_bytes", lambda stream: 1)
            await mesh.start_node("n3", platform_mesh.Target(at_once))

        nursery.start_soon(open_second)
        response = await platform_mesh.call(calling, "/read/1", remaining_ms=2_500)
        assert (response.status, response.body) == (200, b"second")
        assert not mesh.events("peer_lost")

    loopback.run(main)
