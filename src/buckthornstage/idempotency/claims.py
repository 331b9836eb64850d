"""Claims of UUIDv7 keys: their records in the log, their fold to owners, and their batching.

The first claim of a key in streams `claims-N` decides its owner for good. Every batcher folds the
same records in the same order, so any number of batchers, repeated appends and late appends give
one response.

`ClaimBatcher` batches the requests of one partition: inputs and time in, effects out. A batch is
appended `batch_ms` after its first request. The stream is then read forward until the batch is
seen, and the fold up to there names the owners. After a lost response the stream is read to its
head before the same batch is appended again; a second copy changes nothing.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from buckthornstage import errors
from buckthornstage.idempotency import keys
from buckthornstage.membership import rendezvous
from buckthornstage.protocol import log, messages

FORMAT = 1
IDENTITY_BYTES = 16
BATCH_ID_BYTES = 16
BUCKET_MS = 3_600_000
MAX_CLAIMS_PER_BATCH = 2_000  # about 50 KB
MAX_WAITING = 20_000
READ_LIMIT = 1_000
MAX_CLAIMED_KEYS = 1_500_000  # 150 MB at 101 bytes a key; a node may use 256 MB for control
CATCH_UP_MS = 5_000  # only keeps the fold of an idle partition near the head; requests read further
RETRY_MS = 100
MAX_RETRY_MS = 1_000  # a fifth of the default claim timeout, so an outage's end is noticed in time


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


def batchers_of(partition: int, nodes: Iterable[str]) -> list[str]:
    """The nodes of one zone by rendezvous hash; the first one batches the partition."""
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


@dataclasses.dataclass(frozen=True)
class Append:
    """Append a record; report by `on_append`, `on_append_refused` or `on_append_lost`."""

    stream: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Read:
    """Read records from `offset` on; report by `on_read` or `on_read_failed`."""

    stream: str
    offset: int
    limit: int


@dataclasses.dataclass(frozen=True)
class Respond:
    """Send a verdict to the node that asked; it may be lost."""

    address: str
    verdict: messages.ClaimVerdict


Effect = Append | Read | Respond


@dataclasses.dataclass(frozen=True)
class _Asked:
    """One request that waits for a verdict until `expires_ms` (monotonic)."""

    address: str
    request_id: int
    key: keys.CallerKey
    owner: Owner
    expires_ms: int


class ClaimBatcher:
    """Batcher of one partition. At most one append or read is under way at a time.

    `now_ms` is monotonic time; `wall_ms` is wall time that never runs backwards.
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
        self.asked: dict[tuple[str, bytes], _Asked] = {}
        self.batch: ClaimBatch | None = None
        self.is_appended = False
        self.is_busy = False
        self.is_full = False
        self.next_ms = 0
        self.catch_up_ms = 0
        self.failures = 0

    def request(
        self, address: str, message: messages.ClaimRequest, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        """Takes a request; answers at once when the owner is known already.

        A request for no valid key of the window is ignored. A repeated one waits once.
        """
        key = keys.caller_key(message.key)
        if key is None or self._is_expired(key, wall_ms):
            return []
        if known := self.fold.owner(key.identity):
            return [_respond(address, message.request_id, key, known)]
        if len(self.asked) < MAX_WAITING:
            if not self.asked and self.batch is None:
                self.next_ms = max(self.next_ms, now_ms + self.batch_ms)
            owner = Owner(message.owner_node, message.owner_incarnation)
            expires_ms = now_ms + self.timeout_ms
            asked = _Asked(address, message.request_id, key, owner, expires_ms)
            place = (address, key.identity)
            # A restarted node asks for its new incarnation; the old one can run nothing any more.
            if place not in self.asked or self.asked[place].owner.incarnation < owner.incarnation:
                self.asked[place] = asked
        return []

    def due_ms(self) -> int | None:
        """Monotonic time of the next useful tick; None while a call to the log is under way."""
        if self.is_busy:
            return None
        return self.next_ms if self.asked or self.batch else max(self.catch_up_ms, self.next_ms)

    def tick(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Starts the next append or read when it is due."""
        if self.is_busy or now_ms < self.due_ms():
            return []
        self.fold.prune(wall_ms - self.key_window_ms - keys.KEEP_MARGIN_MS)
        self._drop_expired(now_ms, wall_ms)
        if len(self.fold) >= MAX_CLAIMED_KEYS:
            # Forgetting a claim could give its key a second owner, so no new key is claimed until
            # old ones expire. Known keys are still answered.
            self.next_ms = now_ms + MAX_RETRY_MS
            self.is_full = True
            return []
        self.is_full = False
        if self.batch is None and self.asked:
            self._make_batch()
        self.is_busy = True
        if self.batch is not None and not self.is_appended:
            return [Append(self.stream, encode(self.batch))]
        return [Read(self.stream, self.fold.next_offset, READ_LIMIT)]

    def on_append(self) -> None:
        """The batch is in the log; it is read back next."""
        self._succeeded()
        self.is_appended = True

    def on_append_lost(self, now_ms: int) -> None:
        """The batch may be in the log: it is looked for before it is appended again."""
        self._failed(now_ms)
        self.is_appended = True

    def on_append_refused(self, now_ms: int) -> None:
        """The append had no effect; it is tried again later."""
        self._failed(now_ms)

    def on_read_failed(self, now_ms: int) -> None:
        """The read failed; it is tried again later."""
        self._failed(now_ms)

    def on_read(self, batch: log.LogBatch, now_ms: int, wall_ms: int) -> list[Effect]:
        """Folds records and answers the requests whose keys they decide.

        Raises UnknownRulesError at a record of a newer format; the records before it are folded.
        """
        self._succeeded()
        if self.batch is not None:
            self.next_ms = now_ms
        self.fold.next_offset = max(self.fold.next_offset, batch.earliest)
        for record in batch.records:
            if record.offset < self.fold.next_offset:
                continue
            decoded = decode(record.payload)
            self.fold.apply(record.offset, decoded)
            if self.batch and decoded and decoded.batch_id == self.batch.batch_id:
                self._finish_batch(now_ms)
        if self.fold.next_offset > batch.head:
            self.catch_up_ms = now_ms + CATCH_UP_MS
            if self.batch is not None and self.is_appended:
                # The whole stream was read without the batch: the append had no effect so far.
                self.is_appended = False
                self._failed(now_ms)
        return self._responses(wall_ms)

    def _finish_batch(self, now_ms: int) -> None:
        self.batch = None
        self.is_appended = False
        self.next_ms = now_ms + self.batch_ms

    def _responses(self, wall_ms: int) -> list[Effect]:
        """Verdicts for the requests whose key has an owner; their first claim cannot change."""
        responses: list[Effect] = []
        for place, asked in list(self.asked.items()):
            owner = self.fold.owner(asked.key.identity)
            if owner is None:
                continue
            del self.asked[place]
            # A pause may have let the key expire and its first claim be pruned.
            if not self._is_expired(asked.key, wall_ms):
                responses.append(_respond(asked.address, asked.request_id, asked.key, owner))
        return responses

    def _make_batch(self) -> None:
        claimed: dict[bytes, Owner] = {}
        for asked in self.asked.values():
            if len(claimed) < MAX_CLAIMS_PER_BATCH:
                claimed.setdefault(asked.key.identity, asked.owner)
        self.batch = make_batch(self.new_batch_id(), claimed)
        self.is_appended = False

    def _drop_expired(self, now_ms: int, wall_ms: int) -> None:
        for place, asked in list(self.asked.items()):
            if asked.expires_ms <= now_ms or self._is_expired(asked.key, wall_ms):
                del self.asked[place]
        if not self.asked:
            self.batch = None

    def _is_expired(self, key: keys.CallerKey, wall_ms: int) -> bool:
        """Whether no node accepts the key any more, also one whose clock is a minute behind."""
        return wall_ms - key.created_ms > self.key_window_ms + keys.MAX_FUTURE_MS

    def _succeeded(self) -> None:
        self.is_busy = False
        self.failures = 0

    def _failed(self, now_ms: int) -> None:
        self.is_busy = False
        delay_ms = min(MAX_RETRY_MS, RETRY_MS * 2 ** min(self.failures, 10))
        self.failures += 1
        self.next_ms = now_ms + round(delay_ms * self.rng.uniform(0.5, 1.0))


def _respond(address: str, request_id: int, key: keys.CallerKey, owner: Owner) -> Respond:
    verdict = messages.ClaimVerdict(request_id, key.text, owner.node, owner.incarnation)
    return Respond(address, verdict)
