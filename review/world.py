"""Starts a small deployment: nodes of this project as processes, and the stand-ins around them."""

import asyncio
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http1
import store
import target

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
BOUNDS = {"config_apply_s": 2.0, "contact_s": 3.0, "drain_s": 2.0, "grace_s": 6.0}
"""Of the site guarumo-mesh."""
MAX_BODY_BYTES = 67108864
"""As in the configuration that `fleetbench wire` shows."""
RESTART_S = 0.5
READY_TIMEOUT_S = 40.0


class UnplayableError(Exception):
    """The case could not run."""


class World:
    """Machines, store and record of one run."""

    def __init__(self, folder: pathlib.Path, machines: list[tuple[str, str]], slots: int) -> None:
        """`machines` are pairs of zone and service."""
        self.slots = slots
        self.began = time.monotonic()
        self.output = (folder / "record.txt").open("w")
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.ids = itertools.count(1)
        self.store = store.Store(self.record)
        base = _free_ports()
        self.store_address = ("127.0.0.1", base + 30)
        self.machines = [
            Machine(self, number, zone, service, base)
            for number, (zone, service) in enumerate(machines, 1)
        ]

    def record(self, text: str) -> None:
        self.output.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def start(self) -> None:
        """Starts all processes and waits until each node is ready and open."""
        await self.store.start(*self.store_address)
        for machine in self.machines:
            machine.start_node()
        for machine in self.machines:
            await machine.start_target()
        limit = time.monotonic() + READY_TIMEOUT_S
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > limit:
                raise UnplayableError("a node does not get ready")
            await asyncio.sleep(0.1)
        self.record("all nodes are ready")
        await asyncio.sleep(4)

    def publish(self, version: int, routes: list[dict], header_bytes: int = 16384) -> float:
        """The operator writes a configuration; returns the time of the store's ack."""
        names = sorted({machine.service for machine in self.machines})
        document = {
            "version": f"{version:08x}",
            "services": [
                {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1"}
                for name in names
            ],
            "limits": {
                "max_header_bytes": header_bytes,
                "max_body_bytes": MAX_BODY_BYTES,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "virtual_hosts": [{"host": HOST, "paths": routes}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        acked = time.monotonic()
        self.record(f"operator wrote version {version}, acknowledged")
        return acked

    def close(self) -> None:
        """Ends all processes that were started."""
        for machine in self.machines:
            machine.is_wanted = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.output.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.scratch, ignore_errors=True)


class Machine:
    """One machine: the node's process, and the target beside it."""

    def __init__(self, world: World, number: int, zone: str, service: str, base: int) -> None:
        self.world, self.number, self.zone, self.service = world, number, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.0.7.{number}"
        self.outbound, self.ready, self.control, self.app = base, base + 1, base + 2, base + 3
        self.base = base
        self.process: subprocess.Popen | None = None
        self.target: target.Target | None = None
        self.targets: list[target.Target] = []
        self.is_wanted = True
        self.own_ends = 0

    def settings(self) -> dict:
        """The fields of DEPLOY.md."""
        world = self.world
        return {
            "node": self.name,
            "zone": self.zone,
            "service": self.service,
            "ip": self.ip,
            "app_addr": f"{self.ip}:{self.app}",
            "port_range": [self.base + 10, self.base + 25],
            "heartbeat_s": target.BEAT_S,
            "listen": {
                "outbound": f"{self.ip}:{self.outbound}",
                "ready": f"{self.ip}:{self.ready}",
                "control": f"{self.ip}:{self.control}",
            },
            "limits": {"memory_mb": 150, "link_mbps": 1000.0},
            "platform": {"address": "{}:{}".format(*world.store_address)},
            "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 56},
        }

    def start_node(self) -> None:
        """Starts the process with the command and the template of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        text = _render((ROOT / role["template"]).read_text(), self.settings())
        path = self.world.scratch / f"{self.name}.yaml"
        path.write_text(text)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BUCKTHORNSTAGE_NODE_FILE"] = str(path)
        with (self.world.scratch / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record(f"node {self.name} started")

    def kill(self, why: str) -> None:
        """Ends the node's process with SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.world.record(f"node {self.name} killed: {why}")

    async def start_target(self, instance: str = "") -> None:
        """Starts a lifetime of the target beside the node."""
        instance = instance or f"i-{self.number:04x}{len(self.targets):04x}"
        self.target = target.Target(
            self.ip,
            self.app,
            (self.ip, self.control),
            self.service,
            self.zone,
            instance,
            self.world.record,
            self.world.slots,
        )
        self.targets.append(self.target)
        await self.target.start()

    async def is_ready(self) -> bool:
        """What the platform asks once a second."""
        first = "GET /buckthornstage/ready HTTP/1.1"
        answer = await http1.fetch(self.ip, self.ready, first, {}, b"", 1.0)
        return answer is not None and answer.status == 200

    def client(self) -> "Client":
        return Client(self)


class Client:
    """A client on a machine that keeps its connection; opens another if it has ended."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.reader = self.writer = None

    async def request(
        self, method: str, path: str, body: bytes = b"", remaining_ms: int = 1200, cookie: str = ""
    ) -> tuple[str, float, int | None, bytes]:
        """Id, time of sending, status (None: ended without a complete answer) and body."""
        world = self.machine.world
        attempt = f"{next(world.ids):016x}"
        headers = {"Host": HOST, "Attempt-Id": attempt, "Timeout-Remaining": str(remaining_ms)}
        if cookie:
            headers["Cookie"] = cookie
        sent = time.monotonic()
        status, answer = None, b""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    self.machine.ip, self.machine.outbound
                )
            self.writer.write(http1.encode(f"{method} {path} HTTP/1.1", headers, body))
            async with asyncio.timeout(remaining_ms / 1000 + 0.3):
                await self.writer.drain()
                response = await http1.read_message(self.reader)
            if response is not None:
                status, answer = response.status, response.body
                if response.headers.get("connection", "").lower() == "close":
                    self.close()
        except (OSError, TimeoutError, http1.BrokenError) as error:
            world.record(f"client of {self.machine.name}: {attempt} {error!r}")
        if status is None:
            self.close()
        world.record(
            f"client of {self.machine.name}: {attempt} {method} {path} {len(body)} bytes, sent"
            f" {sent - world.began:.3f}, status {status}, {answer[:60]!r}"
        )
        return attempt, sent, status, answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def route(name: str, prefix: str, kind: str, service: str, timeout_s: float = 1.2) -> dict:
    """A route of the operator's configuration."""
    return {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_s": timeout_s,
        "slo_latency_s": 0.4,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def _render(template: str, fields: dict) -> str:
    """Fills in {{a.b}} and {{a.b|json}}, as DEPLOY.md says."""

    def value(match: re.Match) -> str:
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def _free_ports() -> int:
    """First of 40 ports that are free on the first addresses."""
    for base in range(20000 + os.getpid() % 400 * 25, 32000, 41):
        node_ports = itertools.product((1, 2, 3), range(12))
        is_free = all(_is_free(f"127.0.7.{number}", base + port) for number, port in node_ports)
        if is_free and _is_free("127.0.0.1", base + 30):
            return base
    raise UnplayableError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def main(folder: str, machines: list[tuple[str, str]], play, slots: int = 9) -> None:
    """Runs `play(world, has_trouble)`; exits with 1 if it returns that the rule was broken."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    world = None
    try:
        world = World(pathlib.Path(folder).resolve(), machines, slots)

        async def run() -> bool:
            async with asyncio.timeout(110):
                return await play(world, has_trouble)

        code = 1 if asyncio.run(run()) else 0
        print("the rule was broken" if code else "the rule held")
    except (UnplayableError, OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
    finally:
        if world is not None:
            world.close()
    sys.stdout.flush()
    # Without the destructors of streams that belong to a loop which has ended.
    os._exit(code)
