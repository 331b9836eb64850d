"""Structured log: one JSON object per event, limited in volume; writes never block."""

import os
import time

import logbook
import msgspec

from buckthornstage import clock
from buckthornstage.limits import token_bucket

LINES_PER_SECOND = 400
"""Rate limit of lines that are not vital; a node at twice its usual load writes about 300 a
second."""
BURST_LINES = 800
MAX_BUFFERED_BYTES = 256 * 1024
"""Buffer limit while the output's reader does not read; lines above it are dropped and counted."""
MAX_WRITE_BYTES = 4_096
"""Size limit of a line and of a write, which holds whole lines only. POSIX writes up to this size
to a pipe as a whole or not at all, so lines of processes that share a pipe do not mix."""
FLUSH_BYTES = 16 * 1024
"""Lines on single calls are buffered up to this size or until the node's next tick, because a
system call costs more than formatting a line."""

_encoder = msgspec.json.Encoder()


def encode_line(fields: dict[str, object]) -> bytes:
    """Encodes one line of at most MAX_WRITE_BYTES.

    If it is longer, texts and lists are shortened to equal limits and the field `is_cut` is added;
    the fields that remain too long are left out.
    """
    encoded = _encoder.encode(fields) + b"\n"
    limit = MAX_WRITE_BYTES
    while len(encoded) > MAX_WRITE_BYTES:
        limit //= 2
        shortened = {
            name: value[:limit] if isinstance(value, str | list) else value
            for name, value in fields.items()
            if limit or isinstance(value, int | float | None)
        }
        encoded = _encoder.encode({**shortened, "is_cut": True}) + b"\n"
    return encoded


class EventLog:
    """Writes events to a file descriptor and counts what it drops.

    Lines on single calls are rate-limited and dropped first. Lines on start, stop and state changes
    (`is_vital`) are exempt from the rate limit and written immediately, together with all buffered
    lines; they are dropped only if the buffer is full.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self.node = node
        self.descriptor = descriptor
        self.clock = clock.Clock()
        self.rate_limit = token_bucket.TokenBucket(LINES_PER_SECOND, BURST_LINES)
        self.pending = bytearray()
        self.dropped = 0
        self.dropped_reported = 0
        os.set_blocking(descriptor, False)

    @property
    def pending_bytes(self) -> int:
        """Size of the buffered lines that are not written yet."""
        return len(self.pending)

    def emit(self, part: str, event: str, is_vital: bool = False, **fields) -> None:
        """Logs one event of a component (`part`); fields must be plain values that JSON can
        hold."""
        if not (is_vital or self.rate_limit.take(self.clock.now_ms())):
            self.dropped += 1
            return
        if self.dropped > self.dropped_reported:
            fields["dropped_lines"] = self.dropped
            self.dropped_reported = self.dropped
        line = {"at": round(time.time(), 4), "node": self.node, "part": part, "event": event}
        line.update(fields)
        self._write(encode_line(line), is_vital)

    def flush(self) -> None:
        """Writes buffered lines until the output would block."""
        while self.pending:
            size = self.pending.rfind(b"\n", 0, MAX_WRITE_BYTES) + 1
            with memoryview(self.pending) as view:
                chunk = bytes(view[:size])
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The output has no reader, so the error cannot be reported; the lines are counted
                # as dropped.
                self.dropped += self.pending.count(b"\n")
                self.pending.clear()
                return
            del self.pending[:written]

    def _write(self, line: bytes, is_vital: bool) -> None:
        if self.pending_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.pending += line
        if is_vital or self.pending_bytes >= FLUSH_BYTES:
            self.flush()


class EventHandler(logbook.Handler):
    """Converts records of other modules' loggers into events, so that standard output has a single
    format."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(level=logbook.INFO)
        self.log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Logs a record as an event with its level, message and traceback."""
        fields = {"level": record.level_name.lower(), "message": record.message}
        if record.exc_info:
            fields["trace"] = record.formatted_exception
        self.log.emit(record.channel, "message", is_vital=True, **fields)
