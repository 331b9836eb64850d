"""Announcements, shutdowns and crashes of a target, with a real node on loopback."""

import dataclasses

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import client, messages
from buckthornstage.link import frames


def test_a_request_that_crashes_targets_is_refused_after_the_third(tmp_path):
    """Pattern: request that crashes targets. It is sent again, to any node."""

    async def test(mesh, node, target):
        for _ in range(3):
            assert (await platform_mesh.call(node, "/pay/crash", "POST", b"x")).status == 502
            target.born_ms, target.sequence = target.born_ms + 1, 0
            await mesh.announce(node, target)
        found = await platform_mesh.call(node, "/pay/crash", "POST", b"x")
        assert found.status == 503
        assert len(target.arrivals) == 3
        assert mesh.events("refused")[-1]["reason"] == "quarantined"

    platform_mesh.on_mesh(lambda arrival: None, test, tmp_path)


def test_lost_responses_of_a_running_target_cause_no_quarantine(tmp_path):
    """Pattern: responses lost at a target that lives on. Guards against refusing harmless calls."""

    async def test(mesh, node, target):
        for _ in range(5):
            found = await platform_mesh.call(node, "/pay/same", "POST", b"x")
            assert found.status == 502
            await mesh.announce(node, target)

    platform_mesh.on_mesh(lambda arrival: None, test, tmp_path)


def test_a_draining_target_gets_no_call_after_its_announcement(tmp_path):
    """Pattern: release. Guards against calls to a target that has been told that it may exit."""

    async def test(mesh, node, target):
        assert (await mesh.announce(node, target, status=_status(target, "draining"))).status == 200
        found = await platform_mesh.call(node, "/pay/1", "POST")
        assert found.status == 503
        assert float(found.header(b"retry-after")) > 0
        assert not target.arrivals

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_a_target_that_exits_after_its_leave_has_not_crashed(tmp_path):
    """Pattern: release. Guards against refusing a request for good because targets that it ran at
    exited as planned, with its connection open."""

    async def test(mesh, node, target):
        await mesh.announce(node, target)
        async with trio.open_nursery() as calls:
            calls.start_soon(platform_mesh.call, node, "/pay/1", "POST", b"x")
            await platform_mesh.until(lambda: target.arrivals)
            await mesh.announce(node, target, status=_status(target, "draining"))
            exits.set()
        node.ingress.lifetimes.current = dataclasses.replace(
            node.ingress.lifetimes.current, heard_ms=-60_000
        )
        status = frames.IngressStatus.TARGET_DOWN
        await platform_mesh.until(lambda: node.ingress.status() is status)
        assert not node.guard.deaths

    async def script(arrival):
        await exits.wait()

    exits = trio.Event()
    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_target_that_starts_with_an_earlier_clock_after_a_leave_gets_calls(tmp_path):
    """Pattern: leave and clock step. Guards against an ingress that stays closed for good, because
    the new lifetime seems older than the one that left."""

    async def test(mesh, node, target):
        await mesh.announce(node, target, status=_status(target, "draining"))
        left = (target.instance, target.born_ms)
        target.born_ms, target.sequence, target.instance = target.born_ms - 500, 0, "i-set-back"
        while (await platform_mesh.call(node, "/pay/1", "POST")).status != 200:
            await trio.sleep(0.05)
            await mesh.announce(node, target)
        assert node.ingress.lifetimes.current.instance == "i-set-back"
        assert left in node.ingress.lifetimes.ended

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def _status(target, state):
    return {"state": state, "sequence": target.sequence + 1, "cold_left_s": 0}


def test_draining_survives_a_restart_of_the_node(tmp_path):
    """Pattern: rolling restart during a release. Guards against a late "ready" of a target that
    announced to the former process that it drains; the peers remember it."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        peer = await mesh.start_node("n2")
        target, link = platform_mesh.Target(), platform_mesh.free_address()
        async with mesh.killed_at_exit():
            first = await mesh.start_node("n1", target, link=link)
            await platform_mesh.until(lambda: link in peer.directory.peers)
            await mesh.announce(first, target, status=_status(target, "draining"))
            await platform_mesh.until(lambda: peer.directory.peers[link].ended)
        states_before = len(mesh.events("target_state"))
        again = await mesh.start_node("n1", link=link, target_address=target.address)
        await platform_mesh.until(lambda: again.ingress.lifetimes.ended)
        assert (await mesh.announce(again, target)).status == 200
        assert again.ingress.status() is not frames.IngressStatus.OPEN
        await platform_mesh.until(lambda: again.ingress.is_informed)
        assert again.ingress.status() is frames.IngressStatus.TARGET_DRAINING
        states = [event["status"] for event in mesh.events("target_state")[states_before:]]
        assert states and "open" not in states

    loopback.run(main)


def test_another_target_at_the_address_closes_the_ingress(tmp_path):
    """Pattern: addresses that are used again. Guards against calls for the former target."""

    def script(arrival):
        return platform_mesh.response(arrival, status=421, Response_Seal=None)

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pay/1", "POST")).status == 503
        assert (await platform_mesh.call(node, "/pay/2", "POST")).status == 503
        assert len(target.arrivals) == 1

    platform_mesh.on_mesh(script, test, tmp_path)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"address": "127.0.0.1:1"}',
        b"\xff\xfe",
        b'{"address": 5, "info": {}, "status": {}, "born": 1}',
    ],
)
def test_foreign_announcements_change_nothing(body, tmp_path):
    """Guards against a foreign announcement that adds, replaces or removes a target."""

    async def test(mesh, node, target):
        path = "/buckthornstage/Instances.Heartbeat/i-foreign"
        address = node.settings.announce_address
        assert (
            await client.fetch(address, messages.Request("POST", path, body=body))
        ).status == 400
        assert node.ingress.lifetimes.current.instance == target.instance
        assert mesh.events("foreign_announcement")

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


@pytest.mark.parametrize(
    "changes", [{"address": "127.0.0.1:1"}, {"info": {"service": "other", "slots": 2}}]
)
def test_an_announcement_for_another_vm_is_refused(changes, tmp_path):
    """Guards against an ingress for an address or a service that is not in the settings."""

    async def test(mesh, node, target):
        response = await mesh.announce(node, target, **changes)
        assert response.status == 400
        assert node.ingress.lifetimes.current.sequence == 1

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)
