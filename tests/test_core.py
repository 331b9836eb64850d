import msgspec
import pytest

import meshes
from buckthornstage.bench import control_mesh
from buckthornstage.document import state
from buckthornstage.history import batches, events
from buckthornstage.protocol import codec, effects, messages


@pytest.mark.parametrize("interval_ms", [200, 1_000])
@pytest.mark.parametrize("is_paused", [True, False])
def test_frozen_log_readers_are_replaced_by_rank_and_take_over_again(interval_ms, is_paused):
    """Guards against a zone cut off by two frozen readers, and against every node taking over.

    Readers that only lost the log still respond to probes, so they are not suspected.
    """
    mesh = meshes.start_mesh({"zone-a": 8}, interval_ms)
    ranked = meshes.ranked(mesh, "zone-a-0")
    assert mesh.run_until(lambda: meshes.readers(mesh) == sorted(ranked[:2]), 6_000) is not None
    mesh.run(1_000)  # lets the reads of temporary readers end
    for node in ranked[:2] if is_paused else ():
        mesh.pause(node)
    mesh.reaches_log = lambda node: node not in ranked[:2]
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: meshes.all_at(mesh, offset), 2_500) is not None
    mesh.run(1_500)
    assert set(meshes.readers(mesh)) - set(ranked[:2]) <= set(ranked[2:5])
    mesh.reaches_log = lambda node: True
    for node in ranked[:2]:
        mesh.resume(node)
    assert mesh.run_until(lambda: set(meshes.readers(mesh)) == set(ranked[:2]), 6_000) is not None


@pytest.mark.parametrize("wrong", [{"base_version": 1}, {"state_digest": "0" * 32}])
def test_delta_with_wrong_base_or_digest_is_refused_for_a_full_copy(wrong):
    """Guards against a delta on another base, which gives a document that nobody published."""
    mesh = meshes.start_mesh({"zone-a": 2})
    mesh.log.append(mesh.publisher.routing(0))
    sender, receiver = (mesh.nodes[f"zone-a-{index}"].core for index in (0, 1))
    sender.on_log_batch(mesh.log.read(1), mesh.now_ms)
    [push] = meshes.sent(sender.gossip.push_version(mesh.now_ms), messages.ConfigDelta) or [None]
    assert push is None  # on_log_batch has already pushed this version; each is pushed once
    delta = sender.gossip.config._update_for(2)
    damaged = msgspec.structs.replace(delta, **wrong)
    result = receiver.on_envelope(meshes.envelope(mesh, "zone-a-0", damaged), mesh.now_ms)
    assert receiver.document.version == 2
    [request] = meshes.sent(result, messages.ConfigRequest)
    response = sender.on_envelope(meshes.envelope(mesh, "zone-a-1", request.message), mesh.now_ms)
    [full] = meshes.sent(response, messages.ConfigFull)
    torn = msgspec.structs.replace(full.message, state_digest="0" * 32)
    receiver.on_envelope(meshes.envelope(mesh, "zone-a-0", torn), mesh.now_ms)
    assert receiver.document.version == 2
    receiver.on_envelope(meshes.envelope(mesh, "zone-a-0", full.message), mesh.now_ms)
    assert receiver.document.version == 3


def test_other_state_for_the_same_version_is_reported_and_not_taken():
    """Two states for one version mean a bug or tampering; the node must keep its own."""
    mesh = meshes.start_mesh({"zone-a": 2})
    other = msgspec.structs.replace(mesh.nodes["zone-a-0"].core.document, rules=2)
    full = messages.ConfigFull(other, state.digest(other))
    delta = messages.ConfigDelta(1, 2, 2, full.state_digest, {}, 2, ())
    digest = mesh.nodes["zone-a-1"].core.gossip.digest(mesh.now_ms)
    digest = msgspec.structs.replace(digest, state_digest=full.state_digest)
    for node, message in (("zone-b-0", full), ("zone-b-1", delta), ("zone-b-2", digest)):
        held = mesh.nodes["zone-a-0"].core
        envelope = meshes.envelope(mesh, "zone-a-1", message, sender=node)
        result = held.on_envelope(envelope, mesh.now_ms)
        kinds = [effect.kind for effect in result if isinstance(effect, effects.Emit)]
        assert kinds == [events.EventKind.STATE_DIVERGED]
        assert held.document.rules == held.fold.state.rules == 1


def test_late_copy_of_an_older_version_changes_nothing():
    """Guards against a delayed message that rolls a proxy back, also if the fold accepts it."""
    mesh = meshes.start_mesh({"zone-a": 2})
    core = mesh.nodes["zone-a-0"].core
    old = core.document
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: meshes.all_at(mesh, offset), 1_000) is not None
    full = messages.ConfigFull(old, state.digest(old))
    result = core.on_envelope(meshes.envelope(mesh, "zone-a-1", full), mesh.now_ms)
    assert not any(isinstance(effect, effects.Activate) for effect in result)
    assert core.fold.state.version == offset
    core.fold.state = old
    result = core.on_tick(mesh.now_ms)
    assert not any(isinstance(effect, effects.Activate) for effect in result)
    assert core.document.version == offset


def test_zone_that_alone_lost_the_log_reports_it():
    """Log reads in other zones must not hide an outage, but their versions are still adopted."""
    mesh = meshes.start_mesh({"zone-a": 4, "zone-b": 4})
    mesh.reaches_log = lambda node: mesh.settings[node].zone == "zone-a"
    mesh.run(8_000)
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: meshes.all_at(mesh, offset), 1_000) is not None
    is_lost = {n: p.core.status(mesh.now_ms).is_log_lost for n, p in mesh.nodes.items()}
    assert is_lost == {node: mesh.settings[node].zone == "zone-b" for node in mesh.nodes}


def test_each_node_pushes_a_version_once():
    """Guards against a push storm: each node receives several copies and must push only once."""
    mesh = meshes.start_mesh({"zone-a": 12, "zone-b": 12}, 1_000)
    before = mesh.kind_bytes.get("ConfigDelta", 0)
    offset = mesh.log.append(mesh.publisher.routing(0))
    assert mesh.run_until(lambda: meshes.all_at(mesh, offset), 1_000) is not None
    delta = mesh.nodes["zone-a-0"].core.gossip.config._update_for(2)
    size = len(codec.encode(meshes.envelope(mesh, "zone-a-10", delta), control_mesh.SECRET))
    mesh.run(3_000)
    pushes = (mesh.kind_bytes["ConfigDelta"] - before) / size
    assert pushes <= 24 * 4 + 2 * 2


def test_restart_without_log_waits_for_the_greatest_version_of_its_peers():
    """Guards against a restarted node that serves an old version and rolls its proxies back."""
    mesh = meshes.start_mesh({"zone-a": 4})
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
    assert mesh.run_until(lambda: meshes.all_at(mesh, 2), 2_000) is not None


def test_answers_to_an_earlier_process_do_not_make_a_node_ready():
    """A late reply to the previous process does not cover versions published since."""
    mesh = meshes.start_mesh({"zone-a": 3})
    old = mesh.nodes["zone-a-1"].core.gossip.digest(mesh.now_ms, is_reply=True, nonce=77)
    mesh.reaches_log = lambda node: False
    mesh.start("zone-a-0")
    core = mesh.nodes["zone-a-0"].core
    full = messages.ConfigFull(mesh.nodes["zone-a-1"].core.document, old.state_digest)
    core.on_envelope(meshes.envelope(mesh, "zone-a-1", full), mesh.now_ms)
    core.on_envelope(meshes.envelope(mesh, "zone-a-1", old), mesh.now_ms)
    mesh.deliveries = lambda sender, receiver: []
    mesh.run(10_000)
    assert core.fold.state.version == 2 and not core.is_ready


def test_crash_report_reaches_every_node_once():
    """Each node must count a request that crashes targets exactly once per report."""
    mesh = meshes.start_mesh({"zone-a": 6, "zone-b": 6})
    reports = []
    for node, process in mesh.nodes.items():
        handle = process.core.on_envelope

        def on_envelope(envelope, now_ms, node=node, handle=handle):
            result = handle(envelope, now_ms)
            reports.extend(node for effect in result if isinstance(effect, effects.CrashReported))
            return result

        process.core.on_envelope = on_envelope
    report = messages.CrashReport("f" * 32, "10.0.0.9:1", 3)
    origin = mesh.nodes["zone-a-1"]
    mesh._carry_out("zone-a-1", origin, lambda core: core.report_crash(report, mesh.now_ms))
    mesh.run(1_000)
    assert sorted(reports) == sorted(set(mesh.nodes) - {"zone-a-1"})


def test_events_reach_the_log_through_a_reader_and_are_acknowledged():
    """Guards against events lost in a log outage: they are buffered and written afterwards."""
    mesh = meshes.start_mesh({"zone-a": 4})
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
