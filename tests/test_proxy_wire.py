"""Proxy tests over loopback sockets: what callers and targets see when connections break."""

import random

import pytest
import trio

import loopback
from buckthornstage.http import client, messages

ETAG = (b"etag", b'"v1"')
BIG = bytes(range(256)) * 1024  # 256 KiB, more than a node buffers


def test_errors_come_from_the_table_and_say_not_run():
    async def test(nursery):
        _, address = await loopback.start_proxy(
            nursery, [await loopback.listen(nursery, loopback.echo)]
        )
        deadline, depth = b"buckthornstage-deadline-ms", b"buckthornstage-depth"
        for method, path, fields, kind in (
            ("GET", "/nowhere", (), "no_route"),
            ("GET", "/print", (), "method_not_allowed"),
            ("POST", "/deposit", (), "bad_key"),
            ("GET", "/status/../print", (), "bad_request"),
            ("GET", "/status/%2E%2e/print", (), "bad_request"),
            ("GET", "http://host/status", (), "bad_request"),
            ("GET", "/status", ((deadline, b"-1"),), "bad_request"),
            ("GET", "/status", ((deadline, b"9" * 11),), "bad_request"),
            ("GET", "/status", ((deadline, b"5"), (deadline, b"6")), "bad_request"),
            ("GET", "/status", ((deadline, b"0"),), "deadline_exceeded"),
            ("GET", "/status", ((depth, b"16"),), "depth_exceeded"),
        ):
            response = await client.fetch(address, messages.Request(method, path, fields))
            assert response.header(b"buckthornstage-error") == kind
            assert response.header(b"buckthornstage-outcome") == "not-run"
        response = await client.fetch(address, messages.Request("GET", "/status/1?x=2"))
        assert (response.status, response.header(b"x-target")) == (200, "/status/1?x=2")

    loopback.run(test)


def test_node_without_a_table_answers_not_ready():
    async def test(nursery):
        proxy, address = await loopback.start_proxy(nursery, [])
        proxy.table_source = lambda: None
        response = await client.fetch(address, messages.Request("GET", "/status"))
        assert (response.status, response.header(b"buckthornstage-error")) == (503, "not_ready")

    loopback.run(test)


def test_headers_of_one_connection_stay_on_it_and_limits_are_carried():
    seen = []

    async def target(request):
        seen.append(dict(request.headers))
        fields = ((b"x-kept", b"1"), (b"x-hop", b"1"), (b"connection", b"x-hop"))
        return messages.Response(200, (*fields, (b"buckthornstage-outcome", b"not-run")), b"ok")

    async def test(nursery):
        _, address = await loopback.start_proxy(nursery, [await loopback.listen(nursery, target)])
        fields = (
            (b"connection", b"x-secret, keep-alive"),
            (b"x-secret", b"1"),
            (b"te", b"trailers"),
            (b"x-kept", b"1"),
            (b"buckthornstage-deadline-ms", b"700"),
            (b"buckthornstage-depth", b"3"),
        )
        response = await client.fetch(address, messages.Request("GET", "/status", fields))
        assert response.header(b"x-kept") == "1" and response.header(b"x-hop") is None
        assert response.header(b"buckthornstage-outcome") is None, "copied from a nested call"
        names = set(seen[0])
        assert b"x-kept" in names and not names & {b"x-secret", b"te", b"connection"}
        assert 0 < int(seen[0][b"buckthornstage-deadline-ms"]) <= 700
        assert seen[0][b"buckthornstage-depth"] == b"4"
        assert seen[0][b"buckthornstage-attempt"] == b"1"

    loopback.run(test)


def big_target(break_after, body=BIG, fault=""):
    """Target that serves a long artefact and breaks the first response after `break_after` bytes.

    `fault`: no-range (ignores range requests), version (responds to them with another ETag),
    chunked (declares no length).
    """
    state = {"breaks": 1, "ranges": []}

    async def parts(data, has_break):
        for start in range(0, len(data), 40_000):
            if has_break and start >= break_after:
                raise messages.ConnectionBrokenError("died")
            yield data[start : start + 40_000]

    async def handle(request):
        wanted = request.header(b"range")
        state["ranges"].append(wanted)
        data, status, fields = body, 200, (ETAG, (b"accept-ranges", b"bytes"))
        if wanted and fault != "no-range" and request.header(b"if-range") in (None, '"v1"'):
            first, last = wanted.removeprefix("bytes=").split("-")
            last = int(last or len(body) - 1)
            data, status = body[int(first) : last + 1], 206
            content_range = f"bytes {first}-{last}/{len(body)}".encode()
            etag = (b"etag", b'"v2"') if fault == "version" else ETAG
            fields = (etag, (b"content-range", content_range))
        has_break, state["breaks"] = state["breaks"] > 0, 0
        if fault != "chunked":
            fields = (*fields, (b"content-length", b"%d" % len(data)))
        return messages.Response(status, fields, stream=parts(data, has_break))

    return handle, state


@pytest.mark.parametrize("wanted", [None, b"bytes=1000-"])
def test_long_response_resumes_at_the_byte_where_it_stopped(wanted):
    async def test(nursery):
        handle, state = big_target(100_000)
        proxy, address = await loopback.start_proxy(
            nursery,
            [await loopback.listen(nursery, handle)] * 1 + [await loopback.listen(nursery, handle)],
        )
        fields = ((b"range", wanted),) if wanted else ()
        response = await client.fetch(address, messages.Request("GET", "/bulk/pack", fields))
        assert response.body == (BIG[1000:] if wanted else BIG)
        assert len(state["ranges"]) == 2 and proxy.metrics.counters["resumed"] == 1

    loopback.run(test)


@pytest.mark.parametrize(
    "method, path, fault, requests",
    [
        ("GET", "/bulk", "no-range", 2),
        ("GET", "/bulk", "version", 2),
        ("GET", "/bulk", "chunked", 1),
        ("POST", "/print", "", 1),
    ],
)
def test_response_that_cannot_be_resumed_is_seen_as_truncated(method, path, fault, requests):
    async def test(nursery):
        handle, state = big_target(100_000, fault=fault)
        addresses = [await loopback.listen(nursery, handle), await loopback.listen(nursery, handle)]
        proxy, address = await loopback.start_proxy(nursery, addresses)
        with pytest.raises(messages.ConnectionBrokenError):
            await client.fetch(address, messages.Request(method, path))
        assert len(state["ranges"]) == requests
        await loopback.wait_until_idle(proxy)

    loopback.run(test)


def raw_target(raw_response):
    async def handle(stream):
        await stream.receive_some(65536)
        await stream.send_all(raw_response)
        await stream.aclose()

    return handle


@pytest.mark.parametrize(
    "raw_response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nwithout a declared end",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200",
        b"garbage\r\n\r\n",
        b"",
    ],
)
def test_truncated_short_response_is_repeated_only_on_an_idempotent_route(raw_response):
    async def test(nursery):
        bad = await loopback.listen_raw(nursery, raw_target(raw_response))
        proxy, address = await loopback.start_proxy(nursery, [bad])
        response = await client.fetch(address, messages.Request("POST", "/print", body=b"x"))
        assert (response.status, response.header(b"buckthornstage-error")) == (502, "target_failed")
        assert response.header(b"buckthornstage-outcome") == "may-have-run"
        _, address = await loopback.start_proxy(
            nursery, [bad, await loopback.listen(nursery, loopback.echo)]
        )
        for _ in range(6):
            response = await client.fetch(address, messages.Request("GET", "/status"))
            assert (response.status, response.header(b"x-target")) == (200, "/status")
        await loopback.wait_until_idle(proxy)

    loopback.run(test)


def test_short_response_in_parts_arrives_whole():
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    async def test(nursery):
        handler = raw_target(head + b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
        _, address = await loopback.start_proxy(
            nursery, [await loopback.listen_raw(nursery, handler)]
        )
        response = await client.fetch(address, messages.Request("GET", "/status"))
        assert response.body == b"abcde"

    loopback.run(test)


def test_responses_are_not_crossed_when_callers_give_up():
    async def slow_echo(request):
        await trio.sleep(random.random() / 50)
        return messages.Response(200, body=request.target.encode())

    async def test(nursery):
        addresses = [await loopback.listen(nursery, slow_echo) for _ in range(2)]
        proxy, address = await loopback.start_proxy(nursery, addresses)

        async def caller(number):
            connection = await client.connect(address)
            for turn in range(15):
                path = f"/status/{number}/{turn}"
                with trio.move_on_after(0.005 if turn % 3 == 0 else 5) as scope:
                    response = await connection.fetch(messages.Request("GET", path))
                    assert response.body == path.encode()
                if scope.cancelled_caught:
                    await connection.close()
                    connection = await client.connect(address)

        async with trio.open_nursery() as callers:
            for number in range(8):
                callers.start_soon(caller, number)
        await loopback.wait_until_idle(proxy)

    loopback.run(test)


def test_shed_that_arrives_before_the_request_was_read_counts_as_not_run():
    # The target closes without reading the body; the failed send must not hide its response.
    shed = b"HTTP/1.1 503 Busy\r\nbuckthornstage-outcome: not-run\r\ncontent-length: 0\r\n\r\n"

    async def early(stream):
        await stream.send_all(shed)
        await stream.receive_some(1)
        await stream.aclose()

    async def test(nursery):
        addresses = [await loopback.listen_raw(nursery, early)]
        proxy, address = await loopback.start_proxy(nursery, addresses)
        request = messages.Request("POST", "/print", body=bytes(8 << 20))
        response = await client.fetch(address, request)
        assert response.header(b"buckthornstage-error") == "overloaded"
        assert proxy.metrics.counters["deaths"] == 0

    loopback.run(test)


def test_late_bytes_of_a_target_reach_nobody():
    async def late(stream):
        while await stream.receive_some(65536):
            first = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nA"
            await stream.send_all(first + b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nB")

    async def test(nursery):
        _, address = await loopback.start_proxy(nursery, [await loopback.listen_raw(nursery, late)])
        for _ in range(4):
            response = await client.fetch(address, messages.Request("GET", "/status"))
            assert response.body == b"A", "an unrequested response was taken for the next one"

    loopback.run(test)


def test_caller_that_disconnects_cancels_the_call_at_the_target():
    started, cancelled = trio.Event(), trio.Event()

    async def target(request):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async def test(nursery):
        proxy, address = await loopback.start_proxy(
            nursery, [await loopback.listen(nursery, target)]
        )
        stream = await loopback.open_raw(address)
        await stream.send_all(b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n")
        await started.wait()
        await stream.aclose()
        await cancelled.wait()
        await loopback.wait_until_idle(proxy)

    loopback.run(test)


def test_caller_that_stops_reading_a_long_response_frees_its_slot():
    async def test(nursery):
        handle, _ = big_target(1 << 30, body=BIG * 64)
        proxy, address = await loopback.start_proxy(
            nursery, [await loopback.listen(nursery, handle)]
        )
        stream = await loopback.open_raw(address)
        await stream.send_all(b"GET /bulk HTTP/1.1\r\nhost: a\r\n\r\n")
        await stream.receive_some(10)
        await stream.aclose()
        await loopback.wait_until_idle(proxy)

    loopback.run(test)


def test_drain_finishes_running_calls_and_refuses_new_connections():
    release, started = trio.Event(), trio.Event()

    async def target(request):
        started.set()
        await release.wait()
        return messages.Response(200, body=b"done")

    async def test(nursery):
        proxy, address = await loopback.start_proxy(
            nursery, [await loopback.listen(nursery, target)]
        )
        idle = await client.connect(address)
        await idle.fetch(messages.Request("GET", "/nowhere"))
        responses = []

        async def caller():
            responses.append(await client.fetch(address, messages.Request("GET", "/status")))

        nursery.start_soon(caller)
        await started.wait()
        nursery.start_soon(proxy.http_server.drain, 5_000, 50)
        with pytest.raises(messages.ConnectFailedError):
            while True:
                await (await client.connect(address)).close()
                await trio.sleep(0.005)
        while idle.is_open_and_idle():
            await trio.sleep(0.005)
        with pytest.raises(messages.HttpError):
            await idle.fetch(messages.Request("GET", "/nowhere"))
        release.set()
        while not responses:
            await trio.sleep(0.005)
        assert (responses[0].body, responses[0].header(b"connection")) == (b"done", "close")

    loopback.run(test)


def test_print_call_never_goes_out_on_a_connection_that_the_target_closed():
    # The target closes each idle connection; without a check the call would end as may-have-run.
    async def closing(stream):
        await stream.receive_some(65536)
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        await stream.aclose()

    async def test(nursery):
        proxy, address = await loopback.start_proxy(
            nursery, [await loopback.listen_raw(nursery, closing)]
        )
        for _ in range(5):
            response = await client.fetch(address, messages.Request("POST", "/print", body=b"x"))
            assert response.body == b"ok"
            idle = [entry for stack in proxy.dispatcher.pool.idle.values() for entry in stack]
            while idle and idle[0].connection.is_open_and_idle():
                await trio.sleep(0.001)

    loopback.run(test)


def test_crashing_request_is_refused_after_two_targets_and_others_go_on():
    reports = []

    async def test(nursery):
        def crashing():
            async def handle(stream):
                data = await stream.receive_some(65536)
                if b"poison" not in data:
                    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                await stream.aclose()

            return handle

        addresses = [await loopback.listen_raw(nursery, crashing()) for _ in range(4)]
        proxy, address = await loopback.start_proxy(
            nursery,
            addresses,
            on_crash=lambda fingerprint, target: reports.append((fingerprint, target.address)),
        )
        for _ in range(3):
            poison = messages.Request("POST", "/print", body=b"poison")
            response = await client.fetch(address, poison)
            assert response.header(b"buckthornstage-outcome") == "may-have-run"
        assert response.header(b"buckthornstage-error") == "crashes_targets"
        assert len(set(reports)) == len(reports) == 2
        response = await client.fetch(address, messages.Request("POST", "/print", body=b"x"))
        assert response.body == b"ok"
        other, address = await loopback.start_proxy(nursery, addresses)
        for fingerprint, target in reports:
            other.crash_guard.record(fingerprint, (target, 1), other.clock.now_ms())
        response = await client.fetch(address, poison)
        assert response.header(b"buckthornstage-error") == "crashes_targets", "reports of peers"

    loopback.run(test)
