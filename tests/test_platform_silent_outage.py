"""The store responds to nothing for a while; what was sent meanwhile stays without a response."""

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.mesh import followers

CONFIG = ("keyed.op", "config")
SILENCE_S = 5.0
CONTACT_MS = 3_000  # a node is in touch again this long after the end of the silence


class CountedCalls:
    """Waits for calls that reach the store."""

    def __init__(self, store):
        self.store = store

    async def next(self, call):
        before = self.store.calls[call]
        await platform_mesh.until(lambda: self.store.calls[call] > before)


@pytest.fixture
def longest_pauses(monkeypatch):
    """Pauses between retries have the longest random time."""
    monkeypatch.setattr(followers.random, "uniform", lambda low, high: high)


# Guards against a reader that pauses after a read which has already waited without a response, so
# that a version comes more than 3 s after the store responds again (issue 38).
@pytest.mark.parametrize("silence_s, call", [(1.0, "log-read"), (SILENCE_S, "log-newest")])
def test_a_version_of_a_silence_is_active_in_time_after_its_end(
    silence_s, call, longest_pauses, tmp_path
):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        node = await mesh.start_node("n1")
        await platform_mesh.until(lambda: node.peers.version == 1)
        await trio.sleep(1.0)
        mesh.store.faults.is_silent = True
        await trio.sleep(silence_s)
        mesh.store.put(*CONFIG, platform_mesh.operator_record(2))
        await CountedCalls(mesh.store).next(call)
        mesh.store.faults.is_silent = False
        with trio.move_on_after(CONTACT_MS / 1_000):
            await platform_mesh.until(lambda: node.peers.version == 2)
        assert node.peers.version == 2

    loopback.run(main)


# Guards against a leave that the store has more than 3 s after it responds again: the write which
# got no response was followed by a pause.
def test_an_entry_is_written_in_time_after_a_silence(longest_pauses, tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = platform_mesh.Target()
        node = await mesh.start_node("n1", target)
        await platform_mesh.until(lambda: node.synchronization.is_store_loaded)
        await platform_mesh.until(lambda: not node.synchronization.is_writing)
        mesh.store.faults.is_silent = True
        response = await mesh.announce(node, target, state="draining")
        assert response.status == 503
        await trio.sleep(SILENCE_S)
        await CountedCalls(mesh.store).next("log-append")
        mesh.store.faults.is_silent = False
        with trio.move_on_after(CONTACT_MS / 1_000):
            await platform_mesh.until(lambda: not node.synchronization.is_writing)
        stored = mesh.store.partition("keyed.nodes").newest[node.settings.link_address][1]
        assert target.instance.encode() in stored

    loopback.run(main)
