"""Claims of UUIDv7 keys: records of streams `claims-N`, and their fold to the owner of each key.

The first claim of a key in the log decides its owner for good. Every batcher folds the same records
in the same order, so any number of batchers, repeated appends and late appends give one answer.
"""

import collections
import dataclasses

import msgspec
import xxhash

from buckthornstage import errors
from buckthornstage.idempotency import keys

FORMAT = 1
IDENTITY_BYTES = 16
BATCH_ID_BYTES = 16
BUCKET_MS = 3_600_000


@dataclasses.dataclass(frozen=True)
class Owner:
    """The only incarnation of the only node that may run a key."""

    node: str
    incarnation: int


class ClaimBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One record: `claims` maps key identities to indexes into `owners`, in order of arrival."""

    format: int
    batch_id: bytes
    owners: tuple[Owner, ...]
    claims: tuple[tuple[bytes, int], ...]


class _Header(msgspec.Struct, frozen=True):
    """The part of a record that all formats share."""

    format: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ClaimBatch)
_HEADER_DECODER = msgspec.msgpack.Decoder(_Header)


def stream_name(partition: int) -> str:
    """Stream of the log that holds the claims of a partition."""
    return f"claims-{partition}"


def partition_of(identity: bytes, partitions: int) -> int:
    """Partition of a key; the same on every node with the same `claim_partitions`."""
    return xxhash.xxh3_64_intdigest(identity) % partitions


def batchers_of(partition: int, nodes: collections.abc.Iterable[str]) -> list[str]:
    """The nodes of one zone by rendezvous hash; the first one batches the partition."""

    def weight(node: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{partition}/{node}".encode()), node

    return sorted(nodes, key=weight, reverse=True)


def make_batch(batch_id: bytes, claimed: dict[bytes, Owner]) -> ClaimBatch:
    """A batch that claims each key identity for its proposed owner."""
    owners = tuple(dict.fromkeys(claimed.values()))
    index = {owner: number for number, owner in enumerate(owners)}
    pairs = tuple((identity, index[owner]) for identity, owner in claimed.items())
    return ClaimBatch(FORMAT, batch_id, owners, pairs)


def encode(batch: ClaimBatch) -> bytes:
    """Payload of a log record."""
    return _ENCODER.encode(batch)


def decode(payload: bytes) -> ClaimBatch | None:
    """Decodes a payload; None for a malformed one, which every node ignores alike.

    Raises UnknownRulesError for a newer format: ignoring it would give another owner than a newer
    release sees.
    """
    try:
        record_format = _HEADER_DECODER.decode(payload).format
    except msgspec.MsgspecError:
        return None
    if record_format > FORMAT:
        raise errors.UnknownRulesError(
            f"a claim record has format {record_format}; this release knows {FORMAT}: upgrade it"
        )
    try:
        batch = _DECODER.decode(payload)
    except msgspec.MsgspecError:
        return None
    is_valid = len(batch.batch_id) == BATCH_ID_BYTES and all(
        len(identity) == IDENTITY_BYTES and 0 <= index < len(batch.owners)
        for identity, index in batch.claims
    )
    return batch if is_valid else None


class ClaimFold:
    """Owner of each claimed key of one partition.

    `next_offset` is the offset of the first record that is not folded yet. Keys are grouped by the
    hour of their creation, so that expired ones are dropped in groups.
    """

    def __init__(self) -> None:
        self.next_offset = 1
        self.owners: list[Owner] = []
        self.owner_index: dict[Owner, int] = {}
        self.buckets: dict[int, dict[bytes, int]] = {}

    def __len__(self) -> int:
        """Number of keys with a known owner."""
        return sum(map(len, self.buckets.values()))

    def apply(self, offset: int, batch: ClaimBatch | None) -> None:
        """Folds the record at `offset`; None stands for a malformed one.

        Records that were folded before are ignored. A gap is legitimate only where the log was
        trimmed: the retention exceeds the key window, so the lost claims are of expired keys.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        if batch is None:
            return
        indexes = [self._index(owner) for owner in batch.owners]
        for identity, index in batch.claims:
            bucket = self.buckets.setdefault(keys.created_ms(identity) // BUCKET_MS, {})
            bucket.setdefault(identity, indexes[index])

    def owner(self, identity: bytes) -> Owner | None:
        """Owner of a key by log order, or None when no folded record claims it."""
        bucket = self.buckets.get(keys.created_ms(identity) // BUCKET_MS, {})
        index = bucket.get(identity)
        return None if index is None else self.owners[index]

    def prune(self, created_before_ms: int) -> None:
        """Drops keys made before a wall time at which every node refuses them as expired."""
        for bucket in [b for b in self.buckets if (b + 1) * BUCKET_MS <= created_before_ms]:
            del self.buckets[bucket]

    def _index(self, owner: Owner) -> int:
        index = self.owner_index.get(owner)
        if index is None:
            index = self.owner_index[owner] = len(self.owners)
            self.owners.append(owner)
        return index
