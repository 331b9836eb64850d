"""Planned stop of a node process in calm, with requests until its end."""

import dataclasses
import random
import signal

import platform_node_process
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import client, messages

GRACE_S = 6.0
EXIT_MARGIN_S = 0.2
LAST_SENT_S = 6.2
LEAST_MS, MOST_MS = 10, 60
"""Time between two requests."""
SPLIT_SHARE = 0.2
SPLIT_S = (0.01, 0.3)
LATE_S = 0.05
SLOTS = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 40}


@dataclasses.dataclass
class Sent:
    """A request, when it was sent after SIGTERM, and its status; None without a whole answer."""

    call_id: str
    at_s: float
    status: int | None = None
    took_s: float = 0.0


async def _exchange(connection, request, split_s):
    """Status of a request that is sent in two parts if `split_s` is not 0."""
    if not split_s:
        return (await connection.fetch(request)).status
    connection.is_usable = False
    data = connection._encode(request)
    half = len(data) // 2
    await connection.tcp_stream.send_all(data[:half])
    await trio.sleep(split_s)
    await connection.tcp_stream.send_all(data[half:])
    response = await connection._read_head(is_buffer_empty=True)
    while await connection.read_some() is not None:
        pass
    return response.status


class Client:
    """Sends requests on kept and on new connections, and records what became of them."""

    def __init__(self, node, timeout_s, seed):
        self.node, self.timeout_ms, self.random = node, int(timeout_s * 1_000), random.Random(seed)
        self.idle, self.sent = [], []

    async def send(self, at_s):
        method, path = self.random.choice((("GET", "/read/1"), ("POST", "/pay/1")))
        body = b"x" * self.random.choice((0, 10, 50_000)) if method == "POST" else b""
        is_split = self.random.random() < SPLIT_SHARE
        split_s = self.random.uniform(*SPLIT_S) if is_split else 0
        request = platform_mesh.request(path, method, body, self.timeout_ms)
        record = Sent(request.header(b"attempt-id"), at_s)
        self.sent.append(record)
        connection, began = None, trio.current_time()
        try:
            is_kept = self.idle and self.random.random() < 2 / 3
            address = self.node.settings.call_address
            connection = self.idle.pop() if is_kept else await client.connect(address)
            record.status = await _exchange(connection, request, split_s)
        except (messages.HttpError, trio.BrokenResourceError):
            pass
        record.took_s = trio.current_time() - began - split_s
        if connection is not None:
            self.keep(connection)

    def keep(self, connection):
        if connection.is_usable and connection.is_open_and_idle():
            self.idle.append(connection)
        else:
            connection.abort()


@pytest.mark.parametrize("is_leaving", [False, True], ids=["restart", "removal"])
@pytest.mark.parametrize(("timeout_s", "work_s"), [(0.6, 0.3), (1.5, 1.2)])
def test_a_planned_stop_answers_each_request_that_it_passed_on(
    timeout_s, work_s, is_leaving, tmp_path
):
    # Guards against requests, late in the grace time, that are passed on and cut at its end, and
    # against an answer of the node's own while their target is at work (LOST).
    choice = random.Random(f"{timeout_s} {is_leaving}")
    arrived = set()

    async def script(arrival):
        arrived.add(arrival.call_id)
        await trio.sleep(choice.uniform(0, work_s))
        return platform_mesh.response(arrival)

    paths = [
        platform_mesh.path_of(prefix, kind, timeout_s=timeout_s)
        for prefix, kind in (("/read/", "safe"), ("/pay/", "unsafe"))
    ]
    record = platform_mesh.operator_record(1, paths)

    async def main(nursery):
        own, other = platform_mesh.Target(script), platform_mesh.Target(script)
        async with platform_node_process.running(nursery, tmp_path, own, SLOTS, record) as node:
            mesh = platform_mesh.Mesh(nursery, tmp_path)
            mesh.store_address = node.settings.store_address
            remote = await mesh.start_node("n2", other)
            nursery.start_soon(platform_node_process.announce, remote, other, SLOTS)
            link = node.settings.link_address
            await platform_mesh.until(lambda: link in remote.directory.peers)
            sender = Client(node, timeout_s, 1)
            began = trio.current_time()
            if is_leaving:
                request = platform_mesh.heartbeat_request(own, state="draining", info=SLOTS)
                assert (await client.fetch(node.settings.announce_address, request)).status == 200
            node.process.send_signal(signal.SIGTERM)
            async with trio.open_nursery() as calls:
                while (at_s := trio.current_time() - began) < LAST_SENT_S:
                    calls.start_soon(sender.send, at_s)
                    await trio.sleep(choice.uniform(LEAST_MS, MOST_MS) / 1_000)
            with trio.fail_after(GRACE_S + EXIT_MARGIN_S):
                while node.process.poll() is None:
                    await trio.sleep(0.01)
            assert node.process.returncode == 0
            _check(sender.sent, arrived, timeout_s)

    loopback.run(main)


def _check(sent, arrived, timeout_s):
    passed_on = [one for one in sent if one.call_id in arrived]
    assert len(passed_on) >= 10
    assert [one for one in passed_on if one.status is None] == []
    early = [one for one in passed_on if one.status != 200 and one.took_s < timeout_s - LATE_S]
    assert early == []
