"""Sends long bodies in pieces, paced so that small frames are not delayed on the node's link."""

import collections
import dataclasses
import itertools
from collections.abc import Callable

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.limits import link_pacer
from buckthornstage.link import connection, frames

MAX_INLINE_BODY_BYTES = 16 << 10
"""Bodies up to this size are sent at once, in the frame of the response, which takes 22 ms at
6 Mbit/s. The pieces of a longer body may each have to wait for an acknowledgement."""


@dataclasses.dataclass(eq=False)
class Outbox:
    """A connection with the pieces that its peer has not acknowledged, the oldest first."""

    link: connection.LinkConnection
    unacknowledged: collections.deque[link_pacer.Piece] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def has_room(self) -> bool:
        """Whether the peer may get another piece; even a frozen peer must leave one piece of the
        window for others."""
        return len(self.unacknowledged) < link_pacer.PIECES_PER_WINDOW - 1


@dataclasses.dataclass(eq=False)
class _PieceRequest:
    """A body waiting to send its next piece; `piece` is set once it may be sent."""

    outbox: Outbox
    order: int
    remaining: int
    piece: link_pacer.Piece | None = None
    granted: trio.Event = dataclasses.field(default_factory=trio.Event)


class BulkSender:
    """Sends all long bodies of one node. The body that began first has precedence: with equal
    shares of the link all of them would be late."""

    def __init__(self, clock: clocks.Clock, pacer: link_pacer.LinkPacer) -> None:
        self.clock = clock
        self.pacer = pacer
        self.orders = itertools.count()
        self.waiting: list[_PieceRequest] = []
        self.on_sent: Callable[[str, int, int], None] = lambda call_id, size, took_ms: None

    async def send(
        self,
        outbox: Outbox,
        call_id: str,
        body: memoryview,
        on_first: Callable[[], None] = lambda: None,
    ) -> None:
        """Sends a body as chunks; raises the errors of `LinkConnection.send`.

        `on_first()` is called when it is the turn of the first one on the link of the node.
        """
        order, sent, began_ms = next(self.orders), 0, self.clock.now_ms()
        self.pacer.enqueue(len(body))
        try:
            while sent < len(body):
                piece = await self._next_piece(outbox, order, len(body) - sent)
                if not sent:
                    on_first()
                chunk = bytes(body[sent : sent + piece.size])
                sent += piece.size
                self.pacer.dequeue(piece.size)
                await outbox.link.send(frames.Chunk(chunk))
            self.on_sent(call_id, sent, self.clock.now_ms() - began_ms)
        finally:
            self.pacer.dequeue(len(body) - sent)
            self._grant_pieces()

    def on_acknowledgement(self, outbox: Outbox) -> int:
        """The receiver has read the oldest piece, whose size is returned; raises ProtocolError if
        none is in flight."""
        if not outbox.unacknowledged:
            raise errors.ProtocolError("acknowledgement without a piece in flight")
        piece = outbox.unacknowledged.popleft()
        self.pacer.on_acknowledgement(piece, self.clock.now_ms())
        self._grant_pieces()
        return piece.size

    def close(self, outbox: Outbox) -> None:
        """Removes the pieces of a connection that has ended; they will not be acknowledged."""
        for piece in outbox.unacknowledged:
            self.pacer.abandon(piece)
        outbox.unacknowledged.clear()
        self._grant_pieces()

    async def _next_piece(self, outbox: Outbox, order: int, remaining: int) -> link_pacer.Piece:
        request = _PieceRequest(outbox, order, remaining)
        self.waiting.append(request)
        try:
            self._grant_pieces()
            while request.piece is None:
                # After a time without progress the pacer allows a test piece; no event signals it.
                wait_ms = self.pacer.next_room_ms() - self.clock.now_ms()
                with trio.move_on_after(
                    (wait_ms if wait_ms > 0 else link_pacer.PROBE_TIMEOUT_MS) / 1000
                ):
                    await request.granted.wait()
                self._grant_pieces()
        finally:
            if request in self.waiting:
                self.waiting.remove(request)
        return request.piece

    def _grant_pieces(self) -> None:
        """Grants pieces while the window of the link has room."""
        now_ms = self.clock.now_ms()
        for request in sorted(self.waiting, key=lambda request: request.order):
            if not self.pacer.has_room(now_ms):
                return
            if request.outbox.has_room:
                request.piece = self.pacer.on_piece_sent(
                    min(self.pacer.piece_bytes, request.remaining), now_ms
                )
                request.outbox.unacknowledged.append(request.piece)
                self.waiting.remove(request)
                request.granted.set()
