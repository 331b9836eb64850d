"""Gossip neighbours of a node: its successors on several hash rings of the zone's members."""

from collections.abc import Iterable

from buckthornstage.membership import rendezvous


def successors(node: str, members: Iterable[str], rings: int) -> tuple[str, ...]:
    """Returns up to `rings` distinct other members, one successor from each ring.

    A join or leave changes few successors, so connections stay few and long-lived.
    """
    others = sorted(set(members) - {node})
    chosen: list[str] = []
    for ring in range(min(rings, len(others))):
        own = rendezvous.weight(ring, node)
        free = (name for name in others if name not in chosen)

        def distance(name: str, ring: int = ring, own: int = own) -> int:
            return (rendezvous.weight(ring, name) - own) % rendezvous.HASH_SPACE

        chosen.append(min(free, key=distance))
    return tuple(chosen)
