"""Requests that are blamed for crashes of targets which they did not cause."""

import trio

import loopback
import platform_mesh
from buckthornstage.limits import crash_guard
from buckthornstage.mesh import call_admission

PATH = "/read/today"
MARK = crash_guard.fingerprint("GET", PATH, b"")
CRASHES = [(f"i-crashed-{number}", number) for number in range(call_admission.CRASH_LIMIT + 1)]


def blame(node, crash):
    """The node's target ends while the request is in flight, and its peers hear of it."""
    node.guard.record(MARK, crash, node.clock.now_ms())
    node.peers.announce()


# Guards against a common path that all nodes refuse for ever after three crashes that it did not
# cause, since each node told the others again what an answer had refuted (review/4).
def test_an_answer_refutes_earlier_crashes_at_all_nodes(tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        first = await mesh.start_node("n1", platform_mesh.Target())
        second = await mesh.start_node("n2", platform_mesh.Target())
        other = await mesh.start_node("n3", service=platform_mesh.LIBRARY)
        nodes = (first, second, other)
        await platform_mesh.until(lambda: all(node.is_ready for node in nodes))
        await platform_mesh.until(
            lambda: all(len(node.directory.peers) == len(nodes) - 1 for node in nodes)
        )
        for crash in CRASHES:
            blame(first, crash)
            await platform_mesh.until(lambda: all(node.guard.deaths for node in nodes))
            assert (await platform_mesh.call(second, PATH)).status == 200
            await platform_mesh.until(lambda: not any(node.guard.deaths for node in nodes))
            await trio.sleep(0.5)
            assert not any(node.guard.deaths for node in nodes)
        for node in nodes:
            assert (await platform_mesh.call(node, PATH)).status == 200

    loopback.run(main)


# Guards against an answer that clears a request which goes on to crash targets.
def test_crashes_after_an_answer_count_again(tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        nodes = [await mesh.start_node(name, platform_mesh.Target()) for name in ("n1", "n2")]
        await platform_mesh.until(lambda: all(node.is_ready for node in nodes))
        await platform_mesh.until(lambda: all(node.directory.peers for node in nodes))
        blame(nodes[0], CRASHES[0])
        assert (await platform_mesh.call(nodes[0], PATH)).status == 200
        for crash in CRASHES[1:]:
            assert nodes[0].guard.is_refused(MARK, call_admission.CRASH_LIMIT, 0) is False
            blame(nodes[0], crash)
        for node in nodes:
            await platform_mesh.until(
                lambda one=node: len(one.guard.deaths.get(MARK, ())) == call_admission.CRASH_LIMIT
            )
            assert (await platform_mesh.call(node, PATH)).status == 503

    loopback.run(main)
