"""The memory of one process, divided among the kinds of bytes that it buffers for calls.

Each byte counts in one share: the body of a request from before it is received until its call has
ended, and a response from before its body is received until the client, or the peer on the link,
has taken it. Responses that wait for an earlier one of their connection count as those of their
client. Parts that are read from the target have a limit of their own
(`mesh.response_memory.MAX_BUFFERED_BYTES`), which is part of `body_memory.OTHER_MEMORY_MB`.
"""

from collections.abc import Callable

from buckthornstage.limits import body_memory, held_bytes

DEFAULT_MEMORY_MB = 256.0
"""Bounds the responses of a process whose memory is unknown; its request bodies are not bounded."""
CLIENT_SHARE, PEER_SHARE = 1 / 4, 1 / 8
"""Parts of what is left after `body_memory.OTHER_MEMORY_MB` that responses to clients and to peers
may use. Of 200 MB clients have 35 MB, 389 downloads of 90 kB: 56 s of a link of 5 Mbit/s."""
MIN_CLIENT_BYTES = 6 * body_memory.BYTES_PER_MB
MIN_PEER_BYTES = 4 * body_memory.BYTES_PER_MB
"""In a process of any size; the largest response has 4 MB. Bodies of requests leave both free, as
`body_memory.OTHER_MEMORY_MB` contains them."""
MAX_CLIENTS = 10_000
CLIENTS_PER_MB = 10
"""An idle connection takes 10 KB: all of them a tenth of the memory of the process."""
CLIENT_DESCRIPTORS, PEER_DESCRIPTORS = 0.5, 0.35
"""Parts of the descriptors for connections of clients and of peers. The rest is for those to the
target, to peers and to the store, and for the other listeners."""


class ProcessMemory:
    """Owner of the shares; `memory_mb` is 0 if the memory of the process is unknown."""

    def __init__(self, memory_mb: float, now_ms: Callable[[], float]) -> None:
        left_bytes = body_memory.left_bytes(memory_mb or DEFAULT_MEMORY_MB)
        pool_bytes = left_bytes + MIN_CLIENT_BYTES + MIN_PEER_BYTES
        pool = body_memory.BodyMemory(pool_bytes if memory_mb else None)
        self.pool = pool
        self.memory_mb = memory_mb
        self.bodies = held_bytes.HeldBytes(
            held_bytes.REQUESTS, now_ms, left_bytes if memory_mb else None, pool
        )
        self.clients = held_bytes.HeldBytes(
            held_bytes.RESPONSES,
            now_ms,
            max(MIN_CLIENT_BYTES, int(left_bytes * CLIENT_SHARE)),
            pool,
        )
        self.peers = held_bytes.HeldBytes(
            held_bytes.RESPONSES, now_ms, max(MIN_PEER_BYTES, int(left_bytes * PEER_SHARE)), pool
        )

    def max_clients(self, descriptors: int) -> int:
        """Connections of clients that a process with so many descriptors accepts."""
        by_memory = int(self.memory_mb * CLIENTS_PER_MB) or MAX_CLIENTS
        return max(1, min(MAX_CLIENTS, by_memory, int(descriptors * CLIENT_DESCRIPTORS)))

    def max_peers(self, descriptors: int) -> int:
        """Connections of peers that a process with so many descriptors accepts."""
        return max(1, int(descriptors * PEER_DESCRIPTORS))

    def gauges(self) -> dict[str, int]:
        """Bytes in use by kind, for the metrics."""
        return {
            "request_body_bytes": self.bodies.used_bytes,
            "client_response_bytes": self.clients.used_bytes,
            "client_response_limit_bytes": self.clients.limit_bytes,
            "peer_response_bytes": self.peers.used_bytes,
            "peer_response_limit_bytes": self.peers.limit_bytes,
        }
