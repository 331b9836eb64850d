"""Core of a node: combines members, detector, gossip, log fold and history without any I/O."""

import dataclasses
import random

from buckthornstage import clock, errors
from buckthornstage.dissemination import contacts, gossip
from buckthornstage.document import reader, state
from buckthornstage.history import batches, buffer, events, publications
from buckthornstage.membership import detector, own, records, table
from buckthornstage.node import core_history
from buckthornstage.protocol import effects, log, messages
from buckthornstage.settings import node_settings

CONFIG_STREAM = "config"
LOG_LOST_TAKEOVERS = 3  # multiples of reader_takeover_ms without a log read in the zone
ZONE_CUT_INTERVALS = 3  # digest intervals to other zones, added to the log-lost limit
# A longer gap between ticks means that the process was paused.
TICK_GAP_MS = 400


@dataclasses.dataclass(frozen=True)
class CoreStatus:
    """Part of `/status` that describes the core; ages in ms, -1 for never.

    `version` is of the active state; `state_digest` of the newest, which may not be active yet.
    """

    is_ready: bool
    version: int
    state_digest: str
    incarnation: int
    is_log_reader: bool
    is_log_lost: bool
    is_zone_cut: bool
    needs_newer_release: bool
    log_heard_age_ms: int
    members: int
    unacknowledged_events: int


class NodeCore:
    """Decision logic of one node. Times are monotonic ms of the caller's clock.

    The event handlers that take `now_ms` return the effects to execute, in order. Events are
    added to the buffer here; an `Emit` effect is only for the local log. The caller reads stream
    `config` from `fold.next_offset` while `should_read_log` is True, with a wait of at most
    `readers.LOG_WAIT_MS`, and stream `contacts` whenever `should_read_contacts` is True, and
    reports the result of each `AppendLog` to `on_appended`. The incarnation may be raised at run
    time; envelopes carry the current one.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        incarnation: int,
        fold: reader.LogFold,
        event_buffer: buffer.EventBuffer,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.fold = fold
        self.member = own.OwnMember(
            records.MemberRecord(
                settings.node,
                settings.zone,
                settings.region,
                incarnation,
                1,
                records.MemberStatus.ALIVE,
                settings.control_address,
                settings.call_address,
                settings.admin_address,
            )
        )
        self.members = table.MemberTable(settings.tombstone_ms)
        self.detector = detector.Detector(self.member, self.members, settings, rng, now_ms)
        self.gossip = gossip.Gossip(settings, self.member, self.members, fold, rng, now_ms)
        self.history = core_history.HistoryRelay(event_buffer, settings.control_address, now_ms)
        self.active = state.empty()
        self.seen_revision = self.members.revision
        self.last_tick_ms = now_ms
        self.leases: dict[str, int] = {}
        self.was_reader = False
        self.is_log_lost = False
        self.is_zone_cut = False
        self.needs_newer_release = False
        self.record(events.EventKind.NODE_STARTED, f"incarnation {incarnation}")

    @property
    def is_ready(self) -> bool:
        """Whether the node may serve calls."""
        return self.gossip.readiness.is_ready

    @property
    def document(self) -> state.DocumentState:
        """The active state; empty until the node is ready."""
        return self.active

    @property
    def incarnation(self) -> int:
        """Current incarnation of this process; it may have been raised since the start."""
        return self.member.record.incarnation

    def should_read_log(self, now_ms: int) -> bool:
        """Whether to read stream `config` now: as a log reader, or to become ready."""
        return self.gossip.readiness.needs_log(now_ms) or self.gossip.is_reader(now_ms)

    def should_read_contacts(self, now_ms: int) -> bool:
        """Whether to read stream `contacts` once, without waiting, from `contacts_offset`."""
        is_first = self.gossip.is_first_reader()
        return self.gossip.contacts.should_read(is_first, now_ms)

    @property
    def contacts_offset(self) -> int:
        """Offset from which to read stream `contacts`."""
        return self.gossip.contacts.next_offset

    def on_contacts_error(self, now_ms: int) -> None:
        """Handles a failed read of stream `contacts`."""
        self.gossip.contacts.on_error(now_ms)

    def record(self, kind: events.EventKind, detail: str = "") -> None:
        """Adds an event to the history buffer."""
        self.history.buffer.add(kind, self.active.version, detail)

    def on_envelope(self, envelope: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        """Handles an authenticated message; claim messages are handled elsewhere."""
        if envelope.sender == self.settings.node:
            return []
        self.history.buffer.hybrid_clock.observe(
            clock.Timestamp(envelope.hlc_ms, envelope.hlc_counter)
        )
        self.detector.on_message_received(now_ms)
        message = envelope.message
        result = self.gossip.on_message(envelope, message, now_ms)
        match message:
            case messages.Ping():
                result += self.detector.on_ping(envelope, message)
            case messages.PingRequest():
                result += self.detector.on_ping_request(envelope, message, now_ms)
            case messages.Ack():
                result += self.detector.on_ack(message)
            case messages.HistoryBatch():
                result += self.history.on_batch(envelope, message)
            case messages.HistoryAck():
                self.history.on_ack(message)
        return self._with_derived_effects(result, now_ms)

    def on_tick(self, now_ms: int) -> list[effects.Effect]:
        """Runs the actions that are due; called every 50 to 200 ms."""
        gap_ms = now_ms - self.last_tick_ms
        self.last_tick_ms = now_ms
        if gap_ms > TICK_GAP_MS:
            self.leases = {address: due + gap_ms for address, due in self.leases.items()}
        result = self.detector.tick(now_ms)
        for address in [a for a, due in self.leases.items() if due <= now_ms]:
            result += self._drop_target(address, now_ms)
        result += self._update_conditions(now_ms)
        for node in self.detector.changed_nodes:
            self.gossip.sync.dirty[node] = ""
        self.detector.changed_nodes.clear()
        result += self.gossip.tick(now_ms)
        result += self.history.tick(self._history_reader(now_ms), now_ms)
        return self._with_derived_effects(result, now_ms)

    def _history_reader(self, now_ms: int) -> str | None:
        """Control address of the reader to send events to; None if unknown."""
        by_rank = self.gossip.topology.by_rank
        node, age_ms = self.gossip.log_reads.reader_to_report(self.gossip.topology.rank_of, now_ms)
        if not 0 <= age_ms < LOG_LOST_TAKEOVERS * self.settings.reader_takeover_ms:
            node = by_rank[0]
        return next(iter(self.gossip.topology.addresses([node])), None)

    def _update_conditions(self, now_ms: int) -> list[effects.Effect]:
        """Detects changes of the reader role, log availability and contact with other zones."""
        result: list[effects.Effect] = []
        is_reader = self.gossip.is_reader(now_ms)
        if is_reader != self.was_reader:
            self.was_reader = is_reader
            kind = events.EventKind.READER_STARTED if is_reader else events.EventKind.READER_STOPPED
            result.append(effects.Emit(kind, self.active.version))
        limit_ms = LOG_LOST_TAKEOVERS * self.settings.reader_takeover_ms
        _, age_ms = self.gossip.log_reads.reader_to_report(self.gossip.topology.rank_of, now_ms)
        age_ms = now_ms - self.gossip.start_ms if age_ms < 0 else age_ms
        is_lost = age_ms > limit_ms
        if is_lost != self.is_log_lost:
            self.is_log_lost = is_lost
            kind = events.EventKind.LOG_LOST if is_lost else events.EventKind.LOG_BACK
            result += [effects.Emit(kind, self.active.version)] if is_reader else []
        last_received_ms = self.gossip.other_zones_received_ms or self.gossip.start_ms
        limit_ms = ZONE_CUT_INTERVALS * self.gossip.cross_zone_interval_ms + limit_ms
        is_cut = bool(self.gossip.topology.other_zones()) and now_ms - last_received_ms > limit_ms
        if is_cut != self.is_zone_cut:
            self.is_zone_cut = is_cut
            kind = events.EventKind.ZONE_CUT if is_cut else events.EventKind.ZONE_BACK
            result += [effects.Emit(kind, self.active.version)] if is_reader else []
        return result

    def on_log_batch(self, batch: log.LogBatch, now_ms: int) -> list[effects.Effect]:
        """Applies a batch of stream `config` or `contacts`; ignores other streams."""
        if batch.stream == contacts.STREAM:
            return self._with_derived_effects(self.gossip.on_contacts(batch, now_ms), now_ms)
        if batch.stream != CONFIG_STREAM:
            return []
        result: list[effects.Effect] = []
        before = self.fold.state.version
        try:
            outcomes = self.fold.apply(batch, now_ms)
            self.needs_newer_release = False
            is_at_head = self.fold.state.last_offset >= batch.head
        except errors.UnknownRulesError as error:
            # The last version stays active; the log itself is reachable, so no other node needs
            # to take over as a reader.
            outcomes, is_at_head = [], True
            if not self.needs_newer_release:
                kind = events.EventKind.RULES_UNKNOWN
                result.append(effects.Emit(kind, self.active.version, str(error)))
            self.needs_newer_release = True
        result += [_outcome_event(outcome) for outcome in outcomes]
        self.gossip.config.on_log(before)
        if is_at_head:
            # The batch may predate a pause of the process; the last tick came before the pause.
            self.gossip.log_reads.on_own_read(min(now_ms, self.last_tick_ms))
            self.gossip.readiness.on_head(self.fold.state.version)
        rank = self.gossip.topology.own_rank()
        if self.gossip.is_reader(now_ms) and self.fold.needs_checkpoint(now_ms, rank):
            payload = self.fold.make_checkpoint(self.settings.node)
            result.append(effects.AppendLog(CONFIG_STREAM, payload))
            kind = events.EventKind.CHECKPOINT_APPENDED
            result.append(effects.Emit(kind, self.active.version, f"upto {batch.head}"))
        return self._with_derived_effects(result, now_ms)

    def on_log_error(self, now_ms: int) -> list[effects.Effect]:
        """Handles a failed read of stream `config`."""
        self.gossip.readiness.has_log_failed = True
        return self._with_derived_effects([], now_ms)

    def on_appended(
        self, append: effects.AppendLog, is_confirmed: bool, now_ms: int
    ) -> list[effects.Effect]:
        """Handles the result of an append; one without a response is not confirmed."""
        if append.stream == contacts.STREAM:
            self.gossip.contacts.on_appended(is_confirmed, now_ms)
        if append.stream != batches.STREAM:
            return []
        return self._with_derived_effects(self.history.on_appended(is_confirmed), now_ms)

    def announce(self, target: records.TargetRecord, now_ms: int) -> list[effects.Effect]:
        """Registers an announced backend server on this VM and renews its lease."""
        self.leases[target.address] = now_ms + self.settings.announce_lease_ms
        if not self.member.set_target(target):
            return []
        return self._push_own(now_ms)

    def remove_target(self, address: str, now_ms: int) -> list[effects.Effect]:
        """Removes a backend server; `on_tick` does the same when its lease expires."""
        return self._with_derived_effects(self._drop_target(address, now_ms), now_ms)

    def _drop_target(self, address: str, now_ms: int) -> list[effects.Effect]:
        self.leases.pop(address, None)
        if not self.member.remove_target(address):
            return []
        self.gossip.sync.publish_own(now_ms)
        return self.gossip.push_members(now_ms)

    def leave(self, now_ms: int) -> list[effects.Effect]:
        """Marks this node as leaving and notifies its neighbours."""
        if self.member.record.status is records.MemberStatus.LEAVING:
            return []
        self.member.leave()
        emit = effects.Emit(events.EventKind.NODE_LEAVING, self.active.version)
        return self._push_own(now_ms, [emit])

    def report_crash(self, report: messages.CrashReport, now_ms: int) -> list[effects.Effect]:
        """Spreads a report from this node's crash guard by gossip."""
        return self._with_derived_effects(self.gossip.on_crash(report, None, now_ms), now_ms)

    def _push_own(
        self, now_ms: int, result: list[effects.Effect] | None = None
    ) -> list[effects.Effect]:
        self.gossip.sync.publish_own(now_ms)
        return self._with_derived_effects((result or []) + self.gossip.push_members(now_ms), now_ms)

    def _with_derived_effects(
        self, result: list[effects.Effect], now_ms: int
    ) -> list[effects.Effect]:
        """Adds the effects that follow from changed state, and records the events."""
        if self.gossip.sync.has_refuted:
            self.gossip.sync.has_refuted = False
            self.detector.on_refuted()
            result = result + self.gossip.push_members(now_ms)
        newest = self.fold.state
        was_ready = self.is_ready
        if self.gossip.readiness.check(newest.version, now_ms):
            if not was_ready:
                self.gossip.pushed_version = newest.version
                result = [*result, effects.Emit(events.EventKind.NODE_READY, newest.version)]
            if newest.version > self.active.version:
                self.active = newest
                kind = events.EventKind.VERSION_ACTIVATED
                activated = [effects.Activate(newest), effects.Emit(kind, newest.version)]
                result = [*activated, *result, *self.gossip.push_version(now_ms)]
        if self.members.revision != self.seen_revision:
            self.seen_revision = self.members.revision
            result = [*result, effects.MembersChanged()]
        for effect in result:
            if isinstance(effect, effects.Emit):
                self.history.buffer.add(effect.kind, effect.version, effect.detail)
        return result

    def status(self, now_ms: int) -> CoreStatus:
        """Summary for `/status`."""
        _, age_ms = self.gossip.log_reads.reader_to_report(self.gossip.topology.rank_of, now_ms)
        return CoreStatus(
            self.is_ready,
            self.active.version,
            self.gossip.config.digest(),
            self.incarnation,
            self.gossip.is_reader(now_ms),
            self.is_log_lost,
            self.is_zone_cut,
            self.needs_newer_release,
            age_ms,
            sum(1 for r in self.members.records.values() if r.status != "dead"),
            len(self.history.buffer),
        )


def _outcome_event(outcome: reader.Outcome) -> effects.Emit:
    if isinstance(outcome, reader.CheckpointEvent):
        detail = f"upto {outcome.upto} by {outcome.node}: {outcome.detail}"
        return effects.Emit(outcome.kind, outcome.offset, detail)
    accepted = events.EventKind.PUBLISH_ACCEPTED
    kind = accepted if outcome.accepted else events.EventKind.PUBLISH_REFUSED
    detail = publications.PublishDetail(
        offset=outcome.offset,
        publish_id=outcome.publish_id,
        section=outcome.section,
        team=outcome.team,
        author=outcome.author,
        reason=outcome.reason or "",
        text=outcome.detail,
    )
    return effects.Emit(kind, outcome.offset, publications.encode(detail))
