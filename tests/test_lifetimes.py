"""Lifetimes of a target: late, reordered and lost announcements, leaves and restarts."""

import hypothesis
from hypothesis import strategies as st

from buckthornstage.membership import lifetimes

Status, AnnouncementResult = lifetimes.Status, lifetimes.AnnouncementResult


def make_announcement(instance="a", started_at_ms=100, sequence=1, is_draining=False):
    """An announcement of a target with nine slots."""
    return lifetimes.Announcement(
        instance, started_at_ms, sequence, "desk", "10.0.0.1:80", 9, is_draining, 0
    )


def test_a_late_announcement_of_a_dead_lifetime_changes_nothing():
    """Guards against an announcement that arrives after its sender crashed and another started."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement("old", 100, 7), 0)
    assert known.announce(make_announcement("new", 200, 1), 10) is AnnouncementResult.STARTED
    assert known.announce(make_announcement("old", 100, 8), 20) is AnnouncementResult.STALE
    assert known.current.instance == "new"


def test_a_target_can_restart_under_the_same_id():
    """Guards against ignoring a restarted target, whose sequence starts at 1 again, as stale."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement("a", 100, 50, is_draining=True), 0)
    assert known.announce(make_announcement("a", 300, 1), 10) is AnnouncementResult.STARTED
    assert known.current.status is Status.READY


def test_a_draining_lifetime_does_not_become_ready_again():
    """Guards against calls to a draining target after a late or wrong "ready"."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement(sequence=1), 0)
    assert (
        known.announce(make_announcement(sequence=2, is_draining=True), 10)
        is AnnouncementResult.DRAINING
    )
    known.announce(make_announcement(sequence=3), 20)
    assert known.current.status is Status.DRAINING


def test_the_end_of_an_earlier_lifetime_is_not_taken_for_the_latest():
    """Guards against a node that tells its peers and the store of an older leave than it knows,
    because a caller that was cut off told it of that one (DRAIN after the next restart)."""
    known = lifetimes.Lifetimes()
    known.end(("new", 200))
    known.end(("old", 100))
    assert list(known.ended) == [("old", 100), ("new", 200)]
    known.announce(make_announcement("set-back", 50, 1, is_draining=True), 0)
    assert known.ended[-1] == ("set-back", 50)


def test_ended_lifetimes_are_bounded_and_the_oldest_is_forgotten():
    """Guards against an error, or a forgotten latest leave, when many lifetimes have ended."""
    known = lifetimes.Lifetimes()
    for started_at_ms in (*range(100, 100 + lifetimes.MAX_ENDED), 50, 500, 105):
        known.end(("a", started_at_ms))
    assert [started_at_ms for _, started_at_ms in known.ended] == [*range(101, 108), 500]


def test_deregistering_ends_the_named_lifetime_alone():
    """Guards against a late deregistration of the former target that closes the ingress to the new
    one."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement("a", 100, 1), 0)
    assert not known.deregister("b", None)
    assert not known.deregister("a", 99)
    assert known.current.status is Status.READY
    assert known.deregister("a", None)
    assert known.current.status is Status.DRAINING


def test_a_lifetime_that_left_before_a_restart_does_not_come_back():
    """Guards against lanyu scale-1 (run of 07:53): a node restarted, and a late "ready" opened its
    ingress 2.2 s after the target had been told that it may stop."""
    known = lifetimes.Lifetimes()
    assert not known.end(("a", 100))
    known.announce(make_announcement("a", 100, 16), 0)
    assert known.current.status is Status.DRAINING
    known.announce(make_announcement("a", 300, 1), 0)
    assert known.current.status is Status.READY
    assert known.end(("a", 300))
    assert not known.end(("a", 300))
    assert known.current.status is Status.DRAINING


def test_deregistration_of_an_unknown_lifetime_is_remembered():
    """Guards against a late "ready" after a restarted node has received the deregistration."""
    known = lifetimes.Lifetimes()
    assert not known.deregister("a", 100)
    known.announce(make_announcement("a", 100, 5), 0)
    assert known.current.status is Status.DRAINING


def test_deregistration_without_a_start_time_is_applied_to_an_instance_announced_later():
    """Guards against lanyu hunt-5e14-27 (DRAIN): a restarted node first received a deregistration,
    which has no start time on the wire, and the next "ready" opened the ingress."""
    known = lifetimes.Lifetimes()
    assert not known.deregister("a", None)
    known.announce(make_announcement("a", 100, 15), 0)
    assert known.current.status is Status.DRAINING
    known.announce(make_announcement("a", 900, 1), 0)
    assert known.current.status is Status.READY


def test_a_silent_target_comes_back_with_its_next_announcement():
    """Guards against an ingress that stays closed after a pause of the target."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement(sequence=1), 0)
    assert known.mark_down("a", 100)
    assert not known.mark_down("a", 100)
    known.announce(make_announcement(sequence=2), 10)
    assert known.current.status is Status.READY


def test_a_target_whose_clock_was_set_back_is_taken_once_the_known_one_is_gone():
    """Guards against an ingress that stays closed because the new lifetime seems older."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement("a", 5_000, 1), 0)
    assert known.announce(make_announcement("b", 2_000, 1), 10) is AnnouncementResult.STALE
    known.mark_down("a", 5_000)
    assert known.announce(make_announcement("b", 2_000, 2), 20) is AnnouncementResult.STARTED
    assert known.current.instance == "b"


def test_a_target_whose_clock_was_set_back_is_taken_after_one_that_left():
    """Guards against an ingress that stays closed for good: the target left, its successor started
    with a clock that had been set back, and a leaving lifetime was never taken as gone."""
    known = lifetimes.Lifetimes()
    known.announce(make_announcement("a", 5_000, 1, is_draining=True), 0)
    assert known.announce(make_announcement("b", 2_000, 1), 10) is AnnouncementResult.STALE
    assert known.mark_down("a", 5_000)
    assert known.announce(make_announcement("b", 2_000, 2), 20) is AnnouncementResult.STARTED
    assert known.current.status is Status.READY
    known.announce(make_announcement("a", 5_000, 2), 30)
    assert known.current.status is Status.DRAINING


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.integers(1, 3), st.integers(1, 4), st.booleans()),
        max_size=30,
    )
)
def test_the_newest_lifetime_wins_in_any_order(announcements):
    """Guards against errors with late, duplicate and reordered announcements."""
    known = lifetimes.Lifetimes()
    drained = set()
    for instance, started_at_ms, sequence, is_draining in announcements:
        before = known.current
        known.announce(make_announcement(instance, started_at_ms, sequence, is_draining), 0)
        now = known.current
        assert before is None or now.started_at_ms >= before.started_at_ms
        identity = (now.instance, now.started_at_ms)
        if before is not None and identity == (before.instance, before.started_at_ms):
            assert identity not in drained or now.status is Status.DRAINING
        else:
            drained.discard(identity)
        if now.status is Status.DRAINING:
            drained.add(identity)
