"""An acknowledged leave of a target survives the end of all processes."""

import time

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import client, messages
from buckthornstage.link import frames
from buckthornstage.mesh import followers
from buckthornstage.standins import platform_store

DRAINING = frames.IngressStatus.TARGET_DRAINING
MAX_ANSWER_MS = 1_000
"""A target takes a later response for none and sends the ping again."""
SLOW_STORE_MS = 60
VERY_SLOW_STORE_MS = 450  # one write fits in the time for the response
CLOCK_STEP_MS = 30_000
NODES = "keyed.nodes"


def _deregistration(target, body):
    path = f"/buckthornstage/Instances.Deregister/{target.instance}"
    return messages.Request("POST", path, body=body)


def _by_heartbeat(target):
    return platform_mesh.heartbeat_request(target, state="draining")


def _by_deregistration(target):
    return _deregistration(target, msgspec.json.encode({"born": target.born_ms}))


def _without_start_time(target):
    return _deregistration(target, b"{}")


LEAVES = pytest.mark.parametrize("leave", [_by_heartbeat, _by_deregistration, _without_start_time])


async def _send(node, request):
    """Response, and the time in ms until it came."""
    began = trio.current_time()
    response = await client.fetch(node.settings.announce_address, request)
    return response, (trio.current_time() - began) * 1_000


def _with_store(test, tmp_path):
    """Runs `test(mesh, target, link)` with a store, a target, and a link address for its nodes."""

    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), platform_mesh.Target()
        await mesh.start_store()
        await nursery.start(target.serve)
        await test(mesh, target, platform_mesh.free_address())

    loopback.run(main)


async def _leave_and_kill_all(mesh, target, link, leave, is_announced=True):
    """Starts a node, acknowledges the leave, and kills all nodes at once."""
    async with mesh.killed_at_exit():
        node = await mesh.start_node("n1", link=link, target_address=target.address)
        other = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: node.is_ready and other.is_ready)
        if is_announced:
            await mesh.announce(node, target)
        await platform_mesh.until(lambda: not node.synchronization.is_writing)
        mesh.store.faults.slow_ms = SLOW_STORE_MS
        response, took_ms = await _send(node, leave(target))
        assert response.status == 200
        assert took_ms <= MAX_ANSWER_MS
    mesh.store.faults.slow_ms = 0


async def _restarted(mesh, target, link):
    """A node that has started again and has received a late announcement of the target."""
    again = await mesh.start_node("n1", link=link, target_address=target.address)
    await platform_mesh.until(lambda: again.is_ready)
    await mesh.announce(again, target)
    return again


@LEAVES
def test_an_acknowledged_leave_survives_the_kill_of_all_processes(leave, tmp_path):
    # Guards against a leave that is acknowledged before it is stored (DRAIN).
    async def test(mesh, target, link):
        await _leave_and_kill_all(mesh, target, link, leave)
        again = await _restarted(mesh, target, link)
        assert again.ingress.status() is DRAINING
        assert (await platform_mesh.handle(again, "/read/1")).status == 503
        assert not target.arrivals

    _with_store(test, tmp_path)


@pytest.mark.parametrize("leave", [_by_deregistration, _without_start_time])
def test_a_leave_of_a_target_that_is_not_known_yet_survives_too(leave, tmp_path):
    # Guards against a leave that changes no status and is therefore never stored: the node has
    # restarted and hears of the target for the first time (DRAIN).
    async def test(mesh, target, link):
        target.heartbeat()
        await _leave_and_kill_all(mesh, target, link, leave, is_announced=False)
        again = await _restarted(mesh, target, link)
        assert again.ingress.status() is DRAINING

    _with_store(test, tmp_path)


def test_leaves_of_two_lifetimes_are_both_kept(tmp_path):
    # Guards against a record with the newest leave only: the late announcement may be of the other.
    async def test(mesh, target, link):
        newer = platform_mesh.Target()
        async with mesh.killed_at_exit():
            node = await mesh.start_node("n1", link=link, target_address=target.address)
            await platform_mesh.until(lambda: node.is_ready)
            for one in (newer, target):
                response, _ = await _send(node, _by_deregistration(one))
                assert response.status == 200
        again = await _restarted(mesh, target, link)
        assert again.ingress.status() is DRAINING

    _with_store(test, tmp_path)


@LEAVES
@pytest.mark.parametrize("outage", [{"outage_status": 503}, {"is_silent": True}])
def test_a_leave_is_not_acknowledged_while_the_store_is_away(leave, outage, tmp_path):
    # Guards against an acknowledgement that only processes keep, and one that comes so late that
    # the target takes it for none. The leave itself counts at once.
    async def test(mesh, node, target):
        await platform_mesh.until(lambda: not node.synchronization.is_writing)
        for name, value in outage.items():
            setattr(mesh.store.faults, name, value)
        response, took_ms = await _send(node, leave(target))
        assert response.status == 503
        assert took_ms <= MAX_ANSWER_MS
        assert node.ingress.status() is DRAINING
        mesh.store.faults.outage_status, mesh.store.faults.is_silent = None, False
        with trio.fail_after(4):
            while (await _send(node, leave(target)))[0].status != 200:
                await trio.sleep(0.05)
        stored = mesh.store.partition(NODES).newest[node.settings.link_address][1]
        assert target.instance.encode() in stored

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_other_announcements_do_not_wait_for_the_store(tmp_path):
    # Guards against a target that is taken for silent because its node cannot reach the store.
    async def test(mesh, node, target):
        mesh.store.faults.is_silent = True
        response, took_ms = await _send(node, platform_mesh.heartbeat_request(target))
        assert response.status == 200
        assert took_ms <= MAX_ANSWER_MS / 2

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_an_older_write_that_comes_late_does_not_undo_a_leave(tmp_path):
    # Guards against a write without a response that the store runs after the one with the leave.
    async def test(mesh, target, link):
        mesh.store.faults.late_writes, mesh.store.faults.late_ms = 1, 600
        await _leave_and_kill_all(mesh, target, link, _by_deregistration)
        await trio.sleep(0.7)
        again = await _restarted(mesh, target, link)
        assert again.ingress.status() is DRAINING

    _with_store(test, tmp_path)


def test_a_peer_tells_a_stored_leave_to_a_node_that_the_store_turns_away(tmp_path):
    # Guards against a node that opens without its own record, which its peers have read.
    async def test(mesh, target, link):
        await _leave_and_kill_all(mesh, target, link, _by_deregistration)
        other = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: other.is_ready)
        again = await mesh.start_node(
            "n1", link=link, target_address=target.address, store_address="127.0.0.1:9"
        )
        await platform_mesh.until(lambda: again.is_ready)
        await mesh.announce(again, target)
        await platform_mesh.until(lambda: again.ingress.is_informed)
        assert again.ingress.status() is DRAINING

    _with_store(test, tmp_path)


def test_a_node_whose_clock_was_set_back_still_writes_its_record(tmp_path):
    # Guards against a write that the store refuses for ever, as the node's earlier process wrote
    # with a later time of day.
    async def test(mesh, target, link):
        ahead_ms = (time.time_ns() // 1_000_000) + CLOCK_STEP_MS
        producer = platform_store.Producer(epoch=ahead_ms)
        mesh.store.partition(NODES).producers[link] = producer
        await _leave_and_kill_all(mesh, target, link, _by_deregistration)
        again = await _restarted(mesh, target, link)
        assert again.ingress.status() is DRAINING

    _with_store(test, tmp_path)


def test_a_leave_behind_many_writes_of_the_record_is_acknowledged_in_time(tmp_path):
    # Guards against a leave that waits for the rate limit of repeated writes, so that its target
    # takes the response of a slow store for none.
    async def test(mesh, node, target):
        for _ in range(2 * followers.ROUND_BURST):
            response, _ = await _send(node, _by_deregistration(platform_mesh.Target()))
            assert response.status == 200
        mesh.store.faults.slow_ms = VERY_SLOW_STORE_MS
        response, took_ms = await _send(node, _by_deregistration(target))
        assert response.status == 200
        assert took_ms <= MAX_ANSWER_MS

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)
