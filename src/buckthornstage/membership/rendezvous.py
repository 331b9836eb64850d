"""Rendezvous hashing: every node computes the same ranking of nodes for a key.

When a node joins or leaves, the relative order of all others does not change.
"""

from collections.abc import Iterable

import xxhash

HASH_SPACE = 1 << 64


def weight(key: str | int, node: str) -> int:
    """Hash of key and node, from 0 to HASH_SPACE - 1."""
    return xxhash.xxh3_64_intdigest(f"{key}/{node}".encode())


def ordered(key: str | int, nodes: Iterable[str]) -> list[str]:
    """Nodes ordered by their weight for `key`; the index of a node is its rank."""
    return sorted(nodes, key=lambda node: (weight(key, node), node))
