"""Cost of a node as the mesh grows, measured on real processes.

Run `python -m buckthornstage.bench.scale --nodes=12,24,48,96`. Nodes are spread over seven zones
and announce one target each; no calls are made, so all processor time is that of control. For
each size the mesh is measured at rest, with one target change each second, and after a quarter of
the nodes was killed and started again together. Convergence is the time from the start of the
append of a publish to the activation event of the last node; all processes share the clock of one
machine. `--output` writes the rows as JSON.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import tempfile
import time

import trio
import yaml
from absl import app, flags

from buckthornstage.demo import deployment, editing, processes
from buckthornstage.demo import mesh as meshes
from buckthornstage.http import client, messages

NODES = flags.DEFINE_list("nodes", ["12", "24"], "Numbers of nodes.")
SECONDS = flags.DEFINE_integer("seconds", 10, "Length of each phase.", lower_bound=2)
PUBLISHES = flags.DEFINE_integer("publishes", 10, "Publishes that are timed.", lower_bound=1)
INTERVAL_MS = flags.DEFINE_integer("gossip_interval_ms", 500, "Interval of the anti-entropy.")
SOURCE = flags.DEFINE_string("deployment", "deployments/lanyu", "Folder with the sections.")
OUTPUT = flags.DEFINE_string("output", "", "File for the rows as JSON.")

ZONES = 7
SERVICE = "rounds-desk"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ANNOUNCE_MS = 1_000
SETTLE_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Usage:
    """Counters of all nodes at one moment; processor time in s, memory in bytes."""

    at_s: float
    processor_s: dict[str, float]
    resident: dict[str, int]
    sent: dict[str, int]
    received: dict[str, int]
    log_reads: int
    log_appends: int


def write_deployment(directory: pathlib.Path, count: int) -> None:
    """Writes a deployment of `count` nodes over seven zones, with the sections of `SOURCE`."""
    source = pathlib.Path(SOURCE.value)
    for name in ("teams", "routing", "backends", "limits"):
        shutil.copy(source / f"{name}.yaml", directory)
    topology = yaml.safe_load((source / "topology.yaml").read_text("utf-8"))
    sizes = [count // ZONES + (index < count % ZONES) for index in range(ZONES)]
    topology["zones"] = {
        f"zone-{index}": {SERVICE: size} for index, size in enumerate(sizes) if size
    }
    (directory / "topology.yaml").write_text(yaml.safe_dump(topology), "utf-8")


class ScaleBench:
    """One mesh without backend servers; their announcements come from here."""

    def __init__(self, mesh: meshes.Mesh) -> None:
        self.mesh = mesh
        self.statuses = {node.node: "ready" for node in mesh.plan.nodes}

    async def announce(self) -> None:
        """Renews the lease of every target each second."""
        while True:
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for node in self.mesh.running_nodes:
                    nursery.start_soon(self._announce_one, node)
            await trio.sleep(max(0, ANNOUNCE_MS / 1000 - (trio.current_time() - started)))

    async def _announce_one(self, node: deployment.NodePlan) -> None:
        body = {
            "service": SERVICE,
            "address": node.backend_address,
            "slots": 20,
            "connections": 110,
            "incarnation": 1,
            "status": self.statuses[node.node],
            "started_at_ms": 0,
        }
        request = messages.Request("POST", "/announce", body=json.dumps(body).encode())
        with contextlib.suppress(messages.HttpError):
            await client.fetch(node.admin_address, request, 900)

    async def usage(self) -> Usage:
        """Reads the counters of all living nodes and of the log."""
        sent: dict[str, int] = {}
        received: dict[str, int] = {}

        async def ask(node: deployment.NodePlan) -> None:
            metrics = await self.mesh.admin(node, "/metrics") or {}
            sent[node.node] = metrics.get("control_bytes_sent", 0)
            received[node.node] = metrics.get("control_bytes_received", 0)

        async with trio.open_nursery() as nursery:
            for node in self.mesh.running_nodes:
                nursery.start_soon(ask, node)
        record = await self.mesh.request(self.mesh.plan.log_address, "GET", "/record") or {}
        pids = {n.node: self.mesh.processes.running[n.node].pid for n in self.mesh.running_nodes}
        return Usage(
            time.monotonic(),
            {name: processor_s(pid) for name, pid in pids.items()},
            {name: resident_bytes(pid) for name, pid in pids.items()},
            sent,
            received,
            record.get("reads", 0),
            record.get("appends", 0),
        )

    async def phase(self, seconds: float, action=None) -> dict[str, float]:
        """Costs over some seconds, in which `action` is called once a second."""
        before = await self.usage()
        for number in range(int(seconds)):
            if action:
                action(number)
            await trio.sleep(1)
        return costs(before, await self.usage())

    def change_one_target(self, number: int) -> None:
        """Lets one target leave, or come back."""
        node = self.mesh.plan.nodes[number // 2 % len(self.mesh.plan.nodes)].node
        self.statuses[node] = "leaving" if number % 2 == 0 else "ready"

    async def convergence_ms(self) -> list[float]:
        """Times of all nodes over several publishes, sorted."""
        editor = editing.Editor(self.mesh)
        for section in ("teams", "backends", "routing", "limits"):
            await editor.publish(section)
        body = self.mesh.plan.section_body("limits")
        published: dict[int, float] = {}
        for number in range(PUBLISHES.value):
            started_ms = time.time() * 1000
            version = await editor.append("limits", editing.with_queue_length(body, 20 + number))
            published[version] = started_ms
            await trio.sleep(0.7)
        await self._wait_for_version(version)
        times: list[float] = []
        for node in self.mesh.running_nodes:
            times += [
                event["hlc_ms"] - published[event["version"]]
                for event in await self.mesh.admin(node, "/events")
                if event["kind"] == "version_activated" and event["version"] in published
            ]
        return sorted(times)

    async def _wait_for_version(self, version: int) -> None:
        async def reached() -> bool:
            return min((await self.mesh.versions()).values()) >= version

        await processes.wait_until(reached, SETTLE_MS, f"version {version} everywhere", 200)

    async def herd(self) -> dict[str, float]:
        """Kills a quarter of the nodes, starts them together, and measures their return."""
        nodes = self.mesh.plan.nodes[::4]
        for node in nodes:
            self.mesh.stopped_nodes.add(node.node)
            await self.mesh.processes.kill(node.node)
        await trio.sleep(8)
        before = await self.usage()
        started = trio.current_time()
        for node in nodes:
            self.mesh.start_node(node)
            self.mesh.stopped_nodes.discard(node.node)
        await self.mesh.wait_ready(nodes, SETTLE_MS)
        ready_ms = (trio.current_time() - started) * 1000
        after = await self.usage()
        kept = set(before.sent)
        most = max(after.sent[name] - before.sent[name] for name in kept)
        return {
            "herd_nodes": len(nodes),
            "herd_ready_ms": ready_ms,
            "herd_bytes_most": most,
            "herd_log_reads": after.log_reads - before.log_reads,
        }


def processor_s(pid: int) -> float:
    """Processor time of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Resident memory of a process."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def costs(before: Usage, after: Usage) -> dict[str, float]:
    """Mean and largest cost of a node, in percent of a core, MB, and bytes a second."""
    seconds = after.at_s - before.at_s
    percents = [
        100 * (after.processor_s[name] - before.processor_s[name]) / seconds
        for name in before.processor_s
    ]
    rates = [
        (after.sent[name] - before.sent[name] + after.received[name] - before.received[name])
        / seconds
        for name in before.sent
    ]
    return {
        "core_percent_mean": sum(percents) / len(percents),
        "core_percent_most": max(percents),
        "resident_mb_most": max(after.resident.values()) / 1e6,
        "bytes_s_mean": sum(rates) / len(rates),
        "bytes_s_most": max(rates),
        "log_reads_s": (after.log_reads - before.log_reads) / seconds,
        "log_appends_s": (after.log_appends - before.log_appends) / seconds,
    }


async def measure(count: int, directory: pathlib.Path) -> dict[str, float]:
    """All figures of one mesh of `count` nodes."""
    source = directory / "deployment"
    source.mkdir()
    write_deployment(source, count)
    overrides = {"gossip_interval_ms": INTERVAL_MS.value}
    plan = deployment.prepare(source, directory / "run", overrides)
    async with processes.running_in(plan.run_directory) as running:
        bench = ScaleBench(meshes.Mesh(plan, running))
        bench.mesh.start_log()
        for node in plan.nodes:
            bench.mesh.start_node(node)
        await bench.mesh.wait_ready(plan.nodes, SETTLE_MS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bench.announce)
            times = await bench.convergence_ms()
            await trio.sleep(5)
            row: dict[str, float] = {"nodes": count}
            rest = await bench.phase(SECONDS.value)
            churn = await bench.phase(SECONDS.value, bench.change_one_target)
            row |= {f"rest_{name}": value for name, value in rest.items()}
            row |= {f"churn_{name}": value for name, value in churn.items()}
            row["converged_p50_ms"] = times[len(times) // 2]
            row["converged_p99_ms"] = times[int(len(times) * 0.99)]
            row["converged_worst_ms"] = times[-1]
            row |= await bench.herd()
            nursery.cancel_scope.cancel()
    return row


def main(arguments: list[str]) -> None:
    """Measures each size and prints one line for each figure."""
    del arguments
    rows = []
    for text in NODES.value:
        with tempfile.TemporaryDirectory(prefix="buckthornstage-scale-") as name:
            rows.append(trio.run(measure, int(text), pathlib.Path(name)))
        print(json.dumps({key: round(value, 2) for key, value in rows[-1].items()}), flush=True)
    for key in rows[0]:
        print(f"{key:28}", *(f"{row[key]:12.2f}" for row in rows))
    if OUTPUT.value:
        pathlib.Path(OUTPUT.value).write_text(json.dumps(rows, indent=1) + "\n", "utf-8")


if __name__ == "__main__":
    app.run(main)
