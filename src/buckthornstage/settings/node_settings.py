"""Settings of a node, read from YAML and validated before the node starts."""

import ipaddress
import pathlib
import re
from typing import Annotated, TypeVar

import msgspec

from buckthornstage import errors, strict_yaml

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]
Interval = Annotated[int, msgspec.Meta(ge=10, le=600_000)]
MIN_SECRET_CHARACTERS = 32
T = TypeVar("T")
_PORT = re.compile("[0-9]{1,5}")
ADDRESS_FORM = '"IP:port" with a port from 1 to 65535'


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one node; times in ms, addresses as "IP:port"."""

    node: Name
    zone: Name
    region: Name
    call_address: str
    admin_address: str
    control_address: str
    log_url: str
    mesh_secret: str
    root_public_key: str
    admin_tokens: dict[str, str] = {}
    """Team by bearer token, or "read-only" for tokens without team rights."""
    seeds: tuple[str, ...] = ()
    """Control addresses of the nodes that a starting node contacts first."""
    gossip_interval_ms: Interval = 500
    push_fanout: Annotated[int, msgspec.Meta(ge=1, le=16)] = 4
    log_readers: Annotated[int, msgspec.Meta(ge=1, le=8)] = 2
    reader_takeover_ms: Interval = 1_000
    probe_interval_ms: Interval = 1_000
    probe_timeout_ms: Interval = 500
    suspect_ms: Interval = 3_000
    tombstone_ms: Annotated[int, msgspec.Meta(ge=1_000, le=86_400_000)] = 600_000
    startup_peer_ms: Interval = 2_000
    checkpoint_records: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    checkpoint_interval_ms: Annotated[int, msgspec.Meta(ge=1_000, le=86_400_000)] = 600_000
    claim_partitions: Annotated[int, msgspec.Meta(ge=1, le=1_024)] = 4
    claim_batch_ms: Interval = 50
    claim_timeout_ms: Interval = 5_000
    key_window_ms: Annotated[int, msgspec.Meta(ge=60_000, le=604_800_000)] = 86_400_000
    outcome_ms: Annotated[int, msgspec.Meta(ge=1_000, le=86_400_000)] = 600_000
    link_cost_ms: Annotated[int, msgspec.Meta(ge=0, le=1_000)] = 8
    announce_lease_ms: Interval = 3_000
    drain_ms: Interval = 20_000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=1 << 30)] = 8 << 20
    log_level: Annotated[str, msgspec.Meta(pattern=r"^(debug|info|warning|error)\Z")] = "info"


def load_file(path: pathlib.Path, into: type[T]) -> T:
    """Reads a YAML file into the msgspec type `into`.

    Raises SettingsError with file and line if it cannot be read or does not match the type.
    """
    try:
        return strict_yaml.load(path.read_text(encoding="utf-8"), into)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error}") from error
    except strict_yaml.StrictYamlError as error:
        where = f"{path}:{error.line}" if error.line else str(path)
        raise errors.SettingsError(f"{where}: {error.problem}") from error


def load(path: pathlib.Path) -> NodeSettings:
    """Reads and validates a settings file.

    Raises SettingsError with file, line and allowed values for an invalid one.
    """
    settings = load_file(path, NodeSettings)
    problem = next(_problems(settings), None)
    if problem:
        raise errors.SettingsError(f"{path}: {problem}")
    return settings


def _problems(settings: NodeSettings):
    for name in ("call_address", "admin_address", "control_address"):
        if not is_address(getattr(settings, name)):
            yield f"{name}: {getattr(settings, name)!r} is not {ADDRESS_FORM}"
    for seed in settings.seeds:
        if not is_address(seed):
            yield f"seeds: {seed!r} is not {ADDRESS_FORM}"
    if not settings.log_url.startswith("http://"):
        yield f"log_url: {settings.log_url!r} must begin with http://"
    if len(settings.mesh_secret) < MIN_SECRET_CHARACTERS:
        yield f"mesh_secret: use at least {MIN_SECRET_CHARACTERS} characters"


def is_address(text: str) -> bool:
    """Whether the text is "IP:port"."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return bool(_PORT.fullmatch(port)) and 1 <= int(port) <= 65_535
