"""Stand-in for the platform's store: keyed topics with log-append, log-read and log-newest.

It behaves as PROTOCOL.md says. Two disruptions can be switched on: `mute_open_connections` and
`is_down`.
"""

import asyncio
import base64
import collections
import contextlib
import json
import struct
import urllib.parse

import http1

ANSWER_S = 0.004
LENGTH = struct.Struct(">I")
POSITIONS = struct.Struct(">QQ")
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")
REASONS = {200: "OK", 403: "Forbidden", 404: "Not Found", 410: "Gone", 503: "Unavailable"}


class Topic:
    """Records of partition 0 and the newest record of each key."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, raw: bytes) -> int:
        offset = len(self.records)
        self.records.append(raw)
        key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (offset, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The store; `record(text)` writes to the record of the run."""

    def __init__(self, record) -> None:
        self.record = record
        self.topics: dict[str, Topic] = collections.defaultdict(Topic)
        self.open: set[asyncio.StreamWriter] = set()
        self.muted: set[asyncio.StreamWriter] = set()
        self.is_down = False
        self.server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, ip, port)

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Writes a record as the operator does; the return is the ack."""
        return self.topics[topic].append(bytes([len(key)]) + key.encode() + value)

    def mute_open_connections(self) -> int:
        """The connections that are open return nothing further; new ones work."""
        self.muted |= self.open
        return len(self.open)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                if writer in self.muted:
                    continue
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(request)
                if writer in self.muted:
                    continue
                writer.write(http1.encode(f"HTTP/1.1 {status} {REASONS[status]}", {}, body))
                await writer.drain()
        except (OSError, http1.BrokenError):
            pass
        finally:
            self.open.discard(writer)
            self.muted.discard(writer)
            writer.close()

    async def _answer(self, request: http1.Message) -> tuple[int, bytes]:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        call, name = parts.path.rpartition("/")[2], query.get("topic", "")
        if self.is_down:
            return 503, b"{}"
        topic = self.topics[name]
        if call == "log-append":
            return self._append(name, topic, request.body)
        if call == "log-read":
            return await self._read(topic, query)
        if call == "log-newest":
            return self._newest(topic, query)
        return 404, b"{}"

    def _append(self, name: str, topic: Topic, body: bytes) -> tuple[int, bytes]:
        if name in OPERATOR_TOPICS:
            return 403, b"{}"
        offset, cursor = len(topic.records), 0
        while cursor < len(body):
            (length,) = LENGTH.unpack_from(body, cursor)
            topic.append(body[cursor + 4 : cursor + 4 + length])
            cursor += 4 + length
        self.record(f"store appended to {name}, end {len(topic.records)}")
        return 200, json.dumps({"offset": offset, "range_end": len(topic.records)}).encode()

    async def _read(self, topic: Topic, query: dict[str, str]) -> tuple[int, bytes]:
        start, wait_s = int(query["range_start"]), int(query.get("wait_ms", 0)) / 1000
        if start >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_s)
        found = topic.records[start:]
        body = POSITIONS.pack(len(topic.records), 0)
        return 200, body + b"".join(LENGTH.pack(len(raw)) + raw for raw in found)

    def _newest(self, topic: Topic, query: dict[str, str]) -> tuple[int, bytes]:
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        answer = {"items": items, "has_more": len(keys) > 500, "range_end": len(topic.records)}
        return 200, json.dumps(answer).encode()
