"""`make demo`: a whole mesh on this machine, driven and measured from outside."""

import contextlib
import pathlib
import shutil
import signal
import sys
import tempfile

import trio
from absl import app, flags

from buckthornstage import errors
from buckthornstage.demo import deployment, editing, processes, report, scenario
from buckthornstage.demo import mesh as meshes

DEPLOYMENT = flags.DEFINE_enum("deployment", "lanyu", ["lanyu", "guarumo"], "Deployment to run.")
DEPLOYMENTS = flags.DEFINE_string("deployments", "deployments", "Directory of the deployments.")
KEEP = flags.DEFINE_bool("keep", False, "Keep the run directory also after a success.")

LONGEST_MS = 115_000  # the demo is to end within two minutes
EXIT_FAILED = 1


async def _demonstrate(mesh: meshes.Mesh, table: report.Report) -> None:
    scenario.say(f"starting {len(mesh.plan.nodes)} nodes, their backend servers and the log")
    await mesh.start_all()
    scenario.say("every node is ready")
    editor = editing.Editor(mesh)
    facts = scenario.Facts()
    await scenario.publish_all(editor, facts)
    await scenario.wait_for_targets(mesh)
    began, before = trio.current_time(), await scenario.control_bytes(mesh)
    await scenario.single_calls(mesh, facts)
    await scenario.second_version(editor, facts)
    await scenario.latency(mesh, facts)
    await scenario.time_in_node(mesh, facts)
    await scenario.kill_one(mesh, facts)
    await scenario.stop_one(mesh, facts)
    after = await scenario.control_bytes(mesh)
    elapsed = trio.current_time() - began
    rates = {node: (after[node] - before[node]) / elapsed for node in after}
    for name, status in mesh.processes.unexpected_ends().items():
        facts.saw(f"{name} ended with status {status}", False)
    scenario.add_figures(table, mesh, facts, rates)
    for problem in dict.fromkeys(facts.not_whole):
        scenario.say(f"wrong: {problem}")


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    """Turns the first SIGTERM or SIGINT into an orderly end that stops all processes."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            scope.cancel()
            return


async def _run(directory: pathlib.Path, run_directory: pathlib.Path, table: report.Report) -> bool:
    """Runs the demo; returns whether it came to its end in time."""
    plan = deployment.prepare(directory, run_directory)
    is_finished = False
    with contextlib.closing(plan.reservation):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
            with trio.move_on_after(LONGEST_MS / 1000):
                async with processes.running_in(run_directory) as running:
                    await _demonstrate(meshes.Mesh(plan, running), table)
                    is_finished = True
            nursery.cancel_scope.cancel()
    return is_finished


def main(argv: list[str]) -> int:
    """Runs the demo and prints the table; the exit status says whether it met its requirements."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments: {argv[1:]}")
    directory = pathlib.Path(DEPLOYMENTS.value) / DEPLOYMENT.value
    run_directory = pathlib.Path(tempfile.mkdtemp(prefix="buckthornstage-demo-"))
    table = report.Report()
    problem = ""
    try:
        is_finished = trio.run(_run, directory, run_directory, table)
        if not is_finished:
            problem = f"interrupted, or not finished within {LONGEST_MS} ms"
    except* errors.BuckthornstageError as group:
        problem = "; ".join(map(str, errors.leaf_exceptions(group)))
    if table.rows:
        print(f"\n{table.text()}\n")
    if not problem and not table.is_met:
        problem = "a requirement is not met"
    if problem:
        print(f"demo failed: {problem}; logs are in {run_directory}")
        return EXIT_FAILED
    if KEEP.value:
        print(f"logs are in {run_directory}")
    else:
        shutil.rmtree(run_directory)
    missed = [row.name for row in table.rows if row.verdict is report.Verdict.NOT_MET]
    text = f"; targets not met: {', '.join(missed)}" if missed else ""
    print(f"all deciding requirements of the {DEPLOYMENT.value} demo are met{text}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
