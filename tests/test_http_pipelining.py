"""Pipelined requests on one connection: order, bounds, and how the connection ends."""

import contextlib
import re

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.http import messages, server
from buckthornstage.limits import request_pipeline


def head(target, method="GET", **headers):
    fields = {"host": "a", **{name.replace("_", "-"): value for name, value in headers.items()}}
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields)]
    return "\r\n".join([*lines, "", ""]).encode()


def requests(*targets):
    return b"".join(map(head, targets))


def is_safe(request):
    return request.target.startswith("/safe")


class Handler:
    """Responds with the target of the request; `gates` hold requests back until they are set."""

    def __init__(self, *held):
        self.gates = {target: trio.Event() for target in held}
        self.started = []
        self.cancelled = []
        self.running = self.most_running = 0

    async def __call__(self, request):
        self.started.append(request.target)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if request.target in self.gates:
                await self.gates[request.target].wait()
            else:
                await trio.lowlevel.checkpoint()
        except trio.Cancelled:
            self.cancelled.append(request.target)
            raise
        finally:
            self.running -= 1
        return messages.Response(200, (), request.target.encode() + b":" + request.body)


async def start(nursery, handler):
    http_server = server.HttpServer(handler, may_overlap=is_safe)
    listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    return http_server, await loopback.open_raw(address)


async def receive_until(stream, end, limit_seconds=5):
    data = b""
    with trio.fail_after(limit_seconds):
        while end not in data:
            chunk = await stream.receive_some(65536)
            assert chunk, f"closed after {data!r}"
            data += chunk
    return data


def bodies(data):
    """Targets that the responses name, in order."""
    return [found.decode() for found in re.findall(rb"(/[\w-]+):", data)]


async def settled():
    """Lets the server read what was sent and start what it may."""
    await trio.sleep(0.1)


def test_requests_sent_together_run_side_by_side_and_are_answered_in_order():
    """Guards against a queue within a connection: four calls of 200 ms took 813 ms."""

    async def slow(request):
        await trio.sleep({"/safe0": 0.3}.get(request.target, 0.2))
        return messages.Response(200, (), request.target.encode() + b":")

    async def test(nursery):
        _, stream = await start(nursery, slow)
        began = trio.current_time()
        await stream.send_all(requests("/safe0", "/safe1", "/safe2", "/safe3"))
        data = await receive_until(stream, b"/safe3:")
        assert trio.current_time() - began < 0.6
        assert bodies(data) == ["/safe0", "/safe1", "/safe2", "/safe3"]

    loopback.run(test)


def test_requests_that_arrive_while_another_runs_do_not_wait_for_it():
    async def test(nursery):
        handler = Handler("/safe0")
        _, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0"))
        await settled()
        await stream.send_all(requests("/safe1"))
        await settled()
        assert handler.started == ["/safe0", "/safe1"]
        handler.gates["/safe0"].set()
        assert bodies(await receive_until(stream, b"/safe1:")) == ["/safe0", "/safe1"]

    loopback.run(test)


def test_requests_behind_a_slow_one_are_bounded():
    """Guards against a client that starts any number of calls, and is then answered late."""

    async def test(nursery):
        handler = Handler("/safe0")
        _, stream = await start(nursery, handler)
        targets = [f"/safe{number}" for number in range(1_000)]
        await stream.send_all(requests(*targets))
        await settled()
        assert handler.started == targets[: request_pipeline.MAX_REQUESTS]
        handler.gates["/safe0"].set()
        assert bodies(await receive_until(stream, b"/safe999:")) == targets
        assert handler.most_running <= request_pipeline.MAX_REQUESTS

    loopback.run(test)


def test_a_reader_that_never_reads_is_not_served_without_bound():
    async def big(request):
        big.started += 1
        return messages.Response(200, (), b"x" * 100_000)

    async def test(nursery):
        big.started = 0
        _, stream = await start(nursery, big)
        with trio.move_on_after(1):
            await stream.send_all(requests("/safe") * 5_000)
            await trio.sleep_forever()
        # The socket buffers of loopback take a few MB of responses.
        assert big.started < 200

    loopback.run(test)


def test_a_client_that_leaves_cancels_what_runs_and_what_waits():
    async def test(nursery):
        handler = Handler("/safe0", "/safe1")
        http_server, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0", "/safe1", "/pay2"))
        await settled()
        assert handler.started == ["/safe0", "/safe1"]
        await stream.aclose()
        await settled()
        assert sorted(handler.cancelled) == ["/safe0", "/safe1"]
        assert handler.started == ["/safe0", "/safe1"]
        assert (http_server.active, http_server.connections) == (0, 0)

    loopback.run(test)


def test_a_request_that_must_not_overlap_starts_once_the_earlier_ones_are_answered():
    """Guards against a payment that runs twice, because its client sends it again when an earlier
    response ends the connection."""

    async def test(nursery):
        handler = Handler("/safe0", "/pay1")
        _, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0", "/pay1", "/safe2"))
        await settled()
        assert handler.started == ["/safe0"]
        handler.gates["/safe0"].set()
        await settled()
        assert handler.started == ["/safe0", "/pay1", "/safe2"]
        handler.gates["/pay1"].set()
        data = await receive_until(stream, b"/safe2:")
        assert bodies(data) == ["/safe0", "/pay1", "/safe2"]

    loopback.run(test)


def test_a_request_with_a_body_waits_behind_others_and_keeps_its_body():
    async def test(nursery):
        handler = Handler("/safe0")
        _, stream = await start(nursery, handler)
        inside = head("/smuggled")
        await stream.send_all(
            requests("/safe0") + head("/safe1", "POST", content_length=len(inside)) + inside
        )
        await stream.send_all(requests("/safe2"))
        await settled()
        assert handler.started == ["/safe0"]
        handler.gates["/safe0"].set()
        data = await receive_until(stream, b"/safe2:")
        assert handler.started == ["/safe0", "/safe1", "/safe2"]
        assert b"/safe1:" + inside in data

    loopback.run(test)


@pytest.mark.parametrize(
    "bad", [b"GET /safe9 HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc", b"\0\0\0\r\n\r\n"]
)
def test_a_malformed_head_behind_good_ones_ends_the_connection_after_their_responses(bad):
    async def test(nursery):
        handler = Handler("/safe0", "/safe1")
        _, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0", "/safe1") + bad + requests("/safe2"))
        await settled()
        for gate in handler.gates.values():
            gate.set()
        data = await loopback.read_all(stream)
        assert bodies(data) == ["/safe0", "/safe1"]
        assert data.count(b"HTTP/1.1 400") == 1 and data.index(b"/safe1:") < data.index(b" 400 ")
        assert handler.started == ["/safe0", "/safe1"]

    loopback.run(test)


def test_requests_behind_one_that_closes_the_connection_are_not_passed_on():
    async def test(nursery):
        handler = Handler("/safe1")
        _, stream = await start(nursery, handler)
        last = head("/safe1", connection="close")
        await stream.send_all(requests("/safe0") + last + requests("/safe2", "/safe3"))
        await settled()
        handler.gates["/safe1"].set()
        data = await loopback.read_all(stream)
        assert bodies(data) == ["/safe0", "/safe1"] == handler.started
        assert data.lower().count(b"connection: close") == 1

    loopback.run(test)


def test_bytes_behind_the_last_response_do_not_reset_the_connection():
    """Guards against a response that its client loses, because the socket was closed with unread
    bytes of pipelined requests."""

    async def test(nursery):
        handler = Handler("/pay0")
        http_server, stream = await start(nursery, handler)
        await stream.send_all(requests("/pay0"))
        await settled()
        nursery.start_soon(http_server.drain, 5_000)
        await settled()
        handler.gates["/pay0"].set()
        await receive_until(stream, b"/pay0:")
        for number in range(20):
            # Bytes that cross the end of the connection; a reset would break the stream here.
            await stream.send_all(requests(f"/safe{number}"))
            await trio.sleep(0.005)
        assert await stream.receive_some(1) == b""

    loopback.run(test)


def test_a_response_of_unknown_length_keeps_the_order():
    async def parts():
        for number in range(3):
            await trio.sleep(0.02)
            yield b"part%d " % number

    async def handler(request):
        if request.target == "/safe0":
            return messages.Response(200, stream=parts())
        return messages.Response(200, (), request.target.encode() + b":")

    async def test(nursery):
        _, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0", "/safe1"))
        data = await receive_until(stream, b"/safe1:")
        assert data.index(b"part2") < data.index(b"\r\n0\r\n\r\n") < data.index(b"/safe1:")

    loopback.run(test)


def test_nothing_follows_a_response_that_broke_off():
    """Guards against a later response that is read as the rest of a truncated one."""

    async def broken():
        yield b"part"
        await trio.sleep(0.1)
        raise messages.ConnectionBrokenError("target died")

    async def handler(request):
        if request.target == "/safe0":
            return messages.Response(200, ((b"content-length", b"100"),), stream=broken())
        return messages.Response(200, (), request.target.encode() + b":")

    async def test(nursery):
        http_server, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0", "/safe1"))
        data = await loopback.read_all(stream)
        assert data.endswith(b"part")
        await settled()
        assert http_server.active == 0

    loopback.run(test)


def test_a_slow_head_behind_a_running_request_does_not_extend_its_time():
    async def test(nursery):
        handler = Handler("/safe0")
        _, stream = await start(nursery, handler)
        await stream.send_all(requests("/safe0") + b"GET /safe1")
        await settled()
        handler.gates["/safe0"].set()
        await receive_until(stream, b"/safe0:")
        with contextlib.suppress(trio.TooSlowError):
            await receive_until(stream, b"HTTP", limit_seconds=0.2)
        await stream.send_all(b" HTTP/1.1\r\nhost: a\r\n\r\n")
        assert bodies(await receive_until(stream, b"/safe1:")) == ["/safe1"]

    loopback.run(test)


def test_a_node_runs_pipelined_reads_in_all_slots_and_an_unsafe_call_by_itself(tmp_path):
    """Guards against a read that loses its goal behind another one of the same client."""
    running = []

    async def script(arrival):
        running.append(arrival.path)
        most.append((arrival.path, len(running)))
        await trio.sleep(0.2)
        running.remove(arrival.path)
        return platform_mesh.response(arrival, arrival.path.encode() + b":")

    most = []

    async def test(mesh, node, target):
        stream = await loopback.open_raw(node.settings.call_address)
        host = platform_mesh.HOST
        await stream.send_all(
            b"".join(
                head(path, method, host=host, attempt_id=path[1:], timeout_remaining=1_500)
                for method, path in (("GET", "/read/1"), ("GET", "/read/2"), ("POST", "/pay/3"))
            )
        )
        began = trio.current_time()
        data = await receive_until(stream, b"/pay/3:")
        assert trio.current_time() - began < 0.55
        assert re.findall(rb"(/\w+/\d):", data) == [b"/read/1", b"/read/2", b"/pay/3"]
        assert dict(most)["/pay/3"] == 1
        assert max(count for _, count in most) == 2

    platform_mesh.on_mesh(script, test, tmp_path)
