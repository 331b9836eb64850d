"""Selects the ingress with the lowest expected response time, preferring the own zone.

The expected time is the sum of the network round trip, the queueing delay and the run time. It is
based on the ingress's last report and the calls sent there since; long responses add the time on
the link of the ingress's node. Slow, cold and overloaded targets show up in the run time and the
queueing delay. The time of a target with a lower success rate than the best one is scaled up.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from buckthornstage.link import frames

DEFAULT_INTER_ZONE_RTT_MS = 8.0
"""Used before the first measurement; the round trip between zones is 7.8 ms in both deployments."""
UTILIZATION_WEIGHT = 0.35
"""Fraction of the run time added when all slots are in use; spreads calls below the limit."""
COLD_FACTOR = 2.0
"""Targets that have just started take about twice their normal run time in both deployments."""
NOISE = 0.08
"""Relative random noise on expected times; nodes with equal reports then choose differently."""
LOCAL_ZONE_GOAL_FRACTION = 0.5
"""A call stays in its zone if an ingress there is expected to respond within this fraction of the
goal. Traffic between zones is charged by the byte; half of the goal is left for estimation errors.
"""
LOCAL_ZONE_BULK_GOAL_FRACTION = 1.0
"""The same for bulk responses. Each costs as much between zones as several hundred others, so a
call leaves its zone only if the goal would be missed there."""
REMOTE_PENALTY_FRACTION = 0.2
"""Added to the expected time at other zones, as a fraction of the goal. When all zones are full,
calls would otherwise cross in both directions, which is charged by the byte, holds the slots of
calling targets for longer, and serves nobody sooner."""
STRAINED_FRACTION = 0.7
"""Part of the limit above at which a zone counts as strained: ingresses of other zones are then
observed, so that their reports are recent when calls leave the zone."""
MIN_SUCCESS_RATE = 0.1
DEFAULT_RUN_MS = 100.0
"""Run time until an ingress of the service has reported one."""


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An ingress and what this node knows of it: its last report and own measurements.

    `key` is its link address, empty for this node's ingress; `age_ms` is the age of the report.
    """

    key: str
    is_own_zone: bool
    state: frames.IngressState
    age_ms: int
    rtt_ms: float | None = None
    sent_since: int = 0
    """Calls sent by this node too late to be included in the report."""
    success_rate: float = 1.0
    pace_ratio: float = 1.0
    """Expected pace of the target now, relative to the one that the report is based on."""
    kind_ratio: float = 1.0
    """Run time of the call's kind, relative to the average of all kinds."""
    passed: int = 0
    """Waiting calls that an additional call would start before."""
    zone: str = ""


def passed_calls(state: frames.IngressState, priority: int | None, is_resubmitted: bool) -> int:
    """Waiting calls that a call of this route priority would start before; none without one.

    A resubmitted call precedes those of its priority that were not refused before, so only the
    few calls that take turns with it would start first.
    """
    if not state.ahead or priority is None:
        return 0
    if is_resubmitted:
        return state.waiting
    for waiting_priority, ahead in state.ahead:
        if waiting_priority == priority:
            return max(0, state.waiting - ahead)
    return state.waiting


def sent_since(sent_ms: Sequence[int], state_ms: int, rtt_ms: float | None) -> int:
    """Number of calls sent too late to be included in a report received at `state_ms`, including
    those that were sent in the same millisecond."""
    if not sent_ms:
        return 0
    earliest = state_ms - (DEFAULT_INTER_ZONE_RTT_MS if rtt_ms is None else rtt_ms)
    return sum(1 for sent in sent_ms if sent >= earliest)


def wait_ms(candidate: Candidate) -> float:
    """Expected queueing delay of an additional call at the ingress."""
    state = candidate.state
    load = state.running + state.waiting - candidate.passed + candidate.sent_since
    queued = load + 1 - state.slots
    slot_wait_ms = max(0, queued) * state.run_ms * candidate.pace_ratio / max(1, state.slots)
    if not state.start_interval_ms:
        return slot_wait_ms
    rate_wait_ms = max(0.0, state.start_wait_ms - candidate.age_ms)
    return max(slot_wait_ms, rate_wait_ms + candidate.sent_since * state.start_interval_ms)


def expected_ms(candidate: Candidate, is_bulk: bool = False) -> float:
    """Expected time until the response to an additional call arrives.

    For a long response (`is_bulk`) from another node, it includes the wait for that node's link.
    """
    state = candidate.state
    load = state.running + state.waiting - candidate.passed + candidate.sent_since
    utilization = min(1.0, load / max(1, state.slots))
    rtt_ms = candidate.rtt_ms
    if rtt_ms is None:
        rtt_ms = 0.0 if candidate.is_own_zone else DEFAULT_INTER_ZONE_RTT_MS
    link_ms = state.bulk_ms if is_bulk and candidate.key else 0
    return (
        rtt_ms
        + wait_ms(candidate)
        + state.run_ms
        * candidate.pace_ratio
        * candidate.kind_ratio
        * (1 + UTILIZATION_WEIGHT * utilization * utilization)
        + link_ms
    )


def choose(
    candidates: list[Candidate], goal_ms: float, is_bulk: bool, uniform: Callable[[], float]
) -> tuple[Candidate, float] | None:
    """Returns the best open candidate and its expected time in ms, or None if none is open.

    Candidates in the own zone are preferred as long as they leave enough of the goal. `uniform()`
    returns random numbers in [0, 1).
    """
    open_candidates = [
        candidate for candidate in candidates if candidate.state.status is frames.IngressStatus.OPEN
    ]
    if not open_candidates:
        return None
    rates = [success_rate(candidate) for candidate in open_candidates]
    best_rate = max(rates)
    weighted = [
        # Failures only count against a candidate if another one has a higher success rate.
        (candidate, rate / best_rate, 1 + NOISE * uniform())
        for candidate, rate in zip(_with_default_run_times(open_candidates), rates, strict=True)
    ]
    limit_ms = local_limit_ms(goal_ms, is_bulk)
    # Most candidates are in other zones; estimate them only if no local one is fast enough.
    local = _estimates(weighted, is_bulk, is_own_zone=True)
    if not local or min(item[0] for item in local) > limit_ms:
        penalty_ms = REMOTE_PENALTY_FRACTION * goal_ms
        local += [
            (score + penalty_ms, time_ms, candidate)
            for score, time_ms, candidate in _estimates(weighted, is_bulk, is_own_zone=False)
        ]
    _, time_ms, best = min(local, key=lambda item: item[0])
    return best, time_ms


def is_zone_strained(found: tuple[Candidate, float] | None, goal_ms: float, is_bulk: bool) -> bool:
    """Whether the result of `choose` left the own zone, or is about to."""
    if found is None or not found[0].is_own_zone:
        return True
    return found[1] > STRAINED_FRACTION * local_limit_ms(goal_ms, is_bulk)


def local_limit_ms(goal_ms: float, is_bulk: bool) -> float:
    """Expected time up to which a call stays in its zone."""
    return goal_ms * (LOCAL_ZONE_BULK_GOAL_FRACTION if is_bulk else LOCAL_ZONE_GOAL_FRACTION)


def _estimates(
    weighted: Iterable[tuple[Candidate, float, float]], is_bulk: bool, is_own_zone: bool
) -> list[tuple[float, float, Candidate]]:
    """(score, expected time, candidate) of the candidates in the own zone, or of the others.

    The score is the time in ms to compare by, lower is better; the expected time is in ms.
    """
    estimates = []
    for candidate, relative_rate, noise in weighted:
        if candidate.is_own_zone is is_own_zone:
            time_ms = expected_ms(candidate, is_bulk)
            estimates.append((time_ms / relative_rate * noise, time_ms, candidate))
    return estimates


def success_rate(candidate: Candidate) -> float:
    """Recent share of proper responses, as the ingress or this node saw them; bounded below."""
    rate = min(candidate.state.success_rate, candidate.success_rate)
    return rate if rate > MIN_SUCCESS_RATE else MIN_SUCCESS_RATE


def _with_default_run_times(candidates: list[Candidate]) -> list[Candidate]:
    """The same candidates; those without a run time get the lowest one of the others.

    With an average run time, a new target next to a faster one would get no calls and its run time
    would never be measured.
    """
    known = [item.state.run_ms for item in candidates if item.state.run_ms > 0]
    best_ms = min(known, default=DEFAULT_RUN_MS)
    return [
        item if item.state.run_ms > 0 else _with_default_run_time(item, best_ms)
        for item in candidates
    ]


def _with_default_run_time(candidate: Candidate, best_ms: float) -> Candidate:
    is_cold = candidate.state.cold_left_ms > candidate.age_ms
    run_ms = best_ms * COLD_FACTOR if is_cold else best_ms
    state = msgspec.structs.replace(candidate.state, run_ms=run_ms)
    return msgspec.structs.replace(candidate, state=state)
