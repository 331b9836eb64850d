"""Outcomes of another node with a number that is out of range."""

import msgspec
import pytest
import test_platform_odd_entries

import loopback
import platform_mesh
from buckthornstage.link import frames

CALL_ID = "c-1"
ODD_RESPONSES = {
    "status of one digit": {"status": 7},
    "status of five digits": {"status": 99_999},
    "negative status": {"status": -200},
    "status of an interim response": {"status": 100},
    "status above 64 bits signed": {"status": 2**64 - 1},
    "negative length": {"length": -5},
    "length above 64 bits signed": {"length": 2**64 - 1},
}


def encode_response(**changes):
    """Frame with the response to the first call on a connection."""
    state = frames.IngressState(frames.IngressStatus.OPEN)
    response = frames.Response(200, ((b"x", b"y"),), b"body", 0, state, 1, CALL_ID, 1)
    return msgspec.msgpack.encode(msgspec.structs.replace(response, **changes))


@pytest.mark.parametrize("name", ODD_RESPONSES)
@pytest.mark.parametrize("method", ["POST", "HEAD"])
def test_an_odd_response_of_a_peer_is_no_answer(name, method, tmp_path):
    """Guards against bytes that are no answer in the protocol, a client that waits for a final
    response, and a short body that looks whole (MIXED)."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1")
        reply = encode_response(**ODD_RESPONSES[name])
        async with test_platform_odd_entries.peer(nursery, reply) as (address, datagrams):
            host, port = node.settings.link_address.split(":")
            beacon = test_platform_odd_entries.beacon(address, 1)
            datagrams.sendto(beacon, (host, int(port)))
            peers = node.directory.peers
            await platform_mesh.until(lambda: address in peers and node.peers.version)
            found = await platform_mesh.call(node, "/pay/x", method, attempt_id=CALL_ID)
            assert found.status == 502
            assert mesh.events("internal_error") == []

    loopback.run(main)
