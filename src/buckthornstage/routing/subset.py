"""Which targets a node connects to, and with how many connections each.

All nodes compute the same assignment from the same members, so the connections of a target stay
below its limit without any coordination.
"""

import dataclasses
import heapq
import math

from buckthornstage.routing import table

SUBSET_CONNECTION_FRACTION = 0.9  # the rest is for short-lived connections from outside the subset
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
    total = SUBSET_CONNECTION_FRACTION * connections * targets / max(1, nodes)
    if targets == 0:
        return (0, 0)
    connections_each = math.floor(total / targets)
    if connections_each >= MIN_CONNECTIONS:
        return (targets, connections_each)
    return (max(1, min(targets, math.floor(total))), 1)


def assign(
    nodes: tuple[tuple[str, str], ...], targets: tuple[table.Target, ...], node: str
) -> Subset:
    """Subset of `node`, given all (node, zone) pairs sorted; a node not listed gets one anyway."""
    if not targets:
        return Subset((), 0)
    connections = min(target.connections for target in targets)
    size, connections_each = sizes(len(nodes), len(targets), connections)
    if size >= len(targets) or node not in (name for name, _ in nodes):
        return Subset(targets, connections_each)
    chosen = assign_all(nodes, targets, size)[node]
    return Subset(tuple(targets[index] for index in sorted(chosen)), connections_each)


def assign_all(
    nodes: tuple[tuple[str, str], ...], targets: tuple[table.Target, ...], size: int
) -> dict[str, list[int]]:
    """Indexes of the targets of every node: first near ones, then those with the fewest nodes.

    All targets get about the same number of nodes. Up to half of a subset (rounded up) lies in
    the node's own zone, so that calls stay there and still have somewhere to go when it is full.
    """
    max_nodes = math.ceil(len(nodes) * size / len(targets))
    load = [0] * len(targets)
    chosen: dict[str, list[int]] = {name: [] for name, _ in nodes}
    by_zone: dict[str, list[int]] = {}
    for index, target in enumerate(targets):
        by_zone.setdefault(target.zone, []).append(index)
    heaps = {zone: [(0, index) for index in group] for zone, group in by_zone.items()}
    for _ in range(math.ceil(size / 2)):
        for name, zone in nodes:
            if zone in heaps:
                _assign_least_loaded(heaps[zone], load, chosen[name], max_nodes)
    all_targets = [(count, index) for index, count in enumerate(load)]
    heapq.heapify(all_targets)
    for name, _ in nodes:
        while len(chosen[name]) < size:
            _assign_least_loaded(all_targets, load, chosen[name], len(nodes))
    return chosen


def _assign_least_loaded(
    heap: list[tuple[int, int]], load: list[int], chosen: list[int], max_nodes: int
) -> None:
    """Gives the node the target with the fewest nodes that it lacks, if that has below `most`."""
    popped = []
    while heap:
        entry = heapq.heappop(heap)
        index = entry[1]
        if index not in chosen:
            if load[index] < max_nodes:
                load[index] += 1
                chosen.append(index)
                entry = (load[index], index)
            popped.append(entry)
            break
        popped.append(entry)
    for entry in popped:
        heapq.heappush(heap, entry)
