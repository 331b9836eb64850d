"""All processes are killed right after a target's leave was acknowledged; a late ping follows."""

import asyncio
import pathlib
import subprocess
import sys
import time

import world as worlds

MACHINES = [("a", "desk"), ("a", "library"), ("b", "desk"), ("b", "library")]
PING_LATE_S = 3.0
"""After it was sent, which was just before the leave."""
SERVES_ON_S = 10.0
"""From the ack until the target exits."""
CLIENT_GAP_S = 0.05


async def leave(machine: worlds.Machine, pids: list[int]) -> float:
    """The target says that it leaves; the processes are killed right after the ack."""
    leaving = machine.target
    arguments = [machine.ip, machine.control, leaving.instance, leaving.born, *pids]
    script = pathlib.Path(__file__).with_name("leave.py")
    sender = await asyncio.create_subprocess_exec(
        sys.executable, script, *map(str, arguments), stdout=subprocess.PIPE
    )
    acked, status = (await sender.communicate())[0].split()
    machine.world.record(
        f"leave of {leaving.instance} answered with {status.decode()} at"
        f" {float(acked) - machine.world.began:.4f}"
    )
    if status != b"200":
        raise worlds.UnplayableError("the leave was not acknowledged")
    return float(acked)


async def play(world: worlds.World, has_trouble: bool) -> bool:
    world.publish(1, [worlds.route("read", "/read/", "safe", "desk")])
    await world.start()
    machine = world.machines[0]
    leaving = machine.target
    pids = [one.process.pid for one in world.machines] if has_trouble else []

    async def call(client: worlds.Client) -> None:
        while True:
            await client.request("GET", "/read/x")
            await asyncio.sleep(CLIENT_GAP_S)

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(call(one.client())) for one in world.machines for _ in "12"]
        await asyncio.sleep(2)
        leaving.beats.cancel()
        late_ping, sent = leaving.beat_body(), time.monotonic()
        acked = await leave(machine, pids)
        if has_trouble:
            for one in world.machines:
                one.process.wait()
                world.record(f"node {one.name} killed right after the ack")
            await asyncio.sleep(worlds.RESTART_S)
            for one in world.machines:
                one.start_node()
        started = time.monotonic()
        await asyncio.sleep(sent + PING_LATE_S - time.monotonic())
        world.record(f"a ping of {leaving.instance} that was sent before its leave arrives")
        is_acked = await leaving.send_beat(late_ping)
        world.record(f"the late ping was answered: {is_acked}")
        await asyncio.sleep(acked + SERVES_ON_S - time.monotonic())
        leaving.crash()
        for task in tasks:
            task.cancel()
    in_touch = started + worlds.BOUNDS["contact_s"] if has_trouble else acked
    bound = max(acked + worlds.BOUNDS["drain_s"], in_touch)
    late = [(at, attempt) for at, attempt, _ in leaving.runs if at > bound]
    others = sum(at > bound for one in world.machines for at, *_ in one.target.runs) - len(late)
    text = (
        f"{len(late)} requests reached the target that had left, from"
        f" {late[0][0] - acked if late else 0:.1f} s to {late[-1][0] - acked if late else 0:.1f} s"
        f" after the ack, all sent on by machines in touch; {others} reached other targets"
    )
    world.record(text)
    print(text)
    return bool(late)


worlds.main(sys.argv[1], MACHINES, play)
