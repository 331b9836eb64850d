import msgspec
import trio

import narrow_link
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.mesh import peer_ingress

BYTES_PER_MS = 744  # narrowest link of the grown sites, 5.95 Mbit/s
PACK = bytes(range(256)) * 352  # 90 kB, usual download of lanyu-rounds-grown
LOOKUP_GOAL_MS = 250
LOOKUP_WORK_MS = 50
DOWNLOAD_GOAL_MS = 911  # lanyu-rounds-grown
DOWNLOADS = 5
CALL_MS = 5_000
IDLE_SHARE = 0.25  # of the link capacity while downloads wait


def script(arrival):
    return platform_mesh.response(arrival, PACK if arrival.path.startswith("/pack/") else b"found")


def make_call(path, number):
    headers = ((b"host", b"shop.example"), (b"attempt-id", b"call-%d" % number))
    times = (CALL_MS, CALL_MS, CALL_MS)
    service = platform_mesh.DESK
    return frames.Call(
        f"call-{number}", "GET", path, headers, b"", service, service, "r", 1, True, *times
    )


class Caller:
    """Calls an ingress as a peer node does, over a low-bandwidth link."""

    def __init__(self, address):
        self.address = address
        self.calls = platform_mesh.peer_calls_to(address)
        self.took_ms = {}
        self.responses = {}

    async def ask(self, path, number):
        began = trio.current_time()
        outcome = await self.calls.send_call(make_call(path, number), self.address)
        self.took_ms[path, number] = (trio.current_time() - began) * 1000
        self.responses[path, number] = outcome


async def _with_caller(mesh, node, target, use):
    target_info = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 13}
    await mesh.announce(node, target, info=target_info)
    link = narrow_link.NarrowLink(node.settings.link_address, BYTES_PER_MS)
    await mesh.nursery.start(link.serve)
    await use(Caller(link.address))
    mesh.nursery.cancel_scope.cancel()


def test_small_answers_do_not_wait_behind_downloads(tmp_path):
    # Guards against SHORT of issue 15: lookups queued behind downloads on the link of their
    # target's node, and the reads that depend on them missed their goal.
    async def use(caller):
        async with trio.open_nursery() as nursery:
            for number in range(DOWNLOADS):
                nursery.start_soon(caller.ask, "/pack/1", number)
            await trio.sleep(0.05)
            for number in range(10):
                await caller.ask("/read/1", number)
                await trio.sleep(0.02)
        bodies = [caller.responses["/pack/1", number].body for number in range(DOWNLOADS)]
        assert bodies == [PACK] * DOWNLOADS
        lookups = [took for (path, _), took in caller.took_ms.items() if path == "/read/1"]
        assert max(lookups) <= LOOKUP_GOAL_MS - LOOKUP_WORK_MS

    async def test(mesh, node, target):
        await _with_caller(mesh, node, target, use)

    platform_mesh.on_mesh(script, test, tmp_path)


def test_downloads_use_the_link_while_they_wait(tmp_path):
    # Guards against pacing that leaves the link idle while downloads wait for it.
    async def use(caller):
        async with trio.open_nursery() as nursery:
            for number in range(DOWNLOADS):
                nursery.start_soon(caller.ask, "/pack/1", number)
        link_ms = DOWNLOADS * len(PACK) / BYTES_PER_MS
        assert max(caller.took_ms.values()) * (1 - IDLE_SHARE) <= link_ms

    async def test(mesh, node, target):
        await _with_caller(mesh, node, target, use)

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_download_that_the_link_cannot_carry_in_time_is_refused_at_once(tmp_path):
    # Guards against SHORT of issue 15: downloads were run, waited for the link and were late.
    async def test(mesh, node, target):
        node.bulk_sender.pacer.enqueue(CALL_MS * BYTES_PER_MS)
        call = msgspec.structs.replace(make_call("/pack/1", 1), is_bulk=True, goal_ms=960)
        outcome = await peer_ingress.run(node.ingress, call)
        assert (type(outcome), outcome.reason) == (frames.Refused, "link_full")
        assert not target.arrivals
        # A response to the same node does not use the link.
        assert isinstance(await node.ingress.run(call), frames.Response)
        mesh.nursery.cancel_scope.cancel()

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_caller_that_reads_nothing_does_not_stop_the_downloads_of_others(tmp_path):
    # Guards against one frozen node that occupies the whole window of an ingress's link.
    async def use(caller):
        frozen = await caller.calls.pool.acquire(caller.address)
        await frozen.send(make_call("/pack/1", 99))
        await trio.sleep(0.2)
        await caller.ask("/pack/1", 1)
        assert caller.responses["/pack/1", 1].body == PACK
        assert caller.took_ms["/pack/1", 1] <= DOWNLOAD_GOAL_MS

    async def test(mesh, node, target):
        await _with_caller(mesh, node, target, use)

    platform_mesh.on_mesh(script, test, tmp_path)


def test_an_acknowledgement_without_a_piece_ends_the_connection(tmp_path):
    async def use(caller):
        connection = await caller.calls.pool.acquire(caller.address)
        await connection.send(frames.ChunkRead())
        assert await connection.receive() is None

    async def test(mesh, node, target):
        await _with_caller(mesh, node, target, use)
        assert "without a piece" in mesh.events("bad_bytes")[0]["problem"]

    platform_mesh.on_mesh(script, test, tmp_path)
