"""Which node of a zone lends the tokens of a tenant.

Tenants are split into groups; the lender of a group is the first usable node of the zone by
rendezvous hash, so that a node that joins or leaves changes few lenders.
"""

import itertools
from collections.abc import Callable, Iterable

import xxhash

from buckthornstage.membership import rendezvous

NODES_PER_GROUP = 10
MAX_GROUPS = 8
ID_SPACE = 1 << 32


def group_count(zone_nodes: int) -> int:
    """Number of groups of a zone with so many nodes."""
    return max(1, min(MAX_GROUPS, zone_nodes // NODES_PER_GROUP))


def tenant_ids(names: Iterable[str]) -> dict[str, int]:
    """Number of each tenant; nodes with the same names have the same numbers."""
    ids: dict[str, int] = {}
    taken: set[int] = set()
    for name in sorted(names):
        number = xxhash.xxh32_intdigest(name.encode())
        while number in taken:
            number = (number + 1) % ID_SPACE
        taken.add(number)
        ids[name] = number
    return ids


class ZoneLenders:
    """Ranked nodes of one zone for each group; `addresses` are all known nodes of the zone."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self.addresses = frozenset(addresses)
        self.groups = group_count(len(self.addresses))
        self.orders = [
            tuple(rendezvous.ordered(f"quota-{group}", self.addresses))
            for group in range(self.groups)
        ]

    def order(self, tenant: int) -> tuple[str, ...]:
        """Nodes of the zone that may lend a tenant, the best first."""
        return self.orders[tenant % self.groups]

    def first(self, tenant: int, is_usable: Callable[[str], bool]) -> str | None:
        """The first usable node of the order; the very first if none is, None without nodes."""
        order = self.order(tenant)
        return next(filter(is_usable, order), order[0] if order else None)

    def outranks(self, address: str, other: str, tenant: int) -> bool:
        """Whether `address` comes before `other`; a node that is not known comes last."""
        order = self.order(tenant)
        ranks = [order.index(item) if item in order else len(order) for item in (address, other)]
        return ranks[0] < ranks[1]


HEARD_MS = 2_000
"""A lender of another zone that was heard within this time is asked again."""
REDIRECT_MS = 2_500
"""A node defers for so long to a better ranked one that says once a second that it lends."""
DOUBT_MS = 30
"""Asks that reach a node which defers make it doubt the lender, which then has to answer
within this time."""
UNANSWERED_REPORTS = 3
"""Reports with a need that may stay unanswered until the next node by rank gets them."""
RIVALS = 3
USABLE_RIVALS = 2
"""Nodes of the zone that a lender tells what it lends."""
SILENT_MS = 5_000
"""A node that answers no asks is asked again after this time, or once it is heard; each such try
costs requests 40 ms."""
SILENT_REPORT_MS = 2_000
"""The same for reports, for which no request waits."""
MAX_FAILURES = 4
"""Each time that a node stays silent doubles the time until it is asked again, up to 2 to this
power; otherwise several failed nodes would be asked in turn, and never the one behind them."""


class LenderChoice:
    """Which node lends a tenant in each zone, as this node sees it; times are ms.

    `is_reachable(address)` and `heard_ms(address)` are what the directory knows, which may look at
    a node seldom.
    """

    def __init__(
        self,
        own: str,
        zone: str,
        is_reachable: Callable[[str], bool],
        heard_ms: Callable[[str], float],
    ) -> None:
        self.own = own
        self.zone = zone
        self.is_reachable = is_reachable
        self.heard_ms = heard_ms
        self.now_ms = 0
        self.zones: dict[str, ZoneLenders] = {}
        self.silent: dict[str, tuple[int, int]] = {}
        """Nodes that answered nothing: since when, and until when they are not asked again."""
        self.redirects: dict[int, tuple[str, int]] = {}
        """By group of the own zone: the lender that another node named, and until when."""
        self.doubted_ms: dict[int, int] = {}
        """By group: since when the lender to which this node defers is doubted."""
        self.remote: dict[tuple[str, int], tuple[str, int]] = {}
        """By zone and its group: the lender that reported last, and when."""
        self.unanswered: dict[str, int] = {}
        self.failures: dict[str, int] = {}

    def set_nodes(self, zones: dict[str, frozenset[str]]) -> None:
        """Takes the known nodes of each zone, this one included."""
        self.zones = {
            zone: (
                known
                if (known := self.zones.get(zone)) is not None and known.addresses == addresses
                else ZoneLenders(addresses)
            )
            for zone, addresses in zones.items()
        }
        known = frozenset().union(*zones.values())
        self.silent = {a: times for a, times in self.silent.items() if a in known}
        self.unanswered = {a: count for a, count in self.unanswered.items() if a in known}
        self.failures = {a: count for a, count in self.failures.items() if a in known}

    def is_usable(self, address: str) -> bool:
        """Whether a node may be asked."""
        if address == self.own:
            return True
        if address in self.silent:
            since_ms, until_ms = self.silent[address]
            if self.now_ms < until_ms and self.heard_ms(address) <= since_ms:
                return False
            del self.silent[address]
        return self.is_reachable(address)

    def set_silent(self, address: str, duration_ms: int = SILENT_MS) -> None:
        """Notes that a node does not answer."""
        failures = self.failures.get(address, 0)
        self.failures[address] = min(failures + 1, MAX_FAILURES)
        self.silent[address] = (self.now_ms, self.now_ms + (duration_ms << failures))

    def hear(self, address: str) -> None:
        """Notes that a node has sent a message."""
        self.silent.pop(address, None)
        self.unanswered.pop(address, None)
        self.failures.pop(address, None)

    def group(self, tenant: int) -> int:
        """Group of a tenant in the own zone."""
        return tenant % self.zones[self.zone].groups

    def lender(self, tenant: int, now_ms: int) -> str:
        """Node of the own zone to ask."""
        address = self.standing_lender(tenant, now_ms)
        if address is not None and self.is_usable(address):
            return address
        return self.zones[self.zone].first(tenant, self.is_usable) or self.own

    def redirect(self, tenant: int, address: str, now_ms: int) -> None:
        """Takes that a tenant is lent by another node than the one that was asked."""
        self.silent.pop(address, None)
        self.doubted_ms.pop(self.group(tenant), None)
        self.redirects[self.group(tenant)] = (address, now_ms + REDIRECT_MS)

    def is_first(self, tenant: int) -> bool:
        """Whether this node is the first of its zone by rank, whichever others are reachable."""
        return self.zones[self.zone].order(tenant)[0] == self.own

    def rivals(self, tenant: int) -> tuple[str, ...]:
        """Other nodes of the own zone that may lend a tenant, or know who does: the first by rank,
        silent ones included, and the first usable ones."""
        others = [a for a in self.zones[self.zone].order(tenant) if a != self.own]
        usable = itertools.islice(filter(self.is_usable, others), USABLE_RIVALS)
        return tuple(dict.fromkeys((*others[:RIVALS], *usable)))

    def standing_lender(self, tenant: int, now_ms: int) -> str | None:
        """The better ranked node that has said lately that it lends a tenant."""
        address, until_ms = self.redirects.get(self.group(tenant), ("", 0))
        return address if now_ms < until_ms else None

    def doubt(self, tenant: int, now_ms: int) -> bool:
        """Notes an ask or report that reaches this node although it defers; returns whether
        the lender has been doubted for too long, and this node defers no longer."""
        group = self.group(tenant)
        if now_ms - self.doubted_ms.setdefault(group, now_ms) <= DOUBT_MS:
            return False
        del self.doubted_ms[group]
        address, _ = self.redirects.pop(group)
        self.set_silent(address)
        return True

    def outranks(self, address: str, tenant: int) -> bool:
        """Whether a node of the own zone lends a tenant before this one."""
        return self.zones[self.zone].outranks(address, self.own, tenant)

    def heard_lender(self, zone: str, tenant: int, address: str, now_ms: int) -> None:
        """Notes that a node of another zone reports on a tenant."""
        if zone in self.zones and address in self.zones[zone].addresses:
            self.remote[zone, tenant % self.zones[zone].groups] = (address, now_ms)

    def remote_lender(self, zone: str, tenant: int, now_ms: int) -> str | None:
        """Node of another zone that gets reports on a tenant."""
        lenders = self.zones[zone]
        address, heard_ms = self.remote.get((zone, tenant % lenders.groups), ("", 0))
        if address and now_ms - heard_ms < HEARD_MS and self.is_usable(address):
            return address
        return lenders.first(tenant, self.is_usable)

    def count_report(self, address: str) -> None:
        """Counts a report that should be answered."""
        self.unanswered[address] = self.unanswered.get(address, 0) + 1
        if self.unanswered[address] > (1 if address in self.failures else UNANSWERED_REPORTS):
            self.set_silent(address, SILENT_REPORT_MS)
            del self.unanswered[address]
