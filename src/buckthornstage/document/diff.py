"""Human-readable diffs between the section in force and a new version of it."""

import difflib

import msgspec
import yaml

LINE_WIDTH = 100


def readable(body: bytes) -> str:
    """Converts a section's canonical JSON to YAML, with every field in schema order."""
    return yaml.safe_dump(
        msgspec.json.decode(body), sort_keys=False, allow_unicode=True, width=LINE_WIDTH
    )


def difference(
    in_force: bytes | None, new: bytes, old_label: str = "in force", new_label: str = "new"
) -> list[str]:
    """Unified diff as lines without terminators, empty when both sides are equal.

    Both sides are canonical JSON; `in_force` is None for a section without content.
    """
    old_lines = readable(in_force).splitlines() if in_force is not None else []
    return list(
        difflib.unified_diff(
            old_lines, readable(new).splitlines(), old_label, new_label, lineterm=""
        )
    )
