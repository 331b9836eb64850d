"""State of the accepted document: immutable, and the same on all nodes for one log prefix."""

import msgspec
import xxhash

RECENT_IDS_LIMIT = 256  # publishes; about 9 hours at 680 changes a day


class SectionState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Accepted content of one section; `body` is canonical JSON, `offset` its log offset."""

    offset: int
    team: str
    author: str
    publish_id: str
    body: bytes


class DocumentState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State after folding the log up to `last_offset`.

    `version` is the offset of the last accepted publish (0: none). `recent_ids` holds 64-bit
    hashes of the newest publish ids, accepted or refused, oldest first.
    """

    version: int = 0
    rules: int = 1
    sections: dict[str, SectionState] = {}
    last_offset: int = 0
    recent_ids: tuple[int, ...] = ()


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(DocumentState)


def empty() -> DocumentState:
    """State before any publish."""
    return DocumentState()


def encode(state: DocumentState) -> bytes:
    """Encodes the state; equal states give equal bytes."""
    return _ENCODER.encode(state)


def decode(data: bytes) -> DocumentState:
    """Decodes what `encode` wrote; raises msgspec.MsgspecError for anything else."""
    return _DECODER.decode(data)


def digest(state: DocumentState) -> str:
    """Digest of the document itself (version, rules, sections) as 32 hex digits.

    The position in the log is left out, so nodes that read the log and nodes that learn the
    state from peers agree on the digest.
    """
    content = _ENCODER.encode((state.version, state.rules, state.sections))
    return xxhash.xxh3_128_hexdigest(content)
