"""Records of stream `history`, and the collector with which a log reader fills it.

Each second a node sends its oldest unacknowledged events to a log reader. A `HistoryBatch` always
begins with the oldest unacknowledged event of its sender and has no gaps. The reader appends at
most one record a second and acknowledges the events after the append is confirmed. If an append
fails or its response is lost, the same events are appended again; queries remove duplicates.
"""

import collections
import dataclasses
from collections.abc import Iterable

import msgspec

from buckthornstage import decoding, errors
from buckthornstage.history import events
from buckthornstage.protocol import effects, log, messages

STREAM = "history"
APPEND_INTERVAL_MS = 1_000
MAX_WAITING_EVENTS = 20_000
MAX_SOURCES = 4_096
MAX_RECORD_BYTES = 512 * 1024
EVENT_OVERHEAD_BYTES = 160  # field names and numbers of one encoded event


class HistoryRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One record of stream `history`."""

    format: int
    events: tuple[events.Event, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(HistoryRecord)


def encode(batch: Iterable[events.Event]) -> bytes:
    """Encodes events as one log record."""
    return _ENCODER.encode(HistoryRecord(1, tuple(batch)))


def decode(payload: bytes) -> tuple[events.Event, ...]:
    """Decodes a log record; raises ProtocolError if it is not of this format."""
    try:
        record = decoding.decode(_DECODER, payload)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f"the history record is malformed: {error}") from error
    if record.format != 1:
        raise errors.ProtocolError(f"history record format {record.format} needs a newer release")
    return record.events


def decode_all(batch: log.LogBatch) -> tuple[list[events.Event], list[int]]:
    """Events of all valid records, and the offsets of the records that cannot be decoded."""
    decoded: list[events.Event] = []
    unreadable: list[int] = []
    for record in batch.records:
        try:
            decoded.extend(decode(record.payload))
        except errors.ProtocolError:
            unreadable.append(record.offset)
    return decoded, unreadable


@dataclasses.dataclass
class _Source:
    """One incarnation of a node: `confirmed` is the last sequence known to be in the log."""

    address: str
    confirmed: int = 0
    waiting: dict[int, events.Event] = dataclasses.field(default_factory=dict)


class Collector:
    """Events that wait for a confirmed append, with the addresses for acknowledgements.

    At most one append is in flight; report its result with `appended` or `append_failed`.
    """

    def __init__(self) -> None:
        self.sources: collections.OrderedDict[tuple[str, int], _Source] = collections.OrderedDict()
        self.in_flight: dict[tuple[str, int], int] | None = None
        self.next_append_ms = 0
        self.waiting = 0
        self.refused_batches = 0

    def receive(
        self, sender: str, incarnation: int, address: str, batch: messages.HistoryBatch
    ) -> list[effects.Effect]:
        """Queues a batch of a node; acknowledges at once events that are in the log already.

        A batch that exceeds the bounds is refused as a whole; its node sends it again.
        """
        if not _is_well_formed(sender, incarnation, batch.events):
            self.refused_batches += 1
            return []
        key = (sender, incarnation)
        source = self.sources.get(key) or _Source(address)
        source.address = address
        known = max(source.confirmed, max(source.waiting, default=0))
        new = [event for event in batch.events if event.sequence > known]
        if self.waiting + len(new) > MAX_WAITING_EVENTS or not self._ensure_capacity(key):
            self.refused_batches += 1
            return []
        self.sources[key] = source
        source.waiting.update((event.sequence, event) for event in new)
        self.waiting += len(new)
        if batch.events[0].sequence <= source.confirmed:
            return [_acknowledgement(key, source)]
        return []

    def tick(self, now_ms: int) -> list[effects.Effect]:
        """Starts an append if events wait, none is in flight and the interval has passed."""
        if self.in_flight is not None or not self.waiting or now_ms < self.next_append_ms:
            return []
        self.next_append_ms = now_ms + APPEND_INTERVAL_MS
        self.in_flight = {}
        chosen: list[events.Event] = []
        size = 0
        for key, source in self.sources.items():
            for event in source.waiting.values():
                size += EVENT_OVERHEAD_BYTES + 4 * len(event.detail)
                if chosen and size > MAX_RECORD_BYTES:
                    break
                chosen.append(event)
                self.in_flight[key] = event.sequence
            if size > MAX_RECORD_BYTES:
                break
        for key in self.in_flight:
            self.sources.move_to_end(key)
        return [effects.AppendLog(STREAM, encode(chosen))]

    def appended(self) -> list[effects.Effect]:
        """Confirms the append in flight; returns the acknowledgements to send."""
        confirmed, self.in_flight = self.in_flight or {}, None
        acknowledgements: list[effects.Effect] = []
        for key, sequence in confirmed.items():
            source = self.sources[key]
            written = [number for number in source.waiting if number <= sequence]
            for number in written:
                del source.waiting[number]
            self.waiting -= len(written)
            source.confirmed = max(source.confirmed, sequence)
            acknowledgements.append(_acknowledgement(key, source))
        return acknowledgements

    def append_failed(self) -> None:
        """The append failed or its response was lost; its events stay queued for the next one."""
        self.in_flight = None

    def _ensure_capacity(self, key: tuple[str, int]) -> bool:
        if key in self.sources or len(self.sources) < MAX_SOURCES:
            return True
        idle = next((k for k, source in self.sources.items() if not source.waiting), None)
        if idle is None:
            return False
        del self.sources[idle]
        return True


def _acknowledgement(key: tuple[str, int], source: _Source) -> effects.Send:
    return effects.Send(source.address, messages.HistoryAck(key[1], source.confirmed))


def _is_well_formed(sender: str, incarnation: int, batch: tuple[events.Event, ...]) -> bool:
    if not batch or batch[0].sequence < 1:
        return False
    first = batch[0].sequence
    return all(
        (event.node, event.incarnation, event.sequence) == (sender, incarnation, first + index)
        for index, event in enumerate(batch)
    )
