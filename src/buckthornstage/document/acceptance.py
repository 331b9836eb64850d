"""Accepts or refuses publishes as a pure function of the log prefix, the same on every node."""

import enum

import msgspec
import xxhash

from buckthornstage import errors
from buckthornstage.document import schema, signing, state, validation

Fields = dict[str, msgspec.Raw]


class RefusalReason(enum.StrEnum):
    """Closed list of reasons why a publish is refused."""

    MALFORMED = "malformed"
    UNKNOWN_FORMAT = "unknown_format"
    BAD_SIGNATURE = "bad_signature"
    NOT_OWNER = "not_owner"
    CONFLICT = "conflict"
    INVALID_SECTION = "invalid_section"
    INCONSISTENT = "inconsistent"
    DUPLICATE_ID = "duplicate_id"
    OLD_RULES = "old_rules"


class Verdict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Result of validating the record at `offset`.

    The text fields are empty when the record is malformed, and unverified when the reason
    is BAD_SIGNATURE.
    """

    accepted: bool
    reason: RefusalReason | None
    detail: str
    offset: int
    publish_id: str = ""
    section: str = ""
    team: str = ""
    author: str = ""


class _RefusalError(Exception):
    """Aborts the checks of one record; `unverified` is a publish with a wrong signature."""

    def __init__(
        self, reason: RefusalReason, detail: str, unverified: schema.Publish | None = None
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.unverified = unverified


class _Header(msgspec.Struct):
    """Fields common to all record formats."""

    format: int
    rules: int
    team: str
    signature: bytes


_FIELDS = msgspec.msgpack.Decoder(Fields)
_TAG = msgspec.msgpack.Decoder(str)
_HEADER = msgspec.msgpack.Decoder(_Header)
_PUBLISH = msgspec.msgpack.Decoder(schema.Publish)
_ENCODER = msgspec.msgpack.Encoder(order="sorted")


def fold(
    current: state.DocumentState, offset: int, record: bytes, root_public_key: str
) -> tuple[state.DocumentState, Verdict | None]:
    """Applies the record at `offset`, which must be `current.last_offset + 1`.

    Returns the state after it and the verdict, which is None for a checkpoint. Raises ValueError
    for any other offset, and UnknownRulesError for a record with a valid signature whose `format`
    or `rules` is newer than this release supports. No other record content raises.
    """
    if offset != current.last_offset + 1:
        raise ValueError(f"offset {offset} does not follow {current.last_offset}")
    skipped = msgspec.structs.replace(current, last_offset=offset)
    try:
        fields = _decode_fields(record)
        if _tag(fields) == "checkpoint":
            return skipped, None
        publish = _authenticate(current, fields, root_public_key)
    except _RefusalError as refused:
        return skipped, _verdict(refused.unverified, offset, refused)
    try:
        accepted = _accept(current, offset, publish)
    except _RefusalError as refused:
        return _with_recent_id(skipped, publish), _verdict(publish, offset, refused)
    return _with_recent_id(accepted, publish), _verdict(publish, offset, None)


def sections_of(current: state.DocumentState) -> dict[schema.SectionName, schema.Section]:
    """Decodes all sections of an accepted state."""
    return {
        schema.SectionName(name): schema.decode_section(schema.SectionName(name), section.body)
        for name, section in current.sections.items()
    }


def id_hash(publish_id: str) -> int:
    """64-bit hash of a publish id, as kept in `recent_ids`."""
    return xxhash.xxh3_64_intdigest(publish_id.encode("utf-8"))


def _decode_fields(record: bytes) -> Fields:
    if len(record) > schema.MAX_RECORD_BYTES:
        raise _RefusalError(RefusalReason.MALFORMED, f"the record has {len(record)} bytes")
    return _decode(_FIELDS, record)


def _decode(decoder: msgspec.msgpack.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _RefusalError(RefusalReason.MALFORMED, f"not a record: {error}") from error


def _tag(fields: Fields) -> str:
    return _decode(_TAG, fields["type"]) if "type" in fields else ""


def _authenticate(
    current: state.DocumentState, fields: Fields, root_public_key: str
) -> schema.Publish:
    """Checks format and signature before any other field is used.

    A record of a newer format without a valid signature is refused like any forgery; otherwise
    anyone who can append to the log could stop all nodes.
    """
    encoded = _ENCODER.encode(fields)
    header = _decode(_HEADER, encoded)
    if header.format < 1:
        raise _RefusalError(RefusalReason.UNKNOWN_FORMAT, f"there is no format {header.format}")
    keys = _keys_of(current, header.team, root_public_key)
    if not signing.verify(signing.signed_bytes(fields), header.signature, keys):
        detail = f"no key of team {header.team[:63]!r} made the signature"
        raise _RefusalError(RefusalReason.BAD_SIGNATURE, detail, _decode_unverified(encoded))
    if header.format > schema.FORMAT or header.rules > schema.RULES:
        raise errors.UnknownRulesError(
            f"a publish of team {header.team} needs format {header.format} and rules "
            f"{header.rules}; this release knows {schema.FORMAT} and {schema.RULES}; upgrade it"
        )
    return _decode(_PUBLISH, encoded)


def _decode_unverified(encoded: bytes) -> schema.Publish | None:
    try:
        return _decode(_PUBLISH, encoded)
    except _RefusalError:
        return None


def _keys_of(current: state.DocumentState, team: str, root_public_key: str) -> tuple[str, ...]:
    if team == schema.ROOT_TEAM:
        return (root_public_key,)
    member = _teams(current).teams.get(team)
    return member.keys if member else ()


def _teams(current: state.DocumentState) -> schema.Teams:
    section = current.sections.get(schema.SectionName.TEAMS)
    if section is None:
        return schema.Teams({})
    return schema.decode_section(schema.SectionName.TEAMS, section.body)


def _accept(
    current: state.DocumentState, offset: int, publish: schema.Publish
) -> state.DocumentState:
    if id_hash(publish.publish_id) in current.recent_ids:
        raise _RefusalError(RefusalReason.DUPLICATE_ID, "a publish with this id came before")
    if publish.rules < current.rules:
        raise _RefusalError(
            RefusalReason.OLD_RULES,
            f"made for rules {publish.rules}, the document needs {current.rules}; upgrade the tool",
        )
    _check_owner(current, publish)
    _check_base(current, publish)
    _check_content(current, publish)
    section = state.SectionState(
        offset, publish.team, publish.author, publish.publish_id, publish.body
    )
    return msgspec.structs.replace(
        current,
        version=offset,
        rules=publish.rules,
        sections={**current.sections, str(publish.section): section},
        last_offset=offset,
    )


def _check_owner(current: state.DocumentState, publish: schema.Publish) -> None:
    if publish.team == schema.ROOT_TEAM:
        owned = (schema.SectionName.TEAMS,)
    else:
        owned = _teams(current).teams[publish.team].sections
    if publish.section not in owned:
        raise _RefusalError(
            RefusalReason.NOT_OWNER, f"team {publish.team} does not own section {publish.section}"
        )


def _check_base(current: state.DocumentState, publish: schema.Publish) -> None:
    winner = current.sections.get(publish.section)
    current_offset = winner.offset if winner else 0
    if publish.base == current_offset:
        return
    if winner is None:
        detail = f"base {publish.base}, but section {publish.section} has no content yet; use 0"
    else:
        detail = (
            f"base {publish.base}, but {winner.author} of team {winner.team} published section "
            f"{publish.section} at offset {winner.offset}; repeat the edit on that"
        )
    raise _RefusalError(RefusalReason.CONFLICT, detail)


def _check_content(current: state.DocumentState, publish: schema.Publish) -> None:
    try:
        value = schema.decode_section(publish.section, publish.body)
    except errors.DocumentError as error:
        raise _RefusalError(RefusalReason.INVALID_SECTION, str(error)) from error
    problems = validation.first_problems(text for _, text in validation.section_problems(value))
    if problems:
        raise _RefusalError(RefusalReason.INVALID_SECTION, problems)
    sections = {**sections_of(current), publish.section: value}
    problems = validation.first_problems(validation.document_problems(sections))
    if problems:
        raise _RefusalError(RefusalReason.INCONSISTENT, problems)
    others = (item for name, item in current.sections.items() if name != publish.section)
    total = len(publish.body) + sum(len(item.body) for item in others)
    if total > validation.MAX_DOCUMENT_BYTES:
        raise _RefusalError(
            RefusalReason.INCONSISTENT,
            f"the document would have {total} bytes; the limit is {validation.MAX_DOCUMENT_BYTES}",
        )


def _with_recent_id(current: state.DocumentState, publish: schema.Publish) -> state.DocumentState:
    """Adds the publish id; only authenticated ids, so that forged records cannot evict others."""
    hashed = id_hash(publish.publish_id)
    if hashed in current.recent_ids:
        return current
    recent = (*current.recent_ids, hashed)[-state.RECENT_IDS_LIMIT :]
    return msgspec.structs.replace(current, recent_ids=recent)


def _verdict(publish: schema.Publish | None, offset: int, refused: _RefusalError | None) -> Verdict:
    verdict = Verdict(
        accepted=refused is None,
        reason=refused.reason if refused else None,
        detail=refused.detail if refused else "",
        offset=offset,
    )
    if publish is None:
        return verdict
    return msgspec.structs.replace(
        verdict,
        publish_id=publish.publish_id,
        section=str(publish.section),
        team=publish.team,
        author=publish.author,
    )


def is_usable(candidate: state.DocumentState) -> bool:
    """Whether this release can use a state that it did not compute from the log itself."""
    if candidate.rules > schema.RULES or candidate.version > candidate.last_offset:
        return False
    try:
        sections_of(candidate)
    except (errors.DocumentError, ValueError):
        return False
    return all(0 < item.offset <= candidate.version for item in candidate.sections.values())
