"""Stand-in for the platform's store, for tests and for running a node by hand.

It serves the calls of the published protocol that the product uses, and refuses as the protocol
says: 412 if an append expects another end, 409 for a fenced producer or a gap in its sequence, 410
for trimmed records, 429 above the rate limit, 503 in an outage. `faults` injects failures of the
platform's store.
"""

import base64
import collections
import dataclasses
import struct
import urllib.parse

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage.http import messages, server
from buckthornstage.standins import log_store, process

LENGTH = struct.Struct(">I")
POSITIONS = struct.Struct(">QQ")
KEYED_PREFIX = "keyed."
MAX_PAGE_ITEMS = 500
DEFAULT_READ_KIB = 1_024
MAX_KEPT_RESPONSES = 5
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


@dataclasses.dataclass
class Faults:
    """Active faults; each affected write decrements `lose_answers` or `late_writes`."""

    outage_status: int | None = None
    """Status of every response in an outage: 503, or 429 for an overloaded store."""
    is_silent: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_writes: int = 0
    late_ms: int = 1_000
    refused_peers: frozenset[str] = frozenset()
    """IP addresses whose requests fail as in an outage."""


@dataclasses.dataclass
class Producer:
    """Newest appends of one producer, for the detection of retries."""

    epoch: int = 0
    sequence: int | None = None
    responses: collections.OrderedDict[int, dict] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


@dataclasses.dataclass
class Partition:
    """Records of one partition; `first` is the offset of the oldest retained one."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(default_factory=dict)
    producers: dict[str, Producer] = dataclasses.field(default_factory=dict)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def wake(self) -> None:
        """Makes all waiting readers check their condition again."""
        self.changed.set()
        self.changed = trio.Event()

    def copy(self) -> "Partition":
        """Independent copy of the records; readers stay with the original."""
        return Partition(list(self.records), self.first, dict(self.newest))

    def trim(self, before: int) -> None:
        """Drops the records before an offset; the newest record of each key stays."""
        count = max(0, min(before, self.end) - self.first)
        del self.records[:count]
        self.first += count


class PlatformStore:
    """State of the stand-in; `calls` and `calls_by_topic` count the received calls."""

    def __init__(self, clock: clocks.Clock, writes_per_second: float = 400.0) -> None:
        self.faults = Faults()
        self.clock = clock
        self.rate_limit = log_store.append_rate_limit(writes_per_second)
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_topic: collections.Counter[str] = collections.Counter()
        self.nursery: trio.Nursery | None = None
        self.era = 1

    def take_copy(self) -> dict[tuple[str, int], Partition]:
        """Copy of all partitions, for `restore`."""
        return {key: partition.copy() for key, partition in self.partitions.items()}

    def restore(self, copy: dict[tuple[str, int], Partition]) -> None:
        """Returns to a copy: later records are lost, and their offsets are given out again."""
        self.era += 1
        for key, partition in self.partitions.items():
            saved = copy.get(key, Partition()).copy()
            partition.records, partition.first = saved.records, saved.first
            partition.newest = saved.newest
            partition.producers.clear()
            partition.wake()

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Partition of a topic, created on first use."""
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Writes a keyed record, also to topics of the operator; returns its offset."""
        raw = bytes([len(key.encode())]) + key.encode() + (value or b"")
        return self._store(topic, 0, [raw])

    def trim_topic(self, topic: str) -> None:
        """Drops the history of a topic; the newest record of each key stays."""
        partition = self.partition(topic)
        partition.trim(partition.end)
        partition.wake()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one call; all responses name the era."""
        response = await self._handle(request)
        headers = (*response.headers, (b"store-era", b"%d" % self.era))
        return dataclasses.replace(response, headers=headers)

    async def _handle(self, request: messages.Request) -> messages.Response:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        call = parts.path.removeprefix("/buckthornstage/")
        self.calls[call] += 1
        self.calls_by_topic[query.get("topic", "")] += 1
        faults = self.faults
        if faults.is_silent:
            await trio.sleep_forever()
        await trio.sleep(faults.slow_ms / 1_000)
        if faults.outage_status is not None or request.peer in faults.refused_peers:
            return process.json_response(faults.outage_status or 503, {"error": "outage"})
        topic, part = query.get("topic", ""), int(query.get("part", 0))
        if call == "log-append":
            return await self._append(topic, part, query, request.body)
        if call == "log-read":
            return await self._read(topic, part, query)
        if call == "log-newest":
            return self._newest(topic, part, query.get("after", ""))
        if call == "log-trim":
            self.partition(topic, part).trim(int(query["before_offset"]))
            return process.json_response(200, {})
        return process.text_response(404, f"unknown call {call}")

    async def _append(
        self, topic: str, part: int, query: dict[str, str], body: bytes
    ) -> messages.Response:
        if topic in OPERATOR_TOPICS:
            return process.json_response(403, {"error": "topic is reserved for the operator"})
        if not self.rate_limit.take(self.clock.now_ms()):
            return process.json_response(429, {"error": "too many writes"})
        partition = self.partition(topic, part)
        if "at" in query and int(query["at"]) != partition.end:
            return process.json_response(412, {"range_end": partition.end})
        records = _parse_records(body)
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            self.nursery.start_soon(self._store_later, topic, part, query, records)
            return process.lost_response()
        repeat = self._check_producer(partition, query)
        if repeat is not None:
            return repeat
        response = {"offset": self._store(topic, part, records), "range_end": partition.end}
        if "producer" in query:
            _keep_response(partition.producers[query["producer"]], int(query["sequence"]), response)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return process.lost_response()
        return process.json_response(200, response)

    def _check_producer(
        self, partition: Partition, query: dict[str, str]
    ) -> messages.Response | None:
        """Returns a refusal, the stored response for a retry, or None if the append may proceed."""
        if "producer" not in query:
            return None
        producer = partition.producers.setdefault(query["producer"], Producer())
        epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
        if epoch < producer.epoch:
            return process.json_response(409, {"why": "fenced"})
        if epoch > producer.epoch:
            producer.epoch, producer.sequence = epoch, None
            producer.responses.clear()
        if sequence in producer.responses:
            return process.json_response(200, producer.responses[sequence])
        if producer.sequence is not None and sequence != producer.sequence + 1:
            response = {"why": "seq", "sequence": producer.sequence + 1}
            return process.json_response(409, response)
        return None

    async def _store_later(
        self, topic: str, part: int, query: dict[str, str], records: list[bytes]
    ) -> None:
        """Runs a write late, if its condition holds then."""
        await trio.sleep(self.faults.late_ms / 1_000)
        partition = self.partition(topic, part)
        holds = "at" not in query or int(query["at"]) == partition.end
        if holds and self._check_producer(partition, query) is None:
            self._store(topic, part, records)

    def _store(self, topic: str, part: int, records: list[bytes]) -> int:
        partition = self.partition(topic, part)
        first = partition.end
        for offset, raw in enumerate(records, first):
            partition.records.append(raw)
            if topic.startswith(KEYED_PREFIX) and raw:
                key = raw[1 : 1 + raw[0]].decode()
                value = raw[1 + raw[0] :]
                partition.newest.pop(key, None)
                if value:
                    partition.newest[key] = (offset, value)
        partition.wake()
        return first

    async def _read(self, topic: str, part: int, query: dict[str, str]) -> messages.Response:
        partition = self.partition(topic, part)
        start = int(query["range_start"])
        with trio.move_on_after(int(query.get("wait_ms", 0)) / 1_000):
            while partition.first <= start == partition.end:
                await partition.changed.wait()
        if not partition.first <= start <= partition.end:
            return process.json_response(410, {"first_offset": partition.first})
        max_bytes = int(query.get("max_kib", DEFAULT_READ_KIB)) * 1024
        body = POSITIONS.pack(partition.end, partition.first)
        for raw in partition.records[start - partition.first :]:
            if len(body) > POSITIONS.size and len(body) + len(raw) > max_bytes:
                break
            body += LENGTH.pack(len(raw)) + raw
        return messages.Response(200, body=body)

    def _newest(self, topic: str, part: int, after: str) -> messages.Response:
        partition = self.partition(topic, part)
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        response = {
            "items": items,
            "has_more": len(keys) > MAX_PAGE_ITEMS,
            "range_end": partition.end,
        }
        return process.json_response(200, response)


def _parse_records(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def _keep_response(producer: Producer, sequence: int, response: dict) -> None:
    producer.sequence = sequence
    producer.responses[sequence] = msgspec.to_builtins(response)
    while len(producer.responses) > MAX_KEPT_RESPONSES:
        producer.responses.popitem(last=False)


async def serve(store: PlatformStore, address: str, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Serves the stand-in on "IP:port" until cancelled."""
    http_server = server.HttpServer(store.handle, max_body_bytes=8 << 20)
    async with trio.open_nursery() as nursery:
        store.nursery = nursery
        await nursery.start(http_server.serve, address)
        task_status.started(address)
