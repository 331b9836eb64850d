"""A configuration raises max_header_bytes; clients then send heads that it allows."""

import asyncio
import sys

import world as worlds

MACHINES = [(zone, service) for zone in "ab" for service in ("desk", "library")]
RAISED_BYTES = 65536
COOKIE_BYTES = 20000
LENGTH_S = 8.0
GAP_S = 0.1


async def play(world: worlds.World, has_trouble: bool) -> bool:
    routes = [worlds.route("read", "/read/", "safe", "desk")]
    world.publish(1, routes, RAISED_BYTES)
    await world.start()
    world.publish(2, [*routes, worlds.route("added", "/added/", "safe", "desk")], RAISED_BYTES)
    await asyncio.sleep(worlds.BOUNDS["config_apply_s"] + worlds.BOUNDS["contact_s"])
    found: list[int | None] = []
    cookie = "c" * (COOKIE_BYTES if has_trouble else 200)

    async def call(client: worlds.Client) -> None:
        while True:
            _, _, status, _ = await client.request("GET", "/read/x", cookie=cookie)
            found.append(status)
            await asyncio.sleep(GAP_S)

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(call(one.client())) for one in world.machines]
        await asyncio.sleep(LENGTH_S)
        for task in tasks:
            task.cancel()
    denied = sum(status is not None and 300 <= status < 500 for status in found)
    text = f"{denied} of {len(found)} proper requests ended with a 3xx or 4xx of the node"
    world.record(text)
    print(text, set(found))
    return denied > 5 + len(found) / 500


worlds.main(sys.argv[1], MACHINES, play)
