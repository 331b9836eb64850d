"""Interface to the HTTP headers that callers and targets use.

A header codec only reads and writes heads of requests and responses; the node makes the decisions.
The platform's codec is one value of this type, the tests have their own.
"""

import dataclasses
import enum
from collections.abc import Callable

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.link import frames


@dataclasses.dataclass(frozen=True)
class CallHead:
    """Id of a call, and its caller's remaining time in ms (None if the caller sent none)."""

    call_id: str
    remaining_ms: int | None


class ResponseKind(enum.StrEnum):
    """What a response of a target says about the call."""

    WHOLE = "whole"
    """The target's own response to this call; its body is still to be read."""
    NOT_RUN = "not_run"
    OTHER_LIFETIME = "other_lifetime"
    """Another lifetime uses the address; the call has not run."""
    OTHER_CALL = "other_call"
    """A late response to an earlier call on the connection."""
    UNPROVED = "unproved"
    """Without the header that only targets set, or content-encoded: not provably the target's
    response to this call."""


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Calls that run and wait at a target, its slots, and how long work takes there now: 1 is as
    usual, 2 is twice as long, None if the target does not tell it."""

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(frozen=True)
class TargetNotice:
    """What a target says about itself in a response.

    `requests_per_second`: most requests that it accepts from all nodes together; None without a
    limit. `is_leaving`: it is about to exit. `load`: None if it tells none.
    """

    requests_per_second: float | None = None
    is_leaving: bool = False
    load: ServerLoad | None = None


@dataclasses.dataclass(frozen=True)
class HeaderCodec:
    """Functions that read and write heads of requests and responses.

    Arguments: `forwarded_headers(request, has_tenants)`,
    `target_headers(call, instance, remaining_ms)`, `classify(response, call_id)`.
    `keep_alive_ms` tells how long a target keeps an idle connection, or None.
    """

    read_head: Callable[[messages.Request], CallHead]
    api_key: Callable[[messages.Request], str | None]
    forwarded_headers: Callable[[messages.Request, bool], frames.HeaderPairs]
    target_headers: Callable[[frames.Call, str, int], frames.HeaderPairs]
    classify: Callable[[messages.Response, str], ResponseKind]
    caller_headers: Callable[[frames.HeaderPairs], frames.HeaderPairs]
    keep_alive_ms: Callable[[messages.Response], int | None]
    target_notice: Callable[[messages.Response], TargetNotice]
    error_response: Callable[[errors.CallError, str, int | None], messages.Response]
