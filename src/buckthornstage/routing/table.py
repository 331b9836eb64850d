"""Immutable routing table, built from the accepted document and the members.

A call uses the table that it started with, so its route, service and targets are of one version.
"""

import dataclasses
import functools
from collections.abc import Iterable

from buckthornstage.document import schema, state
from buckthornstage.membership import records


@dataclasses.dataclass(frozen=True)
class Service:
    """A declared service and its limits; the defaults apply if the limits section has none."""

    backends: schema.BackendService
    limits: schema.ServiceLimits


@dataclasses.dataclass(frozen=True)
class Target:
    """A backend server that accepts calls; `address` is "IP:port", `started_at_ms` is wall time."""

    service: str
    address: str
    zone: str
    slots: int
    connections: int
    incarnation: int
    started_at_ms: int

    @functools.cached_property
    def identity(self) -> tuple[str, int]:
        """Address and incarnation; a restarted backend server is a different target."""
        return (self.address, self.incarnation)


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Routes, services and targets of one document version, and the nodes that share them."""

    version: int = 0
    routes: tuple[schema.Route, ...] = ()
    """Longest prefix first; for the same prefix, routes with methods first."""
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    targets_by_service: dict[str, tuple[Target, ...]] = dataclasses.field(default_factory=dict)
    nodes: tuple[tuple[str, str], ...] = ()
    """(node, zone) of the nodes that make calls, sorted."""
    local_zone: str = ""

    def match(self, method: str, path: str) -> schema.Route | None:
        """Most specific route for the method and the path (without query), or None."""
        return next((route for route in self.matches(path) if accepts_method(route, method)), None)

    def matches(self, path: str) -> tuple[schema.Route, ...]:
        """All routes whose prefix matches the path, most specific first."""
        return tuple(route for route in self.routes if path.startswith(route.prefix))

    def targets(self, service: str) -> tuple[Target, ...]:
        """Targets of the service that accept calls, sorted by address."""
        return self.targets_by_service.get(service, ())


def accepts_method(route: schema.Route, method: str) -> bool:
    """Whether the route accepts this method."""
    return not route.methods or method in route.methods


def build(
    document: state.DocumentState, members: Iterable[records.MemberRecord], local_zone: str
) -> RoutingTable:
    """Builds the table; raises DocumentError when a section body cannot be decoded."""
    available = [record for record in members if _accepts_calls(record)]
    services = _services(document)
    return RoutingTable(
        version=document.version,
        routes=_routes(document),
        services=services,
        targets_by_service=_targets(available, services),
        nodes=tuple(sorted((record.node, record.zone) for record in available)),
        local_zone=local_zone,
    )


def _accepts_calls(record: records.MemberRecord) -> bool:
    # Keep suspect nodes: they may be alive, and a partition must not empty the table. Calls to a
    # dead one fail with connection errors.
    return record.status in (records.MemberStatus.ALIVE, records.MemberStatus.SUSPECT)


def _section(document: state.DocumentState, name: schema.SectionName):
    section = document.sections.get(name)
    return _decoded(name, section.body) if section else None


@functools.lru_cache(maxsize=2 * len(schema.SectionName))
def _decoded(name: schema.SectionName, body: bytes):
    # Cached because every membership change rebuilds the table, mostly from the same sections.
    return schema.decode_section(name, body)


def _services(document: state.DocumentState) -> dict[str, Service]:
    backends = _section(document, schema.SectionName.BACKENDS)
    limits = _section(document, schema.SectionName.LIMITS)
    by_name = {entry.name: entry for entry in limits.services} if limits else {}
    return {
        entry.name: Service(entry, by_name.get(entry.name) or schema.ServiceLimits(entry.name))
        for entry in (backends.services if backends else ())
    }


def _routes(document: state.DocumentState) -> tuple[schema.Route, ...]:
    routing = _section(document, schema.SectionName.ROUTING)
    return tuple(
        sorted(
            routing.routes if routing else (),
            key=lambda route: (-len(route.prefix), not route.methods, route.name),
        )
    )


def _targets(
    available: list[records.MemberRecord], services: dict[str, Service]
) -> dict[str, tuple[Target, ...]]:
    found: dict[str, list[Target]] = {name: [] for name in services}
    announced = ((member, target) for member in available for target in member.targets)
    for record, target in announced:
        if target.service in found and target.status == records.TargetStatus.READY:
            found[target.service].append(
                Target(
                    service=target.service,
                    address=target.address,
                    zone=record.zone,
                    slots=target.slots,
                    connections=target.connections,
                    incarnation=target.incarnation,
                    started_at_ms=target.started_at_ms,
                )
            )
    return {
        name: tuple(sorted(targets, key=lambda target: target.identity))
        for name, targets in found.items()
    }
