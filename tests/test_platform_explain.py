import io

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.cli import command, main


def explain(*arguments):
    output, progress = io.StringIO(), io.StringIO()
    return main.main(list(arguments), output, progress), output.getvalue()


@pytest.mark.parametrize("kind", ["refused", "failed", "late"])
def test_the_cause_of_a_failed_call_is_found_from_its_id(kind, tmp_path):
    """Guards against failures that the logs cannot explain; one case for each kind."""

    async def run(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        paths = [platform_mesh.path_of("/pay/", "unsafe", timeout_s=0.3, slo_latency_s=0.2)]
        mesh.store.put("keyed.op", "config", platform_mesh.operator_record(7, paths))
        await mesh.start_store(version=0)
        target = platform_mesh.Target(SCRIPTS[kind])
        node = await mesh.start_node("n1", target)
        await platform_mesh.until(lambda: node.is_ready)
        if kind == "refused":
            status = {"state": "draining", "sequence": 9, "cold_left_s": 0}
            await mesh.announce(node, target, status=status)
        found = await platform_mesh.call(node, "/pay/1", "POST", attempt_id="complaint")
        assert found.status == {"refused": 503, "failed": 502, "late": 504}[kind]
        mesh.flush_logs()

    loopback.run(run)
    status, text = explain("explain", "complaint", str(tmp_path / "log.jsonl"))
    assert status == command.ExitStatus.SUCCESS
    assert CAUSES[kind] in text
    assert "[version 7]" in text


async def _sleep(arrival):
    await arrival.stream.receive_some(1)


SCRIPTS = {"refused": platform_mesh.response, "failed": lambda arrival: None, "late": _sleep}
CAUSES = {
    "refused": "reason=no_target",
    "failed": "door failed: reason=broken",
    "late": "reason=deadline_passed_in_call",
}


@pytest.mark.parametrize("waits", [False, True])
def test_a_call_that_its_caller_gave_up_tells_where_its_time_went(waits, tmp_path):
    """Guards against guarumo-mesh trouble-2, request 5948f87fc6767d1e: a 504 after 1,178 ms without
    a line of the ingress, so that neither a wait in its queue nor a long run could be told."""

    async def run(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = platform_mesh.Target(_sleep)
        served = await mesh.start_node("n1", target)
        caller = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: served.is_ready and caller.is_ready)
        peers = caller.directory.peers
        await platform_mesh.until(lambda: any(peer.is_open for peer in peers.values()))
        slots = served.ingress.queue.slots
        async with trio.open_nursery() as calls:
            for _ in range(slots if waits else 0):
                calls.start_soon(platform_mesh.call, served, "/pay/first", "POST")
            await platform_mesh.until(
                lambda: not waits or len(served.ingress.queue.running) == slots
            )
            with trio.move_on_after(0.2):
                await platform_mesh.call(caller, "/pay/1", "POST", attempt_id="complaint")
            await platform_mesh.until(lambda: mesh.events("abandoned"))
            calls.cancel_scope.cancel()

    loopback.run(run)
    _, text = explain("explain", "complaint", str(tmp_path / "log.jsonl"))
    assert "door abandoned: cause=caller_left" in text
    assert ("run_ms=None" in text) is waits


def lines(*events):
    return b"\n".join(map(msgspec.json.encode, events)) + b"\n"


def test_the_version_at_a_time_is_read_from_the_logs_of_all_nodes(tmp_path):
    """Guards against logs that do not show which version was active on a node at a given time."""
    first, second = tmp_path / "a.jsonl", tmp_path / "b.jsonl"
    started = {"at": 1.0, "node": "a", "event": "started"}
    activated = {"at": 2.0, "node": "a", "event": "in_force", "version": 3}
    newer = {"at": 9.0, "node": "a", "event": "in_force", "version": 4}
    first.write_bytes(b"not json {\n  2.0 prefix " + lines(started, activated, newer))
    second.write_bytes(lines({"at": 5.0, "node": "b", "event": "in_force", "version": 3}))
    files = (str(first), str(second))
    assert explain("version-at", *files, "--at=4")[1].splitlines() == ["a 3", "b unknown"]
    assert explain("version-at", *files, "--at=9.5", "--node=a")[1] == "a 4\n"
    assert explain("version-at", *files, "--at=soon")[0] == command.ExitStatus.USAGE
    assert explain("version-at", "--at=4")[0] == command.ExitStatus.USAGE


def test_an_unknown_id_is_said_to_be_unknown(tmp_path):
    """Guards against an empty output that looks like a valid result."""
    path = tmp_path / "a.jsonl"
    path.write_bytes(lines({"at": 1.0, "node": "a", "event": "answered", "call": "x"}))
    assert explain("explain", "y", str(path)) == (command.ExitStatus.REFUSED, "")
    assert explain("explain", "x")[0] == command.ExitStatus.USAGE


def test_lines_that_cannot_be_read_are_counted(tmp_path):
    """Guards against a time line with a gap that nobody notices."""
    path = tmp_path / "a.jsonl"
    whole = lines({"at": 1.0, "node": "a", "event": "answered", "call": "x"})
    path.write_bytes(whole + b'{"at":2.0,"node":"a","ev\n' + b"\n" + b"no event\n")
    output, progress = io.StringIO(), io.StringIO()
    status = main.main(["explain", "x", str(path)], output, progress)
    assert status == command.ExitStatus.SUCCESS
    assert "2 of 3 lines could not be read" in progress.getvalue()
