"""What the node needs of the store that outlives it: keyed records with their order."""

import dataclasses
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One change of a key; `value` is None when the key was removed."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes in order, and the position to go on reading from."""

    records: tuple[KeyedRecord, ...]
    next_position: int


@dataclasses.dataclass(frozen=True)
class KeyedTopic:
    """Access to one topic of keyed records.

    `newest()` gives the newest record of each key. `changes(position)` waits for records from a
    position on; it raises `errors.TrimmedError` when they are gone, then `newest()` is read again.
    `put(key, value)` writes, with None as the value to remove the key. All raise
    `errors.LogError`; after `errors.LogResponseLostError` the write may have been done.
    """

    newest: Callable[[], Awaitable[Batch]]
    changes: Callable[[int], Awaitable[Batch]]
    put: Callable[[str, bytes | None], Awaitable[None]]
