"""Handles heartbeats and deregistrations of the target, and readiness requests of the platform.

In log lines the ingress has the part name "door".
"""

import urllib.parse
from collections.abc import Callable

import msgspec

from buckthornstage.http import messages, server
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import events, ingress

HEARTBEAT = "/buckthornstage/Instances.Heartbeat/"
DEREGISTER = "/buckthornstage/Instances.Deregister/"
READY = "/buckthornstage/ready"
MS_PER_SECOND = 1_000
JSON = ((b"content-type", b"application/json"),)


class _Info(msgspec.Struct):
    service: str
    slots: int
    zone: str
    version: str


class _Status(msgspec.Struct):
    state: str
    sequence: int
    cold_left_s: float = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Unix time of the target's start in ms, a whole number.
    born: int


class _Deregistration(msgspec.Struct):
    born: int | None = None


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


def decode(instance: str, payload: bytes) -> lifetimes.Announcement:
    """Decodes a heartbeat; raises msgspec.MsgspecError if it is not a valid one."""
    heartbeat = _heartbeat_decoder.decode(payload)
    if heartbeat.status.state not in ("ready", "draining") or heartbeat.info.slots < 1:
        raise msgspec.ValidationError(
            f"state must be ready or draining, and slots at least 1: got state"
            f" {heartbeat.status.state!r}, {heartbeat.info.slots} slots"
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
    )


def announce_handler(
    own_ingress: ingress.Ingress,
    is_own: Callable[[lifetimes.Announcement], bool],
    log: events.EventLog,
) -> server.Handler:
    """Handler for heartbeats and deregistrations of the target on this VM."""

    async def handle(request: messages.Request) -> messages.Response:
        path = request.target.partition("?")[0]
        if request.method == "POST" and path.startswith(HEARTBEAT):
            return _heartbeat(urllib.parse.unquote(path[len(HEARTBEAT) :]), request.body)
        if request.method == "POST" and path.startswith(DEREGISTER):
            return _deregister(urllib.parse.unquote(path[len(DEREGISTER) :]), request.body)
        return messages.Response(404)

    def _heartbeat(instance: str, body: bytes) -> messages.Response:
        try:
            announcement = decode(instance, body)
        except msgspec.MsgspecError as error:
            log.emit("door", "foreign_announcement", True, instance=instance, problem=str(error))
            return messages.Response(
                400, body=b"an announcement lacks a field or has a wrong one\n"
            )
        if not is_own(announcement):
            log.emit(
                "door",
                "foreign_announcement",
                True,
                instance=instance,
                problem="address or service",
                address=announcement.address,
                service=announcement.service,
            )
            return messages.Response(400, body=b"another address or service is set for this VM\n")
        own_ingress.announce(announcement)
        return messages.Response(200, JSON, b"{}")

    def _deregister(instance: str, body: bytes) -> messages.Response:
        try:
            started_at_ms = _deregistration_decoder.decode(body).born if body else None
        except msgspec.MsgspecError as error:
            log.emit("door", "foreign_announcement", True, instance=instance, problem=str(error))
            started_at_ms = None
        is_current = own_ingress.deregister(instance, started_at_ms)
        log.emit("door", "deregistered", True, instance=instance, is_current=is_current)
        return messages.Response(200, JSON, b"{}")

    return handle


def ready_handler(is_ready: Callable[[], bool]) -> server.Handler:
    """Handler for the platform's check whether clients may use this node."""

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.partition("?")[0] != READY:
            return messages.Response(404)
        return messages.Response(200 if is_ready() else 503)

    return handle
