"""Time of the second transfer of a long response, from its caller's node to the client."""

import pytest
import test_fleet_size

from buckthornstage.limits import transfer_times


def test_a_transfer_takes_the_mean_size_at_the_rate_of_the_link():
    """Guards against a time in the wrong unit, and one size that decides for all."""
    times = transfer_times.TransferTimes(12.0)
    assert times.expected_ms("pack", 1_500) == 0
    for _ in range(50):
        times.record("pack", 90_000)
    assert times.expected_ms("pack", 1_500) == 90
    times.record("pack", 540_000)
    assert times.expected_ms("pack", 1_500) == 135
    assert transfer_times.TransferTimes(0.0).expected_ms("pack", 1_500) == 0


def test_very_long_responses_leave_time_for_others_of_their_route():
    """Guards against a route that is refused for good after some responses of 1.7 MB."""
    times = transfer_times.TransferTimes(5.0)
    for _ in range(50):
        times.record("pack", 1_700_000)
    assert times.expected_ms("pack", 1_500) == 500


@pytest.mark.parametrize("transfer_ms", [0, 90])
def test_an_ingress_is_told_when_the_response_has_to_be_at_the_callers_node(transfer_ms):
    """Guards against downloads on full links that are admitted to end at their goal, and are then
    late by the transfer to the client: 1,515 of 4,874 in a play of a full day."""
    pending = test_fleet_size.make_pending_call(1_000)
    pending.transfer_ms = transfer_ms
    frame = pending.frame("desk", 1_000)
    assert (frame.goal_ms, frame.deadline_ms) == (600 - transfer_ms, 1_450)
    assert frame.latest_ms == 1_400 - transfer_ms
