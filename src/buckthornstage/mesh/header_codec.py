"""What the node needs to know of the protocol that callers and targets speak.

The node decides; a codec only reads and writes heads of requests and responses. The platform's
codec is one value of this type, the tests have their own.
"""

import dataclasses
import enum
from collections.abc import Callable

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.link import frames


@dataclasses.dataclass(frozen=True)
class CallHead:
    """Identity of a call, and how long its caller will wait (ms; None when it does not say)."""

    call_id: str
    remaining_ms: int | None


class ResponseKind(enum.StrEnum):
    """What a response of a target says about the call."""

    WHOLE = "whole"
    """Made by the target for this call."""
    NOT_RUN = "not_run"
    OTHER_LIFETIME = "other_lifetime"
    """Another target has the address; the call has not run."""
    OTHER_CALL = "other_call"
    """A late response to an earlier call on the connection."""
    UNPROVED = "unproved"
    """Without the mark of a target, or encoded: not the target's response to this call."""


@dataclasses.dataclass(frozen=True)
class HeaderCodec:
    """Functions that read and write heads.

    `kept_open_ms` tells how long a target keeps an idle connection, or None.
    """

    read_head: Callable[[messages.Request], CallHead]
    forwarded_headers: Callable[[messages.Request], frames.HeaderPairs]
    target_headers: Callable[[frames.Call, str, int], frames.HeaderPairs]
    judge: Callable[[messages.Response, str], ResponseKind]
    caller_headers: Callable[[frames.HeaderPairs], frames.HeaderPairs]
    kept_open_ms: Callable[[messages.Response], int | None]
    error_response: Callable[[errors.CallError, str, int | None], messages.Response]
