import msgspec
import pytest

import meshes
from buckthornstage.membership import records, table
from buckthornstage.protocol import messages

ALIVE, SUSPECT, LEAVING, DEAD = records.MemberStatus


def test_late_message_does_not_revive_a_dead_member():
    """A late record of a dead member must be ignored, even after its tombstone has expired."""
    record = records.MemberRecord("n", "z", "r", 5, 3, ALIVE, "a:1", "a:2", "a:3")
    held = table.MemberTable(tombstone_ms=1_000)
    assert held.merge(record, 0)
    assert held.merge(msgspec.structs.replace(record, status=DEAD), 10)
    late = [record, msgspec.structs.replace(record, status=SUSPECT)]
    assert not any(held.merge(one, 20) for one in late)
    assert held.merge(msgspec.structs.replace(record, sequence=4), 30)  # a refutation
    assert held.merge(msgspec.structs.replace(record, sequence=4, status=DEAD), 40)
    held.expire(1_039)
    assert held.get("n").status is DEAD
    held.expire(1_040)
    assert held.get("n") is None
    assert not held.merge(msgspec.structs.replace(record, sequence=4, status=DEAD), 1_041)


def test_tables_with_equal_living_members_have_equal_hashes():
    """Tombstones expire at different times, which must not cause endless synchronisation."""
    first, second = table.MemberTable(1_000), table.MemberTable(1_000)
    for index in range(40):
        record = records.MemberRecord(f"n{index}", "z", "r", 5, 3, ALIVE, "a:1", "a:2", "a:3")
        first.merge(record, 0)
        if index:
            second.merge(record, 0)
    rows = second.rows(range(table.BUCKET_COUNT))
    ahead, behind = first.delta_since(rows, range(table.BUCKET_COUNT))
    assert ([record.node for record in ahead], behind) == (["n0"], [])
    first.merge(msgspec.structs.replace(first.get("n0"), status=DEAD), 0)
    assert first.digest() == second.digest()
    assert first.delta_since(rows, range(table.BUCKET_COUNT)) == ([], [])


@pytest.mark.parametrize("interval_ms", [200, 1_000])
def test_return_of_half_a_zone_does_not_overload_the_log(interval_ms):
    """Nodes that restart together get their state from peers; few of them may read the log."""
    mesh = meshes.start_mesh({"zone-a": 12, "zone-b": 4}, interval_ms)
    restarted = [f"zone-a-{index}" for index in range(6)]
    for node in restarted:
        mesh.kill(node)
    assert mesh.run_until(
        lambda: all(meshes.statuses(mesh, n) == {DEAD} for n in restarted), 15_000
    )
    offset = mesh.log.append(mesh.publisher.routing(0))
    for node in restarted:
        mesh.start(node)
    most = 0
    for _ in range(60):
        mesh.run(100)
        most = max(most, len(meshes.readers(mesh)))
    assert meshes.all_at(mesh, offset) and all(
        meshes.statuses(mesh, n) == {ALIVE} for n in restarted
    )
    assert most <= 2 * mesh.settings["zone-a-0"].log_readers + 3


def test_cut_zone_empties_no_table():
    """Neither side of a partition may drop the members of the other; digests reconcile both."""
    mesh = meshes.start_mesh({"zone-a": 4, "zone-b": 4, "zone-c": 4}, 1_000)
    zone = {node: settings.zone for node, settings in mesh.settings.items()}
    mesh.deliveries = lambda a, b: [] if (zone[a] == "zone-b") != (zone[b] == "zone-b") else [2]
    mesh.reaches_log = lambda node: zone[node] != "zone-b"
    mesh.run(5_000)
    offset = mesh.log.append(mesh.publisher.routing(0))
    mesh.run(40_000)
    for process in mesh.nodes.values():
        found = process.core.members.records.values()
        assert {str(record.status) for record in found} == {"alive"}
    cut = mesh.nodes["zone-b-0"].core.status(mesh.now_ms)
    assert (cut.version, cut.is_ready, cut.is_log_lost, cut.is_zone_cut) == (2, True, True, True)
    mesh.deliveries = mesh.default_deliveries
    assert mesh.run_until(lambda: meshes.all_at(mesh, offset), 6_000) is not None


@pytest.mark.parametrize("lost", [7, 5])
def test_node_that_loses_most_of_its_zone_declares_nobody_dead(lost):
    """A node whose own links fail must keep its routes instead of emptying its table."""
    mesh = meshes.start_mesh({"zone-a": 8}, probe_interval_ms=200)
    unreachable = {f"zone-a-{index}" for index in range(8 - lost, 8)}
    mesh.deliveries = lambda a, b: [] if (a in unreachable) != (b in unreachable) else [1]
    mesh.run(30_000)
    found = mesh.nodes["zone-a-0"].core.members.records
    assert {found[node].status for node in unreachable} <= {ALIVE, SUSPECT}
    mesh.deliveries = mesh.default_deliveries
    assert mesh.run_until(
        lambda: all(meshes.statuses(mesh, n) == {ALIVE} for n in mesh.nodes), 6_000
    )


def test_zone_split_in_halves_heals():
    """Halves that consider each other dead exchange no messages, but must still merge again."""
    mesh = meshes.start_mesh({"zone-a": 9}, seed_count=1)
    mesh.kill("zone-a-0")  # the only seed
    mesh.run(8_000)
    half = {f"zone-a-{index}" for index in range(1, 5)}
    mesh.reaches_log = lambda node: False
    for process in mesh.nodes.values():
        process.core.gossip.contacts.addresses.clear()
    mesh.deliveries = lambda a, b: [] if (a in half) != (b in half) else [1]
    mesh.run(20_000)
    assert mesh.nodes["zone-a-1"].core.members.get("zone-a-7").status is DEAD
    mesh.deliveries = mesh.default_deliveries
    assert mesh.run_until(
        lambda: all(meshes.statuses(mesh, n) == {ALIVE} for n in mesh.nodes), 6_000
    )


def test_nodes_without_a_living_seed_meet_through_the_log():
    """If the VMs of all seeds were replaced, restarted nodes must still find each other."""
    mesh = meshes.start_mesh({"zone-a": 4, "zone-b": 4}, seed_count=2)
    for node in list(mesh.nodes):
        mesh.kill(node)
    survivors = ["zone-a-2", "zone-a-3", "zone-b-1"]
    for node in survivors:
        mesh.start(node)
    mesh.contacts.append(b"not a contact record")
    known = [process.core.members for process in mesh.nodes.values()]
    assert mesh.run_until(lambda: all(set(t.records) == set(survivors) for t in known), 6_000)


def test_paused_node_declares_nobody_dead_after_it_resumes():
    """After a pause, the timers of the node are late, not its peers."""
    mesh = meshes.start_mesh({"zone-a": 4})
    core = mesh.nodes["zone-a-0"].core
    record = core.members.get("zone-a-1")
    core.members.merge(msgspec.structs.replace(record, status=SUSPECT), mesh.now_ms)
    core.on_tick(mesh.now_ms)
    mesh.deliveries = lambda sender, receiver: [] if receiver == "zone-a-0" else [1]
    assert mesh.run_until(lambda: core.detector.probe is not None, 2_000) is not None
    mesh.pause("zone-a-0")
    mesh.run(60_000)
    for _ in range(3):
        core.on_tick(mesh.now_ms)  # before it processes the queued messages
    found = {node for node, r in core.members.records.items() if r.status is not ALIVE}
    assert found <= {"zone-a-1"} and core.members.get("zone-a-1").status is not DEAD
    mesh.deliveries = mesh.default_deliveries
    mesh.resume("zone-a-0")
    assert mesh.run_until(
        lambda: all(meshes.statuses(mesh, n) == {ALIVE} for n in mesh.nodes), 6_000
    )


def test_message_from_a_member_considered_dead_is_answered_with_its_record():
    """Only the member itself can refute its death, so it must be notified."""
    mesh = meshes.start_mesh({"zone-a": 3})
    first, second = (mesh.nodes[f"zone-a-{index}"].core for index in (0, 1))
    dead = msgspec.structs.replace(first.members.get("zone-a-1"), status=DEAD)
    first.members.merge(dead, mesh.now_ms)
    found = first.on_envelope(meshes.envelope(mesh, "zone-a-1", messages.Ping(1)), mesh.now_ms)
    [notice] = meshes.sent(found, messages.MemberDelta)
    refuted = second.on_envelope(meshes.envelope(mesh, "zone-a-0", notice.message), mesh.now_ms)
    for push in meshes.sent(refuted, messages.MemberDelta):
        first.on_envelope(meshes.envelope(mesh, "zone-a-1", push.message), mesh.now_ms)
    assert first.members.get("zone-a-1").status is ALIVE


@pytest.mark.parametrize("is_node", [True, False])
def test_leaving_is_known_everywhere_within_three_seconds(is_node):
    """A leaving target must get no new calls, regardless of the gossip interval."""
    mesh = meshes.start_mesh({"zone-a": 12, "zone-b": 12, "zone-c": 12}, 1_000)
    ranked = meshes.ranked(mesh, "zone-a-0")
    node = ranked[-1]  # the last to become a log reader
    if is_node:
        mesh.leave(node)
    else:
        mesh.announce(node, records.TargetStatus.LEAVING)

    def is_known():
        found = [process.core.members.get(node) for process in mesh.nodes.values()]
        if is_node:
            return all(record.status is LEAVING for record in found)
        return all(record.targets[0].status is records.TargetStatus.LEAVING for record in found)

    assert mesh.run_until(is_known, 3_000) is not None


def test_many_leaving_nodes_are_known_before_the_next_gossip_interval():
    """Draining a rack exceeds the push limit, which must not delay leaving records."""
    mesh = meshes.start_mesh({"zone-a": 30, "zone-b": 10}, 1_000)
    leaving = [f"zone-a-{index}" for index in range(25)]
    for node in leaving:
        mesh.leave(node)
    tables = [process.core.members for process in mesh.nodes.values()]
    assert mesh.run_until(
        lambda: all(found.get(node).status is LEAVING for found in tables for node in leaving),
        900,
    )


def test_expired_announcement_removes_the_target():
    """A backend server that died without deregistering must not stay in the tables."""
    mesh = meshes.start_mesh({"zone-a": 3})
    mesh.announce("zone-a-1", records.TargetStatus.READY)
    mesh.announce = lambda node: None  # all backend servers stop announcing
    mesh.run(1_100)
    assert mesh.nodes["zone-a-0"].core.members.get("zone-a-1").targets
    mesh.run(4_000)
    assert not mesh.nodes["zone-a-0"].core.members.get("zone-a-1").targets


def test_only_log_readers_talk_to_other_zones():
    """Cross-zone links are costly; their use must not grow with the number of nodes."""
    mesh = meshes.start_mesh({"zone-a": 8, "zone-b": 8}, 1_000)
    mesh.run(5_000)
    pairs = set()

    def deliveries(sender, receiver):
        if mesh.settings[sender].zone != mesh.settings[receiver].zone:
            pairs.update((sender, receiver))
        return mesh.default_deliveries(sender, receiver)

    mesh.deliveries = deliveries
    mesh.log.append(mesh.publisher.routing(0))
    mesh.leave("zone-a-3")
    mesh.run(20_000)
    ranked = [*meshes.ranked(mesh, "zone-a-0")[:3], *meshes.ranked(mesh, "zone-b-0")[:2]]
    assert pairs and pairs <= set(ranked)


def test_higher_incarnation_of_an_earlier_process_is_overridden():
    """A VM whose clock was set back must not be mistaken for its dead predecessor forever."""
    mesh = meshes.start_mesh({"zone-a": 3})
    future = mesh.clock.wall_ms() + 10_000_000
    for process in mesh.nodes.values():
        record = process.core.members.get("zone-a-0")
        later = msgspec.structs.replace(record, incarnation=future, sequence=9, status=DEAD)
        process.core.members.merge(later, mesh.now_ms)
    mesh.start("zone-a-0")
    assert mesh.run_until(lambda: meshes.statuses(mesh, "zone-a-0") == {ALIVE}, 3_000) is not None
    assert mesh.nodes["zone-a-0"].core.incarnation == future + 1
