from buckthornstage import clock
from buckthornstage.history import buffer, events


def _buffer():
    return buffer.EventBuffer("n1", "z1", 7, clock.HybridClock(clock.FakeClock()))


def _add(target, count):
    for version in range(1, count + 1):
        target.add(events.EventKind.VERSION_ACTIVATED, version)


def test_events_stay_until_they_are_acknowledged():
    event_buffer = _buffer()
    _add(event_buffer, 5)
    assert [event.sequence for event in event_buffer.unacknowledged(3)] == [1, 2, 3]
    event_buffer.acknowledge(3)
    event_buffer.acknowledge(2)  # late and out of order
    event_buffer.acknowledge(99)  # never sent by this incarnation
    assert [event.sequence for event in event_buffer.unacknowledged(10)] == [4, 5]
    assert [event.sequence for event in event_buffer.recent()] == [1, 2, 3, 4, 5]


def test_full_buffer_drops_the_oldest_event_and_counts_it():
    event_buffer = _buffer()
    _add(event_buffer, buffer.MAX_EVENTS + 2)
    assert (len(event_buffer), event_buffer.dropped) == (buffer.MAX_EVENTS, 2)
    assert event_buffer.unacknowledged(1)[0].sequence == 3


def test_timestamps_grow_and_carry_the_uncertainty():
    fake = clock.FakeClock()
    hybrid = clock.HybridClock(fake)
    event_buffer = buffer.EventBuffer("n1", "z1", 7, hybrid)
    first = event_buffer.add(events.EventKind.NODE_STARTED, 0)
    hybrid.observe(clock.Timestamp(fake.wall_ms() + 40, 3))
    second = event_buffer.add(events.EventKind.NODE_READY, 0, "x" * 5_000)
    assert (second.hlc_ms, second.hlc_counter) > (first.hlc_ms, first.hlc_counter)
    assert second.uncertainty_ms == 80
    assert len(second.detail) == buffer.MAX_DETAIL_CHARACTERS
