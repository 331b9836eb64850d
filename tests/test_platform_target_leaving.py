"""Targets that say in their responses that they are about to exit, on all nodes."""

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.mesh import peer_ingress
from buckthornstage.soak import proxy

DRAINING = frames.IngressStatus.TARGET_DRAINING
BEFORE_KILL_S = 0.6


def leaving(arrival, status=200, **headers):
    """Response of a target that is about to exit."""
    return platform_mesh.response(arrival, b"done", status, Server_Leaving="1", **headers)


def not_run(arrival):
    return leaving(arrival, 503, Not_Executed="1", Response_Seal=None)


def failed(arrival):
    return leaving(arrival, 500)


@pytest.mark.parametrize("script", [leaving, not_run, failed])
def test_a_target_that_leaves_gets_no_further_call(script, tmp_path):
    # Guards against a leave that is read from announcements only: the target may announce it to a
    # node that cannot tell the others, or seconds later (DRAIN).
    async def test(mesh, node, target):
        await platform_mesh.handle(node, "/pay/1", "POST", b"x")
        assert node.ingress.status() is DRAINING
        assert (await platform_mesh.handle(node, "/pay/2", "POST", b"x")).status == 503
        assert len(target.arrivals) == 1
        assert (await mesh.announce(node, target)).status == 200
        assert node.ingress.status() is DRAINING

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_late_second_response_tells_the_leave_too(tmp_path):
    # Guards against a leave that is skipped with the response to an earlier call (DRAIN).
    first = []

    def script(arrival):
        first.append(arrival)
        if len(first) == 1:
            return platform_mesh.response(arrival)
        return leaving(first[0]) + platform_mesh.response(arrival)

    async def test(mesh, node, target):
        assert (await platform_mesh.handle(node, "/read/1")).status == 200
        assert (await platform_mesh.handle(node, "/read/2")).status == 200
        assert node.ingress.status() is DRAINING

    platform_mesh.on_mesh(script, test, tmp_path)


def test_another_target_at_the_address_tells_nothing_of_this_one(tmp_path):
    # Guards against a leave taken from a target that has got the address of a former one.
    def script(arrival):
        return leaving(arrival, 421, Response_Seal=None)

    async def test(mesh, node, target):
        await platform_mesh.handle(node, "/pay/1", "POST", b"x")
        assert node.ingress.status() is frames.IngressStatus.TARGET_DOWN
        await mesh.announce(node, target)
        assert node.ingress.status() is frames.IngressStatus.OPEN

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_value_other_than_one_is_no_leave(tmp_path):
    # Guards against a target that is taken out because it says that it does not leave.
    def script(arrival):
        return platform_mesh.response(arrival, Server_Leaving="0")

    async def test(mesh, node, target):
        await platform_mesh.handle(node, "/read/1")
        assert node.ingress.status() is frames.IngressStatus.OPEN

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_call_tells_a_restarted_node_that_the_target_leaves(tmp_path):
    # Guards against a node that restarts, has heard of no leave from the store or from datagrams,
    # and runs a call of a node that knows of it (DRAIN).
    async def test(mesh, node, target):
        call = frames.Call(
            call_id="c1",
            method="POST",
            target="/pay/1",
            headers=(),
            body=b"",
            origin_service=platform_mesh.LIBRARY,
            service=platform_mesh.DESK,
            route="pay",
            priority=1,
            is_idempotent=False,
            goal_ms=500,
            latest_ms=500,
            deadline_ms=500,
            known_ended=(target.instance, target.born_ms),
        )
        outcome = await peer_ingress.run(node.ingress, call)
        assert isinstance(outcome, frames.Refused)
        assert outcome.state.status is DRAINING
        assert not target.arrivals

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


@pytest.mark.parametrize("status", [200, 503])
def test_a_caller_learns_the_leave_from_the_outcome_of_its_call(status, tmp_path):
    # Guards against a caller that forgets the leave once the node of the target has restarted: it
    # is bound by the response that it passed on, watched or not (DRAIN).
    script = leaving if status == 200 else not_run

    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), platform_mesh.Target(script)
        await mesh.start_store()
        own = await mesh.start_node("n1", target)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY, zone="z2")
        peers, link = calling.directory.peers, own.settings.link_address
        await platform_mesh.until(lambda: link in peers and peers[link].is_open)
        own.ingress.on_change = lambda: None  # no datagram tells of the leave
        response = await platform_mesh.handle(calling, "/pay/1", "POST", b"x")
        assert response.status == status
        assert peers[link].ended == (target.instance, target.born_ms)
        sent = []
        calling.egress.peer_calls.pool.acquire = sent.append
        assert (await platform_mesh.handle(calling, "/pay/2", "POST", b"x")).status == 503
        assert not sent
        assert len(target.arrivals) == 1

    loopback.run(main)


def test_a_restart_while_the_store_is_away_forgets_no_leave(tmp_path):
    # Guards against a late announcement that opens the ingress of a restarted node to a target
    # whose leave was told in a response only (DRAIN).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target, link = platform_mesh.Target(leaving), platform_mesh.free_address()
        await nursery.start(target.serve)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY, zone="z2")
        peers = calling.directory.peers
        async with mesh.killed_at_exit():
            first = await mesh.start_node("n1", link=link, target_address=target.address)
            await mesh.announce(first, target)
            await platform_mesh.until(lambda: link in peers and peers[link].is_open)
            mesh.store.faults.outage_status = 503
            assert (await platform_mesh.handle(calling, "/pay/1", "POST", b"x")).status == 200
        again = await mesh.start_node("n1", link=link, target_address=target.address)
        await mesh.announce(again, target)
        await platform_mesh.until(lambda: again.is_ready)
        for number in range(2, 6):
            await platform_mesh.handle(calling, f"/pay/{number}", "POST", b"x")
            await trio.sleep(0.3)
        assert len(target.arrivals) == 1

    loopback.run(main)


def test_a_leave_told_while_the_own_way_to_the_store_is_cut_survives_the_end_of_all_nodes(tmp_path):
    # Guards against a leave that only processes know of: soak seed 1120 refused the store link of
    # the target's node and killed all nodes 0.6 s after the response; the restarted node ran three
    # calls at the target, which announced itself as ready all the while (DRAIN).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target, link = platform_mesh.Target(leaving), platform_mesh.free_address()
        own_way = proxy.Proxy(mesh.store_address)
        for serve in (target.serve, own_way.serve):
            await nursery.start(serve)
        own = {"link": link, "target_address": target.address}
        other = {
            "service": platform_mesh.LIBRARY,
            "zone": "z2",
            "link": platform_mesh.free_address(),
        }
        async with mesh.killed_at_exit():
            mesh.store_address = own_way.address
            first = await mesh.start_node("n1", **own)
            mesh.store_address = own_way.upstream
            calling = await mesh.start_node("n2", **other)
            await mesh.announce(first, target)
            peers = calling.directory.peers
            await platform_mesh.until(lambda: link in peers and peers[link].is_open)
            await platform_mesh.until(lambda: not first.synchronization.is_writing)
            own_way.refuses = True
            own_way.reset_all()
            assert (await platform_mesh.handle(calling, "/pay/1", "POST", b"x")).status == 200
            await trio.sleep(BEFORE_KILL_S)
        again = await mesh.start_node("n1", **own)
        calling = await mesh.start_node("n2", **other)
        await mesh.announce(again, target)
        await platform_mesh.until(lambda: again.is_ready and calling.is_ready)
        for number in range(2, 6):
            await platform_mesh.handle(calling, f"/pay/{number}", "POST", b"x")
            await trio.sleep(0.3)
        assert len(target.arrivals) == 1

    loopback.run(main)
