"""Member and target records, and the precedence by which newer records replace older ones."""

import enum
from typing import Annotated

import msgspec

from buckthornstage import decoding


class MemberStatus(enum.StrEnum):
    """State of a node as seen by its zone."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class TargetStatus(enum.StrEnum):
    """State of a backend server as announced to its node."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


STATUS_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


class TargetRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A backend server; `address` is "IP:port", `started_at_ms` is wall time in ms."""

    service: str
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=decoding.MAX_COUNT)]
    connections: decoding.Count
    incarnation: decoding.Whole
    status: TargetStatus
    started_at_ms: decoding.Whole


class MemberRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node and the backend servers on its VM. Addresses are "IP:port".

    Only the owner raises `sequence`; other nodes may only raise `status`.
    """

    node: str
    zone: str
    region: str
    incarnation: int
    sequence: int
    status: MemberStatus
    control_address: str
    call_address: str
    admin_address: str
    targets: tuple[TargetRecord, ...] = ()

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key; of two records of a node, the one with the greater key is newer."""
        return (self.incarnation, self.sequence, STATUS_RANK[self.status])


class PackedTarget(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A `TargetRecord` encoded without field names, for messages between nodes."""

    service: str
    address: str
    slots: int
    connections: int
    incarnation: int
    status: TargetStatus
    started_at_ms: int


class PackedMember(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A `MemberRecord` encoded without field names, which halves its size."""

    node: str
    zone: str
    region: str
    incarnation: int
    sequence: int
    status: MemberStatus
    control_address: str
    call_address: str
    admin_address: str
    targets: tuple[PackedTarget, ...] = ()


def pack(record: MemberRecord) -> PackedMember:
    """Converts a record for use in messages."""
    values = list(msgspec.structs.astuple(record))
    values[-1] = tuple(PackedTarget(*msgspec.structs.astuple(t)) for t in record.targets)
    return PackedMember(*values)


def unpack(packed: PackedMember) -> MemberRecord:
    """Converts a record received in a message."""
    values = list(msgspec.structs.astuple(packed))
    values[-1] = tuple(TargetRecord(*msgspec.structs.astuple(t)) for t in packed.targets)
    return MemberRecord(*values)
