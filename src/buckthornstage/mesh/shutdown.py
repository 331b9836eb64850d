"""Graceful shutdown of a node within the grace time: closes the ingress, waits for clients to
leave, then for running calls, and last for outcomes that peers have not fully received."""

import trio

from buckthornstage import clock as clocks
from buckthornstage.http import server
from buckthornstage.link import listener
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import egress, events, ingress

CLIENT_DRAIN_MS = 2_400
"""Clients send no more calls after two failed or unanswered readiness checks, one a second."""
CLIENT_IDLE_MS = 800
"""If the target is not ready, the node serves its clients until none has called for this time, as
no restart at its address is expected. If the target is ready, only this node restarts; it does not
wait, because it is needed again soon."""
INGRESS_CLOSE_DELAY_MS = 1_200
"""The ingress closes early enough for its running calls to end by the time clients have gone."""
EXIT_MARGIN_MS = 400
RESPONSE_MARGIN_MS = 100
"""Transfer of the last response to its caller takes 1 to 3 ms, and longer on a congested link."""
POLL_MS = 20
IDLE_CLOSE_MS = 300
"""Idle client connections stay open for this time at the end, for requests already in transit."""


async def stop(
    clock: clocks.Clock,
    grace_ms: int,
    call_server: server.HttpServer,
    own_egress: egress.Egress,
    own_ingress: ingress.Ingress,
    connections: set[listener.PeerConnection],
    log: events.EventLog,
) -> None:
    """Returns when no client, and no peer on `connections`, waits for a response, or shortly before
    the grace time ends."""
    began_ms = clock.now_ms()
    call_server.is_draining = True
    log.emit("node", "stopping", is_vital=True, calls=call_server.active)
    end_ms = began_ms + grace_ms - EXIT_MARGIN_MS
    # Every call that was read must get its response before the process ends.
    own_egress.node_end.last_response_ms = end_ms - RESPONSE_MARGIN_MS
    await trio.sleep(INGRESS_CLOSE_DELAY_MS / 1000)
    own_ingress.leave()
    await trio.sleep((CLIENT_DRAIN_MS - INGRESS_CLOSE_DELAY_MS) / 1000)
    accept_until_ms = end_ms - _longest_call_ms(own_egress) - IDLE_CLOSE_MS
    while _waits_for_clients(clock, own_egress, own_ingress) and clock.now_ms() < accept_until_ms:
        await trio.sleep(POLL_MS / 1000)
    own_egress.node_end.accepts_longer_calls = False
    # Calls that still run at the target may make calls of their own through the listener.
    while own_ingress.queue.running and clock.now_ms() < end_ms - IDLE_CLOSE_MS:
        await trio.sleep(POLL_MS / 1000)
    left_ms = max(1, end_ms - clock.now_ms())
    await call_server.drain(left_ms, IDLE_CLOSE_MS)
    while _pending_outcomes(connections) and clock.now_ms() < end_ms:
        await trio.sleep(POLL_MS / 1000)
    log.emit(
        "node",
        "drained",
        is_vital=True,
        calls=call_server.active,
        runs=len(own_ingress.queue.running),
        outcomes=_pending_outcomes(connections),
        took_ms=clock.now_ms() - began_ms,
    )


def _pending_outcomes(connections: set[listener.PeerConnection]) -> int:
    """Number of outcomes that peers still wait for, or have not fully received."""
    return sum(served.has_pending_outcome for served in connections)


def _longest_call_ms(own_egress: egress.Egress) -> int:
    """Longest timeout of a route in the active version."""
    if own_egress.table is None:
        return 0
    routes_in_force = own_egress.table.configuration.routes
    return max((route.timeout_ms for route in routes_in_force), default=0)


def _waits_for_clients(
    clock: clocks.Clock, own_egress: egress.Egress, own_ingress: ingress.Ingress
) -> bool:
    """Whether the target is not ready, so that no restart follows, and clients still send calls."""
    current = own_ingress.lifetimes.current
    is_restart = current is not None and current.status is lifetimes.Status.READY
    return not is_restart and clock.now_ms() - own_egress.last_call_ms < CLIENT_IDLE_MS
