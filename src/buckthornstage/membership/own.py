"""This node's own member record; only this node may raise its sequence or incarnation."""

import msgspec

from buckthornstage.membership import records


class OwnMember:
    """Own record; every change increments its sequence."""

    def __init__(self, record: records.MemberRecord) -> None:
        self.record = record
        self.refutations = 0

    def _replace(self, **changes: object) -> records.MemberRecord:
        sequence = max(self.record.sequence, changes.pop("above_sequence", 0)) + 1
        self.record = msgspec.structs.replace(self.record, sequence=sequence, **changes)
        return self.record

    def leave(self) -> records.MemberRecord:
        """Marks this node as leaving."""
        return self._replace(status=records.MemberStatus.LEAVING)

    def set_target(self, target: records.TargetRecord) -> bool:
        """Adds or replaces the target at its address; returns whether the record changed."""
        if target in self.record.targets:
            return False
        others = [t for t in self.record.targets if t.address != target.address]
        ordered = sorted([*others, target], key=lambda t: (t.service, t.address))
        self._replace(targets=tuple(ordered))
        return True

    def remove_target(self, address: str) -> bool:
        """Removes the target at an address; returns whether there was one."""
        kept = tuple(t for t in self.record.targets if t.address != address)
        if len(kept) == len(self.record.targets):
            return False
        self._replace(targets=kept)
        return True

    def refute(self, claimed: records.MemberRecord) -> bool:
        """Refutes a peer's newer record of this node; returns whether the own record changed.

        A higher incarnation belongs to an earlier process whose clock was ahead; the own
        incarnation is raised above it. A higher sequence or a worse status of the own incarnation
        is overridden by a higher sequence.
        """
        if claimed.precedence <= self.record.precedence:
            return False
        self.refutations += 1
        if claimed.incarnation > self.record.incarnation:
            self._replace(incarnation=claimed.incarnation + 1)
        else:
            self._replace(above_sequence=claimed.sequence)
        return True
