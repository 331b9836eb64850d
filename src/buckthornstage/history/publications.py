"""Detail text of the events `publish_accepted` and `publish_refused`.

The detail is a JSON object, so that queries can name author, section and reason. Long texts are
cut so that the object stays whole within the bound that EventBuffer sets for a detail.
"""

import msgspec

MAX_NAME_CHARACTERS = 64
MAX_TEXT_CHARACTERS = 200


class PublishDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """What became of one publish; `offset` is its place in stream `config`."""

    offset: int
    publish_id: str
    section: str
    team: str
    author: str
    reason: str = ""
    text: str = ""


def encode(detail: PublishDetail) -> str:
    """Detail text for an event; names and text are cut to printable, bounded ones."""
    names = {
        name: _clean(getattr(detail, name), MAX_NAME_CHARACTERS)
        for name in ("publish_id", "section", "team", "author", "reason")
    }
    text = _clean(detail.text, MAX_TEXT_CHARACTERS)
    bounded = msgspec.structs.replace(detail, **names, text=text)
    return msgspec.json.encode(bounded).decode()


def decode(text: str) -> PublishDetail | None:
    """Inverse of `encode`; None when the text was not written by it."""
    try:
        return msgspec.json.decode(text, type=PublishDetail)
    except msgspec.MsgspecError:
        return None


def _clean(text: str, limit: int) -> str:
    """Printable text without quotes and backslashes, which JSON would lengthen."""
    kept = (character if character.isprintable() else " " for character in text[:limit])
    return "".join(kept).replace("\\", "/").replace('"', "'")
