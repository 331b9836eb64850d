"""Downloads at an ingress whose link has a low bandwidth."""

import msgspec
import test_platform_narrow_link as narrow
import trio

import narrow_link
import platform_mesh
from buckthornstage.link import frames
from buckthornstage.mesh import peer_ingress

SLOW_READ_S = 0.1  # delay of an acknowledgement queued behind a download on the receiver's link
SLOTS = 13
ROUND_TRIP_MS = 18.0  # including the transfer of one chunk


def test_running_downloads_count_towards_the_link_load(tmp_path):
    # Guards against SHORT of issue 15: downloads that arrive together were all admitted, because
    # those still running at the target do not use the link yet, and then most of them were late.
    async def script(arrival):
        await trio.sleep(0.15)
        return platform_mesh.response(arrival, narrow.PACK)

    async def test(mesh, node, target):
        info = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": SLOTS}
        await mesh.announce(node, target, info=info)
        node.ingress.pacer.average_body_bytes = float(len(narrow.PACK))
        node.ingress.pacer.rates.add(narrow.BYTES_PER_MS, node.clock.now_ms())
        link = narrow_link.NarrowLink(node.settings.link_address, narrow.BYTES_PER_MS)
        await mesh.nursery.start(link.serve)
        caller, took_ms = narrow.Caller(link.address), []

        async def ask(number):
            call = msgspec.structs.replace(
                narrow.make_call("/pack/1", number),
                is_bulk=True,
                goal_ms=narrow.DOWNLOAD_GOAL_MS,
            )
            began = trio.current_time()
            outcome = await caller.calls.send_call(call, link.address)
            if isinstance(outcome, frames.Response):
                took_ms.append((trio.current_time() - began) * 1000)

        async with trio.open_nursery() as nursery:
            for number in range(SLOTS):
                nursery.start_soon(ask, number)
        late = [took for took in took_ms if took > 1.2 * narrow.DOWNLOAD_GOAL_MS]
        assert took_ms and not late, (len(took_ms), sorted(map(round, late)))
        mesh.nursery.cancel_scope.cancel()

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_download_past_its_goal_may_still_use_its_latest_time(tmp_path):
    # Guards against a retry that every ingress refuses although its response would arrive before
    # `latest_ms`: a call whose goal has passed arrives with goal 0.
    async def test(mesh, node, target):
        node.ingress.pacer.enqueue(len(narrow.PACK))
        call = narrow.make_call("/pack/1", 1)
        call = msgspec.structs.replace(call, is_bulk=True, goal_ms=0, latest_ms=1_500)
        outcome = await peer_ingress.run(node.ingress, call)
        assert isinstance(outcome, frames.Response), outcome
        mesh.nursery.cancel_scope.cancel()

    platform_mesh.on_mesh(narrow.script, test, tmp_path)


def test_a_slow_receiver_does_not_leave_the_link_idle_for_others(tmp_path):
    # Guards against a window that is filled by the chunks of one receiver: while its
    # acknowledgements wait behind downloads on its own link, the ingress's link is idle.
    async def test(mesh, node, target):
        link = narrow_link.NarrowLink(node.settings.link_address, narrow.BYTES_PER_MS)
        await mesh.nursery.start(link.serve)
        info = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": SLOTS}
        await mesh.announce(node, target, info=info)
        caller = narrow.Caller(link.address)
        node.ingress.pacer.rates.add(narrow.BYTES_PER_MS, node.clock.now_ms())
        node.ingress.pacer.round_trips.add(ROUND_TRIP_MS, node.clock.now_ms())

        async def read_slowly():
            slow = await caller.calls.pool.acquire(link.address)
            await slow.send(narrow.make_call("/pack/1", 99))
            send, receive = trio.open_memory_channel(1_000)

            async def acknowledge():
                async for due in receive:
                    await trio.sleep_until(due)
                    await slow.send(frames.ChunkRead())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(acknowledge)
                left = (await slow.receive()).length
                while left:
                    left -= len((await slow.receive()).data)
                    send.send_nowait(trio.current_time() + SLOW_READ_S)
                send.close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_slowly)
            await trio.sleep(0.02)
            for number in range(2):
                nursery.start_soon(caller.ask, "/pack/1", number)
        link_ms = 3 * len(narrow.PACK) / narrow.BYTES_PER_MS
        took_ms = max(caller.took_ms.values())
        assert took_ms <= 1.1 * link_ms, (round(took_ms), round(link_ms))
        mesh.nursery.cancel_scope.cancel()

    platform_mesh.on_mesh(narrow.script, test, tmp_path)
