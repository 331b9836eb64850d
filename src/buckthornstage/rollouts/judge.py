"""Judges a new version by its failures and run times against the old one, route by route.

Each comparison is a one-sided binomial test against the rate of the old version. It has to hold
without the worst machine of the new version as well, since a failing machine is no bad version.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable, Sequence

from buckthornstage.rollouts import evidence

SLOW_BUCKETS = 3
"""A run is slow from 2.8 times the median of the old version on."""
BAD_PROBABILITY = 1e-4
"""A version is bad if the old version's rate gives as many bad runs with less than this."""
BAD_PROBABILITY_OF_ONE = 1e-6
"""The same if only one machine has run the new version."""
REST_PROBABILITY = 0.02
REST_RATE_FACTOR = 2.5
"""The same for the machines beside the worst one, which see the fault with fewer runs. The expected
rate is higher there, since machines differ: one of 1.4 times the usual run time has twice as many
slow runs."""
SUSPECT_PROBABILITY = 0.02
"""Below this the exposure does not grow."""
LIKELY_PROBABILITY = 1e-3
"""At the end of the period this much is enough against a version, with fewer bad runs: completing a
bad version stops all targets of the old one."""
MIN_BAD_RUNS = 5
LIKELY_REST_PROBABILITY = 0.12
MIN_LIKELY_BAD_RUNS = 3
MIN_BAD_RUNS_OF_ONE = 10
MIN_RATE = 0.01
"""Rate of bad runs that a good version may have in any case; services fail 0.1 to 0.4 % of their
requests without a fault of a version."""
PRIOR_RUNS = 20


@dataclasses.dataclass(frozen=True)
class Finding:
    """What the evidence says of the new version; `reason` names route and figures."""

    is_bad: bool = False
    is_suspect: bool = False
    is_likely_bad: bool = False
    """Enough against the version if there is no time left to learn more."""
    reason: str = ""
    runs: int = 0
    old_runs: int = 0


def find(new: Sequence[evidence.Report], old: Sequence[evidence.Report]) -> Finding:
    """Judges the reports on the new version by those on the old one; the gravest finding counts."""
    runs = sum(report.runs for report in new)
    old_runs = sum(report.runs for report in old)
    findings = [Finding(runs=runs, old_runs=old_runs)]
    for route in sorted({counts.route for report in new for counts in report.routes}):
        new_counts = evidence.on_route(new, route)
        old_counts = evidence.on_route(old, route)
        slow = _slow_counter(_slow_bucket(old_counts))
        findings += [
            dataclasses.replace(
                _compare(count, new_counts, old_counts, f"{route}: {what}"),
                runs=runs,
                old_runs=old_runs,
            )
            for what, count in (("failed", _failures), ("slow", slow))
        ]
    return max(findings, key=lambda item: (item.is_bad, item.is_likely_bad, item.is_suspect))


Counter = Callable[[evidence.RouteCounts], tuple[int, int]]
"""Returns the bad runs of one machine on one route, and all that could have been bad."""


def _failures(counts: evidence.RouteCounts) -> tuple[int, int]:
    return counts.failures, counts.runs


def _slow_counter(limit: int | None) -> Counter:
    def count(counts: evidence.RouteCounts) -> tuple[int, int]:
        if limit is None:
            return 0, 0
        return sum(counts.times[limit:]), sum(counts.times)

    return count


def _slow_bucket(old: Sequence[evidence.RouteCounts]) -> int | None:
    """First bucket of slow runs; None if too little is known of the old version."""
    totals = [sum(column) for column in zip(*(counts.times for counts in old), strict=True)]
    if sum(totals) < PRIOR_RUNS:
        return None
    below = itertools.accumulate(totals)
    median = next(index for index, count in enumerate(below) if 2 * count >= sum(totals))
    return median + SLOW_BUCKETS


def _compare(
    count: Counter,
    new: Sequence[evidence.RouteCounts],
    old: Sequence[evidence.RouteCounts],
    what: str,
) -> Finding:
    machines = [pair for pair in map(count, new) if pair[1]]
    rate = _base_rate([count(counts) for counts in old])
    bad, runs = (sum(column) for column in zip(*machines, strict=True)) if machines else (0, 0)
    probability = tail_probability(bad, runs, rate)
    reason = f"{what} {bad} of {runs} on {len(machines)} machines, expected {rate:.3f}"
    is_suspect = bad > 1 and probability < SUSPECT_PROBABILITY
    if len(machines) < 2:
        is_bad = bad >= MIN_BAD_RUNS_OF_ONE and probability < BAD_PROBABILITY_OF_ONE
        return Finding(is_bad, is_suspect, is_bad, reason)
    worst_bad, worst_runs = max(machines)
    rest_rate = min(0.5, REST_RATE_FACTOR * rate)
    rest = tail_probability(bad - worst_bad, runs - worst_runs, rest_rate)
    is_shared = rest < REST_PROBABILITY
    is_bad = is_shared and bad >= MIN_BAD_RUNS and probability < BAD_PROBABILITY
    is_likely = (
        rest < LIKELY_REST_PROBABILITY
        and bad >= MIN_LIKELY_BAD_RUNS
        and probability < LIKELY_PROBABILITY
    )
    return Finding(is_bad, is_suspect, is_bad or is_likely, reason)


def _base_rate(old: Sequence[tuple[int, int]]) -> float:
    """Rate of bad runs of the old version, without its worst machine if there are several."""
    if len(old) > 2:
        old = sorted(old)[:-1]
    bad, runs = (sum(column) for column in zip(*old, strict=True)) if old else (0, 0)
    prior = PRIOR_RUNS * MIN_RATE
    return max(MIN_RATE, (bad + prior) / (runs + PRIOR_RUNS))


def tail_probability(bad: int, runs: int, rate: float) -> float:
    """Probability of `bad` or more of `runs` independent runs, each bad with `rate`."""
    if bad <= 0:
        return 1.0
    if runs * rate > bad:
        return 1.0
    odds = rate / (1 - rate)
    term = math.exp(
        math.lgamma(runs + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(runs - bad + 1)
        + bad * math.log(rate)
        + (runs - bad) * math.log1p(-rate)
    )
    total = 0.0
    for found in range(bad, runs + 1):
        total += term
        # The terms fall from here on, by more each time.
        if term < total * 1e-6:
            break
        term *= odds * (runs - found) / (found + 1)
    return min(1.0, total)
