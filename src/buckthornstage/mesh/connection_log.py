"""Log lines and counters for connections that a node refuses or closes."""

import math

from buckthornstage import clock as clocks
from buckthornstage.limits import held_bytes
from buckthornstage.mesh import events, metrics


def log_slow(
    log: events.EventLog,
    node_metrics: metrics.Metrics,
    clock: clocks.Clock,
    part: str,
    event: str,
    transfer: held_bytes.Transfer,
) -> None:
    """Logs and counts a connection that is closed because the memory is used up."""
    rate = transfer.bytes_per_ms(clock.now_ms())
    node_metrics.count(f"{event}_closed", part)
    fields = {"peer": transfer.name, "held_bytes": transfer.taken_bytes}
    fields.update(bytes_per_ms=round(rate, 1) if rate < math.inf else None)
    log.emit(part, event, **fields)


def log_refused(
    log: events.EventLog,
    node_metrics: metrics.Metrics,
    part: str,
    status: int | None,
    problem: str,
    peer: str,
) -> None:
    """Logs and counts a request that does not reach its handler; without a status its connection
    is closed."""
    node_metrics.count("refused", "bad_request")
    log.emit(part, "bad_request", status=status, problem=problem, peer=peer)
