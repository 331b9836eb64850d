"""Checkpoints: authenticated copies of the accepted state in stream `config`."""

import dataclasses
import hashlib
import hmac

import msgspec

from buckthornstage.document import acceptance, schema, state

RANK_DELAY_MS = 2_000  # stagger between log readers, so that usually only one appends
# A checkpoint that is not read back from the log within this time is appended again.
REPEAT_MS = 10_000

_DECODER = msgspec.msgpack.Decoder(schema.Checkpoint)


def make(current: state.DocumentState, node: str, secret: bytes) -> bytes:
    """Returns the log payload of a checkpoint of `current`, authenticated by the mesh secret."""
    checkpoint = schema.Checkpoint(
        upto=current.last_offset,
        state=state.encode(current),
        digest=state.digest(current),
        node=node,
    )
    return schema.encode_record(msgspec.structs.replace(checkpoint, mac=_mac(checkpoint, secret)))


def decode(payload: bytes, secret: bytes) -> schema.Checkpoint | None:
    """Returns the checkpoint in a log payload, or None for another record or a wrong MAC."""
    try:
        checkpoint = _DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    unsigned = msgspec.structs.replace(checkpoint, mac=b"")
    return checkpoint if hmac.compare_digest(checkpoint.mac, _mac(unsigned, secret)) else None


def accept(payload: bytes, secret: bytes) -> state.DocumentState | None:
    """Returns the state in a checkpoint payload.

    None for any other record, a wrong MAC or digest, a `last_offset` that differs from `upto`, and
    a state that this release does not support.
    """
    checkpoint = decode(payload, secret)
    if checkpoint is None:
        return None
    try:
        decoded = state.decode(checkpoint.state)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    if decoded.last_offset != checkpoint.upto or state.digest(decoded) != checkpoint.digest:
        return None
    return decoded if acceptance.is_usable(decoded) else None


def _mac(unsigned: schema.Checkpoint, secret: bytes) -> bytes:
    return hmac.digest(secret, schema.encode_record(unsigned), hashlib.sha256)


@dataclasses.dataclass
class CheckpointPolicy:
    """Decides when a reader appends a checkpoint. Times are monotonic ms."""

    records: int = 64  # publishes since the last checkpoint
    interval_ms: int = 600_000
    records_since_checkpoint: int = 0
    interval_start_ms: int | None = None
    due_ms: int | None = None
    requested_ms: int | None = None

    def on_record(self, now_ms: int) -> None:
        """Counts a publish that was applied to the state."""
        self.records_since_checkpoint += 1
        self._start_interval(now_ms)

    def on_checkpoint(self, now_ms: int) -> None:
        """Resets the counters after a valid checkpoint."""
        self.records_since_checkpoint = 0
        self.interval_start_ms = now_ms
        self.due_ms = self.requested_ms = None

    def request_if_due(self, now_ms: int, rank: int) -> bool:
        """True if a reader of this rank should append now; then False for `REPEAT_MS`."""
        self._start_interval(now_ms)
        if (
            self.records_since_checkpoint >= self.records
            or now_ms - self.interval_start_ms >= self.interval_ms
        ):
            self.due_ms = now_ms if self.due_ms is None else self.due_ms
        if self.due_ms is None or now_ms < self.due_ms + rank * RANK_DELAY_MS:
            return False
        if self.requested_ms is not None and now_ms < self.requested_ms + REPEAT_MS:
            return False
        self.requested_ms = now_ms
        return True

    def _start_interval(self, now_ms: int) -> None:
        if self.interval_start_ms is None:
            self.interval_start_ms = now_ms
