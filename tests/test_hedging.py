"""Hedged attempts for a call whose peer is unresponsive, in virtual time."""

import trio
import trio.testing

from buckthornstage.link import frames
from buckthornstage.mesh import hedging

STATE = frames.IngressState(frames.IngressStatus.OPEN, 1, 0, 0, 10.0, 0, 1.0)
PEER = "10.0.0.1:1"
UNRESPONSIVE_S = (1.0, 2.0, 3.0)  # when the peer is reported as unresponsive


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
    """Outcome of the call, and the seconds that it took."""

    async def main():
        watch = hedging.UnresponsivePeerWatch()
        began = trio.current_time()

        async def report_unresponsive():
            for at in UNRESPONSIVE_S:
                await trio.sleep_until(began + at)
                watch.notify(PEER)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_unresponsive)
            outcome = await hedging.first_response(watch, PEER, attempt, hedge)
            took = trio.current_time() - began
            nursery.cancel_scope.cancel()
        return outcome, round(took, 3)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_the_first_attempt_wins_when_its_response_comes_first():
    # Guards against LOST of issue 15: an attempt was abandoned while its target ran the call.
    assert first_response(after(1.5, response(b"a")), after(1.0, response(b"b"))) == (
        response(b"a"),
        1.5,
    )


def test_a_hedged_response_ends_the_wait_for_an_unresponsive_peer():
    # Guards against calls that wait for a lost peer until their deadline.
    assert first_response(after(9.0, response(b"a")), after(0.2, response(b"b"))) == (
        response(b"b"),
        1.2,
    )


def test_a_failure_of_the_first_attempt_waits_for_the_hedge():
    # Guards against a failure response while the target of the hedge still runs the call.
    broken = frames.Failed("link broken", STATE)
    assert first_response(after(1.5, broken), after(1.0, response(b"b"))) == (response(b"b"), 2.0)
    failed = response(b"a", 500)
    assert first_response(after(1.5, failed), after(1.0, None)) == (failed, 2.0)


def test_hedging_is_tried_again_while_the_peer_is_unresponsive():
    # Guards against a call that finds no ingress at first and never tries one that opens later.
    began = []
    outcome, took = first_response(after(9.0, response(b"a")), after(0.2, None, began))
    assert (outcome, took) == (response(b"a"), 9.0)
    assert len(began) == len(UNRESPONSIVE_S)


def test_only_one_hedge_runs_at_a_time():
    # Guards against retries that multiply while a peer is unresponsive.
    began = []
    first_response(after(9.0, response(b"a")), after(5.0, response(b"b"), began))
    assert len(began) == 1
