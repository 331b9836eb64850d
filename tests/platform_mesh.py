"""Test harness: mesh nodes, targets and the platform's store on loopback, in one process."""

import contextlib
import dataclasses
import itertools
import os
import pathlib

import msgspec
import trio

import loopback
from buckthornstage import clock as clocks
from buckthornstage.http import client, messages
from buckthornstage.link import connection, frames
from buckthornstage.membership import directory
from buckthornstage.mesh import events, metrics, node, peer_calls, settings
from buckthornstage.platform import main
from buckthornstage.standins import platform_store, ports

HOST = "shop.example"
DESK, LIBRARY = "desk", "library"
_ids = itertools.count(1)


free_address = ports.free_address


def path_of(prefix, kind, service=DESK, **changes):
    """One route in the operator's format."""
    route = {
        "name": f"r-{prefix.strip('/')}",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_s": 2.0,
        "slo_latency_s": 1.0,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return {**route, **changes}


PATHS = (path_of("/read/", "safe"), path_of("/pay/", "unsafe"), path_of("/pack/", "download"))


def operator_record(version, paths=PATHS, max_conns=110, **limits):
    """Encoded configuration record in the operator's format; `limits` replaces usual ones."""
    services = [
        {"name": name, "health_path": "/health", "max_conns": max_conns} for name in (DESK, LIBRARY)
    ]
    usual_limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    return msgspec.json.encode(
        {
            "version": f"{version:08x}",
            "services": services,
            "limits": {**usual_limits, **limits},
            "virtual_hosts": [{"host": HOST, "paths": list(paths)}],
        }
    )


def heartbeat_request(target, service=DESK, **changes):
    """The target's next announcement, as a request to its node."""
    path = f"/buckthornstage/Instances.Heartbeat/{target.instance}"
    return messages.Request("POST", path, body=target.heartbeat(service, **changes))


def node_settings(**changes):
    """Settings of a node with free addresses and the usual times; `changes` replaces some."""
    addresses = ("target", "call", "ready", "announce", "link", "metrics")
    usual = {
        **{f"{name}_address": free_address() for name in addresses},
        "zone": "z1",
        "service": DESK,
        "heartbeat_s": 1.5,
        "grace_s": 6.0,
        "retry_ratio": 0.2,
        "retry_slack": 56.0,
    }
    return settings.MeshSettings(**{**usual, **changes})


@dataclasses.dataclass
class Arrival:
    """A request as received by the target."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: trio.SocketStream

    @property
    def call_id(self):
        return self.headers["attempt-id"]


def response(arrival, body=b"done", status=200, **headers):
    """Encoded valid response of a target; `headers` adds headers or (with None) removes them."""
    fields = {"Attempt-Id": arrival.call_id, "Response-Seal": "seal", "Content-Length": len(body)}
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode() + body


class Target:
    """Target; `script(arrival)` returns the bytes to send, or None to close the connection."""

    def __init__(self, script=response):
        self.script = script
        self.address = free_address()
        self.arrivals = []
        self.closed = 0
        self.instance = f"i-{next(_ids)}"
        self.born_ms = 1_000 + next(_ids)
        self.sequence = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        host, port = self.address.split(":")
        await trio.serve_tcp(self._serve, int(port), host=host, task_status=task_status)

    async def _serve(self, stream):
        buffer = b""
        try:
            while (request := await loopback.read_request(stream, buffer)) is not None:
                *parts, buffer = request
                arrival = Arrival(*parts, stream)
                self.arrivals.append(arrival)
                result = self.script(arrival)
                if hasattr(result, "__await__"):
                    result = await result
                if result is None:
                    return
                await stream.send_all(result)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.closed += 1
            await trio.aclose_forcefully(stream)

    def heartbeat(self, service=DESK, state="ready", **changes):
        """Body of the target's next announcement."""
        self.sequence += 1
        announcement = {
            "address": self.address,
            "info": {"service": service, "version": "v1", "zone": "z1", "slots": 2},
            "status": {"state": state, "sequence": self.sequence, "cold_left_s": 0},
            "born": self.born_ms,
        }
        return msgspec.json.encode({**announcement, **changes})


class Mesh:
    """A store and nodes; all nodes write their events to `log_path`."""

    def __init__(self, nursery, tmp_path):
        self.nursery = nursery
        self.tmp_path = pathlib.Path(tmp_path)
        self.store = platform_store.PlatformStore(clocks.Clock())
        self.store_address = free_address()
        self.log_path = self.tmp_path / "log.jsonl"
        self.node_groups = [[]]
        self.logs = []

    async def start_store(self, version=1):
        if version:
            self.store.put("keyed.op", "config", operator_record(version))
        await self.nursery.start(platform_store.serve, self.store, self.store_address)

    async def start_node(self, name, target=None, zone="z1", service=DESK, link=None, **changes):
        """Starts a node and its target, if any; the target sends one announcement."""
        if target is not None:
            await self.nursery.start(target.serve)
        given = {
            "node": name,
            "zone": zone,
            "service": service,
            "store_address": self.store_address,
        }
        if target is not None:
            given["target_address"] = target.address
        if link is not None:
            given["link_address"] = link
        started_settings = node_settings(**{**given, **changes})
        path = self.tmp_path / f"{name}.yaml"
        path.write_text(msgspec.yaml.encode(started_settings).decode())
        descriptor = os.open(self.log_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        log = events.EventLog(name, descriptor)
        self.logs.append(log)
        started = node.MeshNode(started_settings, path, main.adapter(self.store_address), log)
        self.node_groups[-1].append(started)
        await started.start(self.nursery)
        if target is not None:
            assert (await self.announce(started, target)).status == 200
        return started

    @contextlib.asynccontextmanager
    async def killed_at_exit(self):
        """Nodes started in the block end with it without a graceful stop, like killed processes."""
        outer_nursery, nodes = self.nursery, []
        self.node_groups.append(nodes)
        async with trio.open_nursery() as self.nursery:
            yield
            self.nursery.cancel_scope.cancel()
        self.nursery = outer_nursery
        self.node_groups.pop()
        for ended in nodes:
            ended.peers.socket.close()

    async def announce(self, started, target, **changes):
        """Sends the target's next announcement to its node."""
        request = heartbeat_request(target, started.settings.service, **changes)
        return await client.fetch(started.settings.announce_address, request)

    def flush_logs(self):
        """Writes the log lines that nodes buffer until their next tick."""
        for log in self.logs:
            log.flush()

    def events(self, event):
        """Logged events with the given name."""
        self.flush_logs()
        lines = self.log_path.read_bytes().splitlines()
        return [line for line in map(msgspec.json.decode, lines) if line["event"] == event]


def request(target, method="GET", body=b"", remaining_ms=1_500, **headers):
    fields = {
        "host": HOST,
        "attempt-id": f"call-{next(_ids)}",
        "timeout-remaining": str(remaining_ms),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    pairs = tuple((name.encode(), value.encode()) for name, value in fields.items())
    return messages.Request(method, target, pairs, body)


def peer_calls_to(address):
    """Calls to one peer, as those of a node that knows no other; nothing is logged."""
    clock = clocks.Clock()
    known = directory.Directory(frames.NodeEntry("n0", "z1", DESK, free_address()))
    known.learn(frames.NodeEntry("n1", "z1", DESK, address), clock.now_ms())
    log = events.EventLog("n0", os.open(os.devnull, os.O_WRONLY))
    pool = connection.LinkPool(clock)
    return peer_calls.PeerCalls(clock, known, pool, log, metrics.Metrics())


async def call(started, target, *arguments, **headers):
    """Sends one call to a node and returns the response."""
    sent = request(target, *arguments, **headers)
    return await client.fetch(started.settings.call_address, sent)


async def handle(started, target, *arguments, **headers):
    """Passes one call directly to a node's egress and returns the response."""
    return await started.egress.handle(request(target, *arguments, **headers))


async def until(condition):
    """Waits until a condition holds, at most 10 s."""
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.01)


async def until_active(nodes, version):
    """Waits until a version is active at all nodes, at most 10 s."""
    await until(lambda: all(node.peers.version == version for node in nodes))


async def assert_active_within(nodes, version, limit_ms):
    """A version is active at all nodes after this time."""
    with trio.move_on_after(limit_ms / 1_000):
        await until_active(nodes, version)
    assert [node.peers.version for node in nodes] == [version] * len(nodes)


def on_mesh(script, test, tmp_path):
    """Runs `test(mesh, node, target)` with a ready node and a target that runs `script`."""

    async def main(nursery):
        mesh = Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = Target(script)
        node = await mesh.start_node("n1", target)
        await until(lambda: node.is_ready)
        await test(mesh, node, target)

    loopback.run(main)
