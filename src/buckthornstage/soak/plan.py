"""Plan of the faults of one run; the same seed gives the same plan."""

import dataclasses
import enum
import itertools
import random
from collections.abc import Iterator, Sequence

CALL_MS = 1_500
"""Time that a caller gives its call; once it is over, the node fails a call that still runs."""
MEAN_GAP_MS = 600
MIN_DURATION_MS, MAX_DURATION_MS = 300, 3_000
START_MS = 1_500
NODES_BEHIND_PROXIES = 8
"""Nodes whose links to peers can be disturbed. Datagrams grow faster than the number of nodes, and
all proxies share one loop."""
MEMORY_MB = 100
"""Memory of each node."""
QUIET_END_MS = 6_000
"""No fault is active in this time before the end, so that recovery can be judged."""


class FaultKind(enum.StrEnum):
    """Faults from outside; those that concern a link lie between a node and one other side."""

    STOP_NODE = "stop_node"
    KILL_NODE = "kill_node"
    PAUSE_NODE = "pause_node"
    KILL_ALL_NODES = "kill_all_nodes"
    KILL_TARGET = "kill_target"
    LEAVE_TARGET = "leave_target"
    LOSE_ANSWERS = "lose_answers"
    SECOND_ANSWERS = "second_answers"
    RESET_CALLERS = "reset_callers"
    RESET_TARGET_LINK = "reset_target_link"
    DELAY_TARGET_LINK = "delay_target_link"
    SILENCE_TARGET_LINK = "silence_target_link"
    CUT_ANSWERS_OF_TARGET = "cut_answers_of_target"
    SILENCE_STORE_LINK = "silence_store_link"
    REFUSE_STORE_LINK = "refuse_store_link"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_WRITES_LATE = "store_writes_late"
    STORE_FORGETS = "store_forgets"
    CHANGE_CONFIGURATION = "change_configuration"
    RESTORE_STORE = "restore_store"
    LIMIT_TARGET = "limit_target"
    TELL_LEAVE = "tell_leave"
    SILENCE_PEER_LINK = "silence_peer_link"
    CUT_ANSWERS_TO_PEERS = "cut_answers_to_peers"
    DELAY_PEER_LINK = "delay_peer_link"
    RESET_PEER_LINK = "reset_peer_link"
    LOSE_DATAGRAMS = "lose_datagrams"
    STEP_CLOCK = "step_clock"
    MUTE_STORE_LINKS = "mute_store_links"
    MUTE_PEER_LINKS = "mute_peer_links"
    MUTE_TARGET_LINK = "mute_target_link"
    MISBEHAVING_CLIENTS = "misbehaving_clients"


LATER_KINDS = {
    "later": (FaultKind.RESTORE_STORE, FaultKind.LIMIT_TARGET, FaultKind.TELL_LEAVE),
    "peers": (
        FaultKind.SILENCE_PEER_LINK,
        FaultKind.CUT_ANSWERS_TO_PEERS,
        FaultKind.DELAY_PEER_LINK,
        FaultKind.RESET_PEER_LINK,
        FaultKind.LOSE_DATAGRAMS,
        FaultKind.STEP_CLOCK,
    ),
    "silent connections": (
        FaultKind.MUTE_STORE_LINKS,
        FaultKind.MUTE_PEER_LINKS,
        FaultKind.MUTE_TARGET_LINK,
    ),
    "clients": (FaultKind.MISBEHAVING_CLIENTS,),
}
"""Each group is drawn by a generator of its own, so that a seed gives the same other faults as
before the group was added."""
LATER_MEAN_GAP_MS = 2_500
PLANNED = frozenset(
    {
        FaultKind.STOP_NODE,
        FaultKind.LEAVE_TARGET,
        FaultKind.CHANGE_CONFIGURATION,
        FaultKind.TELL_LEAVE,
        FaultKind.MISBEHAVING_CLIENTS,
    }
)
"""Planned work, and clients that do not behave, around which no request that was read may be
lost."""
OF_STORE = frozenset(
    {
        FaultKind.SILENCE_STORE_LINK,
        FaultKind.REFUSE_STORE_LINK,
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_LOSES_ANSWERS,
        FaultKind.STORE_WRITES_LATE,
        FaultKind.STORE_FORGETS,
        FaultKind.RESTORE_STORE,
        FaultKind.MUTE_STORE_LINKS,
    }
)
OF_ALL_NODES = frozenset({FaultKind.KILL_ALL_NODES, FaultKind.MUTE_PEER_LINKS})
DISRUPTIONS_OF_ALL = OF_ALL_NODES | {
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_ANSWERS,
    FaultKind.STORE_WRITES_LATE,
    FaultKind.RESTORE_STORE,
    FaultKind.MUTE_STORE_LINKS,
}
"""Faults after which no node is in touch. The store may drop the history of a topic at any time."""
DISRUPTIONS_OF_NODE = frozenset(
    {
        FaultKind.STOP_NODE,
        FaultKind.KILL_NODE,
        FaultKind.PAUSE_NODE,
        FaultKind.SILENCE_STORE_LINK,
        FaultKind.REFUSE_STORE_LINK,
        *LATER_KINDS["peers"],
    }
)
AT_ONCE = frozenset(
    {FaultKind.RESET_PEER_LINK, FaultKind.MUTE_STORE_LINKS, FaultKind.MUTE_PEER_LINKS}
)
"""Disruptions of open connections, which are over at once: new ones work."""
RARE = frozenset({FaultKind.KILL_ALL_NODES})
LEAST_MS = {
    FaultKind.STOP_NODE: 7_500,
    FaultKind.LEAVE_TARGET: 4_000,
    FaultKind.LIMIT_TARGET: 7_500,
    FaultKind.TELL_LEAVE: 4_000,
    FaultKind.KILL_NODE: 1_500,
    FaultKind.KILL_ALL_NODES: 1_500,
}
"""Time that the effect of a fault lasts at least: a stop takes up to the grace time of 6 s, and a
start about a second."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault; times in ms from the start of the run, `node` is an index."""

    at_ms: int
    duration_ms: int
    kind: FaultKind
    node: int

    @property
    def end_ms(self) -> int:
        """When the fault is taken away."""
        return self.at_ms + self.duration_ms

    def disrupts(self, node: int, begin_ms: int, end_ms: int) -> bool:
        """Whether the fault disrupts the node, its links or the store in this time."""
        is_its = self.kind in DISRUPTIONS_OF_NODE and self.touches(node)
        last_ms = self.at_ms if self.kind in AT_ONCE else self.end_ms
        concerns = is_its or self.kind in DISRUPTIONS_OF_ALL
        return concerns and self.at_ms <= end_ms and begin_ms <= last_ms

    def touches(self, node: int) -> bool:
        """Whether the fault may concern the node: itself, its target or the link to its peers."""
        proxied = self.node % NODES_BEHIND_PROXIES
        return self.kind in OF_ALL_NODES or node in (self.node, proxied)


def make(
    seed: int, duration_ms: int, node_count: int, is_planned_only: bool = False
) -> tuple[Fault, ...]:
    """Overlapping faults of all kinds; the last QUIET_END_MS are without any.

    With `is_planned_only`, planned work and faults of the store alone: nothing excuses a lost call.
    """
    chosen = [kind for kind in FaultKind if not is_planned_only or kind in PLANNED | OF_STORE]
    last_ms = duration_ms - QUIET_END_MS
    all_later = set(itertools.chain(*LATER_KINDS.values()))
    first = [kind for kind in chosen if kind not in all_later]
    kinds = [kind for kind in first for _ in range(1 if kind in RARE else 3)]
    faults = list(_series(random.Random(seed), kinds, MEAN_GAP_MS, last_ms, node_count))
    for name, group in LATER_KINDS.items():
        if later := [kind for kind in group if kind in chosen]:
            rng = random.Random(f"{name} {seed}")
            faults += _series(rng, later, LATER_MEAN_GAP_MS, last_ms, node_count)
    return tuple(faults)


def _series(
    rng: random.Random, kinds: Sequence[FaultKind], mean_gap_ms: int, last_ms: int, node_count: int
) -> Iterator[Fault]:
    at_ms = float(START_MS)
    while at_ms < last_ms:
        kind = rng.choice(kinds)
        length_ms = max(LEAST_MS.get(kind, 0), rng.randint(MIN_DURATION_MS, MAX_DURATION_MS))
        fault = Fault(int(at_ms), length_ms, kind, rng.randrange(node_count))
        if fault.end_ms <= last_ms:
            yield fault
        at_ms += rng.expovariate(1 / mean_gap_ms)
