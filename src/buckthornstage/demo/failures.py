"""Random, overlapping failures of a running mesh, chosen by a seeded generator."""

import collections
import contextlib
import random
import signal

import trio

from buckthornstage import errors
from buckthornstage.demo import deployment, editing
from buckthornstage.demo import mesh as meshes
from buckthornstage.document import schema

MAX_CONCURRENT_FAILURES = 3
VERSION_CHECK_INTERVAL_MS = 100
PAUSE_RANGE_S = (0.5, 2.0)
DOWNTIME_RANGE_S = (0.0, 2.0)
FREEZE_RANGE_S = (0.5, 5.0)
LOG_FAULT_RANGE_S = (0.5, 3.0)
LOG_DELAY_RANGE_MS = (100, 1_500)
LOST_RESPONSES_RANGE = (1, 4)
INITIAL_QUEUE_LENGTH = 20


class Failures:
    """Causes failures and checks that no node goes back to an older version.

    `counts` has the number of failures by kind. `reverted` lists each node that reported an older
    version than before, with the previous and the new one. A VM has one failure at a time at most.
    """

    def __init__(self, mesh: meshes.Mesh, editor: editing.Editor, seed: int) -> None:
        self.mesh = mesh
        self.editor = editor
        self.random = random.Random(seed)
        self.nodes_in_failure: set[str] = set()
        self.queue_length = INITIAL_QUEUE_LENGTH
        self.newest_versions: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.reverted: list[tuple[str, int, int]] = []
        self.kinds = {
            "kill VM": self._kill_vm,
            "stop VM": self._stop_vm,
            "kill backend server": self._kill_backend,
            "freeze node": self._freeze_node,
            "log outage": self._log_outage,
            "lost answers": self._lose_responses,
            "slow log": self._slow_log,
            "publish": self._publish,
        }

    async def run(self, duration_ms: int) -> None:
        """Causes failures for `duration_ms`, then clears all faults and waits for all nodes."""
        async with trio.open_nursery() as watch:
            watch.start_soon(self._watch_versions)
            end_s = trio.current_time() + duration_ms / 1000
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_CONCURRENT_FAILURES):
                    nursery.start_soon(self._cause_failures_until, end_s)
            await self.mesh.set_log_faults(outage=False, slow_ms=0, lose_answers=0)
            await self.mesh.wait_ready(self.mesh.plan.nodes)
            watch.cancel_scope.cancel()

    async def _cause_failures_until(self, end_s: float) -> None:
        while trio.current_time() < end_s:
            await trio.sleep(self.random.uniform(*PAUSE_RANGE_S))
            available_nodes = [
                node for node in self.mesh.running_nodes if node.node not in self.nodes_in_failure
            ]
            node = self.random.choice(available_nodes)
            kind = self.random.choice(tuple(self.kinds))
            self.nodes_in_failure.add(node.node)
            self.counts[kind] += 1
            await self.kinds[kind](node)
            self.nodes_in_failure.discard(node.node)

    async def _watch_versions(self) -> None:
        """Records ready nodes whose version is older than their last one, also across restarts."""
        while True:
            for node in self.mesh.running_nodes:
                status = await self.mesh.status(node)
                if not status or not status["ready"]:
                    continue
                before, now = self.newest_versions.get(node.node, 0), status["version"]
                if now < before:
                    self.reverted.append((node.node, before, now))
                self.newest_versions[node.node] = now
            await trio.sleep(VERSION_CHECK_INTERVAL_MS / 1000)

    async def _kill_vm(self, node: deployment.NodePlan) -> None:
        await self.mesh.kill_vm(node)
        await trio.sleep(self.random.uniform(*DOWNTIME_RANGE_S))
        self.mesh.restart_vm(node)

    async def _stop_vm(self, node: deployment.NodePlan) -> None:
        await self.mesh.stop_vm(node)
        self.mesh.restart_vm(node)

    async def _kill_backend(self, node: deployment.NodePlan) -> None:
        await self.mesh.processes.kill(meshes.backend_name(node))
        self.mesh.start_backend(node)

    async def _freeze_node(self, node: deployment.NodePlan) -> None:
        self.mesh.processes.signal(node.node, signal.SIGSTOP)
        await trio.sleep(self.random.uniform(*FREEZE_RANGE_S))
        self.mesh.processes.signal(node.node, signal.SIGCONT)

    async def _log_outage(self, _: deployment.NodePlan) -> None:
        await self.mesh.set_log_faults(outage=True)
        await trio.sleep(self.random.uniform(*LOG_FAULT_RANGE_S))
        await self.mesh.set_log_faults(outage=False)

    async def _lose_responses(self, _: deployment.NodePlan) -> None:
        await self.mesh.set_log_faults(lose_answers=self.random.randint(*LOST_RESPONSES_RANGE))

    async def _slow_log(self, _: deployment.NodePlan) -> None:
        await self.mesh.set_log_faults(slow_ms=self.random.randint(*LOG_DELAY_RANGE_MS))
        await trio.sleep(self.random.uniform(*LOG_FAULT_RANGE_S))
        await self.mesh.set_log_faults(slow_ms=0)

    async def _publish(self, _: deployment.NodePlan) -> None:
        section = schema.SectionName.LIMITS
        self.queue_length += 1
        body = self.mesh.plan.section_body(section)
        # A publish is expected to fail during an outage; later ones use the last known base offset.
        with contextlib.suppress(errors.LogError):
            await self.editor.append(section, editing.with_queue_length(body, self.queue_length))
