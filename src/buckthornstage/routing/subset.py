"""Which targets a node connects to, and with how many connections each.

All nodes compute the same assignment from the same members, so the connections of a target stay
below its limit without any coordination.
"""

import dataclasses
import math

from buckthornstage.routing import table

CONNECTION_SHARE = 0.9  # the rest is for short-lived connections from outside the subset
MIN_CONNECTIONS = 2


@dataclasses.dataclass(frozen=True)
class Subset:
    """Targets of one node, with the connections that it may open to each of them."""

    targets: tuple[table.Target, ...]
    connections: int


def sizes(nodes: int, targets: int, connections: int) -> tuple[int, int]:
    """Number of targets for each node, and connections to each, both at least 1.

    `connections` is what one target takes from all nodes together.
    """
    total = CONNECTION_SHARE * connections * targets / max(1, nodes)
    if targets == 0:
        return (0, 0)
    each = math.floor(total / targets)
    if each >= MIN_CONNECTIONS:
        return (targets, each)
    return (max(1, min(targets, math.floor(total))), 1)


def assign(
    nodes: tuple[tuple[str, str], ...], targets: tuple[table.Target, ...], node: str
) -> Subset:
    """Subset of `node`, given all (node, zone) pairs sorted; a node not listed gets one anyway."""
    if not targets:
        return Subset((), 0)
    connections = min(target.connections for target in targets)
    size, each = sizes(len(nodes), len(targets), connections)
    if size >= len(targets) or node not in (name for name, _ in nodes):
        return Subset(targets, each)
    chosen = _rounds(nodes, targets, size)[node]
    return Subset(tuple(targets[index] for index in sorted(chosen)), each)


def _rounds(
    nodes: tuple[tuple[str, str], ...], targets: tuple[table.Target, ...], size: int
) -> dict[str, list[int]]:
    """Indexes of the targets of every node: first near ones, then the rest in rounds.

    Each target has the same number of places. Up to half of a subset (rounded up) lies in the
    node's own zone, so that calls stay there and still have somewhere to go when it is full.
    """
    places = [math.ceil(len(nodes) * size / len(targets))] * len(targets)
    chosen: dict[str, list[int]] = {name: [] for name, _ in nodes}
    by_zone: dict[str, list[int]] = {}
    for index, target in enumerate(targets):
        by_zone.setdefault(target.zone, []).append(index)
    cursors = dict.fromkeys(by_zone, 0)
    for _ in range(math.ceil(size / 2)):
        for name, zone in nodes:
            near = by_zone.get(zone)
            if near:
                cursors[zone] = _take(near, cursors[zone], places, chosen[name])
    everywhere = list(range(len(targets)))
    cursor = 0
    for name, _ in nodes:
        while len(chosen[name]) < size:
            before = len(chosen[name])
            cursor = _take(everywhere, cursor, places, chosen[name])
            if len(chosen[name]) == before:
                break
    return chosen


def _take(ring: list[int], cursor: int, places: list[int], chosen: list[int]) -> int:
    """Gives the node the next target of the ring that has a place left; returns the cursor."""
    for step in range(len(ring)):
        index = ring[(cursor + step) % len(ring)]
        if places[index] > 0 and index not in chosen:
            places[index] -= 1
            chosen.append(index)
            return cursor + step + 1
    return cursor
