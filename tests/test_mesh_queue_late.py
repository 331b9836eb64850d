"""Calls at an ingress whose time is nearly over."""

import queue_model


def test_no_call_starts_after_its_time_is_over():
    """Guards against slots, and a part of a target's limit, that calls took whose time had run out
    while the process was paused; some of them ended with a 504."""
    queue = queue_model.make_queue(slots=1)
    queue.offer(running := queue_model.ticket(), 0)
    queue.offer(over := queue_model.ticket(goal_ms=300, latest_ms=570), 0)
    queue.offer(live := queue_model.ticket(goal_ms=300, latest_ms=2_000), 0)
    decisions = queue.finish(running, 600, None)
    assert (decisions.start, decisions.refuse) == ((live,), (over,))


def test_a_queued_call_does_not_start_with_less_than_half_a_usual_run_left():
    """Guards against a 504 for a call that could still have been refused as not run."""
    queue = queue_model.make_queue(slots=1)
    queue.offer(running := queue_model.ticket(), 0)
    queue.offer(short := queue_model.ticket(latest_ms=570), 0)
    late_ms = int(570 - 0.4 * queue_model.RUN_MS)
    decisions = queue.finish(running, late_ms, None)
    assert (decisions.start, decisions.refuse) == ((), (short,))


def test_a_call_that_finds_a_free_slot_starts_with_little_time_left():
    """Guards against a refusal by an average, while the target is idle."""
    queue = queue_model.make_queue(slots=1)
    short = queue_model.ticket(latest_ms=int(0.4 * queue_model.RUN_MS))
    assert queue.offer(short, 0).start == (short,)
