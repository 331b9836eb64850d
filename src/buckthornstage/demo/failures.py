"""Random failures of a running mesh, several at once, in an order that a seed decides."""

import collections
import contextlib
import random
import signal

import trio

from buckthornstage import errors
from buckthornstage.demo import deployment, editing
from buckthornstage.demo import mesh as meshes
from buckthornstage.document import schema

TASKS = 3  # failures that can overlap
WATCH_MS = 100
PAUSE_S = (0.5, 2.0)
DOWN_S = (0.0, 2.0)
FROZEN_S = (0.5, 5.0)
OUTAGE_S = (0.5, 3.0)
SLOW_MS = (100, 1_500)
LOST_RESPONSES = (1, 4)
FIRST_QUEUE_LENGTH = 20


class Failures:
    """Causes failures and watches that no node goes back to an older version.

    `counts` has the number of failures by kind and `reverted` each node that reported an older
    version than before, with both versions. A VM has at most one failure at a time.
    """

    def __init__(self, mesh: meshes.Mesh, editor: editing.Editor, seed: int) -> None:
        self.mesh = mesh
        self.editor = editor
        self.random = random.Random(seed)
        self.busy: set[str] = set()
        self.queue_length = FIRST_QUEUE_LENGTH
        self.newest: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.reverted: list[tuple[str, int, int]] = []
        self.kinds = {
            "kill VM": self._kill_vm,
            "stop VM": self._stop_vm,
            "kill backend server": self._kill_backend,
            "freeze node": self._freeze,
            "log outage": self._outage,
            "lost answers": self._lose_responses,
            "slow log": self._slow_log,
            "publish": self._publish,
        }

    async def run(self, duration_ms: int) -> None:
        """Causes failures for this time, then repairs everything."""
        async with trio.open_nursery() as watch:
            watch.start_soon(self._watch_versions)
            end = trio.current_time() + duration_ms / 1000
            async with trio.open_nursery() as nursery:
                for _ in range(TASKS):
                    nursery.start_soon(self._cause_until, end)
            await self.mesh.set_log_faults(outage=False, slow_ms=0, lose_answers=0)
            await self.mesh.wait_ready(self.mesh.plan.nodes)
            watch.cancel_scope.cancel()

    async def _cause_until(self, end: float) -> None:
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_S))
            free = [node for node in self.mesh.running_nodes if node.node not in self.busy]
            node = self.random.choice(free)
            kind = self.random.choice(tuple(self.kinds))
            self.busy.add(node.node)
            self.counts[kind] += 1
            await self.kinds[kind](node)
            self.busy.discard(node.node)

    async def _watch_versions(self) -> None:
        """Compares the versions of ready nodes, also over restarts."""
        while True:
            for node in self.mesh.running_nodes:
                status = await self.mesh.status(node)
                if not status or not status["ready"]:
                    continue
                before, now = self.newest.get(node.node, 0), status["version"]
                if now < before:
                    self.reverted.append((node.node, before, now))
                self.newest[node.node] = now
            await trio.sleep(WATCH_MS / 1000)

    async def _kill_vm(self, node: deployment.NodePlan) -> None:
        await self.mesh.kill_vm(node)
        await trio.sleep(self.random.uniform(*DOWN_S))
        self.mesh.restart_vm(node)

    async def _stop_vm(self, node: deployment.NodePlan) -> None:
        await self.mesh.stop_vm(node)
        self.mesh.restart_vm(node)

    async def _kill_backend(self, node: deployment.NodePlan) -> None:
        await self.mesh.processes.kill(meshes.backend_name(node))
        self.mesh.start_backend(node)

    async def _freeze(self, node: deployment.NodePlan) -> None:
        self.mesh.processes.signal(node.node, signal.SIGSTOP)
        await trio.sleep(self.random.uniform(*FROZEN_S))
        self.mesh.processes.signal(node.node, signal.SIGCONT)

    async def _outage(self, _: deployment.NodePlan) -> None:
        await self.mesh.set_log_faults(outage=True)
        await trio.sleep(self.random.uniform(*OUTAGE_S))
        await self.mesh.set_log_faults(outage=False)

    async def _lose_responses(self, _: deployment.NodePlan) -> None:
        await self.mesh.set_log_faults(lose_answers=self.random.randint(*LOST_RESPONSES))

    async def _slow_log(self, _: deployment.NodePlan) -> None:
        await self.mesh.set_log_faults(slow_ms=self.random.randint(*SLOW_MS))
        await trio.sleep(self.random.uniform(*OUTAGE_S))
        await self.mesh.set_log_faults(slow_ms=0)

    async def _publish(self, _: deployment.NodePlan) -> None:
        section = schema.SectionName.LIMITS
        self.queue_length += 1
        body = self.mesh.plan.section_body(section)
        # A publish during an outage fails by rights; later ones go on from the last base.
        with contextlib.suppress(errors.LogError):
            await self.editor.append(section, editing.with_queue_length(body, self.queue_length))
