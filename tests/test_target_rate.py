"""Requests that an ingress sends to a target which names a limit."""

import hypothesis
import queue_model
from hypothesis import strategies as st

from buckthornstage.limits import target_rate

LIMIT_PER_S = 20


def _simulate_limited(length_ms=5_000, run_ms=queue_model.RUN_MS):
    """Starts by time, and results, of a target whose limit is 20 a second, under 100 a second."""
    queue = queue_model.make_queue()
    queue.rate.set_limit(LIMIT_PER_S, 0)
    starts = []

    def arrivals(now_ms):
        return [queue_model.ticket(now_ms)] if now_ms % 10 == 0 else []

    original = queue.rate.record_request

    def record_request(now_ms):
        starts.append(now_ms)
        original(now_ms)

    queue.rate.record_request = record_request
    return (
        starts,
        queue_model.simulate(arrivals, queue, lambda now_ms: run_ms, length_ms)[queue_model.USUAL],
    )


def test_starts_keep_to_the_limit_of_the_target():
    """Pattern: target in need. Guards against admission by free slots alone (LIMIT)."""
    starts, results = _simulate_limited()
    for first in starts:
        assert sum(first <= at < first + 1_000 for at in starts) <= LIMIT_PER_S * 1.25 + 1
    assert len(starts) >= 0.95 * 5 * LIMIT_PER_S
    assert results.refused > 0


def test_calls_that_the_limit_makes_late_are_refused_at_once():
    """Pattern: target in need. Guards against calls that wait for a limit until they are late."""
    queue = queue_model.make_queue()
    queue.rate.set_limit(2, 0)
    decisions = [queue.offer(queue_model.ticket(), 0) for _ in range(10)]
    assert sum(len(item.start) for item in decisions) == 1
    # One more can start after 500 ms, too late for an end within 570 ms.
    assert sum(len(item.refuse) for item in decisions) == 9


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 400), st.sampled_from([None, 0.0, 0.5, 8.0, 60.0]))),
    st.integers(0, 2_000),
)
def test_no_order_of_limits_exceeds_the_last_one_by_more_than_its_burst(changes, idle_ms):
    """Guards against saved-up requests after a change of the limit or an idle time (LIMIT)."""
    rate, now_ms = target_rate.TargetRate(), 0
    for step_ms, limit in changes:
        now_ms += step_ms
        rate.set_limit(limit, now_ms)
        if rate.delay_ms(now_ms) <= 0:
            rate.record_request(now_ms)
    rate.set_limit(10.0, now_ms)
    began_ms = now_ms + idle_ms
    sent = 0
    for at_ms in range(began_ms, began_ms + 4_000):
        while rate.delay_ms(at_ms) <= 0:
            rate.record_request(at_ms)
            sent += 1
    assert sent <= 4 * 10 + target_rate.BURST_MS / 100 + 1


@hypothesis.given(st.integers(1, 30), st.integers(1, 60))
def test_few_calls_run_until_the_first_response_of_an_older_target(slots, calls):
    """Guards against a restarted node that fills all slots before it knows the limit (LIMIT)."""
    queue = queue_model.make_queue(slots)
    queue.rate.restart(has_response=False)
    for _ in range(calls):
        queue.offer(queue_model.ticket(), 0)
    assert len(queue.running) == min(slots, calls, target_rate.CALLS_WITHOUT_RESPONSE)
    queue.rate.set_limit(None, 1)
    queue.advance(1)
    assert len(queue.running) >= min(slots, calls, len(queue.running) + len(queue.waiting))
