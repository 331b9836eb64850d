"""What each fault of a plan does to the processes and stand-ins of a run."""

import signal
from typing import TYPE_CHECKING

import trio

from buckthornstage.soak import misbehaving_clients, plan, proxy, starter

if TYPE_CHECKING:
    from buckthornstage.soak import platform_world

    World, Node = platform_world.World, platform_world.Node

GRACE_S = 6.0
RESTART_MS = 200
POLL_SECONDS = 0.02
DELAY_MS = 60
SLOW_STORE_MS = 200
RESTORE_MS = 300
MAX_CLOCK_STEP_MS = 5_000


async def play(world: "World", fault: plan.Fault) -> None:
    """Waits until the fault is due, and plays it."""
    await trio.sleep(max(0, fault.at_ms - world.now_ms()) / 1_000)
    await FAULTS[fault.kind](world, world.nodes[fault.node], fault.duration_ms / 1_000)


async def _stop_node(world: "World", node: "Node", seconds: float) -> None:
    if node.is_stopping:
        return
    node.is_stopping, process = True, node.process
    process.send_signal(signal.SIGTERM)
    with trio.move_on_after(GRACE_S):
        while process.poll() is None:
            await trio.sleep(POLL_SECONDS)
    await _restart(world, node, process)
    node.is_stopping = False


async def _kill_node(world: "World", node: "Node", seconds: float) -> None:
    await _restart(world, node, node.process)


async def _restart(world: "World", node: "Node", process: starter.NodeProcess) -> None:
    if node.process is process:
        process.kill()
        await trio.sleep(RESTART_MS / 1_000)
        while process.poll() is None:
            await trio.sleep(POLL_SECONDS)
        async with world.turn_to_start:
            if node.process is process:
                node.start()


async def _kill_all_nodes(world: "World", node: "Node", seconds: float) -> None:
    async with trio.open_nursery() as nursery:
        for each in world.nodes:
            nursery.start_soon(_restart, world, each, each.process)


async def _pause_node(world: "World", node: "Node", seconds: float) -> None:
    process = node.process
    process.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(seconds)
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)


async def _kill_target(world: "World", node: "Node", seconds: float) -> None:
    node.target.crash()


async def _leave_target(world: "World", node: "Node", seconds: float) -> None:
    await node.target.leave()


async def _lose_answers(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, node.target, "loses_answers", True, seconds)


async def _second_answers(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, node.target, "sends_second_answers", True, seconds)


async def _reset_callers(world: "World", node: "Node", seconds: float) -> None:
    node.callers.reset_all()


async def _reset_target_link(world: "World", node: "Node", seconds: float) -> None:
    node.to_target.reset_all()


async def _delay_target_link(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, node.to_target, "delay_ms", DELAY_MS, seconds)


async def _silence_target_link(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, node.to_target, "is_silent", True, seconds)


async def _cut_answers_of_target(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, node.to_target, "cuts_answers", True, seconds)


async def _silence_store_link(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, node.to_store, "is_silent", True, seconds)


async def _refuse_store_link(world: "World", node: "Node", seconds: float) -> None:
    node.to_store.reset_all()
    await _switched(world, node.to_store, "refuses", True, seconds)


async def _store_down(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, world.store.faults, "outage_status", 503, seconds)


async def _store_slow(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, world.store.faults, "slow_ms", SLOW_STORE_MS, seconds)


async def _store_loses_answers(world: "World", node: "Node", seconds: float) -> None:
    world.store.faults.lose_answers = 2


async def _store_writes_late(world: "World", node: "Node", seconds: float) -> None:
    world.store.faults.late_writes = 2


async def _store_forgets(world: "World", node: "Node", seconds: float) -> None:
    for topic in ("keyed.op", "keyed.nodes"):
        world.store.trim_topic(topic)


async def _change_configuration(world: "World", node: "Node", seconds: float) -> None:
    for _ in range(3):
        await world.publish()
        await trio.sleep(0.2)


async def _restore_store(world: "World", node: "Node", seconds: float) -> None:
    copy = world.store.take_copy()
    await trio.sleep(seconds - RESTORE_MS / 1_000)
    world.store.faults.outage_status = 503
    world.store.restore(copy)
    await trio.sleep(RESTORE_MS / 1_000)
    world.store.faults.outage_status = None
    await world.write_configuration()


async def _limit_target(world: "World", node: "Node", seconds: float) -> None:
    await node.target.name_limit(seconds)


async def _tell_leave(world: "World", node: "Node", seconds: float) -> None:
    await node.target.tell_leave()


async def _switched(world: "World", part: object, name: str, value: object, seconds: float) -> None:
    """Sets an attribute for a time; overlapping faults of one kind end with the last one."""
    normal = {"outage_status": None, "slow_ms": 0, "delay_ms": 0}.get(name, False)
    setattr(part, name, value)
    world.switched[id(part), name] += 1
    try:
        await trio.sleep(seconds)
    finally:
        world.switched[id(part), name] -= 1
        if not world.switched[id(part), name]:
            setattr(part, name, normal)


def _peer_proxy(world: "World", node: "Node") -> proxy.PeerProxy:
    """The proxy of the node, or of another one if peers reach it directly."""
    proxied = [each for each in world.nodes if each.peers is not None]
    return proxied[node.index % len(proxied)].peers


async def _silence_peer_link(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, _peer_proxy(world, node), "is_silent", True, seconds)


async def _cut_answers_to_peers(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, _peer_proxy(world, node), "cuts_answers", True, seconds)


async def _delay_peer_link(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, _peer_proxy(world, node), "delay_ms", DELAY_MS, seconds)


async def _reset_peer_link(world: "World", node: "Node", seconds: float) -> None:
    _peer_proxy(world, node).reset_all()


async def _lose_datagrams(world: "World", node: "Node", seconds: float) -> None:
    await _switched(world, _peer_proxy(world, node), "loses_datagrams", True, seconds)


async def _step_clock(world: "World", node: "Node", seconds: float) -> None:
    """Moves the clock of a VM, and back."""
    step_ms = world.rng.choice((-1, 1)) * world.rng.randint(1, MAX_CLOCK_STEP_MS)
    _set_clock(node, step_ms)
    await trio.sleep(seconds)
    _set_clock(node, 0)


def _set_clock(node: "Node", offset_ms: int) -> None:
    node.target.clock_offset_ms = offset_ms
    node.settings["clock_offset_s"] = offset_ms / 1_000
    node.write_settings()


async def _mute_store_links(world: "World", node: "Node", seconds: float) -> None:
    for each in world.nodes:
        each.to_store.mute_open()


async def _mute_peer_links(world: "World", node: "Node", seconds: float) -> None:
    for each in world.nodes:
        if each.peers is not None:
            each.peers.mute_open()


async def _mute_target_link(world: "World", node: "Node", seconds: float) -> None:
    node.to_target.mute_open()


async def _misbehaving_clients(world: "World", node: "Node", seconds: float) -> None:
    service = world.nodes[(node.index + 1) % len(world.nodes)].target.service
    with trio.move_on_after(seconds):
        await misbehaving_clients.run(node.settings["call_address"], f"/{service}/pay/")


FAULTS = {
    plan.FaultKind.STOP_NODE: _stop_node,
    plan.FaultKind.KILL_NODE: _kill_node,
    plan.FaultKind.KILL_ALL_NODES: _kill_all_nodes,
    plan.FaultKind.PAUSE_NODE: _pause_node,
    plan.FaultKind.KILL_TARGET: _kill_target,
    plan.FaultKind.LEAVE_TARGET: _leave_target,
    plan.FaultKind.LOSE_ANSWERS: _lose_answers,
    plan.FaultKind.SECOND_ANSWERS: _second_answers,
    plan.FaultKind.RESET_CALLERS: _reset_callers,
    plan.FaultKind.RESET_TARGET_LINK: _reset_target_link,
    plan.FaultKind.DELAY_TARGET_LINK: _delay_target_link,
    plan.FaultKind.SILENCE_TARGET_LINK: _silence_target_link,
    plan.FaultKind.CUT_ANSWERS_OF_TARGET: _cut_answers_of_target,
    plan.FaultKind.SILENCE_STORE_LINK: _silence_store_link,
    plan.FaultKind.REFUSE_STORE_LINK: _refuse_store_link,
    plan.FaultKind.STORE_DOWN: _store_down,
    plan.FaultKind.STORE_SLOW: _store_slow,
    plan.FaultKind.STORE_LOSES_ANSWERS: _store_loses_answers,
    plan.FaultKind.STORE_WRITES_LATE: _store_writes_late,
    plan.FaultKind.STORE_FORGETS: _store_forgets,
    plan.FaultKind.CHANGE_CONFIGURATION: _change_configuration,
    plan.FaultKind.RESTORE_STORE: _restore_store,
    plan.FaultKind.LIMIT_TARGET: _limit_target,
    plan.FaultKind.TELL_LEAVE: _tell_leave,
    plan.FaultKind.SILENCE_PEER_LINK: _silence_peer_link,
    plan.FaultKind.CUT_ANSWERS_TO_PEERS: _cut_answers_to_peers,
    plan.FaultKind.DELAY_PEER_LINK: _delay_peer_link,
    plan.FaultKind.RESET_PEER_LINK: _reset_peer_link,
    plan.FaultKind.LOSE_DATAGRAMS: _lose_datagrams,
    plan.FaultKind.STEP_CLOCK: _step_clock,
    plan.FaultKind.MUTE_STORE_LINKS: _mute_store_links,
    plan.FaultKind.MUTE_PEER_LINKS: _mute_peer_links,
    plan.FaultKind.MUTE_TARGET_LINK: _mute_target_link,
    plan.FaultKind.MISBEHAVING_CLIENTS: _misbehaving_clients,
}
