"""Schema of the document: its sections, and the records of stream `config`."""

import enum
import functools
from typing import Annotated

import msgspec

from buckthornstage import errors

CONFIG_STREAM = "config"
FORMAT = 1  # newest record format that this release supports
RULES = 1  # newest validation rules that this release supports
ROOT_TEAM = "root"
MAX_BODY_BYTES = 1 << 20
# Validating a publish decodes all four sections; a few versions of each are in use at once.
CACHED_SECTIONS = 16
MAX_RECORD_BYTES = MAX_BODY_BYTES + 16 * 1024  # room for the other, short fields of a publish

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]
PublishId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{26,64}\Z")]
# No control characters, because verdicts are printed on terminals.
Author = Annotated[str, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f-\x9f]{1,120}\Z")]
Prefix = Annotated[str, msgspec.Meta(pattern=r"^/[^\x00-\x20\x7f-\x9f?#]{0,1023}\Z")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,20}\Z")]
PublicKeyText = Annotated[str, msgspec.Meta(max_length=44)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Offset = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class SectionName(enum.StrEnum):
    """The sections of the document."""

    TEAMS = "teams"
    ROUTING = "routing"
    BACKENDS = "backends"
    LIMITS = "limits"


class Priority(enum.StrEnum):
    """Priority class of a route's requests, most urgent first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BULK = "bulk"


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sections that a team may publish, and its public keys (base64 of 32 raw bytes each)."""

    sections: tuple[SectionName, ...]
    keys: tuple[PublicKeyText, ...]


class Teams(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `teams`: team name -> team."""

    teams: dict[Name, Team]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests below `prefix` with one of `methods` (empty: all) go to `service`."""

    name: Name
    prefix: Prefix
    service: Name
    methods: tuple[Method, ...] = ()
    priority: Priority = Priority.STANDARD
    idempotent: bool = False
    at_most_once: bool = False
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 10_000


class Routing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `routing`."""

    routes: tuple[Route, ...]


class BackendService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A declared service; `slots` and `connections` apply to each backend server."""

    name: Name
    slots: Count
    connections: Count
    slow_start_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 0


class Backends(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `backends`: the declared services."""

    services: tuple[BackendService, ...]


class ServiceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Queue and retry limits of one service."""

    name: Name
    queue_length: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 64
    queue_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 1_000
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    crash_limit: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `limits`."""

    services: tuple[ServiceLimits, ...]


Section = Teams | Routing | Backends | Limits

SECTION_TYPES: dict[SectionName, type] = {
    SectionName.TEAMS: Teams,
    SectionName.ROUTING: Routing,
    SectionName.BACKENDS: Backends,
    SectionName.LIMITS: Limits,
}


class Publish(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="publish"):
    """One signed edit of a section; `signature` covers all other fields (see `signing`)."""

    format: int
    rules: int
    publish_id: PublishId
    section: SectionName
    base: Offset
    team: Name
    author: Author
    published_at_ms: Offset
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]
    signature: Annotated[bytes, msgspec.Meta(max_length=64)] = b""


class Checkpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="checkpoint"):
    """Encoded `DocumentState` after offset `upto`, authenticated by the mesh secret."""

    upto: Offset
    state: bytes
    digest: str
    node: Name
    mac: Annotated[bytes, msgspec.Meta(max_length=32)] = b""


Record = Publish | Checkpoint

_ENCODER = msgspec.msgpack.Encoder(order="sorted")
_JSON_ENCODER = msgspec.json.Encoder(order="deterministic")


def encode_record(record: Record) -> bytes:
    """Encodes a record for the log; equal records give equal bytes."""
    return _ENCODER.encode(record)


def encode_section(value: Section) -> bytes:
    """Canonical JSON of a section: every field present, fields in schema order, keys sorted."""
    return _JSON_ENCODER.encode(value)


@functools.lru_cache(maxsize=CACHED_SECTIONS)
def decode_section(section: SectionName, body: bytes) -> Section:
    """Decodes canonical JSON; raises DocumentError if it is invalid or not canonical.

    The value is cached and shared between callers, and must not be modified.
    """
    try:
        value = msgspec.json.decode(body, type=SECTION_TYPES[section])
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise errors.DocumentError(f"section {section}: {error}") from error
    if encode_section(value) != body:
        raise errors.DocumentError(f"section {section}: the body is not canonical JSON")
    return value
