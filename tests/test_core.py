import msgspec
import pytest

from buckthornstage.bench import control_mesh
from buckthornstage.document import state
from buckthornstage.history import batches, events
from buckthornstage.membership import records, table
from buckthornstage.protocol import codec, effects, messages

ALIVE, SUSPECT, LEAVING, DEAD = records.MemberStatus


def _mesh(zones, interval_ms=200, **overrides):
    mesh = control_mesh.Mesh(1, zones, gossip_interval_ms=interval_ms, services=2, **overrides)
    mesh.log.append(mesh.publisher.teams())
    mesh.log.append(mesh.publisher.backends(0))
    for node in mesh.settings:
        mesh.start(node)
    assert mesh.run_until(lambda: _all_at(mesh, 2), 5_000) is not None
    assert mesh.run_until(lambda: _all_know(mesh), 5_000) is not None
    return mesh


def _all_at(mesh, version):
    running = [process for process in mesh.nodes.values() if not process.is_paused]
    return all(process.core.document.version == version for process in running)


def _all_know(mesh):
    tables = (process.core.members for process in mesh.nodes.values())
    return all(len(found.records) == len(mesh.settings) for found in tables)


def _ranked(mesh, node):
    return mesh.nodes[node].core.gossip.topology.by_rank


def _statuses(mesh, node):
    return {p.core.members.get(node).status for n, p in mesh.nodes.items() if n != node}


def _readers(mesh):
    running = ((n, p) for n, p in mesh.nodes.items() if not p.is_paused)
    return [node for node, p in running if p.core.should_read_log(mesh.now_ms)]


def _envelope(mesh, node, message, **changes):
    settings = mesh.settings[node]
    incarnation = mesh.nodes[node].core.incarnation if node in mesh.nodes else 1
    found = messages.Envelope(
        node, incarnation, settings.zone, settings.control_address, 0, 0, message
    )
    return msgspec.structs.replace(found, **changes)


def _sent(found, kind):
    sends = (effect for effect in found if isinstance(effect, effects.Send))
    return [send for send in sends if isinstance(send.message, kind)]


@pytest.mark.parametrize("interval_ms", [200, 1_000])
@pytest.mark.parametrize("is_paused", [True, False])
def test_frozen_log_readers_are_replaced_by_rank_and_take_over_again(interval_ms, is_paused):
    """Two frozen readers must not cut a zone off, and not every node may begin to read.

    Readers that only lost the log still answer probes, so nobody suspects them.
    """
    mesh = _mesh({"zone-a": 8}, interval_ms)
    ranked = _ranked(mesh, "zone-a-0")
    for node in ranked[:2] if is_paused else ():
        mesh.pause(node)
    mesh.reaches_log = lambda node: node not in ranked[:2]
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: _all_at(mesh, offset), 2_500) is not None
    mesh.run(1_500)
    assert set(_readers(mesh)) - set(ranked[:2]) <= set(ranked[2:5])
    mesh.reaches_log = lambda node: True
    for node in ranked[:2]:
        mesh.resume(node)
    assert mesh.run_until(lambda: set(_readers(mesh)) == set(ranked[:2]), 6_000) is not None


def test_late_message_does_not_revive_a_dead_member():
    """An old record that arrives after the death must change nothing, also after the tombstone."""
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
    """Tombstones expire at different times and must not cause exchanges for ever."""
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
def test_return_of_half_a_zone_brings_no_storm(interval_ms):
    """A herd gets its state from peers; the number of log readers must stay bounded."""
    mesh = _mesh({"zone-a": 12, "zone-b": 4}, interval_ms)
    herd = [f"zone-a-{index}" for index in range(6)]
    for node in herd:
        mesh.kill(node)
    assert mesh.run_until(lambda: all(_statuses(mesh, n) == {DEAD} for n in herd), 15_000)
    offset = mesh.log.append(mesh.publisher.routing(0))
    for node in herd:
        mesh.start(node)
    most = 0
    for _ in range(60):
        mesh.run(100)
        most = max(most, len(_readers(mesh)))
    assert _all_at(mesh, offset) and all(_statuses(mesh, n) == {ALIVE} for n in herd)
    assert most <= 2 * mesh.settings["zone-a-0"].log_readers + 3


def test_cut_zone_empties_no_table():
    """Neither side of a cut may drop the other side's members, and both return by digest."""
    mesh = _mesh({"zone-a": 4, "zone-b": 4, "zone-c": 4}, 1_000)
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
    assert mesh.run_until(lambda: _all_at(mesh, offset), 6_000) is not None


@pytest.mark.parametrize("lost", [7, 5])
def test_node_that_loses_most_of_its_zone_declares_nobody_dead(lost):
    """A node whose own links fail must keep its routes instead of emptying its table."""
    mesh = _mesh({"zone-a": 8}, probe_interval_ms=200)
    unreachable = {f"zone-a-{index}" for index in range(8 - lost, 8)}
    mesh.deliveries = lambda a, b: [] if (a in unreachable) != (b in unreachable) else [1]
    mesh.run(30_000)
    found = mesh.nodes["zone-a-0"].core.members.records
    assert {found[node].status for node in unreachable} <= {ALIVE, SUSPECT}
    mesh.deliveries = mesh.default_deliveries
    assert mesh.run_until(lambda: all(_statuses(mesh, n) == {ALIVE} for n in mesh.nodes), 6_000)


def test_zone_split_in_halves_heals():
    """Halves that hold each other for dead send each other nothing, and still must reunite."""
    mesh = _mesh({"zone-a": 9}, seed_count=1)
    mesh.kill("zone-a-0")  # the only seed
    mesh.run(8_000)
    half = {f"zone-a-{index}" for index in range(1, 5)}
    mesh.reaches_log = lambda node: False
    mesh.deliveries = lambda a, b: [] if (a in half) != (b in half) else [1]
    mesh.run(20_000)
    assert mesh.nodes["zone-a-1"].core.members.get("zone-a-7").status is DEAD
    mesh.deliveries = mesh.default_deliveries
    assert mesh.run_until(lambda: all(_statuses(mesh, n) == {ALIVE} for n in mesh.nodes), 6_000)


def test_nodes_without_a_living_seed_meet_through_the_log():
    """When every VM of the seeds was replaced, restarted nodes must still find each other."""
    mesh = _mesh({"zone-a": 4, "zone-b": 4}, seed_count=2)
    for node in list(mesh.nodes):
        mesh.kill(node)
    survivors = ["zone-a-2", "zone-a-3", "zone-b-1"]
    for node in survivors:
        mesh.start(node)
    mesh.contacts.append(b"not a contact record")
    known = [process.core.members for process in mesh.nodes.values()]
    assert mesh.run_until(lambda: all(set(t.records) == set(survivors) for t in known), 6_000)


def test_paused_node_condemns_nobody_after_it_resumes():
    """After a pause the own timers are late, not the peers."""
    mesh = _mesh({"zone-a": 4})
    core = mesh.nodes["zone-a-0"].core
    record = core.members.get("zone-a-1")
    core.members.merge(msgspec.structs.replace(record, status=SUSPECT), mesh.now_ms)
    core.on_tick(mesh.now_ms)
    mesh.pause("zone-a-0")
    mesh.run(60_000)
    core.on_tick(mesh.now_ms)  # before the messages that waited
    found = {str(record.status) for record in core.members.records.values()}
    assert found == {"alive", "suspect"}
    mesh.resume("zone-a-0")
    assert mesh.run_until(lambda: all(_statuses(mesh, n) == {ALIVE} for n in mesh.nodes), 6_000)


def test_message_from_a_member_held_for_dead_is_answered_with_its_record():
    """Only the member itself can refute its death, so it must learn of it."""
    mesh = _mesh({"zone-a": 3})
    first, second = (mesh.nodes[f"zone-a-{index}"].core for index in (0, 1))
    dead = msgspec.structs.replace(first.members.get("zone-a-1"), status=DEAD)
    first.members.merge(dead, mesh.now_ms)
    found = first.on_envelope(_envelope(mesh, "zone-a-1", messages.Ping(1)), mesh.now_ms)
    [told] = _sent(found, messages.MemberDelta)
    refuted = second.on_envelope(_envelope(mesh, "zone-a-0", told.message), mesh.now_ms)
    for push in _sent(refuted, messages.MemberDelta):
        first.on_envelope(_envelope(mesh, "zone-a-1", push.message), mesh.now_ms)
    assert first.members.get("zone-a-1").status is ALIVE


@pytest.mark.parametrize("wrong", [{"base_version": 1}, {"state_digest": "0" * 32}])
def test_delta_with_wrong_base_or_digest_is_refused_for_a_full_copy(wrong):
    """A delta on another state would make a document that nobody published."""
    mesh = _mesh({"zone-a": 2})
    mesh.log.append(mesh.publisher.routing(0))
    sender, receiver = (mesh.nodes[f"zone-a-{index}"].core for index in (0, 1))
    sender.on_log_batch(mesh.log.read(1), mesh.now_ms)
    [push] = _sent(sender.gossip.push_version(mesh.now_ms), messages.ConfigDelta) or [None]
    assert push is None  # on_log_batch has pushed already: once per version
    delta = sender.gossip.config._copy_for(2)
    damaged = msgspec.structs.replace(delta, **wrong)
    found = receiver.on_envelope(_envelope(mesh, "zone-a-0", damaged), mesh.now_ms)
    assert receiver.document.version == 2
    [request] = _sent(found, messages.ConfigRequest)
    answer = sender.on_envelope(_envelope(mesh, "zone-a-1", request.message), mesh.now_ms)
    [full] = _sent(answer, messages.ConfigFull)
    receiver.on_envelope(_envelope(mesh, "zone-a-0", full.message), mesh.now_ms)
    assert receiver.document.version == 3


def test_other_state_for_the_same_version_is_reported_and_not_taken():
    """Two states for one version mean a fault or tampering; the node must not switch."""
    mesh = _mesh({"zone-a": 2})
    other = msgspec.structs.replace(mesh.nodes["zone-a-0"].core.document, rules=2)
    full = messages.ConfigFull(other, state.digest(other))
    delta = messages.ConfigDelta(1, 2, 2, full.state_digest, {}, 2, ())
    digest = mesh.nodes["zone-a-1"].core.gossip.digest(mesh.now_ms)
    digest = msgspec.structs.replace(digest, state_digest=full.state_digest)
    for node, message in (("zone-b-0", full), ("zone-b-1", delta), ("zone-b-2", digest)):
        held = mesh.nodes["zone-a-0"].core
        envelope = _envelope(mesh, "zone-a-1", message, sender=node)
        found = held.on_envelope(envelope, mesh.now_ms)
        kinds = [effect.kind for effect in found if isinstance(effect, effects.Emit)]
        assert kinds == [events.EventKind.STATE_DIVERGED]
        assert held.document.rules == held.fold.state.rules == 1


def test_late_copy_of_an_older_version_changes_nothing():
    """A delayed message must not move a proxy back, whatever the fold would do with it."""
    mesh = _mesh({"zone-a": 2})
    core = mesh.nodes["zone-a-0"].core
    old = core.document
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: _all_at(mesh, offset), 1_000) is not None
    full = messages.ConfigFull(old, state.digest(old))
    found = core.on_envelope(_envelope(mesh, "zone-a-1", full), mesh.now_ms)
    assert not any(isinstance(effect, effects.Activate) for effect in found)
    assert core.fold.state.version == offset
    core.fold.state = old
    found = core.on_tick(mesh.now_ms)
    assert not any(isinstance(effect, effects.Activate) for effect in found)
    assert core.document.version == offset


@pytest.mark.parametrize("is_node", [True, False])
def test_leaving_is_known_everywhere_within_three_seconds(is_node):
    """A leaving target must get no new work, whatever the gossip interval is."""
    mesh = _mesh({"zone-a": 12, "zone-b": 12, "zone-c": 12}, 1_000)
    ranked = _ranked(mesh, "zone-a-0")
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


def test_lapsed_announcement_removes_the_target():
    """A backend server that died without a word must not stay in the tables."""
    mesh = _mesh({"zone-a": 3})
    mesh.announce("zone-a-1", records.TargetStatus.READY)
    mesh.announce = lambda node: None  # the backend server of every node goes silent
    mesh.run(1_100)
    assert mesh.nodes["zone-a-0"].core.members.get("zone-a-1").targets
    mesh.run(4_000)
    assert not mesh.nodes["zone-a-0"].core.members.get("zone-a-1").targets


def test_only_log_readers_talk_to_other_zones():
    """Links between zones are costly; their use must not grow with the number of nodes."""
    mesh = _mesh({"zone-a": 8, "zone-b": 8}, 1_000)
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
    ranked = [*_ranked(mesh, "zone-a-0")[:3], *_ranked(mesh, "zone-b-0")[:2]]
    assert pairs and pairs <= set(ranked)


def test_each_node_pushes_a_version_once():
    """Several copies of a push arrive; a push for every copy would be a storm."""
    mesh = _mesh({"zone-a": 12, "zone-b": 12}, 1_000)
    before = mesh.kind_bytes.get("ConfigDelta", 0)
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: _all_at(mesh, offset), 1_000) is not None
    delta = mesh.nodes["zone-a-0"].core.gossip.config._copy_for(2)
    size = len(codec.encode(_envelope(mesh, "zone-a-10", delta), control_mesh.SECRET))
    mesh.run(3_000)
    pushes = (mesh.kind_bytes["ConfigDelta"] - before) / size
    assert pushes <= 24 * 4 + 2 * 2


def test_restart_without_log_waits_for_the_greatest_version_of_its_peers():
    """A restarted node that served an old copy would move its proxies back."""
    mesh = _mesh({"zone-a": 4})
    mesh.reaches_log = lambda node: False
    mesh.start("zone-a-0")
    mesh.run(1_900)
    assert not mesh.nodes["zone-a-0"].core.is_ready
    assert not mesh.nodes["zone-a-0"].activations
    assert mesh.run_until(lambda: mesh.nodes["zone-a-0"].core.is_ready, 600) is not None
    assert mesh.nodes["zone-a-0"].core.document.version == 2
    for node in list(mesh.nodes):
        mesh.kill(node)
    mesh.start("zone-a-1")
    mesh.start("zone-a-2")
    mesh.run(20_000)
    assert not any(process.core.is_ready for process in mesh.nodes.values())
    mesh.reaches_log = lambda node: True
    assert mesh.run_until(lambda: _all_at(mesh, 2), 2_000) is not None


def test_answers_to_an_earlier_process_do_not_make_a_node_ready():
    """A late reply to the predecessor says nothing about versions published since."""
    mesh = _mesh({"zone-a": 3})
    old = mesh.nodes["zone-a-1"].core.gossip.digest(mesh.now_ms, is_reply=True, nonce=77)
    mesh.reaches_log = lambda node: False
    mesh.start("zone-a-0")
    core = mesh.nodes["zone-a-0"].core
    full = messages.ConfigFull(mesh.nodes["zone-a-1"].core.document, old.state_digest)
    core.on_envelope(_envelope(mesh, "zone-a-1", full), mesh.now_ms)
    core.on_envelope(_envelope(mesh, "zone-a-1", old), mesh.now_ms)
    mesh.deliveries = lambda sender, receiver: []
    mesh.run(10_000)
    assert core.fold.state.version == 2 and not core.is_ready


def test_greater_incarnation_of_an_earlier_process_is_overtaken():
    """A VM whose clock went back must not be taken for its dead predecessor for ever."""
    mesh = _mesh({"zone-a": 3})
    future = mesh.clock.wall_ms() + 10_000_000
    for process in mesh.nodes.values():
        record = process.core.members.get("zone-a-0")
        later = msgspec.structs.replace(record, incarnation=future, sequence=9, status=DEAD)
        process.core.members.merge(later, mesh.now_ms)
    mesh.start("zone-a-0")
    assert mesh.run_until(lambda: _statuses(mesh, "zone-a-0") == {ALIVE}, 3_000) is not None
    assert mesh.nodes["zone-a-0"].core.incarnation == future + 1


def test_crash_report_reaches_every_node_once():
    """A request that breaks targets must be counted everywhere, and once for each report."""
    mesh = _mesh({"zone-a": 6, "zone-b": 6})
    noted = []
    for node, process in mesh.nodes.items():
        handle = process.core.on_envelope

        def on_envelope(envelope, now_ms, node=node, handle=handle):
            found = handle(envelope, now_ms)
            noted.extend(node for effect in found if isinstance(effect, effects.CrashNoted))
            return found

        process.core.on_envelope = on_envelope
    report = messages.CrashReport("f" * 32, "10.0.0.9:1", 3)
    origin = mesh.nodes["zone-a-1"]
    mesh._carry_out("zone-a-1", origin, lambda core: core.report_crash(report, mesh.now_ms))
    mesh.run(1_000)
    assert sorted(noted) == sorted(set(mesh.nodes) - {"zone-a-1"})


def test_events_reach_the_log_through_a_reader_and_are_acknowledged():
    """Events wait during an outage of the log and are written after it."""
    mesh = _mesh({"zone-a": 4})
    mesh.reaches_log = lambda node: False
    mesh.leave("zone-a-1")
    mesh.run(5_000)
    assert mesh.nodes["zone-a-1"].core.status(0).unacknowledged_events
    mesh.reaches_log = lambda node: True
    cores = [process.core for process in mesh.nodes.values()]
    assert mesh.run_until(lambda: not any(len(c.history.buffer) for c in cores), 10_000)
    written = [batches.decode(payload) for payload in mesh.history.payloads]
    kinds = {(event.node, event.kind) for batch in written for event in batch}
    assert ("zone-a-1", events.EventKind.NODE_LEAVING) in kinds
