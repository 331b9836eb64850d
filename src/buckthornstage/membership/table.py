"""Member table: merging of records, tombstones, and hashes for anti-entropy."""

from collections.abc import Iterable

import xxhash

from buckthornstage.membership import records

BUCKET_COUNT = 32
"""Buckets are compared separately, so that a difference only transfers a few rows."""

Row = tuple[int, int, int]
"""Precedence of a record: incarnation, sequence, status rank."""


def bucket_of(node: str) -> int:
    """Bucket of a node name; the same on every node."""
    return xxhash.xxh3_64_intdigest(node.encode()) % BUCKET_COUNT


def _row_hash(record: records.MemberRecord) -> int:
    return xxhash.xxh32_intdigest(f"{record.node} {record.precedence}".encode())


class MemberTable:
    """Newest known record of every member.

    Hashes exclude dead records: tombstones expire at different times on each node, which must not
    make the hashes differ. A dead record of an unknown node is ignored, as tombstones would
    otherwise circulate forever.
    """

    def __init__(self, tombstone_ms: int) -> None:
        self.tombstone_ms = tombstone_ms
        self.records: dict[str, records.MemberRecord] = {}
        self.died_ms: dict[str, int] = {}
        self.bucket_hashes = [0] * BUCKET_COUNT
        self.revision = 0
        """Incremented by every change; used to invalidate caches of the table."""
        self._zone_cache: dict[str, tuple[records.MemberRecord, ...]] = {}

    def get(self, node: str) -> records.MemberRecord | None:
        """Record of a node, including dead ones."""
        return self.records.get(node)

    def merge(self, record: records.MemberRecord, now_ms: int) -> bool:
        """Stores a record if it is newer than the current one; returns whether it was."""
        current = self.records.get(record.node)
        dead = record.status is records.MemberStatus.DEAD
        if current is None and dead:
            return False
        if current is not None and record.precedence <= current.precedence:
            return False
        self._toggle_hash(current)
        self._toggle_hash(record)
        self.records[record.node] = record
        if dead:
            self.died_ms[record.node] = now_ms
        else:
            self.died_ms.pop(record.node, None)
        self._changed()
        return True

    def _toggle_hash(self, record: records.MemberRecord | None) -> None:
        if record is not None and record.status is not records.MemberStatus.DEAD:
            self.bucket_hashes[bucket_of(record.node)] ^= _row_hash(record)

    def _changed(self) -> None:
        self.revision += 1
        self._zone_cache.clear()

    def expire(self, now_ms: int) -> None:
        """Removes tombstones that are at least `tombstone_ms` old."""
        old = [n for n, died in self.died_ms.items() if now_ms - died >= self.tombstone_ms]
        for node in old:
            del self.died_ms[node]
            del self.records[node]
        if old:
            self._changed()

    def digest(self) -> int:
        """Hash of all records that are not dead; equal tables have equal hashes."""
        packed = b"".join(value.to_bytes(4, "big") for value in self.bucket_hashes)
        return xxhash.xxh3_64_intdigest(packed)

    def rows(self, buckets: Iterable[int]) -> dict[str, Row]:
        """Precedence of every record in the given buckets, including dead ones."""
        wanted = set(buckets)
        return {n: r.precedence for n, r in self.records.items() if bucket_of(n) in wanted}

    def delta_since(
        self, rows: dict[str, Row], buckets: Iterable[int]
    ) -> tuple[list[records.MemberRecord], list[str]]:
        """Compares a peer's rows of some buckets with the table.

        Returns the records that are missing or older at the peer, and the names of those that are
        missing or older here. Dead records are not counted as missing.
        """
        own = self.rows(buckets)
        dead_rank = records.STATUS_RANK[records.MemberStatus.DEAD]
        ahead = [
            self.records[node]
            for node, row in own.items()
            if row > rows.get(node, (-1, 0, 0)) and (node in rows or row[2] != dead_rank)
        ]
        behind = [
            node
            for node, row in rows.items()
            if row > own.get(node, (-1, 0, 0)) and (node in own or row[2] != dead_rank)
        ]
        return ahead, behind

    def in_zone(self, zone: str) -> tuple[records.MemberRecord, ...]:
        """Members of a zone that are not dead, sorted by name."""
        if zone not in self._zone_cache:
            members = (r for r in self.records.values() if r.zone == zone)
            kept = (r for r in members if r.status is not records.MemberStatus.DEAD)
            self._zone_cache[zone] = tuple(sorted(kept, key=lambda record: record.node))
        return self._zone_cache[zone]

    def alive(self, zone: str) -> tuple[records.MemberRecord, ...]:
        """Members of a zone whose status is alive, sorted by name."""
        return tuple(r for r in self.in_zone(zone) if r.status is records.MemberStatus.ALIVE)

    def dead(self) -> tuple[records.MemberRecord, ...]:
        """Dead members whose tombstone has not expired."""
        return tuple(self.records[node] for node in self.died_ms)

    def zones(self) -> list[str]:
        """Sorted names of the zones that have members."""
        return sorted({record.zone for record in self.records.values()})
