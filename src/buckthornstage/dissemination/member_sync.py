"""Synchronization of member records between peers: pushes of changes and anti-entropy."""

from buckthornstage.history import events
from buckthornstage.membership import own, records, table
from buckthornstage.protocol import effects, messages

# A token bucket limits pushes that are not urgent: when a whole zone returns, anti-entropy
# transfers each record once instead of once for every neighbour.
PUSH_RECORDS_PER_S = 8
PUSH_BURST_RECORDS = 16
RECORDS_PER_MESSAGE = 50  # about 15 KB
RESPONSE_INTERVAL_MS = 200  # between two responses to one sender about its own record
EXCHANGE_TIMEOUT_MS = (
    400  # one exchange at a time per node; a joining node thus gets a single copy of the table
)
MAX_RESPONDED_SENDERS = 4_096


def is_urgent(record: records.MemberRecord) -> bool:
    """Whether a record removes a target from service, which peers must learn within seconds."""
    return record.status is records.MemberStatus.LEAVING or any(
        target.status is records.TargetStatus.LEAVING for target in record.targets
    )


class MemberSync:
    """Updates the member table from peers and collects changes to push."""

    def __init__(self, member: own.OwnMember, members: table.MemberTable, now_ms: int) -> None:
        self.member = member
        self.members = members
        self.push_tokens = float(PUSH_BURST_RECORDS)
        self.tokens_updated_ms = now_ms
        self.dirty: dict[str, str] = {}
        """Changed nodes not yet pushed, with the address each change came from; "" if local."""
        self.responded_ms: dict[str, int] = {}
        self.exchange_expires_ms = 0
        self.has_refuted = False
        self.members.merge(member.record, now_ms)

    def publish_own(self, now_ms: int) -> None:
        """Merges this node's changed record and marks it for pushing."""
        if self.members.merge(self.member.record, now_ms):
            self.dirty[self.member.record.node] = ""

    def on_sender(self, sender: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        """Checks the sender of any message against its record.

        Requests the record of an unknown or restarted sender. Sends its record to a sender that is
        listed as suspect or dead, or with a greater incarnation, so that it can refute it.
        """
        known = self.members.get(sender.sender)
        if known is None or known.incarnation < sender.incarnation:
            response: messages.AnyMessage = messages.MemberRequest((sender.sender,))
        elif known.incarnation > sender.incarnation or known.status in (
            records.MemberStatus.SUSPECT,
            records.MemberStatus.DEAD,
        ):
            response = messages.MemberDelta.of([known])
        else:
            return []
        if (
            now_ms - self.responded_ms.get(sender.sender, -RESPONSE_INTERVAL_MS)
            < RESPONSE_INTERVAL_MS
        ):
            return []
        if len(self.responded_ms) >= MAX_RESPONDED_SENDERS:
            self.responded_ms.clear()
        self.responded_ms[sender.sender] = now_ms
        return [effects.Send(sender.address, response)]

    def on_digest(self, sender: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        """Starts an anti-entropy exchange with a peer whose table differs."""
        if now_ms < self.exchange_expires_ms:
            return []
        self.exchange_expires_ms = now_ms + EXCHANGE_TIMEOUT_MS
        hashes = messages.MemberBuckets(tuple(self.members.bucket_hashes))
        return [effects.Send(sender.address, hashes)]

    def on_buckets(
        self, sender: messages.Envelope, message: messages.MemberBuckets, now_ms: int
    ) -> list[effects.Effect]:
        """Responds with the rows of all buckets that differ."""
        pairs = enumerate(zip(message.hashes, self.members.bucket_hashes, strict=False))
        differing = tuple(index for index, (theirs, ours) in pairs if theirs != ours)
        if not differing:
            return []
        rows = self.members.rows(differing)
        entries = tuple(messages.MemberSummaryEntry(n, *row) for n, row in sorted(rows.items()))
        self.exchange_expires_ms = now_ms + EXCHANGE_TIMEOUT_MS
        return [effects.Send(sender.address, messages.MemberSummary(differing, entries))]

    def on_summary(
        self, sender: messages.Envelope, message: messages.MemberSummary
    ) -> list[effects.Effect]:
        """Sends records that the peer lacks and requests those that this node lacks."""
        rows = {e.node: (e.incarnation, e.sequence, e.status_rank) for e in message.entries}
        ahead, behind = self.members.delta_since(rows, message.buckets)
        sends: list[effects.Effect] = list(_deltas(sender.address, ahead))
        if behind:
            request = messages.MemberRequest(tuple(sorted(behind)))
            sends.append(effects.Send(sender.address, request))
        return sends

    def on_request(
        self, sender: messages.Envelope, message: messages.MemberRequest
    ) -> list[effects.Effect]:
        """Sends the requested records."""
        known = (self.members.get(node) for node in message.nodes)
        return list(_deltas(sender.address, [record for record in known if record is not None]))

    def on_delta(
        self, sender: messages.Envelope, message: messages.MemberDelta, now_ms: int
    ) -> list[effects.Effect]:
        """Merges records; refutes a newer record of this node itself."""
        self.exchange_expires_ms = 0
        result: list[effects.Effect] = []
        for record in message.members():
            if record.node == self.member.record.node:
                if self.member.refute(record):
                    self.has_refuted = True
                    self.publish_own(now_ms)
                continue
            known = self.members.get(record.node)
            if self.members.merge(record, now_ms):
                self.dirty[record.node] = sender.address
                if record.zone == self.member.record.zone:
                    result += _change_events(known, record)
        return result

    def take_pushes(self, now_ms: int) -> list[tuple[records.MemberRecord, str]]:
        """Removes and returns the changed records to push, with the address each came from.

        The own record and urgent ones are always pushed; others as far as tokens last, and the
        rest is left to anti-entropy.
        """
        refill = (now_ms - self.tokens_updated_ms) * PUSH_RECORDS_PER_S / 1_000
        self.push_tokens = min(self.push_tokens + refill, PUSH_BURST_RECORDS)
        self.tokens_updated_ms = now_ms
        pushes = []
        for node, origin in self.dirty.items():
            record = self.members.get(node)
            if record is None:
                continue
            if node != self.member.record.node and not is_urgent(record):
                if self.push_tokens < 1:
                    continue
                self.push_tokens -= 1
            pushes.append((record, origin))
        self.dirty.clear()
        return pushes


def _deltas(address: str, to_send: list[records.MemberRecord]):
    for start in range(0, len(to_send), RECORDS_PER_MESSAGE):
        batch = to_send[start : start + RECORDS_PER_MESSAGE]
        yield effects.Send(address, messages.MemberDelta.of(batch))


def _change_events(
    known: records.MemberRecord | None, record: records.MemberRecord
) -> list[effects.Effect]:
    kind = None
    if known is None or known.incarnation < record.incarnation:
        kind = events.EventKind.MEMBER_JOINED
    elif known.status is not record.status and record.status is records.MemberStatus.LEAVING:
        kind = events.EventKind.MEMBER_LEAVING
    elif known.targets != record.targets:
        kind = events.EventKind.TARGET_CHANGED
    return [] if kind is None else [effects.Emit(kind, 0, record.node)]
