"""Client of the platform's store: keyed topics, read by long polling and written by key.

Responses do not name their request, and a faulty store may write an earlier one once more on a
connection. So each write and each load of the newest records has a connection without earlier
requests, and a read on a kept connection is checked by its position.
"""

import base64
import dataclasses
import functools
import struct
import time
import urllib.parse

import msgspec
import trio

from buckthornstage import decoding, errors
from buckthornstage.http import client, messages
from buckthornstage.link import connection as link_connection
from buckthornstage.mesh import store

CONNECT_TIMEOUT_MS = 1_000
RESPONSE_TIMEOUT_MS = 2_000
"""Far above the 250 ms of a store that is 60 times slower than its usual 4 ms."""
READ_TIMEOUT_MS = 1_200
"""For a read that does not wait for changes."""
WAIT_TIMEOUT_MARGIN_MS = 500
"""Time for the response after the end of the wait; a connection without one has gone silent."""
DEAD_PEER_TIMEOUT_MS = 2_000
MAX_READ_KIB = 1_024
MAX_RESPONSE_BYTES = 4 << 20  # the longest response is a page of 1 MB in base64
PARTITION = 0
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
ERA = b"store-era"
NS_PER_MS = 1_000_000
FIRST_EPOCH_STEP = 60_000
"""Epochs are Unix ms; after a refused one the next is later by a minute, and then by twice as much
each time, as the clock of this machine may have been set back."""
MAX_ERA_DIGITS = 15  # below `decoding.MAX_WHOLE`, which a beacon can carry


class _Item(msgspec.Struct):
    key: str
    value: str | None = None
    offset: decoding.Whole = 0


class _Newest(msgspec.Struct):
    items: list[_Item]
    # One past the offset of the newest record of the partition.
    range_end: decoding.Whole
    # Whether there are further pages.
    has_more: bool = False


class _Appended(msgspec.Struct):
    offset: decoding.Whole


_newest_decoder = msgspec.json.Decoder(_Newest)
_appended_decoder = msgspec.json.Decoder(_Appended)


class StoreClient:
    """Keeps connections alive per topic, one for each running request; replaces broken ones."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.era = store.EraWatch()
        self.epoch = 0
        """Epoch of the newest write; later writes have higher ones."""
        self.epoch_step = FIRST_EPOCH_STEP

    def keyed_topic(self, topic: str) -> store.KeyedTopic:
        """Access to one keyed topic."""
        connections: list[client.Connection] = []
        return store.KeyedTopic(
            functools.partial(self._newest, connections, topic),
            functools.partial(self._changes, connections, topic),
            functools.partial(self._put, topic),
        )

    async def _newest(self, connections: list[client.Connection], topic: str) -> store.Batch:
        _close_all(connections)
        records: list[store.KeyedRecord] = []
        query = {"topic": topic, "part": PARTITION}
        first_end: int | None = None
        while True:
            page = _decode_newest(
                await self._fetch(connections, _request("GET", "log-newest", query))
            )
            records += [_decode_record(item) for item in page.items]
            # Pages are not a snapshot: changes made during paging are read again, from the first
            # page's `range_end` on.
            first_end = page.range_end if first_end is None else first_end
            if not page.has_more or not page.items:
                return store.Batch(tuple(records), first_end)
            query["after"] = page.items[-1].key

    async def _changes(
        self, connections: list[client.Connection], topic: str, position: int, wait_ms: int
    ) -> store.Batch:
        # The store may have been restored since an earlier connection ended. A read that waits at a
        # void position that exists again would not tell, so the first one does not wait.
        is_first = not _has_open_connection(connections)
        wait_ms = 0 if is_first else wait_ms
        timeout_ms = READ_TIMEOUT_MS if is_first else wait_ms + WAIT_TIMEOUT_MARGIN_MS
        query = {
            "topic": topic,
            "part": PARTITION,
            "range_start": position,
            "max_kib": MAX_READ_KIB,
            "wait_ms": wait_ms,
        }
        request = _request("GET", "log-read", query)
        response = await self._fetch(connections, request, timeout_ms)
        try:
            batch, end = _decode_changes(response.body, position, is_first)
        except errors.LogError:
            _close_all(connections)
            raise
        if position < batch.next_position < end:
            # Written once more, this response would pass for that to the next read.
            _close_all(connections)
            return dataclasses.replace(batch, has_more=True)
        return batch

    async def _put(self, topic: str, key: str, value: bytes | None) -> None:
        record = bytes([len(key.encode())]) + key.encode() + (value or b"")
        body = RECORD_LENGTH.pack(len(record)) + record
        # The store may run a write without a response seconds later. Each write has a higher epoch,
        # so that a late one is refused after a newer one of the same key.
        self.epoch = max(self.epoch + 1, time.time_ns() // NS_PER_MS)
        query = {"topic": topic, "part": PARTITION, "producer": key, "epoch": self.epoch}
        request = _request("POST", "log-append", {**query, "sequence": 0}, body)
        connections: list[client.Connection] = []
        try:
            _check_appended(await self._fetch(connections, request))
        except errors.FencedError:
            self.epoch += self.epoch_step
            self.epoch_step *= 2
            raise
        finally:
            _close_all(connections)

    async def append_at(self, topic: str, values: dict[str, bytes], position: int) -> None:
        """Writes records of a keyed topic together, if it ends at a position.

        Raises ConflictError if it ends elsewhere, and other errors like `KeyedTopic.put`.
        """
        raw = [bytes([len(key.encode())]) + key.encode() + value for key, value in values.items()]
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in raw)
        query = {"topic": topic, "part": PARTITION, "at": position}
        connections: list[client.Connection] = []
        try:
            request = _request("POST", "log-append", query, body)
            _check_appended(await self._fetch(connections, request))
        finally:
            _close_all(connections)

    async def _fetch(
        self,
        connections: list[client.Connection],
        request: messages.Request,
        timeout_ms: int = RESPONSE_TIMEOUT_MS,
    ) -> messages.Response:
        connection = None
        try:
            with trio.fail_after(timeout_ms / 1000):
                connection = await self._acquire(connections)
                response = await connection.fetch(request, MAX_RESPONSE_BYTES)
        except (messages.ConnectFailedError, messages.StaleConnectionError) as error:
            raise errors.LogUnavailableError(str(error)) from error
        except trio.TooSlowError as error:
            if connection is not None:
                connection.abort()
            text = f"{self.address}: no response within {timeout_ms} ms"
            raise errors.LogTimeoutError(text) from error
        except messages.HttpError as error:
            connection.abort()
            raise errors.LogResponseLostError(f"{self.address}: {error!r}") from error
        except BaseException:
            if connection is not None:
                connection.abort()
            raise
        if connection.is_usable:
            connection.idle_since = trio.current_time()
            connections.append(connection)
        else:
            connection.abort()
        era = response.header(ERA) or ""
        if era.isdecimal() and len(era) <= MAX_ERA_DIGITS:
            self.era.observe(int(era))
        if response.status == 410:
            raise errors.TrimmedError(response.body.decode("utf-8", "replace"))
        if response.status == 412:
            raise errors.ConflictError(f"{self.address} has further records in the topic")
        if response.status == 409:
            raise errors.FencedError(f"{self.address} has a write of a later epoch")
        if response.status != 200:
            raise errors.LogUnavailableError(
                f"{self.address} responded with status {response.status}"
            )
        return response

    async def _acquire(self, connections: list[client.Connection]) -> client.Connection:
        if _has_open_connection(connections):
            return connections.pop()
        opened = await client.connect(self.address, CONNECT_TIMEOUT_MS)
        link_connection.set_dead_peer_timeout(opened.tcp_stream, DEAD_PEER_TIMEOUT_MS)
        return opened


def _request(method: str, call: str, query: dict, body: bytes = b"") -> messages.Request:
    target = f"/buckthornstage/{call}?{urllib.parse.urlencode(query)}"
    return messages.Request(method, target, (), body)


def _has_open_connection(connections: list[client.Connection]) -> bool:
    """Whether the newest connection is open; removes those that are not."""
    while connections:
        idle_ms = (trio.current_time() - connections[-1].idle_since) * 1_000
        if idle_ms < client.MAX_IDLE_MS and connections[-1].is_open_and_idle():
            return True
        connections.pop().abort()
    return False


def _close_all(connections: list[client.Connection]) -> None:
    while connections:
        connections.pop().abort()


def _check_appended(response: messages.Response) -> None:
    try:
        decoding.decode(_appended_decoder, response.body)
    except msgspec.MsgspecError as error:
        raise errors.LogResponseLostError(f"invalid response to a write: {error}") from error


def _decode_newest(response: messages.Response) -> _Newest:
    try:
        return decoding.decode(_newest_decoder, response.body)
    except msgspec.MsgspecError as error:
        raise errors.LogUnavailableError(f"invalid response of the store: {error}") from error


def _decode_record(item: _Item) -> store.KeyedRecord:
    try:
        value = None if item.value is None else base64.b64decode(item.value, validate=True)
    except ValueError:
        # Invalid base64 becomes an empty value, which the reader of the key logs as invalid.
        value = b""
    return store.KeyedRecord(item.key, value, item.offset)


def _decode_changes(
    payload: bytes, position: int, is_first_on_connection: bool
) -> tuple[store.Batch, int]:
    """Decodes a read: end and first retained offset, then records of length, key and value.

    Returns the batch and the end. Raises TrimmedError if the log does not reach the position or
    begins behind it, and LogUnavailableError if no record is complete, and for a response that on
    its connection may be an earlier one: its records would end after its end.
    """
    if len(payload) < READ_HEADER.size:
        raise errors.LogUnavailableError("the store's response to a read is truncated")
    end, first = READ_HEADER.unpack_from(payload)
    if is_first_on_connection and not first <= position <= end:
        raise errors.TrimmedError(f"position {position} is not in {first} to {end}")
    records = []
    cursor, offset = READ_HEADER.size, position
    while cursor + RECORD_LENGTH.size <= len(payload):
        (length,) = RECORD_LENGTH.unpack_from(payload, cursor)
        cursor += RECORD_LENGTH.size
        raw = payload[cursor : cursor + length]
        if len(raw) < length:
            break
        cursor += length
        offset += 1
        if raw:
            key, value = raw[1 : 1 + raw[0]], raw[1 + raw[0] :]
            # A key that is cut off gets an empty value, which the reader of the key logs as
            # invalid: without a value it would remove another key.
            no_value = None if len(key) == raw[0] else b""
            name = key.decode("utf-8", "replace")
            records.append(store.KeyedRecord(name, value or no_value, offset - 1))
    if offset == position and len(payload) > READ_HEADER.size:
        raise errors.LogUnavailableError("the store's response to a read holds no whole record")
    if not (is_first_on_connection or first <= position <= offset <= end):
        raise errors.LogUnavailableError(
            f"response to another read: {len(records)} records from {position} on, {first} to {end}"
        )
    return store.Batch(tuple(records), offset), end
