"""Choice of the ingress that a call goes to: the least expected time until its response.

The time is made of the way, the wait behind the calls at the ingress, and the run, from the
ingress's own report and what was sent there since; for long responses also of the time on the link
of the ingress's node. Slow, cold and overloaded targets differ in the run time and the wait; a
target that fails more of its calls than the best has its time scaled up for it.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from buckthornstage.link import frames

CROSSING_MS = 8.0
"""Round trip between availability zones before the first measurement; both sites have 7.8 ms."""
BUSY_WEIGHT = 0.35
"""How much of its run time a full target adds for a call; spreads calls below the limit."""
COLD_FACTOR = 2.0
"""A target that has just started takes about twice its time at both sites."""
NOISE = 0.08
"""Relative noise on each expected time, so that nodes with equal reports choose differently."""
NEAR_GOAL_SHARE = 0.5
"""A call stays in its zone while an ingress there is expected to take less than this part of its
goal: links between zones are paid by the byte, and half of the goal is left for a wrong estimate.
"""
NEAR_BULK_SHARE = 1.0
"""The same for bulk responses, of which each costs as much as several hundred others."""
MIN_SUCCESS_RATE = 0.1
DEFAULT_RUN_MS = 100.0
"""Run time while no ingress of a service has reported one."""


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An ingress with what is known of it; `key` is its link address, empty for the own one."""

    key: str
    is_own_zone: bool
    state: frames.IngressState
    age_ms: int
    rtt_ms: float | None = None
    sent_since: int = 0
    """Calls from here that the report cannot include yet."""
    success_rate: float = 1.0


def sent_since(sent_ms: Sequence[int], state_ms: int, rtt_ms: float | None) -> int:
    """How many calls were sent too late to be part of a report that came at `state_ms`."""
    if not sent_ms:
        return 0
    earliest = state_ms - (CROSSING_MS if rtt_ms is None else rtt_ms)
    return sum(1 for sent in sent_ms if sent > earliest)


def wait_ms(candidate: Candidate) -> float:
    """Expected wait of one more call at the ingress."""
    state = candidate.state
    load = state.running + state.waiting + candidate.sent_since
    places = load + 1 - state.slots
    return max(0, places) * state.run_ms / max(1, state.slots)


def expected_ms(candidate: Candidate, is_bulk: bool = False) -> float:
    """Expected time from now until the response of one more call is here.

    A long response (`is_bulk`) waits for the link of an ingress on another node.
    """
    state = candidate.state
    load = state.running + state.waiting + candidate.sent_since
    busy = min(1.0, load / max(1, state.slots))
    way_ms = candidate.rtt_ms
    if way_ms is None:
        way_ms = 0.0 if candidate.is_own_zone else CROSSING_MS
    link_ms = state.bulk_ms if is_bulk and candidate.key else 0
    return way_ms + wait_ms(candidate) + state.run_ms * (1 + BUSY_WEIGHT * busy * busy) + link_ms


def choose(
    candidates: list[Candidate], goal_ms: float, is_bulk: bool, draw: Callable[[], float]
) -> tuple[Candidate, float] | None:
    """Best open candidate and its expected time in ms, or None without an open one.

    Candidates of the own zone go first while they leave enough of the goal. `draw()` gives random
    numbers in [0, 1).
    """
    open_candidates = [
        candidate for candidate in candidates if candidate.state.status is frames.IngressStatus.OPEN
    ]
    if not open_candidates:
        return None
    rates = [_success_rate(candidate) for candidate in open_candidates]
    best_rate = max(rates)
    rated = [
        # Failures count against a candidate only where another one does better.
        (candidate, rate / best_rate, 1 + NOISE * draw())
        for candidate, rate in zip(_with_run_times(open_candidates), rates, strict=True)
    ]
    near_ms = goal_ms * (NEAR_BULK_SHARE if is_bulk else NEAR_GOAL_SHARE)
    # Most candidates are in other zones; their times are needed only if no near one will do.
    near = [item for item in _timed(rated, is_bulk, is_near_only=True) if item[0] <= near_ms]
    _, time_ms, best = min(near or _timed(rated, is_bulk), key=lambda item: item[0])
    return best, time_ms


def _timed(
    rated: Iterable[tuple[Candidate, float, float]], is_bulk: bool, is_near_only: bool = False
) -> list[tuple[float, float, Candidate]]:
    """Time to compare by, expected time and candidate, of all or of those in the own zone."""
    timed = []
    for candidate, relative_rate, noise in rated:
        if candidate.is_own_zone or not is_near_only:
            time_ms = expected_ms(candidate, is_bulk)
            timed.append((time_ms / relative_rate * noise, time_ms, candidate))
    return timed


def _success_rate(candidate: Candidate) -> float:
    rate = min(candidate.state.success_rate, candidate.success_rate)
    return rate if rate > MIN_SUCCESS_RATE else MIN_SUCCESS_RATE


def _with_run_times(candidates: list[Candidate]) -> list[Candidate]:
    """The same candidates, with a run time for those that have none yet: the best of the others.

    One that were taken as average would get no call beside a faster one, and never show what its
    target can do.
    """
    known = [item.state.run_ms for item in candidates if item.state.run_ms > 0]
    best_ms = min(known, default=DEFAULT_RUN_MS)
    return [item if item.state.run_ms > 0 else _with_run_time(item, best_ms) for item in candidates]


def _with_run_time(candidate: Candidate, best_ms: float) -> Candidate:
    is_cold = candidate.state.cold_left_ms > candidate.age_ms
    run_ms = best_ms * COLD_FACTOR if is_cold else best_ms
    state = msgspec.structs.replace(candidate.state, run_ms=run_ms)
    return msgspec.structs.replace(candidate, state=state)
