"""Bounds the memory of the responses that a node reads from its target at the same time."""

import trio

from buckthornstage.http import client

MAX_RESPONSE_BYTES = 4 << 20
"""One response with its head and framing; the largest of the known sites have 1.7 MB."""
SMALL_BYTES = 128 * 1024  # a response of this size waits for no other; most have 0.4 to 90 kB
MAX_BUFFERED_BYTES = 8 << 20
"""Limit for the parts of all unfinished responses. Small responses and one other at a time may
exceed it. About 18 MB with 18 slots: 8 limit + 18 x 0.13 small + 4 other + 4 for its copy when
complete. The smallest node has 39 MB available."""


class ResponseMemory:
    """Counts bytes of unfinished responses; above the limit, reads from the target wait."""

    def __init__(self) -> None:
        self.used_bytes = 0
        self.over_limit_lock = trio.Lock()
        """Held by the one response that may exceed the limit, so that one can always complete."""

    async def read_body(self, connection: client.Connection) -> bytes:
        """Whole body of a response; raises ConnectionBrokenError, also for one that is too long."""
        body = bytearray()
        has_lock = False
        try:
            while (chunk := await connection.read_limited(MAX_RESPONSE_BYTES)) is not None:
                is_small = len(body) + len(chunk) <= SMALL_BYTES
                if self.used_bytes + len(chunk) > MAX_BUFFERED_BYTES and not (is_small or has_lock):
                    await self.over_limit_lock.acquire()
                    has_lock = True
                body += chunk
                self.used_bytes += len(chunk)
            return bytes(body)
        finally:
            self.used_bytes -= len(body)
            if has_lock:
                self.over_limit_lock.release()
