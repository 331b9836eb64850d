"""Folds stream `config` batch by batch; recovers from a checkpoint if the stream was trimmed."""

import collections

import msgspec

from buckthornstage import errors
from buckthornstage.document import acceptance, checkpoints, state
from buckthornstage.history import events
from buckthornstage.protocol import log

VERDICTS_LIMIT = 1_024  # publishes
DIGESTS_LIMIT = 1_024  # offsets


class CheckpointEvent(msgspec.Struct, frozen=True):
    """A checkpoint was loaded, or did not match this reader's own state.

    `kind` is CHECKPOINT_LOADED or CHECKPOINT_MISMATCH; `node` wrote the record at `offset`.
    """

    kind: events.EventKind
    offset: int
    upto: int
    node: str
    detail: str


Outcome = acceptance.Verdict | CheckpointEvent


class LogFold:
    """Accepted state computed from the log.

    Read the stream from `next_offset` and pass each batch to `apply`. Records before
    `earliest` are known to be trimmed.
    """

    def __init__(
        self,
        root_public_key: str,
        secret: bytes,
        policy: checkpoints.CheckpointPolicy | None = None,
        initial: state.DocumentState | None = None,
    ) -> None:
        self.root_public_key = root_public_key
        self.secret = secret
        self.policy = policy or checkpoints.CheckpointPolicy()
        self.state = initial or state.empty()
        self.verdicts: collections.deque[acceptance.Verdict] = collections.deque(
            maxlen=VERDICTS_LIMIT
        )
        self.digests: collections.OrderedDict[int, str] = collections.OrderedDict()
        self.earliest = 1
        self.scan_offset: int | None = None
        self._record_digest(state.digest(self.state))

    @property
    def next_offset(self) -> int:
        """Offset to read from next; after a trim, the position of the checkpoint scan."""
        if self.scan_offset is not None:
            return max(self.scan_offset, self.state.last_offset + 1)
        return self.state.last_offset + 1

    @property
    def is_trimmed(self) -> bool:
        """Whether the record after the state is no longer retained; a checkpoint is needed."""
        return self.state.last_offset + 1 < self.earliest

    def apply(self, batch: log.LogBatch, now_ms: int) -> list[Outcome]:
        """Folds the records that follow the state; others are skipped.

        If a record needs a newer release, the outcomes before it are returned first; the next
        call, which begins with that record, raises UnknownRulesError.
        """
        self.earliest = max(self.earliest, batch.earliest)
        if self.is_trimmed:
            loaded = self._recover(batch, now_ms)
            if loaded is None:
                return []
            outcomes: list[Outcome] = [loaded]
        else:
            outcomes = []
        self.scan_offset = None
        for record in batch.records:
            if record.offset <= self.state.last_offset:
                continue
            if record.offset != self.state.last_offset + 1:
                break  # the batch was read before the state was adopted or recovered; read again
            try:
                outcomes.extend(self._apply_record(record, now_ms))
            except errors.UnknownRulesError:
                if not outcomes:
                    raise
                break
        return outcomes

    def adopt(self, newer: state.DocumentState) -> bool:
        """Replaces the state by one from a peer if that is newer and does not contradict this one.

        A version at an offset that this reader already processed without accepting it is refused.
        """
        current = self.state
        if newer.version == current.version:
            is_newer = newer.last_offset > current.last_offset
            is_newer = is_newer and state.digest(newer) == self.digests[current.last_offset]
        else:
            is_newer = newer.version > current.last_offset
        if not is_newer or not acceptance.is_usable(newer):
            return False
        self._set_state(newer)
        return True

    def needs_checkpoint(self, now_ms: int, rank: int) -> bool:
        """Whether to append `make_checkpoint` now; after True it returns False for `REPEAT_MS`."""
        if self.state.last_offset == 0 or self.is_trimmed:
            return False
        return self.policy.request_if_due(now_ms, rank)

    def make_checkpoint(self, node: str) -> bytes:
        """Payload of a checkpoint of the current state."""
        return checkpoints.make(self.state, node, self.secret)

    def _apply_record(self, record: log.LogRecord, now_ms: int) -> list[Outcome]:
        before = self.state
        self.state, verdict = acceptance.fold(
            before, record.offset, record.payload, self.root_public_key
        )
        is_changed = self.state.version != before.version
        self._record_digest(
            state.digest(self.state) if is_changed else self.digests[before.last_offset]
        )
        if verdict is None:
            return self._compare(record, now_ms)
        self.verdicts.append(verdict)
        self.policy.on_record(now_ms)
        return [verdict]

    def _compare(self, record: log.LogRecord, now_ms: int) -> list[Outcome]:
        checkpoint = checkpoints.decode(record.payload, self.secret)
        if checkpoint is None or checkpoint.upto >= record.offset:
            return []
        own = self.digests.get(checkpoint.upto)
        if own is None or own == checkpoint.digest:
            self.policy.on_checkpoint(now_ms)
            return []
        detail = f"own digest {own}, checkpoint has {checkpoint.digest}; the checkpoint is ignored"
        return [
            CheckpointEvent(
                events.EventKind.CHECKPOINT_MISMATCH,
                record.offset,
                checkpoint.upto,
                checkpoint.node,
                detail,
            )
        ]

    def _recover(self, batch: log.LogBatch, now_ms: int) -> CheckpointEvent | None:
        """Loads the newest usable checkpoint of the batch, or moves the scan past the batch."""
        for record in reversed(batch.records):
            candidate = checkpoints.accept(record.payload, self.secret)
            if candidate is None or candidate.last_offset >= record.offset:
                continue
            if (
                candidate.last_offset + 1 < self.earliest
                or candidate.last_offset <= self.state.last_offset
            ):
                continue
            if candidate.version < self.state.version:
                continue
            checkpoint = checkpoints.decode(record.payload, self.secret)
            self._set_state(candidate)
            self.policy.on_checkpoint(now_ms)
            return CheckpointEvent(
                events.EventKind.CHECKPOINT_LOADED,
                record.offset,
                candidate.last_offset,
                checkpoint.node,
                f"version {candidate.version}",
            )
        last = batch.records[-1].offset + 1 if batch.records else self.earliest
        self.scan_offset = max(last, self.earliest)
        return None

    def _set_state(self, newer: state.DocumentState) -> None:
        self.state = newer
        self.scan_offset = None
        self._record_digest(state.digest(newer))

    def _record_digest(self, digest: str) -> None:
        self.digests[self.state.last_offset] = digest
        while len(self.digests) > DIGESTS_LIMIT:
            self.digests.popitem(last=False)
