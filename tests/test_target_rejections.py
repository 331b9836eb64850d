"""Targets that reject calls although they have free slots."""

import pytest
import queue_model

from buckthornstage.bench import rejection_model
from buckthornstage.limits import target_rejections
from buckthornstage.link import frames
from buckthornstage.routing import ingress_selection, target_trials

CLOSE_AFTER = target_rejections.CLOSE_AFTER
REJECTION_MS, RUN_MS = 2, 90
EPISODE_MS = 8_500


def offer_each(queue, every_ms, until_ms, rejects, from_ms=0):
    """Offers a call every few ms; returns the times of the calls that started, and of rejections.

    `rejects(now_ms)` says whether a call that starts then is rejected.
    """
    started, rejected, ends = [], [], {}
    for now_ms in range(from_ms, until_ms):
        for item in [item for item, (end_ms, _) in ends.items() if end_ms <= now_ms]:
            _, is_rejected = ends.pop(item)
            if is_rejected:
                running = [one.started_ms for one in queue.running if one is not item]
                queue.rejections.record_rejected(item.started_ms, now_ms, running)
                rejected.append(now_ms)
            else:
                queue.rejections.record_response(item.started_ms)
            queue.finish(item, now_ms, None if is_rejected else RUN_MS)
        if now_ms % every_ms or queue.is_withheld(now_ms):
            continue
        for item in queue.offer(queue_model.ticket(now_ms), now_ms).start:
            is_rejected = rejects(now_ms)
            ends[item] = (now_ms + (REJECTION_MS if is_rejected else RUN_MS), is_rejected)
            started.append(now_ms)
    return started, rejected


def test_a_target_that_rejects_for_seconds_gets_few_calls_and_then_all_at_once():
    # Guards against a trip for each call to a target that rejects, and against a slow return.
    queue = queue_model.make_queue()
    started, rejected = offer_each(queue, 15, 12_000, lambda now_ms: now_ms < EPISODE_MS)
    trials = EPISODE_MS / target_rejections.MAX_INTERVAL_MS
    assert CLOSE_AFTER < len(rejected) < CLOSE_AFTER + 1.3 * trials
    assert (
        sum(now_ms >= EPISODE_MS + 300 for now_ms in started) == (12_000 - EPISODE_MS - 300) // 15
    )
    assert not queue.rejections.is_failing


def test_a_target_that_rejects_half_stays_open():
    # Guards against closing a target that still serves a good part.
    queue = queue_model.make_queue()
    started, rejected = offer_each(queue, 15, 9_000, lambda now_ms: now_ms // 15 % 2)
    assert len(started) == 9_000 / 15
    assert 0.4 < queue.rejections.acceptance < 0.6


def test_a_closed_target_without_callers_is_offered_to_all_again():
    # Guards against a target that nobody tries because no caller is near it.
    queue = queue_model.make_queue()
    offer_each(queue, 15, 1_000, lambda now_ms: True)
    assert queue.rejections.is_closed(1_000)
    assert not queue.rejections.is_closed(3_000)
    offer_each(queue, 15, 3_010, lambda now_ms: True, from_ms=3_000)
    assert queue.rejections.is_closed(3_010)


def test_each_closing_is_told_so_that_queued_calls_are_refused():
    # Guards against queued calls that are all sent to a target that a trial had opened too early.
    rejections = target_rejections.TargetRejections()
    told = [rejections.record_rejected(now_ms, now_ms + 1, ()) for now_ms in range(CLOSE_AFTER)]
    assert told == [False] * (CLOSE_AFTER - 1) + [True]
    rejections.record_start(100)
    assert not rejections.is_closed(100 + target_rejections.MIN_PROOF_MS)
    assert rejections.record_rejected(130, 131, ())


@pytest.mark.parametrize("load", [0.6, 1.3])
def test_a_service_that_rejects_half_of_all_calls_serves_as_many_as_without_trials(load):
    # Guards against the loss of 0.83 to 0.21 of the calls when targets close after 4 rejections
    # without regard to the calls that they accept meanwhile.
    share = rejection_model.CASES["all reject half"]
    results = [
        rejection_model.RejectionModel(load, share, has_trials, 1).simulate(6)
        for has_trials in (False, True)
    ]
    plain, trials = (item.in_time + item.late for item in results)
    assert trials > 0.95 * plain


def candidate(key, is_own_zone=True, sent_since=0, age_ms=0, **state):
    report = frames.IngressState(frames.IngressStatus.OPEN, 9, run_ms=90.0, **state)
    return ingress_selection.Candidate(key, is_own_zone, report, age_ms, 1.0, sent_since)


def test_other_calls_avoid_a_rejecting_target_unless_all_reject():
    # Guards against calls that go to an idle target because it rejects all.
    good, bad = candidate("good", running=9), candidate("bad", is_rejecting=True)
    assert target_trials.accepting([good, bad]) == [good]
    assert target_trials.accepting([bad]) == [bad]


@pytest.mark.parametrize(
    ("changes", "is_full", "uniform", "is_tried"),
    [
        ({}, False, 0.0, True),
        ({}, False, 0.5, False),
        ({}, True, 0.5, True),
        ({"key": ""}, False, 0.5, True),
        ({"is_own_zone": False}, False, 0.0, False),
        ({"sent_since": 1}, True, 0.0, False),
        ({"trial_wait_ms": 100.0}, True, 0.0, False),
        ({"trial_wait_ms": 100.0, "age_ms": 120}, True, 0.0, True),
        ({"is_rejecting": False}, True, 0.0, False),
    ],
)
def test_a_trial_is_sent_when_it_is_due(changes, is_full, uniform, is_tried):
    # Guards against targets that no call tries, and against calls of all nodes at once.
    item = candidate(**{"key": "bad", "is_rejecting": True, **changes})
    found = target_trials.due_trial([item], is_full, lambda: uniform)
    assert (found is not None) is is_tried
