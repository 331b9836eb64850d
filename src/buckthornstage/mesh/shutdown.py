"""Stop of a node within its grace time: clients go first, then peers, then what still runs."""

import trio

from buckthornstage import clock as clocks
from buckthornstage.http import server
from buckthornstage.link import listener
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import egress, events, ingress

CLIENTS_LEAVE_MS = 2_400
"""Clients stay away after two missed questions, asked once a second."""
QUIET_MS = 800
"""A node whose target has gone serves its clients until none has called for this time: nothing
comes back at its address, while a node that restarts is needed again soon."""
INGRESS_LEAVES_MS = 1_200
"""The ingress closes early enough for its running calls to end when the clients have gone."""
EXIT_MARGIN_MS = 400
RESPONSE_MARGIN_MS = 100
"""The way of a last response to its caller takes 1 to 3 ms, and longer on a full link."""
POLL_MS = 20
IDLE_CLOSE_MS = 300
"""An idle client connection stays open for this time at the end, for a request on its way."""


async def stop(
    clock: clocks.Clock,
    grace_ms: int,
    call_server: server.HttpServer,
    own_egress: egress.Egress,
    own_ingress: ingress.Ingress,
    connections: set[listener.Served],
    log: events.EventLog,
) -> None:
    """Returns when neither a client nor a peer on `connections` waits for a response, or when the
    grace time is nearly over."""
    began_ms = clock.now_ms()
    call_server.is_draining = True
    log.emit("node", "stopping", is_vital=True, calls=call_server.active)
    latest_ms = began_ms + grace_ms - EXIT_MARGIN_MS
    # A call that is read must have its response before the process ends.
    own_egress.node_end.answered_ms = latest_ms - RESPONSE_MARGIN_MS
    await trio.sleep(INGRESS_LEAVES_MS / 1000)
    own_ingress.leave()
    await trio.sleep((CLIENTS_LEAVE_MS - INGRESS_LEAVES_MS) / 1000)
    accept_until_ms = latest_ms - _longest_call_ms(own_egress) - IDLE_CLOSE_MS
    while _has_clients(clock, own_egress, own_ingress) and clock.now_ms() < accept_until_ms:
        await trio.sleep(POLL_MS / 1000)
    own_egress.node_end.takes_longer_calls = False
    # What still runs at the target may make calls of its own, which need the listener.
    while own_ingress.queue.running and clock.now_ms() < latest_ms - IDLE_CLOSE_MS:
        await trio.sleep(POLL_MS / 1000)
    left_ms = max(1, latest_ms - clock.now_ms())
    await call_server.drain(left_ms, idle_ms=min(IDLE_CLOSE_MS, left_ms // 4))
    while _awaited(connections) and clock.now_ms() < latest_ms:
        await trio.sleep(POLL_MS / 1000)
    log.emit(
        "node",
        "drained",
        is_vital=True,
        calls=call_server.active,
        runs=len(own_ingress.queue.running),
        outcomes=_awaited(connections),
        took_ms=clock.now_ms() - began_ms,
    )


def _awaited(connections: set[listener.Served]) -> int:
    """Outcomes that peers still wait for, whole or in part."""
    return sum(served.is_awaited for served in connections)


def _longest_call_ms(own_egress: egress.Egress) -> int:
    """Longest time that a route of the version in force allows."""
    if own_egress.table is None:
        return 0
    routes_in_force = own_egress.table.configuration.routes
    return max((route.timeout_ms for route in routes_in_force), default=0)


def _has_clients(
    clock: clocks.Clock, own_egress: egress.Egress, own_ingress: ingress.Ingress
) -> bool:
    """Whether clients still call a node whose target has gone."""
    current = own_ingress.lifetimes.current
    is_restart = current is not None and current.status is lifetimes.Status.READY
    return not is_restart and clock.now_ms() - own_egress.called_ms < QUIET_MS
