"""Gossip schedule: pushes of changes, periodic digests, bootstrap and cross-zone exchange."""

import random

from buckthornstage.dissemination import (
    config_sync,
    contacts,
    log_read_tracker,
    member_sync,
    readers,
    readiness,
    topology,
)
from buckthornstage.document import reader
from buckthornstage.membership import own, records, table
from buckthornstage.protocol import effects, log, messages
from buckthornstage.settings import node_settings

CROSS_ZONE_INTERVALS = 5  # gossip intervals between two digests to another zone
SILENT_ZONE_RETRY_MS = 1_000
HEARTBEAT_MS = 350  # from log readers to the ranks that would take over first
HEARTBEAT_RANKS = 4
ISOLATED_BACKOFF_MIN_MS = 100
ISOLATED_BACKOFF_MAX_MS = 5_000
UNKNOWN_ADDRESS_INTERVAL_MS = 1_000
EXPIRE_INTERVAL_MS = 1_000
MAX_CRASH_REPORTS = 4_096


class Gossip:
    """Schedules gossip of versions and member records. All times are local ms."""

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
        self.log_reads = log_read_tracker.LogReadTracker(
            settings.node, settings.reader_takeover_ms, now_ms
        )
        self.readiness = readiness.ReadinessCheck(rng, settings.startup_peer_ms, now_ms)
        self.contacts = contacts.Contacts(
            settings.mesh_secret.encode(), settings.control_address, rng, now_ms
        )
        self.pushed_version = 0
        self.last_received_ms = now_ms
        self.has_received = False
        self.zone_received_ms: dict[str, int] = {}
        self.other_zones_received_ms: int | None = None
        self.backoff_ms = ISOLATED_BACKOFF_MIN_MS
        self.next_retry_ms = now_ms
        self.next_digest_ms = now_ms + rng.randrange(settings.gossip_interval_ms)
        self.next_heartbeat_ms = now_ms
        self.next_expire_ms = now_ms
        self.next_cross_zone_ms: dict[str, int] = {}
        self.seen_crash_reports: dict[messages.CrashReport, None] = {}

    @property
    def cross_zone_interval_ms(self) -> int:
        """Time between two digests from a reader to another zone."""
        return self.settings.gossip_interval_ms * CROSS_ZONE_INTERVALS

    def is_reader(self, now_ms: int) -> bool:
        """Whether this node acts as a log reader of its zone."""
        peers = self.topology.peers_by_rank()
        if not peers and self.settings.seeds and not self.has_received:
            # Before the first message from a peer, every node would consider itself the only one.
            return now_ms - self.start_ms >= self.settings.startup_peer_ms // 2
        rank = self.topology.own_rank()
        silence_ms = self.log_reads.silence_ms(self.topology.rank_of, rank, now_ms)
        return readers.should_read(
            rank, self.settings.log_readers, silence_ms, self.settings.reader_takeover_ms
        )

    def is_first_reader(self) -> bool:
        """Whether this node reads and appends the contact addresses for its zone."""
        return self.topology.own_rank() == 0

    def on_contacts(self, batch: log.LogBatch, now_ms: int) -> list[effects.Effect]:
        """Sends digests to the new addresses from the log that belong to no live member."""
        new = self.contacts.on_batch(batch, now_ms)
        unknown = set(self.topology.unknown_addresses(new)) & set(new)
        return [
            effects.Send(address, self.digest(now_ms, nonce=self.readiness.nonce(now_ms)))
            for address in sorted(unknown)
        ]

    def _append_contacts(self, now_ms: int) -> list[effects.Effect]:
        zone = self.topology.zone
        known = (self.sync.members.get(node) for node in self.topology.peers_by_rank())
        peers = (record.control_address for record in known)  # evaluated only for an append
        payload = self.contacts.take_append(self.is_first_reader(), zone, peers, now_ms)
        return [] if payload is None else [effects.AppendLog(contacts.STREAM, payload)]

    def digest(self, now_ms: int, is_reply: bool = False, nonce: int = 0) -> messages.Digest:
        """Summary of this node's document version and member table."""
        log_reader, age_ms = self.log_reads.reader_to_report(self.topology.rank_of, now_ms)
        received_ms = self.other_zones_received_ms
        return messages.Digest(
            self.config.document.version,
            self.config.digest(),
            self.sync.members.digest(),
            age_ms,
            is_reply,
            log_reader,
            self.log_reads.own_read_age_ms(now_ms),
            log_read_tracker.NEVER if received_ms is None else max(0, now_ms - received_ms),
            nonce,
        )

    def on_message(
        self, sender: messages.Envelope, message: messages.AnyMessage, now_ms: int
    ) -> list[effects.Effect]:
        """Handles a message from a peer.

        Messages of other kinds than gossip only update the time of the last message received and
        check the sender's record.
        """
        self._record_received(sender, now_ms)
        result = self.sync.on_sender(sender, now_ms)
        match message:
            case messages.Digest():
                return result + self._on_digest(sender, message, now_ms)
            case messages.ConfigDelta():
                return result + self.config.on_delta(sender, message, now_ms)
            case messages.ConfigFull():
                return result + self.config.on_full(sender, message)
            case messages.ConfigRequest():
                return result + self.config.on_request(sender, message)
            case messages.MemberBuckets():
                return result + self.sync.on_buckets(sender, message, now_ms)
            case messages.MemberSummary():
                return result + self.sync.on_summary(sender, message)
            case messages.MemberRequest():
                return result + self.sync.on_request(sender, message)
            case messages.MemberDelta():
                changes = self.sync.on_delta(sender, message, now_ms)
                # Only the readers of a zone record its changes, not every node.
                return result + (changes if self.is_reader(now_ms) else [])
            case messages.CrashReport():
                return result + self.on_crash(message, sender, now_ms)
        return result

    def _record_received(self, sender: messages.Envelope, now_ms: int) -> None:
        self.last_received_ms = now_ms
        self.has_received = True
        self.backoff_ms = ISOLATED_BACKOFF_MIN_MS
        if sender.zone != self.topology.zone:
            self.zone_received_ms[sender.zone] = now_ms
            self.other_zones_received_ms = now_ms

    def _on_digest(
        self, sender: messages.Envelope, message: messages.Digest, now_ms: int
    ) -> list[effects.Effect]:
        is_own_zone = sender.zone == self.topology.zone
        if is_own_zone:
            self.log_reads.on_digest(message, now_ms)
            if message.zones_heard_age_ms >= 0:
                last_received_ms = now_ms - message.zones_heard_age_ms
                self.other_zones_received_ms = max(
                    last_received_ms, self.other_zones_received_ms or last_received_ms
                )
            if message.is_reply:
                self.readiness.on_reply(sender.sender, message)
        result, is_behind = self.config.on_digest(sender, message)
        if message.members_hash != self.sync.members.digest():
            result += self.sync.on_digest(sender, now_ms)
        if message.nonce and not message.is_reply:
            # A starting node queries several peers and then fetches the document from one of them.
            result = [effect for effect in result if not _is_config_update(effect)]
            result.append(effects.Send(sender.address, self.digest(now_ms, True, message.nonce)))
        elif is_behind and self.config.try_start_request(now_ms):
            request: messages.AnyMessage = self.digest(now_ms, True)
            if message.is_reply:
                request = messages.ConfigRequest(self.config.document.version)
            result.append(effects.Send(sender.address, request))
        return result

    def on_crash(
        self, report: messages.CrashReport, sender: messages.Envelope | None, now_ms: int
    ) -> list[effects.Effect]:
        """Forwards a crash report once; `sender` is None for a report of this node."""
        if report in self.seen_crash_reports:
            return []
        if len(self.seen_crash_reports) >= MAX_CRASH_REPORTS:
            del self.seen_crash_reports[next(iter(self.seen_crash_reports))]
        self.seen_crash_reports[report] = None
        result: list[effects.Effect] = []
        origin = "" if sender is None else sender.address
        if sender is not None:
            result.append(effects.CrashReported(report))
        addresses = self.topology.neighbours()
        if sender is None or sender.zone == self.topology.zone:
            addresses += self._cross_zone_addresses(now_ms)
        return result + [effects.Send(a, report) for a in addresses if a != origin]

    def _cross_zone_addresses(self, now_ms: int) -> list[str]:
        """One reader of each other zone, if this node is a reader itself."""
        if not self.is_reader(now_ms):
            return []
        readers_found = (self.topology.reader_of(zone) for zone in self.topology.other_zones())
        return [address for address in readers_found if address is not None]

    def tick(self, now_ms: int) -> list[effects.Effect]:
        """Sends the digests, appends and pushes that are due, and removes expired members."""
        if now_ms >= self.next_expire_ms:
            self.next_expire_ms = now_ms + EXPIRE_INTERVAL_MS
            self.sync.members.expire(now_ms)
            self.log_reads.prune(set(self.topology.by_rank))
        addresses = self._due_addresses(now_ms)
        sends: list[effects.Effect] = [
            effects.Send(address, self.digest(now_ms, nonce=self.readiness.nonce(now_ms)))
            for address in addresses
        ]
        return sends + self._append_contacts(now_ms) + self.push_members(now_ms)

    def _due_addresses(self, now_ms: int) -> list[str]:
        """Addresses that are due a digest now, without duplicates."""
        queried = self.readiness.peers_to_query(self.topology.peers_by_rank(), now_ms)
        due = self.topology.addresses(queried)
        if now_ms >= self.next_digest_ms:
            interval_ms = self.settings.gossip_interval_ms
            self.next_digest_ms = now_ms + self._jittered(interval_ms)
            neighbours = self.topology.neighbours()
            due += [self.rng.choice(neighbours)] if neighbours else []
        if now_ms >= self.next_retry_ms:
            due += self._addresses_to_try(now_ms)
        if self.is_reader(now_ms):
            due += self._reader_addresses(now_ms)
        return list(dict.fromkeys(due))

    def _jittered(self, interval_ms: int) -> int:
        return int(interval_ms * self.rng.uniform(0.9, 1.1))

    def _addresses_to_try(self, now_ms: int) -> list[str]:
        """One random address: any known one if no message arrived lately, else an unknown one."""
        silence_limit_ms = 2 * max(
            self.settings.gossip_interval_ms, self.settings.probe_interval_ms
        )
        is_isolated = not self.has_received or now_ms - self.last_received_ms > silence_limit_ms
        candidates = self.topology.unknown_addresses(self.contacts.addresses)
        if is_isolated:
            known = (record.control_address for record in self.sync.members.records.values())
            own_address = self.settings.control_address
            candidates = sorted({*candidates, *known, *self.settings.seeds} - {own_address})
            self.next_retry_ms = now_ms + int(self.backoff_ms * self.rng.uniform(0.5, 1.0))
            self.backoff_ms = min(2 * self.backoff_ms, ISOLATED_BACKOFF_MAX_MS)
        else:
            self.next_retry_ms = now_ms + int(
                UNKNOWN_ADDRESS_INTERVAL_MS * self.rng.uniform(0.5, 1.5)
            )
        return [self.rng.choice(candidates)] if candidates else []

    def _reader_addresses(self, now_ms: int) -> list[str]:
        """Standby readers that are due a heartbeat, and one address in each zone that is due."""
        due: list[str] = []
        age_ms = self.log_reads.own_read_age_ms(now_ms)
        if now_ms >= self.next_heartbeat_ms and 0 <= age_ms < self.settings.reader_takeover_ms:
            self.next_heartbeat_ms = now_ms + HEARTBEAT_MS
            first = self.settings.log_readers
            standby = self.topology.by_rank[first : first + HEARTBEAT_RANKS]
            due += self.topology.addresses(n for n in standby if n != self.topology.node)
        for zone in self.topology.other_zones():
            if now_ms < self.next_cross_zone_ms.get(zone, now_ms):
                continue
            last_received_ms = self.zone_received_ms.get(zone, self.start_ms)
            is_silent = now_ms - last_received_ms > 2 * self.cross_zone_interval_ms
            retry_ms = min(SILENT_ZONE_RETRY_MS, self.cross_zone_interval_ms)
            self.next_cross_zone_ms[zone] = now_ms + self._jittered(
                retry_ms if is_silent else self.cross_zone_interval_ms
            )
            address = (
                self.topology.random_member(zone, self.rng)
                if is_silent
                else self.topology.reader_of(zone)
            )
            due += [] if address is None else [address]
        return due

    def push_members(self, now_ms: int) -> list[effects.Effect]:
        """Sends changed records to neighbours, and those of the own zone also to other zones."""
        if not self.sync.dirty:
            return []
        pushes = self.sync.take_pushes(now_ms)
        own_node, zone = self.topology.node, self.topology.zone
        batches: dict[str, list[records.MemberRecord]] = {}
        neighbours = self.topology.neighbours()
        first = self.topology.peers_by_rank()[: self.settings.log_readers]
        cross_zone = self._cross_zone_addresses(now_ms)
        for record, origin in pushes:
            addresses = [*neighbours, *(cross_zone if record.zone == zone else [])]
            if record.node == own_node:
                addresses += self.topology.addresses(first)
            for address in dict.fromkeys(addresses):
                if address not in (origin, record.control_address):
                    batches.setdefault(address, []).append(record)
        return [
            effects.Send(address, messages.MemberDelta.of(batch))
            for address, batch in batches.items()
        ]

    def push_version(self, now_ms: int) -> list[effects.Effect]:
        """Pushes the newest version, once per version. The caller calls it only when ready.

        It sets `pushed_version` at readiness, because other nodes know older versions already.
        """
        current = self.config.document
        base, self.pushed_version = self.pushed_version, current.version
        if current.version == base:
            return []
        delta = config_sync.delta_from(base, current)
        addresses = self.topology.neighbours()
        if self.config.source_zone in ("", self.topology.zone):
            addresses += self._cross_zone_addresses(now_ms)
        return [
            effects.Send(address, delta)
            for address in dict.fromkeys(addresses)
            if address != self.config.source_address
        ]


def _is_config_update(effect: effects.Effect) -> bool:
    kinds = (messages.ConfigDelta, messages.ConfigFull)
    return isinstance(effect, effects.Send) and isinstance(effect.message, kinds)
