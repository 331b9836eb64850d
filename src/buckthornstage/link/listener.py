"""Accepts connections of peers and runs their calls, one at a time on each connection."""

import dataclasses
from collections.abc import Awaitable, Callable

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.http import tcp_stream
from buckthornstage.link import bulk, connection, frames

BACKLOG = 512  # a zone that returns opens several connections from each node at once

RunCall = Callable[[frames.Call], Awaitable[frames.Refused | frames.Failed | frames.Response]]
MakeCopy = Callable[[frames.Fetch], frames.Copy]


@dataclasses.dataclass(eq=False)
class Served:
    """A connection of a peer."""

    outbox: bulk.Outbox
    is_busy: bool = False

    @property
    def is_awaited(self) -> bool:
        """Whether the peer still waits for an outcome, or for the rest of one."""
        return self.is_busy or bool(self.outbox.unread)


async def serve(
    address: str,
    run_call: RunCall,
    make_copy: MakeCopy,
    max_call_bytes: Callable[[], int],
    on_bad_bytes: Callable[[str, str], None],
    lane: bulk.BulkLane,
    connections: set[Served],
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves on "IP:port" until cancelled; `on_bad_bytes(peer, problem)` reports bad peers.

    Long responses of all connections share `lane`; `connections` holds those that are open.
    `max_call_bytes()` is the size of the largest call that a peer may send.
    """

    async def serve_stream(stream: trio.SocketStream) -> None:
        link = connection.LinkConnection(tcp_stream.from_stream(stream), "")
        served = Served(bulk.Outbox(link))
        connections.add(served)
        try:
            await _serve_connection(served, run_call, make_copy, max_call_bytes, lane)
        except errors.ProtocolError as error:
            on_bad_bytes(link.tcp_stream.peer, str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            # One connection must not end the others of this node.
            on_bad_bytes(link.tcp_stream.peer, f"unexpected error: {error!r}")
        finally:
            connections.discard(served)
            link.close()

    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    await trio.serve_listeners(serve_stream, listeners, task_status=task_status)


async def _serve_connection(
    served: Served,
    run_call: RunCall,
    make_copy: MakeCopy,
    max_call_bytes: Callable[[], int],
    lane: bulk.BulkLane,
) -> None:
    """Reads on while a call runs, because the end of the stream cancels it."""
    outbox, link = served.outbox, served.outbox.link
    try:
        async with trio.open_nursery() as nursery:

            async def run(call: frames.Call) -> None:
                await _send_outcome(outbox, call.call_id, await run_call(call), lane)
                served.is_busy = False

            while (frame := await link.receive(max_call_bytes())) is not None:
                if isinstance(frame, frames.ChunkRead):
                    lane.acknowledged(outbox)
                    continue
                if served.is_busy:
                    raise errors.ProtocolError("a frame arrived during a call")
                if isinstance(frame, frames.Call):
                    served.is_busy = True
                    nursery.start_soon(run, frame)
                elif isinstance(frame, frames.Fetch):
                    await link.send(make_copy(frame))
                else:
                    raise errors.ProtocolError(f"unexpected {type(frame).__name__} frame")
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        # One connection has one cause; the others follow from its cancellation.
        raise errors.leaves(group)[0] from group
    finally:
        lane.close(outbox)


async def _send_outcome(
    outbox: bulk.Outbox,
    call_id: str,
    outcome: frames.Refused | frames.Failed | frames.Response,
    lane: bulk.BulkLane,
) -> None:
    """Sends an outcome; a long body follows its head in pieces."""
    if not isinstance(outcome, frames.Response) or len(outcome.body) <= bulk.SMALL_BYTES:
        await outbox.link.send(outcome)
        return
    head = msgspec.structs.replace(outcome, body=b"", length=len(outcome.body))
    await outbox.link.send(head)
    await lane.send(outbox, call_id, memoryview(outcome.body))
