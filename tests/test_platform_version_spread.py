"""How a version reaches the nodes that do not read it in the store themselves."""

import dataclasses
import functools
import socket
import time

import trio

import loopback
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.mesh import versions

CONFIG = ("keyed.op", "config")
APPLY_MS = 2_000
"""`config_apply_s` of the platform's rules."""
PATHS = (
    platform_mesh.path_of("/desk/", "safe"),
    platform_mesh.path_of("/library/", "safe", platform_mesh.LIBRARY),
)


def record(version):
    added = [platform_mesh.path_of(f"/added-{number}/", "safe") for number in range(version)]
    return platform_mesh.operator_record(version, [*PATHS, *added])


def ignore_store_configurations(started):
    """Makes a node ignore all configurations that it reads from the store."""
    started.adapter = dataclasses.replace(started.adapter, configuration_of=lambda found: None)


def connected_to(node):
    """Socket that sends datagrams to a node."""
    host, _, port = node.settings.link_address.rpartition(":")
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((host, int(port)))
    return sender


async def call_often(node, path, statuses):
    while True:
        response = await platform_mesh.call(node, path)
        statuses.append(response.status)
        await trio.sleep(0.02)


def test_nodes_that_call_each_other_all_the_time_tell_their_versions(tmp_path):
    """Guards against a version that a busy node lacks until its calls pause: one lost datagram, and
    no probe was sent while responses arrived."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put(*CONFIG, record(1))
        await mesh.start_store(version=0)
        first = await mesh.start_node("n1", platform_mesh.Target())
        service = platform_mesh.LIBRARY
        second = await mesh.start_node("n2", platform_mesh.Target(), service=service)
        ignore_store_configurations(second)
        await platform_mesh.until(lambda: first.is_ready and second.is_ready)
        statuses = []
        nursery.start_soon(call_often, first, "/library/x", statuses)
        nursery.start_soon(call_often, second, "/desk/x", statuses)
        await platform_mesh.until(lambda: statuses.count(200) > 50)
        # The datagram that announces the version is lost.
        first.peers.announce_version = lambda is_from_store: None
        mesh.store.put(*CONFIG, record(2))
        await platform_mesh.assert_active_within([first, second], 2, APPLY_MS)

    loopback.run(main)


BUSY_PASS_MS = 50
WAITING_DATAGRAMS = 60


async def be_busy():
    """Makes each pass of the loop last as long as in a node with many calls."""
    while True:
        time.sleep(BUSY_PASS_MS / 1_000)
        await trio.lowlevel.checkpoint()


def test_a_busy_node_reads_all_datagrams_that_wait(tmp_path):
    """Guards against news that is seconds old: a node read one datagram in each pass of its loop,
    fewer than its peers sent."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put(*CONFIG, record(1))
        await mesh.start_store(version=0)
        first = await mesh.start_node("n1")
        await platform_mesh.until(lambda: first.is_ready)
        entry = frames.NodeEntry("n2", "z1", platform_mesh.DESK, platform_mesh.free_address())
        state = frames.IngressState(frames.IngressStatus.OPEN)
        with connected_to(first) as sender:
            for sequence in range(WAITING_DATAGRAMS):
                beacon = frames.Beacon(entry, 1, sequence, False, -1, 1, state)
                sender.send(frames.encode_beacon(beacon))
        nursery.start_soon(be_busy)
        with trio.move_on_after(1):
            while not _is_heard_to_the_end(first, entry.link_address):
                await trio.sleep(0)
        assert _is_heard_to_the_end(first, entry.link_address)

    loopback.run(main)


def _is_heard_to_the_end(node, address):
    peer = node.directory.peers.get(address)
    return peer is not None and peer.sequence == WAITING_DATAGRAMS - 1


class CountingSocket:
    """A node's datagram socket that counts the reads which find nothing."""

    def __init__(self, inner):
        self.inner = inner
        self.empty_reads = 0

    def recvfrom(self, size):
        try:
            return self.inner.recvfrom(size)
        except BlockingIOError:
            self.empty_reads += 1
            raise

    def __getattr__(self, name):
        return getattr(self.inner, name)


def test_a_node_rarely_reads_datagrams_where_none_waits(tmp_path):
    """Guards against the cost of an empty read behind each datagram, which is as high as that of
    reading one."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        first = await mesh.start_node("n1")
        await platform_mesh.until(lambda: first.is_ready)
        first.peers.socket = counting = CountingSocket(first.peers.socket)
        address = platform_mesh.free_address()

        def has_heard(version):
            peer = first.directory.peers.get(address)
            return peer is not None and peer.sequence == version

        with connected_to(first) as sender:
            for version in range(1, WAITING_DATAGRAMS + 1):
                sender.send(announcement(address, version))
                await platform_mesh.until(functools.partial(has_heard, version))
        assert counting.empty_reads <= 1 + WAITING_DATAGRAMS // 2

    loopback.run(main)


def announcement(address, version):
    """The datagram with which a node of zone z1 tells its version."""
    entry = frames.NodeEntry("n9", "z1", platform_mesh.DESK, address)
    state = frames.IngressState(frames.IngressStatus.OPEN)
    return frames.encode_beacon(frames.Beacon(entry, 1, version, False, -1, version, state))


def test_a_peer_that_froze_after_its_announcement_does_not_hold_a_version_up(tmp_path):
    """Pattern: config storm, and a machine that freezes. Guards against a node that waits for one
    peer while others have the version."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put(*CONFIG, record(1))
        await mesh.start_store(version=0)
        first, second = await mesh.start_node("n1"), await mesh.start_node("n2")
        ignore_store_configurations(second)
        await platform_mesh.until(lambda: first.is_ready and second.is_ready)
        # It accepts connections, as the kernel does for a frozen process, and answers nothing.
        frozen = await loopback.listen_raw(nursery, lambda stream: trio.sleep_forever())
        announce_version = first.peers.announce_version

        def announce_after_frozen(is_from_store):
            with connected_to(second) as sender:
                sender.send(announcement(frozen, first.peers.version))
            announce_version(is_from_store)

        mesh.store.put(*CONFIG, record(2))
        await platform_mesh.until(lambda: first.peers.version == second.peers.version == 2)
        # The first node pauses now before it reads again.
        first.peers.announce_version = announce_after_frozen
        mesh.store.put(*CONFIG, record(3))
        await platform_mesh.assert_active_within([first, second], 3, APPLY_MS)

    loopback.run(main)


def test_a_frozen_peer_that_tells_newer_versions_is_not_asked_before_others(tmp_path, monkeypatch):
    """Guards against a node whose three fetches all wait for one peer: its connections are silent
    and its datagrams are not."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put(*CONFIG, record(1))
        await mesh.start_store(version=0)
        first, second = await mesh.start_node("n1"), await mesh.start_node("n2")
        ignore_store_configurations(second)
        await platform_mesh.until(lambda: first.is_ready and second.is_ready)
        frozen = await loopback.listen_raw(nursery, lambda stream: trio.sleep_forever())
        # Of several peers the one with the newest version is chosen, so the frozen one.
        monkeypatch.setattr("random.choice", lambda found: max(found, key=lambda p: p.version))

        async def tell_newer_versions():
            with connected_to(second) as sender:
                for version in range(10, 100):
                    sender.send(announcement(frozen, version))
                    await trio.sleep(0.1)

        nursery.start_soon(tell_newer_versions)
        await platform_mesh.until(lambda: second.synchronization.is_fetching)
        mesh.store.put(*CONFIG, record(2))
        await platform_mesh.assert_active_within([second], 2, APPLY_MS)

    loopback.run(main)


def test_a_node_without_a_configuration_gets_a_whole_one_although_there_was_a_version_0(tmp_path):
    """Guards against a node that refuses the delta from version 0, which it never had, and serves
    nothing until four versions later."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put(*CONFIG, record(0))
        await mesh.start_store(version=0)
        first = await mesh.start_node("n1")
        await platform_mesh.until(lambda: first.is_ready)
        mesh.store.put(*CONFIG, record(1))
        await platform_mesh.until(lambda: first.peers.version == 1)
        copy = first.versions.make_copy(frames.Fetch(0))
        assert versions.unpack(copy.configuration) == first.versions.configuration

    loopback.run(main)
