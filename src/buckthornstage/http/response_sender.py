"""Sends responses to a client; bytes that wait for the client count in its `Transfer`."""

from typing import TYPE_CHECKING

import h11

from buckthornstage.http import framing, messages

if TYPE_CHECKING:
    from buckthornstage.http import server_connection

CLOSE = (b"connection", b"close")


async def send(
    own: "server_connection.ServerConnection",
    exchange: "server_connection.Exchange",
    is_last: bool,
) -> bool:
    """Sends a response; returns whether it is complete."""
    protocol, response = exchange.protocol, exchange.response
    if response.stream is not None:
        headers = [*response.headers, CLOSE] if is_last else list(response.headers)
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=framing.REASONS.get(response.status, b""),
        )
        try:
            await own.tcp_stream.send_all(protocol.send(head))
            return await _send_stream(own, protocol, response.stream)
        finally:
            if hasattr(response.stream, "aclose"):
                await response.stream.aclose()
    is_head = exchange.request is not None and exchange.request.method == "HEAD"
    data, rest = framing.encode_response(response, is_last, is_head)
    sent = own.tcp_stream.try_send(data)
    if sent == len(data) and rest:
        data, rest, sent = rest, b"", own.tcp_stream.try_send(rest)
    if sent < len(data):
        hold(own, exchange)
        own.receiver.start()
        await own.tcp_stream.send_all(memoryview(data)[sent:], own.receiver.on_progress)
        if rest:
            await own.tcp_stream.send_all(rest, own.receiver.on_progress)
    own.receiver.release(exchange.held_bytes)
    return True


def hold(own: "server_connection.ServerConnection", exchange: "server_connection.Exchange") -> None:
    """Counts a response that waits for the client, or for earlier responses to it."""
    size = len(exchange.response.body)
    if size > exchange.held_bytes:
        own.receiver.hold(size)
        exchange.held_bytes = size


async def _send_stream(
    own: "server_connection.ServerConnection", protocol: h11.Connection, stream
) -> bool:
    try:
        async for chunk in stream:
            if chunk:
                await own.tcp_stream.send_all(protocol.send(h11.Data(data=chunk)))
    except messages.HttpError:
        # Closing before the declared end is the only way to signal a truncated response.
        return False
    await own.tcp_stream.send_all(protocol.send(h11.EndOfMessage()))
    return True
