"""Sends long bodies in pieces, at a pace that leaves the node's link free for small frames."""

import collections
import dataclasses
import itertools
from collections.abc import Callable

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.limits import link_pace
from buckthornstage.link import connection, frames

MAX_INLINE_BODY_BYTES = 16 << 10
"""Bodies up to this size go out at once, in one frame: 22 ms of a link of 6 Mbit/s. The pieces of a
long body would each wait for an acknowledgement."""


@dataclasses.dataclass(eq=False)
class Outbox:
    """Pieces on one connection that its peer has not acknowledged, the oldest first."""

    link: connection.LinkConnection
    unacknowledged: collections.deque[link_pace.Piece] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def has_room(self) -> bool:
        """Whether the peer keeps up; one that is frozen must not hold the node's whole window."""
        return len(self.unacknowledged) < link_pace.PIECES_PER_WINDOW - 1


@dataclasses.dataclass(eq=False)
class _PieceRequest:
    """A body whose next piece waits; `piece` is set when it may go."""

    outbox: Outbox
    order: int
    remaining: int
    piece: link_pace.Piece | None = None
    granted: trio.Event = dataclasses.field(default_factory=trio.Event)


class BulkLane:
    """All long bodies of one node. The one that began first goes first: with equal shares of the
    link each of them would end late."""

    def __init__(self, clock: clocks.Clock, pace: link_pace.LinkPace) -> None:
        self.clock = clock
        self.pace = pace
        self.orders = itertools.count()
        self.waiting: list[_PieceRequest] = []
        self.on_sent: Callable[[str, int, int], None] = lambda call_id, size, took_ms: None

    async def send(self, outbox: Outbox, call_id: str, body: memoryview) -> None:
        """Sends a body as chunks; raises what the connection raises."""
        order, sent, began_ms = next(self.orders), 0, self.clock.now_ms()
        self.pace.enqueue(len(body))
        try:
            while sent < len(body):
                piece = await self._next_piece(outbox, order, len(body) - sent)
                chunk = bytes(body[sent : sent + piece.size])
                sent += piece.size
                self.pace.dequeue(piece.size)
                await outbox.link.send(frames.Chunk(chunk))
            self.on_sent(call_id, sent, self.clock.now_ms() - began_ms)
        finally:
            self.pace.dequeue(len(body) - sent)
            self._advance()

    def on_acknowledgement(self, outbox: Outbox) -> None:
        """The peer has read the oldest piece; raises ProtocolError when there is none."""
        if not outbox.unacknowledged:
            raise errors.ProtocolError("an acknowledgement without a piece")
        self.pace.on_acknowledgement(outbox.unacknowledged.popleft(), self.clock.now_ms())
        self._advance()

    def close(self, outbox: Outbox) -> None:
        """The connection has ended; what was on the way is not acknowledged any more."""
        for piece in outbox.unacknowledged:
            self.pace.abandon(piece)
        outbox.unacknowledged.clear()
        self._advance()

    async def _next_piece(self, outbox: Outbox, order: int, remaining: int) -> link_pace.Piece:
        request = _PieceRequest(outbox, order, remaining)
        self.waiting.append(request)
        try:
            self._advance()
            while request.piece is None:
                # Silence of all receivers makes room without an event.
                wait_ms = self.pace.next_room_ms() - self.clock.now_ms()
                with trio.move_on_after(
                    (wait_ms if wait_ms > 0 else link_pace.PROBE_TIMEOUT_MS) / 1000
                ):
                    await request.granted.wait()
                self._advance()
        finally:
            if request in self.waiting:
                self.waiting.remove(request)
        return request.piece

    def _advance(self) -> None:
        """Lets pieces go while the link has room."""
        now_ms = self.clock.now_ms()
        for request in sorted(self.waiting, key=lambda request: request.order):
            if not self.pace.has_room(now_ms):
                return
            if request.outbox.has_room:
                request.piece = self.pace.on_piece_sent(
                    min(self.pace.piece_bytes, request.remaining), now_ms
                )
                request.outbox.unacknowledged.append(request.piece)
                self.waiting.remove(request)
                request.granted.set()
