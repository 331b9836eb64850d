"""Client of the platform's store: keyed topics, read with long waits and written by key."""

import base64
import struct
import urllib.parse

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.http import client, messages
from buckthornstage.link import connection as link_connection
from buckthornstage.mesh import store

CONNECT_MS = 1_000
RESPONSE_TIMEOUT_MS = 2_000
"""A store that takes 60 times its usual 4 ms answers within 250 ms."""
WAIT_MS = 25_000
"""Longest wait of one read; the platform allows 30 s."""
WAIT_MARGIN_MS = 3_000
SILENT_MS = 2_000
CATCH_UP_KIB = 1_024
MAX_RESPONSE_BYTES = 4 << 20  # the longest is a page of 1 MB, as base64
PART = 0
POSITIONS = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


class _Item(msgspec.Struct):
    key: str
    value: str | None = None


class _Newest(msgspec.Struct):
    items: list[_Item]
    # One past the newest record of the partition.
    range_end: int
    # Whether more keys follow the last one of this page.
    has_more: bool = False


_newest_decoder = msgspec.json.Decoder(_Newest)


class StoreClient:
    """One kept connection for each use; every break opens a new one."""

    def __init__(self, address: str) -> None:
        self.address = address

    def keyed_topic(self, topic: str) -> store.KeyedTopic:
        """Access to one keyed topic."""
        connections: list[client.Connection] = []

        async def fetch(method, call, query, body, wait_ms=0) -> messages.Response:
            target = f"/buckthornstage/{call}?{urllib.parse.urlencode(query)}"
            return await self._fetch(
                connections, messages.Request(method, target, (), body), wait_ms
            )

        async def newest() -> store.Batch:
            records: list[store.KeyedRecord] = []
            query = {"topic": topic, "part": PART}
            first_end: int | None = None
            while True:
                page = _decoded(await fetch("GET", "log-newest", query, b""))
                records += [_record_of(item) for item in page.items]
                # Pages are no snapshot: what changes meanwhile is read again from the first end.
                first_end = page.range_end if first_end is None else first_end
                if not page.has_more or not page.items:
                    return store.Batch(tuple(records), first_end)
                query["after"] = page.items[-1].key

        async def changes(position: int) -> store.Batch:
            query = {
                "topic": topic,
                "part": PART,
                "range_start": position,
                "max_kib": CATCH_UP_KIB,
                "wait_ms": WAIT_MS,
            }
            response = await fetch("GET", "log-read", query, b"", WAIT_MS + WAIT_MARGIN_MS)
            return _changes_of(response.body, position)

        async def put(key: str, value: bytes | None) -> None:
            record = bytes([len(key.encode())]) + key.encode() + (value or b"")
            body = LENGTH.pack(len(record)) + record
            await fetch("POST", "log-append", {"topic": topic, "part": PART}, body)

        return store.KeyedTopic(newest, changes, put)

    async def _fetch(
        self, connections: list[client.Connection], request: messages.Request, wait_ms: int
    ) -> messages.Response:
        connection = None
        timeout_ms = wait_ms or RESPONSE_TIMEOUT_MS
        try:
            with trio.fail_after(timeout_ms / 1000):
                connection = await self._connection(connections)
                response = await connection.fetch(request, MAX_RESPONSE_BYTES)
        except (messages.ConnectFailedError, messages.StaleConnectionError) as error:
            raise errors.LogUnavailableError(str(error)) from error
        except (messages.HttpError, trio.TooSlowError) as error:
            if connection is not None:
                connection.abort()
            raise errors.LogResponseLostError(f"{self.address}: {error!r}") from error
        except BaseException:
            if connection is not None:
                connection.abort()
            raise
        if connection.is_usable:
            connections.append(connection)
        else:
            connection.abort()
        if response.status == 410:
            raise errors.TrimmedError(response.body.decode("utf-8", "replace"))
        if response.status != 200:
            raise errors.LogUnavailableError(f"{self.address} answers {response.status}")
        return response

    async def _connection(self, connections: list[client.Connection]) -> client.Connection:
        while connections:
            kept = connections.pop()
            if kept.is_open_and_idle():
                return kept
            kept.abort()
        opened = await client.connect(self.address, CONNECT_MS)
        link_connection.set_silence_limit(opened.tcp_stream.raw, SILENT_MS)
        return opened


def _decoded(response: messages.Response) -> _Newest:
    try:
        return _newest_decoder.decode(response.body)
    except msgspec.MsgspecError as error:
        raise errors.LogUnavailableError(f"unreadable answer of the store: {error}") from error


def _record_of(item: _Item) -> store.KeyedRecord:
    try:
        value = None if item.value is None else base64.b64decode(item.value, validate=True)
    except ValueError:
        # The reader of the key logs a value that it cannot decode; an empty one is none.
        value = b""
    return store.KeyedRecord(item.key, value)


def _changes_of(payload: bytes, position: int) -> store.Batch:
    """Records of a read: end and first kept offset, then each with its length, key and value."""
    if len(payload) < POSITIONS.size:
        raise errors.LogUnavailableError("the store's answer to a read is too short")
    records = []
    place, offset = POSITIONS.size, position
    while place + LENGTH.size <= len(payload):
        (length,) = LENGTH.unpack_from(payload, place)
        place += LENGTH.size
        raw = payload[place : place + length]
        if len(raw) < length:
            break
        place += length
        offset += 1
        if raw:
            key = raw[1 : 1 + raw[0]].decode("utf-8", "replace")
            records.append(store.KeyedRecord(key, raw[1 + raw[0] :] or None))
    return store.Batch(tuple(records), offset)
