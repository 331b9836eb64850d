"""Bounds the memory of responses: those that a node reads from its target at the same time, and
those that wait for a client or a peer."""

from typing import TYPE_CHECKING

import trio

from buckthornstage import errors
from buckthornstage.http import client
from buckthornstage.limits import held_bytes

if TYPE_CHECKING:
    from buckthornstage.mesh import pending_call

MAX_RESPONSE_BYTES = 4 << 20
"""One response with its head and framing; the largest of the known sites have 1.7 MB."""
SMALL_BYTES = 128 * 1024  # a response of this size waits for no other; most have 0.4 to 90 kB
MAX_BUFFERED_BYTES = 8 << 20
"""Limit for the parts of all unfinished responses. Small responses and one other at a time may
exceed it. About 18 MB with 18 slots: 8 limit + 18 x 0.13 small + 4 other + 4 for its copy when
complete. The smallest node has 39 MB available."""


ROOM_POLL_S = 0.02
MAX_ROOM_WAIT_S = 0.5
"""For the rest of a response of a peer. Its pieces on the way hold up those of other responses on
the link of the peer's node."""
NO_ROOM_RETRY_MS = held_bytes.RESPONSES.window_ms
"""When a client that reads nothing has been noticed."""
SIZE_SMOOTHING = 0.1  # weight of the newest response if it is smaller than expected


class NoRoomError(errors.BuckthornstageError):
    """There is no memory for the rest of a response."""


async def take_room(hold: held_bytes.CallHold, size: int) -> None:
    """Waits until `size` bytes in all are reserved; the receivers that read least are closed
    meanwhile."""
    while not hold.take_up_to(size):
        await trio.sleep(ROOM_POLL_S)


class ExpectedSizes:
    """Sizes of long responses by route, from which calls get memory before they are started.

    Without `memory` the responses are counted and not bounded.
    """

    def __init__(self, memory: held_bytes.HeldBytes | None = None) -> None:
        self.memory = memory or held_bytes.HeldBytes()
        self.by_route: dict[str, float] = {}

    def admit(self, pending: "pending_call.PendingCall") -> None:
        """Promises memory for the response of a call that was not started; raises CallError if
        there is none."""
        pending.hold = held_bytes.CallHold(self.memory)
        size = self.by_route.get(pending.route.name)
        if size and not pending.hold.promise(int(size)):
            pending.retry_ms = NO_ROOM_RETRY_MS
            raise errors.CallError(
                errors.ErrorKind.OVERLOADED,
                f"responses that wait for clients use the memory; {size:.0f} bytes expected",
            )

    def record(self, route: str, size: int) -> None:
        """Takes the size of a response."""
        if size > SMALL_BYTES or route in self.by_route:
            expected = self.by_route.get(route, 0.0)
            self.by_route[route] = max(size, expected + SIZE_SMOOTHING * (size - expected))


class ResponseMemory:
    """Counts bytes of unfinished responses; above the limit, reads from the target wait."""

    def __init__(self) -> None:
        self.used_bytes = 0
        self.over_limit_lock = trio.Lock()
        """Held by the one response that may exceed the limit, so that one can always complete."""

    async def read_body(
        self, connection: client.Connection, hold: held_bytes.CallHold | None = None
    ) -> bytes:
        """Whole body of a response; raises ConnectionBrokenError, also for one that is too long.

        `hold` is the memory for it until its receiver has taken it; without room there, the body
        waits and counts as unfinished.
        """
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
            if hold is not None and len(body) > SMALL_BYTES:
                await take_room(hold, len(body))
            return bytes(body)
        finally:
            self.used_bytes -= len(body)
            if has_lock:
                self.over_limit_lock.release()
