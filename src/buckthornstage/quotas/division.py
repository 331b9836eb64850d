"""Division of a tenant's quota between zones.

Each zone mints tokens in proportion to its known nodes, whether they are reachable or not. A zone
that lacks tokens gets unused ones of other zones (`quotas.lender`), so that the sum of all tokens
does not depend on which zones reach each other.
"""

import dataclasses

SLACK_SHARE = 0.6
"""Part of the bound's slack that is added to the burst; small tenants need it, since a bucket
below one token never opens."""
OVERSHOOT_SHARE = 0.35
"""Part of the bound's overshoot that is added to the burst. The rest covers tokens in leases and
those that two lenders of one zone mint while one replaces the other."""
GIFT_S = 0.15
"""A zone holds at least the rate of this time as gifts; those of two reports do not fit a bucket
with a small burst."""
START_SHARE = 0.5
"""Part of a zone's slack with which a new lender begins."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What all nodes together may exceed: (rate x window + burst) x (1 + overshoot) + slack."""

    window_s: float
    overshoot: float
    slack: float


@dataclasses.dataclass(frozen=True)
class Nodes:
    """Known nodes, reachable or not."""

    in_zone: int
    total: int
    zones: int


@dataclasses.dataclass(frozen=True)
class ZoneQuota:
    """A zone's part of one tenant's quota, in tokens."""

    per_second: float
    others_per_second: float
    """What all other zones mint."""
    capacity: float
    """Tokens that the zone holds at most by minting."""
    gift_capacity: float
    """Tokens that it holds at most with gifts, without loss."""
    total_capacity: float
    """The same of all zones together."""
    start: float
    """Tokens of a new lender."""


def zone_quota(rate: float, burst: float, nodes: Nodes, bounds: Bounds) -> ZoneQuota:
    """Part of the zone with `nodes.in_zone` nodes in a quota of `rate` per second and `burst`."""
    share = nodes.in_zone / max(1, nodes.total)
    slack = SLACK_SHARE * bounds.slack / max(1, nodes.zones)
    overshoot = OVERSHOOT_SHARE * bounds.overshoot * (rate * bounds.window_s + burst)
    capacity = (burst + overshoot) * share + slack
    return ZoneQuota(
        per_second=rate * share,
        others_per_second=rate * (1 - share),
        capacity=capacity,
        gift_capacity=max(capacity, GIFT_S * rate),
        total_capacity=burst + overshoot + slack * nodes.zones,
        start=START_SHARE * slack,
    )
