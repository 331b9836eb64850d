"""Bounds the memory of the responses that a node reads from its target at the same time."""

import trio

from buckthornstage.http import client

MAX_RESPONSE_BYTES = 4 << 20
"""One response with its head and framing; the largest of the known sites have 1.7 MB."""
SMALL_BYTES = 128 * 1024  # a response of this size waits for no other; most have 0.4 to 90 kB
MAX_HELD_BYTES = 8 << 20
"""Parts of all unfinished responses. Beyond it go small responses, and one more at a time, which is
copied when it is whole: 18 MB in all with 18 slots, of 39 MB that the smallest node has left."""


class ResponseMemory:
    """Bytes held for unfinished responses; the target's connections wait when they are too many."""

    def __init__(self) -> None:
        self.held = 0
        self.beyond = trio.Lock()
        """Taken by the one response that may go beyond the limit, so that one can always end."""

    async def read_body(self, connection: client.Connection) -> bytes:
        """Whole body of a response; raises ConnectionBrokenError, also above the limit of one."""
        body = bytearray()
        is_beyond = False
        try:
            while (chunk := await connection.read_limited(MAX_RESPONSE_BYTES)) is not None:
                is_small = len(body) + len(chunk) <= SMALL_BYTES
                if self.held + len(chunk) > MAX_HELD_BYTES and not (is_small or is_beyond):
                    await self.beyond.acquire()
                    is_beyond = True
                body += chunk
                self.held += len(chunk)
            return bytes(body)
        finally:
            self.held -= len(body)
            if is_beyond:
                self.beyond.release()
