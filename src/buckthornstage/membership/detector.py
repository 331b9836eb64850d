"""Failure detector for one zone: SWIM with the local health awareness of Lifeguard."""

import dataclasses
import random

import msgspec

from buckthornstage.history import events
from buckthornstage.membership import own, records, table
from buckthornstage.protocol import effects, messages
from buckthornstage.settings import node_settings

INDIRECT_PROBES = 3
# Timeouts are multiplied by 1 + penalty. The penalty grows when a probe fails while no other node
# is heard from, and when peers suspect this node; the maximum bounds the detection time.
MAX_HEALTH_PENALTY = 3
# A longer gap between two ticks means that this process was paused: replies received during the
# pause must be processed before any member is suspected or declared dead.
PAUSE_MS = 400
MIN_SUSPECTS_OF_PARTITION = 3


@dataclasses.dataclass
class Probe:
    """A probe that has not been acknowledged yet."""

    nonce: int
    node: str
    started_ms: int
    is_indirect: bool = False


@dataclasses.dataclass
class Suspicion:
    """Suspicion of a member: the (incarnation, sequence) of its record and the start time."""

    identity: tuple[int, int]
    since_ms: int


class Detector:
    """Probes the members of the own zone and updates their status in the table."""

    def __init__(
        self,
        member: own.OwnMember,
        members: table.MemberTable,
        settings: node_settings.NodeSettings,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        self.member = member
        self.members = members
        self.settings = settings
        self.rng = rng
        self.probe: Probe | None = None
        self.probe_order: list[str] = []
        self.next_probe_ms = now_ms + rng.randrange(settings.probe_interval_ms)
        self.last_tick_ms = now_ms
        self.heard_ms = now_ms
        self.penalty = 0
        self.suspicions: dict[str, Suspicion] = {}
        self.relays: dict[int, tuple[str, int, int]] = {}
        """By nonce: address and nonce of the node that requested the probe, and expiry in ms."""
        self._seen_revision = -1
        self.changed_nodes: list[str] = []
        """Nodes whose status changed; the caller pushes their records and clears the list."""

    def on_message_received(self, now_ms: int) -> None:
        """Records that another node was heard from, so the links of this node work."""
        self.heard_ms = now_ms

    def on_refuted(self) -> None:
        """Raises the penalty: peers suspected this node, so it may be slow itself."""
        self.penalty = min(self.penalty + 1, MAX_HEALTH_PENALTY)

    def on_ping(self, sender: messages.Envelope, message: messages.Ping) -> list[effects.Effect]:
        """Acknowledges a probe."""
        return [effects.Send(sender.address, messages.Ack(message.nonce))]

    def on_ping_request(
        self, sender: messages.Envelope, message: messages.PingRequest, now_ms: int
    ) -> list[effects.Effect]:
        """Probes a node on behalf of a peer; `on_ack` forwards the acknowledgement."""
        nonce = self.rng.getrandbits(32)
        expiry_ms = now_ms + 4 * self.settings.probe_timeout_ms
        self.relays[nonce] = (sender.address, message.nonce, expiry_ms)
        return [effects.Send(message.target_address, messages.Ping(nonce))]

    def on_ack(self, message: messages.Ack) -> list[effects.Effect]:
        """Completes the current probe, or forwards the acknowledgement to the requesting peer."""
        relay = self.relays.pop(message.nonce, None)
        if relay is not None:
            return [effects.Send(relay[0], messages.Ack(relay[1]))]
        if self.probe is not None and self.probe.nonce == message.nonce:
            record = self.members.get(self.probe.node)
            if record is not None and record.status is records.MemberStatus.LEAVING:
                self.suspicions.pop(self.probe.node, None)
            self.probe = None
            self.penalty = max(0, self.penalty - 1)
        return []

    def tick(self, now_ms: int) -> list[effects.Effect]:
        """Advances probes and declares members dead whose suspicion has timed out."""
        gap_ms = now_ms - self.last_tick_ms
        self.last_tick_ms = now_ms
        if gap_ms > PAUSE_MS:
            self._after_pause(gap_ms, now_ms)
        self.relays = {n: relay for n, relay in self.relays.items() if relay[2] > now_ms}
        outgoing = self._advance_probe(now_ms)
        if self.probe is None and now_ms >= self.next_probe_ms:
            outgoing += self._start_probe(now_ms)
        self._update_suspicions(now_ms)
        return outgoing + self._declare_dead(now_ms)

    def _after_pause(self, gap_ms: int, now_ms: int) -> None:
        self.probe = None
        self.next_probe_ms = now_ms + self.rng.randrange(self.settings.probe_interval_ms)
        self.heard_ms = now_ms
        for suspicion in self.suspicions.values():
            suspicion.since_ms += gap_ms

    def _peers(self) -> list[records.MemberRecord]:
        own_node = self.member.record.node
        return [r for r in self.members.in_zone(self.member.record.zone) if r.node != own_node]

    def _start_probe(self, now_ms: int) -> list[effects.Effect]:
        self.next_probe_ms = now_ms + self.settings.probe_interval_ms
        peers = {record.node: record for record in self._peers()}
        self.probe_order = [node for node in self.probe_order if node in peers]
        if not self.probe_order:
            self.probe_order = sorted(peers)
            self.rng.shuffle(self.probe_order)
        if not self.probe_order:
            return []
        record = peers[self.probe_order.pop()]
        self.probe = Probe(self.rng.getrandbits(32), record.node, now_ms)
        sends = [effects.Send(record.control_address, messages.Ping(self.probe.nonce))]
        if record.status is records.MemberStatus.SUSPECT:
            delta = messages.MemberDelta.of([record])  # lets a live member refute the suspicion
            sends.append(effects.Send(record.control_address, delta))
        return sends

    def _advance_probe(self, now_ms: int) -> list[effects.Effect]:
        probe = self.probe
        if probe is None:
            return []
        record = self.members.get(probe.node)
        if record is None or record.status is records.MemberStatus.DEAD:
            self.probe = None
            return []
        timeout_ms = self.settings.probe_timeout_ms * (1 + self.penalty)
        waited_ms = now_ms - probe.started_ms
        if waited_ms >= timeout_ms and not probe.is_indirect:
            probe.is_indirect = True
            others = [r for r in self._peers() if r.node != probe.node]
            helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
            request = messages.PingRequest(probe.nonce, record.control_address)
            return [effects.Send(helper.control_address, request) for helper in helpers]
        if waited_ms >= 2 * timeout_ms:
            return self._fail_probe(record, now_ms)
        return []

    def _fail_probe(self, record: records.MemberRecord, now_ms: int) -> list[effects.Effect]:
        if self.heard_ms <= self.probe.started_ms:
            self.penalty = min(self.penalty + 1, MAX_HEALTH_PENALTY)
        self.probe = None
        if record.status is records.MemberStatus.LEAVING:
            identity = (record.incarnation, record.sequence)
            self.suspicions.setdefault(record.node, Suspicion(identity, now_ms))
            return []
        if record.status is not records.MemberStatus.ALIVE:
            return []
        self._set_status(record, records.MemberStatus.SUSPECT, now_ms)
        return [effects.Emit(events.EventKind.MEMBER_SUSPECT, 0, record.node)]

    def _set_status(
        self, record: records.MemberRecord, status: records.MemberStatus, now_ms: int
    ) -> None:
        self.members.merge(msgspec.structs.replace(record, status=status), now_ms)
        self.changed_nodes.append(record.node)

    def _update_suspicions(self, now_ms: int) -> None:
        if self._seen_revision == self.members.revision:
            return
        self._seen_revision = self.members.revision
        peers = {record.node: record for record in self._peers()}
        for node in list(self.suspicions):
            record = peers.get(node)
            if (
                record is None
                or record.status is records.MemberStatus.ALIVE
                or (record.incarnation, record.sequence) != self.suspicions[node].identity
            ):
                del self.suspicions[node]
        for node, record in peers.items():
            if record.status is records.MemberStatus.SUSPECT and node not in self.suspicions:
                self.suspicions[node] = Suspicion((record.incarnation, record.sequence), now_ms)

    def _can_declare_dead(self, now_ms: int) -> bool:
        """False if the links of this node or a partition of the zone may explain the failures."""
        if now_ms - self.heard_ms > self.settings.suspect_ms // 2:
            return False
        suspected = len(self.suspicions)
        return suspected < MIN_SUSPECTS_OF_PARTITION or 2 * suspected <= len(self._peers()) + 1

    def _declare_dead(self, now_ms: int) -> list[effects.Effect]:
        if not self.suspicions:
            return []
        if not self._can_declare_dead(now_ms):
            # A full suspicion period must pass after the partition has healed, so that returning
            # members can refute.
            for suspicion in self.suspicions.values():
                suspicion.since_ms = now_ms
            return []
        limit_ms = self.settings.suspect_ms * (1 + self.penalty)
        outgoing: list[effects.Effect] = []
        for node, suspicion in list(self.suspicions.items()):
            if now_ms - suspicion.since_ms >= limit_ms:
                del self.suspicions[node]
                self._set_status(self.members.get(node), records.MemberStatus.DEAD, now_ms)
                outgoing.append(effects.Emit(events.EventKind.MEMBER_DEAD, 0, node))
        return outgoing
