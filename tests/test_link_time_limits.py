"""Which connections from peers are closed when, in virtual time and without a network."""

import math
import types

import pytest
import trio.testing

from buckthornstage.limits import held_bytes
from buckthornstage.link import listener

CALL_SECONDS = 2.0


class Link:
    """A connection that only remembers that it was closed."""

    def __init__(self):
        self.received_seconds = 0.0
        self.is_closed = False

    def close(self):
        self.is_closed = True


def transfers():
    """Unbounded memory for the calls and the responses of a connection."""
    return [held_bytes.HeldBytes().transfer("", lambda: None) for _ in range(2)]


def is_closed_after(seconds, is_busy, is_acknowledged=True):
    """Whether a connection, with a call of CALL_SECONDS if `is_busy`, is closed by then."""
    link = Link()

    async def main():
        outbox = types.SimpleNamespace(link=link, unacknowledged=[] if is_acknowledged else [1])
        peer = listener.PeerConnection(outbox, *transfers())
        link.received_seconds = trio.current_time()
        if is_busy:
            peer.is_busy, peer.end_seconds = True, trio.current_time() + CALL_SECONDS
        await trio.sleep(seconds)
        listener.close_unused({peer})

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return link.is_closed


# Guards against calls on silent connections that run for ever, or are cut off before their time is
# up, and against idle connections that are closed while their peers still use them.
@pytest.mark.parametrize(
    ("seconds", "is_busy", "is_acknowledged", "expected"),
    [
        (CALL_SECONDS - 0.1, True, True, False),
        (CALL_SECONDS + 0.1, True, True, True),
        (CALL_SECONDS + 0.1, True, False, True),
        (listener.MAX_IDLE_S - 0.1, False, True, False),
        (listener.MAX_IDLE_S + 0.1, False, True, True),
        (listener.MAX_IDLE_S + 0.1, False, False, False),
    ],
)
def test_a_connection_is_closed_once_nobody_waits_on_it(
    seconds, is_busy, is_acknowledged, expected
):
    assert is_closed_after(seconds, is_busy, is_acknowledged) is expected


def test_a_connection_has_no_time_limit_without_a_call():
    assert listener.PeerConnection.end_seconds == math.inf


def test_at_the_limit_an_idle_connection_gives_way_and_a_busy_one_does_not():
    """Guards against new connections that are closed although pooled ones stand idle: the calls on
    them ended as "may have run"."""

    def connect(is_busy=False, has_frame=True):
        outbox = types.SimpleNamespace(link=Link(), unacknowledged=[])
        return listener.PeerConnection(outbox, *transfers(), is_busy=is_busy, has_frame=has_frame)

    async def main():
        busy, used = connect(is_busy=True), connect()
        await trio.sleep(listener.MIN_UNUSED_S)
        unused, young = connect(has_frame=False), connect(has_frame=False)
        await trio.sleep(listener.MIN_UNUSED_S)
        young.used_seconds = trio.current_time()
        connections = {busy, used, unused, young}
        closed = [listener._close_unused_one(connections) for _ in range(3)]
        assert closed == [True, True, False]
        assert connections == {busy, young}

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
