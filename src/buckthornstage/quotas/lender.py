"""The lender of some tenants in one zone: a token bucket for each, and gifts between zones.

A zone mints its own part of a tenant's rate. A lender whose zone needs more says so to the lenders
of the other zones, which give tokens that their own zones do not need. A gift is deducted where it
is sent, so that late and lost messages never add tokens. All gifts of two processes to each other
are counted up, so that the next report repairs a lost one.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from buckthornstage.link import quota_frames
from buckthornstage.quotas import division

HORIZON_S = 0.6
"""A zone keeps or asks for the tokens of its demand for this time: two times that between two
reports, as one may be lost."""
DEMAND_S = 0.25
"""Time constant of a zone's measured demand."""
RECENT_FACTOR = 2.0
"""Demand is taken for at most this multiple of that in the last interval."""
SMALL_DEMAND_PER_S = 0.02
"""Demand for which a zone keeps one token."""
NEED_MS = 600
"""A reported need counts for this time."""
REPEAT_GIFT_MS = 800
"""A gift is told again for this time, in case that the datagram was lost."""
LEAST_GIFT = 0.25
FULL_SHARE = 0.5
"""A bucket with more than this part of its capacity gives at once."""
AHEAD_SHARE = 0.5
"""Part of the tokens that one ask may get for requests that have not arrived."""
MIN_WAIT_MS = 30
MAX_WAIT_MS = 250
"""Limits of the time for which a node without a token refuses requests without asking again."""
HOLD_MS = 12
"""Asks without a token wait so long for gifts of other zones, which take 7 to 10 ms, before they
are refused; a node repeats its ask only after 20 ms."""
NEAR_LIMIT = 1.25
"""A zone whose demand is below this multiple of the tenant's rate may be below the limit."""
HOLD_AGAIN_MS = 100
"""Least time between two such waits of a tenant that stays below its limit."""
MAX_DEMAND_PER_TOKEN = 1e6
UNUSED_MS = 60_000
"""A bucket without an ask or report for so long is dropped; it is full by then."""
PARTS = 100
"""Tokens travel between lenders in hundredths."""
EPOCHS = 1 << 32


@dataclasses.dataclass(eq=False, slots=True)
class Need:
    """Tokens that the lender of another zone still lacks."""

    tokens: float
    until_ms: int


@dataclasses.dataclass(eq=False, slots=True)
class Bucket:
    """Tokens of one tenant in this zone."""

    tenant: int
    quota: division.ZoneQuota
    tokens: float
    minted_ms: int
    active_ms: int
    is_acting: bool = False
    """Whether this node lends in place of a better ranked one of its zone."""
    arrived: int = 0
    granted: int = 0
    unmet: float = 0.0
    demand: float = 0.0
    """Requests a second in this zone."""
    recent: float = 0.0
    """The same in the last interval, which falls at once when the callers move away."""
    income: float = 0.0
    """Tokens a second granted lately."""
    measured_ms: int = 0
    is_needy: bool = False
    """Whether the other zones know of a need."""
    needs: dict[str, Need] = dataclasses.field(default_factory=dict)
    given_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    """When each receiver was last given tokens."""
    answers: dict[str, quota_frames.Grant] = dataclasses.field(default_factory=dict)
    """Last grant of each node, repeated if its ask is."""
    held: dict[str, quota_frames.Ask] = dataclasses.field(default_factory=dict)
    """Asks that wait for gifts of other zones."""
    urgent_ms: int = -HOLD_AGAIN_MS
    """When other zones were asked at once."""


@dataclasses.dataclass(eq=False, slots=True)
class OtherLender:
    """A lender of another zone as this one knows it."""

    epoch: int = 0
    received: dict[int, int] = dataclasses.field(default_factory=dict)
    """Hundredths of tokens received, by tenant."""


class Lender:
    """Buckets of the tenants that this node lends; times are ms."""

    def __init__(self) -> None:
        self.epoch = random.randrange(1, EPOCHS)
        self.quotas: dict[int, division.ZoneQuota] = {}
        self.buckets: dict[int, Bucket] = {}
        self.others: dict[str, OtherLender] = {}
        self.given: dict[str, dict[int, int]] = {}
        """Hundredths of tokens given to each receiver since its and the own epoch, by tenant. They
        outlive the buckets, as the receiver's count does: it takes a smaller total for an old one.
        """
        self.is_alone = False
        """Whether no other node of the zone has been heard; buckets of which this node is not the
        first lender then mint nothing."""
        self.reach = 1.0
        """Part of the zone's nodes that this one reaches; it mints only for them, since the rest
        may have a lender of its own."""

    def reset(self) -> None:
        """Forgets all tokens, such as after a pause in which another node may have lent."""
        self.epoch = random.randrange(1, EPOCHS)
        self.buckets.clear()
        self.others.clear()
        self.given.clear()

    def set_quotas(self, quotas: dict[int, division.ZoneQuota], now_ms: int) -> None:
        """Applies changed quotas; a bucket keeps no more tokens than a lowered one holds."""
        for bucket in self.buckets.values():
            self._mint(bucket, now_ms)
        self.buckets = {t: bucket for t, bucket in self.buckets.items() if t in quotas}
        for tenant, bucket in self.buckets.items():
            if bucket.quota != quotas[tenant]:
                bucket.quota = quotas[tenant]
                bucket.tokens = min(bucket.tokens, bucket.quota.capacity)
        self.quotas = quotas

    def bucket(self, tenant: int, now_ms: int, since_ms: int, is_acting: bool) -> Bucket:
        """Bucket of a tenant that has a quota; a new one has filled since `since_ms`."""
        bucket = self.buckets.get(tenant)
        if bucket is None:
            quota = self.quotas[tenant]
            start = 0.0 if is_acting else min(quota.start, quota.capacity)
            bucket = Bucket(tenant, quota, start, since_ms, now_ms)
            bucket.measured_ms = now_ms
            self.buckets[tenant] = bucket
        bucket.is_acting = is_acting
        self._mint(bucket, now_ms)
        return bucket

    def ask(
        self, bucket: Bucket, ask: quota_frames.Ask, now_ms: int
    ) -> tuple[quota_frames.Grant | None, bool]:
        """Grants tokens; also returns whether the other zones should hear of a need at once.

        There is no grant yet if it waits for gifts of other zones: `release` makes it, or the
        repeated ask.
        """
        known = bucket.answers.get(ask.sender)
        if known is not None and known.sequence == ask.sequence:
            return known, False
        held = bucket.held.pop(ask.sender, None)
        is_repeated = held is not None and held.sequence == ask.sequence
        if not is_repeated:
            bucket.active_ms = now_ms
            bucket.arrived += ask.arrived
            limit = max(bucket.tokens, bucket.quota.capacity)
            bucket.tokens = min(limit, bucket.tokens + ask.returned) - ask.unleased
            bucket.tokens = max(-bucket.quota.capacity, bucket.tokens)
        is_urgent = False
        if bucket.tokens < ask.waiting and not is_repeated:
            is_urgent = _is_gift_likely(bucket, now_ms)
            bucket.urgent_ms = now_ms if is_urgent else bucket.urgent_ms
            if now_ms - bucket.urgent_ms <= HOLD_MS:
                bucket.held[ask.sender] = ask
                bucket.is_needy = True
                return None, is_urgent
        grant = self._grant(bucket, ask)
        is_new_need = not bucket.is_needy and need(bucket) > 0
        bucket.is_needy = bucket.is_needy or is_new_need
        return grant, is_new_need

    def release(self, bucket: Bucket) -> list[tuple[str, quota_frames.Grant]]:
        """Grants for asks that waited and that the tokens suffice for now, by node."""
        granted = []
        for sender, ask in list(bucket.held.items()):
            if bucket.tokens >= ask.waiting:
                del bucket.held[sender]
                granted.append((sender, self._grant(bucket, ask)))
        return granted

    def _mint(self, bucket: Bucket, now_ms: int) -> None:
        """Adds the tokens of the time since the last call.

        Tokens above the zone's own capacity are gifts. Those above `gift_capacity` vanish as fast
        as the other zones mint, so that all zones together hold hardly more than the total
        capacity.
        """
        elapsed_s = max(0, now_ms - bucket.minted_ms) / 1_000
        bucket.minted_ms = now_ms
        quota, tokens = bucket.quota, bucket.tokens
        reach = 0.0 if self.is_alone and bucket.is_acting else self.reach
        capacity = quota.capacity * reach
        if tokens < capacity:
            bucket.tokens = min(capacity, tokens + elapsed_s * quota.per_second * reach)
        elif tokens > (limit := max(capacity, quota.gift_capacity)):
            bucket.tokens = max(limit, tokens - elapsed_s * quota.others_per_second)

    def _grant(self, bucket: Bucket, ask: quota_frames.Ask) -> quota_frames.Grant:
        available = max(0, int(bucket.tokens))
        tokens = min(ask.waiting, available)
        unmet = ask.waiting - tokens
        if not unmet:
            tokens += min(ask.ahead, int((available - tokens) * AHEAD_SHARE))
        bucket.tokens -= tokens
        bucket.granted += tokens
        bucket.unmet += unmet
        wait_ms, demand_per_token = 0, 0.0
        if unmet:
            per_second = max(bucket.quota.per_second, bucket.income)
            expected_ms = (1 - bucket.tokens) * 1_000 / per_second
            wait_ms = int(max(MIN_WAIT_MS, min(MAX_WAIT_MS, expected_ms)))
            demand_per_token = min(MAX_DEMAND_PER_TOKEN, max(1.0, bucket.demand / per_second))
        grant = quota_frames.Grant(ask.sequence, ask.tenant, tokens, wait_ms, demand_per_token)
        bucket.answers[ask.sender] = grant
        return grant

    def set_reach(self, reach: float, now_ms: int) -> None:
        """Applies a changed part of the zone's nodes that this one reaches, 0 to 1."""
        if reach != self.reach:
            for bucket in self.buckets.values():
                self._mint(bucket, now_ms)
            self.reach = reach

    def measure(self, now_ms: int) -> list[Bucket]:
        """Updates demand and needs, about ten times a second; returns buckets with a new need."""
        newly_needy = []
        for tenant, bucket in list(self.buckets.items()):
            self._mint(bucket, now_ms)
            elapsed_s = (now_ms - bucket.measured_ms) / 1_000
            if elapsed_s <= 0:
                continue
            keep = math.exp(-elapsed_s / DEMAND_S)
            bucket.demand = keep * bucket.demand + (1 - keep) * bucket.arrived / elapsed_s
            bucket.recent = bucket.arrived / elapsed_s
            bucket.income = keep * bucket.income + (1 - keep) * bucket.granted / elapsed_s
            bucket.arrived = bucket.granted = 0
            bucket.measured_ms = now_ms
            bucket.needs = {a: n for a, n in bucket.needs.items() if n.until_ms > now_ms}
            if not bucket.is_needy and need(bucket) > 0:
                bucket.is_needy = True
                newly_needy.append(bucket)
            if now_ms - bucket.active_ms > UNUSED_MS:
                del self.buckets[tenant]
        return newly_needy

    def needs(self) -> list[tuple[Bucket, float]]:
        """Buckets that lack tokens, and how many; to be called for each round of reports."""
        lacking = []
        for bucket in self.buckets.values():
            lack = need(bucket)
            bucket.unmet = 0.0
            bucket.is_needy = lack > 0
            if lack > 0:
                lacking.append((bucket, lack))
        return lacking

    def gifts(self, now_ms: int) -> dict[str, list[int]]:
        """Gives what the own zone does not need; tenants with gifts to tell, by receiver."""
        found: dict[str, list[int]] = {}
        for bucket in self.buckets.values():
            for address in list(bucket.needs):
                self._give(bucket, address, now_ms)
            for address, given_ms in bucket.given_ms.items():
                if now_ms - given_ms <= REPEAT_GIFT_MS:
                    found.setdefault(address, []).append(bucket.tenant)
        return found

    def hand_over(self, tenant: int, receiver: str) -> quota_frames.Entry | None:
        """Ends lending a tenant; the entry gives its tokens to the node that lends it now, None if
        there are none."""
        bucket = self.buckets.pop(tenant, None)
        parts = 0 if bucket is None else int(max(0.0, bucket.tokens) * PARTS)
        if not parts:
            return None
        return quota_frames.Entry(tenant, 0, self._count_given(tenant, receiver, parts))

    def gifts_of_full_buckets(self, now_ms: int) -> dict[str, list[int]]:
        """Gives tokens that would be lost before the next report, as a bucket with a small burst
        fills within less than the time between two; tenants by receiver."""
        found: dict[str, list[int]] = {}
        for bucket in self.buckets.values():
            if bucket.needs and bucket.tokens > FULL_SHARE * bucket.quota.capacity:
                for address in list(bucket.needs):
                    if self._give(bucket, address, now_ms):
                        found.setdefault(address, []).append(bucket.tenant)
        return found

    def entry(self, bucket: Bucket, receiver: str, lack: float = 0.0) -> quota_frames.Entry:
        """Entry of a report to another zone's lender."""
        given = self.given.get(receiver, {}).get(bucket.tenant, 0)
        return quota_frames.Entry(bucket.tenant, math.ceil(lack * PARTS), given)

    def _count_given(self, tenant: int, receiver: str, parts: int) -> int:
        """Adds to what a receiver was given; returns the total."""
        totals = self.given.setdefault(receiver, {})
        totals[tenant] = totals.get(tenant, 0) + parts
        return totals[tenant]

    def _give(self, bucket: Bucket, address: str, now_ms: int) -> bool:
        """Gives what another zone needs and the own one does not."""
        wanted = bucket.needs[address]
        tokens = min(wanted.tokens, bucket.tokens - _own_needs(bucket))
        if tokens < LEAST_GIFT:
            return False
        parts = int(tokens * PARTS)
        bucket.tokens -= parts / PARTS
        wanted.tokens -= parts / PARTS
        self._count_given(bucket.tenant, address, parts)
        bucket.given_ms[address] = now_ms
        return True

    def receiver_epoch(self, address: str) -> int:
        """Epoch of another lender; 0 if unknown."""
        other = self.others.get(address)
        return other.epoch if other is not None else 0

    def hear(self, report: quota_frames.Report) -> None:
        """Notes the process that sends a report; a new one knows nothing of earlier gifts."""
        other = self.others.get(report.sender)
        if other is None or other.epoch != report.epoch:
            self.others[report.sender] = OtherLender(report.epoch)
            self.given.pop(report.sender, None)
            for bucket in self.buckets.values():
                bucket.given_ms.pop(report.sender, None)

    def receive(
        self, bucket: Bucket, report: quota_frames.Report, entry: quota_frames.Entry, now_ms: int
    ) -> bool:
        """Takes one entry of another zone's report; returns whether it led to a gift."""
        other = self.others[report.sender]
        if report.receiver_epoch == self.epoch:
            received = (entry.given - other.received.get(bucket.tenant, 0)) / PARTS
            if received > 0:
                other.received[bucket.tenant] = entry.given
                total = bucket.quota.total_capacity
                bucket.tokens = min(max(total, bucket.tokens), bucket.tokens + received)
        if not entry.need:
            bucket.needs.pop(report.sender, None)
            return False
        bucket.active_ms = now_ms
        bucket.needs[report.sender] = Need(entry.need / PARTS, now_ms + NEED_MS)
        return self._give(bucket, report.sender, now_ms)


def need(bucket: Bucket) -> float:
    """Tokens that the zone lacks; 0 or less if none.

    It asks for more than it can hold without loss (`Lender._mint`) only for requests that wait.
    """
    wanted = min(_own_needs(bucket), bucket.quota.gift_capacity) + bucket.unmet
    return min(wanted, bucket.quota.total_capacity) - bucket.tokens


def is_above_rate(bucket: Bucket) -> bool:
    """Whether the zone alone demands more than the tenant's whole rate."""
    return bucket.demand > bucket.quota.per_second + bucket.quota.others_per_second


def _own_needs(bucket: Bucket) -> float:
    """Tokens for the zone's demand; a zone whose callers have moved away needs few at once."""
    demand = min(bucket.demand, RECENT_FACTOR * bucket.recent + bucket.arrived / HORIZON_S)
    return demand * HORIZON_S + (bucket.demand > SMALL_DEMAND_PER_S)


def _is_gift_likely(bucket: Bucket, now_ms: int) -> bool:
    """Whether to ask other zones at once: at the begin of a need, and from time to time if the zone
    demands less than the tenant's whole rate."""
    quota = bucket.quota
    if not quota.others_per_second:
        return False
    is_below = bucket.demand < NEAR_LIMIT * (quota.per_second + quota.others_per_second)
    return not bucket.is_needy or (is_below and now_ms - bucket.urgent_ms >= HOLD_AGAIN_MS)


def zone_quotas(
    limits: Iterable[tuple[int, float, float]], nodes: division.Nodes, bounds: division.Bounds
) -> dict[int, division.ZoneQuota]:
    """Zone's part of each quota, from (tenant, rate a second, burst)."""
    return {
        tenant: division.zone_quota(rate, burst, nodes, bounds) for tenant, rate, burst in limits
    }
