"""Attempts beside one whose peer is silent, in virtual time."""

import trio
import trio.testing

from buckthornstage.link import frames
from buckthornstage.mesh import hedging

STATE = frames.IngressState(frames.IngressStatus.OPEN, 1, 0, 0, 10.0, 0, 1.0)
PEER = "10.0.0.1:1"
SILENT_S = (1.0, 2.0, 3.0)  # when the peer is found silent


def response(body, status=200):
    return frames.Response(status, (), body, 0, STATE, 1)


def after(seconds, outcome, began=None):
    async def attempt():
        if began is not None:
            began.append(trio.current_time())
        await trio.sleep(seconds)
        return outcome

    return attempt


def first_response(attempt, hedge):
    """Outcome of the call, and when it came."""

    async def main():
        watch = hedging.UnresponsivePeerWatch()
        began = trio.current_time()

        async def notice():
            for at in SILENT_S:
                await trio.sleep_until(began + at)
                watch.notify(PEER)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(notice)
            outcome = await hedging.first_response(watch, PEER, attempt, hedge)
            took = trio.current_time() - began
            nursery.cancel_scope.cancel()
        return outcome, round(took, 3)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_the_first_attempt_wins_when_its_answer_comes_first():
    # Guards against LOST of issue 15: an attempt that is given up while its target is at work.
    assert first_response(after(1.5, response(b"a")), after(1.0, response(b"b"))) == (
        response(b"a"),
        1.5,
    )


def test_an_answer_from_beside_ends_the_wait_for_the_silent_peer():
    # Guards against calls that wait for a lost peer until their time is up.
    assert first_response(after(9.0, response(b"a")), after(0.2, response(b"b"))) == (
        response(b"b"),
        1.2,
    )


def test_a_failure_of_the_first_attempt_waits_for_the_one_beside_it():
    # Guards against an own failure while the target of the second attempt is at work.
    broken = frames.Failed("link broken", STATE)
    assert first_response(after(1.5, broken), after(1.0, response(b"b"))) == (response(b"b"), 2.0)
    failed = response(b"a", 500)
    assert first_response(after(1.5, failed), after(1.0, None)) == (failed, 2.0)


def test_another_ingress_is_looked_for_again_while_the_silence_lasts():
    # Guards against a call that finds no ingress at first and then waits although one has opened.
    began = []
    outcome, took = first_response(after(9.0, response(b"a")), after(0.2, None, began))
    assert (outcome, took) == (response(b"a"), 9.0)
    assert len(began) == len(SILENT_S)


def test_only_one_attempt_runs_beside_the_first():
    # Guards against repeats that multiply while a peer is silent.
    began = []
    first_response(after(9.0, response(b"a")), after(5.0, response(b"b"), began))
    assert len(began) == 1
