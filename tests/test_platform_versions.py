"""Active versions and the directory of nodes, with real nodes on loopback."""

import dataclasses
import zlib

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.mesh import followers, versions
from buckthornstage.platform import main as platform_main

CONFIG = ("keyed.op", "config")


BAD_PATH = platform_mesh.path_of("/read/", "safe", service="unknown")


def record(version):
    return platform_mesh.operator_record(version)


def test_an_older_or_unreadable_record_never_replaces_the_version_in_force(tmp_path):
    """Guards against a node that returns to an older version or applies part of an invalid one."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store(version=5)
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.is_ready)
        for payload in (record(4), b"\xff{", platform_mesh.operator_record(7, [BAD_PATH])):
            mesh.store.put(*CONFIG, payload)
        mesh.store.put("keyed.op", "other", b"{}")
        mesh.store.put(*CONFIG, record(6))
        await platform_mesh.until(lambda: started.peers.version == 6)
        versions = [line["version"] for line in mesh.events("in_force")]
        assert versions == [5, 6]
        assert len(mesh.events("record_skipped")) == 2

    loopback.run(main)


def test_a_version_that_is_replaced_or_in_force_already_is_not_decoded(tmp_path):
    """Pattern: config storm with hundreds of routes, most of which a node takes from its peers.

    Guards against wasted processor time: each node decoded each version a second time."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.is_ready)
        decoded = []

        def configuration_of(found):
            decoded.append(found)
            return platform_main.configuration_of(found)

        started.adapter = dataclasses.replace(started.adapter, configuration_of=configuration_of)
        mesh.store.put(*CONFIG, record(2))
        await platform_mesh.until(lambda: started.peers.version == 2)
        # The node pauses now, so its next read returns all of these.
        for version in range(3, 13):
            mesh.store.put(*CONFIG, record(version))
        await platform_mesh.until(lambda: started.peers.version == 12)
        assert [found.value for found in decoded] == [record(2), record(12)]

    loopback.run(main)


def test_a_version_reaches_a_node_that_the_store_turns_away(tmp_path):
    """Guards against a node that reaches its peers but keeps an old version."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store(version=1)
        first = await mesh.start_node("n1")
        cut_off = await mesh.start_node("n2")
        await platform_mesh.until(lambda: first.directory.peers and cut_off.is_ready)
        _ignore_store_configurations(cut_off)
        mesh.store.put(*CONFIG, record(2))
        with trio.fail_after(2):
            while cut_off.peers.version != 2:
                await trio.sleep(0.01)
        assert mesh.events("in_force")[-1]["source"] == first.settings.link_address

    loopback.run(main)


def test_a_version_that_all_peers_lack_does_not_fill_the_link_of_the_node_that_has_it(tmp_path):
    """Pattern: config storm with hundreds of routes on links of 28 Mbit/s.

    Guards against guarumo-mesh-grown quiet-1 (run of e025243): 62 nodes requested the copy of
    0.3 MB from a stopping node at the same time, all its calls waited, and the LOST check
    failed.
    """

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        prefixes = [f"/read/{number}/" for number in range(1_100)]
        paths = [platform_mesh.path_of(prefix, "safe") for prefix in prefixes]
        mesh.store.put(*CONFIG, platform_mesh.operator_record(1, paths))
        await mesh.start_store(version=0)
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.is_ready)
        copies = [started.versions.make_copy(frames.Fetch(0)) for _ in range(62)]
        sent = [copy.configuration for copy in copies if copy.configuration]
        assert 0 < len(sent) <= 10
        link_ms = sum(map(len, sent)) * 8 / 28_000
        assert link_ms < 100
        assert versions.unpack(sent[0]) == started.versions.configuration

    loopback.run(main)


@pytest.mark.parametrize("payload", [b"garbage", zlib.compress(b"\xc1"), zlib.compress(b"x")[:-3]])
def test_a_copy_that_cannot_be_read_has_one_kind_of_error(payload):
    """Guards against invalid bytes of a peer that end the task which fetches versions."""
    with pytest.raises(ValueError):
        versions.unpack(payload)


def _ignore_store_configurations(started):
    """Makes a node ignore all configurations that it reads from the store."""
    started.adapter = dataclasses.replace(started.adapter, configuration_of=lambda found: None)


def test_a_restarted_node_serves_from_its_peers_while_the_store_is_down(tmp_path):
    """Pattern: rolling restart in an outage of the store. Guards against waiting for the store."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store(version=3)
        first = await mesh.start_node("n1", platform_mesh.Target())
        link = platform_mesh.free_address()
        async with mesh.killed_at_exit():
            second = await mesh.start_node("n2", link=link)
            await platform_mesh.until(lambda: second.is_ready and link in first.directory.peers)
        mesh.store.faults.outage_status = 503
        again = await mesh.start_node("n2", link=link)
        await platform_mesh.until(lambda: again.is_ready)
        assert (await platform_mesh.call(again, "/read/1")).status == 200

    loopback.run(main)


@pytest.mark.parametrize("fault", ["lose_answers", "late_writes"])
def test_a_node_becomes_known_although_the_store_loses_its_write(fault, tmp_path):
    """Guards against a node that peers never discover after one lost or late write."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        setattr(mesh.store.faults, fault, 1)
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: mesh.events("entry_written"))
        newest = mesh.store.partition("keyed.nodes").newest
        assert list(newest) == [started.settings.link_address]

    loopback.run(main)


def test_nodes_that_start_together_find_each_other_with_few_reads(tmp_path):
    """Pattern: mass start, then nodes that join. Guards against 32 store calls for each node of
    guarumo-mesh-grown quiet-1 (run c51ef6f5), and against fewer reads at the cost of discovery."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        started = [await mesh.start_node(f"n{number}") for number in range(6)]
        await platform_mesh.until(lambda: all(len(node.directory.peers) == 5 for node in started))
        await platform_mesh.until(
            lambda: all(node.synchronization.stored_entry for node in started)
        )
        await trio.sleep(followers.COALESCE_MS / 1000 + 0.2)
        calls_before = mesh.store.calls_by_topic["keyed.nodes"]
        joined = [await mesh.start_node(f"late-{number}") for number in range(4)]
        all_nodes = started + joined
        await platform_mesh.until(lambda: all(len(node.directory.peers) == 9 for node in all_nodes))
        await trio.sleep(2 * followers.COALESCE_MS / 1000)
        # Each of the four that joined: the whole topic, its own entry, and two reads. Each of the
        # six others: one read that was pending when the first node joined.
        assert mesh.store.calls_by_topic["keyed.nodes"] - calls_before <= 4 * 4 + 6

    loopback.run(main)


def test_a_restarted_node_does_not_write_what_the_store_holds(tmp_path):
    """Pattern: mass restart. Guards against a write, and reads by all nodes, for each restart."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        link = platform_mesh.free_address()
        entry = frames.NodeEntry("n1", "z1", platform_mesh.DESK, link)
        mesh.store.put("keyed.nodes", link, msgspec.msgpack.encode(entry))
        await mesh.start_store()
        started = await mesh.start_node("n1", link=link)
        await platform_mesh.until(lambda: started.synchronization.stored_entry is not None)
        assert started.synchronization.stored_entry.location() == entry
        await trio.sleep(0.1)
        assert not mesh.events("entry_written")
        other = await mesh.start_node("n2", link=platform_mesh.free_address())
        await platform_mesh.until(lambda: other.synchronization.stored_entry is not None)
        assert len(mesh.events("entry_written")) == 1

    loopback.run(main)


def test_a_background_task_that_fails_is_run_again(tmp_path):
    """Guards against a node that ends, or receives no more updates, after one unexpected error."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store(version=1)
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.is_ready)
        started.adapter = dataclasses.replace(started.adapter, configuration_of=None)
        mesh.store.put(*CONFIG, record(2))
        await platform_mesh.until(lambda: mesh.events("internal_error"))
        started.adapter = dataclasses.replace(
            started.adapter, configuration_of=platform_main.configuration_of
        )
        await platform_mesh.until(lambda: started.peers.version == 2)

    loopback.run(main)


def test_foreign_records_in_the_directory_are_skipped(tmp_path):
    """Guards against peers read from records of another writer, or a directory that these block."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put("keyed.nodes", "10.9.9.9:1", b"\xc1garbage")
        mesh.store.put("keyed.nodes", "10.9.9.8:1", msgspec.msgpack.encode(["n", "z", "s", "x:1"]))
        await mesh.start_store()
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.is_ready)
        assert not started.directory.peers
        assert len(mesh.events("foreign_record")) == 2

    loopback.run(main)


def test_a_node_whose_clock_was_set_back_is_heard_after_its_restart(tmp_path):
    """Guards against peers that take the new process for an old one, as its clock was set back."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        first = await mesh.start_node("n1")
        second = await mesh.start_node("n2")
        address = second.settings.link_address
        await platform_mesh.until(lambda: address in first.directory.peers)
        peer = first.directory.peers[address]
        await platform_mesh.until(lambda: peer.heard_ms >= 0)
        known = peer.incarnation
        second.peers.incarnation, second.peers.sequence = known - 60_000, 0
        await platform_mesh.until(lambda: peer.incarnation > known)
        assert second.peers.incarnation > known

    loopback.run(main)
