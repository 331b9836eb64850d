"""Sends long bodies in pieces, at a pace that leaves the node's link free for small frames."""

import collections
import dataclasses
import itertools
from collections.abc import Callable

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.limits import link_pacer
from buckthornstage.link import connection, frames

SMALL_BYTES = 16 << 10
"""Bodies up to this size go out at once, in one frame: 22 ms of a link of 6 Mbit/s. The pieces of a
long body would each wait for an acknowledgement."""


@dataclasses.dataclass(eq=False)
class Outbox:
    """Pieces on one connection that its peer has not acknowledged, the oldest first."""

    link: connection.LinkConnection
    unread: collections.deque[link_pacer.Piece] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def has_room(self) -> bool:
        """Whether the peer keeps up; one that is frozen must not hold the node's whole window."""
        return len(self.unread) < link_pacer.PIECES - 1


@dataclasses.dataclass(eq=False)
class _Turn:
    """A body whose next piece waits; `piece` is set when it may go."""

    outbox: Outbox
    order: int
    left: int
    piece: link_pacer.Piece | None = None
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)


class BulkSender:
    """All long bodies of one node. The one that began first goes first: with equal shares of the
    link each of them would end late."""

    def __init__(self, clock: clocks.Clock, pacer: link_pacer.LinkPacer) -> None:
        self.clock = clock
        self.pacer = pacer
        self.orders = itertools.count()
        self.waiting: list[_Turn] = []
        self.on_sent: Callable[[str, int, int], None] = lambda call_id, size, took_ms: None

    async def send(self, outbox: Outbox, call_id: str, body: memoryview) -> None:
        """Sends a body as chunks; raises what the connection raises."""
        order, sent, began_ms = next(self.orders), 0, self.clock.now_ms()
        self.pacer.enqueue(len(body))
        try:
            while sent < len(body):
                piece = await self._next_piece(outbox, order, len(body) - sent)
                chunk = bytes(body[sent : sent + piece.size])
                sent += piece.size
                self.pacer.withdraw(piece.size)
                await outbox.link.send(frames.Chunk(chunk))
            self.on_sent(call_id, sent, self.clock.now_ms() - began_ms)
        finally:
            self.pacer.withdraw(len(body) - sent)
            self._advance()

    def acknowledged(self, outbox: Outbox) -> None:
        """The peer has read the oldest piece; raises ProtocolError when there is none."""
        if not outbox.unread:
            raise errors.ProtocolError("an acknowledgement without a piece")
        self.pacer.acknowledged(outbox.unread.popleft(), self.clock.now_ms())
        self._advance()

    def close(self, outbox: Outbox) -> None:
        """The connection has ended; what was on the way is not acknowledged any more."""
        for piece in outbox.unread:
            self.pacer.abandon(piece)
        outbox.unread.clear()
        self._advance()

    async def _next_piece(self, outbox: Outbox, order: int, left: int) -> link_pacer.Piece:
        turn = _Turn(outbox, order, left)
        self.waiting.append(turn)
        try:
            self._advance()
            while turn.piece is None:
                # Silence of all receivers makes room without an event.
                wait_ms = self.pacer.next_room_ms() - self.clock.now_ms()
                with trio.move_on_after((wait_ms if wait_ms > 0 else link_pacer.SILENT_MS) / 1000):
                    await turn.decided.wait()
                self._advance()
        finally:
            if turn in self.waiting:
                self.waiting.remove(turn)
        return turn.piece

    def _advance(self) -> None:
        """Lets pieces go while the link has room."""
        now_ms = self.clock.now_ms()
        for turn in sorted(self.waiting, key=lambda turn: turn.order):
            if not self.pacer.has_room(now_ms):
                return
            if turn.outbox.has_room:
                turn.piece = self.pacer.sent(min(self.pacer.piece_bytes, turn.left), now_ms)
                turn.outbox.unread.append(turn.piece)
                self.waiting.remove(turn)
                turn.decided.set()
