"""Handles heartbeats and deregistrations of the target, and readiness requests of the platform.

In log lines the ingress has the part name "door".
"""

import re
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec

from buckthornstage import decoding
from buckthornstage.http import messages, server
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import events, ingress

HEARTBEAT = "/buckthornstage/Instances.Heartbeat/"
DEREGISTER = "/buckthornstage/Instances.Deregister/"
READY = "/buckthornstage/ready"
MS_PER_SECOND = 1_000
_MAX_COLD_S = decoding.MAX_MS // MS_PER_SECOND
JSON = ((b"content-type", b"application/json"),)
ACKNOWLEDGED = messages.Response(200, JSON, b"{}")
NOT_KEPT = messages.Response(503, body=b"the leave is not stored yet\n")
INVALID = messages.Response(400, body=b"an announcement lacks a field or has a wrong one\n")
_INSTANCE = re.compile(f"[!-~]{{1,{decoding.MAX_NAME_CHARACTERS}}}")
"""Visible ASCII characters, as the id of a target is sent in a header."""
_INSTANCE_FORM = "expected an instance of 1 to 255 visible ASCII characters"


class _Info(msgspec.Struct):
    service: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=decoding.MAX_COUNT)]
    zone: str
    version: str


class _Status(msgspec.Struct):
    state: str
    sequence: decoding.Whole
    cold_left_s: Annotated[float, msgspec.Meta(ge=-_MAX_COLD_S, le=_MAX_COLD_S)] = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Unix time of the target's start in ms, a whole number.
    born: decoding.Whole


class _Deregistration(msgspec.Struct):
    born: decoding.Whole | None = None


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


def decode(instance: str, payload: bytes) -> lifetimes.Announcement:
    """Decodes a heartbeat; raises msgspec.MsgspecError if it is not a valid one."""
    heartbeat = decoding.decode(_heartbeat_decoder, payload)
    if heartbeat.status.state not in ("ready", "draining"):
        raise msgspec.ValidationError(
            f"state must be ready or draining: got {heartbeat.status.state!r}"
        )
    return lifetimes.Announcement(
        instance,
        heartbeat.born,
        heartbeat.status.sequence,
        heartbeat.info.service,
        heartbeat.address,
        heartbeat.info.slots,
        heartbeat.status.state == "draining",
        max(0, round(heartbeat.status.cold_left_s * MS_PER_SECOND)),
        heartbeat.info.version,
    )


def announce_handler(
    own_ingress: ingress.Ingress,
    is_own: Callable[[lifetimes.Announcement], bool],
    log: events.EventLog,
    keep_leaves: Callable[[str], Awaitable[bool]],
) -> server.Handler:
    """Handler for heartbeats and deregistrations of the target on this VM.

    A leave takes effect at once. It is acknowledged only when `keep_leaves(instance)` returns that
    it will be known after the end of all processes.
    """

    async def handle(request: messages.Request) -> messages.Response:
        path = request.target.partition("?")[0]
        for prefix, step in ((HEARTBEAT, _heartbeat), (DEREGISTER, _deregister)):
            if request.method == "POST" and path.startswith(prefix):
                instance = urllib.parse.unquote(path[len(prefix) :])
                if not _INSTANCE.fullmatch(instance):
                    return _invalid(instance, _INSTANCE_FORM)
                return await step(instance, request.body)
        return messages.Response(404)

    def _invalid(instance: str, problem: str, **fields: str) -> messages.Response:
        log.emit("door", "foreign_announcement", True, instance=instance, problem=problem, **fields)
        return INVALID

    async def _heartbeat(instance: str, body: bytes) -> messages.Response:
        try:
            announcement = decode(instance, body)
        except msgspec.MsgspecError as error:
            return _invalid(instance, str(error))
        if not is_own(announcement):
            found = {"address": announcement.address, "service": announcement.service}
            _invalid(instance, "address or service", **found)
            return messages.Response(400, body=b"another address or service is set for this VM\n")
        own_ingress.announce(announcement)
        is_kept = not announcement.is_draining or await keep_leaves(instance)
        return ACKNOWLEDGED if is_kept else NOT_KEPT

    async def _deregister(instance: str, body: bytes) -> messages.Response:
        try:
            started_at_ms = decoding.decode(_deregistration_decoder, body).born if body else None
        except msgspec.MsgspecError as error:
            _invalid(instance, str(error))
            started_at_ms = None
        is_current = own_ingress.deregister(instance, started_at_ms)
        log.emit("door", "deregistered", True, instance=instance, is_current=is_current)
        return ACKNOWLEDGED if await keep_leaves(instance) else NOT_KEPT

    return handle


def ready_handler(is_ready: Callable[[], bool]) -> server.Handler:
    """Handler for the platform's check whether clients may use this node."""

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.partition("?")[0] != READY:
            return messages.Response(404)
        return messages.Response(200 if is_ready() else 503)

    return handle
