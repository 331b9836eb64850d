"""Decoding of bytes that another process wrote, and ranges of the numbers and addresses in them.

Each decoder checks the ranges, so that a value which was decoded can be used, sent on and logged.
"""

from typing import Annotated, Protocol, TypeVar

import msgspec

MAX_WHOLE = 1 << 53
"""Largest number for counters and Unix ms: whole in a double, and one more still fits 64 bits."""
MAX_COUNT = 1_000_000
"""Slots, calls or nodes."""
MAX_MS = 2_000_000_000
"""Durations: 23 days, the longest time that the kernel takes for a timeout in ms."""
MAX_NAME_CHARACTERS = 255

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = "(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
WholeMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Address = Annotated[str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z")]
"""IPv4 address and port from 1 to 65535."""

T = TypeVar("T", covariant=True)


class Decoder(Protocol[T]):
    """A decoder of msgspec for one type."""

    def decode(self, payload: bytes, /) -> T:
        """Decodes the bytes."""


def decode(decoder: Decoder[T], payload: bytes) -> T:
    """Decodes bytes of another process; raises msgspec.MsgspecError for all that are not valid.

    Without it, bytes that are nested deeply raise RecursionError.
    """
    try:
        return decoder.decode(payload)
    except msgspec.MsgspecError:
        raise
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
    except (OverflowError, ValueError) as error:
        raise msgspec.DecodeError(f"not a valid value: {error}") from error
