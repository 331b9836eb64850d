"""Ingress selection for calls that arrive at the same time."""

import trio

import loopback
import platform_mesh

ROUNDS = 10
RUN_S = 0.05
ONE_SLOT = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 1}


async def script(arrival):
    await trio.sleep(RUN_S)
    return platform_mesh.response(arrival)


def test_calls_that_arrive_together_go_to_different_ingresses(tmp_path):
    # Guards against a delay between selecting an ingress and counting the call as sent: calls
    # selected in between do not see it and go to the same ingress.
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        targets = [platform_mesh.Target(script), platform_mesh.Target(script)]
        for number, target in enumerate(targets):
            await mesh.announce(await mesh.start_node(f"n{number}", target), target, info=ONE_SLOT)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        peers = calling.directory.peers
        await platform_mesh.until(lambda: sum(p.state is not None for p in peers.values()) == 2)
        for _ in range(ROUNDS):
            before = [len(target.arrivals) for target in targets]
            async with trio.open_nursery() as calls:
                for _ in targets:
                    calls.start_soon(platform_mesh.handle, calling, "/read/1")
            assert [len(target.arrivals) for target in targets] == [n + 1 for n in before]

    loopback.run(main)
