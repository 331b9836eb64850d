"""Contact addresses in the log, for nodes whose seeds have all been replaced.

No node is permanent, so all seed addresses in a node's settings may become unreachable.
The first reader of each zone therefore appends a few addresses of its zone to stream `contacts`,
and reads all appended addresses. A node without known peers is the first reader of its zone.
"""

import hashlib
import hmac
import random
from collections.abc import Iterable

import msgspec

from buckthornstage import decoding
from buckthornstage.protocol import log

STREAM = "contacts"
MAC_BYTES = 16
FIRST_READ_MS = (1_000, 2_000)  # after the start; seeds usually respond sooner
FIRST_APPEND_MS = (1_000, 3_000)  # spreads the appends when all nodes start at once
READ_INTERVAL_MS = 2_000
APPEND_INTERVAL_MS = 600_000
RETRY_MS = 1_000
TAIL_RECORDS = 16  # the first read skips older records
ADDRESSES_PER_RECORD = 4
MAX_ADDRESSES = 12  # the newest are kept; older ones are likely to be unreachable


class ContactRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Control addresses of live nodes of one zone."""

    zone: str
    addresses: tuple[str, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ContactRecord)


def encode(record: ContactRecord, secret: bytes) -> bytes:
    """Encodes a record as a log payload with a MAC under the mesh secret."""
    body = _ENCODER.encode(record)
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES] + body


def decode(payload: bytes, secret: bytes) -> ContactRecord | None:
    """Decodes a log payload; returns None if its MAC is wrong or it is malformed."""
    mac, body = payload[:MAC_BYTES], payload[MAC_BYTES:]
    if not hmac.compare_digest(mac, hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]):
        return None
    try:
        return decoding.decode(_DECODER, body)
    except msgspec.MsgspecError:
        return None


class Contacts:
    """Addresses read from stream `contacts`, and the schedule of reads and appends."""

    def __init__(self, secret: bytes, own_address: str, rng: random.Random, now_ms: int) -> None:
        self.secret = secret
        self.own_address = own_address
        self.rng = rng
        self.next_offset = 1
        self.has_seen_head = False
        self.addresses: list[str] = []
        self.next_read_ms = now_ms + rng.randrange(*FIRST_READ_MS)
        self.next_append_ms = now_ms + rng.randrange(*FIRST_APPEND_MS)

    def should_read(self, is_first: bool, now_ms: int) -> bool:
        """Whether to read the stream from `next_offset` now; only the first reader does."""
        return is_first and now_ms >= self.next_read_ms

    def on_batch(self, batch: log.LogBatch, now_ms: int) -> list[str]:
        """Adds the addresses of a batch; returns the new ones."""
        self.next_read_ms = now_ms + READ_INTERVAL_MS
        if not self.has_seen_head:
            self.has_seen_head = True
            if batch.head > self.next_offset + TAIL_RECORDS:
                self.next_offset = batch.head - TAIL_RECORDS + 1
                self.next_read_ms = now_ms
                return []
        received: list[str] = []
        for record in batch.records:
            self.next_offset = max(self.next_offset, record.offset + 1)
            contact = decode(record.payload, self.secret)
            received += contact.addresses[:ADDRESSES_PER_RECORD] if contact is not None else []
        new = [a for a in dict.fromkeys(received) if a not in (*self.addresses, self.own_address)]
        merged = dict.fromkeys([*reversed(received), *self.addresses])
        merged.pop(self.own_address, None)
        self.addresses = list(merged)[:MAX_ADDRESSES]
        return new[-MAX_ADDRESSES:]

    def on_error(self, now_ms: int) -> None:
        """Schedules a retry after a failed read."""
        self.next_read_ms = now_ms + RETRY_MS

    def take_append(
        self, is_first: bool, zone: str, peers: Iterable[str], now_ms: int
    ) -> bytes | None:
        """Returns the payload to append if one is due; only the first reader of a zone appends."""
        if not is_first:
            # Another node appends for the zone; this node appends soon after it takes over.
            self.next_append_ms = max(self.next_append_ms, now_ms + RETRY_MS)
            self.next_append_ms = min(self.next_append_ms, now_ms + FIRST_APPEND_MS[1])
            return None
        if now_ms < self.next_append_ms:
            return None
        self.next_append_ms = now_ms + APPEND_INTERVAL_MS
        others = sorted(set(peers) - {self.own_address})
        chosen = self.rng.sample(others, min(ADDRESSES_PER_RECORD - 1, len(others)))
        return encode(ContactRecord(zone, (self.own_address, *chosen)), self.secret)

    def on_appended(self, is_confirmed: bool, now_ms: int) -> None:
        """Schedules an early retry after a failed append."""
        if not is_confirmed:
            self.next_append_ms = now_ms + RETRY_MS
