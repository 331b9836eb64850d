"""Differences between two versions of a configuration, with a checksum of the whole result."""

import zlib

import msgspec

from buckthornstage import decoding
from buckthornstage.routing import routes

RouteKey = tuple[str, str]
"""Host and prefix; a configuration has one route for each."""


class Delta(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Changes from one version to another; `checksum` is that of the newer one."""

    base_version: decoding.Whole
    version: decoding.Whole
    removed: tuple[RouteKey, ...]
    changed: tuple[routes.Route, ...]
    services: tuple[routes.Service, ...]
    limits: routes.CallLimits
    checksum: int
    tenants: tuple[routes.Tenant, ...] = ()


def key(route: routes.Route) -> RouteKey:
    """Key of a route within its configuration."""
    return route.host, route.prefix


def checksum(configuration: routes.Configuration) -> int:
    """CRC-32 of a configuration, whatever the order of its routes."""
    by_key = {key(route): route for route in configuration.routes}
    ordered = tuple(by_key[name] for name in sorted(by_key))
    return zlib.crc32(
        msgspec.msgpack.encode(msgspec.structs.replace(configuration, routes=ordered))
    )


def make(base: routes.Configuration, newer: routes.Configuration) -> Delta:
    """The changes that turn `base` into `newer`."""
    before = {key(route): route for route in base.routes}
    after = {key(route): route for route in newer.routes}
    return Delta(
        base_version=base.version,
        version=newer.version,
        removed=tuple(name for name in before if name not in after),
        changed=tuple(route for name, route in after.items() if before.get(name) != route),
        services=newer.services,
        limits=newer.limits,
        checksum=checksum(newer),
        tenants=newer.tenants,
    )


def apply(base: routes.Configuration, delta: Delta) -> routes.Configuration:
    """The newer configuration; raises ValueError if `base` is another version or the result is not
    what the sender has."""
    if base.version != delta.base_version:
        raise ValueError(f"delta from version {delta.base_version}, not {base.version}")
    result = {key(route): route for route in base.routes}
    for name in delta.removed:
        result.pop(name, None)
    result.update((key(route), route) for route in delta.changed)
    configuration = routes.Configuration(
        version=delta.version,
        routes=tuple(result.values()),
        services=delta.services,
        limits=delta.limits,
        tenants=delta.tenants,
    )
    if checksum(configuration) != delta.checksum:
        raise ValueError(f"version {delta.version} from a delta has another checksum")
    return configuration


def share_routes(
    configuration: routes.Configuration, previous: routes.Configuration | None
) -> routes.Configuration:
    """The same configuration with the route objects of `previous` where they are equal, so that
    several versions take little more memory than one."""
    if previous is None:
        return configuration
    before = {key(route): route for route in previous.routes}
    shared = tuple(
        known if (known := before.get(key(route))) == route else route
        for route in configuration.routes
    )
    return msgspec.structs.replace(configuration, routes=shared)
