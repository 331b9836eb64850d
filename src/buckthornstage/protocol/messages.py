"""Messages between nodes. All are one-way and may be lost, duplicated or reordered."""

from collections.abc import Iterable

import msgspec

from buckthornstage.document import state
from buckthornstage.history import events
from buckthornstage.membership import records


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True, forbid_unknown_fields=True):
    """Base of all messages between nodes.

    Encoding as arrays instead of maps halves a `Digest`, which is most of the idle traffic.
    """


class Ping(Message, frozen=True):
    """Probe; the receiver replies with `Ack(nonce)` to the address of the sender."""

    nonce: int


class Ack(Message, frozen=True):
    """Reply to a probe, direct or through an intermediary."""

    nonce: int


class PingRequest(Message, frozen=True):
    """Indirect probe: asks the receiver to ping another node and to forward its `Ack`."""

    nonce: int
    target_address: str


class Digest(Message, frozen=True):
    """Summary of a node's state, which starts an anti-entropy exchange.

    `members_hash` is `MemberTable.digest()`. `log_heard_age_ms` is the age of the newest read
    of the log that the sender knows of in its zone (-1: never), made by `log_reader`;
    `log_read_age_ms` is the age of the sender's own newest read of the log's head, and
    `zones_heard_age_ms` that of the newest message that its zone received from another zone. A
    sender that is not ready sets a `nonce`; the reply repeats it, so that the sender knows when it
    asked and how old the reply can be.
    """

    version: int
    state_digest: str
    members_hash: int
    log_heard_age_ms: int
    is_reply: bool = False
    log_reader: str = ""
    log_read_age_ms: int = -1
    zones_heard_age_ms: int = -1
    nonce: int = 0


class ConfigDelta(Message, frozen=True):
    """Sections changed between `base_version` and `version`; sections are never removed."""

    base_version: int
    version: int
    rules: int
    state_digest: str
    changed: dict[str, state.SectionState]
    last_offset: int
    recent_ids: tuple[int, ...]


class ConfigFull(Message, frozen=True):
    """The whole accepted state."""

    document: state.DocumentState
    state_digest: str


class ConfigRequest(Message, frozen=True):
    """Asks the receiver for a `ConfigFull` if its version is newer than `version`."""

    version: int


class MemberSummaryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One row of a member summary; `status_rank` follows membership.records.STATUS_RANK."""

    node: str
    incarnation: int
    sequence: int
    status_rank: int


class MemberBuckets(Message, frozen=True):
    """Hash of each bucket of a member table; the receiver replies with the rows that differ."""

    hashes: tuple[int, ...]


class MemberSummary(Message, frozen=True):
    """All rows of some buckets of a member table.

    The receiver replies with the records that the sender lacks, and requests those it lacks.
    """

    buckets: tuple[int, ...]
    entries: tuple[MemberSummaryEntry, ...]


class MemberRequest(Message, frozen=True):
    """Requests the records of the named nodes."""

    nodes: tuple[str, ...]


class MemberDelta(Message, frozen=True):
    """Member records that the receiver may lack."""

    packed: tuple[records.PackedMember, ...]

    @classmethod
    def of(cls, members: Iterable[records.MemberRecord]) -> "MemberDelta":
        """Message with these records."""
        return cls(tuple(map(records.pack, members)))

    def members(self) -> list[records.MemberRecord]:
        """The records of this message."""
        return list(map(records.unpack, self.packed))


class CrashReport(Message, frozen=True):
    """A request with this fingerprint crashed this target while it ran."""

    fingerprint: str
    target: str
    target_incarnation: int


class ClaimRequest(Message, frozen=True):
    """Asks the node that batches the claims of the key's partition to claim it for the owner."""

    request_id: int
    key: str
    owner_node: str
    owner_incarnation: int


class ClaimVerdict(Message, frozen=True):
    """Owner of a key as determined by log order."""

    request_id: int
    key: str
    owner_node: str
    owner_incarnation: int


class HistoryBatch(Message, frozen=True):
    """Events not yet acknowledged, oldest first."""

    events: tuple[events.Event, ...]


class HistoryAck(Message, frozen=True):
    """All events of the receiver's incarnation up to `sequence` are in the log."""

    incarnation: int
    sequence: int


AnyMessage = (
    Ping
    | Ack
    | PingRequest
    | Digest
    | ConfigDelta
    | ConfigFull
    | ConfigRequest
    | MemberBuckets
    | MemberSummary
    | MemberRequest
    | MemberDelta
    | CrashReport
    | ClaimRequest
    | ClaimVerdict
    | HistoryBatch
    | HistoryAck
)


class Envelope(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A message with its sender (node, incarnation, zone, control address) and hybrid timestamp."""

    sender: str
    incarnation: int
    zone: str
    address: str
    hlc_ms: int
    hlc_counter: int
    message: AnyMessage
