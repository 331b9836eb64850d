"""Experiments with real processes: `python -m buckthornstage.bench.experiments`.

Each one starts a mesh of its own and prints a table. The figures hold for a shared machine and
loopback addresses; they compare phases of one run, not machines.
"""

import pathlib
import sys
import tempfile

import trio
from absl import app, flags

from buckthornstage import errors
from buckthornstage.demo import (
    checks,
    editing,
    failures,
    loads,
    processes,
    report,
    scenario,
    session,
)
from buckthornstage.demo import mesh as meshes
from buckthornstage.standins import run_record

DEPLOYMENTS = flags.DEFINE_string("deployments", "deployments", "Directory of the deployments.")
DEPLOYMENT = flags.DEFINE_enum("deployment", "lanyu", ["lanyu", "guarumo"], "Deployment to run.")
ONLY = flags.DEFINE_list("only", [], "Names of the experiments to run; empty: all.")

SEED = flags.DEFINE_integer("seed", 1, "Seed of the mixed failures.")

SLOW_SERVICE_MS = 400  # brings the capacity down to what caller processes can exceed
CALLERS = 2  # processes that share a load, because one would become the bottleneck
PHASE_MS = 5_000
PAUSE_MS = 1_500  # between two phases, so that queues of one do not reach into the next
SWEEP = (0.5, 1.0, 1.5, 2.0, 3.0, 0.5)  # offered load in units of all slots
KILL_SHARE = 0.4  # load in units of all slots; twice that remains when half of them are gone
LEAVING_TARGETS = 2
DRAIN_PHASE_MS = 12_000
RECORD_POLL_MS = 50
KEYED_RATE = 25.0
KEYED_MS = 14_000
OUTAGE_MS = 3_000
MIXED_MS = 30_000
MIXED_READ_RATE = 60.0
CRASH_REQUESTS = 10
CRASH_PAUSE_MS = 200


async def offer(
    mesh: meshes.Mesh, name: str, rate: float, duration_ms: int = PHASE_MS
) -> list[dict]:
    """Offers reads through all living nodes from several callers; returns their summaries."""
    path = mesh.plan.topology.calls.read
    names = [f"{name}-{number}" for number in range(CALLERS)]
    addresses = mesh.call_addresses()
    for number, caller in enumerate(names):
        loads.start(
            mesh,
            caller,
            addresses,
            path,
            rate=rate / CALLERS,
            duration_ms=duration_ms,
            seed=number,
        )
    return [await loads.finish(mesh, caller, duration_ms) for caller in names]


def phase_line(name: str, summaries: list[dict]) -> tuple[str, ...]:
    """Table line of one phase: offered, goodput, latencies, other outcomes.

    Goodput is taken over the time until the last response, because calls that were offered at the
    end of an overloaded phase are answered after it.
    """
    seconds = max(summary["elapsed_ms"] for summary in summaries) / 1000
    outcomes: dict[str, int] = {}
    for summary in summaries:
        for outcome, number in summary["outcomes"].items():
            outcomes[outcome] = outcomes.get(outcome, 0) + number
    whole = outcomes.pop("whole", 0)
    worst = {
        percent: max(summary["latency_ms"][percent] for summary in summaries)
        for percent in ("p50", "p99")
    }
    return (
        name,
        f"{sum(summary['offered'] for summary in summaries)}",
        f"{whole}",
        f"{whole / seconds:.0f}",
        f"{worst['p50']:.0f}",
        f"{worst['p99']:.0f}",
        loads.format_outcomes(outcomes),
    )


PHASE_HEADER = ("phase", "offered", "whole", "whole/s", "p50 ms", "p99 ms", "other outcomes")


async def slow_down(mesh: meshes.Mesh) -> float:
    """Raises the service time of the read service; returns its capacity in calls a second."""
    service = mesh.service_of(mesh.plan.topology.calls.read)
    targets = [node for node in mesh.running_nodes if node.service == service]
    for node in targets:
        await mesh.set_backend_faults(node, service_time_ms=SLOW_SERVICE_MS)
    slots = mesh.plan.topology.services[service].slots
    return len(targets) * slots * 1000 / SLOW_SERVICE_MS


async def capacity_sweep(mesh: meshes.Mesh, _: editing.Editor) -> str:
    """Half to three times the slots, then half again: goodput must hold and recover."""
    capacity = await slow_down(mesh)
    lines, everything = [], []
    for number, factor in enumerate(SWEEP):
        summaries = await offer(mesh, f"sweep-{number}", factor * capacity)
        lines.append(phase_line(f"{factor:g} x slots", summaries))
        everything.extend(summaries)
        await trio.sleep(PAUSE_MS / 1000)
    denied = checks.ran_but_denied(mesh.record_path, everything)
    text = f"capacity {capacity:.0f} calls/s; calls that ran although denied: {denied}"
    return f"{report.table(PHASE_HEADER, lines)}\n{text}"


async def half_killed(mesh: meshes.Mesh, _: editing.Editor) -> str:
    """SIGKILL of every second target of the read service while calls run."""
    rate = KILL_SHARE * await slow_down(mesh)
    service = mesh.service_of(mesh.plan.topology.calls.read)
    victims = [node for node in mesh.running_nodes if node.service == service][::2]
    lines = [phase_line("before", await offer(mesh, "before", rate))]
    everything: list[dict] = []

    async def load_during_kill() -> None:
        everything.extend(await offer(mesh, "during", rate))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(load_during_kill)
        await trio.sleep(PHASE_MS / 3 / 1000)
        for node in victims:
            await mesh.processes.kill(meshes.backend_name(node))
    lines.append(phase_line(f"{len(victims)} targets killed", everything))
    lines.append(phase_line("after", await offer(mesh, "after", rate)))
    denied = checks.ran_but_denied(mesh.record_path, everything)
    text = f"{report.table(PHASE_HEADER, lines)}\ncalls that ran although denied: {denied}"
    return text


async def drain(mesh: meshes.Mesh, _: editing.Editor) -> str:
    """Backend servers leave one after the other under load: nothing is cut off."""
    service = mesh.service_of(mesh.plan.topology.calls.read)
    leaving = [node for node in mesh.running_nodes if node.service == service][:LEAVING_TARGETS]
    summaries: list[dict] = []
    lines: list[tuple[str, ...]] = []

    async def load() -> None:
        summaries.extend(await offer(mesh, "drain", 150.0, DRAIN_PHASE_MS))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(load)
        await trio.sleep(1)
        for node in leaving:
            last_ms, refused, status = await _leave(mesh, node)
            lines.append((node.node, f"{last_ms:.0f}", str(refused), str(status)))
    header = ("leaving", "last new work after ms (3000)", "refused as not run", "exit status")
    cut_off = sum(map(loads.cut_off, summaries))
    return "\n".join(
        (
            report.table(header, lines),
            report.table(PHASE_HEADER, [phase_line("all", summaries)]),
            f"calls cut off: {cut_off}",
        )
    )


async def _leave(mesh: meshes.Mesh, node) -> tuple[float, int, int]:
    """Stops one backend server; returns when it last got new work, refusals, exit status."""
    began = trio.current_time()
    name = meshes.backend_name(node)
    mesh.processes.signal(name, meshes.signal.SIGTERM)
    refused, last_ms = 0, 0.0
    while mesh.processes.exit_status(name) is None:
        described = await mesh.request(node.backend_address, "GET", "/record")
        counted = described["counters"].get("leaving", 0) if described else refused
        if counted > refused:
            refused, last_ms = counted, (trio.current_time() - began) * 1000
        await trio.sleep(RECORD_POLL_MS / 1000)
    return last_ms, refused, mesh.processes.exit_statuses[name]


def start_keyed(mesh: meshes.Mesh, duration_ms: int) -> None:
    """Starts a load of keyed calls, each with two repeats at other nodes."""
    calls = mesh.plan.topology.calls
    loads.start(
        mesh,
        "keyed",
        mesh.call_addresses(),
        calls.keyed,
        rate=KEYED_RATE,
        duration_ms=duration_ms,
        method="POST",
        body='{"amount": {n}}',
        key_mode="uuid7",
        repeats=2,
    )


async def deposits_over_kills(mesh: meshes.Mesh, _: editing.Editor) -> str:
    """Keyed calls with repeats at other nodes over two kills and an outage of the log."""
    start_keyed(mesh, KEYED_MS)
    await trio.sleep(KEYED_MS / 5 / 1000)
    await mesh.kill_vm(mesh.running_nodes[0])
    await trio.sleep(KEYED_MS / 5 / 1000)
    await mesh.set_log_faults(outage=True)
    await trio.sleep(OUTAGE_MS / 1000)
    await mesh.set_log_faults(outage=False, lose_answers=3)
    await trio.sleep(KEYED_MS / 10 / 1000)
    await mesh.kill_vm(mesh.running_nodes[-1])
    return keyed_table(mesh, await loads.finish(mesh, "keyed", KEYED_MS))


def keyed_table(mesh: meshes.Mesh, summary: dict) -> str:
    """Compares the responses to keyed calls with the record of the backend servers."""
    found = checks.check_keys(mesh.record_path, [summary])
    lines = [
        ("keys", str(found.keys)),
        ("keys with a whole response", str(found.acknowledged)),
        ("keys that ran", str(found.ran)),
        ("keys that ran more than once (0)", str(found.ran_again)),
        ("keys that ran although every answer denied it (0)", str(found.ran_but_denied)),
        ("whole responses without a run (0)", str(found.acknowledged_without_run)),
        ("first answers", loads.format_outcomes(summary["outcomes"])),
        ("answers to repeats", loads.format_outcomes(summary["repeat_outcomes"])),
    ]
    return report.table(("figure", "measured"), lines)


async def mixed_failures(mesh: meshes.Mesh, editor: editing.Editor) -> str:
    """Overlapping random failures under keyed calls with repeats and reads."""
    start_keyed(mesh, MIXED_MS)
    loads.start(
        mesh,
        "reads",
        mesh.call_addresses(),
        mesh.plan.topology.calls.read,
        rate=MIXED_READ_RATE,
        duration_ms=MIXED_MS,
    )
    causes = failures.Failures(mesh, editor, SEED.value)
    await causes.run(MIXED_MS)
    keyed = await loads.finish(mesh, "keyed", MIXED_MS)
    reads = await loads.finish(mesh, "reads", MIXED_MS)
    await editor.reload_base_offsets()
    last = await editor.publish("limits")
    lines = [
        ("failures", loads.format_outcomes(causes.counts)),
        ("nodes that went back to an older version (0)", str(len(causes.reverted))),
        ("reads", loads.format_outcomes(reads["outcomes"])),
        (
            "reads that ran although denied (0)",
            str(checks.ran_but_denied(mesh.record_path, [reads])),
        ),
        ("last version in force everywhere after ms", f"{last.slowest_ms:.0f}"),
    ]
    return f"{keyed_table(mesh, keyed)}\n\n{report.table(('figure', 'measured'), lines)}"


async def crashing_request(mesh: meshes.Mesh, _: editing.Editor) -> str:
    """A request that kills each target that runs it, sent ten times through different nodes."""
    path = mesh.plan.topology.calls.read.partition("{n}")[0].rpartition("/")[0] + "/crash/one"
    lines = []
    for number in range(CRASH_REQUESTS):
        node = mesh.running_nodes[number % len(mesh.running_nodes)]
        response = await scenario.call(node.call_address, "GET", path)
        kind = response.header(b"buckthornstage-error") if response else "no response"
        outcome = response.header(b"buckthornstage-outcome") if response else ""
        dead = sum(1 for name in mesh.processes.unexpected_ends() if name.endswith("-backend"))
        lines.append((str(number + 1), node.node, f"{kind} {outcome or ''}", str(dead)))
        await trio.sleep(CRASH_PAUSE_MS / 1000)
    runs = sum(1 for run in run_record.read(mesh.record_path) if run.path == path)
    header = ("request", "node", "answer", "targets dead so far")
    return f"{report.table(header, lines)}\nruns of the request: {runs}"


EXPERIMENTS = {
    "capacity": capacity_sweep,
    "half-killed": half_killed,
    "drain": drain,
    "deposits": deposits_over_kills,
    "crash": crashing_request,
    "mixed": mixed_failures,
}


async def _run(name: str, run_directory: pathlib.Path) -> None:
    directory = pathlib.Path(DEPLOYMENTS.value) / DEPLOYMENT.value
    async with session.ready_mesh(directory, run_directory / name) as (mesh, editor):
        text = await EXPERIMENTS[name](mesh, editor)
    print(f"\n{name}: {EXPERIMENTS[name].__doc__}\n\n{text}", flush=True)


def main(argv: list[str]) -> int:
    """Runs the chosen experiments; the exit status is 1 when one of them could not finish."""
    unknown = sorted(set(ONLY.value) - set(EXPERIMENTS))
    if len(argv) > 1 or unknown:
        raise app.UsageError(f"unexpected arguments: {[*argv[1:], *unknown]}")
    run_directory = pathlib.Path(tempfile.mkdtemp(prefix="buckthornstage-experiments-"))
    status = 0
    for name in ONLY.value or EXPERIMENTS:
        try:
            trio.run(_run, name, run_directory)
        except* (processes.ConditionError, RuntimeError) as group:
            print(f"\n{name} did not finish: {errors.leaf_exceptions(group)}", flush=True)
            status = 1
    print(f"\nlogs and run records are in {run_directory}")
    return status


if __name__ == "__main__":
    sys.exit(app.run(main))
