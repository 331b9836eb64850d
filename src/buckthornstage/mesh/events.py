"""Structured log lines: one JSON object for each decision, bounded in volume, never blocking."""

import os
import time

import logbook
import msgspec

from buckthornstage import clock
from buckthornstage.limits import token_bucket

LINES_PER_SECOND = 400
"""Ordinary lines; a node at twice its usual load writes about 300 a second."""
BURST_LINES = 800
MAX_BUFFERED_BYTES = 256 * 1024
"""Held while the reader does not read; above it lines are dropped and counted."""
WRITE_BYTES = 16 * 1024
"""Lines on single calls are written together, when this much has come or at the node's next tick: a
system call for each line costs more than the line."""

_encoder = msgspec.json.Encoder()


class EventLog:
    """Writes events to a file descriptor and counts what it drops.

    Lines about single calls are dropped first: they have a rate, while lines at start, stop and
    changes of state (`is_vital`) pass as long as the reader reads, and are written at once with
    all that came before.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self.node = node
        self.descriptor = descriptor
        self.clock = clock.Clock()
        self.rate = token_bucket.TokenBucket(LINES_PER_SECOND, BURST_LINES)
        self.pending = bytearray()
        self.dropped = 0
        self.dropped_reported = 0
        os.set_blocking(descriptor, False)

    @property
    def pending_bytes(self) -> int:
        """Bytes of lines that are not written yet."""
        return len(self.pending)

    def emit(self, part: str, event: str, is_vital: bool = False, **fields) -> None:
        """Writes one event of a part of the node; fields must be plain values."""
        if not (is_vital or self.rate.take(self.clock.now_ms())):
            self.dropped += 1
            return
        if self.dropped > self.dropped_reported:
            fields["dropped_lines"] = self.dropped
            self.dropped_reported = self.dropped
        line = {"at": round(time.time(), 4), "node": self.node, "part": part, "event": event}
        line.update(fields)
        self._write(_encoder.encode(line) + b"\n", is_vital)

    def flush(self) -> None:
        """Writes what is buffered, as far as the reader takes it."""
        while self.pending:
            with memoryview(self.pending) as view:
                part = bytes(view[:WRITE_BYTES])
            try:
                sent = os.write(self.descriptor, part)
            except BlockingIOError:
                return
            except OSError:
                # Without a reader nobody can be told; the lines are counted as dropped.
                self.dropped += self.pending.count(b"\n")
                self.pending.clear()
                return
            del self.pending[:sent]

    def _write(self, line: bytes, is_vital: bool) -> None:
        if self.pending_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.pending += line
        if is_vital or self.pending_bytes >= WRITE_BYTES:
            self.flush()


class EventHandler(logbook.Handler):
    """Turns records of other modules' loggers into events, so that standard output has one form."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(level=logbook.INFO)
        self.log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record with its level and message."""
        fields = {"level": record.level_name.lower(), "message": record.message}
        if record.exc_info:
            fields["trace"] = record.formatted_exception
        self.log.emit(record.channel, "message", is_vital=True, **fields)
