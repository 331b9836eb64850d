"""Which nodes of a zone read the store, with lost nodes and nodes that the store turns away."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from buckthornstage.link import frames
from buckthornstage.membership import store_readers

TICK_MS = 100
DETECTION_MS = 800
"""From the loss of a watched node to its peers seeing it as unreachable."""
TAKEOVER_MS = 2_000


class Zone:
    """Nodes of one zone that hear each other; lost ones are seen as reachable for a while."""

    def __init__(self, count):
        entries = [frames.NodeEntry(f"n{n}", "z", "s", f"10.0.0.{n}:1", 10.0) for n in range(count)]
        self.ranks = {entry.node: store_readers.rank(entry) for entry in entries}
        self.elections = {
            name: store_readers.ReaderElection(rank) for name, rank in self.ranks.items()
        }
        self.lost_ms = {}
        self.turned_away = set()
        self.now_ms = 0
        self.reads = dict.fromkeys(self.ranks, False)
        """Whether each node says that it reads."""

    def run(self, duration_ms, after_tick=lambda: None):
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            said = dict(self.reads)
            for name, election in self.elections.items():
                if name in self.lost_ms:
                    continue
                others = [
                    store_readers.ZoneNode(self.ranks[other], said[other])
                    for other in self.ranks
                    if other != name
                    and self.now_ms - self.lost_ms.get(other, self.now_ms) < DETECTION_MS
                ]
                wants = election.update(others, self.now_ms)
                self.reads[name] = wants and name not in self.turned_away
            after_tick()

    def readers(self):
        return {name for name, reads in self.reads.items() if reads and name not in self.lost_ms}

    def lose(self, names):
        self.lost_ms.update(dict.fromkeys(names, self.now_ms))


@pytest.mark.parametrize("count", [1, 2, 3, 33, 107])
def test_a_zone_of_any_size_has_two_readers(count):
    """Pattern: quiet day. Guards against a cost in store calls that grows with the fleet."""
    zone = Zone(count)
    zone.run(5_000)
    assert len(zone.readers()) == min(count, store_readers.READERS_PER_ZONE)


def test_few_nodes_read_while_a_whole_zone_starts():
    """Pattern: mass start. Guards against a moment at which every node reads the store."""
    zone = Zone(33)
    most = []
    zone.run(3_000, lambda: most.append(len(zone.readers())))
    assert max(most) <= store_readers.READERS_PER_ZONE + 2


@hypothesis.given(strategies.integers(1, 40), strategies.integers(0, 999), strategies.floats(0, 1))
def test_what_is_left_of_a_zone_reads_again_soon(count, seed, share):
    """Pattern: readers killed, or turned away by the store, together with others."""
    zone = Zone(count)
    zone.run(3_000)
    uniform = random.Random(seed).random
    zone.lose([name for name in zone.ranks if uniform() < share / 2])
    zone.turned_away = {name for name in zone.ranks if uniform() < share}
    able = set(zone.ranks) - set(zone.lost_ms) - zone.turned_away
    zone.reads.update(dict.fromkeys(zone.turned_away, False))
    zone.run(TAKEOVER_MS)
    assert bool(zone.readers()) == bool(able)
    zone.run(5_000)
    assert len(zone.readers()) <= store_readers.READERS_PER_ZONE + 1


def test_a_reader_that_returns_takes_over_and_the_substitutes_stop():
    zone = Zone(12)
    zone.run(3_000)
    first = zone.readers()
    zone.turned_away = set(first)
    zone.run(3_000)
    assert zone.readers() and not zone.readers() & first
    zone.turned_away = set()
    zone.run(3_000)
    assert zone.readers() == first


def test_nodes_with_fast_links_read_for_their_zone():
    """Guards against versions that all nodes of a zone fetch over a link of 5 Mbit/s."""
    slow = frames.NodeEntry("slow", "z", "s", "10.0.0.1:1", 5.0)
    fast = frames.NodeEntry("fast", "z", "s", "10.0.0.2:1", 100.0)
    unknown = frames.NodeEntry("unknown", "z", "s", "10.0.0.3:1")
    ordered = sorted((slow, unknown, fast), key=store_readers.rank)
    assert ordered == [fast, slow, unknown]
