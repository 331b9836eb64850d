"""Calls at a node whose memory for responses is used up: refused as not run, or served."""

import trio

import platform_mesh
from buckthornstage.mesh import response_memory

LONG = bytes(300_000)


def _script(arrival):
    return platform_mesh.response(arrival, LONG if arrival.path.startswith("/pack/") else b"done")


def _use_up(memory):
    """Reserves all that is left, as responses of other calls do."""
    size = memory.limit_bytes - memory.used_bytes
    assert memory.take(size)
    return size


def test_a_long_call_without_memory_is_refused_and_has_not_run(tmp_path):
    # Guards against a refusal that says "not run" after the target has run the call, and against
    # refusing calls whose responses need no memory.
    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pack/1")).body == LONG
        arrivals = len(target.arrivals)
        size = _use_up(node.memory.clients)
        refused = await platform_mesh.call(node, "/pack/2")
        assert refused.status == 503 and refused.header(b"retry-after")
        assert len(target.arrivals) == arrivals
        assert (await platform_mesh.call(node, "/read/1")).status == 200
        node.memory.clients.give_back(size)
        assert (await platform_mesh.call(node, "/pack/3")).body == LONG
        assert node.memory.clients.used_bytes == node.memory.clients.promised_bytes == 0

    platform_mesh.on_mesh(_script, test, tmp_path)


def test_a_long_response_without_memory_waits_for_it_at_the_target(tmp_path):
    # Guards against a response that is dropped although its call has run, and against one that is
    # read into memory that is not there.
    async def test(mesh, node, target):
        size = _use_up(node.memory.clients)
        responses = []

        async def call():
            responses.append(await platform_mesh.call(node, "/pack/1"))

        mesh.nursery.start_soon(call)
        await platform_mesh.until(lambda: node.ingress.memory.used_bytes >= len(LONG))
        await trio.sleep(0.1)
        assert not responses
        node.memory.clients.give_back(size)
        await platform_mesh.until(lambda: responses)
        assert responses[0].body == LONG
        assert node.memory.clients.used_bytes == node.ingress.memory.used_bytes == 0

    platform_mesh.on_mesh(_script, test, tmp_path)


def test_a_response_of_a_peer_without_memory_ends_as_one_that_may_have_run(tmp_path):
    # Guards against a call over the link that has run and is refused as not run, and against pieces
    # that hold up the link of the peer's node.
    async def test(mesh, node, target):
        other = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: other.is_ready)
        await platform_mesh.until(lambda: other.directory.peers)
        with trio.fail_after(10):
            while (await platform_mesh.call(other, "/read/1")).status != 200:
                await trio.sleep(0.05)
        size = _use_up(other.memory.clients)
        failed = await platform_mesh.call(other, "/pack/1")
        assert failed.status == 502
        await platform_mesh.until(lambda: not node.memory.peers.used_bytes)
        other.memory.clients.give_back(size)
        assert (await platform_mesh.call(other, "/pack/2")).body == LONG
        # At the peer's node the same: its memory for responses to peers is used up.
        _use_up(node.memory.peers)
        arrivals = len(target.arrivals)
        assert (await platform_mesh.call(other, "/pack/3")).status == 503
        assert len(target.arrivals) == arrivals

    platform_mesh.on_mesh(_script, test, tmp_path)


def test_the_expected_size_follows_the_responses_of_a_route():
    # Guards against a route that keeps much memory from others after one long response.
    sizes = response_memory.ExpectedSizes()
    sizes.record("r", 1_000)
    assert "r" not in sizes.by_route
    sizes.record("r", len(LONG))
    assert sizes.by_route["r"] == len(LONG)
    for _ in range(100):
        sizes.record("r", 1_000)
    assert sizes.by_route["r"] < response_memory.SMALL_BYTES
