"""Failures of real processes. Each test has a time limit and waits for conditions."""

import pathlib
import shutil
import signal

import pytest
import trio
import yaml

from buckthornstage import errors
from buckthornstage.demo import checks, editing, loads, processes, scenario, session
from buckthornstage.dissemination import readers
from buckthornstage.document import schema

DEPLOYMENTS = pathlib.Path(__file__).parent.parent / "deployments"
# Small enough for a shared machine; two nodes remain when half of a zone is killed.
ZONES = {zone: {"order-desk": 3, "artwork-library": 1} for zone in ("cr-central-a", "cr-central-b")}
TEST_TIMEOUT_S = 120
WAIT_MS = 30_000
ZONE = "cr-central-a"
RETAINED_RECORDS = 18  # of each stream


def _run(tmp_path, test, overrides=None, log_arguments=()):
    """Runs `test(mesh, editor)` on a mesh of two zones."""
    directory = tmp_path / "deployment"
    shutil.copytree(DEPLOYMENTS / "guarumo", directory)
    topology = yaml.safe_load((directory / "topology.yaml").read_text())
    topology.update(zones=ZONES, gossip_interval_ms=200)
    (directory / "topology.yaml").write_text(yaml.safe_dump(topology))

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            ready = session.ready_mesh(directory, tmp_path / "run", overrides, log_arguments)
            async with ready as (mesh, editor):
                await test(mesh, editor)

    trio.run(main)


def _limits_section(mesh, queue_length):
    body = mesh.plan.section_body(schema.SectionName.LIMITS)
    return editing.with_queue_length(body, queue_length)


def _nodes_of(mesh, zone):
    return [node for node in mesh.running_nodes if node.zone == zone]


async def _wait_for_version(mesh, nodes, version):
    names = {node.node for node in nodes}

    async def in_force():
        versions = await mesh.versions()
        return all(versions[name] >= version for name in names)

    await processes.wait_until(in_force, WAIT_MS, f"version {version} on {sorted(names)}")


async def _watch_versions(mesh, seen):
    """Appends the versions that each node reports to its list in `seen`."""
    while True:
        for node, version in (await mesh.versions()).items():
            if version >= 0:
                seen.setdefault(node, []).append(version)
        await trio.sleep(0.05)


async def _assert_reads_succeed(mesh):
    calls = mesh.plan.topology.calls
    for node in mesh.running_nodes:

        async def responds(node=node):
            response = await scenario.call(node.call_address, "GET", calls.read)
            return response is not None and response.status == 200

        await processes.wait_until(responds, WAIT_MS, f"{node.node} to respond to reads")


def test_rest_of_a_zone_serves_and_converges_after_half_of_it_is_killed(tmp_path):
    async def test(mesh, editor):
        await mesh.kill_vm(*_nodes_of(mesh, ZONE)[:2])
        await editor.publish(schema.SectionName.LIMITS, _limits_section(mesh, 20))
        await _assert_reads_succeed(mesh)
        survivor = _nodes_of(mesh, ZONE)[0]

        async def reports_killed_nodes_dead():
            members = await mesh.admin(survivor, "/members") or []
            dead = {member["node"] for member in members if member["status"] == "dead"}
            return dead >= mesh.stopped_nodes

        await processes.wait_until(
            reports_killed_nodes_dead, WAIT_MS, "the killed nodes to be reported dead"
        )
        for name in sorted(mesh.stopped_nodes):
            mesh.restart_vm(mesh.plan.node(name))
        await mesh.wait_ready(mesh.plan.nodes)
        await editor.publish(schema.SectionName.LIMITS, _limits_section(mesh, 21))

    _run(tmp_path, test)


def test_frozen_log_readers_are_replaced_and_come_back_without_reverting_anybody(tmp_path):
    async def test(mesh, editor):
        names = [node.node for node in _nodes_of(mesh, ZONE)]
        frozen = set(readers.ordered(ZONE, names)[:2])
        running = [node for node in mesh.running_nodes if node.node not in frozen]
        seen = {}
        async with trio.open_nursery() as nursery:
            for name in frozen:
                mesh.processes.signal(name, signal.SIGSTOP)
            offset = await editor.append(schema.SectionName.LIMITS, _limits_section(mesh, 20))
            await _wait_for_version(mesh, running, offset)
            nursery.start_soon(_watch_versions, mesh, seen)
            for name in frozen:
                mesh.processes.signal(name, signal.SIGCONT)
            await _wait_for_version(mesh, mesh.running_nodes, offset)
            last = await editor.publish(schema.SectionName.LIMITS, _limits_section(mesh, 21))
            await _wait_for_version(mesh, mesh.running_nodes, last.version)
            nursery.cancel_scope.cancel()
        assert seen and all(versions == sorted(versions) for versions in seen.values())

    _run(tmp_path, test)


def test_calls_continue_while_the_log_is_down_and_publishes_work_afterwards(tmp_path):
    async def test(mesh, editor):
        before = await mesh.versions()
        await mesh.set_log_faults(outage=True)
        with pytest.raises(errors.LogUnavailableError):
            await editor.append(schema.SectionName.LIMITS, _limits_section(mesh, 20))

        async def reports_the_outage():
            status = await mesh.status(mesh.running_nodes[0])
            return status and status["is_log_lost"]

        await processes.wait_until(reports_the_outage, WAIT_MS, "the outage in /status")
        await _assert_reads_succeed(mesh)
        assert await mesh.versions() == before
        # The first append after the outage loses its response; the publish must be applied once.
        await mesh.set_log_faults(outage=False, lose_answers=1)
        convergence = await editor.publish(schema.SectionName.LIMITS, _limits_section(mesh, 20))
        assert set((await mesh.versions()).values()) == {convergence.version}

    _run(tmp_path, test)


def test_keyed_calls_run_at_most_once_over_a_kill_and_an_outage(tmp_path):
    async def test(mesh, editor):
        duration_ms = 9_000
        loads.start(
            mesh,
            "keyed",
            mesh.call_addresses(),
            mesh.plan.topology.calls.keyed,
            rate=20,
            duration_ms=duration_ms,
            method="POST",
            body='{"prints": {n}}',
            key_mode="uuid7",
            repeats=2,
        )

        async def calls_have_run():
            return len(checks.run_record.read(mesh.record_path)) >= 20

        await processes.wait_until(calls_have_run, WAIT_MS, "20 keyed calls to run")
        await mesh.set_log_faults(lose_answers=2)
        await mesh.kill_vm(mesh.running_nodes[0])
        await mesh.set_log_faults(outage=True)
        refused = (await mesh.request(mesh.plan.log_address, "GET", "/record"))["appends_refused"]

        async def claims_are_refused():
            record = await mesh.request(mesh.plan.log_address, "GET", "/record")
            return record["appends_refused"] > refused + 2

        await processes.wait_until(claims_are_refused, WAIT_MS, "claims to be refused by the log")
        await mesh.set_log_faults(outage=False)
        summary = await loads.finish(mesh, "keyed", duration_ms)
        found = checks.check_keys(mesh.record_path, [summary])
        assert found.is_clean, found
        assert found.acknowledged > found.keys // 2, (found, summary["outcomes"])

    _run(tmp_path, test)


def test_version_survives_the_loss_of_every_node_after_the_log_was_trimmed(tmp_path):
    # After the trim only a checkpoint has the first sections. A node that starts from the retained
    # publishes alone refuses them or returns to an empty document.
    async def test(mesh, editor):
        for number in range(2 * RETAINED_RECORDS):
            last = await editor.publish(
                schema.SectionName.LIMITS, _limits_section(mesh, 20 + number)
            )
        await mesh.kill_vm(*mesh.plan.nodes)
        record = await mesh.request(mesh.plan.log_address, "GET", "/record")
        assert record["streams"]["config"]["earliest"] > len(scenario.SECTIONS_IN_ORDER)
        for node in mesh.plan.nodes:
            mesh.restart_vm(node)
        await mesh.wait_ready(mesh.plan.nodes)
        assert set((await mesh.versions()).values()) == {last.version}
        await _assert_reads_succeed(mesh)
        await editor.publish(schema.SectionName.LIMITS, _limits_section(mesh, 10))

    arguments = (f"--retain_records={RETAINED_RECORDS}",)
    _run(tmp_path, test, {"checkpoint_records": RETAINED_RECORDS // 3}, arguments)


def test_nodes_without_any_seed_meet_through_the_log(tmp_path):
    # No VM is reserved for control, so at some time none of the seed addresses may respond.
    async def test(mesh, editor):
        names = {node.node for node in mesh.plan.nodes}

        async def all_members_known():
            for node in mesh.running_nodes:
                members = await mesh.admin(node, "/members") or []
                if {member["node"] for member in members} != names:
                    return False
            return True

        await processes.wait_until(all_members_known, WAIT_MS, "every node to know every other")
        await editor.publish(schema.SectionName.LIMITS, _limits_section(mesh, 20))
        await _assert_reads_succeed(mesh)

    _run(tmp_path, test, {"seeds": []})
