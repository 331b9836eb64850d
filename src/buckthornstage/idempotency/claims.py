"""Claims of UUIDv7 keys: their records in the log, the owners they give, and their batching.

The first claim of a key in a stream `claims-N` decides its owner permanently. Every batcher applies
the same records in the same order, so any number of batchers, duplicate appends and delayed appends
give the same owner.

`ClaimBatcher` batches the requests of one partition. It does no I/O: it gets inputs and the time,
and returns effects. A batch is appended `batch_ms` after its first request. The stream is then
read until the batch is seen, and the records up to there give the owners. When the response to an
append is lost, the stream is read to its head before the same batch is appended again; a duplicate
changes nothing.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from buckthornstage import decoding, errors
from buckthornstage.idempotency import keys
from buckthornstage.membership import rendezvous
from buckthornstage.protocol import log, messages

FORMAT = 1
IDENTITY_BYTES = 16
BATCH_ID_BYTES = 16
BUCKET_MS = 3_600_000
MAX_CLAIMS_PER_BATCH = 2_000  # about 50 KB
MAX_PENDING_REQUESTS = 20_000
READ_LIMIT = 1_000
MAX_CLAIMED_KEYS = 1_500_000  # 150 MB at 101 bytes a key; a node may use 256 MB for control
# Keeps the owners of an idle partition near the head of the log; requests trigger further reads.
CATCH_UP_INTERVAL_MS = 5_000
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 1_000  # a fifth of the default claim timeout, to detect the end of an outage in time


@dataclasses.dataclass(frozen=True)
class Owner:
    """The only node incarnation that may run the call of a key."""

    node: str
    incarnation: int


class ClaimBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One record: `claims` maps key identities to indexes into `owners`, in order of arrival."""

    format: int
    batch_id: bytes
    owners: tuple[Owner, ...]
    claims: tuple[tuple[bytes, int], ...]


class _Header(msgspec.Struct, frozen=True):
    """The field that records of all formats have."""

    format: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ClaimBatch)
_HEADER_DECODER = msgspec.msgpack.Decoder(_Header)


def stream_name(partition: int) -> str:
    """Stream of the log that holds the claims of a partition."""
    return f"claims-{partition}"


def partition_of(identity: bytes, partitions: int) -> int:
    """Partition of a key; the same on every node with the same `partitions`."""
    return xxhash.xxh3_64_intdigest(identity) % partitions


def batchers_of(partition: int, nodes: Iterable[str]) -> list[str]:
    """The nodes of one zone in rendezvous hash order; the first is the partition's batcher."""
    return rendezvous.ordered(partition, nodes)


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
    """Decodes a payload; None for a malformed one, which every node ignores.

    Raises UnknownRulesError for a newer format: if it were ignored, this node would find other
    owners than nodes of a newer release.
    """
    try:
        record_format = decoding.decode(_HEADER_DECODER, payload).format
    except msgspec.MsgspecError:
        return None
    if record_format > FORMAT:
        raise errors.UnknownRulesError(
            f"a claim record has format {record_format}; this node reads {FORMAT}: upgrade the node"
        )
    try:
        batch = decoding.decode(_DECODER, payload)
    except msgspec.MsgspecError:
        return None
    is_valid = len(batch.batch_id) == BATCH_ID_BYTES and all(
        len(identity) == IDENTITY_BYTES and 0 <= index < len(batch.owners)
        for identity, index in batch.claims
    )
    return batch if is_valid else None


class ClaimFold:
    """Owner of each claimed key of one partition.

    `next_offset` is the offset of the first record that is not applied yet. Keys are bucketed by
    the hour of their creation, so that expired ones are dropped a bucket at a time.
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
        """Folds the record at `offset`; `batch` is None for a malformed record.

        Records that were already applied are ignored. Offsets may be missing only where the log was
        trimmed: the retention exceeds the key window, so the trimmed claims are of expired keys.
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
        """Owner by the first claim of the key, or None when no applied record claims it."""
        bucket = self.buckets.get(keys.created_ms(identity) // BUCKET_MS, {})
        index = bucket.get(identity)
        return None if index is None else self.owners[index]

    def prune(self, created_before_ms: int) -> None:
        """Drops keys made before a wall time; every node must already refuse them as expired."""
        for bucket in [b for b in self.buckets if (b + 1) * BUCKET_MS <= created_before_ms]:
            del self.buckets[bucket]

    def _index(self, owner: Owner) -> int:
        index = self.owner_index.get(owner)
        if index is None:
            index = self.owner_index[owner] = len(self.owners)
            self.owners.append(owner)
        return index


@dataclasses.dataclass(frozen=True)
class Append:
    """Effect: append a record; `on_append`, `on_append_refused` or `on_append_lost` follows."""

    stream: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Read:
    """Effect: read records from `offset` on; `on_read` or `on_read_failed` follows."""

    stream: str
    offset: int
    limit: int


@dataclasses.dataclass(frozen=True)
class Respond:
    """Effect: send a verdict to the requesting node; the message may be lost."""

    address: str
    verdict: messages.ClaimVerdict


Effect = Append | Read | Respond


@dataclasses.dataclass(frozen=True)
class _PendingRequest:
    """A request without a verdict; dropped at `expires_ms` (monotonic)."""

    address: str
    request_id: int
    key: keys.CallerKey
    owner: Owner
    expires_ms: int


class ClaimBatcher:
    """Batcher of one partition. At most one append or read is in progress at a time.

    `now_ms` is monotonic time; `wall_ms` is wall time that never goes backwards.
    """

    def __init__(
        self,
        partition: int,
        batch_ms: int,
        timeout_ms: int,
        key_window_ms: int,
        new_batch_id: Callable[[], bytes],
        rng: random.Random,
    ) -> None:
        self.stream = stream_name(partition)
        self.batch_ms = batch_ms
        self.timeout_ms = timeout_ms
        self.key_window_ms = key_window_ms
        self.new_batch_id = new_batch_id
        self.rng = rng
        self.fold = ClaimFold()
        self.pending: dict[tuple[str, bytes], _PendingRequest] = {}
        self.batch: ClaimBatch | None = None
        self.is_appended = False
        self.is_log_call_running = False
        self.is_full = False
        self.next_call_ms = 0
        self.next_catch_up_ms = 0
        self.failures = 0

    def request(
        self, address: str, message: messages.ClaimRequest, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        """Queues a request, or returns the verdict when the owner is already known.

        A request with an invalid or expired key is ignored. A duplicate is queued once.
        """
        key = keys.caller_key(message.key)
        if key is None or self._is_expired(key, wall_ms):
            return []
        if known := self.fold.owner(key.identity):
            return [_respond(address, message.request_id, key, known)]
        if len(self.pending) < MAX_PENDING_REQUESTS:
            if not self.pending and self.batch is None:
                self.next_call_ms = max(self.next_call_ms, now_ms + self.batch_ms)
            owner = Owner(message.owner_node, message.owner_incarnation)
            expires_ms = now_ms + self.timeout_ms
            pending = _PendingRequest(address, message.request_id, key, owner, expires_ms)
            pending_key = (address, key.identity)
            # A restarted node claims for its new incarnation; the old one can't run calls any more.
            if (
                pending_key not in self.pending
                or self.pending[pending_key].owner.incarnation < owner.incarnation
            ):
                self.pending[pending_key] = pending
        return []

    def due_ms(self) -> int | None:
        """Monotonic time of the next tick with work; None while a log call is in progress."""
        if self.is_log_call_running:
            return None
        return (
            self.next_call_ms
            if self.pending or self.batch
            else max(self.next_catch_up_ms, self.next_call_ms)
        )

    def tick(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Starts the next append or read when it is due."""
        if self.is_log_call_running or now_ms < self.due_ms():
            return []
        self.fold.prune(wall_ms - self.key_window_ms - keys.RETENTION_MARGIN_MS)
        self._drop_expired(now_ms, wall_ms)
        if len(self.fold) >= MAX_CLAIMED_KEYS:
            # Dropping a claim could give its key a second owner, so no new key is claimed until
            # old ones expire. Requests for claimed keys still get a verdict.
            self.next_call_ms = now_ms + MAX_RETRY_MS
            self.is_full = True
            return []
        self.is_full = False
        if self.batch is None and self.pending:
            self._make_batch()
        self.is_log_call_running = True
        if self.batch is not None and not self.is_appended:
            return [Append(self.stream, encode(self.batch))]
        return [Read(self.stream, self.fold.next_offset, READ_LIMIT)]

    def on_append(self) -> None:
        """The batch is in the log and is read back next."""
        self._on_success()
        self.is_appended = True

    def on_append_lost(self, now_ms: int) -> None:
        """The batch may be in the log, so the stream is read before it is appended again."""
        self._on_failure(now_ms)
        self.is_appended = True

    def on_append_refused(self, now_ms: int) -> None:
        """The append had no effect and is retried after a back-off."""
        self._on_failure(now_ms)

    def on_read_failed(self, now_ms: int) -> None:
        """The read failed and is retried after a back-off."""
        self._on_failure(now_ms)

    def on_read(self, batch: log.LogBatch, now_ms: int, wall_ms: int) -> list[Effect]:
        """Folds records and returns the verdicts on requests whose keys now have an owner.

        Raises UnknownRulesError at a record of a newer format; the records before it are applied.
        """
        self._on_success()
        if self.batch is not None:
            self.next_call_ms = now_ms
        self.fold.next_offset = max(self.fold.next_offset, batch.earliest)
        for record in batch.records:
            if record.offset < self.fold.next_offset:
                continue
            decoded = decode(record.payload)
            self.fold.apply(record.offset, decoded)
            if self.batch and decoded and decoded.batch_id == self.batch.batch_id:
                self._finish_batch(now_ms)
        if self.fold.next_offset > batch.head:
            self.next_catch_up_ms = now_ms + CATCH_UP_INTERVAL_MS
            if self.batch is not None and self.is_appended:
                # The stream was read to its head without the batch: the append had no effect yet.
                self.is_appended = False
                self._on_failure(now_ms)
        return self._responses(wall_ms)

    def _finish_batch(self, now_ms: int) -> None:
        self.batch = None
        self.is_appended = False
        self.next_call_ms = now_ms + self.batch_ms

    def _responses(self, wall_ms: int) -> list[Effect]:
        """Removes the requests whose key has an owner, and returns their verdicts."""
        responses: list[Effect] = []
        for pending_key, pending in list(self.pending.items()):
            owner = self.fold.owner(pending.key.identity)
            if owner is None:
                continue
            del self.pending[pending_key]
            # After a pause the key may have expired and its first claim may have been pruned.
            if not self._is_expired(pending.key, wall_ms):
                responses.append(_respond(pending.address, pending.request_id, pending.key, owner))
        return responses

    def _make_batch(self) -> None:
        claimed: dict[bytes, Owner] = {}
        for pending in self.pending.values():
            if len(claimed) < MAX_CLAIMS_PER_BATCH:
                claimed.setdefault(pending.key.identity, pending.owner)
        self.batch = make_batch(self.new_batch_id(), claimed)
        self.is_appended = False

    def _drop_expired(self, now_ms: int, wall_ms: int) -> None:
        for pending_key, pending in list(self.pending.items()):
            if pending.expires_ms <= now_ms or self._is_expired(pending.key, wall_ms):
                del self.pending[pending_key]
        if not self.pending:
            self.batch = None

    def _is_expired(self, key: keys.CallerKey, wall_ms: int) -> bool:
        """Whether no node accepts the key any more, even one whose clock is a minute behind."""
        return wall_ms - key.created_ms > self.key_window_ms + keys.MAX_FUTURE_MS

    def _on_success(self) -> None:
        self.is_log_call_running = False
        self.failures = 0

    def _on_failure(self, now_ms: int) -> None:
        self.is_log_call_running = False
        delay_ms = min(MAX_RETRY_MS, INITIAL_RETRY_MS * 2 ** min(self.failures, 10))
        self.failures += 1
        self.next_call_ms = now_ms + round(delay_ms * self.rng.uniform(0.5, 1.0))


def _respond(address: str, request_id: int, key: keys.CallerKey, owner: Owner) -> Respond:
    verdict = messages.ClaimVerdict(request_id, key.text, owner.node, owner.incarnation)
    return Respond(address, verdict)
