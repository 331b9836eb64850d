"""Configuration of the two-hop mesh, and the route table of one version.

A configuration is compiled whole to the side and then swapped in, so a call sees one version.
"""

import dataclasses
from collections.abc import Callable

import msgspec


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Part of a route's calls that goes to one service; `weight` is relative."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One route of a host; times in ms.

    `goal_ms` is the time within which an answer has its full value. `priority` 0 is the most
    urgent. `max_attempts` counts the targets that one call may reach.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    is_bulk: bool
    timeout_ms: int
    goal_ms: int
    priority: int
    max_attempts: int
    shares: tuple[Share, ...]


class CallLimits(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Bounds on what a caller may send, and on how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A service that routes may name; its targets take `max_connections` from all callers."""

    name: str
    max_connections: int


class Configuration(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One whole version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallLimits


def problem(configuration: Configuration) -> str | None:
    """Why a configuration cannot be taken as a whole, or None.

    A route to a service that the same version does not hold would fail calls one by one, so the
    version is refused instead.
    """
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        if not route.host or not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            return f"route {route.name!r}: give a host, and a prefix that begins and ends with /"
        named = {item.service for item in route.shares}
        if not named or not named <= services:
            unknown = sorted(named - services)
            return f"route {route.name!r}: name a service, and declare it: {unknown}"
        if min(item.weight for item in route.shares) < 0 or route.timeout_ms <= 0:
            return f"route {route.name!r}: weights and the timeout must not be negative"
        if route.max_attempts < 1 or route.goal_ms <= 0 or route.priority < 0:
            return f"route {route.name!r}: max_attempts, goal and priority are out of range"
    return None


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """Routes of one version by host and prefix."""

    configuration: Configuration
    hosts: dict[str, dict[str, Route]]

    def match(self, host: str, path: str) -> Route | None:
        """Route with the longest prefix of `path` (without a query) at `host`, or None."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def compile_table(configuration: Configuration) -> RouteTable:
    """Builds the lookup tables of a checked configuration."""
    hosts: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route
    return RouteTable(configuration, hosts)


def weighted_round_robin() -> Callable[[Route], str]:
    """Smooth weighted round robin over the shares of each route.

    Shares then hold over any few calls in a row, which a random draw would not give.
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
