"""Reuse of idle connections between nodes."""

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.http import tcp_stream
from buckthornstage.link import connection, frames

RECENT_MS = connection.PING_AFTER_MS - 1
OLD_MS = connection.PING_AFTER_MS
EXPIRED_MS = connection.IDLE_TIMEOUT_MS


class Peer:
    """Counts connections and sends each ping back while `is_answering`, as listeners do."""

    def __init__(self):
        self.connections = 0
        self.pings = 0
        self.is_answering = True

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            while (data := await stream.receive_some()) != b"":
                self.pings += data.count(frames.encode_frame(frames.Ping()))
                if self.is_answering:
                    await stream.send_all(data)


def on_pool(test):
    async def main(nursery):
        peer = Peer()
        listeners = await nursery.start(trio.serve_tcp, peer.serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await test(connection.LinkPool(clocks.FakeClock()), peer, address)

    loopback.run(main)


async def acquired_after(pool, address, count, idle_ms):
    """Idle connections of this age, and the one that is acquired then."""
    opened = [await pool.connect(address) for _ in range(count)]
    for one in opened:
        pool.release(one, is_usable=True)
    pool.clock.advance(idle_ms)
    return opened, await pool.acquire(address)


# Guards against a new connection for most calls to peers that are called every few seconds, which
# costs ten times as much processor time as a ping (issue 38).
@pytest.mark.parametrize(
    ("idle_ms", "pings", "opened"), [(RECENT_MS, 0, 1), (OLD_MS, 1, 1), (EXPIRED_MS, 0, 2)]
)
def test_an_idle_connection_is_reused_if_it_was_used_lately_or_answers(
    idle_ms, pings, opened, monkeypatch
):
    monkeypatch.setattr(connection, "PING_TIMEOUT_MS", 5_000)

    async def test(pool, peer, address):
        before, found = await acquired_after(pool, address, 1, idle_ms)
        assert (found is before[0]) is (opened == 1)
        assert (peer.pings, pool.opened) == (pings, opened)

    on_pool(test)


def test_silent_connections_cost_one_wait_and_are_closed(monkeypatch):
    # Guards against calls that wait on silent connections, for each of them once (issue 38).
    monkeypatch.setattr(connection, "PING_TIMEOUT_MS", 20)

    async def test(pool, peer, address):
        silent = []
        pool.on_silent = lambda peer_address, unused_ms: silent.append((peer_address, unused_ms))
        peer.is_answering = False
        before, found = await acquired_after(pool, address, 5, OLD_MS)
        assert found not in before
        assert silent == [(address, OLD_MS)]
        assert (peer.pings, pool.opened) == (1, 6)
        assert all(one.tcp_stream.is_closed for one in before)
        assert not found.tcp_stream.is_closed

    on_pool(test)


def test_connections_used_during_a_failed_ping_are_kept(monkeypatch):
    # Guards against the loss of connections that have just worked.
    monkeypatch.setattr(connection, "PING_TIMEOUT_MS", 500)

    async def test(pool, peer, address):
        peer.is_answering = False
        opened = [await pool.connect(address) for _ in range(2)]
        pool.release(opened[0], is_usable=True)
        pool.clock.advance(OLD_MS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.acquire, address)
            await platform_mesh.until(lambda: peer.pings)
            pool.release(opened[1], is_usable=True)
        assert opened[0].tcp_stream.is_closed
        assert not opened[1].tcp_stream.is_closed
        assert pool.opened == 2

    on_pool(test)


def test_a_cancelled_ping_closes_its_connection():
    # Guards against an answer that arrives late, where the outcome of the next call is expected.
    async def test(pool, peer, address):
        peer.is_answering = False
        opened = await pool.connect(address)
        pool.release(opened, is_usable=True)
        pool.clock.advance(OLD_MS)
        with trio.move_on_after(0.01):
            await pool.acquire(address)
        assert opened.tcp_stream.is_closed
        assert not pool.idle[address]

    on_pool(test)


@pytest.mark.parametrize("is_busy", [False, True], ids=["idle", "busy"])
def test_a_node_sends_a_ping_back_unless_a_call_runs(is_busy, tmp_path):
    # Guards against a node whose answer stands where the outcome of a call is expected.
    async def slow(arrival):
        await trio.sleep(0.3)
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        pool = connection.LinkPool(node.clock)
        link = await pool.connect(node.settings.link_address)
        if is_busy:
            await link.send(_call())
        await link.send(frames.Ping())
        answer = await link.receive()
        assert (answer == frames.Ping()) is not is_busy
        if is_busy:
            assert answer is None

    platform_mesh.on_mesh(slow, test, tmp_path)


def _call():
    timing = {"goal_ms": 1_000, "latest_ms": 1_000, "deadline_ms": 1_000}
    names = ("call-1", "GET", "/read/1", (), b"", platform_mesh.DESK, platform_mesh.DESK, "r")
    return frames.Call(*names, 1, True, **timing, sequence=1)


def test_a_release_without_pings_refuses_them():
    # Guards against a tag that an earlier frame has: an older peer closes the connection.
    payload = frames.encode_frame(frames.Ping())[frames.LENGTH.size :]
    assert len(payload) <= frames.MAX_PING_BYTES
    with pytest.raises(errors.ProtocolError):
        frames.decode_frame(payload.replace(b"\x09", b"\x0a"))


@pytest.mark.parametrize("time_left_ms", [60, 90])
def test_a_ping_takes_a_part_of_the_time_that_is_left(time_left_ms):
    # Guards against a call with little time that is lost on a silent connection, although a new
    # connection to its peer works.
    async def test(pool, peer, address):
        peer.is_answering = False
        opened = await pool.connect(address)
        pool.release(opened, is_usable=True)
        pool.clock.advance(OLD_MS)
        with trio.fail_after(time_left_ms / 1_000):
            found = await pool.acquire(address, time_left_ms)
        assert found is not opened

    on_pool(test)


def test_the_time_of_a_ping_counts_for_the_call():
    # Guards against a target that starts a call whose caller gives up before its end, since the
    # peer takes the time before the ping for the time that is left.
    received = []

    async def main(nursery):
        async def serve(stream):
            link = connection.LinkConnection(tcp_stream.from_stream(stream), "")
            while (frame := await link.receive()) is not None:
                if isinstance(frame, frames.Call):
                    received.append(frame)
                    await link.send(_refusal(frame))

        address = await loopback.listen_raw(nursery, serve)
        caller = platform_mesh.peer_calls_to(address)
        await caller.send_call(_call(), address)
        caller.pool.idle[address][0].idle_since_ms -= OLD_MS
        began_ms = caller.clock.now_ms()
        await caller.send_call(_call(), address)
        spent_ms = caller.clock.now_ms() - began_ms
        assert spent_ms >= connection.PING_TIMEOUT_MS
        for name in ("goal_ms", "latest_ms", "deadline_ms"):
            before, after = (getattr(call, name) for call in received)
            assert 1_000 - connection.PING_TIMEOUT_MS < before <= 1_000
            assert after <= 1_000 - connection.PING_TIMEOUT_MS

    loopback.run(main)


def _refusal(call):
    state = frames.IngressState(frames.IngressStatus.OPEN)
    return frames.Refused("full", 1, state, call_id=call.call_id, sequence=call.sequence)
