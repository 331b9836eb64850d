"""Odd values of the operator, the target and the store: nested deeply or with a number too large.

Guards against a node that ends, or that follows nothing more, after one value that it cannot use.
"""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage import decoding, errors
from buckthornstage.mesh import followers
from buckthornstage.platform import operator_config

DEEP = b"[" * 5_000 + b"]" * 5_000
CONFIG = ("keyed.op", "config")
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
