"""A store that responds with 200 at positions which its log does not have, and names no era."""

import urllib.parse

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.mesh import followers
from buckthornstage.platform import store_client
from buckthornstage.standins import platform_store

CONFIG = ("keyed.op", "config")
NODES = "keyed.nodes"
APPLY_MS = 2_000


class LenientStore(platform_store.PlatformStore):
    """A read past the end returns nothing, one before the first record those that are retained."""

    def __init__(self):
        super().__init__(clocks.Clock())

    async def handle(self, request):
        response = await self._handle(request)
        if response.status != 410:
            return response
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(request.target).query))
        partition = self.partition(query["topic"])
        is_past_end = int(query["range_start"]) > partition.end
        body = platform_store.POSITIONS.pack(partition.end, partition.first)
        for raw in () if is_past_end else partition.records:
            body += platform_store.LENGTH.pack(len(raw)) + raw
        return messages.Response(200, body=body)


# Guards against a reader that goes on at a position which the log does not have: it got nothing
# until the log had grown past it, or counted the records it got from the wrong position.
@pytest.mark.parametrize("position, trimmed", [(10, 0), (0, 3)], ids=["past_end", "before_first"])
def test_a_position_that_the_log_does_not_have_is_reported(position, trimmed):
    async def main(nursery):
        store = LenientStore()
        address = platform_mesh.free_address()
        await nursery.start(platform_store.serve, store, address)
        topic = store_client.StoreClient(address).keyed_topic(NODES)
        for number in range(5):
            store.put(NODES, f"k{number}", b"1")
        store.partition(NODES).trim(trimmed)
        with pytest.raises(errors.TrimmedError):
            await topic.changes(position, followers.WAIT_MS)

    loopback.run(main)


# Guards against nodes that keep their version because the log, shorter after a loss, no longer
# reaches the position at which they read (issue 38, hypothesis 3).
def test_a_version_is_active_in_time_although_the_log_became_shorter(tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store = LenientStore()
        await mesh.start_store()
        copy = mesh.store.take_copy()
        node = await mesh.start_node("n1")
        for version in (2, 3, 4):
            mesh.store.put(*CONFIG, platform_mesh.operator_record(version))
        await platform_mesh.until(lambda: node.peers.version == 4)
        await trio.sleep(1.0)
        mesh.store.restore(copy)
        mesh.store.put(*CONFIG, platform_mesh.operator_record(5))
        with trio.move_on_after(APPLY_MS / 1_000):
            await platform_mesh.until(lambda: node.peers.version == 5)
        assert node.peers.version == 5

    loopback.run(main)
