"""Calls whose target sends an endless response, until the node closes the connection."""

import os

import pytest
import trio

import platform_mesh
from buckthornstage.link import frames

MAY_HAVE_RUN = {502, 504}
ROUTE_TIMEOUT_MS = 2_000
MAX_ROUTE_TIMEOUT_MS = 4_000  # longest timeout of callers at the known sites
MAX_ROUTE_OVERRUN_MS = 250  # a call held longer than this past its route timeout has a cost
MAX_FAILURE_MS = ROUTE_TIMEOUT_MS / 2
MAX_CLOSE_MS = 300
MAX_IDLE_CLOSE_MS = 1_000
MAX_OTHER_CALL_MS = 500  # half of the goal of a read
SLOTS = 18
ENDLESS_CALLS = 13
NODE_BYTES = 64 << 20
IDLE_NODE_BYTES = 25 << 20
MAX_GROWTH_BYTES = NODE_BYTES - IDLE_NODE_BYTES - (8 << 20)
"""Allowed growth of a node of the smallest size, with 8 MB left for its other calls."""
BLOCK_BYTES = 65_536
MAX_TEXT_BYTES = 500
MAX_METRICS_BYTES = 4_000
LONG_BODY_BYTES = 1_700_000  # largest download at the known sites
PIECE_BYTES = 1_460
INFO = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": SLOTS}

HEAD = b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = HEAD % b"another-call"
ENDLESS_BYTES = {
    "garbage": (b"", b"\xfe no answer "),
    "garbage_lines": (b"", b"no answer\r\n"),
    "head": (HEAD, b"x-more: 1\r\n"),
    "long_header": (HEAD + b"x-more: ", b"1"),
    "interim_answers": (b"", b"HTTP/1.1 100 X\r\n\r\n"),
    "interim_head": (b"HTTP/1.1 103 X\r\n", b"x-more: 1\r\n"),
    "body_without_length": (HEAD + b"\r\n", b"x" * 1_000),
    "body_of_a_terabyte": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x" * 1_000),
    "chunks": (CHUNKED, b"3e8\r\n" + b"x" * 1_000 + b"\r\n"),
    "chunks_of_a_byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunk_extension": (CHUNKED + b"1;", b"e"),
    "chunk_extensions": (CHUNKED, b"1;" + b"e" * 1_000 + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"x-more: 1\r\n"),
    "answers_to_other_calls": (b"", OTHER + b"Content-Length: 0\r\n\r\n"),
    "answer_to_another_call": (OTHER + b"\r\n", b"x" * 1_000),
}
CASES = pytest.mark.parametrize(("start", "rest"), ENDLESS_BYTES.values(), ids=ENDLESS_BYTES)


def endless(start, rest):
    """Script that sends an endless response for `/pay/`, and responds to all other calls."""

    async def script(arrival):
        if not arrival.path.startswith("/pay/"):
            return platform_mesh.response(arrival)
        call_id = arrival.call_id.encode()
        await arrival.stream.send_all(start % call_id if b"%s" in start else start)
        block = rest * (BLOCK_BYTES // len(rest) + 1)
        while True:
            await arrival.stream.send_all(block)

    return script


async def _timed(call):
    began = trio.current_time()
    return await call, (trio.current_time() - began) * 1_000


@CASES
def test_bytes_without_end_fail_the_call_soon_and_close_the_connection(start, rest, tmp_path):
    # Guards against a call that waits until its deadline, and a connection left open.
    async def test(mesh, node, target):
        response, took_ms = await _timed(platform_mesh.call(node, "/pay/1", "POST", b"x"))
        assert response.status == 502
        assert response.header(b"response-seal") is None
        assert took_ms <= MAX_FAILURE_MS
        with trio.fail_after(MAX_CLOSE_MS / 1_000):
            while not target.closed:
                await trio.sleep(0.005)
        failed = mesh.events("failed")
        assert any(target.address in line.get("reason", "") for line in failed)
        assert len(target.arrivals) == 1
        assert not node.guard.deaths and not node.ingress.broken_calls.calls
        assert (await platform_mesh.call(node, "/read/1")).status == 200

    platform_mesh.on_mesh(endless(start, rest), test, tmp_path)


def _resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def _watch_memory(peak):
    while True:
        peak[0] = max(peak[0], _resident_bytes())
        await trio.sleep(0.002)


def _knows_library(node):
    known = node.directory.peers.values()
    peers = [peer for peer in known if peer.entry.service == platform_mesh.LIBRARY]
    return any(peer.state.status is frames.IngressStatus.OPEN for peer in peers)


async def _call_others(node, elapsed):
    while True:
        response, took_ms = await _timed(platform_mesh.call(node, "/read/1"))
        elapsed.append((response.status, took_ms))
        await trio.sleep(0.01)


@CASES
def test_many_answers_without_end_leave_memory_and_time_for_other_calls(start, rest, tmp_path):
    # Guards against a node that runs out of memory, or serves no other calls while it reads.
    async def test(mesh, node, target):
        await mesh.announce(node, target, info=INFO)
        longest = platform_mesh.path_of("/pay/", "unsafe", timeout_s=MAX_ROUTE_TIMEOUT_MS / 1_000)
        other = platform_mesh.path_of("/read/", "safe", platform_mesh.LIBRARY)
        record = platform_mesh.operator_record(2, (longest, other))
        mesh.store.put("keyed.op", "config", record)
        await mesh.start_node("n2", platform_mesh.Target(), service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: node.peers.version == 2 and _knows_library(node))
        before, others, ended = _resident_bytes(), [], []
        peak = [before]

        async def call_endless():
            call = platform_mesh.call(
                node, "/pay/1", "POST", b"x", remaining_ms=2 * MAX_ROUTE_TIMEOUT_MS
            )
            ended.append(await _timed(call))

        async with trio.open_nursery() as background:
            background.start_soon(_watch_memory, peak)
            background.start_soon(_call_others, node, others)
            await trio.sleep(0.05)
            async with trio.open_nursery() as calls:
                for _ in range(ENDLESS_CALLS):
                    calls.start_soon(call_endless)
            await trio.sleep(MAX_OTHER_CALL_MS / 1_000)
            background.cancel_scope.cancel()
        assert {response.status for response, _ in ended} <= MAY_HAVE_RUN
        assert max(took_ms for _, took_ms in ended) <= MAX_ROUTE_TIMEOUT_MS + MAX_ROUTE_OVERRUN_MS
        assert target.closed >= ENDLESS_CALLS
        assert peak[0] - before <= MAX_GROWTH_BYTES
        assert {status for status, _ in others} == {200}
        assert max(took_ms for _, took_ms in others) <= MAX_OTHER_CALL_MS

    platform_mesh.on_mesh(endless(start, rest), test, tmp_path)


def test_many_long_answers_that_end_arrive_whole(tmp_path):
    # Guards against limits that reject the largest responses at the known sites.
    pieces = [
        bytes([number % 256]) * PIECE_BYTES for number in range(LONG_BODY_BYTES // PIECE_BYTES)
    ]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"

    async def script(arrival):
        return CHUNKED % arrival.call_id.encode() + chunks

    async def test(mesh, node, target):
        await mesh.announce(node, target, info=INFO)
        bodies = []

        async def call():
            response = await platform_mesh.call(node, "/pack/1")
            bodies.append((response.status, response.body == b"".join(pieces)))

        async with trio.open_nursery() as calls:
            for _ in range(ENDLESS_CALLS):
                calls.start_soon(call)
        assert bodies == [(200, True)] * ENDLESS_CALLS

    platform_mesh.on_mesh(script, test, tmp_path)


def _with_bytes_behind(delay_s):
    async def script(arrival):
        await arrival.stream.send_all(platform_mesh.response(arrival))
        await trio.sleep(delay_s)
        if arrival.path == "/pay/1":
            while True:
                await arrival.stream.send_all(b"x" * BLOCK_BYTES)
        return b""

    return script


@pytest.mark.parametrize("delay_s", [0, 0.2], ids=["at_once", "later"])
def test_bytes_without_end_behind_an_answer_close_the_kept_connection(delay_s, tmp_path):
    # Guards against an idle connection that keeps buffering, and its bytes taken as a response.
    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pay/1", "POST", b"x")).status == 200
        with trio.fail_after(delay_s + MAX_IDLE_CLOSE_MS / 1_000):
            while not target.closed:
                await trio.sleep(0.005)
        response, took_ms = await _timed(platform_mesh.call(node, "/pay/2", "POST", b"x"))
        assert (response.status, response.body) == (200, b"done")
        assert took_ms <= MAX_OTHER_CALL_MS
        assert mesh.events("stray_bytes")[0]["address"] == target.address

    platform_mesh.on_mesh(_with_bytes_behind(delay_s), test, tmp_path)


def test_bytes_that_are_no_answer_do_not_collect_in_counters_logs_and_answers(tmp_path):
    # Guards against one counter per piece of garbage, and oversized log lines.
    calls = 20

    async def script(arrival):
        garbage = b"%b %b" % (arrival.call_id.encode(), b"\xfe" * 60_000)
        return garbage + b"\r\n\r\n"

    async def test(mesh, node, target):
        for _ in range(calls):
            response = await platform_mesh.call(node, "/pay/1", "POST", b"x")
            assert response.status == 502
            assert len(response.body) <= MAX_TEXT_BYTES
        assert len(node.metrics.render({})) <= MAX_METRICS_BYTES
        failed = [line["reason"] for line in mesh.events("failed") if line["part"] == "door"]
        assert len(failed) == calls
        assert all(target.address in reason for reason in failed)
        assert max(map(len, failed)) <= MAX_TEXT_BYTES

    platform_mesh.on_mesh(script, test, tmp_path)
