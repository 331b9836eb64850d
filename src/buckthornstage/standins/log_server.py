"""Stand-in for the platform's append-only log: `python -m buckthornstage.standins.log_server`.

Besides the log interface of the design (section 9) it serves `POST /faults` and `GET /record`.
Faults: `{"outage": bool, "slow_ms": int, "lose_answers": int}`; absent fields keep their value.
`GET /record?stream=NAME` returns all records ever appended to the stream, also trimmed ones.
"""

import base64
import dataclasses
import sys
import urllib.parse

import msgspec
import trio
from absl import app, flags

from buckthornstage import clock
from buckthornstage.http import messages, server
from buckthornstage.standins import log_store, process

ADDRESS = flags.DEFINE_string("address", "127.0.0.1:7400", "IP:port to listen on.")
RETAIN_RECORDS = flags.DEFINE_integer(
    "retain_records", 0, "Most records kept per stream; 0: no limit."
)
RETAIN_MS = flags.DEFINE_integer("retain_ms", 0, "Age up to which records are kept; 0: no limit.")
APPENDS_PER_SECOND = flags.DEFINE_float("appends_per_second", 300.0, "Most appends per second.")

MAX_BODY_BYTES = 8 << 20
MAX_WAIT_MS = 60_000
MAX_READ_RECORDS = 10_000
MAX_HISTORY_RECORDS = 200_000  # of all streams; bounds memory in long runs


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; `lose_answers` is the number of appends whose response will be lost."""

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0


@dataclasses.dataclass
class Counters:
    """Operations of the log, counted independently of its clients."""

    reads: int = 0
    reads_refused: int = 0
    appends: int = 0
    appends_refused: int = 0
    appends_over_rate: int = 0
    answers_lost: int = 0


class LogServer:
    """State of the stand-in: streams, faults, counters and the history of all appends."""

    def __init__(
        self, retention: log_store.Retention, appends_per_second: float, time: clock.Clock
    ) -> None:
        self.retention = retention
        self.rate_limit = log_store.append_rate_limit(appends_per_second)
        self.clock = time
        self.streams: dict[str, log_store.Stream] = {}
        self.faults = Faults()
        self.counters = Counters()
        self.history: dict[str, list[log_store.StoredRecord]] = {}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one HTTP request."""
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/faults" and request.method == "POST":
            return self._set_faults(request.body)
        if parts.path == "/record" and request.method == "GET":
            return process.json_response(200, self.record(query.get("stream")))
        stream = parts.path.removeprefix("/streams/")
        if stream == parts.path or not stream or request.method not in ("GET", "POST"):
            return process.text_response(404, "use GET or POST /streams/NAME")
        name = urllib.parse.unquote(stream)
        if request.method == "POST":
            return await self._append(name, request.body)
        try:
            offset, limit = int(query.get("from", 1)), int(query.get("limit", 100))
            wait_ms = int(query.get("wait_ms", 0))
        except ValueError:
            return process.text_response(400, "from, limit and wait_ms must be integers")
        return await self._read(
            name, offset, min(limit, MAX_READ_RECORDS), min(wait_ms, MAX_WAIT_MS)
        )

    def record(self, stream: str | None) -> dict[str, object]:
        """Counters, faults and heads of the streams; with `stream` also its full history."""
        heads = {
            name: {"earliest": stored.earliest, "head": stored.head}
            for name, stored in self.streams.items()
        }
        result: dict[str, object] = {
            **dataclasses.asdict(self.counters),
            "faults": msgspec.to_builtins(self.faults),
            "streams": heads,
        }
        if stream is not None:
            result["records"] = [
                {"offset": item.offset, "at_ms": item.at_ms, "payload": _base64(item.payload)}
                for item in self.history.get(stream, ())
            ]
        return result

    def _set_faults(self, body: bytes) -> messages.Response:
        try:
            self.faults = process.updated(self.faults, body)
        except msgspec.MsgspecError as error:
            return process.text_response(400, f"faults: {error}")
        for stream in self.streams.values():
            stream.wake()
        return process.json_response(200, msgspec.to_builtins(self.faults))

    def _stream(self, name: str) -> log_store.Stream:
        return self.streams.setdefault(name, log_store.Stream(self.retention))

    async def _append(self, name: str, payload: bytes) -> messages.Response:
        if self.faults.outage:
            self.counters.appends_refused += 1
            return process.text_response(503, "outage")
        if not self.rate_limit.take(self.clock.now_ms()):
            self.counters.appends_over_rate += 1
            return process.text_response(429, "too many appends per second")
        offset = self._stream(name).append(payload, self.clock.wall_ms())
        self.counters.appends += 1
        if self.counters.appends <= MAX_HISTORY_RECORDS:
            stored = log_store.StoredRecord(offset, self.clock.wall_ms(), payload)
            self.history.setdefault(name, []).append(stored)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.counters.answers_lost += 1
            return process.lost_response()
        await trio.sleep(self.faults.slow_ms / 1000)
        return process.json_response(200, {"offset": offset})

    async def _read(self, name: str, offset: int, limit: int, wait_ms: int) -> messages.Response:
        self.counters.reads += 1
        stream = self._stream(name)
        await trio.sleep(self.faults.slow_ms / 1000)
        with trio.move_on_after(wait_ms / 1000):
            while stream.head < offset and not self.faults.outage:
                await stream.appended.wait()
        if self.faults.outage:
            self.counters.reads_refused += 1
            return process.text_response(503, "outage")
        stream.trim(self.clock.wall_ms())
        records = [
            {"offset": item.offset, "payload": _base64(item.payload)}
            for item in stream.read(offset, limit)
        ]
        response = {"earliest": stream.earliest, "head": stream.head, "records": records}
        return process.json_response(200, response)


def _base64(payload: bytes) -> str:
    return base64.b64encode(payload).decode("ascii")


async def serve(log_server: LogServer, address: str, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Serves until SIGTERM or SIGINT, or until cancelled."""
    http_server = server.HttpServer(log_server.handle, max_body_bytes=MAX_BODY_BYTES)
    async with trio.open_nursery() as nursery:
        task_status.started(await nursery.start(http_server.serve, address))
        await process.wait_for_stop_signal()
        nursery.cancel_scope.cancel()


def main(argv: list[str]) -> int:
    """Runs the stand-in with the values of the flags."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments: {argv[1:]}")
    retention = log_store.Retention(RETAIN_RECORDS.value, RETAIN_MS.value)
    log_server = LogServer(retention, APPENDS_PER_SECOND.value, clock.Clock())
    trio.run(serve, log_server, ADDRESS.value)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
