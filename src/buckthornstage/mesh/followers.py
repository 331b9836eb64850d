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

LEAD_WAIT_MS = 1_250
"""Longest wait for changes of the first reader of a zone. Its connection to the store may go silent
while new ones work, which only the missing end of a wait shows; with the pause after a change and
the time for the response that takes less than 3 s."""

WAIT_MS = 25_000
"""Longest wait of other reads; the platform allows 30 s."""

FAILURES_BEFORE_LOAD = 3
"""After so many failed reads in a row from one position, the newest records are read instead."""

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
        self.is_lead = False
        """Whether this node is the first reader of its zone; it has to notice silent connections,
        and tells the others of the zone each version."""
        self.granted = trio.Event()
        self.scopes: set[trio.CancelScope] = set()

    def update(self, is_reader: bool, is_lead: bool) -> bool:
        """Sets whether this node reads, and reads first; returns whether one of them changed."""
        if (is_reader, is_lead) == (self.is_reader, self.is_lead):
            return False
        ends, begins_to_lead = self.is_reader and not is_reader, is_lead and not self.is_lead
        self.is_reader, self.is_lead = is_reader, is_lead
        if is_reader:
            self.granted.set()
        elif ends:
            self.granted = trio.Event()
        if ends or begins_to_lead:
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
    `pause_ms()` returned before that read; a read waits for changes up to `wait_ms()`. `on_health`
    hears whether reads succeed.
    """

    name: str
    topic: store.KeyedTopic
    on_records: Callable[[tuple[store.KeyedRecord, ...]], None]
    pause_ms: Callable[[], int]
    wait_ms: Callable[[], int] = lambda: WAIT_MS
    on_loaded: Callable[[], None] = lambda: None
    on_health: Callable[[bool], None] = lambda is_healthy: None
    loads_without_role: bool = False
    """Whether the newest records are read once even if the node does not read the store."""


async def follow(
    subscription: Subscription, role: ReaderRole, era: store.EraWatch, log: events.EventLog
) -> None:
    """Reads a topic while this node has the role to do so, until cancelled.

    A position is only valid in the era in which it was read, so the newest records are read again
    when the era rises. After the first time-out in a row all reads of this node begin again at once
    on new connections, since the open ones may all be silent.
    """
    name, topic = subscription.name, subscription.topic
    failures = 0
    is_lost = False
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
                    if position is None:
                        batch = await topic.newest()
                    else:
                        batch = await topic.changes(position, subscription.wait_ms())
        except errors.TrimmedError as error:
            log.emit(
                "store", "history_gone", True, topic=name, position=position, problem=str(error)
            )
            position = None
            continue
        except errors.LogError as error:
            failures += 1
            if failures == 1 and isinstance(error, errors.LogTimeoutError):
                log.emit("store", "silent", True, topic=name, position=position, problem=str(error))
                role.restart_reads()
                continue
            if not is_lost:
                is_lost = True
                log.emit("store", "lost", True, topic=name, problem=str(error))
                subscription.on_health(False)
            if failures % FAILURES_BEFORE_LOAD == 0:
                position = None
            await trio.sleep(retry_ms(failures) / 1000)
            continue
        if position_era is None:
            position_era = era.newest
        if batch is None or era.newest != position_era:
            continue
        if is_lost:
            log.emit("store", "regained", True, topic=name, failures=failures, position=position)
        failures, is_lost, is_load_owed = 0, False, False
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
