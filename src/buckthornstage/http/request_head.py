"""Reads the head of a request; a long one needs memory and is parsed in its turn."""

from typing import TYPE_CHECKING

import h11
import trio

from buckthornstage.http import framing, parsing_turns, request_body
from buckthornstage.limits import head_memory

if TYPE_CHECKING:
    from buckthornstage.http import server_connection

HEAD_END = b"\r\n\r\n"


async def read(own: "server_connection.ServerConnection") -> h11.Request | None:
    """Waits for the head of a request; None if the connection accepts no more.

    Memory for a long head is reserved in `own.memory`, while it is received and until the request
    has ended. Raises h11.RemoteProtocolError for a malformed head, with status 431 for one that is
    too long, and 503 if there is no memory for it.
    """
    if own.buffered_bytes:
        # Pipelined requests must not starve other connections.
        await trio.lowlevel.checkpoint()
    else:
        await own.wait_for_request()
    own.is_between_requests = False
    own.deadline_seconds = own.monitor.elapsed_seconds + own.server.header_seconds
    while not own.pipeline.is_closing:
        if _is_costly(own, own.protocol.trailing_data[0]):
            # It has arrived in time.
            own.deadline_seconds = None
            await parsing_turns.take(own)
        event = own.parse_head()
        if event is not h11.NEED_DATA:
            return event
        await own.receive(own.server.buffer_bytes)
    return None


def _is_costly(own: "server_connection.ServerConnection", received: bytes) -> bool:
    """Whether a long head is complete; checks the bytes of a head, and reserves memory for a long
    one as far as it has arrived."""
    problem = framing.size_problem(received, own.max_header_bytes)
    if problem is not None:
        raise h11.RemoteProtocolError(problem, error_status_hint=431)
    problem = framing.problem(received)
    if problem is not None:
        raise h11.RemoteProtocolError(problem)
    end = received.find(HEAD_END)
    size = len(received) if end < 0 else end
    counted = head_memory.counted_bytes(received.count(b"\r\n", 0, size), size)
    if counted > own.memory.taken_bytes:
        request_body.reserve(own, counted - own.memory.taken_bytes)
        own.memory.start()
    return counted > 0 and end >= 0
