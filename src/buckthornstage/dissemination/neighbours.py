"""Neighbours of a node: its successors on several hash rings of the zone's members."""

from collections.abc import Iterable

import xxhash


def _position(ring: int, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{ring}/{node}".encode())


def successors(node: str, members: Iterable[str], rings: int) -> tuple[str, ...]:
    """Returns up to `rings` distinct other members, one successor from each ring.

    Rings change little when a member joins or leaves, so connections stay few and long-lived.
    """
    others = sorted(set(members) - {node})
    chosen: list[str] = []
    for ring in range(min(rings, len(others))):
        own = _position(ring, node)
        free = (name for name in others if name not in chosen)
        chosen.append(min(free, key=lambda name: (_position(ring, name) - own) % (1 << 64)))
    return tuple(chosen)
