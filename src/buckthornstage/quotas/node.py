"""A node's part in tenant quotas: its leases, and the buckets of the tenants that it lends.

Does no input or output: messages go out through `send`, and times are passed in, in ms including
suspensions of the machine.
"""

import itertools
import random
from collections.abc import Callable, Iterable

from buckthornstage.link import quota_frames
from buckthornstage.quotas import division, leases, lender, lenders
from buckthornstage.routing import routes

REPORT_MS = 250
"""Interval of the reports between lenders of different zones."""
ROUNDS_PER_CLAIM = 4
"""Once a second a lender tells the next nodes of its zone what it lends."""
ALONE_MS = 300
"""A node that lends in place of a better ranked one, and hears no other node of its zone for this
time, may be cut off itself: it lends no more than its own part."""
ANSWER_SMOOTHING = 0.05
PAUSE_MS = 500
"""After a longer gap between two ticks another node may have lent meanwhile."""
Verdict = leases.Verdict


class QuotaNode:
    """Quotas at one node.

    `send(address, message)` sends a datagram. `on_answer(tenant)` is called when requests of a
    tenant need not wait any longer, `on_lender_change(group, address, before)` when this node asks
    another lender of its zone.
    """

    def __init__(
        self,
        own: str,
        zone: str,
        bounds: division.Bounds,
        send: Callable[[str, quota_frames.Message], None],
        is_reachable: Callable[[str], bool],
        heard_ms: Callable[[str], float],
    ) -> None:
        self.own = own
        self.zone = zone
        self.bounds = bounds
        self.send = send
        self.is_leaving = False
        """Whether this node is stopping, so that another one is to lend."""
        self.on_answer = lambda tenant: None
        self.on_lender_change = lambda group, address, before: None
        self.choice = lenders.LenderChoice(own, zone, is_reachable, heard_ms)
        self.lender = lender.Lender()
        self.limits: dict[int, tuple[float, float]] = {}
        """Rate a second and burst by tenant."""
        self.leases: dict[str, leases.Lease] = {}
        self.by_id: dict[int, leases.Lease] = {}
        self.known_ms: dict[int, int] = {}
        """Since when a tenant's present limits are known."""
        self.roles: dict[int, int] = {}
        """Since when this node has been the first of its zone, by group."""
        self.asked: dict[int, str] = {}
        self.total_nodes = 1
        # A restarted node must not use the numbers of its last asks: the lender knows their grants.
        self.sequence = itertools.count(random.randrange(1, 1 << 32))
        self.ticked_ms: int | None = None
        self.reported_ms = 0
        self.rounds = 0
        self.answer_ms = 0.0
        """Usual time from an ask to its answer."""
        self.zone_heard_ms = -ALONE_MS
        """When a message of another node of the own zone arrived."""

    @property
    def is_in_use(self) -> bool:
        """Whether any tenant has a limit."""
        return bool(self.limits)

    def set_tenants(self, tenants: Iterable[routes.Tenant], now_ms: int) -> None:
        """Applies the tenants of a new version; keeps the leases of those that stay."""
        limited = {tenant.name: tenant for tenant in tenants if tenant.rate_per_second}
        ids = lenders.tenant_ids(limited)
        self.limits = {
            ids[name]: (tenant.rate_per_second, tenant.burst) for name, tenant in limited.items()
        }
        self.known_ms = {tenant: self.known_ms.get(tenant, now_ms) for tenant in self.limits}
        self.leases = {
            name: self.by_id.get(number) or leases.Lease(number) for name, number in ids.items()
        }
        self.by_id = {lease.tenant: lease for lease in self.leases.values()}
        self._divide(now_ms)

    def set_nodes(self, zones: dict[str, frozenset[str]], now_ms: int, most_known: int = 0) -> None:
        """Takes the known nodes of all zones, this one included.

        `most_known` is the largest number of nodes that any node knows: a process that has just
        started knows few, and would take its zone's part for too large.
        """
        known = self.choice.zones.get(self.zone)
        self.choice.set_nodes(zones)
        self.total_nodes = max(most_known, sum(map(len, zones.values())))
        if known is None or known.groups != self.choice.zones[self.zone].groups:
            self.roles = {}
        self._divide(now_ms)
        self._update_roles(now_ms)

    def _divide(self, now_ms: int) -> None:
        own_zone = self.choice.zones.get(self.zone)
        if own_zone is None:
            return
        zones = len(self.choice.zones)
        nodes = division.Nodes(len(own_zone.addresses), self.total_nodes, zones)
        limits = ((tenant, *limit) for tenant, limit in self.limits.items())
        self.lender.set_quotas(lender.zone_quotas(limits, nodes, self.bounds), now_ms)

    def request(self, name: str, now_ms: int) -> tuple[leases.Lease, Verdict]:
        """Takes a token for a new request of a limited tenant; see `proceed` for `Verdict.ASK`."""
        lease = self.leases[name]
        leases.arrive(lease, now_ms)
        verdict = leases.take(lease, now_ms, self._own_part(lease.tenant))
        if verdict is Verdict.TAKEN and leases.is_low(lease):
            self._ask(lease, now_ms)
        return lease, verdict

    def proceed(self, lease: leases.Lease, now_ms: int) -> tuple[Verdict, int]:
        """Verdict on a request that waits, and for `Verdict.ASK` the time until the next call if no
        answer comes before. `lease.waiting` counts the requests that wait."""
        while lease.tenant in self.limits:
            verdict = leases.take(lease, now_ms, self._own_part(lease.tenant))
            due_ms = leases.due_ms(lease, now_ms, leases.repeat_ms(self.answer_ms))
            if verdict is not Verdict.ASK or due_ms:
                return verdict, due_ms
            self._ask(lease, now_ms)
        return Verdict.TAKEN, 0  # a new version has lifted the limit meanwhile

    def _own_part(self, tenant: int) -> float:
        return self.limits[tenant][0] / self.total_nodes if tenant in self.limits else 0.0

    def _ask(self, lease: leases.Lease, now_ms: int) -> None:
        self.choice.now_ms = now_ms
        address = self.choice.lender(lease.tenant, now_ms)
        is_unanswered = leases.is_unanswered(lease, now_ms)
        if is_unanswered and lease.lender == address != self.own:
            self.choice.set_silent(address)
            address = self.choice.lender(lease.tenant, now_ms)
        group = self.choice.group(lease.tenant)
        if self.asked.get(group) != address:
            self.on_lender_change(group, address, self.asked.get(group))
            self.asked[group] = address
        is_new = address != lease.lender
        lease.lender = address
        is_acting = address == self.own and self._bucket(lease.tenant, now_ms).is_acting
        if is_acting and self.lender.is_alone:
            leases.use_own_part(lease, now_ms)
            return
        ask = leases.next_ask(lease, now_ms, next(self.sequence), self.own, is_new)
        if ask is not None:
            self._send(address, ask, now_ms)

    def _send(self, address: str, message: quota_frames.Message, now_ms: int) -> None:
        if address == self.own:
            self.handle(message, now_ms)
        else:
            self.send(address, message)

    def handle(self, message: quota_frames.Message, now_ms: int) -> None:
        """Handles a message of another node, or of this one."""
        if not self.choice.zones:
            return
        self.choice.now_ms = now_ms
        self._check_pause(now_ms)
        if isinstance(message, quota_frames.Ask):
            self._handle_ask(message, now_ms)
        elif isinstance(message, quota_frames.Report):
            self._handle_report(message, now_ms)
        elif (lease := self.by_id.get(message.tenant)) is not None:
            self.choice.hear(lease.lender)
            if isinstance(message, quota_frames.Redirect):
                self._handle_redirect(lease, message, now_ms)
                return
            took_ms = now_ms - lease.first_asked_ms
            if leases.receive(lease, message, now_ms):
                if lease.lender != self.own:
                    self.answer_ms += ANSWER_SMOOTHING * (took_ms - self.answer_ms)
                self.on_answer(lease.tenant)

    def _handle_redirect(
        self, lease: leases.Lease, message: quota_frames.Redirect, now_ms: int
    ) -> None:
        if lease.sequence and message.sequence == lease.sequence:
            self.choice.redirect(lease.tenant, message.lender, now_ms)
            lease.asked_ms = now_ms - leases.MAX_REPEAT_MS
            self.on_answer(lease.tenant)

    def _handle_ask(self, ask: quota_frames.Ask, now_ms: int) -> None:
        if ask.sender != self.own:
            self.choice.hear(ask.sender)
            self.zone_heard_ms = now_ms
        if ask.tenant not in self.limits:
            return
        address = self._other_lender(ask.tenant, ask.sender, now_ms)
        if address is not None:
            redirect = quota_frames.Redirect(ask.sequence, ask.tenant, address)
            self._send(ask.sender, redirect, now_ms)
            return
        bucket = self._bucket(ask.tenant, now_ms)
        grant, is_new_need = self.lender.ask(bucket, ask, now_ms)
        if grant is not None and (ask.waiting or ask.ahead):
            self._send(ask.sender, grant, now_ms)
        if is_new_need:
            lack = max(1.0, lender.need(bucket)) + len(bucket.held)
            self._report_needs([(bucket, lack)], now_ms)

    def _other_lender(self, tenant: int, sender: str, now_ms: int) -> str | None:
        """Node to which this one defers; asks it whether it is there, since the sender may have
        had no answer from it."""
        address = self.choice.standing_lender(tenant, now_ms)
        if address is None or sender in (self.own, address) or not self.choice.is_usable(address):
            return None
        if self.choice.doubt(tenant, now_ms):
            return None
        self._send_reports({address: [quota_frames.Entry(tenant)]})
        return address

    def _bucket(self, tenant: int, now_ms: int) -> lender.Bucket:
        role_ms = self.roles.get(self.choice.group(tenant))
        since_ms = now_ms if role_ms is None else max(role_ms, self.known_ms[tenant])
        is_new = tenant not in self.lender.buckets
        self.lender.is_alone = now_ms - self.zone_heard_ms > ALONE_MS
        bucket = self.lender.bucket(tenant, now_ms, since_ms, not self.choice.is_first(tenant))
        if is_new:
            self._claim([bucket])
        return bucket

    def _claim(self, buckets: Iterable[lender.Bucket]) -> None:
        """Tells other nodes of the zone what this one lends: worse ranked ones stop, and a better
        ranked one answers. All answer a node that stands in for a better ranked one."""
        if self.is_leaving:
            return
        claims: dict[str, list[quota_frames.Entry]] = {}
        asked = set()
        for bucket in buckets:
            entry = quota_frames.Entry(bucket.tenant, int(bucket.is_acting))
            for address in self.choice.rivals(bucket.tenant):
                claims.setdefault(address, []).append(entry)
                if bucket.is_acting:
                    asked.add(address)
        for address in asked:
            self.choice.count_report(address)
        self._send_reports(claims)

    def _handle_report(self, report: quota_frames.Report, now_ms: int) -> None:
        self.choice.hear(report.sender)
        entries = [entry for entry in report.entries if entry.tenant in self.limits]
        if report.zone == self.zone:
            self._handle_claim(report, entries, now_ms)
            return
        self.lender.hear(report)
        answers = []
        is_asked = False
        for entry in entries:
            if self._other_lender(entry.tenant, report.sender, now_ms) is not None:
                continue
            self.choice.heard_lender(report.zone, entry.tenant, report.sender, now_ms)
            is_asked = is_asked or entry.need > 0
            if self._receive(report, entry, now_ms):
                answers.append(self.lender.entry(self.lender.buckets[entry.tenant], report.sender))
        if is_asked:
            self._send_reports({report.sender: answers}, is_answer=True)

    def _receive(self, report: quota_frames.Report, entry: quota_frames.Entry, now_ms: int) -> bool:
        """Takes gift and need of an entry; returns whether they led to a gift."""
        bucket = self._bucket(entry.tenant, now_ms)
        has_given = self.lender.receive(bucket, report, entry, now_ms)
        for sender, grant in self.lender.release(bucket):
            self._send(sender, grant, now_ms)
        return has_given

    def _handle_claim(
        self, report: quota_frames.Report, entries: list[quota_frames.Entry], now_ms: int
    ) -> None:
        """Of two nodes that lend one tenant in this zone, the worse ranked one stops."""
        self.zone_heard_ms = now_ms
        self.lender.hear(report)
        answers = []
        for entry in entries:
            if entry.given:
                self._receive(report, entry, now_ms)
            elif not (self.is_leaving or self.choice.outranks(report.sender, entry.tenant)):
                answers.append(quota_frames.Entry(entry.tenant))
            else:
                handed_over = self.lender.hand_over(entry.tenant, report.sender)
                # A leaving node without tokens keeps silent: its answer would count as a claim.
                if entry.need and (handed_over is not None or not self.is_leaving):
                    answers.append(handed_over or quota_frames.Entry(entry.tenant))
                self.choice.redirect(entry.tenant, report.sender, now_ms)
                self.roles.pop(self.choice.group(entry.tenant), None)
        if answers:
            self._send_reports({report.sender: answers})

    def tick(self, now_ms: int) -> None:
        """Runs the regular work; to be called about ten times a second."""
        if not self.is_in_use or not self.choice.zones:
            self.ticked_ms = now_ms
            return
        self.choice.now_ms = now_ms
        self._check_pause(now_ms)
        self.ticked_ms = now_ms
        self._update_roles(now_ms)
        self.lender.is_alone = now_ms - self.zone_heard_ms > ALONE_MS
        for lease in self.leases.values():
            if lease.tokens and (tokens := leases.unused(lease, now_ms)):
                self._return(lease, tokens, now_ms)
        newly_needy = self.lender.measure(now_ms)
        if now_ms - self.reported_ms >= REPORT_MS:
            self.reported_ms = now_ms
            self._report(now_ms)
        else:
            lacking = [(bucket, lender.need(bucket)) for bucket in newly_needy]
            gifts = self.lender.gifts_of_full_buckets(now_ms)
            self._report_needs(lacking, now_ms, gifts)

    def _check_pause(self, now_ms: int) -> None:
        if self.ticked_ms is not None and now_ms - self.ticked_ms > PAUSE_MS:
            self.lender.reset()
            self.roles = {}
            self.ticked_ms = now_ms

    def _update_roles(self, now_ms: int) -> None:
        """Notes for which groups this node is the first usable one of its zone."""
        known = self.choice.zones.get(self.zone)
        if known is None:
            return
        first = {
            group
            for group in range(known.groups)
            if not self.is_leaving and known.first(group, self.choice.is_usable) == self.own
        }
        self.roles = {group: self.roles.get(group, now_ms) for group in first}

    def _return(self, lease: leases.Lease, tokens: int, now_ms: int) -> None:
        address = self.choice.lender(lease.tenant, now_ms)
        arrived, unleased = lease.arrived, lease.unleased
        lease.arrived = lease.unleased = 0
        message = quota_frames.Ask(
            self.own, next(self.sequence), lease.tenant, 0, 0, arrived, tokens, unleased
        )
        self._send(address, message, now_ms)

    def _report(self, now_ms: int) -> None:
        gifts = self.lender.gifts(now_ms)
        lacking = self.lender.needs()
        # Zones that give together more than is needed would lose it, unless all is used up.
        others = max(1, len(self.choice.zones) - 1)
        needs = [
            (bucket, lack if lender.is_above_rate(bucket) else lack / others)
            for bucket, lack in lacking
        ]
        self._report_needs(needs, now_ms, gifts)
        self.rounds += 1
        is_round_of_all = self.rounds % ROUNDS_PER_CLAIM == 0
        buckets = self.lender.buckets.values()
        self._claim(bucket for bucket in buckets if bucket.is_acting or is_round_of_all)

    def _report_needs(
        self,
        lacking: list[tuple[lender.Bucket, float]],
        now_ms: int,
        gifts: dict[str, list[int]] | None = None,
    ) -> None:
        """Sends what each other zone should give, and gifts by receiver."""
        found: dict[str, dict[int, quota_frames.Entry]] = {}
        for address, tenants in (gifts or {}).items():
            entries = found.setdefault(address, {})
            for tenant in tenants:
                entries[tenant] = self.lender.entry(self.lender.buckets[tenant], address)
        asked = set()
        for zone in self.choice.zones:
            if zone == self.zone:
                continue
            for bucket, lack in lacking:
                address = self.choice.remote_lender(zone, bucket.tenant, now_ms)
                if address is not None:
                    entry = self.lender.entry(bucket, address, lack)
                    found.setdefault(address, {})[bucket.tenant] = entry
                    asked.add(address)
        for address in asked:
            self.choice.count_report(address)
        self._send_reports({address: list(items.values()) for address, items in found.items()})

    def _send_reports(
        self, entries_by_address: dict[str, list[quota_frames.Entry]], is_answer: bool = False
    ) -> None:
        for address, entries in entries_by_address.items():
            epoch = self.lender.receiver_epoch(address)
            for start in range(0, len(entries) or is_answer, quota_frames.MAX_ENTRIES):
                part = tuple(entries[start : start + quota_frames.MAX_ENTRIES])
                report = quota_frames.Report(self.own, self.zone, self.lender.epoch, epoch, part)
                self.send(address, report)
