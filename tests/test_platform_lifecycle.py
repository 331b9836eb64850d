"""Settings, logs, metrics and graceful stops of real nodes on loopback."""

import os

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage import errors
from buckthornstage.http import client, messages
from buckthornstage.mesh import events, settings


def test_a_stop_loses_no_call_that_was_read(tmp_path):
    """Pattern: rolling restart under load. Guards against calls that a graceful stop aborts."""

    async def script(arrival):
        await trio.sleep(0.5)
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        found = []

        async def call(number):
            found.append(await platform_mesh.call(node, f"/pay/{number}", "POST"))

        async with trio.open_nursery() as calls:
            calls.start_soon(call, 1)
            await trio.sleep(0.1)
            calls.start_soon(node.stop)
            await trio.sleep(0.1)
            ready = messages.Request("GET", "/buckthornstage/ready")
            assert (await client.fetch(node.settings.ready_address, ready)).status == 503
            calls.start_soon(call, 2)
        assert [response.status for response in found] == [200, 200]
        assert found[1].header(b"connection") == "close"
        assert mesh.events("drained")[0]["calls"] == 0

    platform_mesh.on_mesh(script, test, tmp_path)


def test_changed_settings_are_taken_without_a_signal(tmp_path):
    """Guards against a node that uses its target's former address after a change of the file."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.synchronization.has_directory)
        changed = msgspec.structs.replace(started.settings, service=platform_mesh.LIBRARY)
        started.path.write_text(msgspec.yaml.encode(changed).decode())
        await platform_mesh.until(lambda: mesh.events("reloaded"))
        assert mesh.events("reloaded")[0]["changed"] == ["service"]
        assert started.directory.own.service == platform_mesh.LIBRARY
        started.path.write_text("service: [")
        await platform_mesh.until(lambda: mesh.events("reload_refused"))
        assert started.settings.service == platform_mesh.LIBRARY

    loopback.run(main)


@pytest.mark.parametrize(
    "line", ["grace_s: soon", "call_address: nowhere", "unknown: 1", "retry_ratio: 7", "zone: [a"]
)
def test_wrong_settings_name_the_file_and_the_mistake(line, tmp_path):
    """Guards against a start with values that nobody configured, or errors that do not name the
    file, and the line where it is known."""
    path = tmp_path / "node.yaml"
    path.write_text(line + "\n")
    with pytest.raises(errors.SettingsError, match=r"node\.yaml"):
        settings.load(path)


def test_a_reader_that_does_not_read_neither_blocks_nor_fills_the_memory(tmp_path):
    """Guards against a node that blocks on a full pipe; lines on single calls are dropped first."""
    reader, writer = os.pipe()
    log = events.EventLog("n1", writer)
    for number in range(50_000):
        log.emit("caller", "answered", call=str(number), text="x" * 200)
    log.emit("node", "stopping", is_vital=True)
    assert log.pending_bytes <= events.MAX_BUFFERED_BYTES
    assert log.dropped > 40_000
    os.set_blocking(reader, False)
    first = os.read(reader, 1 << 20)
    assert msgspec.json.decode(first.splitlines()[0])["call"] == "0"
    log.flush()
    log.emit("node", "stopped", is_vital=True)
    log.flush()
    os.close(writer)


def test_metrics_show_what_was_answered(tmp_path):
    """Guards against missing metrics that alerts depend on."""

    async def test(mesh, node, target):
        await platform_mesh.call(node, "/read/1")
        address = node.settings.metrics_address
        text = (await client.fetch(address, messages.Request("GET", "/metrics"))).body.decode()
        assert 'buckthornstage_answers_total{reason="r-read 200"} 1' in text
        assert "buckthornstage_version 1" in text
        assert 'buckthornstage_answer_time_ms{route="r-read",quantile="0.99"}' in text

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_a_node_serves_although_the_port_of_its_metrics_is_taken(tmp_path):
    """Guards against a node that does not serve calls because its fixed metrics port is in use."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        taken = mesh.store_address
        started = await mesh.start_node("n1", platform_mesh.Target(), metrics_address=taken)
        await platform_mesh.until(lambda: started.is_ready)
        assert (await platform_mesh.call(started, "/read/1")).status == 200
        assert mesh.events("metrics_unavailable")[0]["address"] == taken

    loopback.run(main)


def test_a_target_that_still_runs_can_make_calls_while_its_node_stops(tmp_path):
    """Pattern: rolling restart under load.

    Guards against running calls that fail because their node has closed its call listener.
    """

    async def script(arrival):
        await trio.sleep(1.8)
        return platform_mesh.response(arrival)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = platform_mesh.Target(script)
        started = await mesh.start_node("n1", target)
        caller = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: any(p.state for p in caller.directory.peers.values()))
        async with trio.open_nursery() as calls:
            calls.start_soon(started.stop)
            await trio.sleep(1.0)
            calls.start_soon(platform_mesh.call, caller, "/read/1", "GET", b"", 4_000)
            await platform_mesh.until(lambda: target.arrivals)
            await trio.sleep(1.6)
            assert started.ingress.queue.running
            assert (await platform_mesh.call(started, "/none/1")).status == 404

    loopback.run(main)


def test_a_removed_machine_takes_no_call_that_it_cannot_finish(tmp_path):
    """Guards against lanyu scale-1 (score 49630407): a call read 5 s after SIGTERM was aborted."""
    found = []

    async def script(arrival):
        await trio.sleep(1.2)
        return platform_mesh.response(arrival)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        await mesh.start_node("n2", platform_mesh.Target(script))
        node_nursery = await nursery.start(_open_nursery)
        mesh.nursery = node_nursery
        stopping = await mesh.start_node("n1", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: any(p.state for p in stopping.directory.peers.values()))

        async def call(number):
            try:
                found.append((await platform_mesh.call(stopping, f"/read/{number}")).status)
            except messages.HttpError as error:
                found.append(type(error))

        async def stop():
            await stopping.stop()
            node_nursery.cancel_scope.cancel()  # the end of the process

        async with trio.open_nursery() as calls:
            calls.start_soon(stop)
            for number in range(9):
                calls.start_soon(call, number)
                await trio.sleep(0.65)

    loopback.run(main)
    assert found.count(200) > 3
    assert messages.ConnectionBrokenError not in found


async def _open_nursery(task_status):
    async with trio.open_nursery() as opened:
        task_status.started(opened)
        await trio.sleep_forever()


def test_lines_on_single_calls_are_written_together(tmp_path, monkeypatch):
    """Guards against a system call for each log line of each call, which costs processor time."""
    writes, os_write = [], os.write
    monkeypatch.setattr(os, "write", lambda *given: writes.append(given) or os_write(*given))
    with (tmp_path / "log").open("wb") as file:
        log = events.EventLog("n1", file.fileno())
        for number in range(50):
            log.emit("caller", "answered", call=str(number))
        assert len(writes) <= 1
        log.emit("node", "stopping", is_vital=True)
        assert len(writes) <= 2
    lines = [msgspec.json.decode(line) for line in (tmp_path / "log").read_bytes().splitlines()]
    assert [line.get("call") for line in lines] == [*map(str, range(50)), None]


def test_a_call_is_not_sent_to_a_node_that_was_just_removed_from_the_store(tmp_path):
    # Guards against a 500 of the node itself (KeyError) between the removal of a node and the next
    # refresh of the watched peers.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        removed = await mesh.start_node("n1", platform_mesh.Target())
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: any(p.state for p in calling.directory.peers.values()))
        assert (await platform_mesh.handle(calling, "/read/1")).status == 200
        calling.directory.drop(removed.settings.link_address)
        assert (await platform_mesh.handle(calling, "/read/2")).status == 503

    loopback.run(main)
