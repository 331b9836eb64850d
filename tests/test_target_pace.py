"""Expected run times at targets that tell how long work takes there."""

import pytest
import queue_model

from buckthornstage.limits import target_pace
from buckthornstage.link import frames
from buckthornstage.routing import ingress_selection

USUAL_MS = 100


def run_each(queue, kinds, pace_of, until_ms, from_ms=0):
    """Runs one call after the other; each takes its kind's time by the pace at its start."""
    now_ms, order = from_ms, 0
    while now_ms < until_ms:
        kind = list(kinds)[order % len(kinds)]
        ticket = queue_model.ticket(now_ms)
        ticket.kind = kind
        queue.offer(ticket, now_ms)
        now_ms += int(kinds[kind] * pace_of(now_ms))
        queue.pace.record(pace_of(now_ms), now_ms)
        queue.finish(ticket, now_ms, now_ms - ticket.started_ms)
        order += 1
    return now_ms


def test_a_slow_time_is_expected_with_its_first_figure_and_its_end_too():
    # Guards against an average that follows a slow time of 600 ms only when it is over.
    queue = queue_model.make_queue(run_ms=USUAL_MS)
    now_ms = run_each(queue, {"any": USUAL_MS}, lambda now_ms: 1.0, 3_000)
    queue.pace.record(2.5, now_ms)
    assert queue.run_ms(now_ms) == pytest.approx(2.5 * USUAL_MS, rel=0.1)
    queue.pace.record(1.0, now_ms + 50)
    assert queue.run_ms(now_ms + 50) == pytest.approx(USUAL_MS, rel=0.1)


def test_an_old_figure_decides_nothing():
    # Guards against a target that was slow once and is avoided because nobody asks it again.
    pace = target_pace.TargetPace()
    for now_ms in range(0, 10_000, 50):
        pace.record(1.0, now_ms)
    pace.record(5.0, 10_000)
    assert pace.factor(10_000) == 5.0
    assert 2.5 < pace.factor(10_000 + target_pace.MAX_AGE_MS // 2) < 3.5
    assert pace.factor(10_000 + target_pace.MAX_AGE_MS) == pace.mean < 1.3


def test_kinds_differ_in_their_expected_run_time():
    # Guards against one run time for a lookup of 50 ms and a signing of 150 ms.
    queue = queue_model.make_queue(run_ms=USUAL_MS)
    run_each(queue, {"lookup": 50, "signing": 150}, lambda now_ms: 1.0 + now_ms // 700 % 2, 20_000)
    ratios = queue.pace.kinds
    assert ratios.ratio("signing") / ratios.ratio("lookup") == pytest.approx(3, rel=0.25)
    assert ratios.ratio("unknown") == 1.0


def test_without_a_figure_run_times_are_as_before():
    # Guards against a change for services that send three figures or none.
    queue, ticket = queue_model.make_queue(), queue_model.ticket()
    ticket.kind = "signing"
    queue.offer(ticket, 0)
    queue.finish(ticket, 100, 100)
    assert not queue.pace.kinds.ratios
    assert queue.run_ms(100) == queue.average_ms
    assert queue_model.RUN_MS < queue.average_ms < 100


def test_a_wrong_figure_does_not_close_a_target():
    # Guards against a figure of 10 digits that makes a target look busy for hours.
    pace = target_pace.TargetPace()
    pace.record(1e9, 0)
    assert pace.factor(0) == target_pace.MAX_PACE


def test_egresses_count_the_age_of_a_report():
    # Guards against a slow time that decides as long as its report is the newest.
    report = frames.IngressState(frames.IngressStatus.OPEN, 9, run_ms=300.0)
    expected = [
        ingress_selection.expected_ms(
            ingress_selection.Candidate(
                "a",
                True,
                report,
                age_ms,
                0.0,
                pace_ratio=target_pace.report_ratio(3.0, 1.0, age_ms),
            )
        )
        for age_ms in (0, 300, 600, 5_000)
    ]
    assert expected == pytest.approx([300.0, 200.0, 100.0, 100.0])
