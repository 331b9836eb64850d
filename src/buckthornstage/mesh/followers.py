"""Follows the configurations and the directory in the store, and writes this node's entry."""

import random
from collections.abc import Callable

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.link import frames
from buckthornstage.mesh import events, store

RETRY_MIN_MS = 150
RETRY_MAX_MS = 1_500
"""Upper bound of the back-off: a version must be active 2 s after the store is reachable again."""

COALESCE_MS = 900
"""Pause after a change, so that changes in quick succession are read together. A version must be
active within 2 s, of which the pause takes less than half."""

DIRECTORY_PAUSE_MS = 10_000
"""Pause after a change of the directory. A new node probes all nodes that it finds there, and they
learn of it from its datagrams; later reads only find nodes whose datagrams were all lost."""

_ENTRY_DECODER = msgspec.msgpack.Decoder(frames.NodeEntry)


def retry_ms(failures: int) -> float:
    """Exponential back-off with jitter: random from 75 ms to 150 ms x 2^failures, at most
    1.5 s."""
    ceiling = min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(failures, 8))
    return random.uniform(RETRY_MIN_MS / 2, ceiling)


async def follow(
    name: str,
    topic: store.KeyedTopic,
    on_records: Callable[[tuple[store.KeyedRecord, ...]], None],
    on_loaded: Callable[[], None],
    pause_ms: Callable[[], int],
    log: events.EventLog,
) -> None:
    """Passes the newest record of each key to `on_records`, then each batch of changes, until
    cancelled.

    `on_loaded()` is called after the newest records. After a read with changes the follower waits
    for the time that `pause_ms()` returned before that read.
    """
    failures = 0
    position: int | None = None
    while True:
        pause_after_ms = pause_ms()
        try:
            if position is None:
                batch = await topic.newest()
            else:
                batch = await topic.changes(position)
        except errors.TrimmedError as error:
            log.emit("store", "history_gone", True, topic=name, problem=str(error))
            position = None
            continue
        except errors.LogError as error:
            failures += 1
            if failures == 1:
                log.emit("store", "lost", True, topic=name, problem=str(error))
            await trio.sleep(retry_ms(failures) / 1000)
            continue
        if failures:
            log.emit("store", "regained", True, topic=name, failures=failures)
        failures = 0
        on_records(batch.records)
        if position is None:
            on_loaded()
        has_changes = position is not None and bool(batch.records)
        position = batch.next_position
        if has_changes:
            await trio.sleep(pause_after_ms / 1000)


def decode_entry(record: store.KeyedRecord, log: events.EventLog) -> frames.NodeEntry | None:
    """Decodes a directory record; None, with a log line, if it is malformed or its key is not
    its link address."""
    try:
        entry = _ENTRY_DECODER.decode(record.value or b"")
    except msgspec.MsgspecError as error:
        log.emit("store", "foreign_record", True, key=record.key, problem=str(error))
        return None
    if entry.link_address != record.key:
        log.emit(
            "store", "foreign_record", True, key=record.key, problem="key differs from link address"
        )
        return None
    return entry


async def write_entry(
    topic: store.KeyedTopic, entry: frames.NodeEntry, log: events.EventLog
) -> None:
    """Writes this node's entry, with retries; that is idempotent, as the key is its address."""
    failures = 0
    while True:
        try:
            await topic.put(entry.link_address, msgspec.msgpack.encode(entry))
        except errors.LogError as error:
            failures += 1
            log.emit("store", "entry_not_written", True, problem=str(error), failures=failures)
            await trio.sleep(retry_ms(failures) / 1000)
            continue
        log.emit("store", "entry_written", True, address=entry.link_address)
        return
