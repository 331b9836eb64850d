"""Odd values of another writer: nested deeply, with a number too large or a port out of range.

Guards against a node that ends, or that reads nothing more, after one entry that it cannot use.
"""

import contextlib
import functools
import math
import socket
import zlib

import hypothesis
import msgspec
import pytest
import trio
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage import decoding, errors
from buckthornstage.link import frames
from buckthornstage.mesh import followers, peers
from buckthornstage.routing import ingress_selection

DEEP = b"\x91" * 5_000 + b"\xc0"
"""Arrays in arrays, in msgpack."""
DEEP_JSON = b"[" * 5_000 + b"]" * 5_000
NODES, OPERATOR = "keyed.nodes", "keyed.op"


def packed(*fields, rest=b""):
    """Array of msgpack; `rest` is one more element, already encoded."""
    size = len(fields) + bool(rest)
    head = bytes([0x90 + size]) if size < 16 else b"\xdc" + size.to_bytes(2)
    return head + b"".join(map(msgspec.msgpack.encode, fields)) + rest


def entry(address, mbps=10.0, ended=None, rest=b"", node="other"):
    """Directory entry of a node, encoded."""
    return packed(node, "z1", platform_mesh.DESK, address, mbps, ended, rest=rest)


ODD_ENTRIES = {
    "deep": ("127.0.0.9:7000", {"rest": DEEP}),
    "port too large": ("127.0.0.9:99999", {}),
    "port 0": ("127.0.0.9:0", {}),
    "negative port": ("127.0.0.9:-1", {}),
    "no port": ("127.0.0.9", {}),
    "no number": ("127.0.0.9:http", {}),
    "port of many digits": ("127.0.0.9:" + "9" * 200, {}),
    "a host's name": ("localhost:7000", {}),
    "empty": ("", {}),
    "octet with a leading zero": ("127.0.0.07:7000", {}),
    "octet that is a host name": ("127.0.0.08:7000", {}),
    "link too fast": ("127.0.0.9:7000", {"mbps": 1e300}),
    "link of inf": ("127.0.0.9:7000", {"mbps": float("inf")}),
    "link of nan": ("127.0.0.9:7000", {"mbps": float("nan")}),
    "negative link": ("127.0.0.9:7000", {"mbps": -1}),
    "late end": ("127.0.0.9:7000", {"ended": ("i", 2**64 - 1)}),
    "long name": ("127.0.0.9:7000", {"node": "n" * 100_000}),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_of_the_directory_hides_no_other(name, tmp_path, monkeypatch):
    """Guards against a follower that restarts at the same record again and again."""
    monkeypatch.setattr(followers, "DIRECTORY_PAUSE_MS", 100)
    address, fields = ODD_ENTRIES[name]

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        known = platform_mesh.free_address(), platform_mesh.free_address()
        mesh.store.put(NODES, known[0], entry(known[0]))
        mesh.store.put(NODES, address, entry(address, **fields))
        mesh.store.put(NODES, known[1], entry(known[1]))
        node = await mesh.start_node("n1")
        await platform_mesh.until(lambda: node.is_ready and set(known) <= set(node.directory.peers))
        mesh.store.put(NODES, address, entry(address, **fields))
        later = platform_mesh.free_address()
        mesh.store.put(NODES, later, entry(later))
        await platform_mesh.until(lambda: later in node.directory.peers)
        await trio.sleep(0.3)
        assert set(node.directory.peers) == {*known, later}
        assert {line["key"] for line in mesh.events("foreign_record")} == {address}
        assert mesh.events("internal_error") == []

    loopback.run(main)


@contextlib.asynccontextmanager
async def peer(nursery, reply=b""):
    """Another node's address and datagram socket; its TCP port sends `reply` as one frame."""
    address = platform_mesh.free_address()
    host, port = address.split(":")

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(frames.LENGTH.pack(len(reply)) + reply)
        await trio.sleep(0.5)

    await nursery.start(functools.partial(trio.serve_tcp, serve, int(port), host=host))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.bind((host, int(port)))
        yield address, datagrams


def beacon(address, sequence, changes=(), state=(), rest=b""):
    """Datagram of a node with an open ingress; `changes` and `state` replace fields by position."""
    report = [0, 9, 0, 0, 5.0, 0, 1.0, 0, 0.0, 0.0, None]
    for position, value in state:
        report[position] = value
    known = ["other", "z1", platform_mesh.DESK, address, 10.0, None]
    fields = [known, 1_000, sequence, True, -1, 0, report, [], 0, None, None, False, 1, 0]
    for position, value in changes:
        fields[position] = value
    return packed(*fields, rest=rest)


TOO_LARGE = 2**64 - 1
ODD_BEACONS = {
    "deep": {"rest": DEEP},
    "incarnation": {"changes": [(1, TOO_LARGE)]},
    "negative incarnation": {"changes": [(1, -1)]},
    "sequence": {"changes": [(2, TOO_LARGE)]},
    "version": {"changes": [(5, TOO_LARGE)]},
    "own incarnation": {"changes": [(8, TOO_LARGE)]},
    "end": {"changes": [(9, ["i", TOO_LARGE])]},
    "era": {"changes": [(13, TOO_LARGE)]},
    "slots": {"state": [(1, TOO_LARGE)]},
    "negative slots": {"state": [(1, -5)]},
    "run time of nan": {"state": [(4, float("nan"))]},
    "run time of inf": {"state": [(4, float("inf"))]},
    "run time": {"state": [(4, 1e308)]},
    "negative run time": {"state": [(4, -1e9)]},
    "cold time": {"state": [(5, TOO_LARGE)]},
    "success rate of nan": {"state": [(6, float("nan"))]},
    "success rate": {"state": [(6, 1e308)]},
    "link": {"state": [(7, TOO_LARGE)]},
    "interval": {"state": [(8, 1e308)]},
    "wait": {"state": [(9, float("inf"))]},
    "leaving": {"state": [(10, ["i", TOO_LARGE])]},
    "crash of a long request": {"changes": [(7, [["f" * 2_000, [["i", 1]]]])]},
}


@pytest.mark.parametrize("name", ODD_BEACONS)
def test_an_odd_beacon_is_logged_and_changes_nothing(name, tmp_path):
    """Guards against a task of the peers that restarts, and against numbers that make the choice of
    an ingress, or this node's own beacons, fail."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1", platform_mesh.Target())
        await platform_mesh.until(lambda: node.is_ready)
        async with peer(nursery) as (address, datagrams):
            own = node.settings.link_address
            host, port = own.split(":")
            incarnation = node.peers.incarnation
            datagrams.sendto(beacon(address, 1, **ODD_BEACONS[name]), (host, int(port)))
            await platform_mesh.until(lambda: mesh.events("bad_datagram"))
            assert address not in node.directory.peers
            datagrams.sendto(beacon(address, 2), (host, int(port)))
            await platform_mesh.until(lambda: address in node.directory.peers)
            datagrams.settimeout(0)
            await platform_mesh.until(lambda: readable(datagrams))
            answer = frames.decode_beacon(datagrams.recv(4096))
            assert answer.entry.link_address == own
            assert node.peers.incarnation == incarnation
            assert (await platform_mesh.call(node, "/read/x")).status == 200
            assert mesh.events("internal_error") == []

    loopback.run(main)


def readable(datagrams):
    """Whether a datagram has arrived."""
    try:
        return bool(datagrams.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def test_crashes_told_by_peers_make_no_beacon_too_long(tmp_path):
    """Guards against a node that is lost to all peers, as they read no datagram above a size."""
    crashes = [[[f"f{n}", [[f"{chr(0x10000 + n) * 255}", k] for k in range(3)]]] for n in range(8)]

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1")
        async with peer(nursery) as (address, datagrams):
            host, port = node.settings.link_address.split(":")
            datagrams.settimeout(0)
            for number, told in enumerate(crashes):
                refuted = {"rest": msgspec.msgpack.encode(told)} if number >= 4 else {}
                changes = [] if refuted else [(7, told)]
                datagrams.sendto(beacon(address, number, changes, **refuted), (host, int(port)))
            await platform_mesh.until(
                lambda: (len(node.peers.guard.deaths), len(node.peers.guard.refuted)) == (4, 4)
            )
            while readable(datagrams):
                datagrams.recv(1 << 16)
            datagrams.sendto(beacon(address, len(crashes)), (host, int(port)))
            await platform_mesh.until(lambda: readable(datagrams))
            own = frames.decode_beacon(datagrams.recv(peers.MAX_DATAGRAM_BYTES))
            assert own.entry.link_address == node.settings.link_address

    loopback.run(main)


def test_an_incarnation_is_never_raised_above_what_peers_accept(tmp_path):
    """Guards against a node that can send no beacon after a peer told it an incarnation near the
    largest number of a datagram."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1")
        async with peer(nursery) as (address, datagrams):
            host, port = node.settings.link_address.split(":")
            largest = decoding.MAX_WHOLE
            datagrams.sendto(beacon(address, 1, [(8, largest)]), (host, int(port)))
            await platform_mesh.until(lambda: address in node.directory.peers)
            datagrams.settimeout(0)
            await platform_mesh.until(lambda: readable(datagrams))
            assert frames.decode_beacon(datagrams.recv(4096)).incarnation == largest

    loopback.run(main)


def odd_copies():
    """Replies to a fetch, by name: directory and configuration of another node."""
    good = packed("good", "z1", platform_mesh.DESK, "127.0.0.8:7000", 10.0, None)
    limits = [1, 1, 1, 1]
    configuration = zlib.compress(packed(99, [], [], limits, rest=DEEP))
    delta = zlib.compress(packed(1, 99, [], [], [], limits, 0, rest=DEEP))
    odd = {
        name: entry(address, **fields)
        for name, (address, fields) in ODD_ENTRIES.items()
        if "rest" not in fields
    }
    copies = {name: packed(7, b"", rest=b"\x92" + encoded + good) for name, encoded in odd.items()}
    copies["deep frame"] = packed(7, b"", [], b"", rest=DEEP)
    copies["deep configuration"] = packed(7, configuration, [])
    copies["deep delta"] = packed(7, b"", [], delta)
    copies["configuration cut off"] = packed(7, configuration[:-9], [])
    return copies


ODD_COPIES = odd_copies()


@pytest.mark.parametrize("name", ODD_COPIES)
def test_an_odd_copy_of_a_peer_ends_no_process(name, tmp_path):
    """Guards against the end of a process whose peer sends what it cannot use: the fetch runs
    beside all calls, and good entries of the same copy hold."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1", platform_mesh.Target())
        await platform_mesh.until(lambda: node.is_ready)
        async with peer(nursery, ODD_COPIES[name]) as (address, datagrams):
            host, port = node.settings.link_address.split(":")
            datagrams.sendto(beacon(address, 1, [(5, 99)]), (host, int(port)))
            names = ("fetch_failed", "copy_refused", "foreign_record")
            await platform_mesh.until(lambda: any(map(mesh.events, names)))
            await trio.sleep(0.2)
            good = {"127.0.0.8:7000"} if name in ODD_ENTRIES else set()
            assert set(node.directory.peers) == {address, *good}
            assert node.peers.version == 1
            assert (await platform_mesh.call(node, "/read/x")).status == 200
            assert mesh.events("internal_error") == []

    loopback.run(main)


NUMBER = (
    st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.sampled_from([0, 1, 2**53, decoding.MAX_MS, decoding.MAX_COUNT])
)


@hypothesis.given(
    st.lists(st.tuples(st.integers(1, 9), NUMBER), max_size=4),
    st.lists(st.tuples(st.sampled_from([1, 2, 4, 5, 8, 12, 13]), NUMBER), max_size=2),
    st.integers(0, 60_000),
    st.booleans(),
)
def test_what_is_decoded_of_a_beacon_can_be_used_and_sent_on(state, changes, age_ms, is_bulk):
    """Guards against numbers that pass the border and fail, or win each choice, behind it."""
    try:
        found = frames.decode_beacon(beacon("127.0.0.9:7000", 1, changes, state))
    except errors.ProtocolError:
        return
    assert frames.decode_beacon(frames.encode_beacon(found)) == found
    candidate = ingress_selection.Candidate("127.0.0.9:7000", True, found.state, age_ms)
    _, time_ms = ingress_selection.choose([candidate], 1_000, is_bulk, lambda: 0.5)
    assert 0 <= time_ms < math.inf


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_give_one_kind_of_error(payload):
    """The same for bytes that are no datagram, frame or entry at all."""
    for decode in (frames.decode_beacon, frames.decode_frame, frames.decode_entry):
        with contextlib.suppress(errors.ProtocolError):
            decode(payload)


@pytest.mark.parametrize("frame", [packed(1, rest=DEEP), packed(6, 1, 1, rest=DEEP), DEEP])
def test_an_odd_frame_ends_its_connection_only(frame):
    """Guards against an error of the decoder that is taken for a fault of this node."""
    with pytest.raises(errors.ProtocolError):
        frames.decode_frame(frame)


def test_an_unexpected_error_in_a_fetch_does_not_end_the_node(tmp_path):
    """Guards against a process that ends by itself, with all its calls, for a fault in a fetch."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1", platform_mesh.Target())
        await platform_mesh.until(lambda: node.is_ready)
        node.peers.fetch = None
        async with peer(nursery) as (address, datagrams):
            host, port = node.settings.link_address.split(":")
            datagrams.sendto(beacon(address, 1, [(5, 99)]), (host, int(port)))
            await platform_mesh.until(lambda: mesh.events("internal_error"))
            assert mesh.events("internal_error")[0]["task"] == "fetch"
            assert (await platform_mesh.call(node, "/read/x")).status == 200

    loopback.run(main)
