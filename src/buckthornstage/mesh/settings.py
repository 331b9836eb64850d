"""Settings of a node of the two-hop mesh, read from YAML and validated before it starts."""

import pathlib
import resource
from typing import Annotated

import msgspec

from buckthornstage import decoding, errors
from buckthornstage.link import frames
from buckthornstage.settings import node_settings

Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]
MS_PER_SECOND = 1_000
MAX_MEMORY_MB = 1e6
MAX_FDS = 1 << 30
OPTIONAL_LIMITS = ("max_fds",)
OPTIONAL_BOUNDS = ("quota_window_s", "quota_overshoot", "quota_slack", "exposure_share")
"""Settings that come from a table where it has them. A template can pass a whole table, but not
every renderer of templates can leave a line out whose value is missing."""


class MeshSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one node; times in seconds, addresses as "IP:port"."""

    node: decoding.Name
    zone: decoding.Name
    service: decoding.Name
    """Service of the target on this VM."""
    target_address: str
    call_address: str
    """Listening address for calls of clients and of the target on this VM."""
    ready_address: str
    announce_address: str
    link_address: str
    """Where peers reach this node, for frames (TCP) and datagrams (UDP)."""
    link_listen_address: str | None = None
    """Listening address for peers if it is not `link_address`, such as behind a proxy."""
    metrics_address: str | None = None
    store_address: str
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=frames.MAX_LINK_MBPS)] = 0.0
    """Rate of this VM's network link; nodes with fast links read the store for their zone."""
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)] = 0.0
    """Memory that this process may use; 0 if unknown. It bounds the bodies of requests, and the
    responses that clients and peers have not taken."""
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=MAX_FDS)] = 0
    """Descriptors that this process may open, if it is less than the system's limit for it; 0 if
    unknown. It bounds the connections of clients and peers."""
    heartbeat_s: Seconds
    """Interval of the target's announcements."""
    clock_offset_s: Annotated[float, msgspec.Meta(ge=-86_400, le=86_400)] = 0.0
    """Added to this machine's time of day, which orders the processes of this node."""
    grace_s: Seconds
    """Time between SIGTERM and the end of the process."""
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)]
    """Retries per call of a service that all nodes together may send."""
    retry_slack: Annotated[float, msgspec.Meta(ge=0, le=10_000)]
    """Additional retries that all nodes together may send within the budget's window."""
    quota_window_s: Seconds = 5.0
    """Window of the bound on a tenant's requests over all nodes; also the next two."""
    quota_overshoot: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    """Part of a tenant's quota by which all nodes together may exceed it."""
    quota_slack: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 20.0
    """Requests by which all nodes together may exceed it besides."""
    exposure_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    """Share of a service's calls that a version which is rolled out may get before its verdict."""
    process_limits: dict[str, object] = {}
    """Limits of this process as a table; only `OPTIONAL_LIMITS` are used."""
    fleet_bounds: dict[str, object] = {}
    """Bounds for all nodes together as a table; only `OPTIONAL_BOUNDS` are used."""

    @property
    def descriptors(self) -> int:
        """Descriptors that this process may open."""
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        system_limit = MAX_FDS if soft_limit == resource.RLIM_INFINITY else soft_limit
        return min(system_limit, self.max_fds or system_limit)

    @property
    def listen_address(self) -> str:
        """Listening address for peers."""
        return self.link_listen_address or self.link_address

    @property
    def clock_offset_ms(self) -> int:
        """`clock_offset_s` in ms."""
        return round(self.clock_offset_s * MS_PER_SECOND)

    @property
    def heartbeat_ms(self) -> int:
        """Interval of the target's announcements in ms."""
        return round(self.heartbeat_s * MS_PER_SECOND)

    @property
    def grace_ms(self) -> int:
        """Time between SIGTERM and the end of the process in ms."""
        return round(self.grace_s * MS_PER_SECOND)


def load(path: pathlib.Path) -> MeshSettings:
    """Reads and validates a settings file; raises SettingsError with file and line."""
    settings = _with_tables(node_settings.load_file(path, MeshSettings), path)
    for name in MeshSettings.__struct_fields__:
        value = getattr(settings, name)
        is_given = name.endswith("_address") and value is not None
        if is_given and not node_settings.is_address(value):
            form = node_settings.ADDRESS_FORM
            raise errors.SettingsError(f"{path}: {name}: {value!r} is not {form}")
    return settings


def _with_tables(settings: MeshSettings, path: pathlib.Path) -> MeshSettings:
    """The settings with the optional ones that their tables have."""
    tables = ((settings.process_limits, OPTIONAL_LIMITS), (settings.fleet_bounds, OPTIONAL_BOUNDS))
    found = {
        name: table[name]
        for table, names in tables
        for name in names
        if table.get(name) is not None
    }
    try:
        return msgspec.convert({**msgspec.to_builtins(settings), **found}, MeshSettings)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(f"{path}: {error}") from error
