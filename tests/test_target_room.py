"""Free slots of targets that work on abandoned calls, and never answer when they are full."""

import pytest
import queue_model

from buckthornstage.limits import target_room

SLOTS, RUN_MS, CALL_MS = 4, 100, 500


class SilentTarget:
    """Target that works on abandoned calls and never answers above its slots."""

    def __init__(self, queue):
        self.queue = queue
        self.work_ends_ms, self.calls = [], []
        self.silent = self.answered = 0

    def take(self, tickets, now_ms):
        self.work_ends_ms = [end_ms for end_ms in self.work_ends_ms if end_ms > now_ms]
        for ticket in tickets:
            is_silent = len(self.work_ends_ms) >= SLOTS
            if not is_silent:
                self.work_ends_ms.append(now_ms + RUN_MS)
            self.silent += is_silent
            end_ms = now_ms + (CALL_MS if is_silent else RUN_MS)
            leaves = ticket.payload
            self.calls.append((now_ms + 30 if leaves else end_ms, ticket, is_silent, leaves))

    def advance(self, now_ms, tells):
        queue = self.queue
        for call in [call for call in self.calls if call[0] <= now_ms]:
            self.calls.remove(call)
            _, ticket, is_silent, leaves = call
            if leaves:
                self.take(queue.abandon(ticket, now_ms).start, now_ms)
                continue
            if is_silent:
                queue.record_abandoned(ticket, now_ms)
                if ticket.is_above_room:
                    queue.room.learn_lingering(now_ms)
            elif tells:
                told = sum(end_ms > now_ms for end_ms in self.work_ends_ms)
                queue.room.record_figure(told, len(queue.running), now_ms)
            self.answered += not is_silent
            run_ms = None if is_silent else now_ms - ticket.started_ms
            self.take(queue.finish(ticket, now_ms, run_ms).start, now_ms)


def simulate(tells, learns=True, until_ms=20_000):
    """A call each 20 ms; the caller of every third leaves 30 ms after its start."""
    queue = queue_model.make_queue(SLOTS, RUN_MS)
    if not learns:
        queue.room.learn_lingering = lambda now_ms: False
    target = SilentTarget(queue)
    for now_ms in range(until_ms):
        target.advance(now_ms, tells)
        if now_ms % 20 == 0:
            ticket = queue_model.ticket(now_ms)
            ticket.payload = now_ms % 60 == 0
            target.take(queue.offer(ticket, now_ms).start, now_ms)
    return target


@pytest.mark.parametrize("tells", [True, False])
def test_few_calls_are_sent_to_a_full_target_that_never_answers(tells):
    # Guards against slots that count as free while abandoned calls still take them.
    plain, learned = simulate(tells, learns=False), simulate(tells)
    assert plain.silent > 20
    assert learned.silent < 0.1 * plain.silent
    assert learned.answered > plain.answered


def test_abandoned_calls_hold_no_slots_at_other_targets():
    # Guards against lost capacity at targets that end the work with the connection.
    queue = queue_model.make_queue(SLOTS, RUN_MS)
    for now_ms in range(0, 400, 10):
        ticket = queue_model.ticket(now_ms)
        assert queue.offer(ticket, now_ms).start == (ticket,)
        queue.room.record_figure(1, 1, now_ms)
        queue.abandon(ticket, now_ms + 5)
    assert queue.room.abandoned(400) > SLOTS
    assert queue.held(400) == 0


def test_held_slots_become_free_with_time_and_never_all_are_held():
    # Guards against a target that gets no more calls because of a wrong guess.
    queue = queue_model.make_queue(SLOTS, RUN_MS)
    queue.room.learn_lingering(0)
    for _ in range(9):
        queue.room.abandon(0, RUN_MS, 50)
    assert queue.held(50) == SLOTS - 1
    assert queue.change_ms(50) == target_room.LINGER_FACTOR * RUN_MS - 50
    assert queue.held(int(target_room.LINGER_FACTOR * RUN_MS)) == 0


def test_calls_from_before_a_restart_hold_slots_as_far_as_the_target_tells():
    # Guards against full work at a target that still runs the calls of the process before.
    room = target_room.TargetRoom(has_work_from_before=True)
    room.record_figure(4, 1, 1_000)
    assert room.held(1_000) == 3
    room.record_figure(1, 1, 1_100)
    assert room.held(1_100) == 0
    room.record_figure(3, 1, 1_200)
    assert room.held(1_200 + target_room.FIGURE_MS + 1) == 0
    room.record_figure(3, 1, 1_000 + target_room.RESTART_MS)
    room.record_figure(3, 1, 1_001 + target_room.RESTART_MS)
    assert not room.has_work_from_before
