import pytest
import test_link_pacer

from buckthornstage import clock as clocks
from buckthornstage.limits import link_pacer
from buckthornstage.mesh import ingress

BYTES_PER_MS = 744  # narrowest link of the grown sites
PACK_BYTES = 90_000  # usual download of lanyu-rounds-grown
LINK_MS = PACK_BYTES / BYTES_PER_MS
MAX_FROZEN_MS = 1_400  # the connection of a receiver frozen for longer is closed


def test_the_queue_stays_short_on_a_link_that_is_never_idle():
    # Guards against a round trip measured behind the node's own queue once the shortest sample has
    # expired, so that the window grows by one queue every 30 s of overload.
    link = test_link_pacer.Link(link_pacer.LinkPacer(), BYTES_PER_MS)
    link.run(4 * link_pacer.ROUND_TRIP_MEMORY_MS)
    link.queue_ms.clear()
    link.run(4 * link_pacer.ROUND_TRIP_MEMORY_MS + 1_000)
    assert max(link.queue_ms) <= link_pacer.QUEUE_MS + test_link_pacer.ROUND_TRIP_MS


def _send_body(pacer, clock, stopped_ms=0, bytes_per_ms=BYTES_PER_MS):
    """Sends one body over the link; its receiver acknowledges nothing before `stopped_ms`."""
    pacer.enqueue(PACK_BYTES)
    left, free_ms, in_flight = PACK_BYTES, clock.now_ms(), []
    while left or in_flight:
        while left and pacer.has_room(clock.now_ms()):
            size = min(left, pacer.piece_bytes)
            left -= size
            pacer.dequeue(size)
            free_ms = max(free_ms, clock.now_ms()) + size / bytes_per_ms
            arrived_ms = max(free_ms + test_link_pacer.ROUND_TRIP_MS, stopped_ms)
            in_flight.append((arrived_ms, pacer.on_piece_sent(size, clock.now_ms())))
        arrived_ms, piece = in_flight.pop(0)
        clock.advance(max(0, round(arrived_ms) - clock.now_ms()))
        pacer.on_acknowledgement(piece, clock.now_ms())


@pytest.mark.parametrize("rest_ms", [0, 30_000])
def test_a_receiver_that_stopped_once_does_not_make_a_link_look_narrow_for_good(rest_ms):
    # Guards against an ingress that callers never choose for downloads again: its only remaining
    # measurement is of a frozen receiver, and without downloads there is no new one.
    clock = clocks.FakeClock(1_000)
    own_ingress = ingress.Ingress(clock, None, None, None, None, 1_000)
    for _ in range(10):
        _send_body(own_ingress.pacer, clock)
    clock.advance(link_pacer.RATE_MEMORY_MS + 100)
    _send_body(own_ingress.pacer, clock, clock.now_ms() + MAX_FROZEN_MS)
    clock.advance(rest_ms)
    assert own_ingress.state().bulk_ms <= 2 * LINK_MS


def test_a_node_that_was_frozen_does_not_take_its_link_for_narrow():
    # Guards against the same after the ingress's own node was frozen during a download.
    clock = clocks.FakeClock(1_000)
    own_ingress = ingress.Ingress(clock, None, None, None, None, 1_000)
    for _ in range(10):
        _send_body(own_ingress.pacer, clock)
    _send_body(own_ingress.pacer, clock, clock.now_ms() + link_pacer.RATE_MEMORY_MS + 500)
    clock.advance(30_000)
    assert own_ingress.state().bulk_ms <= 2 * LINK_MS


def test_a_link_that_was_squeezed_for_a_while_is_tried_again():
    # Guards against the same after a temporary drop in bandwidth: callers choose other ingresses,
    # so the low estimate can only expire.
    clock = clocks.FakeClock(1_000)
    own_ingress = ingress.Ingress(clock, None, None, None, None, 1_000)
    for _ in range(5):
        _send_body(own_ingress.pacer, clock, bytes_per_ms=BYTES_PER_MS / 10)
    clock.advance(30_000)
    assert own_ingress.state().bulk_ms <= 2 * LINK_MS
