"""Exchange of member records between peers: pushes of changes and repair of differences."""

from buckthornstage.history import events
from buckthornstage.membership import own, records, table
from buckthornstage.protocol import effects, messages

# Pushes that serve only speed are limited: when a whole zone returns, anti-entropy carries each
# record once instead of once for every neighbour.
PUSH_RECORDS_PER_S = 8
PUSH_BURST_RECORDS = 16
RECORDS_PER_MESSAGE = 50  # about 15 KB
RESPONSE_INTERVAL_MS = 200  # between two responses to one sender about its own record
EXCHANGE_WAIT_MS = 400  # one exchange of rows at a time; a joining node gets one copy of the table
MAX_ANSWERED = 4_096


def is_urgent(record: records.MemberRecord) -> bool:
    """Whether a record takes work away from a target, which must be known within seconds."""
    return record.status is records.MemberStatus.LEAVING or any(
        target.status is records.TargetStatus.LEAVING for target in record.targets
    )


class MemberSync:
    """Keeps the member table up to date from peers."""

    def __init__(self, member: own.OwnMember, members: table.MemberTable, now_ms: int) -> None:
        self.member = member
        self.members = members
        self.credit = float(PUSH_BURST_RECORDS)
        self.credit_ms = now_ms
        self.dirty: dict[str, str] = {}
        """Changed nodes that have not been pushed, with the address each change came from."""
        self.answered_ms: dict[str, int] = {}
        self.exchange_until_ms = 0
        self.has_refuted = False
        self.members.merge(member.record, now_ms)

    def publish_own(self, now_ms: int) -> None:
        """Takes a changed own record up and marks it for pushing."""
        if self.members.merge(self.member.record, now_ms):
            self.dirty[self.member.record.node] = ""

    def on_sender(self, sender: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        """Compares the sender of any message with its record.

        An unknown or restarted sender is asked for its record; one that is held to be suspect or
        dead, or to have a greater incarnation, is told so and refutes.
        """
        held = self.members.get(sender.sender)
        if held is None or held.incarnation < sender.incarnation:
            response: messages.AnyMessage = messages.MemberRequest((sender.sender,))
        elif held.incarnation > sender.incarnation or held.status in (
            records.MemberStatus.SUSPECT,
            records.MemberStatus.DEAD,
        ):
            response = messages.MemberDelta.of([held])
        else:
            return []
        if (
            now_ms - self.answered_ms.get(sender.sender, -RESPONSE_INTERVAL_MS)
            < RESPONSE_INTERVAL_MS
        ):
            return []
        if len(self.answered_ms) >= MAX_ANSWERED:
            self.answered_ms.clear()
        self.answered_ms[sender.sender] = now_ms
        return [effects.Send(sender.address, response)]

    def on_digest(self, sender: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        """Starts an exchange with a peer whose table differs."""
        if now_ms < self.exchange_until_ms:
            return []
        self.exchange_until_ms = now_ms + EXCHANGE_WAIT_MS
        hashes = messages.MemberBuckets(tuple(self.members.bucket_hashes))
        return [effects.Send(sender.address, hashes)]

    def on_buckets(
        self, sender: messages.Envelope, message: messages.MemberBuckets, now_ms: int
    ) -> list[effects.Effect]:
        """Answers with the rows of all buckets that differ."""
        pairs = enumerate(zip(message.hashes, self.members.bucket_hashes, strict=False))
        differing = tuple(index for index, (theirs, ours) in pairs if theirs != ours)
        if not differing:
            return []
        rows = self.members.rows(differing)
        entries = tuple(messages.MemberSummaryEntry(n, *row) for n, row in sorted(rows.items()))
        self.exchange_until_ms = now_ms + EXCHANGE_WAIT_MS
        return [effects.Send(sender.address, messages.MemberSummary(differing, entries))]

    def on_summary(
        self, sender: messages.Envelope, message: messages.MemberSummary
    ) -> list[effects.Effect]:
        """Sends what the peer lacks and asks for what this node lacks."""
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
        """Sends the records of the named nodes."""
        held = (self.members.get(node) for node in message.nodes)
        return list(_deltas(sender.address, [record for record in held if record is not None]))

    def on_delta(
        self, sender: messages.Envelope, message: messages.MemberDelta, now_ms: int
    ) -> list[effects.Effect]:
        """Merges records; a newer record of this node itself is refuted."""
        self.exchange_until_ms = 0
        found: list[effects.Effect] = []
        for record in message.members():
            if record.node == self.member.record.node:
                if self.member.refute(record):
                    self.has_refuted = True
                    self.publish_own(now_ms)
                continue
            held = self.members.get(record.node)
            if self.members.merge(record, now_ms):
                self.dirty[record.node] = sender.address
                if record.zone == self.member.record.zone:
                    found += _change_events(held, record)
        return found

    def take_pushes(self, now_ms: int) -> list[tuple[records.MemberRecord, str]]:
        """Changed records to push now, each with the address that it came from.

        Own and urgent records always go; of the others as many as the credit allows, and the
        rest is left to anti-entropy.
        """
        earned = (now_ms - self.credit_ms) * PUSH_RECORDS_PER_S / 1_000
        self.credit = min(self.credit + earned, PUSH_BURST_RECORDS)
        self.credit_ms = now_ms
        taken = []
        for node, origin in self.dirty.items():
            record = self.members.get(node)
            if record is None:
                continue
            if node != self.member.record.node and not is_urgent(record):
                if self.credit < 1:
                    continue
                self.credit -= 1
            taken.append((record, origin))
        self.dirty.clear()
        return taken


def _deltas(address: str, found: list[records.MemberRecord]):
    for start in range(0, len(found), RECORDS_PER_MESSAGE):
        batch = found[start : start + RECORDS_PER_MESSAGE]
        yield effects.Send(address, messages.MemberDelta.of(batch))


def _change_events(
    held: records.MemberRecord | None, record: records.MemberRecord
) -> list[effects.Effect]:
    kind = None
    if held is None or held.incarnation < record.incarnation:
        kind = events.EventKind.MEMBER_JOINED
    elif held.status is not record.status and record.status is records.MemberStatus.LEAVING:
        kind = events.EventKind.MEMBER_LEAVING
    elif held.targets != record.targets:
        kind = events.EventKind.TARGET_CHANGED
    return [] if kind is None else [effects.Emit(kind, 0, record.node)]
