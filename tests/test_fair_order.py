"""Order of calls at overloaded ingresses with tenants, each test named after its load pattern.

The whole mesh is played in virtual time (`fairness_model`); the goals are those of
docs/tenants-and-load.md, part C.
"""

import functools
import math

import fairness_model
import pytest
import queue_model

from buckthornstage.limits import fair_order, ingress_queue
from buckthornstage.link import frames
from buckthornstage.routing import ingress_selection

FEW_HUNDREDTHS = 0.1
"""Between the first kind and the third, two steps of priority apart."""
NOISE = 0.03
"""Of a served share of one kind: some hundred calls in each pattern."""


def during(start, end, inside, outside):
    """Load by second."""
    return lambda second: inside if start <= second < end else outside


def load_of(pattern):
    """Loads by name. A kind or a tenant fills the targets from second 4 to 10."""
    burst = during(4, 10, 1.0, 0.0)
    return {
        "lasting_overload": fairness_model.Load(lambda kind, second: 1.3),
        "wave": fairness_model.Load(
            lambda kind, second: 1 + 0.55 * math.sin(second * 2 * math.pi / 8)
        ),
        "burst_of_the_second_kind": fairness_model.Load(
            lambda kind, second: 0.8
            + (1.7 * burst(second) if kind is fairness_model.SIGNING else 0)
        ),
        "first_kind_fills_the_target": fairness_model.Load(
            lambda kind, second: 0.8 + (1.7 * burst(second) if kind is fairness_model.LOOKUP else 0)
        ),
        "callers_that_come_back_at_once": fairness_model.Load(
            lambda kind, second: 1.3, client_retries=3
        ),
        "tenant_at_seven_times_its_load": fairness_model.Load(
            lambda kind, second: 0.9,
            lambda tenant, second: 1 + 6.5 * burst(second) if tenant == "t5" else 1.0,
        ),
        "small_tenants_of_lower_priority": fairness_model.Load(
            lambda kind, second: 2.0,
            tenants=fairness_model.tenants(80),
            priorities={f"t{number}": 1 for number in range(20, 80)},
        ),
    }[pattern]


@functools.cache
def played(pattern, seed=1):
    """The model after the pattern."""
    return fairness_model.play(load_of(pattern), 14, seed)


@pytest.mark.parametrize(
    "pattern",
    [
        "lasting_overload",
        "burst_of_the_second_kind",
        "first_kind_fills_the_target",
        "callers_that_come_back_at_once",
        "wave",
    ],
)
def test_no_kind_bears_the_whole_overload(pattern):
    """Guards against strict priority: the signing had 0.60 where the lookup had 0.84, and the
    download 0.36 in a lasting overload of the model."""
    window = () if pattern == "wave" else (4, 10)
    lookup, signing, download = played(pattern).by_kind(*window)
    assert lookup >= signing - NOISE
    assert signing >= download - 2 * NOISE
    assert lookup - min(signing, download) < FEW_HUNDREDTHS + NOISE
    assert lookup < 0.97


def test_a_tenant_at_seven_times_its_load_takes_nothing_from_others():
    """Guards against a queue that one tenant fills: by order of arrival alone all tenants were
    served 0.89 of their calls."""
    shares = played("tenant_at_seven_times_its_load").by_tenant(4, 10)
    greedy = shares.pop("t5")
    others = sum(shares.values()) / len(shares)
    assert others > 0.93
    assert greedy < 0.75
    assert greedy > 0.25 * others


def test_small_tenants_of_lower_priority_are_served_a_quarter_as_often():
    """Pattern: twice the capacity, three quarters of it from tenants of the first priority.

    Guards against tenants that get nothing: each has too few calls at one ingress to be noticed.
    """
    model = played("small_tenants_of_lower_priority")
    is_urgent = model.shares(lambda client: int(client.tenant[1:]) < 20, 2, 14)
    everyone = model.shares(lambda client: "", 2, 14)[""]
    assert is_urgent[True] > everyone
    assert is_urgent[False] > 0.25 * everyone


def test_a_usual_load_is_served_whole_and_an_urgent_kind_first():
    """Pattern: usual load with tenants. Guards against kinds that take turns without overload."""
    model = fairness_model.play(fairness_model.Load(lambda kind, second: 0.6), 5)
    assert min(model.by_kind()) == 1.0
    queue = fair_queue(slots=1)
    running, usual, urgent = (ticket(0, "usual", 2), ticket(0, "usual", 2), ticket(1, "urgent", 1))
    for item in (running, usual, urgent):
        queue.offer(item, item.offered_ms)
    assert queue.finish(running, 90, 90).start == (urgent,)


@pytest.mark.parametrize("load", [1.2, 1.6])
def test_a_lasting_overload_without_tenants_keeps_the_order_by_priority(load):
    """Guards against the balance of kinds where no tenant asks for it: the more urgent kinds are
    worth more, and the value earned falls by a tenth."""
    of_kind = fairness_model.Load(lambda kind, second: load, is_fair=False)
    strict = fairness_model.play(of_kind, 8)
    assert strict.by_kind()[0] > 0.99
    fair = fairness_model.play(fairness_model.Load(lambda kind, second: load), 8)
    assert strict.result.earned_fraction > fair.result.earned_fraction
    assert not any(target.queue.fair_order.kinds_arrived for target in strict.targets)


def fair_queue(slots=queue_model.SLOTS, tenants=("a", "b")):
    """Queue of a target that has run calls, with tenants of equal rates."""
    queue = queue_model.make_queue(slots)
    queue.fair_order.set_tenants(dict.fromkeys(tenants, 10.0))
    return queue


def ticket(now_ms=0, kind="usual", priority=2, tenant="a", latest_ms=5_000, **fields):
    """Ticket of a call that arrives now."""
    return ingress_queue.Ticket(
        priority, now_ms + 300, now_ms + latest_ms, kind=kind, tenant=tenant, **fields
    )


def test_the_priority_of_a_tenant_precedes_that_of_the_route():
    """Pattern: urgent kind of a usual tenant beside a usual kind of an urgent tenant."""
    queue = fair_queue(slots=1)
    running = ticket()
    urgent_kind = ticket(kind="urgent", priority=0, tenant="a", tenant_priority=1)
    urgent_tenant = ticket(kind="usual", priority=2, tenant="b", tenant_priority=0)
    for item in (running, urgent_kind, urgent_tenant):
        queue.offer(item, 0)
    assert queue.finish(running, 90, 90).start == (urgent_tenant,)


def test_a_call_refused_before_precedes_new_calls_of_its_kind_by_its_first_goal():
    """Pattern: callers that come back. Guards against calls that are refused again and again."""
    queue = fair_queue(slots=1)
    queue.offer(running := ticket(), 0)
    queue.offer(ticket(1), 1)
    queue.offer(second := ticket(3, is_resubmitted=True, is_first=False), 5)
    queue.offer(first := ticket(2, is_resubmitted=True, is_first=False), 6)
    assert queue.finish(running, 90, 90).start == (first,)
    assert queue.waiting[0] is second


def test_a_burst_of_refused_callers_is_spread_over_the_places_that_become_free():
    """Pattern: burst of one kind, all refused at once. Guards against callers that return
    together and are refused together, as with a random wait of each."""
    queue = fair_queue(slots=9)
    for _ in range(60):
        queue.offer(ticket(latest_ms=600), 0)
    assert len(queue.waiting) > 9
    place_ms = queue.run_ms(0) / queue.slots
    times = sorted(queue.retry_ms(0, 0.5) for _ in range(20))
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert times[0] >= queue.wait_ms(len(queue.waiting), 0)
    assert max(abs(gap - place_ms) for gap in gaps) <= 1


def test_a_burst_of_one_kind_that_cannot_be_served_is_refused_at_once():
    """Pattern: burst of one kind. Guards against calls that wait in vain behind others."""
    queue = fair_queue(slots=1)
    queue.offer(ticket(), 0)
    queue.offer(ticket(latest_ms=900), 0)
    assert queue.offer(hopeless := ticket(latest_ms=150), 0).refuse == (hopeless,)


def test_an_urgent_call_is_not_refused_at_the_egress_because_of_calls_that_it_passes():
    """Pattern: a kind with a long goal fills the queue. Guards against an estimate at the egress
    that counts all waiting calls alike and so undoes the order at the ingress."""
    queue = fair_queue(slots=1)
    for number in range(8):
        queue.offer(ticket(number, kind="download", priority=2, tenant=""), number)
    queue.offer(ticket(kind="lookup", priority=0, tenant=""), 8)
    ahead = queue.fair_order.ahead(queue.waiting)
    assert ahead == ((0, 1), (2, 8))
    state = frames.IngressState(frames.IngressStatus.OPEN, 1, 1, 8, 90.0, ahead=ahead)
    expected = {
        priority: ingress_selection.expected_ms(
            ingress_selection.Candidate(
                "", True, state, 0, passed=ingress_selection.passed_calls(state, priority, False)
            )
        )
        for priority in (0, 1, 2)
    }
    assert expected[1] < expected[0] < 400 < expected[2]


def test_counts_of_calls_are_halved_in_each_half_life_and_bounded():
    """Guards against counts that overflow or grow with the names of all times."""
    counts = fair_order.DecayedCounts(1_000, tables=(table := {},))
    for second in range(2_000):
        counts.advance(1_000 * second)
        name = f"t{second}"
        table[name] = table.get(name, 0.0) + counts.unit
    assert len(table) < 60
    assert table["t1998"] / counts.unit == 0.5
    counts.advance(10**10)
    assert not table
