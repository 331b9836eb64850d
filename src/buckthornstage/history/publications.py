"""Detail text of the events `publish_accepted` and `publish_refused`.

The detail is a JSON object, so that queries can report author, section and reason. Long texts are
truncated so that the JSON fits the detail limit of EventBuffer, which would otherwise cut it.
"""

import msgspec

from buckthornstage import decoding

MAX_NAME_CHARACTERS = 64
MAX_TEXT_CHARACTERS = 200


class PublishDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome of one publish; `offset` is its offset in stream `config`."""

    offset: int
    publish_id: str
    section: str
    team: str
    author: str
    reason: str = ""
    text: str = ""


_DECODER = msgspec.json.Decoder(PublishDetail)


def encode(detail: PublishDetail) -> str:
    """Detail text for an event; names and text are made printable and truncated."""
    names = {
        name: _sanitize(getattr(detail, name), MAX_NAME_CHARACTERS)
        for name in ("publish_id", "section", "team", "author", "reason")
    }
    text = _sanitize(detail.text, MAX_TEXT_CHARACTERS)
    bounded = msgspec.structs.replace(detail, **names, text=text)
    return msgspec.json.encode(bounded).decode()


def decode(text: str) -> PublishDetail | None:
    """Inverse of `encode`; None when the text was not written by it."""
    try:
        return decoding.decode(_DECODER, text.encode())
    except msgspec.MsgspecError:
        return None


def _sanitize(text: str, limit: int) -> str:
    """Printable text without double quotes and backslashes, whose JSON escapes are longer."""
    printable = (character if character.isprintable() else " " for character in text[:limit])
    return "".join(printable).replace("\\", "/").replace('"', "'")
