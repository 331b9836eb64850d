"""A zone isolated from the other zone and the log: SIGSTOP freezes both with open connections."""

import json
import pathlib
import shutil
import signal

import trio
import yaml

from buckthornstage.demo import editing, mesh, processes, scenario, session
from buckthornstage.document import schema

DEPLOYMENT = pathlib.Path(__file__).parent.parent / "deployments" / "guarumo"
LONGEST_S = 120
WAIT_MS = 30_000
OWN, OTHER = "cr-central-a", "cr-central-b"
CALLS = 20


def _prepare(directory):
    shutil.copytree(DEPLOYMENT, directory)
    topology = yaml.safe_load((directory / "topology.yaml").read_text())
    zones = {zone: {"order-desk": 2, "artwork-library": 1} for zone in (OWN, OTHER)}
    topology.update(zones=zones, gossip_interval_ms=200)
    (directory / "topology.yaml").write_text(yaml.safe_dump(topology))


def _signal_rest(running, number):
    """Signals the platform, which serves the log, and all processes of the other zone."""
    running.processes.signal(mesh.LOG_PROCESS, number)
    for node in running.plan.nodes:
        if node.zone == OTHER:
            running.processes.signal(node.node, number)
            running.processes.signal(mesh.backend_name(node), number)


async def _call_with_issued_key(node, path):
    issued = await scenario.call(node.call_address, "POST", "/buckthornstage/keys")
    headers = ((b"idempotency-key", json.loads(issued.body)["key"].encode()),)
    return await scenario.call(node.call_address, "POST", path, headers, b"{}")


def test_cut_zone_serves_its_own_targets_and_converges_on_return(tmp_path):
    """Guards against an isolated zone that stops serving, loses its tables or rolls back."""

    async def main():
        directory = tmp_path / "deployment"
        _prepare(directory)
        ready = session.ready_mesh(directory, tmp_path / "run")
        with trio.fail_after(LONGEST_S):
            async with ready as (running, editor):
                await _check(running, editor)

    async def _check(running, editor):
        calls = running.plan.topology.calls
        inside = [node for node in running.plan.nodes if node.zone == OWN]
        before = await running.versions()
        _signal_rest(running, signal.SIGSTOP)

        async def sees_the_cut():
            status = await running.status(inside[0])
            return status and status["is_zone_cut"] and status["is_log_lost"]

        await processes.wait_until(sees_the_cut, WAIT_MS, "the cut in /status")
        for number in range(CALLS):
            node = inside[number % len(inside)]
            response = await scenario.call(node.call_address, "GET", calls.read)
            assert response is not None and response.status == 200
        keyed = await _call_with_issued_key(inside[0], calls.keyed)
        assert keyed.status == 200
        members = await running.admin(inside[0], "/members")
        assert {member["node"] for member in members} == {n.node for n in running.plan.nodes}
        for node in inside:
            assert (await running.status(node))["version"] == before[node.node]
        _signal_rest(running, signal.SIGCONT)
        body = running.plan.section_body(schema.SectionName.LIMITS)
        last = await editor.publish(schema.SectionName.LIMITS, editing.with_queue_length(body, 30))
        assert set((await running.versions()).values()) == {last.version}

    trio.run(main)
