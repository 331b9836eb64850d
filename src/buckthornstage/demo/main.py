"""`make demo`: runs a whole mesh on the local machine and measures it from outside."""

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
KEEP = flags.DEFINE_bool("keep", False, "Keep the run directory after a success.")

RUN_TIMEOUT_MS = 115_000  # below the two minutes that the demo may take
EXIT_FAILED = 1


async def _run_steps(mesh: meshes.Mesh, table: report.Report) -> None:
    scenario.print_progress(
        f"starting {len(mesh.plan.nodes)} nodes, their backend servers and the platform stand-in"
    )
    await mesh.start_all()
    scenario.print_progress("all nodes are ready")
    editor = editing.Editor(mesh)
    results = scenario.Results()
    await scenario.publish_all(editor, results)
    await scenario.wait_for_targets(mesh)
    started_s, before = trio.current_time(), await scenario.read_control_bytes(mesh)
    await scenario.run_single_calls(mesh, results)
    await scenario.publish_second_version(editor, results)
    await scenario.measure_latency(mesh, results)
    await scenario.measure_time_in_node(mesh, results)
    await scenario.kill_node_under_load(mesh, results)
    await scenario.stop_node_under_load(mesh, results)
    after = await scenario.read_control_bytes(mesh)
    elapsed = trio.current_time() - started_s
    rates = {node: (after[node] - before[node]) / elapsed for node in after}
    for name, status in mesh.processes.unexpected_ends().items():
        results.record_check(f"{name} exited with status {status}", False)
    scenario.add_figures(table, mesh, results, rates)
    for problem in dict.fromkeys(results.incorrect):
        scenario.print_progress(f"check failed: {problem}")


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    """Cancels `scope` on the first SIGTERM or SIGINT, so that all processes are ended."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            scope.cancel()
            return


async def _run(directory: pathlib.Path, run_directory: pathlib.Path, table: report.Report) -> bool:
    """Runs the demo; returns whether all steps ended within RUN_TIMEOUT_MS."""
    plan = deployment.prepare(directory, run_directory)
    is_finished = False
    with contextlib.closing(plan.reservation):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
            with trio.move_on_after(RUN_TIMEOUT_MS / 1000):
                async with processes.running_in(run_directory) as running:
                    await _run_steps(meshes.Mesh(plan, running), table)
                    is_finished = True
            nursery.cancel_scope.cancel()
    return is_finished


def main(argv: list[str]) -> int:
    """Runs the demo and prints the table; returns 0 if all decisive requirements are met."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments: {argv[1:]}")
    directory = pathlib.Path(DEPLOYMENTS.value) / DEPLOYMENT.value
    run_directory = pathlib.Path(tempfile.mkdtemp(prefix="buckthornstage-demo-"))
    table = report.Report()
    problem = ""
    try:
        is_finished = trio.run(_run, directory, run_directory, table)
        if not is_finished:
            problem = f"interrupted, or not finished within {RUN_TIMEOUT_MS} ms"
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
    print(f"all decisive requirements of the {DEPLOYMENT.value} demo are met{text}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
