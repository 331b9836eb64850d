"""HTTP servers of a node for announcements, readiness and metrics, which have few clients."""

from collections.abc import Callable

from buckthornstage.http import server
from buckthornstage.limits import body_memory, held_bytes

MAX_CONNECTIONS, MIN_CONNECTIONS = 128, 8
"""The target, the platform and the metrics' reader have one each."""
DESCRIPTORS = 0.04
"""Part of the descriptors that the connections of one server may use."""
MAX_BODY_BYTES = 64 * 1024
"""An announcement has 300 bytes, and all other requests have no body."""
MEMORY_BYTES = 2 * body_memory.BYTES_PER_MB
"""For the bodies and long heads of all requests to one server."""


def make(
    now_ms: Callable[[], float],
    descriptors: int,
    on_refused: Callable[[int | None, str, str], None],
    handler: server.Handler,
) -> server.HttpServer:
    """Server with limits of its own, so that its clients use nothing of what calls need.

    `descriptors` is the limit of the process; `on_refused` as for `HttpServer`.
    """
    return server.HttpServer(
        handler,
        MAX_BODY_BYTES,
        max_connections=max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, int(descriptors * DESCRIPTORS))),
        memory=held_bytes.HeldBytes(held_bytes.REQUESTS, now_ms, MEMORY_BYTES),
        on_refused=on_refused,
    )
