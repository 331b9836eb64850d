"""Deterministic subsetting: which targets a node connects to, and how many connections to each.

All nodes compute the same assignment from the same members, so the connections of a target stay
below its limit without coordination.
"""

import dataclasses
import heapq
import math

from buckthornstage.routing import table

SUBSET_CONNECTION_FRACTION = 0.9  # the rest is for short-lived connections from outside the subset
MIN_CONNECTIONS = 2


@dataclasses.dataclass(frozen=True)
class Subset:
    """Targets of one node, and the number of connections that it may open to each."""

    targets: tuple[table.Target, ...]
    connections: int


def sizes(nodes: int, targets: int, connections: int) -> tuple[int, int]:
    """Number of targets per node and connections per target, both at least 1.

    `connections` is the limit of one target for all nodes together. Without targets, both are 0.
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
    """Subset of `node`; `nodes` are all (node, zone) pairs, sorted.

    A node that is not among them gets all targets.
    """
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
    """Target indexes of every node: from its own zone, then any; the least assigned first.

    All targets get about the same number of nodes. Up to half of a subset (rounded up) is in the
    node's own zone: calls stay there, but can go to other zones when it is full.
    """
    max_nodes = math.ceil(len(nodes) * size / len(targets))
    nodes_per_target = [0] * len(targets)
    chosen: dict[str, list[int]] = {name: [] for name, _ in nodes}
    by_zone: dict[str, list[int]] = {}
    for index, target in enumerate(targets):
        by_zone.setdefault(target.zone, []).append(index)
    heaps = {zone: [(0, index) for index in group] for zone, group in by_zone.items()}
    for _ in range(math.ceil(size / 2)):
        for name, zone in nodes:
            if zone in heaps:
                _assign_least_loaded(heaps[zone], nodes_per_target, chosen[name], max_nodes)
    all_targets = [(count, index) for index, count in enumerate(nodes_per_target)]
    heapq.heapify(all_targets)
    for name, _ in nodes:
        while len(chosen[name]) < size:
            _assign_least_loaded(all_targets, nodes_per_target, chosen[name], len(nodes))
    return chosen


def _assign_least_loaded(
    heap: list[tuple[int, int]], nodes_per_target: list[int], chosen: list[int], max_nodes: int
) -> None:
    """Assigns the target with the fewest nodes not yet in `chosen`, if below `max_nodes`."""
    popped = []
    while heap:
        entry = heapq.heappop(heap)
        index = entry[1]
        if index not in chosen:
            if nodes_per_target[index] < max_nodes:
                nodes_per_target[index] += 1
                chosen.append(index)
                entry = (nodes_per_target[index], index)
            popped.append(entry)
            break
        popped.append(entry)
    for entry in popped:
        heapq.heappush(heap, entry)
