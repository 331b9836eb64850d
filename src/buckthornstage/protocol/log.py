"""Records and batches read from the platform's log."""

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream; offsets begin at 1."""

    offset: int
    payload: bytes


class LogBatch(msgspec.Struct, frozen=True):
    """Result of one read.

    `earliest` is the first retained offset and `head` the last one (0 for an empty stream).
    """

    stream: str
    earliest: int
    head: int
    records: tuple[LogRecord, ...] = ()
