"""Memory and descriptors of node processes beside clients and peers that send or read oddly."""

import itertools
import math

import msgspec
import platform_crowd
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.link import frames

BYTE_S = 0.02
MANY_CLIENTS = 300
MAX_FDS = 200
LONG_BODY_BYTES = 20 * platform_crowd.MB
PIPELINED_BYTES = 1 << 20
PEER_FRAME_BYTES = 1 << 20
MANY_FIELDS = 4_000


async def _send_bytewise(stream, data):
    for position in range(len(data)):
        await stream.send_all(data[position : position + 1])
        await trio.sleep(BYTE_S)


async def _head_bytewise(stream, number, turn):
    await _send_bytewise(stream, platform_crowd.encode(f"/read/{number}-{turn}"))


async def _body_bytewise(stream, number, turn):
    request = platform_crowd.encode(f"/pay/{number}-{turn}", "POST", bytes(LONG_BODY_BYTES))
    head_bytes = len(request) - LONG_BODY_BYTES
    await stream.send_all(request[:head_bytes])
    await _send_bytewise(stream, request[head_bytes:])


async def _pipeline_without_reading(stream, number, turn):
    one = platform_crowd.encode(f"/read/{number}-{turn}")
    await stream.send_all(one * (PIPELINED_BYTES // len(one)))
    await trio.sleep_forever()


async def _send_long_body(stream, number, turn):
    request = platform_crowd.encode(f"/pay/{number}-{turn}", "POST", bytes(LONG_BODY_BYTES))
    await stream.send_all(request)
    await trio.sleep_forever()


CLIENTS = {
    "heads_bytewise": (_head_bytewise, MANY_CLIENTS),
    "bodies_bytewise": (_body_bytewise, platform_crowd.CLIENTS),
    "pipelined_unread": (_pipeline_without_reading, MANY_CLIENTS),
    "bodies_unread_by_target": (_send_long_body, platform_crowd.CLIENTS),
}


def _script(arrival):
    # A long body is read by none but the target's system; the harness reads heads only as they
    # come, so the request stays without a response.
    is_answered = len(arrival.body) < 1_000 and "unanswered" not in arrival.path
    return platform_crowd.script(arrival) if is_answered else trio.sleep_forever()


@pytest.mark.parametrize(("visit", "clients"), CLIENTS.values(), ids=CLIENTS)
def test_clients_that_send_oddly_leave_memory_and_descriptors_for_others(visit, clients, tmp_path):
    # Guards against buffers for each connection that add up to more than the node's memory, and
    # against memory that is reserved for bodies which do not come.
    async def main(nursery):
        async with platform_crowd.two_nodes(nursery, tmp_path, _script) as nodes:
            node = nodes[0]

            async def ordinary():
                await trio.sleep(platform_crowd.LENGTH_S / 2)
                response = await platform_mesh.call(node, "/pay/ordinary", "POST", b"x" * 100)
                assert response.status == 200

            async with trio.open_nursery() as beside:
                beside.start_soon(ordinary)
                await platform_crowd.crowd(node.settings.call_address, visit, clients)
            platform_crowd.check_bounds(
                *nodes, max_files=platform_crowd.DESCRIPTORS_PER_CLIENT * clients
            )
            await platform_crowd.check_served(node)

    loopback.run(main)


@pytest.mark.parametrize("listener", ["call_address", "link_address"])
def test_idle_connections_leave_descriptors_for_others(listener, tmp_path):
    # Guards against connections without a request that take all descriptors or connections, so that
    # no other client, target or peer can be connected.
    async def idle(stream, number, turn):
        await trio.sleep_forever()

    async def main(nursery):
        limits = {"max_fds": MAX_FDS}
        async with (
            platform_crowd.two_nodes(nursery, tmp_path, **limits) as nodes,
            trio.open_nursery() as beside,
        ):
            address = getattr(nodes[0].settings, listener)
            # Stays until all checks are done.
            beside.start_soon(platform_crowd.crowd, address, idle, MANY_CLIENTS, math.inf)
            await trio.sleep(platform_crowd.LENGTH_S / 2)
            platform_crowd.check_bounds(*nodes, max_files=MAX_FDS)
            await platform_crowd.check_served(nodes[0])
            await platform_crowd.check_served(nodes[1], "/far-read/1", "/read/1")
            beside.cancel_scope.cancel()

    loopback.run(main)


def _call(number):
    headers = ((b"host", b"shop.example"), (b"attempt-id", b"peer-%d" % number))
    service = platform_mesh.DESK
    return frames.Call(
        f"peer-{number}",
        "GET",
        f"/pack/{number}",
        headers,
        b"",
        service,
        service,
        "r",
        1,
        True,
        platform_crowd.LIMIT_MS,
        platform_crowd.LIMIT_MS,
        platform_crowd.LIMIT_MS,
        sequence=1,
    )


def _peer_visits():
    numbers = itertools.count()

    async def never_read(stream, number, turn):
        call = msgspec.structs.replace(_call(next(numbers)), is_bulk=number % 2 == 0)
        await stream.send_all(frames.encode_frame(call))
        await trio.sleep_forever()

    async def half_a_frame(stream, number, turn):
        await stream.send_all(frames.LENGTH.pack(PEER_FRAME_BYTES) + bytes(PEER_FRAME_BYTES - 1))
        await trio.sleep_forever()

    async def many_fields(stream, number, turn):
        headers = (*_call(0).headers, *((b"a", b"%d" % field) for field in range(MANY_FIELDS)))
        call = msgspec.structs.replace(
            _call(next(numbers)), headers=headers, target=f"/read/unanswered-{number}-{turn}"
        )
        await stream.send_all(frames.encode_frame(call))
        await trio.sleep_forever()

    return {"unread": never_read, "half_a_frame": half_a_frame, "many_fields": many_fields}


@pytest.mark.parametrize(
    ("case", "peers"),
    [
        ("unread", platform_crowd.CLIENTS),
        ("half_a_frame", platform_crowd.CLIENTS),
        ("many_fields", MANY_CLIENTS),
    ],
)
def test_peers_that_do_not_read_or_end_leave_memory_for_others(case, peers, tmp_path):
    # Guards against the same for connections of peers, and for calls with very many headers.
    async def main(nursery):
        async with platform_crowd.two_nodes(nursery, tmp_path, _script) as nodes:
            visit = _peer_visits()[case]
            await platform_crowd.crowd(nodes[0].settings.link_address, visit, peers)
            platform_crowd.check_bounds(
                *nodes, max_files=platform_crowd.DESCRIPTORS_PER_CLIENT * peers
            )
            await platform_crowd.check_served(nodes[0])

    loopback.run(main)
