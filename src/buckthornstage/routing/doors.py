"""Choice of the door that a call goes to: the least expected time until its answer.

The time is made of the way, the wait behind the calls at the door, and the run, from the door's
own report and what was sent there since. Slow, cold and overloaded targets differ in the run time
and the wait; a target that fails part of its calls has its time divided by its share of successes.
"""

import dataclasses
from collections.abc import Iterable

from buckthornstage.link import frames

CROSSING_MS = 8.0
"""Round trip between availability zones before the first measurement; both sites have 7.8 ms."""
BUSY_WEIGHT = 0.35
"""How much of its run time a full target adds for a call; spreads calls below the limit."""
COLD_FACTOR = 2.0
"""A target that has just started takes about twice its time at both sites."""
NOISE = 0.08
"""Relative noise on each expected time, so that nodes with equal reports choose differently."""
MIN_GOOD_SHARE = 0.1
STALE_MS = 5_000
"""After this time without news a run time above the others' is taken as outdated."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A door with what is known of it; `key` is its link address, empty for the own door."""

    key: str
    is_own_zone: bool
    state: frames.DoorState
    age_ms: int
    rtt_ms: float | None = None
    sent_since: int = 0
    """Calls from here that the report cannot include yet."""
    good_share: float = 1.0


def sent_since(sent_ms: Iterable[int], state_ms: int, rtt_ms: float | None) -> int:
    """How many calls were sent too late to be part of a report that came at `state_ms`."""
    earliest = state_ms - (CROSSING_MS if rtt_ms is None else rtt_ms)
    return sum(1 for sent in sent_ms if sent > earliest)


def wait_ms(candidate: Candidate) -> float:
    """Expected wait of one more call at the door."""
    state = candidate.state
    load = state.running + state.waiting + candidate.sent_since
    places = load + 1 - state.slots
    return max(0, places) * _run_ms(candidate) / max(1, state.slots)


def expected_ms(candidate: Candidate) -> float:
    """Expected time from now until the answer of one more call is here."""
    state = candidate.state
    run_ms = _run_ms(candidate)
    load = state.running + state.waiting + candidate.sent_since
    busy = min(1.0, load / max(1, state.slots))
    way_ms = candidate.rtt_ms
    if way_ms is None:
        way_ms = 0.0 if candidate.is_own_zone else CROSSING_MS
    good = max(MIN_GOOD_SHARE, min(state.good_share, candidate.good_share))
    total_ms = way_ms + wait_ms(candidate) + run_ms * (1 + BUSY_WEIGHT * busy * busy)
    return total_ms / good


def choose(
    candidates: list[Candidate], goal_ms: float, is_bulk: bool, draw
) -> tuple[Candidate, float] | None:
    """Best open door and its expected time in ms, or None without an open door.

    Bulk answers stay in their zone while a door there can meet the goal, because links between
    zones are costly. `draw()` gives random numbers in [0, 1).
    """
    timed = [
        (expected_ms(candidate) * (1 + NOISE * draw()), candidate)
        for candidate in candidates
        if candidate.state.status is frames.DoorStatus.OPEN
    ]
    if not timed:
        return None
    if is_bulk:
        near = [item for item in timed if item[1].is_own_zone and item[0] <= goal_ms]
        timed = near or timed
    time_ms, best = min(timed, key=lambda item: item[0])
    return best, time_ms


def _run_ms(candidate: Candidate) -> float:
    state = candidate.state
    run_ms = state.run_ms
    cold_ms = state.cold_left_ms - candidate.age_ms
    # A cold target's own average already shows the slow runs once some have ended.
    return run_ms * COLD_FACTOR if cold_ms > 0 and not state.running else run_ms
