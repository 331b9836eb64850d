"""Memory of responses that wait for clients and peers: who is closed, and what is counted."""

import collections
import itertools

import hypothesis
from hypothesis import strategies

from buckthornstage.limits import body_memory, held_bytes, process_memory

LIMIT = 1_000
FAST = held_bytes.MIN_BYTES_PER_MS + 1


class Memory(held_bytes.HeldBytes):
    """With a clock that tests set, and the names of closed receivers."""

    def __init__(self, limit_bytes=LIMIT):
        super().__init__(now_ms=lambda: self.time_ms, limit_bytes=limit_bytes)
        self.time_ms = 0
        self.closed = []

    def receiver(self, name, size, bytes_per_ms=None):
        """A receiver with a response that it has been reading for one window."""
        receiver = held_bytes.Transfer(self, name, lambda: self.closed.append(name))
        receiver.hold(size)
        if bytes_per_ms is not None:
            receiver.start()
            self.time_ms += held_bytes.RESPONSES.window_ms
            receiver.on_progress(bytes_per_ms * held_bytes.RESPONSES.window_ms)
        return receiver


def test_the_receiver_that_reads_least_is_closed_first_and_no_more_than_needed():
    # Guards against closing a client that reads while another one does not.
    memory = Memory()
    receivers = [memory.receiver(f"r{number}", 250) for number in range(4)]
    for receiver in receivers:
        receiver.start()
    memory.time_ms += held_bytes.RESPONSES.window_ms
    for receiver, rate in zip(receivers, (5, 1, FAST, 3), strict=True):
        receiver.on_progress(rate * held_bytes.RESPONSES.window_ms)
    assert memory.take(300)
    assert memory.closed == ["r1", "r3"]
    assert memory.used_bytes == 800


def test_a_call_that_was_not_started_takes_no_room_from_a_client_that_reads():
    # Guards against downloads that are given up halfway for others that end the same way.
    memory = Memory()
    memory.receiver("fast", 900, FAST)
    assert not memory.promise(200) and not memory.closed
    assert memory.take(200) and memory.closed == ["fast"]


def test_a_receiver_is_not_closed_before_its_rate_is_known():
    # Guards against closing each client at once as soon as the memory is used up.
    memory = Memory()
    receiver = memory.receiver("new", 900)
    receiver.start()
    memory.time_ms = held_bytes.RESPONSES.window_ms - 1
    assert not memory.take(200) and not memory.closed
    memory.time_ms += 1
    assert memory.take(200) and memory.closed == ["new"]


def test_a_response_that_waits_for_an_earlier_one_is_closed_after_a_while():
    # Guards against pipelined responses behind a slow one that keep their memory for ever.
    memory = Memory()
    memory.receiver("waits", 900)
    memory.time_ms = int(held_bytes.RESPONSES.max_held_ms) - 1
    assert not memory.promise(200)
    memory.time_ms += 1
    assert memory.promise(200) and memory.closed == ["waits"]


def test_bytes_held_already_stay_below_a_multiple_of_the_limit():
    # Guards against many responses at the same moment, none of which may be closed yet.
    memory = Memory()
    for number in range(20):
        memory.receiver(f"r{number}", 300)
        assert memory.used_bytes <= held_bytes.MAX_OVERRUN * LIMIT
    assert len(memory.closed) == 14


def test_calls_that_wait_for_a_slot_keep_no_response_from_being_received():
    # Guards against calls that hold all slots and wait for memory, which is reserved for calls that
    # wait for the slots.
    memory = Memory()
    queued, running = held_bytes.CallHold(memory), held_bytes.CallHold(memory)
    assert queued.promise(900) and not held_bytes.CallHold(memory).promise(900)
    assert running.take_up_to(900) and running.take_up_to(500)
    assert memory.used_bytes == 900
    queued.give_back()
    running.give_back()
    assert (memory.used_bytes, memory.promised_bytes) == (0, 0)


def test_a_hedge_that_ends_after_its_call_reserves_nothing():
    # Guards against memory that is reserved after the call has released what it had.
    memory = Memory()
    hold = held_bytes.CallHold(memory)
    hold.end()
    assert hold.take_up_to(10) and not memory.used_bytes


def test_one_response_above_the_limit_fits_if_there_is_no_other():
    # Guards against a response that no client can ever get from a node with little memory.
    memory = Memory()
    assert memory.promise(5 * LIMIT)
    assert memory.take(5 * LIMIT) and not memory.take(1)
    memory.give_back(5 * LIMIT)
    assert memory.take(1)


def test_requests_without_memory_seldom_look_for_slow_connections():
    # Guards against a look at all connections for each request that finds no memory, which took
    # all processor time beside 1,000 connections; and against a look that comes too late.
    connections, requests, time_ms, closed = 100, 50, 0, []
    memory = held_bytes.HeldBytes(held_bytes.REQUESTS, lambda: time_ms, LIMIT)
    looks = collections.Counter()

    class Looked(held_bytes.Transfer):
        def bytes_per_ms(self, now_ms):
            looks[now_ms] += 1
            return super().bytes_per_ms(now_ms)

    for number in range(connections):
        slow = Looked(memory, "slow", lambda number=number: closed.append(number))
        assert slow.take(LIMIT // connections)
        slow.start()
    while time_ms < held_bytes.REQUESTS.window_ms:
        assert not any(memory.take(1) for _ in range(requests)) and not closed
        time_ms += 1
    assert max(looks.values()) == connections
    assert sum(looks.values()) <= time_ms * held_bytes.CONNECTIONS_PER_MS
    time_ms += connections // held_bytes.CONNECTIONS_PER_MS
    assert all(memory.take(1) for _ in range(requests)) and closed


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("phrtsge"),
            strategies.integers(0, 3),
            strategies.integers(0, 700),
        )
    )
)
def test_nothing_is_counted_after_all_calls_and_connections_have_ended(steps):
    # Guards against counts that only grow, after which everything is refused.
    memory = Memory()
    pool = memory.pool = body_memory.BodyMemory()
    holds = [held_bytes.CallHold(memory) for _ in range(4)]
    receivers = [
        held_bytes.Transfer(memory, "", lambda number=number: ends[number]()) for number in range(4)
    ]
    ends = [receiver.end for receiver in receivers]
    for kind, number, size in steps:
        memory.time_ms += 100
        if kind == "p" and not holds[number].promised_bytes:
            holds[number].promise(size)
        elif kind == "t":
            holds[number].take_up_to(size)
        elif kind == "g":
            holds[number].give_back()
        elif kind == "h":
            receivers[number].hold(size)
        elif kind == "s":
            receivers[number].start()
            receivers[number].on_progress(size)
        elif kind in "re":
            receivers[number].release(size if kind == "r" else receivers[number].taken_bytes)
        held = sum(receiver.taken_bytes for receiver in receivers)
        assert memory.used_bytes == pool.used_bytes == held + sum(h.taken_bytes for h in holds)
    for one in itertools.chain(receivers, holds):
        one.end() if hasattr(one, "end") else one.give_back()
    assert (memory.used_bytes, memory.promised_bytes, pool.used_bytes) == (0, 0, 0)
    assert not memory.transfers


def test_the_shares_of_a_process_fit_its_memory_and_keep_a_part_for_responses():
    # Guards against request bodies that leave nothing for responses, and shares beyond the memory.
    for memory_mb in (64, 100, 150, 200, 552):
        memory = process_memory.ProcessMemory(memory_mb, lambda: 0)
        bodies = memory.bodies.limit_bytes
        assert bodies == body_memory.left_bytes(memory_mb)
        assert memory.bodies.take(bodies)
        assert memory.clients.take(process_memory.MIN_CLIENT_BYTES)
        assert memory.peers.take(process_memory.MIN_PEER_BYTES)
        assert memory.pool.used_bytes <= (memory_mb - 50) * body_memory.BYTES_PER_MB
    assert process_memory.ProcessMemory(0, lambda: 0).bodies.take(1 << 40)


def test_connections_fit_memory_and_descriptors():
    # Guards against connections that are accepted until memory or descriptors have run out.
    known, unknown = (process_memory.ProcessMemory(mb, lambda: 0) for mb in (150, 0))
    assert known.max_clients(20_000) == 1_500 and known.max_clients(1_000) == 500
    assert unknown.max_clients(100_000) == process_memory.MAX_CLIENTS
    for descriptors in (1, 200, 3_900):
        assert known.max_peers(descriptors) >= 1 and known.max_clients(descriptors) >= 1
        assert known.max_clients(descriptors) + known.max_peers(descriptors) <= descriptors + 1


def test_a_slow_sender_gives_way_and_a_fast_one_does_not():
    # Guards against declared bodies that keep the memory of others although they do not come, and
    # against closing a client that sends as fast as it can.
    memory = held_bytes.HeldBytes(held_bytes.REQUESTS, lambda: times[0], LIMIT)
    times, closed = [0], []
    slow, fast = (memory.transfer(name, lambda name=name: closed.append(name)) for name in "sf")
    for transfer in (slow, fast):
        assert transfer.take(LIMIT // 2)
        transfer.start()
    assert not memory.take(1)
    times[0] += held_bytes.REQUESTS.window_ms
    slow.on_progress(1)
    fast.on_progress(FAST * held_bytes.REQUESTS.window_ms)
    assert memory.take(LIMIT // 2) and closed == ["s"]
    assert not memory.take(1) and memory.take_small(1)
    assert not memory.take_small(held_bytes.SMALL_RESERVE_BYTES)
