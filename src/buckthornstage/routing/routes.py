"""Configuration of the two-hop mesh, and the route table of one version.

The table is compiled completely before it replaces the previous one, so a call sees one version.
"""

import dataclasses
from collections.abc import Callable
from typing import Annotated

import msgspec

from buckthornstage import decoding

MAX_KEY_CHARACTERS = 4_096
Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_CHARACTERS)]
"""Key of a tenant, as its callers send it."""
MAX_TENANTS = 5_000
"""A configuration with more is refused: with two keys each they take about 2 MB in each node."""
MAX_RATE = 1e6
"""Largest rate and burst of a tenant; the whole fleet is designed for 180,000 calls a second."""


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Share of a route's calls that goes to one service; `weight` is relative."""

    service: str
    weight: decoding.Whole


class Route(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One route of a host; times in ms.

    `goal_ms` is the latency objective: a response within it has its full value. `priority` 0 is
    the highest. `max_attempts` limits the number of targets that one call may reach.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    is_bulk: bool
    timeout_ms: decoding.WholeMilliseconds
    goal_ms: decoding.WholeMilliseconds
    priority: decoding.Whole
    max_attempts: decoding.Whole
    shares: tuple[Share, ...]
    is_auth_exempt: bool = False
    """Whether calls need no key of a tenant."""


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """A client account whose callers share a quota.

    `priority` 0 is the highest. `rate_per_second` and `burst` are requests over all nodes together;
    a rate of 0 stands for no limit.
    """

    name: decoding.Name
    keys: tuple[Key, ...]
    priority: decoding.Whole = 0
    rate_per_second: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0


class CallLimits(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Limits on the size of callers' requests, the time to send a header, and the idle time."""

    max_header_bytes: decoding.Whole
    max_body_bytes: decoding.Whole
    header_timeout_ms: decoding.WholeMilliseconds
    idle_timeout_ms: decoding.WholeMilliseconds


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A service that routes may refer to.

    `max_connections` limits the connections to one target from all callers.
    """

    name: str
    max_connections: decoding.Whole


class Configuration(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A complete version of the configuration."""

    version: decoding.Whole
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallLimits
    tenants: tuple[Tenant, ...] = ()

    def max_connections(self, service: str) -> int | None:
        """Connections that a target of the service accepts; None if that is not given."""
        found = (item.max_connections for item in self.services if item.name == service)
        return next(found, 0) or None


def problem(configuration: Configuration) -> str | None:
    """Validates a configuration; returns the first problem, or None.

    A route to a service that is not declared in the same version would fail every call, so the
    whole version is refused instead.
    """
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        if not route.host or not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            return f"route {route.name!r}: needs a host, and a prefix that begins and ends with /"
        named = {item.service for item in route.shares}
        if not named or not named <= services:
            unknown = sorted(named - services)
            return (
                f"route {route.name!r}: needs at least one service; undeclared services: {unknown}"
            )
        if min(item.weight for item in route.shares) < 0 or route.timeout_ms <= 0:
            return f"route {route.name!r}: weights must be >= 0 and the timeout > 0"
        if route.max_attempts < 1 or route.goal_ms <= 0 or route.priority < 0:
            return f"route {route.name!r}: needs max_attempts >= 1, goal > 0 and priority >= 0"
    return _tenant_problem(configuration.tenants)


def _tenant_problem(tenants: tuple[Tenant, ...]) -> str | None:
    """First problem of the tenants, or None. The text names no key, since keys are secret."""
    if len(tenants) > MAX_TENANTS:
        return f"{len(tenants)} tenants, {MAX_TENANTS} allowed"
    owners: dict[str, str] = {}
    names = set()
    for tenant in tenants:
        # The name is the value of a header at the target.
        is_header_value = tenant.name.isprintable() and tenant.name == tenant.name.strip()
        if not tenant.name or tenant.name in names or not is_header_value:
            return f"tenant {tenant.name!r}: needs a printable name that no other tenant has"
        names.add(tenant.name)
        for key in tenant.keys:
            if not key or owners.setdefault(key, tenant.name) != tenant.name:
                return f"tenant {tenant.name!r}: a key is empty or belongs to {owners.get(key)!r}"
    return None


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """Routes of one version, indexed by host and prefix."""

    configuration: Configuration
    hosts: dict[str, dict[str, Route]]
    tenants: dict[str, Tenant]
    """Tenants by key."""
    longest: dict[str, int]
    """Length of the longest prefix of each host."""

    def tenant_of(self, key: str | None) -> Tenant | None:
        """Tenant that holds a key in this version, or None."""
        return None if key is None else self.tenants.get(key)

    def match(self, host: str, path: str) -> Route | None:
        """Route of `host` with the longest prefix of `path` (without query), or None."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        # Each slash is a prefix to look up, and clients send paths that consist of slashes.
        end = min(len(path), self.longest[host])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def compile_table(configuration: Configuration) -> RouteTable:
    """Builds the lookup tables of a validated configuration."""
    hosts: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route
    tenants = {key: tenant for tenant in configuration.tenants for key in tenant.keys}
    longest = {host: max(map(len, prefixes)) for host, prefixes in hosts.items()}
    return RouteTable(configuration, hosts, tenants, longest)


def weighted_round_robin() -> Callable[[Route], str]:
    """Returns a chooser that applies smooth weighted round robin to the shares of each route.

    Unlike random selection, it keeps to the weights over any short sequence of calls.
    """
    credits: dict[tuple[str, tuple[Share, ...]], list[int]] = {}

    def choose(route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        current = credits.setdefault((route.name, route.shares), [0] * len(route.shares))
        for index, share in enumerate(route.shares):
            current[index] += share.weight
        best = max(range(len(current)), key=current.__getitem__)
        current[best] -= sum(share.weight for share in route.shares)
        return route.shares[best].service

    return choose
