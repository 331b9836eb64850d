"""Accepts connections of peers and runs their calls, one at a time on each connection."""

from collections.abc import Awaitable, Callable

import trio

from buckthornstage import errors
from buckthornstage.http import wire
from buckthornstage.link import connection, frames

BACKLOG = 512  # a zone that returns opens several connections from each node at once

RunCall = Callable[[frames.Call], Awaitable[frames.Refused | frames.Failed | frames.Answer]]
MakeCopy = Callable[[frames.Fetch], frames.Copy]


async def serve(
    address: str,
    run_call: RunCall,
    make_copy: MakeCopy,
    max_call_bytes: Callable[[], int],
    on_bad_bytes: Callable[[str, str], None],
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves on "IP:port" until cancelled; `on_bad_bytes(peer, problem)` reports bad peers.

    `max_call_bytes()` is the size of the largest call that a peer may send.
    """

    async def serve_stream(stream: trio.SocketStream) -> None:
        link = connection.LinkConnection(wire.from_stream(stream), "")
        try:
            await _serve_connection(link, run_call, make_copy, max_call_bytes)
        except errors.ProtocolError as error:
            on_bad_bytes(link.wire.peer, str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            # One connection must not end the others of this node.
            on_bad_bytes(link.wire.peer, f"unexpected error: {error!r}")
        finally:
            link.close()

    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    await trio.serve_listeners(serve_stream, listeners, task_status=task_status)


async def _serve_connection(
    link: connection.LinkConnection,
    run_call: RunCall,
    make_copy: MakeCopy,
    max_call_bytes: Callable[[], int],
) -> None:
    """Reads on while a call runs, because the end of the stream cancels it."""
    try:
        async with trio.open_nursery() as nursery:
            is_busy = False

            async def run(call: frames.Call) -> None:
                nonlocal is_busy
                await _send_outcome(link, await run_call(call))
                is_busy = False

            while (frame := await link.receive(max_call_bytes())) is not None:
                if is_busy:
                    raise errors.ProtocolError("a frame arrived during a call")
                if isinstance(frame, frames.Call):
                    is_busy = True
                    nursery.start_soon(run, frame)
                elif isinstance(frame, frames.Fetch):
                    await link.send(make_copy(frame))
                else:
                    raise errors.ProtocolError(f"unexpected {type(frame).__name__} frame")
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        # One connection has one cause; the others follow from its cancellation.
        raise errors.leaves(group)[0] from group


async def _send_outcome(
    link: connection.LinkConnection, outcome: frames.Refused | frames.Failed | frames.Answer
) -> None:
    """Sends an outcome; a long body goes in pieces, at the pace at which the peer reads."""
    if not isinstance(outcome, frames.Answer) or len(outcome.body) <= frames.CHUNK_BYTES:
        await link.send(outcome)
        return
    body = memoryview(outcome.body)
    first, rest = bytes(body[: frames.CHUNK_BYTES]), body[frames.CHUNK_BYTES :]
    await link.send(
        frames.Answer(
            outcome.status, outcome.headers, first, len(rest), outcome.state, outcome.run_ms
        )
    )
    for start in range(0, len(rest), frames.CHUNK_BYTES):
        await link.send(frames.Chunk(bytes(rest[start : start + frames.CHUNK_BYTES])))
