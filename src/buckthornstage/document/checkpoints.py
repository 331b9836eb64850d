"""Checkpoints: authenticated copies of the accepted state in stream `config`."""

import dataclasses
import hashlib
import hmac

import msgspec

from buckthornstage.document import acceptance, schema, state

RANK_DELAY_MS = 2_000  # between readers, so that usually one appends
# A request whose record does not come back through the log in this time is repeated.
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
    """Returns the checkpoint in a log payload, or None if it is another record or forged."""
    try:
        checkpoint = _DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    unsigned = msgspec.structs.replace(checkpoint, mac=b"")
    return checkpoint if hmac.compare_digest(checkpoint.mac, _mac(unsigned, secret)) else None


def accept(payload: bytes, secret: bytes) -> state.DocumentState | None:
    """Returns the state in a checkpoint payload.

    None for any other record, a wrong MAC or digest, an inner offset that differs from `upto`, and
    a state that this release does not understand.
    """
    checkpoint = decode(payload, secret)
    if checkpoint is None:
        return None
    try:
        held = state.decode(checkpoint.state)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    if held.last_offset != checkpoint.upto or state.digest(held) != checkpoint.digest:
        return None
    return held if acceptance.is_usable(held) else None


def _mac(unsigned: schema.Checkpoint, secret: bytes) -> bytes:
    return hmac.digest(secret, schema.encode_record(unsigned), hashlib.sha256)


@dataclasses.dataclass
class CheckpointPolicy:
    """Decides when a reader appends a checkpoint. Times are monotonic ms."""

    records: int = 64
    interval_ms: int = 600_000
    records_since: int = 0
    seen_ms: int | None = None
    due_ms: int | None = None
    requested_ms: int | None = None

    def on_record(self, now_ms: int) -> None:
        """Counts a publish that was folded."""
        self.records_since += 1
        self._start(now_ms)

    def on_checkpoint(self, now_ms: int) -> None:
        """A valid checkpoint was seen, so counting begins again."""
        self.records_since = 0
        self.seen_ms = now_ms
        self.due_ms = self.requested_ms = None

    def take(self, now_ms: int, rank: int) -> bool:
        """Says whether the reader of this rank appends now; then stays false for `REPEAT_MS`."""
        self._start(now_ms)
        if self.records_since >= self.records or now_ms - self.seen_ms >= self.interval_ms:
            self.due_ms = now_ms if self.due_ms is None else self.due_ms
        if self.due_ms is None or now_ms < self.due_ms + rank * RANK_DELAY_MS:
            return False
        if self.requested_ms is not None and now_ms < self.requested_ms + REPEAT_MS:
            return False
        self.requested_ms = now_ms
        return True

    def _start(self, now_ms: int) -> None:
        if self.seen_ms is None:
            self.seen_ms = now_ms
