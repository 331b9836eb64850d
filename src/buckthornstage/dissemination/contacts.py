"""Contact addresses in the log, for nodes whose seeds have all been replaced.

No VM is reserved for control, so a day may come on which no address in a node's settings answers.
The first reader of each zone therefore appends a few addresses of its zone to stream `contacts`,
and reads what others have appended. A node without known peers is the first reader of its zone.
"""

import hashlib
import hmac
import random
from collections.abc import Iterable

import msgspec

from buckthornstage.protocol import log

STREAM = "contacts"
MAC_BYTES = 16
FIRST_READ_MS = (1_000, 2_000)  # after the start; seeds usually answer sooner
FIRST_APPEND_MS = (1_000, 3_000)  # spreads the appends of a mesh that starts all at once
READ_INTERVAL_MS = 2_000
APPEND_INTERVAL_MS = 600_000
APPEND_RETRY_MS = 1_000
TAIL_RECORDS = 16  # at the first read older records are passed over
ADDRESSES_PER_RECORD = 4
MAX_ADDRESSES = 12  # the newest; older ones are likely to be gone


class ContactRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Control addresses of living nodes of one zone."""

    zone: str
    addresses: tuple[str, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ContactRecord)


def encode(record: ContactRecord, secret: bytes) -> bytes:
    """Log payload of a record, authenticated by the mesh secret."""
    body = _ENCODER.encode(record)
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES] + body


def decode(payload: bytes, secret: bytes) -> ContactRecord | None:
    """Record in a log payload; None for anything that `encode` did not write."""
    mac, body = payload[:MAC_BYTES], payload[MAC_BYTES:]
    if not hmac.compare_digest(mac, hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]):
        return None
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError:
        return None


class Contacts:
    """Addresses learned from stream `contacts`, and when to read and append it."""

    def __init__(self, secret: bytes, own_address: str, rng: random.Random, now_ms: int) -> None:
        self.secret = secret
        self.own_address = own_address
        self.rng = rng
        self.next_offset = 1
        self.is_tail_known = False
        self.addresses: list[str] = []
        self.next_read_ms = now_ms + rng.randrange(*FIRST_READ_MS)
        self.next_append_ms = now_ms + rng.randrange(*FIRST_APPEND_MS)

    def should_read(self, is_first: bool, now_ms: int) -> bool:
        """Says whether the first reader of a zone reads the stream from `next_offset` now."""
        return is_first and now_ms >= self.next_read_ms

    def on_batch(self, batch: log.LogBatch, now_ms: int) -> list[str]:
        """Takes a batch up; returns the addresses that are new."""
        self.next_read_ms = now_ms + READ_INTERVAL_MS
        if not self.is_tail_known:
            self.is_tail_known = True
            if batch.head > self.next_offset + TAIL_RECORDS:
                self.next_offset = batch.head - TAIL_RECORDS + 1
                self.next_read_ms = now_ms
                return []
        found: list[str] = []
        for record in batch.records:
            self.next_offset = max(self.next_offset, record.offset + 1)
            contact = decode(record.payload, self.secret)
            found += contact.addresses[:ADDRESSES_PER_RECORD] if contact is not None else []
        new = [a for a in dict.fromkeys(found) if a not in (*self.addresses, self.own_address)]
        kept = dict.fromkeys([*reversed(found), *self.addresses])
        kept.pop(self.own_address, None)
        self.addresses = list(kept)[:MAX_ADDRESSES]
        return new[-MAX_ADDRESSES:]

    def on_error(self, now_ms: int) -> None:
        """Notes a failed read."""
        self.next_read_ms = now_ms + APPEND_RETRY_MS

    def take_append(
        self, is_first: bool, zone: str, peers: Iterable[str], now_ms: int
    ) -> bytes | None:
        """Payload to append now, if it is time; the first reader of a zone appends."""
        if not is_first:
            # Another node appends for the zone; after a takeover the new one appends soon.
            self.next_append_ms = max(self.next_append_ms, now_ms + APPEND_RETRY_MS)
            self.next_append_ms = min(self.next_append_ms, now_ms + FIRST_APPEND_MS[1])
            return None
        if now_ms < self.next_append_ms:
            return None
        self.next_append_ms = now_ms + APPEND_INTERVAL_MS
        others = sorted(set(peers) - {self.own_address})
        chosen = self.rng.sample(others, min(ADDRESSES_PER_RECORD - 1, len(others)))
        return encode(ContactRecord(zone, (self.own_address, *chosen)), self.secret)

    def on_appended(self, is_confirmed: bool, now_ms: int) -> None:
        """After a failed append the next one follows soon."""
        if not is_confirmed:
            self.next_append_ms = now_ms + APPEND_RETRY_MS
