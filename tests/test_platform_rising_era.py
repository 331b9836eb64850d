"""A store that names a later era in each response."""

import trio

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage.standins import platform_store

WATCHED_MS = 3_000
MAX_CALLS_PER_TOPIC = 16
"""Of one node within WATCHED_MS."""


class RisingStore(platform_store.PlatformStore):
    """Store whose era rises with each response while `rises`."""

    def __init__(self):
        super().__init__(clocks.Clock())
        self.rises = False

    async def handle(self, request):
        self.era += self.rises
        return await super().handle(request)


# Guards against a node that writes its entry without a pause, since each response to a write names
# a later era, in which the entry may be lost.
def test_an_entry_is_not_written_again_without_a_pause(tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store = RisingStore()
        await mesh.start_store()
        node = await mesh.start_node("n1")
        await platform_mesh.until(lambda: node.peers.version == 1)
        mesh.store.rises = True
        await trio.sleep(1.0)
        mesh.store.calls.clear()
        mesh.store.calls_by_topic.clear()
        await trio.sleep(WATCHED_MS / 1_000)
        assert mesh.store.calls["log-append"] <= MAX_CALLS_PER_TOPIC
        assert mesh.store.calls_by_topic.total() <= 3 * MAX_CALLS_PER_TOPIC
        mesh.store.rises = False
        await platform_mesh.until(lambda: not node.synchronization.is_writing)
        assert node.settings.link_address in mesh.store.partition("keyed.nodes").newest

    loopback.run(main)
