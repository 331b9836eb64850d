"""Reads of the store that end early each time: readers take versions, at a bounded rate."""

import dataclasses

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage.http import messages
from buckthornstage.standins import platform_store

CONFIG = ("keyed.op", "config")
APPLY_MS = 2_000
WATCHED_MS = 3_000
MAX_CALLS_PER_TOPIC = 16
"""Of one node within WATCHED_MS."""


class VariedStore(platform_store.PlatformStore):
    """Store whose calls of the kinds in `gone` get 410; `closes` ends each connection after one
    response, and with `ignores_wait` a read that waits for changes ends at once."""

    def __init__(self):
        super().__init__(clocks.Clock())
        self.gone = ()
        self.closes = False
        self.ignores_wait = False

    async def handle(self, request):
        if self.ignores_wait:
            target = request.target.replace("wait_ms=", "ignored=")
            request = dataclasses.replace(request, target=target)
        is_gone = any(call in request.target for call in self.gone)
        if is_gone:
            self.calls_by_topic["any"] += 1
            response = messages.Response(410, body=b'{"first_offset":0}')
        else:
            response = await super().handle(request)
        if self.closes:
            response = dataclasses.replace(
                response, headers=(*response.headers, (b"connection", b"close"))
            )
        return response


VARIATIONS = {
    "connection_closed": {"closes": True},
    "no_wait": {"ignores_wait": True},
    "reads_gone": {"gone": ("log-read",)},
    "all_gone": {"gone": ("log-read", "log-newest")},
}


# Guards against a node that calls the store hundreds of times a second while nothing changes, which
# takes the reads of all other nodes (429) and the machine's processor.
@pytest.mark.parametrize("name", VARIATIONS)
def test_reads_that_end_early_are_not_repeated_without_a_pause(name, tmp_path):
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store = VariedStore()
        await mesh.start_store()
        node = await mesh.start_node("n1")
        await platform_mesh.until(lambda: node.peers.version == 1)
        await trio.sleep(1.0)
        for field, value in VARIATIONS[name].items():
            setattr(mesh.store, field, value)
        await trio.sleep(1.0)
        mesh.store.calls_by_topic.clear()
        await trio.sleep(WATCHED_MS / 1_000)
        assert mesh.store.calls_by_topic.total() <= 2 * MAX_CALLS_PER_TOPIC
        for version in (2, 3):
            mesh.store.put(*CONFIG, platform_mesh.operator_record(version))
            if name == "all_gone":
                mesh.store.gone = ()
            with trio.move_on_after(APPLY_MS / 1_000):
                await platform_mesh.until(lambda version=version: node.peers.version == version)
            assert node.peers.version == version

    loopback.run(main)
