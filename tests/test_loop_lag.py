import hypothesis
from hypothesis import strategies

from buckthornstage.limits import loop_lag


def test_there_is_no_lag_before_the_first_beat_or_with_regular_beats():
    lag = loop_lag.LoopLag()
    assert lag.lag_ms(5_000, 70) == 0
    for now_ms in range(0, 2_000, 110):
        lag.beat(now_ms, 70)
        assert lag.lag_ms(now_ms + 100, 70) == 0


@hypothesis.given(
    strategies.integers(300, 60_000), strategies.booleans(), strategies.floats(0.0, 1.0)
)
def test_a_message_read_after_a_pause_may_have_waited_for_all_of_it(
    pause_ms, is_beat_first, suspended_share
):
    """Guards against a call that starts although its time ran out while the process was paused or
    the machine suspended, whether its task or the beat runs first afterwards."""
    lag = loop_lag.LoopLag()
    lag.beat(1_000, 5)
    suspended_ms = 5 + round(pause_ms * suspended_share)
    resumed_ms = 1_000 + pause_ms - (suspended_ms - 5)
    if is_beat_first:
        lag.beat(resumed_ms, suspended_ms)
    assert lag.lag_ms(resumed_ms, suspended_ms) >= pause_ms - loop_lag.BEAT_MS
    lag.beat(resumed_ms, suspended_ms)
    resumed_ms += loop_lag.BEAT_MS
    lag.beat(resumed_ms, suspended_ms)
    assert lag.lag_ms(resumed_ms, suspended_ms) == 0


def test_a_pause_is_attributed_to_the_time_in_which_it_was():
    """Guards against run times that are all left out once a process was paused."""
    lag = loop_lag.LoopLag()
    lag.beat(0, 0)
    assert not lag.has_paused_since(0, 100, 0)
    assert lag.has_paused_since(50, 900, 0)
    lag.beat(900, 0)
    assert lag.has_paused_since(50, 950, 0)
    assert not lag.has_paused_since(910, 950, 0)
