"""Reads the body of a request into one buffer, within the limits on its size and on memory."""

import itertools
from typing import TYPE_CHECKING

import h11
import trio

from buckthornstage.http import messages, parsing_turns
from buckthornstage.limits import held_bytes

if TYPE_CHECKING:
    from buckthornstage.http import server_connection

SMALL_BYTES = 64 * 1024
"""Bodies up to this size become `bytes`; a longer one stays in the buffer that received it."""
RESERVED_STEP_BYTES = 4 * 1024
"""Memory for a body of unknown length is reserved in steps, since an attempt to make room looks at
all connections."""


async def read(
    own: "server_connection.ServerConnection", request: messages.Request
) -> bytes | bytearray:
    """The body of the request whose head was read last; reserves its memory in `own.memory`.

    Raises h11.RemoteProtocolError with status 413 above the limit on the size, and 503 if other
    requests use the memory.
    """
    body = bytearray()
    declared_bytes = int(request.header(b"content-length") or 0)
    if declared_bytes > own.max_body_bytes:
        raise _too_large(own)
    head_bytes = own.memory.taken_bytes
    if declared_bytes:
        reserve(own, declared_bytes)
    own.memory.start()
    # A body of known length is one event for each read. The rest of a chunked one may wait for its
    # turn, so that reads share what all connections may buffer.
    is_chunked = not declared_bytes and request.header(b"transfer-encoding") is not None
    if is_chunked:
        await _wait_for_turn(own, own.protocol.trailing_data[0])
    for number in itertools.count(1):
        if is_chunked and number % parsing_turns.EVENTS_PER_TURN == 0:
            await parsing_turns.take(own)
        event = own.protocol.next_event()
        if event is h11.NEED_DATA:
            if own.protocol.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await own.tcp_stream.send_all(own.protocol.send(interim))
            if is_chunked:
                await _wait_for_turn(own, await own.receive(own.server.buffer_bytes))
            else:
                await own.receive()
        elif isinstance(event, h11.Data):
            size = len(body) + len(event.data)
            if size > own.max_body_bytes:
                raise _too_large(own)
            missing = size + head_bytes - own.memory.taken_bytes
            if missing > 0:
                reserve(own, max(missing, RESERVED_STEP_BYTES))
            own.memory.on_progress(len(event.data))
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return body if len(body) > SMALL_BYTES else bytes(body)
        else:
            raise trio.BrokenResourceError("the peer closed the connection in a body")


async def _wait_for_turn(own: "server_connection.ServerConnection", received: bytes) -> None:
    """Waits if the bytes may hold many chunks or trailers; trailers are parsed all at once."""
    if received.count(b"\n") > parsing_turns.EVENTS_PER_TURN:
        await parsing_turns.take(own)


def reserve(own: "server_connection.ServerConnection", size: int) -> None:
    """Reserves memory for the request that is being received; raises h11.RemoteProtocolError with
    status 503 if there is none."""
    if own.memory.take(size):
        return
    is_small = own.memory.taken_bytes + size <= held_bytes.SMALL_BYTES
    if not (is_small and own.memory.take_small(size)):
        text = f"other requests use the memory; {size} bytes more were to be received"
        raise h11.RemoteProtocolError(text, error_status_hint=503)


def _too_large(own: "server_connection.ServerConnection") -> h11.RemoteProtocolError:
    text = f"the body is above {own.max_body_bytes} bytes"
    return h11.RemoteProtocolError(text, error_status_hint=413)
