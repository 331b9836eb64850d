"""Behaviour of the backend server stand-in, without its process and flags."""

import collections
import dataclasses
import os
import signal
from collections.abc import Callable

import msgspec
import trio

from buckthornstage import clock
from buckthornstage.http import client, messages
from buckthornstage.membership import records
from buckthornstage.standins import artefacts, process, run_record

ANNOUNCE_INTERVAL_MS = 1_000
ANNOUNCE_TIMEOUT_MS = 1_000
MAX_WARM_UP_FACTOR = 5.0  # multiplies the service time right after the cold start
MAX_LOAD_SAMPLES = 10_000  # for delayed load reports
NOT_RUN = (b"buckthornstage-outcome", b"not-run")
MAY_HAVE_RUN = (b"buckthornstage-outcome", b"may-have-run")


@dataclasses.dataclass(frozen=True)
class Config:
    """Settings that never change; times in ms, addresses as "IP:port", artefact sizes in bytes."""

    address: str
    node_admin_address: str
    service: str
    slots: int
    connections: int
    cold_start_ms: int = 0
    warm_up_ms: int = 0
    artefacts: dict[str, int] = dataclasses.field(default_factory=dict)
    leave_ms: int = 3_000
    drain_ms: int = 20_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour that `POST /faults` changes.

    `load_lag_ms` delays the load reports; `load_report`, unless negative, replaces the reported
    number of running requests; `is_silent` stops the announcements; `shed_all` refuses every
    request as not run; `break_after_bytes` truncates artefacts after that many bytes (0: never).
    """

    service_time_ms: float = 5.0
    load_lag_ms: int = 0
    load_report: int = -1
    is_silent: bool = False
    shed_all: bool = False
    break_after_bytes: int = 0


class BackendServer:
    """State of one backend server: running requests, status, faults and record of runs."""

    def __init__(
        self,
        config: Config,
        faults: Faults,
        record: run_record.RunRecord,
        time: clock.Clock,
    ) -> None:
        self.config = config
        self.faults = faults
        self.record = record
        self.clock = time
        self.started_ms = time.now_ms()
        self.incarnation = time.wall_ms()
        self.is_leaving = False
        self.in_flight = 0
        self.loads: collections.deque[tuple[int, int]] = collections.deque(maxlen=MAX_LOAD_SAMPLES)
        self.open_connections: Callable[[], int] = lambda: 0

    @property
    def status(self) -> records.TargetStatus:
        """Status that the server announces."""
        if self.is_leaving:
            return records.TargetStatus.LEAVING
        if self.clock.now_ms() - self.started_ms < self.config.cold_start_ms:
            return records.TargetStatus.STARTING
        return records.TargetStatus.READY

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one HTTP request; `/record` and `/faults` take no slot."""
        path = request.target.partition("?")[0]
        if path == "/record" and request.method == "GET":
            return process.json_response(200, self._record_body())
        if path == "/faults" and request.method == "POST":
            try:
                self.faults = process.updated(self.faults, request.body)
            except msgspec.MsgspecError as error:
                return process.text_response(400, f"faults: {error}")
            return process.json_response(200, msgspec.to_builtins(self.faults))
        refusal = self._refusal(request)
        if refusal:
            self.record.count(refusal)
            headers = (NOT_RUN, self._load_header())
            if refusal in ("over_connections", "leaving"):
                headers += ((b"connection", b"close"),)
            return process.text_response(503, refusal, headers)
        self._change_load(1)
        try:
            return await self._run(request, path)
        finally:
            self._change_load(-1)

    def _refusal(self, request: messages.Request) -> str | None:
        """Reason for refusing the request, or None."""
        if self.open_connections() > self.config.connections:
            return "over_connections"
        if self.status is not records.TargetStatus.READY:
            return str(self.status)
        if self.in_flight >= self.config.slots or self.faults.shed_all:
            return "shed"
        if _parse_float(request.header(b"buckthornstage-deadline-ms"), 1.0) <= 0:
            return "deadline_passed"
        return None

    async def _run(self, request: messages.Request, path: str) -> messages.Response:
        key = request.header(b"idempotency-key") or ""
        request_id = request.header(b"x-request-id") or ""
        self.record.start(
            run_record.Run(
                self.clock.wall_ms(), self.config.address, request.method, path, key, request_id
            )
        )
        if "crash" in path.split("/") or request.header(b"standin-crash"):
            os.kill(os.getpid(), signal.SIGKILL)
        deadline_ms = _parse_float(request.header(b"buckthornstage-deadline-ms"), float("inf"))
        finished = False
        try:
            with trio.move_on_after(deadline_ms / 1000) as scope:
                await trio.sleep(self._service_time_ms(request) / 1000)
            finished = True
        finally:
            if not finished:
                self.record.count("cancelled")
        if scope.cancelled_caught:
            self.record.count("deadline_passed_in_call")
            return process.text_response(504, "deadline", (MAY_HAVE_RUN, self._load_header()))
        self.record.count("finished")
        return self._respond(request, path, key, request_id)

    def _respond(
        self, request: messages.Request, path: str, key: str, request_id: str
    ) -> messages.Response:
        for prefix, size in self.config.artefacts.items():
            if path.startswith(prefix) and request.method == "GET":
                response = artefacts.response(request, path, size)
                if self.faults.break_after_bytes and response.stream:
                    truncated = _truncated_stream(response.stream, self.faults.break_after_bytes)
                    response = dataclasses.replace(response, stream=truncated)
                headers = (*response.headers, self._load_header())
                return dataclasses.replace(response, headers=headers)
        body = {
            "service": self.config.service,
            "server": self.config.address,
            "method": request.method,
            "path": path,
            "key": key,
            "request_id": request_id,
            "body_bytes": len(request.body),
        }
        return process.json_response(200, body, (self._load_header(),))

    def _service_time_ms(self, request: messages.Request) -> float:
        base_ms = _parse_float(request.header(b"standin-service-ms"), self.faults.service_time_ms)
        ready_ms = self.clock.now_ms() - self.started_ms - self.config.cold_start_ms
        if not 0 <= ready_ms < self.config.warm_up_ms:
            return base_ms
        return base_ms * (1 + (MAX_WARM_UP_FACTOR - 1) * (1 - ready_ms / self.config.warm_up_ms))

    def _change_load(self, change: int) -> None:
        self.in_flight += change
        self.loads.append((self.clock.now_ms(), self.in_flight))

    def _load_header(self) -> tuple[bytes, bytes]:
        """Header with the load; delayed or wrong when a fault is set."""
        load = self.in_flight
        if self.faults.load_report >= 0:
            load = self.faults.load_report
        elif self.faults.load_lag_ms:
            limit_ms = self.clock.now_ms() - self.faults.load_lag_ms
            load = next((value for at_ms, value in reversed(self.loads) if at_ms <= limit_ms), 0)
        return (b"buckthornstage-load", f"{load}/{self.config.slots}".encode("ascii"))

    def _record_body(self) -> dict[str, object]:
        return {
            "service": self.config.service,
            "address": self.config.address,
            "status": self.status,
            "in_flight": self.in_flight,
            "open_connections": self.open_connections(),
            "counters": dict(self.record.counters),
            "runs_by_key": dict(self.record.by_key),
            "runs_by_request_id": dict(self.record.by_request_id),
        }

    async def announce_forever(self) -> None:
        """Announces this server to its node every second, also while it is leaving."""
        while True:
            await self.announce()
            await trio.sleep(ANNOUNCE_INTERVAL_MS / 1000)

    async def announce(self) -> None:
        """Sends one announcement; a failed one is not retried, the next one follows in a second."""
        if not self.config.node_admin_address or self.faults.is_silent:
            return
        record = records.TargetRecord(
            service=self.config.service,
            address=self.config.address,
            slots=self.config.slots,
            connections=self.config.connections,
            incarnation=self.incarnation,
            status=self.status,
            started_at_ms=self.incarnation,
        )
        request = messages.Request(
            "POST",
            "/announce",
            ((b"content-type", b"application/json"),),
            msgspec.json.encode(record),
        )
        address = self.config.node_admin_address
        try:
            response = await client.fetch(address, request, ANNOUNCE_TIMEOUT_MS)
        except messages.HttpError:
            self.record.count("announcements_failed")
            return
        self.record.count("announcements" if response.status < 300 else "announcements_refused")

    async def leave(self) -> None:
        """Announces `leaving` and refuses new requests until the mesh has had time to react."""
        self.is_leaving = True
        await self.announce()
        await trio.sleep(self.config.leave_ms / 1000)


async def _truncated_stream(stream, limit: int):
    """Yields the first `limit` bytes of a stream, then breaks the connection."""
    sent = 0
    async for chunk in stream:
        yield chunk[: limit - sent]
        sent += len(chunk)
        if sent >= limit:
            raise messages.ConnectionBrokenError("artefact truncated by a fault")


def _parse_float(text: str | None, default: float) -> float:
    try:
        return float(text) if text is not None else default
    except ValueError:
        return default
