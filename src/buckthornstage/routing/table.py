"""The routing table: one immutable object built from the accepted document and the members.

A call keeps the table it began with, so it never sees a route without the service and the targets
of the same version.
"""

import dataclasses
import enum
import functools
from collections.abc import Iterable

import msgspec

from buckthornstage import errors
from buckthornstage.document import state
from buckthornstage.membership import records


class Priority(enum.IntEnum):
    """Class of a call in the queue of its service; the smallest value goes first."""

    INTERACTIVE = 0
    STANDARD = 1
    BULK = 2


@dataclasses.dataclass(frozen=True)
class Route:
    """Where the calls below `prefix` go; no `methods` means all methods."""

    name: str
    prefix: str
    methods: frozenset[str]
    service: str
    priority: Priority
    idempotent: bool
    at_most_once: bool
    timeout_ms: int

    def takes(self, method: str) -> bool:
        """Whether the route serves this method."""
        return not self.methods or method in self.methods


@dataclasses.dataclass(frozen=True)
class Service:
    """Declared sizes and limits of one service; times in ms."""

    name: str
    slots: int
    connections: int
    slow_start_ms: int = 0
    queue_length: int = 100
    queue_ms: int = 1_000
    retry_ratio: float = 0.1
    max_attempts: int = 3
    crash_limit: int = 2


@dataclasses.dataclass(frozen=True)
class Target:
    """One backend server that takes calls: `address` is "IP:port", `started_at_ms` wall time."""

    service: str
    address: str
    zone: str
    slots: int
    connections: int
    incarnation: int
    started_at_ms: int

    @functools.cached_property
    def identity(self) -> tuple[str, int]:
        """Address and incarnation: a restarted backend server is another target."""
        return (self.address, self.incarnation)


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Routes, services and targets of one document version, with the nodes that share them."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    """Longest prefix first; within one prefix the routes with methods first."""
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    targets_by_service: dict[str, tuple[Target, ...]] = dataclasses.field(default_factory=dict)
    nodes: tuple[tuple[str, str], ...] = ()
    """(node, zone) of the nodes that make calls, sorted."""
    local_zone: str = ""

    def match(self, method: str, path: str) -> Route | None:
        """First route for method and path (without query), or None."""
        return next((route for route in self.matches(path) if route.takes(method)), None)

    def matches(self, path: str) -> tuple[Route, ...]:
        """All routes whose prefix the path begins with, the preferred one first."""
        return tuple(route for route in self.routes if path.startswith(route.prefix))

    def targets(self, service: str) -> tuple[Target, ...]:
        """Targets of the service that take calls, sorted by address."""
        return self.targets_by_service.get(service, ())


class _RouteSpec(msgspec.Struct, frozen=True):
    name: str
    prefix: str
    service: str
    timeout_ms: int
    methods: tuple[str, ...] = ()
    priority: str = "standard"
    idempotent: bool = False
    at_most_once: bool = False


class _RoutingSpec(msgspec.Struct, frozen=True):
    routes: tuple[_RouteSpec, ...] = ()


class _ServicesSpec(msgspec.Struct, frozen=True):
    services: tuple[dict, ...] = ()


def build(
    document: state.DocumentState, members: Iterable[records.MemberRecord], local_zone: str
) -> RoutingTable:
    """Builds the table; raises DocumentError when a section body cannot be decoded."""
    present = [record for record in members if _takes_calls(record)]
    try:
        services = _services(document)
        routes = _routes(document)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise errors.DocumentError(f"version {document.version}: {error}") from error
    return RoutingTable(
        version=document.version,
        routes=routes,
        services=services,
        targets_by_service=_targets(present, services),
        nodes=tuple(sorted((record.node, record.zone) for record in present)),
        local_zone=local_zone,
    )


def _takes_calls(record: records.MemberRecord) -> bool:
    # A suspect node may be alive: calls find out by connection failures, and a partition must
    # not empty the table.
    return record.status in (records.MemberStatus.ALIVE, records.MemberStatus.SUSPECT)


def _section(document: state.DocumentState, name: str, spec: type):
    section = document.sections.get(name)
    return msgspec.json.decode(section.body, type=spec) if section else spec()


def _services(document: state.DocumentState) -> dict[str, Service]:
    limits = {
        entry["name"]: entry for entry in _section(document, "limits", _ServicesSpec).services
    }
    backends = _section(document, "backends", _ServicesSpec).services
    return {entry["name"]: Service(**(entry | limits.get(entry["name"], {}))) for entry in backends}


def _routes(document: state.DocumentState) -> tuple[Route, ...]:
    specs = _section(document, "routing", _RoutingSpec).routes
    ordered = sorted(specs, key=lambda spec: (-len(spec.prefix), not spec.methods, spec.name))
    return tuple(
        Route(
            name=spec.name,
            prefix=spec.prefix,
            methods=frozenset(spec.methods),
            service=spec.service,
            priority=Priority[spec.priority.upper()],
            idempotent=spec.idempotent,
            at_most_once=spec.at_most_once,
            timeout_ms=spec.timeout_ms,
        )
        for spec in ordered
    )


def _targets(
    present: list[records.MemberRecord], services: dict[str, Service]
) -> dict[str, tuple[Target, ...]]:
    found = {
        name: sorted(
            (
                Target(
                    service=name,
                    address=target.address,
                    zone=record.zone,
                    slots=target.slots,
                    connections=target.connections,
                    incarnation=target.incarnation,
                    started_at_ms=target.started_at_ms,
                )
                for record in present
                for target in record.targets
                if target.service == name and target.status == records.TargetStatus.READY
            ),
            key=lambda target: target.identity,
        )
        for name in services
    }
    return {name: tuple(targets) for name, targets in found.items()}
