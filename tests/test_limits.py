import collections

import hypothesis
from hypothesis import strategies

from buckthornstage.limits import admission, crash_guard, retry_budget

DEFAULT = hypothesis.settings(max_examples=200, deadline=None)


@DEFAULT
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
def test_retries_stay_within_ten_and_a_tenth_of_the_successes(steps):
    budget = retry_budget.RetryBudget(0.1)
    retries = successes = 0
    for is_success in steps:
        if is_success:
            budget.record_success()
            successes += 1
        else:
            retries += budget.try_spend()
        assert retries <= 10 + 0.1 * successes + 1e-6


def test_a_budget_at_its_cap_earns_exactly_one_retry_for_ten_successes():
    budget = retry_budget.RetryBudget(0.1)
    assert [budget.try_spend() for _ in range(11)] == [True] * 10 + [False]
    for _ in range(10):
        budget.record_success()
    assert [budget.try_spend() for _ in range(2)] == [True, False]


@DEFAULT
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("offer", "finish", "shed", "cancel", "wait")),
            strategies.integers(0, 2),
            strategies.integers(1, 300),
        ),
        max_size=120,
    )
)
def test_admission_keeps_its_bounds_and_prefers_urgent_classes(steps):
    pool = admission.Admission(queue_length=5, queue_ms=100, maximum=2)
    running, waiting, now_ms = [], [], 0
    for action, priority, number in steps:
        if action == "offer":
            ticket = admission.Ticket(priority, now_ms + number)
            if pool.offer(ticket, now_ms) is admission.State.QUEUED:
                waiting.append(ticket)
            elif ticket.state is admission.State.STARTED:
                running.append(ticket)
            if ticket.state is admission.State.SHED:
                assert not any(t.priority > priority for t in waiting if is_queued(t))
        elif action == "finish" and running:
            running.pop()
            before = [t for t in waiting if is_queued(t)]
            pool.release(now_ms, may_grow=True)
            started = [t for t in before if t.state is admission.State.STARTED]
            assert all(now_ms < t.deadline_ms for t in started), "started after its deadline"
            for ticket in started:
                others = [t for t in before if is_queued(t)]
                assert all(ticket.priority <= t.priority for t in others)
        elif action == "shed":
            pool.record_shed(now_ms, now_ms)
        elif action == "cancel" and waiting:
            pool.cancel(waiting[number % len(waiting)])
        elif action == "wait":
            now_ms += number
            pool.expire(now_ms)
        running += [t for t in waiting if t.state is admission.State.STARTED]
        waiting = [t for t in waiting if is_queued(t)]
        assert pool.queued == len(waiting) <= 5
        assert pool.in_flight == len(running) <= 2
        assert 1 <= pool.limit <= 2


def is_queued(ticket):
    return ticket.state is admission.State.QUEUED


def test_newest_goes_first_when_the_queue_is_over_half_full():
    pool = admission.Admission(queue_length=6, queue_ms=1_000, maximum=1)
    assert pool.offer(admission.Ticket(1, 9_999), 0) is admission.State.STARTED
    tickets = [admission.Ticket(1, 9_999) for _ in range(5)]
    for ticket in tickets:
        pool.offer(ticket, 0)
    order = []
    for _ in tickets:
        pool.release(1, may_grow=False)
        order += [i for i, t in enumerate(tickets) if not is_queued(t) and i not in order]
    assert order == [4, 3, 0, 1, 2]


def test_sheds_of_one_burst_lower_the_limit_once():
    pool = admission.Admission(5, 100, maximum=10)
    for now_ms, began_ms in ((1_000, 900), (1_050, 950), (1_099, 999)):
        pool.record_shed(now_ms, began_ms)
    assert pool.limit == 9.0
    pool.record_shed(1_100, 1_000)
    assert abs(pool.limit - 8.1) < 1e-9


def test_queued_call_that_would_end_late_is_shed_instead_of_started():
    # Guards against targets kept busy by a full queue of calls whose callers have given up.
    pool = admission.Admission(5, 1_000, maximum=1)
    pool.expected_ms = 30
    pool.offer(admission.Ticket(1, 500), 0)
    late, fresh = admission.Ticket(1, 100), admission.Ticket(1, 500)
    pool.offer(late, 0)
    pool.offer(fresh, 0)
    pool.release(80, may_grow=False)
    assert (late.state, fresh.state) == (admission.State.SHED, admission.State.STARTED)


@DEFAULT
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("ab"), strategies.integers(0, 3), strategies.integers(0, 9)
        ),
        max_size=40,
    )
)
def test_a_request_is_refused_exactly_from_its_second_target_on(steps):
    guard = crash_guard.CrashGuard()
    seen = collections.defaultdict(dict)
    now_ms = 0
    for mark, target, minutes in steps:
        now_ms += minutes * 60_000
        guard.record(mark, ("10.0.0.1:1", target), now_ms)
        known = seen[mark]
        if now_ms - known.get(target, -crash_guard.MEMORY_MS) >= crash_guard.MEMORY_MS:
            known[target] = now_ms
        for other in "ab":
            recent = [t for t in seen[other].values() if now_ms - t < crash_guard.MEMORY_MS]
            assert guard.is_refused(other, 2, now_ms) == (len(recent) >= 2)


def test_a_completed_request_is_no_longer_suspected():
    # Guards against a popular request that is refused for ten minutes because two targets died
    # together.
    guard = crash_guard.CrashGuard()
    for target in (1, 2):
        guard.record("a", ("10.0.0.1:1", target), 0)
    guard.clear("a")
    assert not guard.is_refused("a", 2, 0)


def test_fingerprints_are_bounded_and_the_oldest_goes():
    guard = crash_guard.CrashGuard()
    for number in range(crash_guard.MAX_FINGERPRINTS + 1):
        guard.record(str(number), ("10.0.0.1:1", 1), 0)
    assert len(guard.deaths) == crash_guard.MAX_FINGERPRINTS
    assert "0" not in guard.deaths
