"""What the stand-in processes share: responses, settings of faults, and waiting for a stop."""

import signal
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec
import trio

from buckthornstage.http import messages

T = TypeVar("T", bound=msgspec.Struct)


def json_response(status: int, value: object, headers: messages.Headers = ()) -> messages.Response:
    """A response with `value` as its JSON body."""
    body = msgspec.json.encode(value)
    return messages.Response(status, ((b"content-type", b"application/json"), *headers), body)


def text_response(status: int, text: str, headers: messages.Headers = ()) -> messages.Response:
    """A response with one line of plain text."""
    body = text.encode("utf-8") + b"\n"
    return messages.Response(status, ((b"content-type", b"text/plain"), *headers), body)


def lost_response() -> messages.Response:
    """A response that never gets past its head: the connection is closed instead of its body."""

    async def broken() -> AsyncIterator[bytes]:
        raise messages.ConnectionBrokenError("the answer is lost on purpose")
        yield b""  # makes this function a generator

    return messages.Response(200, ((b"content-length", b"1"),), stream=broken())


def updated(current: T, body: bytes) -> T:
    """`current` with the fields that the JSON object `body` names replaced.

    Raises msgspec.MsgspecError for unknown fields and wrong types.
    """
    changes = msgspec.json.decode(body, type=dict[str, object])
    return msgspec.convert({**msgspec.to_builtins(current), **changes}, type(current))


async def wait_for_stop() -> None:
    """Returns when the process receives SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return
