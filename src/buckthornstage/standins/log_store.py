"""Streams of the log stand-in: offsets, retention and waiting for new records."""

import collections
import dataclasses
import itertools

import trio

from buckthornstage.limits import token_bucket

MAX_READ_BYTES = 8 << 20  # of payload in one response


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """One record and the wall-clock time of its append in ms."""

    offset: int
    at_ms: int
    payload: bytes


@dataclasses.dataclass
class Retention:
    """Bounds beyond which records are dropped; 0 means no bound."""

    records: int = 0
    age_ms: int = 0


class Stream:
    """One append-only stream; offsets begin at 1."""

    def __init__(self, retention: Retention) -> None:
        self.retention = retention
        self.records: collections.deque[StoredRecord] = collections.deque()
        self.head = 0
        self.appended = trio.Event()

    @property
    def earliest(self) -> int:
        """First retained offset, or the offset after the head if nothing is retained."""
        return self.records[0].offset if self.records else self.head + 1

    def append(self, payload: bytes, now_ms: int) -> int:
        """Stores a record, wakes waiting readers and returns the offset of the record."""
        self.head += 1
        self.records.append(StoredRecord(self.head, now_ms, payload))
        self.trim(now_ms)
        self.wake()
        return self.head

    def wake(self) -> None:
        """Makes all waiting readers check their condition again."""
        self.appended.set()
        self.appended = trio.Event()

    def trim(self, now_ms: int) -> None:
        """Drops the records that exceed the retention bounds."""
        limit, age_ms = self.retention.records, self.retention.age_ms
        while self.records and (
            (limit and len(self.records) > limit)
            or (age_ms and self.records[0].at_ms < now_ms - age_ms)
        ):
            self.records.popleft()

    def read(self, offset: int, limit: int) -> list[StoredRecord]:
        """At most `limit` records from `offset` on, of at most MAX_READ_BYTES or just one."""
        start = max(0, offset - self.earliest)
        chosen: list[StoredRecord] = []
        size = 0
        for record in itertools.islice(self.records, start, start + limit):
            size += len(record.payload)
            if chosen and size > MAX_READ_BYTES:
                break
            chosen.append(record)
        return chosen


def append_rate_limit(per_second: float) -> token_bucket.TokenBucket:
    """Rate limit for appends; a burst may use the tokens of a quarter of a second."""
    return token_bucket.TokenBucket(per_second, max(1.0, per_second / 4))
