"""Accepts connections from peers and runs their calls, one at a time per connection."""

import dataclasses
import math
from collections.abc import Awaitable, Callable

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.http import tcp_stream
from buckthornstage.limits import held_bytes
from buckthornstage.link import bulk, connection, frames

MAX_IDLE_S = 30.0
"""Peers reuse a connection for 20 s. The end of one that has gone silent never arrives."""
MIN_UNUSED_S = 1.0  # a peer sends its first frame at once
BACKLOG = 512  # each node of a reconnecting zone opens several connections at once

RunCall = Callable[[frames.Call], Awaitable[frames.Refused | frames.Failed | frames.Response]]
MakeCopy = Callable[[frames.Fetch], frames.Copy]


@dataclasses.dataclass(eq=False)
class PeerConnection:
    """A connection accepted from a peer."""

    outbox: bulk.Outbox
    memory: held_bytes.Transfer
    """For the call that is received."""
    receiver: held_bytes.Transfer
    """Counts the response that the peer has not taken."""
    is_busy: bool = False
    has_frame: bool = False
    """Whether the peer has sent a frame."""
    used_seconds: float = dataclasses.field(default_factory=trio.current_time)
    """Trio's time of the start, or of the end of the last call."""
    end_seconds: float = math.inf
    """Trio's time at which the caller of the call that runs has given up; infinite without one."""

    @property
    def has_pending_outcome(self) -> bool:
        """Whether the peer still waits for an outcome or for the rest of one."""
        return self.is_busy or bool(self.outbox.unacknowledged)

    @property
    def last_seconds(self) -> float:
        """Trio's time of the last use or received bytes."""
        return max(self.used_seconds, self.outbox.link.received_seconds)


async def serve(
    address: str,
    run_call: RunCall,
    make_copy: MakeCopy,
    max_call_bytes: Callable[[], int],
    on_bad_bytes: Callable[[str, str], None],
    bulk_sender: bulk.BulkSender,
    connections: set[PeerConnection],
    memory: held_bytes.HeldBytes,
    responses: held_bytes.HeldBytes,
    max_connections: int | None = None,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves on "IP:port"; `on_bad_bytes(peer, problem)` reports errors of peers and internal ones.

    Long responses of all connections share `bulk_sender`; `connections` contains the open ones.
    `max_call_bytes()` is the size of the largest call that a peer may send; a connection whose call
    finds no room in `memory` is closed. Responses that peers have not taken count in `responses`.
    At `max_connections` the one that is unused for longest is closed for a new one; if each is in
    use, the new one is closed.
    """

    async def serve_stream(stream: trio.SocketStream) -> None:
        accepted = tcp_stream.from_stream(stream)
        if max_connections is not None and len(connections) >= max_connections:
            on_bad_bytes(accepted.peer, f"{len(connections)} connections are open, the limit")
            if not _close_unused_one(connections):
                accepted.close()
                return
        link = connection.LinkConnection(accepted, "")
        transfers = (kind.transfer(accepted.peer, link.close) for kind in (memory, responses))
        peer = PeerConnection(bulk.Outbox(link), *transfers)
        connections.add(peer)
        try:
            await _serve_connection(peer, run_call, make_copy, max_call_bytes, bulk_sender)
        except Exception as error:
            # A failure of one connection must not end the others.
            problem = _problem(error)
            if problem is not None:
                on_bad_bytes(link.tcp_stream.peer, problem)
            errors.release(error)
        finally:
            peer.memory.end()
            peer.receiver.end()
            connections.discard(peer)
            link.close()

    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    await trio.serve_listeners(serve_stream, listeners, task_status=task_status)


def _close_unused_one(connections: set[PeerConnection]) -> bool:
    """Closes the connection that is unused for longest; False if none is unused for a while.

    One on which no frame has arrived goes first: a peer that keeps a connection may be about to
    send a call on it, which would then be tried again elsewhere.
    """
    last_seconds = trio.current_time() - MIN_UNUSED_S
    unused = [
        peer
        for peer in connections
        if peer.last_seconds <= last_seconds and not peer.has_pending_outcome
    ]
    if not unused:
        return False
    oldest = min(unused, key=lambda peer: (peer.has_frame, peer.last_seconds))
    connections.discard(oldest)
    oldest.outbox.link.close()
    return True


def close_unused(connections: set[PeerConnection]) -> None:
    """Closes the connections that their peers have not used for MAX_IDLE_S, and those on which the
    caller has given up, as its end of a silent connection never arrives.

    To be called regularly; a time limit of its own for each call would cost more.
    """
    now_seconds = trio.current_time()
    oldest_seconds = now_seconds - MAX_IDLE_S
    for peer in tuple(connections):
        if peer.end_seconds < now_seconds:
            peer.outbox.link.close()
        if peer.last_seconds < oldest_seconds and not peer.has_pending_outcome:
            peer.outbox.link.close()


def _problem(error: Exception) -> str | None:
    """What ended a connection, for the log; None if the peer closed or broke it."""
    if isinstance(error, trio.BrokenResourceError | trio.ClosedResourceError):
        return None
    if isinstance(error, errors.ProtocolError):
        return str(error)
    return f"internal error of this node while serving the connection: {error!r}"


async def _serve_connection(
    peer: PeerConnection,
    run_call: RunCall,
    make_copy: MakeCopy,
    max_call_bytes: Callable[[], int],
    bulk_sender: bulk.BulkSender,
) -> None:
    """Keeps reading while a call runs, because the end of the stream cancels the call."""
    outbox, link = peer.outbox, peer.outbox.link
    try:
        async with trio.open_nursery() as nursery:

            async def run(call: frames.Call, taken_bytes: int) -> None:
                steps = _run(peer, call, taken_bytes, run_call, bulk_sender)
                del call
                try:
                    await steps
                except trio.Cancelled as error:
                    # Its frames keep the response until the cyclic collector runs.
                    errors.release(error)
                    raise

            while (frame := await link.receive(max_call_bytes(), peer.memory)) is not None:
                if isinstance(frame, frames.ChunkRead):
                    size = bulk_sender.on_acknowledgement(outbox)
                    peer.receiver.on_progress(size)
                    continue
                peer.has_frame = True
                if peer.is_busy:
                    raise errors.ProtocolError("received a frame while a call was running")
                if isinstance(frame, frames.Call):
                    peer.is_busy = True
                    link.set_patience(frame.deadline_ms)
                    nursery.start_soon(run, frame, peer.memory.hand_over())
                    # The body of the call is not to be held while the next frame is awaited.
                    frame = None
                elif isinstance(frame, frames.Ping):
                    await link.send(frame)
                elif isinstance(frame, frames.Fetch):
                    await link.send(make_copy(frame))
                else:
                    raise errors.ProtocolError(f"unexpected {type(frame).__name__} frame")
                peer.memory.give_back()
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        # The first error is the cause; the others result from the cancellation.
        raise errors.leaf_exceptions(group)[0] from group
    finally:
        bulk_sender.close(outbox)


async def _run(
    peer: PeerConnection,
    call: frames.Call,
    taken_bytes: int,
    run_call: RunCall,
    bulk_sender: bulk.BulkSender,
) -> None:
    """Runs a call, for whose frame `taken_bytes` of memory are reserved, and sends its outcome."""
    call_id, sequence = call.call_id, call.sequence
    timeout_ms = connection.call_timeout_ms(call.deadline_ms)
    peer.end_seconds = trio.current_time() + timeout_ms / 1000
    try:
        outcome = await run_call(call)
        del call
    finally:
        peer.memory.memory.give_back(taken_bytes)
    outcome = msgspec.structs.replace(outcome, call_id=call_id, sequence=sequence)
    await _send_outcome(peer, call_id, outcome, bulk_sender)
    peer.is_busy, peer.end_seconds = False, math.inf
    peer.used_seconds = trio.current_time()


async def _send_outcome(
    peer: PeerConnection,
    call_id: str,
    outcome: frames.Refused | frames.Failed | frames.Response,
    bulk_sender: bulk.BulkSender,
) -> None:
    """Sends an outcome; a long body follows the response head in pieces."""
    outbox, receiver = peer.outbox, peer.receiver
    if not isinstance(outcome, frames.Response) or len(outcome.body) <= bulk.MAX_INLINE_BODY_BYTES:
        await outbox.link.send(outcome)
        return
    receiver.hold(len(outcome.body))
    head = msgspec.structs.replace(outcome, body=b"", length=len(outcome.body))
    await outbox.link.send(head)
    await bulk_sender.send(outbox, call_id, memoryview(outcome.body), receiver.start)
    receiver.give_back()
