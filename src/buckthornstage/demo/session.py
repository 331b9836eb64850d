"""Starts a mesh that is ready for calls, for experiments and failure tests."""

import contextlib
import pathlib
from collections.abc import AsyncIterator

from buckthornstage.demo import deployment, editing, processes, scenario
from buckthornstage.demo import mesh as meshes


@contextlib.asynccontextmanager
async def ready_mesh(
    directory: pathlib.Path,
    run_directory: pathlib.Path,
    overrides: dict[str, object] | None = None,
    log_arguments: tuple[str, ...] = (),
) -> AsyncIterator[tuple[meshes.Mesh, editing.Editor]]:
    """Starts a deployment, publishes its sections and waits until calls succeed at every node.

    All processes are ended on leaving the context. `overrides` replaces settings of all nodes and
    `log_arguments` are flags of the platform stand-in.
    """
    plan = deployment.prepare(directory, run_directory, overrides)
    with contextlib.closing(plan.reservation):
        async with processes.running_in(run_directory) as running:
            mesh = meshes.Mesh(plan, running)
            await mesh.start_all(*log_arguments)
            editor = editing.Editor(mesh)
            for section in scenario.SECTIONS_IN_ORDER:
                await editor.publish(section)
            await scenario.wait_for_targets(mesh)
            yield mesh, editor
