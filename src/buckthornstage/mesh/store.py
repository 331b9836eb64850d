"""Interface to the persistent store: topics of ordered, keyed records."""

import dataclasses
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One change of a key; `value` is None if the key was removed."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes in order, and the position at which the next read starts."""

    records: tuple[KeyedRecord, ...]
    next_position: int


@dataclasses.dataclass(frozen=True)
class KeyedTopic:
    """Access to one topic of keyed records.

    `newest()` returns the newest record of each key. `changes(position)` waits for records from a
    position on; it raises `errors.TrimmedError` if they were trimmed, and the caller has to read
    `newest()` again. `put(key, value)` writes a record; None as the value removes the key. All
    raise `errors.LogError`; after `errors.LogResponseLostError` the write may have been applied.
    """

    newest: Callable[[], Awaitable[Batch]]
    changes: Callable[[int], Awaitable[Batch]]
    put: Callable[[str, bytes | None], Awaitable[None]]
