"""Small deployment for the cases of the second review: nodes of the deploy file as processes, and
stand-ins for the store, targets, clients and the platform that follow the users' pages.

Only the standard library is used. All addresses are loopback addresses, one for each machine.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "mesh.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORT_NAMES = ("ready", "outbound", "control", "inbound", "app", "link")


def _could_not_run(kind, error, trace):
    """An error of a script is no broken rule; Python's own status for it would say so."""
    sys.__excepthook__(kind, error, trace)
    sys.stderr.flush()
    os._exit(NOT_RUN)


sys.excepthook = _could_not_run


def now():
    """Monotonic seconds."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = now()
        self.path = pathlib.Path(folder) / "record.txt"
        self.lines = []

    def at(self):
        """Seconds since the start."""
        return now() - self.began

    def add(self, what, **fields):
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.at():9.4f} {what} {text}".rstrip())

    def write(self):
        """Writes record.txt."""
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_head(reader):
    """Start line and headers (lower-case names) of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, to_end=False):
    """Body by its length or in chunks; raises IncompleteReadError if it is cut off."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if to_end else b""


def response(status, body=b"", fields=()):
    """Bytes of a response with a length."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store: keyed topics of one partition, as PROTOCOL.md tells them."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.newest = collections.defaultdict(dict)
        self.producers = {}
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self, address):
        """Listens on "IP:port"."""
        self.address = address
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), backlog=512)

    def put(self, topic, key, value):
        """Writes a record of a key; returns when it is acknowledged, which is at once."""
        self._store(topic, bytes([len(key)]) + key.encode() + value)

    def _store(self, topic, raw):
        offset = len(self.topics[topic])
        self.topics[topic].append(raw)
        key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
        self.newest[topic].pop(key, None)
        if value:
            self.newest[topic][key] = (offset, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                path, _, query = target.partition("?")
                found = dict(part.split("=", 1) for part in query.split("&") if part)
                await asyncio.sleep(0.004)
                status, content, kind = await self._handle(path.rpartition("/")[2], found, body)
                writer.write(response(status, content, [f"Content-Type: {kind}"]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, call, query, body):
        topic = query.get("topic", "")
        if call == "log-append":
            return self._append(topic, query, body)
        if call == "log-read":
            return await self._read(topic, query)
        if call == "log-newest":
            return self._page(topic, query.get("after", ""))
        return 404, b"{}", "application/json"

    def _append(self, topic, query, body):
        kind, end = "application/json", len(self.topics[topic])
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"range_end": end}).encode(), kind
        if "producer" in query:
            epoch = int(query["epoch"])
            if epoch < self.producers.get((topic, query["producer"]), 0):
                return 409, b'{"why": "fenced"}', kind
            self.producers[topic, query["producer"]] = epoch
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            self._store(topic, body[position + 4 : position + 4 + length])
            position += 4 + length
        found = {"offset": end, "range_end": len(self.topics[topic])}
        return 200, json.dumps(found).encode(), kind

    async def _read(self, topic, query):
        start, until = int(query["range_start"]), now() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(self.topics[topic]) and (left := until - now()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        records = self.topics[topic]
        content = struct.pack(">QQ", len(records), 0)
        for raw in records[start:]:
            content += struct.pack(">I", len(raw)) + raw
        return 200, content, "application/octet-stream"

    def _page(self, topic, after):
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(self.newest[topic].items())
            if key > after
        ]
        found = {"items": items, "has_more": False, "range_end": len(self.topics[topic])}
        return 200, json.dumps(found).encode(), "application/json"


class Target:
    """The application target of one machine. `work_s(path)` is how long it runs a request."""

    def __init__(self, machine, record, slots, work_s):
        self.machine, self.record, self.slots, self.work_s = machine, record, slots, work_s
        self.instance = f"i-{machine.name}-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.pace = ""
        """Fourth figure of its load, as ",100"."""
        self.crashes_on = None
        """Part of the path of a request that ends the target's process when it begins to run it."""
        self.down_s = 3.0
        self.clock_offset_s = 0.0
        """By how much the time of day of the machine is off."""
        self.writers = set()
        self.rejected_share = 0.0
        """Part of the requests that it rejects although it has free slots."""
        self.beats = None

    async def start(self):
        """Listens, and announces itself from now on."""
        self.born = int((time.time() + self.clock_offset_s) * 1000)
        host, port = self.machine.ip, self.machine.ports["app"]
        self.server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.beats = asyncio.create_task(self._announce())

    def crash(self):
        """Ends the process: connections break, and nothing is sent; it is back after a while."""
        self.record.add("crashes", target=self.instance, at=self.machine.name)
        self.server.close()
        self.beats.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.instance = ""
        asyncio.get_running_loop().call_later(self.down_s, self._restart)

    async def leave(self):
        """Deregisters, as before a planned end, and ends the process."""
        self.beats.cancel()
        path = f"/buckthornstage/Instances.Deregister/{self.instance}"
        body = json.dumps({"born": self.born}).encode()
        address = (self.machine.ip, self.machine.ports["control"])
        await once(address, "POST", path, body, 1.0)
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.record.add("target_leaves", target=self.instance, at=self.machine.name)

    def start_again_soon(self, down_s):
        """Ends the process and starts it again under the same id."""
        self.record.add("target_ends", target=self.instance, at=self.machine.name)
        self.server.close()
        self.beats.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(down_s, self._restart, self.instance)

    def _restart(self, instance=None):
        self.instance = instance or f"i-{self.machine.name}-{random.getrandbits(32):08x}"
        self.sequence, self.running = 0, 0
        self.record.add("target_starts", target=self.instance, at=self.machine.name)
        self.restart = asyncio.create_task(self.start())

    async def _announce(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.machine.world.heartbeat_s)

    async def beat(self):
        """Sends one ping; returns whether it was acknowledged within a second."""
        self.sequence += 1
        body = {
            "address": f"{self.machine.ip}:{self.machine.ports['app']}",
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold_left_s": 0},
            "born": self.born,
        }
        path = f"/buckthornstage/Instances.Heartbeat/{self.instance}"
        address = (self.machine.ip, self.machine.ports["control"])
        found = await once(address, "POST", path, json.dumps(body).encode(), 1.0)
        return found is not None and 200 <= found[0] < 300

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, path, _ = head[0].split(" ")
                await self._run(writer, method, path, head[1], body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, writer, method, path, fields, body):
        call = fields.get("attempt-id", "")
        echo = [f"Attempt-Id: {call}"]
        if fields.get("expect-instance", self.instance) != self.instance:
            writer.write(response(421, b"", [*echo, "Not-Executed: 1"]))
            return
        load = f"Server-Load: {self.running},0,{self.slots}{self.pace}"
        self.machine.world.arrivals.append((self.record.at(), call, self.machine.name))
        if self.running >= self.slots or random.random() < self.rejected_share:
            self.record.add("rejects", call=call, at=self.machine.name)
            writer.write(response(503, b"", [*echo, "Not-Executed: 1", load]))
            return
        self.running += 1
        tenant = fields.get("tenant", "")
        self.record.add("runs", call=call, at=self.machine.name, path=path, tenant=tenant)
        self.machine.world.runs.append((self.record.at(), call, self.machine.name, tenant))
        if self.crashes_on is not None and self.crashes_on in path:
            self.crash()
            return
        instance = self.instance
        try:
            await asyncio.sleep(self.work_s(path))
        finally:
            self.running -= self.instance == instance
        if self.instance != instance:
            return
        whole = f"body of {call}".encode()
        writer.write(response(200, whole, [*echo, "Response-Seal: s", load]))
        await writer.drain()


async def once(address, method, path, body=b"", timeout_s=1.0, fields=()):
    """One request on a new connection; status and headers, or None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *fields]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await read_head(reader)
            return None if head is None else (int(head[0].split(" ")[1]), head[1])
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One machine: its node process, its target, and whether the platform counts it as in."""

    def __init__(self, world, name, zone, service, ip, ports):
        self.world, self.name, self.zone, self.service = world, name, zone, service
        self.ip, self.ports = ip, ports
        self.process = None
        self.misses = 0
        self.idle = []
        self.target = None

    @property
    def is_in(self):
        """Whether its clients get work; two misses in a row take it out."""
        return self.misses < 2

    def settings(self):
        """Fields of DEPLOY.md for this machine."""
        address = {name: f"{self.ip}:{port}" for name, port in self.ports.items()}
        return {
            "node": self.name,
            "zone": self.zone,
            "service": self.service,
            "app_addr": address["app"],
            "ip": self.ip,
            "port_range": [self.ports["link"], self.ports["link"]],
            "listen": {name: address[name] for name in ("ready", "outbound", "control", "inbound")},
            "platform": {"address": self.world.store.address},
            "heartbeat_s": self.world.heartbeat_s,
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
            "bounds": self.world.bounds,
        }

    def start(self):
        """Starts the node with the command of the deploy file."""
        path = self.world.folder / f"{self.name}.yaml"
        path.write_text(render(ROOT / "deploy" / "node.yaml.template", self.settings()))
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BUCKTHORNSTAGE_NODE_FILE": str(path),
        }
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "src/run_platform_node.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.world.processes.append(self.process)
        self.world.record.add("node_starts", machine=self.name)

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the node."""
        self.world.record.add("signal", machine=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self, grace_s):
        """As the platform stops a process: SIGTERM, and SIGKILL after `grace_s`."""
        process, until = self.process, now() + grace_s
        self.kill(signal.SIGTERM)
        while process.poll() is None and now() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.kill()
        while process.poll() is None:
            await asyncio.sleep(0.01)
        self.world.record.add("node_ended", machine=self.name, code=process.poll())


def render(path, fields):
    """The settings' template with the platform's fields."""

    def value(match):
        name, _, form = match[1].partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, path.read_text())


def free_ports(ips):
    """Ports that are free on all addresses; the same on each machine of a day."""
    for base in random.sample(range(11_000, 30_000, 16), 200):
        sockets = []
        try:
            for ip, offset in itertools.product(ips, range(len(PORT_NAMES) + 1)):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    sockets.append(one)
                    one.bind((ip, base + offset))
            return base
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    sys.exit(NOT_RUN)


class World:
    """The machines, the store and the operator of one run."""

    heartbeat_s = 1.5

    def __init__(self, folder, places, bounds):
        """`places`: a zone and a service for each machine."""
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.bounds = bounds
        self.processes, self.runs, self.arrivals, self.machines = [], [], [], []
        ips = [f"127.0.{random.randrange(10, 250)}.{index + 2}" for index in range(len(places) + 1)]
        base = free_ports(ips)
        ports = {name: base + index for index, name in enumerate(PORT_NAMES)}
        self.store = Store()
        self.store_address = f"{ips[-1]}:{base + len(PORT_NAMES)}"
        for index, (zone, service) in enumerate(places):
            name = f"sidecar-{zone}-{index + 1}"
            self.machines.append(Machine(self, name, zone, service, ips[index], ports))

    def publish(self, document):
        """Writes a configuration as the operator does."""
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.add("configuration", version=document["version"])

    async def watch(self, machine):
        """The platform's question, once a second."""
        while True:
            address = (machine.ip, machine.ports["ready"])
            found = await once(address, "GET", "/buckthornstage/ready", b"", 1.0)
            is_ready = found is not None and found[0] == 200
            machine.misses = 0 if is_ready else machine.misses + 1
            await asyncio.sleep(1.0)

    def takes_clients(self, machine):
        """Whether the clients of a machine get work."""
        zone = [other for other in self.machines if other.zone == machine.zone]
        few = 2 * sum(other.is_in for other in zone) < len(zone)
        return machine.is_in or few

    async def wait_ready(self, timeout_s=20.0):
        """Returns when all nodes are ready; ends the run if they do not get so."""
        until = now() + timeout_s
        for machine in self.machines:
            address = (machine.ip, machine.ports["ready"])
            while (found := await once(address, "GET", "/buckthornstage/ready")) is None or (
                found[0] != 200
            ):
                if now() > until:
                    print(f"{machine.name} is not ready")
                    raise SystemExit(NOT_RUN)
                await asyncio.sleep(0.1)

    def end(self):
        """Ends all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self.record.write()
        self.temporary.cleanup()


def finish(status):
    """Ends the script at once, without waiting for the tasks of the stand-ins."""
    sys.stdout.flush()
    os._exit(status)


class Client:
    """Sends requests to machines on kept connections; each request has its own id."""

    def __init__(self, world):
        self.world = world
        self.ids = itertools.count(1)
        self.sent = {}
        self.answers = {}

    async def send(self, machine, method, path, key="", body=b"", budget_ms=1000):
        """One client attempt; returns (id, status), status None without an answer."""
        call = f"{next(self.ids):016x}"
        record = self.world.record
        reader = writer = None
        self.sent[call] = record.at()
        while machine.idle:
            reader, writer = machine.idle.pop()
            if not reader.at_eof():
                break
            writer.close()
            reader = None
        try:
            if reader is None:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        machine.ip, machine.ports["outbound"]
                    )
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {call}"]
            lines.append(f"Timeout-Remaining: {budget_ms}")
            if key:
                lines.append(f"Authorization: Token {key}")
            if body:
                lines.append(f"Content-Length: {len(body)}")
            self.sent[call] = record.at()
            record.add("sent", call=call, machine=machine.name, path=path)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError
                content = await read_body(reader, head[1], to_end=True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if writer is not None:
                writer.close()
            record.add("no_answer", call=call)
            self.answers[call] = (record.at(), None)
            return call, None
        status = int(head[0].split(" ")[1])
        record.add("answer", call=call, status=status)
        self.answers[call] = (record.at(), status)
        if status == 200 and content != f"body of {call}".encode():
            record.add("wrong_body", call=call)
        if head[1].get("connection", "").lower() == "close":
            writer.close()
        else:
            machine.idle.append((reader, writer))
        return call, status
