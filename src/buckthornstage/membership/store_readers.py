"""Which nodes of a zone read the store; the others take versions and members from them.

The nodes of a zone are ranked in one order. The first READERS_PER_ZONE that are reachable read. A
node behind them also reads if it sees too few readers before it for a while: a node that reaches
its peers but not the store is no reader. All decide by themselves, and one reader too many is
harmless.
"""

import dataclasses
import zlib
from collections.abc import Iterable

from buckthornstage.link import frames

READERS_PER_ZONE = 2
PATIENCE_MS = 300
"""Time for a better ranked reader to appear before the next node reads as well."""
PATIENCE_MS_PER_RANK = 100
"""Added for each node in between, so that they do not all begin at the same time."""
MAX_PATIENCE_MS = 800

Rank = tuple[float, int, str]


def rank(entry: frames.NodeEntry) -> Rank:
    """Sort key of a node among those of its zone.

    Nodes with fast links come first, because a reader passes each version on.
    """
    address = entry.link_address
    return -entry.link_mbps, zlib.crc32(address.encode()), address


@dataclasses.dataclass(frozen=True)
class ZoneNode:
    """Another reachable node of the zone."""

    rank: Rank
    is_reader: bool


class ReaderElection:
    """Decides whether this node reads the store; times are monotonic ms."""

    def __init__(self, own_rank: Rank) -> None:
        self.own_rank = own_rank
        self.short_since_ms: int | None = None
        """Since when fewer than READERS_PER_ZONE better ranked nodes read."""
        self.is_reader = False
        self.is_lead = False
        """Whether this node reads and no better ranked one says that it does."""

    def update(self, others: Iterable[ZoneNode], now_ms: int) -> bool:
        """Whether this node is to read now, given the other reachable nodes of its zone."""
        before = [node for node in others if node.rank < self.own_rank]
        readers = sum(node.is_reader for node in before)
        if readers >= READERS_PER_ZONE:
            self.short_since_ms, self.is_reader = None, False
        elif len(before) < READERS_PER_ZONE:
            self.is_reader = True
        else:
            if self.short_since_ms is None:
                self.short_since_ms = now_ms
            waiting = len(before) - READERS_PER_ZONE
            patience_ms = min(MAX_PATIENCE_MS, PATIENCE_MS + PATIENCE_MS_PER_RANK * waiting)
            self.is_reader = self.is_reader or now_ms - self.short_since_ms >= patience_ms
        self.is_lead = self.is_reader and not readers
        return self.is_reader
