"""Readable differences between a section in force and a new text."""

import difflib

import msgspec
import yaml

LINE_WIDTH = 100


def readable(body: bytes) -> str:
    """YAML of a section's canonical JSON, every field written out in schema order."""
    return yaml.safe_dump(
        msgspec.json.decode(body), sort_keys=False, allow_unicode=True, width=LINE_WIDTH
    )


def difference(
    in_force: bytes | None, new: bytes, old_label: str = "in force", new_label: str = "new"
) -> list[str]:
    """Unified diff lines without line ends, empty when both mean the same.

    Both sides are canonical JSON; `in_force` is None for a section without content.
    """
    old_lines = readable(in_force).splitlines() if in_force is not None else []
    return list(
        difflib.unified_diff(
            old_lines, readable(new).splitlines(), old_label, new_label, lineterm=""
        )
    )
