"""Follows the configurations and the directory in the store, and writes this node's entry."""

import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.link import frames
from buckthornstage.mesh import events, store

RETRY_MIN_MS = 150
RETRY_MAX_MS = 1_500
"""Upper bound of the back-off: a version must be active 2 s after the store is reachable again."""

COALESCE_MS = 700
"""Pause after a change, so that changes in quick succession are read together. A version must be
active within 2 s; after the pause it still goes from the node that reads to the others."""

DIRECTORY_PAUSE_MS = 10_000
"""Pause after a change of the directory. A new node probes the nodes of its zone that it finds
there, and they learn of it from its datagrams; the other zones may learn of it later."""


def retry_ms(failures: int) -> float:
    """Exponential back-off with jitter: random from 75 ms to 150 ms x 2^failures, at most
    1.5 s."""
    ceiling = min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(failures, 8))
    return random.uniform(RETRY_MIN_MS / 2, ceiling)


class ReaderRole:
    """Whether this node reads the store, as `membership.store_readers` decides.

    Followers wait while it does not; a read that waits for changes ends with the role.
    """

    def __init__(self) -> None:
        self.is_reader = False
        self.granted = trio.Event()
        self.scopes: set[trio.CancelScope] = set()

    def update(self, is_reader: bool) -> bool:
        """Sets whether this node reads; returns whether that changed."""
        if is_reader is self.is_reader:
            return False
        self.is_reader = is_reader
        if is_reader:
            self.granted.set()
        else:
            self.granted = trio.Event()
            self.restart_reads()
        return True

    def restart_reads(self) -> None:
        """Ends the reads that wait; their followers begin again."""
        for scope in self.scopes:
            scope.cancel()

    @contextlib.contextmanager
    def reading(self) -> Iterator[trio.CancelScope]:
        """The block is cancelled when the role ends."""
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                yield scope
            finally:
                self.scopes.discard(scope)


@dataclasses.dataclass(frozen=True)
class Subscription:
    """What a follower does with a topic.

    `on_records` gets the newest record of each key, then each batch of changes; `on_loaded()` is
    called after the newest records. After a read with changes the follower waits for the time that
    `pause_ms()` returned before that read. `on_health` hears whether reads succeed.
    """

    name: str
    topic: store.KeyedTopic
    on_records: Callable[[tuple[store.KeyedRecord, ...]], None]
    pause_ms: Callable[[], int]
    on_loaded: Callable[[], None] = lambda: None
    on_health: Callable[[bool], None] = lambda is_healthy: None
    loads_without_role: bool = False
    """Whether the newest records are read once even if the node does not read the store."""


async def follow(
    subscription: Subscription, role: ReaderRole, era: store.EraWatch, log: events.EventLog
) -> None:
    """Reads a topic while this node has the role to do so, until cancelled.

    A position is only valid in the era in which it was read, so the newest records are read again
    when the era rises.
    """
    name, topic = subscription.name, subscription.topic
    failures = 0
    position: int | None = None
    position_era = era.newest
    is_load_owed = subscription.loads_without_role
    while True:
        if not (role.is_reader or is_load_owed):
            subscription.on_health(False)
            position = None
            await role.granted.wait()
        if era.newest != position_era:
            _log_void(name, position, era, log)
            position, position_era = None, era.newest
        pause_after_ms = subscription.pause_ms()
        batch = None
        try:
            if position is None and is_load_owed:
                batch = await topic.newest()
            else:
                with role.reading():
                    read = topic.newest() if position is None else topic.changes(position)
                    batch = await read
        except errors.TrimmedError as error:
            log.emit(
                "store", "history_gone", True, topic=name, position=position, problem=str(error)
            )
            position = None
            continue
        except errors.LogError as error:
            failures += 1
            if failures == 1:
                log.emit("store", "lost", True, topic=name, problem=str(error))
                subscription.on_health(False)
            await trio.sleep(retry_ms(failures) / 1000)
            continue
        if position_era is None:
            position_era = era.newest
        if batch is None or era.newest != position_era:
            continue
        if failures:
            log.emit("store", "regained", True, topic=name, failures=failures, position=position)
        failures, is_load_owed = 0, False
        if batch.records:
            log.emit(
                "store",
                "records_read",
                True,
                topic=name,
                position=position,
                next_position=batch.next_position,
                records=len(batch.records),
            )
        subscription.on_records(batch.records)
        if position is None:
            subscription.on_loaded()
        subscription.on_health(role.is_reader)
        has_changes = position is not None and bool(batch.records)
        position = batch.next_position
        if has_changes:
            await trio.sleep(pause_after_ms / 1000)


def _log_void(name: str, position: int | None, era: store.EraWatch, log: events.EventLog) -> None:
    if position is not None:
        log.emit("store", "position_void", True, topic=name, position=position, era=era.newest)


def decode_entry(record: store.KeyedRecord, log: events.EventLog) -> frames.StoredEntry | None:
    """Decodes a directory record; None, with a log line, if it is malformed, has a value out
    of range, or its key is not its link address."""
    try:
        entry = frames.decode_entry(record.value or b"")
    except errors.ProtocolError as error:
        log.emit("store", "foreign_record", True, key=record.key, problem=str(error))
        return None
    if entry.link_address != record.key:
        log.emit(
            "store", "foreign_record", True, key=record.key, problem="key differs from link address"
        )
        return None
    return entry


async def write_entry(
    topic: store.KeyedTopic, make_entry: Callable[[], frames.StoredEntry], log: events.EventLog
) -> frames.StoredEntry:
    """Writes this node's entry, made anew for each retry, and returns the one that was written."""
    failures = 0
    while True:
        entry = make_entry()
        try:
            await topic.put(entry.link_address, msgspec.msgpack.encode(entry))
        except errors.LogError as error:
            failures += 1
            log.emit("store", "entry_not_written", True, problem=str(error), failures=failures)
            await trio.sleep(retry_ms(failures) / 1000)
            continue
        log.emit("store", "entry_written", True, address=entry.link_address, ended=entry.ended)
        return entry
