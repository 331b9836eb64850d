"""Client of the platform's store, the stand-in store, and the decoding of their records."""

import hypothesis
import pytest
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import client, messages
from buckthornstage.mesh import followers
from buckthornstage.platform import call_headers, operator_config, store_client
from buckthornstage.standins import platform_store

CONFIG = ("keyed.op", "config")


def record(version, *paths):
    return platform_mesh.operator_record(version, paths or platform_mesh.PATHS)


def with_store(test):
    """Runs `test(store, topic)` with a stand-in store and a client topic on it."""

    async def main(nursery):
        store = platform_store.PlatformStore(clocks.Clock())
        address = platform_mesh.free_address()
        await nursery.start(platform_store.serve, store, address)
        await test(store, store_client.StoreClient(address).keyed_topic("keyed.nodes"))

    loopback.run(main)


def test_changes_follow_the_newest_without_a_gap():
    """Guards against a lost change between reading the newest records and reading changes."""

    async def test(store, topic):
        await topic.put("a", b"1")
        await topic.put("b", b"2")
        newest = await topic.newest()
        assert {item.key: item.value for item in newest.records} == {"a": b"1", "b": b"2"}
        await topic.put("a", b"3")
        await topic.put("b", None)
        batch = await topic.changes(newest.next_position, followers.WAIT_MS)
        assert [(item.key, item.value) for item in batch.records] == [("a", b"3"), ("b", None)]
        assert batch.next_position == 4

    with_store(test)


def test_a_large_topic_is_read_in_pages():
    """Guards against a reader that stops after the first page."""

    async def test(store, topic):
        for number in range(1_203):
            store.put("keyed.nodes", f"k{number:05}", b"x")
        newest = await topic.newest()
        assert len({item.key for item in newest.records}) == 1_203

    with_store(test)


def test_trimmed_history_is_reported_as_such():
    """Guards against a reader that waits forever at an offset that has been trimmed."""

    async def test(store, topic):
        for _ in range(3):
            await topic.put("a", b"1")
        store.trim_topic("keyed.nodes")
        with pytest.raises(errors.TrimmedError):
            await topic.changes(1, followers.WAIT_MS)
        assert (await topic.newest()).next_position == 3

    with_store(test)


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_write_is_known_not_to_be_done(status):
    """Guards against reporting a refused write as possibly done."""

    async def test(store, topic):
        store.faults.outage_status = status
        with pytest.raises(errors.LogUnavailableError):
            await topic.put("a", b"1")
        assert store.partition("keyed.nodes").end == 0

    with_store(test)


def test_a_lost_answer_is_not_taken_for_a_refusal():
    """Guards against reporting a completed write as not done."""

    async def test(store, topic):
        store.faults.lose_answers = 1
        with pytest.raises(errors.LogResponseLostError):
            await topic.put("a", b"1")
        assert store.partition("keyed.nodes").end == 1

    with_store(test)


@hypothesis.given(st.binary(max_size=300))
def test_any_bytes_as_configuration_give_one_kind_of_error(payload):
    """Guards against an invalid record that crashes the process."""
    with pytest.raises(errors.DocumentError):
        operator_config.decode(payload)


def changed_record(**changes):
    """A valid record with fields of its only route changed, or removed if None."""
    path = {**platform_mesh.path_of("/read/", "safe"), **changes}
    return record(1, {name: value for name, value in path.items() if value is not None})


@pytest.mark.parametrize(
    "payload",
    [
        record(1)[:-7],
        changed_record(service="unknown"),
        changed_record(timeout_s=None),
        changed_record(max_attempts=None),
        changed_record(max_attempts="2"),
        changed_record(timeout_s=-1),
        changed_record(kind="new_kind"),
        changed_record(path_prefix="read/"),
        changed_record(service=None),
        record(1).replace(b"00000001", b"version1"),
    ],
    ids=(
        "cut_short",
        "unknown_service",
        "no_timeout",
        "no_attempts",
        "attempts_as_text",
        "below_zero",
        "unknown_kind",
        "prefix_without_slash",
        "no_service",
        "version_is_no_number",
    ),
)
def test_incomplete_configurations_are_refused_whole(payload):
    """Guards against activating a version that can only be served in part."""
    assert operator_config.decode(record(1)).version == 1
    with pytest.raises(errors.DocumentError):
        operator_config.decode(payload)


@pytest.mark.parametrize(
    ("header", "expected_ms"),
    [("1200", 1_200), ("", None), ("-5", None), ("9" * 40, None), ("x", None)],
)
def test_only_a_number_is_taken_as_the_time_left(header, expected_ms):
    """Guards against a call that fails because of an invalid optional header."""
    request = messages.Request("GET", "/", ((b"timeout-remaining", header.encode()),))
    assert call_headers.read_head(request).remaining_ms == expected_ms


def test_a_stand_in_refuses_fenced_and_skipped_appends():
    """Guards against a stand-in that is more lenient than the platform's store."""

    async def main(nursery):
        store = platform_store.PlatformStore(clocks.Clock())
        address = await loopback.listen(nursery, store.handle)

        async def append(query):
            target = f"/buckthornstage/log-append?topic=t&part=0&{query}"
            body = b"\x00\x00\x00\x01x"
            return await client.fetch(address, messages.Request("POST", target, body=body))

        first = await append("producer=p&epoch=2&sequence=5")
        assert first.status == 200
        assert (await append("producer=p&epoch=2&sequence=5")).body == first.body
        assert (await append("producer=p&epoch=1&sequence=6")).status == 409
        assert b"seq" in (await append("producer=p&epoch=2&sequence=9")).body
        assert (await append("at=7")).status == 412
        assert (await append("at=1")).status == 200

    loopback.run(main)
