"""Gauges of a node for its metrics.

Metrics of the ingress have the prefix `door_`.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from buckthornstage.mesh import node


def of(own: "node.MeshNode") -> dict[str, float]:
    """Present values by name."""
    state = own.ingress.state()
    knowledge = own.egress.knowledge.fields(own.clock.now_ms())
    return {
        "version": own.peers.version,
        "peers": len(own.directory.peers),
        "door_running": state.running,
        "door_waiting": state.waiting,
        "door_status": int(state.status),
        "target_limit_per_second": own.ingress.queue.rate.per_second or 0,
        "target_slots_held": own.ingress.queue.held(own.clock.now_ms()),
        "target_pace": state.pace_percent / 100,
        "target_rejecting": int(state.is_rejecting),
        "target_connections_opened": own.ingress.pool.opened,
        "store_era": own.synchronization.era.newest or 0,
        **{name: value for name, value in knowledge.items() if value is not None},
        "log_lines_dropped": own.log.dropped,
        **own.memory.gauges(),
        "client_connections": own.call_server.connections,
        "requests_waiting_to_be_parsed": own.call_server.parsing_lock.statistics().tasks_waiting,
        "link_bulk_waiting_bytes": own.bulk_sender.pacer.waiting_bytes,
        "link_bulk_on_way_bytes": own.bulk_sender.pacer.in_flight_bytes,
        "link_bytes_per_ms": round(own.bulk_sender.pacer.rate),
        **own.rollouts.gauges(),
    }
