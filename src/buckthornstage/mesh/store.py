"""Interface to the persistent store: topics of ordered, keyed records."""

import dataclasses
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One change of a key; `value` is None if the key was removed. `offset` orders the changes of
    one topic within an era of the store."""

    key: str
    value: bytes | None
    offset: int = 0


class EraWatch:
    """Number of the store's restorations from a copy, as far as this node knows.

    A restoration loses the latest records, and positions in the lost part are given out again.
    `on_change(before)` is called when `newest` rises; `before` is None at the first response.
    """

    def __init__(self) -> None:
        self.newest: int | None = None
        self.on_change: Callable[[int | None], None] = lambda before: None

    def observe(self, era: int) -> None:
        """Takes an era that a response of the store, or a peer, names."""
        before = self.newest
        if before is None or era > before:
            self.newest = era
            self.on_change(before)


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes in order, and the position at which the next read starts.

    `has_more` tells that the store had further records there, which did not fit one response.
    """

    records: tuple[KeyedRecord, ...]
    next_position: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True)
class KeyedTopic:
    """Access to one topic of keyed records.

    `newest()` returns the newest record of each key. `changes(position, wait_ms)` waits for records
    from a position on for at most `wait_ms`, and may return none; it raises `errors.TrimmedError`
    if they were trimmed, and the caller has to read `newest()` again, as it has to when the era has
    risen. `put(key, value)` writes a record; None as the value removes the key. All raise
    `errors.LogError`; after `errors.LogResponseLostError` the write may have been applied, and
    after `errors.LogTimeoutError` open connections may be silent for good, so the next call uses a
    new one.
    """

    newest: Callable[[], Awaitable[Batch]]
    changes: Callable[[int, int], Awaitable[Batch]]
    put: Callable[[str, bytes | None], Awaitable[None]]
