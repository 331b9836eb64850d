"""Share of the calls that leaves a zone, by the loads that ingresses report."""

import random

import pytest

from buckthornstage.link import frames
from buckthornstage.routing import ingress_selection, zone_overflow

SLOTS = 10
GOAL_MS = 300.0
CLOSED_LOOP_MS = 20_000


def zone(name, running, count=4, age_ms=100, **state):
    """Candidates of a zone; the node is in zone "a"."""
    fields = {"run_ms": 100.0, "running": running, **state}
    return [
        ingress_selection.Candidate(
            f"{name}{number}",
            name == "a",
            frames.IngressState(frames.IngressStatus.OPEN, SLOTS, **fields),
            age_ms,
            zone=name,
        )
        for number in range(count)
    ]


def decided(*zones, seconds=3.0):
    """Decision after constant reports."""
    overflow = zone_overflow.ZoneOverflow("a")
    candidates = [candidate for group in zones for candidate in group]
    for now_ms in range(0, int(seconds * 1_000), zone_overflow.UPDATE_MS):
        overflow.update(candidates, now_ms)
    return overflow


def chosen_zones(overflow, candidates, is_bulk=False, was_refused=False, calls=300):
    """Zones of the ingresses chosen for calls; None for a refused one."""
    uniform = random.Random(1).random
    found = [
        overflow.choose(candidates, GOAL_MS, is_bulk, was_refused, uniform) for _ in range(calls)
    ]
    return [item and item.candidate.zone for item in found]


def test_a_zone_with_ample_room_sends_nothing_away():
    """Pattern: usual load. Guards against bytes between zones that serve nobody sooner."""
    overflow = decided(zone("a", 6), zone("b", 1))
    assert not overflow.shares and not overflow.is_own_zone_busy()


def test_other_zones_are_observed_before_calls_leave():
    """Pattern: rising wave. Guards against reports that are missing when the first calls leave."""
    assert decided(zone("a", 9)).is_own_zone_busy()
    assert not decided(zone("a", 9), zone("b", 1)).shares


def test_the_share_goes_to_the_zones_with_room_in_proportion():
    """Pattern: shifted waves. Guards against a choice that fills the nearly full zone first."""
    shares = decided(zone("a", 10, waiting=2), zone("b", 2), zone("c", 5), zone("d", 9)).shares
    assert shares["b"] > 1.5 * shares["c"] > 0
    assert "d" not in shares


def test_nothing_leaves_when_all_zones_are_full():
    """Pattern: all zones full. Guards against calls that cross in both directions."""
    groups = zone("a", 10, waiting=25), zone("b", 10, waiting=25), zone("c", 10, waiting=25)
    overflow = decided(*groups, seconds=6)
    assert set(chosen_zones(overflow, [item for group in groups for item in group])) == {"a"}
    refused = chosen_zones(overflow, [*groups[1], *groups[2]], was_refused=True)
    assert set(refused) == {None}


def test_a_zone_without_targets_sends_its_calls_to_full_ones():
    """Pattern: zone that lost all of its targets. Guards against refusing all of its callers."""
    overflow = decided(zone("b", 10, waiting=25), seconds=6)
    assert set(chosen_zones(overflow, zone("b", 10, waiting=25))) == {"b"}


def test_a_failed_call_may_be_repeated_in_a_full_zone():
    """Pattern: failure at the only target near. Guards against a call that is not repeated."""
    overflow = decided(zone("a", 10, waiting=25), zone("b", 10, waiting=25), seconds=6)
    there = zone("b", 10, waiting=2)
    assert set(chosen_zones(overflow, there)) == {"b"}


def test_a_partitioned_zone_gets_nothing():
    """Pattern: partition. Guards against sending by reports from before the partition."""
    overflow = decided(zone("a", 10, waiting=5), zone("b", 2))
    assert overflow.shares
    overflow.update([*zone("a", 10, waiting=5), *zone("b", 2, age_ms=1_001)], 3_000)
    assert not overflow.shares


def test_a_rejecting_zone_is_full_although_it_has_free_slots():
    """Pattern: competing load. Guards against counting slots that targets do not grant."""
    assert decided(zone("a", 6, success_rate=0.5), zone("b", 2)).shares
    assert not decided(zone("a", 12), zone("b", 6, success_rate=0.5)).shares


def test_a_slow_target_counts_for_what_it_completes():
    """Pattern: zone that lost half of its targets. Guards against counting their free slots."""
    lost = zone("a", 0, count=2, run_ms=5_000.0)
    assert decided([*lost, *zone("a", 12, count=2)], zone("b", 2)).shares


def test_long_responses_stay_while_the_goal_is_within_reach():
    """Pattern: overload of one zone. Guards against the price of long responses between zones."""
    busy, free = zone("a", 10, waiting=5), zone("b", 2)
    overflow = decided(busy, free)
    assert "b" in chosen_zones(overflow, [*busy, *free])
    assert set(chosen_zones(overflow, [*busy, *free], is_bulk=True)) == {"a"}


def test_long_responses_leave_only_for_clear_room():
    """Pattern: overload of one zone. Guards against long responses to a zone that is nearly
    full."""
    flooded, near_full = zone("a", 10, waiting=40), zone("b", 9)
    overflow = decided(flooded, near_full)
    assert set(chosen_zones(overflow, [*flooded, *near_full], is_bulk=True)) == {"a"}
    overflow = decided(flooded, zone("b", 2))
    assert set(chosen_zones(overflow, [*flooded, *zone("b", 2)], is_bulk=True)) == {"b"}


@pytest.mark.parametrize("delay_ms", [0, 500, 1_000])
def test_the_share_settles_with_late_reports(delay_ms):
    """Pattern: reports late by a round trip. Guards against a share that swings between none and
    all, which it did with twice the gain and reports late by 1 s."""
    overflow, shares, demand = zone_overflow.ZoneOverflow("a"), [0.0], 13.0
    for now_ms in range(0, CLOSED_LOOP_MS, zone_overflow.UPDATE_MS):
        before = shares[max(0, len(shares) - 1 - delay_ms // zone_overflow.UPDATE_MS)]
        reports = [*zone("a", round(demand * (1 - before))), *zone("b", round(4 + demand * before))]
        overflow.update(reports, now_ms)
        shares.append(sum(overflow.shares.values()))
    settled = shares[len(shares) // 2 :]
    assert max(settled) - min(settled) < 0.15
    assert 0.2 < sum(settled) / len(settled) < 0.45


def test_only_changes_of_the_decision_are_logged():
    """Guards against a log line with each update of the share."""
    overflow, lines = zone_overflow.ZoneOverflow("a"), []
    for now_ms in range(0, 10_000, zone_overflow.UPDATE_MS):
        overflow.update([*zone("a", 12), *zone("b", 2)], now_ms)
        lines.append(overflow.change_to_log(now_ms))
    logged = [line for line in lines if line is not None]
    assert 1 <= len(logged) <= 6
    assert logged[0]["shares"].keys() == {"b"}
