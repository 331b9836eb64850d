"""Helpers of the stand-in processes: responses, changes of faults, waiting for a stop signal."""

import signal
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec
import trio

from buckthornstage.http import messages

T = TypeVar("T", bound=msgspec.Struct)


def json_response(status: int, value: object, headers: messages.Headers = ()) -> messages.Response:
    """Response with `value` as its JSON body."""
    body = msgspec.json.encode(value)
    return messages.Response(status, ((b"content-type", b"application/json"), *headers), body)


def text_response(status: int, text: str, headers: messages.Headers = ()) -> messages.Response:
    """Response with one line of plain text."""
    body = text.encode("utf-8") + b"\n"
    return messages.Response(status, ((b"content-type", b"text/plain"), *headers), body)


def lost_response() -> messages.Response:
    """Response that is lost: its head is sent, then the connection is closed without the body."""

    async def broken() -> AsyncIterator[bytes]:
        raise messages.ConnectionBrokenError("response lost by an injected fault")
        yield b""  # makes this function a generator

    return messages.Response(200, ((b"content-length", b"1"),), stream=broken())


def updated(current: T, body: bytes) -> T:
    """Returns `current` with the fields in the JSON object `body` replaced.

    Raises msgspec.MsgspecError for unknown fields and wrong types.
    """
    changes = msgspec.json.decode(body, type=dict[str, object])
    return msgspec.convert({**msgspec.to_builtins(current), **changes}, type(current))


async def wait_for_stop_signal() -> None:
    """Returns when the process receives SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return
