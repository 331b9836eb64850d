"""Memory that the heads of requests take once they are parsed."""

FIELD_BYTES = 160
"""For each line of a head beside its bytes; 3,900 lines of two characters took 130 each."""
UNCOUNTED_BYTES = 8 * 1024
"""Heads up to this size are part of what a connection takes; those of browsers have 2 to 5 KB."""


def counted_bytes(lines: int, size: int) -> int:
    """Memory to reserve for a head with so many lines and bytes; 0 for a usual one."""
    total = size + FIELD_BYTES * lines
    return total if total > UNCOUNTED_BYTES else 0
