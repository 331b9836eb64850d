"""The stand-ins, run in one process. Tests of nodes are only valid if the stand-ins are right."""

import itertools
import pathlib
import subprocess
import sys

import msgspec
import pytest
import trio

from buckthornstage import clock, errors
from buckthornstage.demo import deployment
from buckthornstage.http import client, messages, server
from buckthornstage.platform import log_client
from buckthornstage.standins import (
    artefacts,
    backend_server,
    load,
    log_server,
    log_store,
    ports,
    run_record,
)


def _run(test, *arguments):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await test(nursery, *arguments)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def _listen(nursery, handler):
    listeners = await nursery.start(server.HttpServer(handler).serve, "127.0.0.1:0")
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def _log(nursery, retention=None, appends_per_second=1000.0):
    log = log_server.LogServer(
        retention or log_store.Retention(), appends_per_second, clock.Clock()
    )
    return log, log_client.LogClient(f"http://{await _listen(nursery, log.handle)}")


def _backend(path: pathlib.Path | None = None, node="", **options):
    config = backend_server.Config("127.0.0.1:1", node, "rounds-desk", **options)
    record = run_record.RunRecord(path)
    faults = backend_server.Faults(service_time_ms=0)
    return backend_server.BackendServer(config, faults, record, clock.Clock())


def test_lost_response_is_distinguished_from_an_outage():
    # A publisher that treats a lost response as a refusal publishes twice.
    async def test(nursery):
        log, client_of_log = await _log(nursery)
        log.faults.lose_answers = 1
        with pytest.raises(errors.LogResponseLostError):
            await client_of_log.append("config", b"lost")
        log.faults.outage = True
        for use in (client_of_log.append("config", b""), client_of_log.read("config", 1, 9, 0)):
            with pytest.raises(errors.LogUnavailableError):
                await use
        log.faults.outage = False
        batch = await client_of_log.read("config", 1, 9, 0)
        assert [record.payload for record in batch.records] == [b"lost"]

    _run(test)


def test_long_poll_returns_with_the_append_that_it_waits_for():
    async def test(nursery):
        log, client_of_log = await _log(nursery)
        batches = []

        async def read():
            batches.append(await client_of_log.read("config", 1, 9, 15_000))

        async with trio.open_nursery() as reader:
            reader.start_soon(read)
            while not log.counters.reads:
                await trio.sleep(0.01)
            assert await client_of_log.append("config", b"\x00\xff") == 1
        assert batches[0].head == 1
        assert batches[0].records[0].payload == b"\x00\xff"

    _run(test)


def test_read_below_the_first_retained_offset_gives_the_retained_part():
    async def test(nursery):
        log, client_of_log = await _log(nursery, log_store.Retention(records=2))
        for payload in (b"1", b"2", b"3"):
            await client_of_log.append("config", payload)
        batch = await client_of_log.read("config", 1, 9, 0)
        assert (batch.earliest, batch.head) == (2, 3)
        assert [record.offset for record in batch.records] == [2, 3]
        assert len(log.record("config")["records"]) == 3

    _run(test)


def test_append_over_the_rate_has_no_effect():
    async def test(nursery):
        log, client_of_log = await _log(nursery, appends_per_second=0.001)
        await client_of_log.append("config", b"1")
        with pytest.raises(errors.LogUnavailableError):
            await client_of_log.append("config", b"2")
        assert log.streams["config"].head == 1

    _run(test)


def test_backend_sheds_above_its_slots_and_records_only_what_ran(tmp_path):
    # Tests of nodes count runs with this record, so a refused request must not appear in it.
    path = tmp_path / "runs"

    async def test(nursery):
        backend = _backend(path, slots=1, connections=110)
        address = await _listen(nursery, backend.handle)
        slow = messages.Request(
            "POST", "/deposits", ((b"idempotency-key", b"k1"), (b"standin-service-ms", b"60000"))
        )
        running = await client.connect(address)
        nursery.start_soon(running.fetch, slow)
        while not backend.in_flight:
            await trio.sleep(0.01)
        quick = messages.Request("POST", "/deposits", ((b"idempotency-key", b"k2"),))
        response = await client.fetch(address, quick)
        assert (response.status, response.header(b"buckthornstage-outcome")) == (503, "not-run")
        assert response.header(b"buckthornstage-load") == "1/1"
        assert dict(run_record.runs_by_key(path)) == {"k1": 1}

    _run(test)


def test_backend_stops_work_at_the_deadline_and_when_the_caller_disconnects():
    async def test(nursery):
        backend = _backend(slots=2, connections=110)
        address = await _listen(nursery, backend.handle)
        slow = ((b"standin-service-ms", b"60000"),)
        deadline = (*slow, (b"buckthornstage-deadline-ms", b"20"))
        response = await client.fetch(address, messages.Request("GET", "/", deadline))
        assert (response.status, response.header(b"buckthornstage-outcome")) == (
            504,
            "may-have-run",
        )
        with pytest.raises(messages.TimedOutError):
            await client.fetch(address, messages.Request("GET", "/", slow), timeout_ms=50)
        while backend.in_flight:
            await trio.sleep(0.01)
        counters = backend.record.counters
        assert (counters["deadline_passed_in_call"], counters["cancelled"]) == (1, 1)
        assert counters["finished"] == 0

    _run(test)


def test_artefact_resumes_at_any_byte_and_only_with_the_same_etag():
    async def test(nursery):
        size = 200_000
        backend = _backend(slots=1, connections=110, artefacts={"/packs/": size})
        address = await _listen(nursery, backend.handle)
        whole = await client.fetch(address, messages.Request("GET", "/packs/a"))
        assert whole.body == artefacts.content("/packs/a", size)
        etag = whole.header(b"etag").encode()
        resume = ((b"range", b"bytes=70000-"), (b"if-range", etag))
        part = await client.fetch(address, messages.Request("GET", "/packs/a", resume))
        assert (part.status, part.body) == (206, whole.body[70_000:])
        other = ((b"range", b"bytes=70000-"), (b"if-range", b'"other"'))
        changed = await client.fetch(address, messages.Request("GET", "/packs/a", other))
        assert (changed.status, changed.body) == (200, whole.body)

    _run(test)


def test_announcement_has_the_fields_of_a_target_record():
    async def test(nursery):
        bodies = []

        async def node(request):
            bodies.append(msgspec.json.decode(request.body, type=dict))
            return messages.Response(200)

        address = await _listen(nursery, node)
        backend = _backend(slots=3, connections=110, leave_ms=0, node=address)
        await backend.announce()
        await backend.leave()
        assert [body["status"] for body in bodies] == ["ready", "leaving"]
        assert bodies[0]["slots"] == 3

    _run(test)


def test_caller_counts_a_response_to_another_request_as_wrong():
    # The check that responses are complete (I4) depends on this.
    async def test(nursery):
        async def node(request):
            return messages.Response(200, body=b'{"request_id": "of-another-call"}')

        address = await _listen(nursery, node)
        plan = load.Plan((address,), "/schedules/{n}", rate=200, duration_ms=20)
        results = await load.Caller(plan, clock.Clock()).run()
        assert dict(results.outcomes) == {"wrong": 4}

    _run(test)


def test_caller_goes_to_another_node_only_when_nothing_ran():
    async def test(nursery):
        backend = _backend(slots=50, connections=110)

        async def leaving(request):
            headers = ((b"buckthornstage-error", b"leaving"),)
            return messages.Response(503, headers)

        addresses = (
            "127.0.0.1:1",
            await _listen(nursery, leaving),
            await _listen(nursery, backend.handle),
        )
        plan = load.Plan(addresses, "/x", rate=300, duration_ms=20, key_mode="uuid7")
        results = await load.Caller(plan, clock.Clock()).run()
        assert dict(results.outcomes) == {"whole": 6}
        assert backend.record.by_key == dict.fromkeys(results.key_outcomes, 1)

    _run(test)


def test_append_after_a_restart_of_the_log_does_not_count_as_lost():
    # The restart closed the idle connection; a request sent on it would have an unknown outcome.
    async def test(nursery):
        log = log_server.LogServer(log_store.Retention(), 1000.0, clock.Clock())
        async with trio.open_nursery() as first:
            address = await _listen(first, log.handle)
            client_of_log = log_client.LogClient(f"http://{address}")
            await client_of_log.append("config", b"1")
            first.cancel_scope.cancel()
        await nursery.start(server.HttpServer(log.handle).serve, address)
        assert await client_of_log.append("config", b"2") == 2

    _run(test)


def test_connection_above_the_limit_is_refused_as_not_run():
    async def test(nursery):
        backend = _backend(slots=9, connections=1)
        http_server = server.HttpServer(backend.handle)
        backend.open_connections = lambda: http_server.connections
        listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        first = await client.connect(address)
        assert (await first.fetch(messages.Request("GET", "/"))).status == 200
        second = await client.connect(address)
        response = await second.fetch(messages.Request("GET", "/"))
        assert (response.status, response.header(b"buckthornstage-outcome")) == (503, "not-run")
        assert not second.is_usable
        assert backend.record.counters["runs"] == 1

    _run(test)


def test_ports_of_concurrent_runs_are_chosen_apart():
    # Guards against "address already in use" in a test of real processes: another run had chosen a
    # port of its reservation, and listened on it first.
    chosen = set(range(ports.FIRST_PORT, ports.LAST_PORT))
    assert chosen.isdisjoint(range(deployment.FIRST_PORT, deployment.LAST_PORT))
    assert int(ports.free_address().rpartition(":")[2]) in chosen


def test_no_port_is_chosen_by_two_processes():
    # Guards against "address already in use" in tests that run at the same time: the process IDs of
    # two runs differed by 7, so that their first ports to try did too.
    program = (
        "import buckthornstage.standins.ports as ports\n"
        "print(*(ports.free_address().rpartition(':')[2] for _ in range(300)), flush=True)\n"
        "input()"
    )
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(9)
    ]
    chosen = [run.stdout.readline().split() for run in runs]
    for run in runs:
        run.communicate("\n")
    assert [len(set(ports_of_run)) for ports_of_run in chosen] == [300] * 9
    assert len(set(itertools.chain.from_iterable(chosen))) == 9 * 300
