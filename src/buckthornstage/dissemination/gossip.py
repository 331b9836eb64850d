"""Gossip schedule: pushes of changes, periodic digests, first contact, and contact with zones."""

import random

from buckthornstage.dissemination import (
    config_sync,
    contacts,
    log_contact,
    member_sync,
    readers,
    startup,
    topology,
)
from buckthornstage.document import reader
from buckthornstage.membership import own, records, table
from buckthornstage.protocol import effects, log, messages
from buckthornstage.settings import node_settings

CROSS_ZONE_INTERVALS = 5  # gossip intervals between two digests to another zone
SILENT_ZONE_RETRY_MS = 1_000
HEARTBEAT_MS = 350  # from log readers to the ranks that would step in first
HEARTBEAT_RANKS = 4
CONTACT_MIN_MS = 100
CONTACT_MAX_MS = 5_000
STRANGER_INTERVAL_MS = 1_000
EXPIRE_INTERVAL_MS = 1_000
MAX_CRASH_REPORTS = 4_096


class Gossip:
    """Spreads versions and member records. All times are local ms."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        member: own.OwnMember,
        members: table.MemberTable,
        fold: reader.LogFold,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.start_ms = now_ms
        self.topology = topology.Topology(member, members, settings)
        self.config = config_sync.ConfigSync(fold)
        self.sync = member_sync.MemberSync(member, members, now_ms)
        self.contact = log_contact.LogContact(settings.node, settings.reader_takeover_ms, now_ms)
        self.gate = startup.StartupGate(rng, settings.startup_peer_ms, now_ms)
        self.contacts = contacts.Contacts(
            settings.mesh_secret.encode(), settings.control_address, rng, now_ms
        )
        self.pushed_version = 0
        self.heard_ms = now_ms
        self.has_heard = False
        self.zones_heard_ms: dict[str, int] = {}
        self.any_zone_heard_ms: int | None = None
        self.backoff_ms = CONTACT_MIN_MS
        self.next_contact_ms = now_ms
        self.next_digest_ms = now_ms + rng.randrange(settings.gossip_interval_ms)
        self.next_heartbeat_ms = now_ms
        self.next_expire_ms = now_ms
        self.next_cross_ms: dict[str, int] = {}
        self.crashes: dict[messages.CrashReport, None] = {}

    @property
    def cross_interval_ms(self) -> int:
        """Time between two digests of a reader to another zone."""
        return self.settings.gossip_interval_ms * CROSS_ZONE_INTERVALS

    def is_reader(self, now_ms: int) -> bool:
        """Whether this node acts as a log reader of its zone."""
        peers = self.topology.peers_by_rank()
        if not peers and self.settings.seeds and not self.has_heard:
            # Before the first contact every node would take itself for the only one.
            return now_ms - self.start_ms >= self.settings.startup_peer_ms // 2
        rank = self.topology.own_rank()
        silence_ms = self.contact.silence_ms(self.topology.rank_of, rank, now_ms)
        return readers.should_read(
            rank, self.settings.log_readers, silence_ms, self.settings.reader_takeover_ms
        )

    def is_first_reader(self) -> bool:
        """Whether this node appends the contacts of its zone."""
        return self.topology.own_rank() == 0

    def on_contacts(self, batch: log.LogBatch, now_ms: int) -> list[effects.Effect]:
        """Contacts the addresses that the log names and that belong to no known member."""
        new = self.contacts.on_batch(batch, now_ms)
        unknown = set(self.topology.unknown_addresses(new)) & set(new)
        return [
            effects.Send(address, self.digest(now_ms, nonce=self.gate.nonce(now_ms)))
            for address in sorted(unknown)
        ]

    def _append_contacts(self, now_ms: int) -> list[effects.Effect]:
        zone = self.topology.zone
        held = (self.sync.members.get(node) for node in self.topology.peers_by_rank())
        peers = (record.control_address for record in held)  # evaluated only for an append
        payload = self.contacts.take_append(self.is_first_reader(), zone, peers, now_ms)
        return [] if payload is None else [effects.AppendLog(contacts.STREAM, payload)]

    def digest(self, now_ms: int, is_reply: bool = False, nonce: int = 0) -> messages.Digest:
        """Summary of what this node holds."""
        log_reader, age_ms = self.contact.best(self.topology.rank_of, now_ms)
        zones_ms = self.any_zone_heard_ms
        return messages.Digest(
            self.config.document.version,
            self.config.digest(),
            self.sync.members.digest(),
            age_ms,
            is_reply,
            log_reader,
            self.contact.own_read_age_ms(now_ms),
            log_contact.NEVER if zones_ms is None else max(0, now_ms - zones_ms),
            nonce,
        )

    def on_message(
        self, sender: messages.Envelope, message: messages.AnyMessage, now_ms: int
    ) -> list[effects.Effect]:
        """Handles a message from a peer; other kinds than those of gossip give no effect."""
        self._note_heard(sender, now_ms)
        found = self.sync.on_sender(sender, now_ms)
        match message:
            case messages.Digest():
                return found + self._on_digest(sender, message, now_ms)
            case messages.ConfigDelta():
                return found + self.config.on_delta(sender, message, now_ms)
            case messages.ConfigFull():
                return found + self.config.on_full(sender, message)
            case messages.ConfigRequest():
                return found + self.config.on_request(sender, message)
            case messages.MemberBuckets():
                return found + self.sync.on_buckets(sender, message, now_ms)
            case messages.MemberSummary():
                return found + self.sync.on_summary(sender, message)
            case messages.MemberRequest():
                return found + self.sync.on_request(sender, message)
            case messages.MemberDelta():
                changes = self.sync.on_delta(sender, message, now_ms)
                # One zone's changes are recorded by its readers, not by every node.
                return found + (changes if self.is_reader(now_ms) else [])
            case messages.CrashReport():
                return found + self.on_crash(message, sender, now_ms)
        return found

    def _note_heard(self, sender: messages.Envelope, now_ms: int) -> None:
        self.heard_ms = now_ms
        self.has_heard = True
        self.backoff_ms = CONTACT_MIN_MS
        if sender.zone != self.topology.zone:
            self.zones_heard_ms[sender.zone] = now_ms
            self.any_zone_heard_ms = now_ms

    def _on_digest(
        self, sender: messages.Envelope, message: messages.Digest, now_ms: int
    ) -> list[effects.Effect]:
        is_own_zone = sender.zone == self.topology.zone
        if is_own_zone:
            self.contact.on_digest(message, now_ms)
            if message.zones_heard_age_ms >= 0:
                heard_ms = now_ms - message.zones_heard_age_ms
                self.any_zone_heard_ms = max(heard_ms, self.any_zone_heard_ms or heard_ms)
            if message.is_reply:
                self.gate.on_answer(sender.sender, message)
        found, is_behind = self.config.on_digest(sender, message)
        if message.members_hash != self.sync.members.digest():
            found += self.sync.on_digest(sender, now_ms)
        if message.nonce and not message.is_reply:
            # A starting node asks several peers and then takes the document from one of them.
            found = [effect for effect in found if not _is_copy(effect)]
            found.append(effects.Send(sender.address, self.digest(now_ms, True, message.nonce)))
        elif is_behind and self.config.may_ask(now_ms):
            request: messages.AnyMessage = self.digest(now_ms, True)
            if message.is_reply:
                request = messages.ConfigRequest(self.config.document.version)
            found.append(effects.Send(sender.address, request))
        return found

    def on_crash(
        self, report: messages.CrashReport, sender: messages.Envelope | None, now_ms: int
    ) -> list[effects.Effect]:
        """Passes a crash report on once; `sender` is None for one of this node."""
        if report in self.crashes:
            return []
        if len(self.crashes) >= MAX_CRASH_REPORTS:
            del self.crashes[next(iter(self.crashes))]
        self.crashes[report] = None
        found: list[effects.Effect] = []
        origin = "" if sender is None else sender.address
        if sender is not None:
            found.append(effects.CrashReported(report))
        addresses = self.topology.neighbours()
        if sender is None or sender.zone == self.topology.zone:
            addresses += self._cross_addresses(now_ms)
        return found + [effects.Send(a, report) for a in addresses if a != origin]

    def _cross_addresses(self, now_ms: int) -> list[str]:
        """One reader of each other zone, if this node is a reader itself."""
        if not self.is_reader(now_ms):
            return []
        found = (self.topology.reader_of(zone) for zone in self.topology.other_zones())
        return [address for address in found if address is not None]

    def tick(self, now_ms: int) -> list[effects.Effect]:
        """Sends what is due."""
        if now_ms >= self.next_expire_ms:
            self.next_expire_ms = now_ms + EXPIRE_INTERVAL_MS
            self.sync.members.expire(now_ms)
            self.contact.prune(set(self.topology.by_rank))
        addresses = self._due_addresses(now_ms)
        sends: list[effects.Effect] = [
            effects.Send(address, self.digest(now_ms, nonce=self.gate.nonce(now_ms)))
            for address in addresses
        ]
        return sends + self._append_contacts(now_ms) + self.push_members(now_ms)

    def _due_addresses(self, now_ms: int) -> list[str]:
        """Addresses that get a digest now, each once."""
        asked = self.gate.peers_to_ask(self.topology.peers_by_rank(), now_ms)
        found = self.topology.addresses(asked)
        if now_ms >= self.next_digest_ms:
            interval_ms = self.settings.gossip_interval_ms
            self.next_digest_ms = now_ms + self._jittered(interval_ms)
            near = self.topology.neighbours()
            found += [self.rng.choice(near)] if near else []
        if now_ms >= self.next_contact_ms:
            found += self._contact_addresses(now_ms)
        if self.is_reader(now_ms):
            found += self._reader_addresses(now_ms)
        return list(dict.fromkeys(found))

    def _jittered(self, interval_ms: int) -> int:
        return int(interval_ms * self.rng.uniform(0.9, 1.1))

    def _contact_addresses(self, now_ms: int) -> list[str]:
        """Addresses to contact: any when no peer is heard, otherwise those of no known member."""
        quiet_ms = 2 * max(self.settings.gossip_interval_ms, self.settings.probe_interval_ms)
        is_isolated = not self.has_heard or now_ms - self.heard_ms > quiet_ms
        candidates = self.topology.unknown_addresses(self.contacts.addresses)
        if is_isolated:
            known = (record.control_address for record in self.sync.members.records.values())
            own_address = self.settings.control_address
            candidates = sorted({*candidates, *known, *self.settings.seeds} - {own_address})
            self.next_contact_ms = now_ms + int(self.backoff_ms * self.rng.uniform(0.5, 1.0))
            self.backoff_ms = min(2 * self.backoff_ms, CONTACT_MAX_MS)
        else:
            self.next_contact_ms = now_ms + int(STRANGER_INTERVAL_MS * self.rng.uniform(0.5, 1.5))
        return [self.rng.choice(candidates)] if candidates else []

    def _reader_addresses(self, now_ms: int) -> list[str]:
        """Standby readers that need a sign of life, and other zones whose turn it is."""
        found: list[str] = []
        age_ms = self.contact.own_read_age_ms(now_ms)
        if now_ms >= self.next_heartbeat_ms and 0 <= age_ms < self.settings.reader_takeover_ms:
            self.next_heartbeat_ms = now_ms + HEARTBEAT_MS
            first = self.settings.log_readers
            standby = self.topology.by_rank[first : first + HEARTBEAT_RANKS]
            found += self.topology.addresses(n for n in standby if n != self.topology.node)
        for zone in self.topology.other_zones():
            if now_ms < self.next_cross_ms.get(zone, now_ms):
                continue
            heard_ms = self.zones_heard_ms.get(zone, self.start_ms)
            is_silent = now_ms - heard_ms > 2 * self.cross_interval_ms
            retry_ms = min(SILENT_ZONE_RETRY_MS, self.cross_interval_ms)
            self.next_cross_ms[zone] = now_ms + self._jittered(
                retry_ms if is_silent else self.cross_interval_ms
            )
            address = (
                self.topology.random_member(zone, self.rng)
                if is_silent
                else self.topology.reader_of(zone)
            )
            found += [] if address is None else [address]
        return found

    def push_members(self, now_ms: int) -> list[effects.Effect]:
        """Sends changed member records to neighbours and those of the own zone to other zones."""
        if not self.sync.dirty:
            return []
        taken = self.sync.take_pushes(now_ms)
        own_node, zone = self.topology.node, self.topology.zone
        routes: dict[str, list[records.MemberRecord]] = {}
        near = self.topology.neighbours()
        first = self.topology.peers_by_rank()[: self.settings.log_readers]
        cross = self._cross_addresses(now_ms)
        for record, origin in taken:
            addresses = [*near, *(cross if record.zone == zone else [])]
            if record.node == own_node:
                addresses += self.topology.addresses(first)
            for address in dict.fromkeys(addresses):
                if address not in (origin, record.control_address):
                    routes.setdefault(address, []).append(record)
        return [
            effects.Send(address, messages.MemberDelta.of(found))
            for address, found in routes.items()
        ]

    def push_version(self, now_ms: int) -> list[effects.Effect]:
        """Sends the held version on, once per version and only after this node is ready.

        What a starting node catches up with is known to everybody else already.
        """
        held = self.config.document
        base, self.pushed_version = self.pushed_version, held.version
        if held.version == base:
            return []
        delta = config_sync.delta_from(base, held)
        addresses = self.topology.neighbours()
        if self.config.learned_zone in ("", self.topology.zone):
            addresses += self._cross_addresses(now_ms)
        return [
            effects.Send(address, delta)
            for address in dict.fromkeys(addresses)
            if address != self.config.learned_from
        ]


def _is_copy(effect: effects.Effect) -> bool:
    kinds = (messages.ConfigDelta, messages.ConfigFull)
    return isinstance(effect, effects.Send) and isinstance(effect.message, kinds)
