"""Bodies of requests as long as `max_body_bytes` allows, and the memory of a node process."""

import hypothesis
import platform_node_process
import trio
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage.http import client
from buckthornstage.limits import process_memory
from buckthornstage.link import frames

MB = 1 << 20
MEMORY_MB = 150
BODY = bytes(60 * MB)
REMAINING_MS = 20_000
INFO = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 9}
PATHS = (
    platform_mesh.path_of("/read/", "safe"),
    platform_mesh.path_of("/pay/", "unsafe", timeout_s=20.0),
    platform_mesh.path_of("/far/", "unsafe", platform_mesh.LIBRARY, timeout_s=20.0),
)
RECORD = platform_mesh.operator_record(1, PATHS, max_body_bytes=64 * MB)


def running(nursery, tmp_path, target):
    return platform_node_process.running(
        nursery, tmp_path, target, INFO, RECORD, memory_mb=float(MEMORY_MB)
    )


async def post(node, path, body=BODY):
    request = platform_mesh.request(path, "POST", body, REMAINING_MS)
    return await client.fetch(node.settings.call_address, request, REMAINING_MS)


def check(node):
    assert node.process.poll() is None
    assert node.peak_bytes() <= MEMORY_MB * MB


# Guards against bodies within `max_body_bytes` that take a node over its memory, so that it is
# killed and other clients' requests end unanswered (LOST, review/2).
def test_long_bodies_for_the_target_of_the_node_fit_its_memory(tmp_path):
    async def main(nursery):
        target = platform_mesh.Target()
        async with running(nursery, tmp_path, target) as node:
            for _ in range(3):
                assert (await post(node, "/pay/1")).status == 200
            check(node)
            assert [len(arrival.body) for arrival in target.arrivals] == [len(BODY)] * 3

    loopback.run(main)


# Guards against the same at both nodes of a call over a link.
def test_long_bodies_that_go_over_a_link_fit_the_memory_of_both_nodes(tmp_path):
    async def main(nursery):
        near, far = platform_mesh.Target(), platform_mesh.Target()
        async with (
            running(nursery, tmp_path, near) as node,
            platform_node_process.running_far(
                nursery, tmp_path, far, node, INFO, RECORD, memory_mb=float(MEMORY_MB)
            ) as far_node,
        ):
            with trio.fail_after(10):
                while (await post(node, "/far/0", b"x")).status != 200:
                    await trio.sleep(0.1)
            for _ in range(3):
                assert (await post(node, "/far/1")).status == 200
            check(node)
            check(far_node)
            assert len(far.arrivals[-1].body) == len(BODY)

    loopback.run(main)


# Guards against several long bodies at the same time, each of which alone fits.
def test_bodies_without_memory_are_refused_as_not_run_and_others_go_on(tmp_path):
    async def main(nursery):
        release = trio.Event()

        async def script(arrival):
            if len(arrival.body) == len(BODY):
                await release.wait()
            return platform_mesh.response(arrival)

        target = platform_mesh.Target(script)
        statuses = []

        async def send():
            response = await post(node, "/pay/1")
            statuses.append((response.status, response.header(b"retry-after")))

        async with running(nursery, tmp_path, target) as node:
            async with trio.open_nursery() as calls:
                for _ in range(3):
                    calls.start_soon(send)
                await platform_mesh.until(lambda: len(statuses) == 2)
                assert [status for status, _ in statuses] == [503, 503]
                assert all(retry_after for _, retry_after in statuses)
                assert (await post(node, "/pay/2", b"x" * 100)).status == 200
                release.set()
            assert sorted(status for status, _ in statuses) == [200, 503, 503]
            assert (await post(node, "/pay/3")).status == 200
            check(node)

    loopback.run(main)


@hypothesis.given(
    st.integers(frames.MAX_JOINED_BODY_BYTES - 1, frames.MAX_JOINED_BODY_BYTES + 2),
    st.text(max_size=300),
    st.integers(0, 1 << 40),
)
def test_a_call_in_parts_is_the_same_frame(size, target, goal_ms):
    # Guards against a frame that older releases cannot read.
    call = frames.Call(
        "id", "POST", target, ((b"a", b"b"),), bytes(size), "s", "t", "r", 1, False, goal_ms, 5, 6
    )
    sent = b"".join(frames.encode_parts(call))
    assert sent == frames.encode_frame(call)
    assert frames.decode_frame(sent[frames.LENGTH.size :]) == call


def test_memory_that_is_given_back_can_be_taken_again():
    # Guards against a count of bytes that only grows.
    memory = process_memory.ProcessMemory(MEMORY_MB, lambda: 0).bodies
    assert memory.take(len(BODY)) and not memory.take(len(BODY))
    memory.give_back(len(BODY))
    assert memory.take(len(BODY))
    assert process_memory.ProcessMemory(0, lambda: 0).bodies.take(1 << 40)
    assert not process_memory.ProcessMemory(1, lambda: 0).bodies.take(1)
