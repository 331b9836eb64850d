"""Decodes the operator's configuration record into a configuration of the mesh."""

from typing import Annotated

import msgspec

from buckthornstage import decoding, errors
from buckthornstage.routing import routes

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
MS_PER_SECOND = 1_000
VERSION_BASE = 16  # versions are hexadecimal

_Version = Annotated[str, msgspec.Meta(pattern=r"\A[0-9A-Fa-f]{1,13}\Z")]
"""Thirteen digits stay below `decoding.MAX_WHOLE`."""
MAX_SECONDS = 1e9  # 31 years
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=routes.MAX_RATE)]


class _Share(msgspec.Struct):
    service: str
    weight: decoding.Whole


class _Path(msgspec.Struct):
    name: str
    path_prefix: str
    kind: str
    timeout_s: _Seconds
    slo_latency_s: _Seconds
    max_attempts: decoding.Whole
    priority: decoding.Whole = 0
    service: str | None = None
    traffic_split: list[_Share] | None = None
    auth_exempt: bool = False


class _Host(msgspec.Struct):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct):
    name: str
    max_conns: decoding.Whole = 0


class _Tenant(msgspec.Struct):
    name: decoding.Name
    api_keys: list[routes.Key]
    priority: decoding.Whole = 0
    rate_per_s: _Rate | None = None
    burst: _Rate | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: decoding.Whole
    max_body_bytes: decoding.Whole
    header_timeout_s: _Seconds
    idle_timeout_s: _Seconds


class _VersionOnly(msgspec.Struct):
    version: _Version


class _Document(msgspec.Struct):
    version: _Version
    services: list[_Service]
    limits: _Limits
    virtual_hosts: list[_Host]
    tenants: list[_Tenant] | None = None


# The platform's kinds of requests: whether each may be retried, and which has long responses.
_IDEMPOTENT_KINDS = {"safe": True, "download": True, "unsafe": False, "keyed": False}
_BULK_KIND = "download"

_version_decoder = msgspec.json.Decoder(_VersionOnly)
_document_decoder = msgspec.json.Decoder(_Document)


def decode_version(payload: bytes) -> int:
    """Decodes only the version, which costs far less than `decode`; raises DocumentError."""
    try:
        return int(decoding.decode(_version_decoder, payload).version, VERSION_BASE)
    except msgspec.MsgspecError as error:
        raise errors.DocumentError(f"configuration record: {error!r}") from error


def decode(payload: bytes) -> routes.Configuration:
    """Decodes a configuration record; raises DocumentError if it is invalid."""
    try:
        document = decoding.decode(_document_decoder, payload)
        version = int(document.version, VERSION_BASE)
        configuration = routes.Configuration(
            version=version,
            routes=tuple(
                _route(virtual.host, path)
                for virtual in document.virtual_hosts
                for path in virtual.paths
            ),
            services=tuple(
                routes.Service(service.name, service.max_conns) for service in document.services
            ),
            limits=routes.CallLimits(
                max_header_bytes=document.limits.max_header_bytes,
                max_body_bytes=document.limits.max_body_bytes,
                header_timeout_ms=_to_ms(document.limits.header_timeout_s),
                idle_timeout_ms=_to_ms(document.limits.idle_timeout_s),
            ),
            tenants=tuple(_tenant(tenant) for tenant in document.tenants or ()),
        )
    except (msgspec.MsgspecError, KeyError) as error:
        raise errors.DocumentError(f"configuration record: {error!r}") from error
    problem = routes.problem(configuration)
    if problem:
        raise errors.DocumentError(f"configuration {version}: {problem}")
    return configuration


def _route(host: str, path: _Path) -> routes.Route:
    if path.traffic_split:
        shares = tuple(routes.Share(item.service, item.weight) for item in path.traffic_split)
    else:
        shares = (routes.Share(path.service or "", 1),)
    return routes.Route(
        name=path.name,
        host=host,
        prefix=path.path_prefix,
        is_idempotent=_IDEMPOTENT_KINDS[path.kind],
        is_bulk=path.kind == _BULK_KIND,
        timeout_ms=_to_ms(path.timeout_s),
        goal_ms=_to_ms(path.slo_latency_s),
        priority=path.priority,
        max_attempts=path.max_attempts,
        shares=shares,
        is_auth_exempt=path.auth_exempt,
    )


def _tenant(tenant: _Tenant) -> routes.Tenant:
    return routes.Tenant(
        tenant.name,
        tuple(tenant.api_keys),
        tenant.priority,
        tenant.rate_per_s or 0.0,
        tenant.burst or 0.0,
    )


def _to_ms(seconds: float) -> int:
    """Times above `decoding.MAX_MS`, 23 days, are cut to it; they are valid for the operator."""
    return min(round(seconds * MS_PER_SECOND), decoding.MAX_MS)
