"""Rendezvous hashing: an order of nodes for a key that every node computes by itself.

When a node joins or leaves, the order of all others stays as it was.
"""

from collections.abc import Iterable

import xxhash

HASH_SPACE = 1 << 64


def weight(key: str | int, node: str) -> int:
    """Hash of key and node, from 0 to HASH_SPACE - 1."""
    return xxhash.xxh3_64_intdigest(f"{key}/{node}".encode())


def ordered(key: str | int, nodes: Iterable[str]) -> list[str]:
    """The nodes in their order for `key`; the index of a node is its rank."""
    return sorted(nodes, key=lambda node: (weight(key, node), node))
