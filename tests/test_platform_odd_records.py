"""Odd values of the operator, the target and the store: nested deeply or with a number too large.

Guards against a node that ends, or that follows nothing more, after one value that it cannot use.
"""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage import clock, decoding, errors
from buckthornstage.http import client, messages
from buckthornstage.limits import crash_guard
from buckthornstage.link import frames
from buckthornstage.mesh import followers, ingress
from buckthornstage.platform import announcements, operator_config, store_client

DEEP = b"[" * 5_000 + b"]" * 5_000
CONFIG = ("keyed.op", "config")
NODES = "keyed.nodes"
VERSION = 7


def odd_record(path=None, **changes):
    """A configuration record with fields of its first route, or of its top level, replaced."""
    document = msgspec.json.decode(platform_mesh.operator_record(VERSION))
    document.update(changes)
    document["virtual_hosts"][0]["paths"][0].update(path or {})
    return msgspec.json.encode(document)


def with_text(key, text):
    """A configuration record whose value of `key` is the given JSON."""
    return odd_record({key: "MARK"}).replace(b'"MARK"', text)


HUGE = b"1" + b"0" * 30
ODD_CONFIGURATIONS = {
    "deep": platform_mesh.operator_record(VERSION)[:-1] + b',"more":' + DEEP + b"}",
    "deep version": b'{"version":' + DEEP + b"}",
    "version of many digits": odd_record(version="f" * 5_000),
    "version above 64 bits": odd_record(version="f" * 17),
    "negative version": odd_record(version="-1"),
    "timeout of inf": with_text("timeout_s", b"1e308"),
    "timeout": with_text("timeout_s", b"1e12"),
    "goal of inf": with_text("slo_latency_s", b"1e308"),
    "attempts": with_text("max_attempts", HUGE),
    "priority": with_text("priority", HUGE),
    "weight": with_text("traffic_split", b'[{"service":"desk","weight":%s}]' % HUGE),
    "number of many digits": with_text("timeout_s", b"1" * 5_000),
    "connections": odd_record(services=[{"name": "desk", "max_conns": 2**70}]),
    "body": odd_record(
        limits={
            "max_header_bytes": 16_384,
            "max_body_bytes": 2**70,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
    ),
    "idle time": odd_record(
        limits={
            "max_header_bytes": 16_384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 1e308,
        }
    ),
}


@pytest.mark.parametrize("name", ODD_CONFIGURATIONS)
def test_an_odd_configuration_is_skipped_and_the_next_one_is_activated(name, tmp_path, monkeypatch):
    """Guards against a follower that restarts at the same record again and again, and against a
    version that no beacon can carry."""
    monkeypatch.setattr(followers, "COALESCE_MS", 50)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1", platform_mesh.Target())
        await platform_mesh.until(lambda: node.is_ready and node.peers.is_store_reader)
        mesh.store.put(*CONFIG, ODD_CONFIGURATIONS[name])
        await platform_mesh.until(lambda: mesh.events("record_skipped"))
        assert node.peers.version == 1
        mesh.store.put(*CONFIG, platform_mesh.operator_record(VERSION + 1))
        await platform_mesh.until(lambda: node.peers.version == VERSION + 1)
        assert (await platform_mesh.call(node, "/read/x")).status == 200
        assert mesh.events("internal_error") == []

    loopback.run(main)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=5,
)


@hypothesis.given(st.data())
def test_any_value_of_a_configuration_is_refused_or_can_be_sent_on(data):
    """Guards against a version that is activated here and cannot be encoded for a peer."""
    document = msgspec.json.decode(platform_mesh.operator_record(VERSION))
    path = document["virtual_hosts"][0]["paths"][0]
    part = data.draw(st.sampled_from([document, path, document["services"][0], document["limits"]]))
    part[data.draw(st.sampled_from(sorted(part)))] = data.draw(JSON)
    try:
        configuration = operator_config.decode(msgspec.json.encode(document))
    except errors.DocumentError:
        return
    encoded = msgspec.msgpack.encode(configuration)
    decoder = msgspec.msgpack.Decoder(type(configuration))
    assert decoding.decode(decoder, encoded) == configuration


def heartbeat(target, raw=b"", **changes):
    """The target's next announcement; `raw` is added to it as a further JSON member."""
    body = msgspec.json.decode(target.heartbeat())
    body["status"].update(changes.pop("status", {}))
    body["info"].update(changes.pop("info", {}))
    body.update(changes)
    return msgspec.json.encode(body)[:-1] + raw + b"}"


NUMBERS = st.sampled_from([1e308, -1e308, 1e15, -1e15, 5e-324, 2**53, -0.0])
FIELDS = st.sampled_from(
    [
        *((None, name) for name in ("address", "info", "status", "born")),
        *(("info", name) for name in ("service", "version", "zone", "slots")),
        *(("status", name) for name in ("state", "sequence", "cold_left_s")),
    ]
)
INSERTED = st.sampled_from([b"", b"", b"\xff", b'"', b"}", b"NaN", b"1e999", b"[" * 2_000])


@hypothesis.given(FIELDS, JSON | NUMBERS, INSERTED, st.integers(0, 150))
@hypothesis.example(("status", "cold_left_s"), -1e308, b"", 0)
def test_any_value_of_an_announcement_is_refused_or_can_be_told_to_peers(
    field, value, inserted, position
):
    """Guards against an announcement that fails behind the border, or that no beacon can carry."""
    document = msgspec.json.decode(platform_mesh.Target().heartbeat())
    part, name = field
    (document[part] if part else document)[name] = value
    encoded = msgspec.json.encode(document)
    try:
        found = announcements.decode("i", encoded[:position] + inserted + encoded[position:])
    except msgspec.MsgspecError:
        return
    own = ingress.Ingress(clock.Clock(), None, None, None, crash_guard.CrashGuard(), 1_500)
    own.lifetimes.announce(found, 0)
    own.queue.restart(found.slots)
    own.lifetimes.end(found.identity)
    encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(frames.IngressState)
    state = own.state()
    assert decoding.decode(decoder, encoder.encode(state)) == state


ODD_ANNOUNCEMENTS = {
    "deep": {"raw": b',"more":' + DEEP},
    "start": {"born": 10**30},
    "start above a double": {"born": 2**53 + 1},
    "negative start": {"born": -1},
    "sequence": {"status": {"sequence": 2**64}},
    "negative sequence": {"status": {"sequence": -5}},
    "cold time of inf": {"status": {"cold_left_s": 1e308}},
    "cold time": {"status": {"cold_left_s": 1e12}},
    "cold time of -inf": {"status": {"cold_left_s": -1e308}},
    "slots": {"info": {"slots": 10**30}},
    "negative slots": {"info": {"slots": -1}},
}
PATH = "/buckthornstage/Instances.Heartbeat/"
ODD_INSTANCES = {"long": "i" * 1_000, "line end": "i%0d%0aX-A:%20b", "empty": ""}


@pytest.mark.parametrize("name", [*ODD_ANNOUNCEMENTS, *ODD_INSTANCES])
def test_an_odd_announcement_is_refused_and_the_current_lifetime_holds(name, tmp_path):
    """Guards against a lifetime that no beacon can carry, or whose id no header can."""

    async def test(mesh, node, target):
        lifetime = node.ingress.lifetimes.current
        body = heartbeat(target, **ODD_ANNOUNCEMENTS.get(name, {}))
        path = PATH + ODD_INSTANCES.get(name, target.instance)
        request = messages.Request("POST", path, body=body)
        response = await client.fetch(node.settings.announce_address, request)
        assert response.status == 400
        assert mesh.events("foreign_announcement")
        assert node.ingress.lifetimes.current == lifetime
        assert (await platform_mesh.call(node, "/read/x")).status == 200
        assert (await mesh.announce(node, target)).status == 200
        assert frames.decode_beacon(frames.encode_beacon(own_beacon(node)))

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def own_beacon(node):
    """A beacon with the state that the node tells now."""
    return frames.Beacon(
        node.directory.own,
        node.peers.incarnation,
        1,
        False,
        -1,
        node.peers.version,
        node.ingress.state(),
        ended=node.ingress.lifetimes.ended[-1] if node.ingress.lifetimes.ended else None,
    )


@pytest.mark.parametrize("body", [b'{"born":' + DEEP + b"}", b'{"more":' + DEEP + b"}"])
def test_an_odd_deregistration_counts_as_one_without_a_start(body, tmp_path):
    """Guards against a target that leaves and still gets calls, as its leave could not be read."""

    async def test(mesh, node, target):
        path = f"/buckthornstage/Instances.Deregister/{target.instance}"
        request = messages.Request("POST", path, body=body)
        assert (await client.fetch(node.settings.announce_address, request)).status == 200
        assert node.ingress.status() is frames.IngressStatus.TARGET_DRAINING

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


@pytest.mark.parametrize("number", [b"9" * 5_000, b"9" * 100, b"-1", b"1e308", b"\xb2"])
def test_an_odd_keep_alive_time_fails_no_call(number, tmp_path):
    """Guards against a call that fails although its whole response has arrived."""

    def script(arrival):
        answer = platform_mesh.response(arrival)
        return answer.replace(b"\r\n", b"\r\nKeep-Alive: timeout=" + number + b"\r\n", 1)

    async def test(mesh, node, target):
        for _ in range(2):
            assert (await platform_mesh.call(node, "/pay/x", "POST")).status == 200

    platform_mesh.on_mesh(script, test, tmp_path)


def page(items=b"[]", range_end=b"0", more=b""):
    """Body of the store's response with the newest records."""
    return b'{"items":%s,"range_end":%s,"has_more":false%s}' % (items, range_end, more)


async def fetch_newest(nursery, body, era=b"1"):
    """The client, and what it reads from a store that responds with `body` and `era`."""

    async def handle(request):
        return messages.Response(200, ((b"store-era", era),), body)

    store = store_client.StoreClient(await loopback.listen(nursery, handle))
    return store, await store.keyed_topic("keyed.nodes").newest()


@pytest.mark.parametrize("era", [b"9" * 5_000, b"9" * 30, b"-1", b"1e9", b""])
def test_an_odd_era_of_the_store_is_ignored(era):
    """Guards against a node that reads nothing because of one header, or that knows of an era which
    no beacon can carry."""

    async def test(nursery):
        store, batch = await fetch_newest(nursery, page(), era)
        assert batch.next_position == 0
        assert store.era.newest is None

    loopback.run(test)


@pytest.mark.parametrize(
    "body",
    [
        page(more=b',"more":' + DEEP),
        page(items=b'[{"key":"a","more":%s}]' % DEEP),
        page(range_end=HUGE),
        page(range_end=b"-1"),
        page(range_end=b"1" * 5_000),
        page(items=b'[{"key":"\\udcff"}]'),
        DEEP,
    ],
)
def test_an_odd_response_of_the_store_counts_as_none(body):
    """Guards against a follower that ends instead of reading again."""

    async def test(nursery):
        with pytest.raises(errors.LogUnavailableError):
            await fetch_newest(nursery, body)

    loopback.run(test)


@hypothesis.given(st.binary(max_size=100))
def test_any_bytes_of_a_read_give_records_or_a_store_that_is_unavailable(payload):
    """Guards against a follower that fails at a record whose key or length is cut off."""

    async def test(nursery):
        async def handle(request):
            return messages.Response(200, (), payload)

        store = store_client.StoreClient(await loopback.listen(nursery, handle))
        try:
            batch = await store.keyed_topic("keyed.nodes").changes(0, followers.WAIT_MS)
        except errors.LogUnavailableError:
            return
        except errors.TrimmedError:
            _, first = store_client.READ_HEADER.unpack_from(payload)
            assert first > 0
            return
        assert batch.next_position >= len(batch.records)

    loopback.run(test)


def test_a_record_whose_key_is_cut_off_removes_no_other(tmp_path, monkeypatch):
    """Guards against the removal of the node whose address is what is left of the key."""
    monkeypatch.setattr(followers, "DIRECTORY_PAUSE_MS", 100)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        known, later = platform_mesh.free_address(), platform_mesh.free_address()
        mesh.store.put(NODES, known, entry(known))
        node = await mesh.start_node("n1")
        await platform_mesh.until(lambda: node.is_ready and known in node.directory.peers)
        partition = mesh.store.partition(NODES)
        partition.records.append(b"\xff" + known.encode())
        mesh.store.put(NODES, later, entry(later))
        await platform_mesh.until(lambda: later in node.directory.peers)
        assert known in node.directory.peers
        assert [line["key"] for line in mesh.events("foreign_record")] == [known]

    loopback.run(main)


def entry(address):
    """Directory entry of a node, encoded."""
    return msgspec.msgpack.encode(frames.NodeEntry("n", "z1", platform_mesh.DESK, address))
