"""Reads KNOWN-RED.txt: tests and bench runs that fail because of a fault that is not fixed yet.

Entries are separated by blank lines; lines that begin with `#` are comments. Each entry has the
fields `test` (a pytest node id, or `none` for a bench run), `command`, `seen` and `issue`.
A field may continue on indented lines.
"""

import dataclasses
import itertools
import pathlib
import re

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
NO_TEST = "none"
FIELD = re.compile(r"(\w+):\s*(\S.*)")


class KnownRedError(ValueError):
    """The list is malformed; the text names the line or the entry."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """One known failure."""

    test: str
    command: str
    seen: str
    issue: str

    def covers(self, node_id):
        """Whether the entry names this test; parametrized tests need the id with the parameter."""
        return self.test != NO_TEST and node_id == self.test


def parse(text):
    """Entries of the list in order; raises KnownRedError."""
    lines = [line.rstrip() for line in text.splitlines() if not line.startswith("#")]
    blocks = itertools.groupby(lines, key=bool)
    entries = [_entry(tuple(block)) for is_filled, block in blocks if is_filled]
    names = [entry.test for entry in entries if entry.test != NO_TEST]
    if len(set(names)) != len(names):
        raise KnownRedError("a test is listed twice")
    return entries


def load(path=PATH):
    """Entries of the file; an empty list if it does not exist."""
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def _entry(lines):
    fields, name = {}, None
    for line in lines:
        found = FIELD.fullmatch(line)
        if found and not line[0].isspace():
            name = found[1]
            if name in fields:
                raise KnownRedError(f"{name} appears twice in the entry with {line!r}")
            fields[name] = found[2]
        elif name and line[0].isspace():
            fields[name] += " " + line.strip()
        else:
            raise KnownRedError(f"not a field: {line!r}")
    expected = {field.name for field in dataclasses.fields(Entry)}
    if set(fields) != expected:
        raise KnownRedError(f"the entry with {lines[0]!r} needs the fields {sorted(expected)}")
    return Entry(**fields)
