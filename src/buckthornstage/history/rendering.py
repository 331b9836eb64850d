"""Formats events and query results as text lines or JSON lines."""

import datetime
from collections.abc import Iterable

import msgspec

from buckthornstage.history import events, queries

Row = events.Event | queries.InForce | queries.Publication


def json_lines(rows: Iterable[Row]) -> list[str]:
    """One JSON object for each row."""
    return [msgspec.json.encode(row).decode() for row in rows]


def text_lines(rows: Iterable[Row]) -> list[str]:
    """One line of text for each row; times are UTC."""
    return [_text(row) for row in rows]


def time_text(time_ms: int) -> str:
    """ISO 8601 time in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _text(row: Row) -> str:
    if isinstance(row, queries.InForce):
        line = _in_force(row)
    elif isinstance(row, queries.Publication):
        line = _publication(row)
    else:
        line = (
            f"{time_text(row.hlc_ms)}+{row.hlc_counter} {row.zone}/{row.node} {row.kind}"
            f" version {row.version}" + (f" {row.detail}" if row.detail else "")
        )
    # A detail can contain a caller's text, whose line breaks or escape codes could forge lines.
    return "".join(character if character.isprintable() else "?" for character in line)


def _in_force(row: queries.InForce) -> str:
    at = time_text(row.at_ms)
    if row.version is None:
        return f"{row.node} at {at}: no event of this node is that old"
    departure = " (leaving or dead)" if row.is_gone else ""
    line = f"{row.node} at {at}: version {row.version} since {time_text(row.since_ms)}{departure}"
    if row.is_certain:
        return line
    versions = ", ".join(map(str, row.possible))
    return f"{line}; with clocks uncertain by {row.uncertainty_ms} ms it may be one of {versions}"


def _publication(row: queries.Publication) -> str:
    verdict = "accepted" if row.accepted else f"refused ({row.reason})"
    line = (
        f"{time_text(row.at_ms)} offset {row.offset} {row.section} by {row.author}"
        f" of {row.team}: {verdict}"
    )
    return f"{line}: {row.text}" if row.text else line
