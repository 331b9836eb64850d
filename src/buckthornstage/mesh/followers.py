"""Follows the configurations and the directory in the store, and writes this node's entry."""

import contextlib
import dataclasses
import math
import random
from collections.abc import Callable, Iterator

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.limits import token_bucket
from buckthornstage.link import frames
from buckthornstage.mesh import events, store

MS_PER_SECOND = 1_000
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

ROUNDS_PER_SECOND = 2.0
ROUND_BURST = 6
"""Rate limit of the reads of a follower, above that of reads which wait for changes or pause after
them, and of the writes of this node's unchanged entry. A read may end at once each time: the store
closes each connection, or has no record at any position. A write may be void each time: the store
names a later era in its response."""

READ_PATIENCE_MS = 800
"""If a reader has not read a version in the store this long after a peer announced it, the
connections on which its reads have waited since then may be silent. Longer than COALESCE_MS. Twice
as long after each restart of the reads until one tells a version, as the store may be slow."""

DIRECTORY_PAUSE_MS = 10_000
"""Pause after a change of the directory. A new node probes the nodes of its zone that it finds
there, and they learn of it from its datagrams; the other zones may learn of it later."""


def retry_ms(failures: int) -> float:
    """Exponential back-off with jitter: random from 75 ms to 150 ms x 2^failures, at most
    1.5 s."""
    ceiling = min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(failures, 8))
    return random.uniform(RETRY_MIN_MS / 2, ceiling)


def pause_ms(error: errors.LogError, failures: int) -> float:
    """Time until the next call after one that failed. A call without a response has waited for
    longer than a pause, and a version must be active 3 s after the end of a silence."""
    return retry_ms(0 if isinstance(error, errors.LogTimeoutError) else failures)


class RoundRate:
    """Rate limit of calls that are made again and again."""

    def __init__(self) -> None:
        self.bucket = token_bucket.TokenBucket(ROUNDS_PER_SECOND, ROUND_BURST)

    async def wait(self) -> None:
        """Waits until the rate limit allows a call."""
        while not self.bucket.take(int(trio.current_time() * MS_PER_SECOND)):
            await trio.sleep(1 / ROUNDS_PER_SECOND)


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
        self.scopes: dict[trio.CancelScope, float] = {}
        """Scopes of the reads that are under way, and when each began, in seconds."""

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

    def restart_reads(self, begun_before: float = math.inf) -> int:
        """Ends the reads that are under way and began before a time in seconds; their followers
        begin again on new connections. Returns how many."""
        scopes = [scope for scope, began in self.scopes.items() if began < begun_before]
        for scope in scopes:
            scope.cancel()
        return len(scopes)

    @contextlib.contextmanager
    def reading(self) -> Iterator[trio.CancelScope]:
        """The block is cancelled when the role ends."""
        with trio.CancelScope() as scope:
            self.scopes[scope] = trio.current_time()
            try:
                yield scope
            finally:
                del self.scopes[scope]


class ReadWatch:
    """Compares the versions that peers announce with those that this node reads in the store.

    `start_task(function, *arguments)` starts a task.
    """

    def __init__(
        self, role: ReaderRole, log: events.EventLog, start_task: Callable[..., None]
    ) -> None:
        self.role = role
        self.log = log
        self.start_task = start_task
        self.read = 0
        """Newest version that this node has read in the store."""
        self.expected = 0
        """Newest version that this node, as a reader, expects to read there."""
        self.restarts = 0
        """How often reads were ended since the store last told a version."""

    def on_read(self, version: int) -> None:
        """Takes a version that the store has told."""
        self.read, self.restarts = max(self.read, version), 0

    def on_announced(self, version: int) -> None:
        """Expects a version of a peer in the store soon, if this node reads."""
        if self.role.is_reader and version > max(self.read, self.expected):
            self.expected = version
            patience_ms = min(WAIT_MS, READ_PATIENCE_MS * 2**self.restarts)
            self.start_task(self._check_reads, version, trio.current_time(), patience_ms)

    async def _check_reads(self, version: int, announced: float, patience_ms: int) -> None:
        await trio.sleep(patience_ms / 1000)
        # A read that began later may be slow, and would get no response if it were ended each time.
        if self.read < version and self.role.restart_reads(begun_before=announced):
            self.restarts += 1
            self.log.emit("store", "behind", True, read=self.read, announced=version)


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
    follower = _Follower(subscription, role, era, log)
    while True:
        await follower.rate.wait()
        await follower.wait_for_role()
        follower.drop_void_position()
        pause_after_ms = subscription.pause_ms()
        try:
            batch = await follower.read()
        except errors.TrimmedError as error:
            follower.on_trimmed(error)
        except errors.LogError as error:
            await trio.sleep(follower.on_failure(error) / 1000)
        else:
            if batch is not None and follower.take(batch):
                await trio.sleep(pause_after_ms / 1000)


class _Follower:
    """Position of a follower in its topic, and whether its reads succeed."""

    def __init__(
        self,
        subscription: Subscription,
        role: ReaderRole,
        era: store.EraWatch,
        log: events.EventLog,
    ) -> None:
        self.subscription = subscription
        self.role = role
        self.era = era
        self.log = log
        self.position: int | None = None
        """Where the next read starts; None to read the newest records."""
        self.position_era = era.newest
        self.failures = 0
        self.is_lost = False
        self.is_load_owed = subscription.loads_without_role
        self.rate = RoundRate()

    async def wait_for_role(self) -> None:
        """Waits until this node reads the store, if it does not."""
        if not (self.role.is_reader or self.is_load_owed):
            self.subscription.on_health(False)
            self.position = None
            await self.role.granted.wait()

    def drop_void_position(self) -> None:
        """Forgets a position of an earlier era."""
        if self.era.newest != self.position_era:
            if self.position is not None:
                self._emit("position_void", position=self.position, era=self.era.newest)
            self.position, self.position_era = None, self.era.newest

    async def read(self) -> store.Batch | None:
        """One read; None if it ended with the role. Raises LogError."""
        topic = self.subscription.topic
        if self.position is None and self.is_load_owed:
            return await topic.newest()
        with self.role.reading():
            if self.position is None:
                return await topic.newest()
            return await topic.changes(self.position, self.subscription.wait_ms())
        return None

    def on_trimmed(self, error: errors.TrimmedError) -> None:
        """The records at the position are gone."""
        self._emit("history_gone", position=self.position, problem=str(error))
        self.position = None

    def on_failure(self, error: errors.LogError) -> float:
        """Returns the ms until the next read."""
        self.failures += 1
        if self.failures == 1 and isinstance(error, errors.LogTimeoutError):
            self._emit("silent", position=self.position, problem=str(error))
            self.role.restart_reads()
            return 0
        if not self.is_lost:
            self.is_lost = True
            self._emit("lost", problem=str(error))
            self.subscription.on_health(False)
        if self.failures % FAILURES_BEFORE_LOAD == 0:
            self.position = None
        return pause_ms(error, self.failures)

    def take(self, batch: store.Batch) -> bool:
        """Passes on what was read, unless the era has risen; returns whether it holds changes."""
        if self.position_era is None:
            self.position_era = self.era.newest
        if self.era.newest != self.position_era:
            return False
        if self.is_lost:
            self._emit("regained", failures=self.failures, position=self.position)
        self.failures, self.is_lost, self.is_load_owed = 0, False, False
        before, self.position = self.position, batch.next_position
        if batch.records:
            self._emit(
                "records_read",
                position=before,
                next_position=batch.next_position,
                records=len(batch.records),
            )
        self.subscription.on_records(batch.records)
        if before is None:
            self.subscription.on_loaded()
        self.subscription.on_health(self.role.is_reader)
        if batch.has_more:
            # Only the newest record of each key counts, and a backlog may grow faster than its
            # pages are read.
            self.position = None
            return False
        return before is not None and bool(batch.records)

    def _emit(self, event: str, **fields) -> None:
        self.log.emit("store", event, True, topic=self.subscription.name, **fields)


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
            await trio.sleep(pause_ms(error, failures) / 1000)
            continue
        log.emit("store", "entry_written", True, address=entry.link_address, ended=entry.ended)
        return entry
