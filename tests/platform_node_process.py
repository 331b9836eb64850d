"""Test harness: one node as a process of its own, with a store and a target on loopback."""

import contextlib
import os
import pathlib
import subprocess
import sys

import msgspec
import trio

import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage.http import client, messages
from buckthornstage.platform import main
from buckthornstage.standins import platform_store

PROGRAM = pathlib.Path(main.__file__).parents[2] / "run_platform_node.py"
START_S = 20
BEAT_S = 0.5


class NodeProcess:
    """A running node; `settings` as for a node of `platform_mesh`."""

    def __init__(self, process, node_settings, log_path):
        self.process, self.settings, self.log_path = process, node_settings, log_path

    def peak_bytes(self):
        """Largest resident size of the process until now."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) << 10

    def processor_s(self):
        """Processor time that the process has used."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2]
        return sum(map(int, fields.split()[11:13])) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self, timeout_ms=1_000):
        """Whether the process answers the platform's probe in time, and is ready."""
        ready = messages.Request("GET", "/buckthornstage/ready")
        return await _ask(self.settings.ready_address, ready, timeout_ms) == 200


async def _ask(address, request, timeout_ms=1_000):
    try:
        return (await client.fetch(address, request, timeout_ms)).status
    except messages.HttpError:
        return None


async def announce(node, target, info):
    """Announces the target to its node until cancelled."""
    while True:
        request = platform_mesh.heartbeat_request(target, **({"info": info} if info else {}))
        await _ask(node.settings.announce_address, request)
        await trio.sleep(BEAT_S)


def running_far(nursery, tmp_path, target, node, info, record, **changes):
    """Like `running`, for a second node, whose target is of another service."""
    directory = pathlib.Path(tmp_path) / "far"
    directory.mkdir()
    changes.update(store_address=node.settings.store_address, service=platform_mesh.LIBRARY)
    info = {**info, "service": platform_mesh.LIBRARY}
    return running(nursery, directory, target, info, record, **changes)


@contextlib.asynccontextmanager
async def running(nursery, tmp_path, target, info=None, record=None, **changes):
    """A ready node with an open ingress to the target, which announces itself all the time.

    `changes` are settings of the node; with a `store_address` no other store is started.
    """
    if "store_address" not in changes:
        store = platform_store.PlatformStore(clocks.Clock())
        changes["store_address"] = platform_mesh.free_address()
        store.put("keyed.op", "config", record or platform_mesh.operator_record(1))
        await nursery.start(platform_store.serve, store, changes["store_address"])
    await nursery.start(target.serve)
    node_settings = platform_mesh.node_settings(node="n1", target_address=target.address, **changes)
    path, log_path = pathlib.Path(tmp_path) / "node.yaml", pathlib.Path(tmp_path) / "node.log"
    path.write_bytes(msgspec.yaml.encode(node_settings))
    environment = {**os.environ, main.SETTINGS_VARIABLE: str(path)}
    with log_path.open("wb") as log:
        process = subprocess.Popen([sys.executable, PROGRAM], env=environment, stdout=log)
    try:
        node = NodeProcess(process, node_settings, log_path)
        nursery.start_soon(announce, node, target, info)
        with trio.fail_after(START_S):
            while not await node.is_ready():
                await trio.sleep(0.05)
            while b'"status":"open"' not in log_path.read_bytes():
                await trio.sleep(0.05)
        yield node
    finally:
        process.kill()
        process.wait()
