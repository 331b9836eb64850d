"""Processes and stand-ins of one run, and what each fault does to them."""

import collections
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import signal

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage.http import client, messages
from buckthornstage.soak import (
    lag,
    plan,
    platform_caller,
    platform_faults,
    platform_target,
    proxy,
    record,
    starter,
    store_process,
    tenants,
)
from buckthornstage.standins import ports

SERVICES = ("desk", "library")
NODE_COUNT = 4
CALLERS = 4
"""Callers of each node; of four one repeats refused calls, one pipelines and one leaves early."""
MEMORY_GAP_MS = 500
OPERATOR_GAP_MS = 1_500
"""Time between versions; each adds a route of each service."""
KEPT_VERSIONS = 20
"""Versions whose routes are kept."""
NODES_PER_ZONE, MAX_ZONES = 8, 7
POLL_SECONDS = 0.05
READY_PATH, READY_STATUS = "/buckthornstage/ready", 200
START_S, MAX_START_S = 3, 90
PROGRAM = pathlib.Path(__file__).parents[2] / "run_platform_node.py"


@dataclasses.dataclass(eq=False)
class Node:
    """One node with its target and the proxies around it."""

    index: int
    directory: pathlib.Path
    target: platform_target.Target
    callers: proxy.Proxy
    to_target: proxy.Proxy
    to_store: store_process.RemotePart
    peers: proxy.PeerProxy | None
    """Before the node's link address; None if peers reach it directly."""
    settings: dict
    program: pathlib.Path
    starter: starter.Starter
    process: starter.NodeProcess | None = None
    starts: int = 0
    is_stopping: bool = False

    @property
    def log_path(self) -> pathlib.Path:
        """Log of all processes of this node."""
        return self.directory / f"n{self.index}.jsonl"

    def write_settings(self) -> pathlib.Path:
        """Writes the settings file, which a running node reads again."""
        path = self.directory / f"n{self.index}.yaml"
        path.write_text(msgspec.yaml.encode(self.settings).decode())
        return path

    def start(self) -> None:
        """Starts the node's process."""
        self.starts += 1
        path = self.write_settings()
        environment = {**os.environ, "BUCKTHORNSTAGE_NODE_FILE": str(path)}
        self.process = self.starter.start(self.program, self.log_path, environment)


class World:
    """All parts of one run."""

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        faults: tuple[plan.Fault, ...],
        duration_ms: int,
        program: pathlib.Path = PROGRAM,
        node_count: int = NODE_COUNT,
        callers: int = CALLERS,
        gap_ms: int = platform_caller.GAP_MS,
    ) -> None:
        self.directory = directory
        self.program = program
        self.node_count = node_count
        self.callers = callers
        self.gap_ms = gap_ms
        self.rng = random.Random(seed)
        self.clock = clocks.Clock()
        self.began_ms = self.clock.now_ms()
        self.store: store_process.StoreProcess | None = None
        self.found = record.Record(faults, duration_ms)
        self.nodes: list[Node] = []
        self.switched: collections.Counter[tuple[int, str]] = collections.Counter()
        """How many faults hold each attribute of a part at its disturbed value."""
        self.version = 1
        self.starter: starter.Starter | None = None
        self.turn_to_start = trio.CapacityLimiter(1)
        """Lets other tasks run between the starts of nodes that start together."""
        self.nursery: trio.Nursery | None = None
        self.own_lag = lag.LoopLag(self.clock)
        self.store_lag_ms = 0
        """Longest time by which the loop of the store's process was late."""
        self.ended_by: int | None = None
        """Signal that ended the run before its time."""

    def now_ms(self) -> int:
        """Time in ms since the start of the run."""
        return self.clock.now_ms() - self.began_ms

    async def run(self) -> None:
        """Plays the plan to its end, or to a signal; ends all processes."""
        try:
            async with trio.open_nursery() as self.nursery:
                await self.nursery.start(self._end_at_signal)
                await self._start()
                self.began_ms = self.clock.now_ms()
                self.nursery.start_soon(self.own_lag.measure)
                self.nursery.start_soon(self._operate)
                self.nursery.start_soon(self._measure_memory)
                for fault in self.found.faults:
                    self.nursery.start_soon(platform_faults.play, self, fault)
                await trio.sleep(self.found.duration_ms / 1_000)
                self.record_exits()
                self.nursery.cancel_scope.cancel()
        finally:
            if self.starter is not None:
                self.starter.close()
            if self.store is not None:
                self.store_lag_ms = self.store.close()
        self._read_logs()

    async def _end_at_signal(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for self.ended_by in signals:
                self.nursery.cancel_scope.cancel()

    @property
    def lag_ms(self) -> int:
        """Longest time by which the loop of this process or of the store's was late."""
        return max(self.own_lag.longest_ms, self.store_lag_ms)

    def record_exits(self) -> None:
        """Records the nodes whose process has ended although no fault ended it."""
        self.found.exits += [
            record.Exited(f"n{node.index}", node.process.poll())
            for node in self.nodes
            if node.process.poll() is not None and not (node.is_stopping or node.process.is_killed)
        ]

    async def _start(self) -> None:
        self.starter = starter.Starter()
        self.store = store_process.StoreProcess(self.node_count)
        await self.write_configuration()
        for index in range(self.node_count):
            self.nodes.append(await self._make_node(index))
        for node in self.nodes:
            node.start()
            self.nursery.start_soon(node.target.run_announcements)
        await self._wait_until_ready()
        ids = itertools.count(1)
        for node in self.nodes:
            for number in range(self.callers):
                caller = platform_caller.Caller(
                    node.index,
                    node.callers.address,
                    self.found,
                    self.now_ms,
                    ids,
                    self.rng,
                    SERVICES,
                    self.gap_ms,
                    repeats_at_once=number % CALLERS == 1,
                    pipelines=number % CALLERS == 2,
                    leaves_early=number % CALLERS == 3,
                )
                self.nursery.start_soon(caller.run)

    async def _wait_until_ready(self) -> None:
        """Raises trio.TooSlowError if a node does not get ready."""
        await trio.sleep(START_S)
        request = messages.Request("GET", READY_PATH)
        with trio.fail_after(MAX_START_S):
            for node in self.nodes:
                while True:
                    with contextlib.suppress(messages.HttpError):
                        address = node.settings["ready_address"]
                        if (await client.fetch(address, request, 1_000)).status == READY_STATUS:
                            break
                    await trio.sleep(POLL_SECONDS)

    async def _make_node(self, index: int) -> Node:
        service = SERVICES[index % len(SERVICES)]
        target = platform_target.Target(service, index, self.found, self.now_ms)
        await self.nursery.start(target.serve)
        calls, control, link = (ports.free_address() for _ in range(3))
        proxies = [proxy.Proxy(upstream) for upstream in (calls, target.address)]
        for one in proxies:
            await self.nursery.start(one.serve)
        peers = None
        if index < plan.NODES_BEHIND_PROXIES:
            peers = proxy.PeerProxy(link, self.rng)
            await self.nursery.start(peers.serve)
        callers, to_target = proxies
        target.control_address, target.announced_address = control, to_target.address
        zones = min(MAX_ZONES, max(2, self.node_count // NODES_PER_ZONE))
        settings = {
            "node": f"n{index}",
            "zone": f"z{index * zones // self.node_count}",
            "service": service,
            "target_address": to_target.address,
            "call_address": calls,
            "ready_address": ports.free_address(),
            "announce_address": control,
            "link_address": peers.address if peers is not None else link,
            "link_listen_address": link,
            "store_address": self.store.addresses[index],
            "heartbeat_s": platform_target.HEARTBEAT_MS / 1_000,
            "grace_s": platform_faults.GRACE_S,
            "memory_mb": float(plan.MEMORY_MB),
            "retry_ratio": 0.2,
            "retry_slack": 56.0,
        }
        return Node(
            index,
            self.directory,
            target,
            callers,
            to_target,
            store_process.RemotePart(self.store, index),
            peers,
            settings,
            self.program,
            self.starter,
        )

    async def _operate(self) -> None:
        while True:
            await trio.sleep(OPERATOR_GAP_MS / 1_000)
            await self.publish()

    async def _measure_memory(self) -> None:
        peaks: collections.Counter[str] = collections.Counter()
        try:
            while True:
                await trio.sleep(MEMORY_GAP_MS / 1_000)
                for node in self.nodes:
                    name = f"n{node.index}"
                    peaks[name] = max(peaks[name], node.process.peak_bytes())
        finally:
            self.found.peaks += itertools.starmap(record.MemoryPeak, peaks.items())

    async def publish(self) -> None:
        """Writes the next version, as the operator does."""
        self.version += 1
        await self.write_configuration()

    async def write_configuration(self) -> None:
        """Writes the current version, also again, and records its acknowledgement."""
        version = self.version
        kept = range(max(1, version - KEPT_VERSIONS + 1), version + 1)
        verbs = [("read", "safe"), ("pay", "unsafe")]
        verbs += [(platform_caller.ADDED_PATH.format(each), "safe") for each in kept]
        paths = [
            {
                "name": f"r-{service}-{verb}",
                "path_prefix": f"/{service}/{verb}/",
                "kind": kind,
                "timeout_s": 1.5,
                "slo_latency_s": 0.3,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            for service in SERVICES
            for verb, kind in verbs
        ]
        services = [{"name": name, "health_path": "/health", "max_conns": 110} for name in SERVICES]
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        document = {
            "version": f"{version:08x}",
            "services": services,
            "limits": limits,
            "virtual_hosts": [{"host": platform_caller.HOST, "paths": paths}],
            "tenants": tenants.of_version(version),
        }
        await self.store.put("keyed.op", "config", msgspec.json.encode(document))
        self.found.versions.append(record.VersionAcknowledged(self.now_ms(), version))

    def _read_logs(self) -> None:
        for node in self.nodes:
            starts = 0
            for line in node.log_path.read_bytes().splitlines():
                try:
                    event = msgspec.json.decode(line, type=dict)
                except msgspec.MsgspecError:
                    continue  # a line that a kill cut off
                starts += event.get("event") == "started"
                if event.get("event") == "in_force":
                    found = record.InForce(f"n{node.index}", starts, event["version"])
                    self.found.in_force.append(found)
