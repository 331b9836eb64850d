import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies

import fake_targets
from buckthornstage.document import schema
from buckthornstage.membership import records
from buckthornstage.routing import selection, subset, table

DEFAULT = hypothesis.settings(max_examples=200, deadline=None)
ZONES = ("z1", "z2", "z3")


def make_targets(count, slots=10, connections=110, zones=("z1",)):
    return tuple(
        table.Target("desk", f"10.0.0.{i}:1", zones[i % len(zones)], slots, connections, 1, 0)
        for i in range(count)
    )


ROUTES = strategies.lists(
    strategies.builds(
        schema.Route,
        name=strategies.uuids().map(str),
        prefix=strategies.sampled_from(("/", "/a", "/a/", "/a/b", "/b")),
        service=strategies.just("desk"),
        methods=strategies.sampled_from(((), ("GET",), ("POST",), ("GET", "POST"))),
    ),
    max_size=8,
    unique_by=lambda route: (route.prefix, route.methods),
)


@DEFAULT
@hypothesis.given(
    ROUTES, strategies.sampled_from(("GET", "PUT")), strategies.sampled_from(("/", "/a/b/c", "/ab"))
)
def test_longest_prefix_wins_then_a_route_with_methods(routes, method, path):
    ordered = tuple(sorted(routes, key=lambda r: (-len(r.prefix), not r.methods, r.name)))
    found = table.RoutingTable(routes=ordered).match(method, path)
    possible = [
        r for r in routes if path.startswith(r.prefix) and (not r.methods or method in r.methods)
    ]
    if not possible:
        assert found is None
        return
    longest = [r for r in possible if len(r.prefix) == max(len(p.prefix) for p in possible)]
    assert found in longest
    assert found.methods or not any(r.methods for r in longest)


def test_table_holds_only_ready_targets_of_living_nodes_and_declared_services():
    statuses = {}
    members = []
    for status in records.MemberStatus:
        for target_status in records.TargetStatus:
            address = f"{status}-{target_status}:1"
            members.append(
                fake_targets.make_member(
                    address, address, status=status, target_status=target_status
                )
            )
            statuses[address] = (status, target_status)
    built = table.build(fake_targets.make_document(), members, "z1")
    assert {target.address for target in built.targets("desk")} == {
        "alive-ready:1",
        "suspect-ready:1",
    }
    empty = table.build(fake_targets.state.empty(), members, "z1")
    assert (empty.routes, empty.services, empty.targets_by_service) == ((), {}, {})


@DEFAULT
@hypothesis.given(
    nodes=strategies.integers(1, 200),
    targets=strategies.integers(1, 40),
    connections=strategies.integers(1, 200),
    zones=strategies.integers(1, 3),
)
def test_subset_shares_stay_below_the_connections_of_each_target(
    nodes, targets, connections, zones
):
    names = tuple((f"n{i:03}", ZONES[i % zones]) for i in range(nodes))
    group = make_targets(targets, connections=connections, zones=ZONES[:zones])
    size, each = subset.sizes(nodes, targets, connections)
    chosen = subset.assign_all(names, group, size)
    assert all(len(set(part)) == len(part) == size for part in chosen.values())
    assert subset.assign(names, group, "n000").connections == each >= 1
    load = collections.Counter(index for part in chosen.values() for index in part)
    if 0.9 * connections * targets >= nodes:
        # With more nodes, even one connection from each may exceed the limit.
        assert max(load.values()) * each <= connections
        assert len(load) == targets or nodes * size < targets


def test_subset_at_the_size_in_two_years_is_even_and_prefers_the_own_zone():
    zones = tuple(f"z{i}" for i in range(7))
    names = tuple((f"n{i:03}", zones[i % 7]) for i in range(750))
    group = make_targets(24, zones=zones)
    size, each = subset.sizes(750, 24, 110)
    assert (size, each) == (3, 1)
    chosen = subset.assign_all(names, group, size)
    load = collections.Counter(index for part in chosen.values() for index in part)
    local = sum(any(group[i].zone == zone for i in chosen[name]) for name, zone in names)
    assert max(load.values()) <= 99
    assert local >= 0.9 * len(names)


def make_selector(zone="z1"):
    return selection.Selector(random.Random(1), zone, link_cost_ms=8)


@DEFAULT
@hypothesis.given(
    count=strategies.integers(1, 7),
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 6),
            strategies.sampled_from(tuple(selection.Outcome)),
            strategies.integers(0, 2_000),
        ),
        max_size=80,
    ),
)
def test_a_candidate_remains_and_at_most_half_are_left_out(count, steps):
    selector = make_selector()
    group = make_targets(count)
    now_ms = 0
    for index, outcome, pause_ms in steps:
        now_ms += pause_ms
        target = group[index % count]
        selector.attempt_started(target, now_ms)
        selector.attempt_finished(target, now_ms, 5, outcome, reported_load=0.5)
        assert selector.choose(group, now_ms) is not None
        chosen = {selector.choose(group, now_ms).address for _ in range(60)}
        if not any(selector.is_ejected(other, now_ms) for other in group):
            continue
        left_out = count - len(selector._healthy(group, now_ms))
        assert left_out <= count // 2
        assert len(chosen) <= count - left_out


def test_half_of_the_targets_stay_when_all_fail():
    # Otherwise a fault of the callers or of the network would leave the service without targets.
    selector = make_selector()
    group = make_targets(4)
    for number, target in enumerate(group):
        for _ in range(selection.FAILURES_TO_EJECT):
            selector.attempt_finished(target, number, 5, selection.Outcome.FAILURE)
    chosen = {selector.choose(group, 10).address for _ in range(60)}
    assert chosen == {group[0].address, group[1].address}, "those whose ejection ends first"


def test_five_failures_eject_and_the_time_doubles_up_to_thirty_seconds():
    selector = make_selector()
    group = make_targets(4)
    durations, now_ms = [], 0
    for _ in range(7):
        while not selector.attempt_finished(group[0], now_ms, 5, selection.Outcome.FAILURE):
            pass
        until_ms = selector.statistics_of(group[0], now_ms).ejected_until_ms
        durations.append(until_ms - now_ms)
        assert selector.choose(group[:1], now_ms) is group[0], "one candidate always remains"
        now_ms = until_ms
    assert durations == [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]
    assert selector.statistics_of(group[0], 0).failures == 11


def test_calls_stay_in_the_zone_until_its_targets_are_full():
    selector = make_selector()
    group = make_targets(4, slots=4, zones=("z1", "z2"))
    local = [target for target in group if target.zone == "z1"]
    for target in group:
        selector.attempt_started(target, 0)
        selector.attempt_finished(target, 0, 50, selection.Outcome.SUCCESS)
    chosen = []
    for _ in range(10):
        chosen.append(selector.choose(group, 1))
        selector.attempt_started(chosen[-1], 1)
    assert {target.zone for target in chosen[:8]} == {"z1"}
    assert {target.zone for target in chosen[8:]} == {"z2"}, "all local slots are in use"
    for target in local:
        selector.attempt_finished(target, 1, 50, selection.Outcome.SHED)
    assert selector.choose(group, 2).zone == "z2", "local targets just shed a call"


def test_a_started_target_gets_little_at_first_and_its_share_later():
    selector = make_selector()
    group = list(make_targets(2, slots=1_000))
    group[1] = dataclasses.replace(group[1], started_at_ms=100_000)
    selector.statistics_of(group[0], 0)
    selector.attempt_finished(group[0], 0, 50, selection.Outcome.SUCCESS)
    shares = []
    for now_ms in (100_000, 109_000, 200_000):
        counts = collections.Counter()
        for _ in range(200):
            target = selector.choose(group, now_ms, slow_start_ms=10_000)
            selector.attempt_started(target, now_ms)
            counts[target] += 1
        for target, count in counts.items():
            for _ in range(count):
                selector.attempt_finished(target, now_ms, 50, selection.Outcome.CANCELLED)
        shares.append(counts[group[1]] / 200)
    assert shares[0] < 0.15 < shares[1]
    assert 0.4 < shares[2] < 0.6


def test_a_target_takes_no_more_calls_than_connections_or_slots():
    selector = make_selector()
    group = make_targets(2, slots=3)
    for _ in range(4):
        selector.attempt_started(selector.choose(group, 0, connections=2), 0)
    assert selector.choose(group, 0, connections=2) is None
    assert selector.choose(group, 0) is not None
