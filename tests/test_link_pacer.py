import heapq
import itertools

import pytest

from buckthornstage.limits import link_pacer

ROUND_TRIP_MS = 8.0


class Link:
    """Simulated first-in, first-out link with a sender that always has data."""

    def __init__(self, pacer, bytes_per_ms):
        self.pacer = pacer
        self.bytes_per_ms = bytes_per_ms
        self.now_ms = 0.0
        self.free_ms = 0.0
        self.acknowledgements = []
        self.orders = itertools.count()
        self.delivered_bytes = 0
        self.queue_ms = []

    def run(self, until_ms):
        while self.now_ms < until_ms:
            while self.pacer.has_room(self.now_ms):
                self._send(self.pacer.piece_bytes)
            self.now_ms, _, piece = heapq.heappop(self.acknowledgements)
            self.pacer.on_acknowledgement(piece, self.now_ms)
            self.delivered_bytes += piece.size

    def _send(self, size):
        piece = self.pacer.on_piece_sent(size, self.now_ms)
        self.queue_ms.append(max(0.0, self.free_ms - self.now_ms))
        self.free_ms = max(self.free_ms, self.now_ms) + size / self.bytes_per_ms
        arrived_ms = self.free_ms + ROUND_TRIP_MS
        heapq.heappush(self.acknowledgements, (arrived_ms, next(self.orders), piece))


@pytest.mark.parametrize("bytes_per_ms", [744, 1_750, 8_750, 125_000])
def test_any_link_is_used_and_its_queue_stays_short(bytes_per_ms):
    # Guards against SHORT of issue 15 on links of 6 Mbit/s to 1 Gbit/s.
    link = Link(link_pacer.LinkPacer(), bytes_per_ms)
    link.run(2_000)
    assert link.delivered_bytes >= 0.9 * 2_000 * bytes_per_ms
    assert max(link.queue_ms[len(link.queue_ms) // 2 :]) <= link_pacer.QUEUE_MS + ROUND_TRIP_MS


def test_a_link_that_became_narrower_is_noticed():
    # Guards against a window that stays too large after the bandwidth has dropped.
    link = Link(link_pacer.LinkPacer(), 8_750)
    link.run(2_000)
    link.bytes_per_ms = 744
    link.run(2_000 + 2 * link_pacer.RATE_MEMORY_MS)
    link.queue_ms.clear()
    link.run(3_000 + 2 * link_pacer.RATE_MEMORY_MS)
    assert max(link.queue_ms) <= link_pacer.QUEUE_MS + ROUND_TRIP_MS


def test_receivers_that_read_nothing_do_not_stop_the_others():
    # Guards against one frozen receiver that blocks all long responses of a node.
    pacer = link_pacer.LinkPacer()
    while pacer.has_room(0):
        pacer.on_piece_sent(pacer.piece_bytes, 0)
    assert not pacer.has_room(link_pacer.PROBE_TIMEOUT_MS - 1)
    assert pacer.has_room(link_pacer.PROBE_TIMEOUT_MS)
    other = pacer.on_piece_sent(pacer.piece_bytes, link_pacer.PROBE_TIMEOUT_MS)
    assert not pacer.has_room(link_pacer.PROBE_TIMEOUT_MS)
    pacer.on_acknowledgement(other, link_pacer.PROBE_TIMEOUT_MS + 10)
    assert pacer.in_flight_bytes == 0


def test_the_expected_time_of_a_body_counts_what_waits_before_it():
    pacer = link_pacer.LinkPacer()
    assert pacer.body_ms(0) == 0
    pacer.enqueue(90_000)
    assert pacer.body_ms(0) == pytest.approx(2 * 90_000 / link_pacer.INITIAL_BYTES_PER_MS)
    pacer.dequeue(90_000)
    assert pacer.body_ms(0) == pytest.approx(90_000 / link_pacer.INITIAL_BYTES_PER_MS)


def test_a_frozen_receiver_leaves_room_in_a_window_that_has_shrunk():
    # Guards against a link that is idle until the probe although others wait for it.
    pacer = link_pacer.LinkPacer()
    pacer.rates.add(744, 0)
    pacer.round_trips.add(18, 0)
    first = pacer.on_piece_sent(pacer.piece_bytes, 0)
    for _ in range(link_pacer.PIECES_PER_WINDOW - 1):
        pacer.on_piece_sent(pacer.piece_bytes, 1)  # to the frozen receiver
    window = pacer.window
    assert not pacer.has_room(1)
    pacer.on_acknowledgement(first, 16)
    assert pacer.window < window
    assert pacer.has_room(16)
    pacer.on_piece_sent(pacer.piece_bytes, 16)
    assert not pacer.has_room(16)
