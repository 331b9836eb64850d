"""Test harness: two node processes with targets, and a crowd of clients at the first of them."""

import contextlib
import os
import pathlib
import socket

import platform_node_process
import trio

import platform_mesh
from buckthornstage.http import messages

MB = 1 << 20
MEMORY_MB = 100
CLIENTS = 60
DESCRIPTORS_PER_CLIENT = 4
"""Of one node: a client, a link and a target connection for each client, and one more."""
LENGTH_S = 4
PACK = bytes(1_700_000)
LIMIT_MS = 10_000
INFO = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 18}
PATHS = (
    platform_mesh.path_of("/read/", "safe"),
    platform_mesh.path_of("/far-read/", "safe", platform_mesh.LIBRARY),
    platform_mesh.path_of("/pay/", "unsafe", timeout_s=10.0, slo_latency_s=9.0),
    platform_mesh.path_of("/pack/", "download", timeout_s=10.0, slo_latency_s=9.0),
    platform_mesh.path_of(
        "/far/", "download", platform_mesh.LIBRARY, timeout_s=10.0, slo_latency_s=9.0
    ),
)


def record(max_body_bytes):
    """The operator's configuration with this limit."""
    return platform_mesh.operator_record(1, PATHS, max_body_bytes=max_body_bytes)


RECORD = record(64 * MB)


def script(arrival):
    """Response of the targets: a long one to a download."""
    is_long = arrival.path.startswith(("/pack/", "/far/"))
    return platform_mesh.response(arrival, PACK if is_long else b"done")


@contextlib.asynccontextmanager
async def two_nodes(nursery, tmp_path, target_script=script, record=RECORD, **changes):
    """The clients' node with a target, and a node of another service with a target; both ready."""
    near, far = platform_mesh.Target(target_script), platform_mesh.Target(target_script)
    usual = {"memory_mb": float(MEMORY_MB), **changes}
    async with (
        platform_node_process.running(nursery, tmp_path, near, INFO, record, **usual) as node,
        platform_node_process.running_far(
            nursery, tmp_path, far, node, INFO, record, **usual
        ) as far_node,
    ):
        await _until_answered(node, "/far-read/0")
        yield node, far_node


async def _until_answered(node, path):
    with trio.fail_after(10):
        while True:
            with contextlib.suppress(messages.HttpError):
                if (await platform_mesh.call(node, path)).status == 200:
                    return
            await trio.sleep(0.1)


def encode(path, method="GET", body=b""):
    """A request as bytes."""
    request = platform_mesh.request(path, method, body, LIMIT_MS)
    fields = [*request.headers, (b"content-length", b"%d" % len(body))]
    lines = [f"{method} {path} HTTP/1.1".encode(), *(b": ".join(pair) for pair in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def connect(address):
    """Connection whose receive buffer is small, so that unread bytes stay at the node."""
    raw = trio.socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    host, port = address.split(":")
    await raw.connect((host, int(port)))
    return trio.SocketStream(raw)


def download(number, turn=0):
    """Path of a long response, of the near target and the far one by turns."""
    return f"/{'far' if number % 2 else 'pack'}/{number}-{turn}"


async def crowd(address, visit, clients=CLIENTS, length_s=LENGTH_S):
    """Runs `visit(stream, number, turn)` for each client on new connections again and again."""

    async def repeat(number):
        turn = 0
        while True:
            turn += 1
            with contextlib.suppress(trio.BrokenResourceError, OSError):
                stream = await connect(address)
                try:
                    await visit(stream, number, turn)
                finally:
                    await trio.aclose_forcefully(stream)
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(repeat, number)
        await trio.sleep(length_s)
        nursery.cancel_scope.cancel()


def check_bounds(*nodes, max_files=DESCRIPTORS_PER_CLIENT * CLIENTS):
    """Each process lives and has stayed within its memory and descriptors."""
    for node in nodes:
        assert node.process.poll() is None
        peak_mb = node.peak_bytes() / MB
        assert peak_mb <= MEMORY_MB, f"peak of {peak_mb:.0f} MB, {MEMORY_MB} allowed"
        open_files = len(os.listdir(pathlib.Path(f"/proc/{node.process.pid}/fd")))
        assert open_files <= max_files, f"{open_files} open, {max_files} allowed"


async def check_served(node, *paths):
    """One ordinary request for each of the targets is answered."""
    for path in paths or ("/read/1", "/far-read/1"):
        await _until_answered(node, path)
