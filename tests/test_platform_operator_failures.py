"""Failures that operators of similar systems have reported, brought about on real nodes."""

import functools
import socket
import time

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage import errors
from buckthornstage.http import messages, server
from buckthornstage.limits import held_bytes
from buckthornstage.link import bulk, connection, frames, listener

PAUSE_S = 1.2


@pytest.mark.parametrize("status, fields", [(200, {}), (503, {"Not_Executed": "1"})])
def test_a_late_second_answer_without_an_id_is_not_taken_for_the_next_call(
    status, fields, tmp_path
):
    """Guards against the answer, or the refusal, of an earlier call that the next caller gets: the
    target sends a second copy, without the id, on a connection that is in use again."""
    arrivals = []

    def script(arrival):
        arrivals.append(arrival.call_id)
        if len(arrivals) == 2:
            stray = platform_mesh.response(arrival, b"earlier", status, attempt_id=None, **fields)
            stray = stray.replace(f"Attempt-Id: {arrival.call_id}\r\n".encode(), b"")
            return stray + platform_mesh.response(arrival, b"own")
        return platform_mesh.response(arrival, b"first")

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pay/1", "POST")).body == b"first"
        second = await platform_mesh.call(node, "/pay/2", "POST")
        # The call may have run: neither the other's answer nor "not run" would be true.
        assert second.status == 502
        assert len(arrivals) == 2

    platform_mesh.on_mesh(script, test, tmp_path)


def test_an_outcome_of_another_call_on_a_link_is_not_delivered(tmp_path):
    """Guards against a pooled link connection on which an earlier outcome is left."""

    async def main(nursery):
        address = platform_mesh.free_address()

        async def serve(stream):
            await stream.receive_some(65536)
            state = frames.IngressState(frames.IngressStatus.OPEN, 9)
            await stream.send_all(
                frames.encode_frame(frames.Response(200, (), b"x", 0, state, 0, "earlier"))
            )
            await trio.sleep_forever()

        host, _, port = address.rpartition(":")
        await nursery.start(functools.partial(trio.serve_tcp, serve, int(port), host=host))
        call = frames.Call("own", "GET", "/", (), b"", "desk", "desk", "r", 1, True, 500, 500, 500)
        outcome = await platform_mesh.peer_calls_to(address).send_call(call, address)
        assert isinstance(outcome, frames.Failed)
        assert "outcome of another call" in outcome.reason

    loopback.run(main)


def test_connections_that_wait_to_be_accepted_are_answered_at_a_stop():
    """Guards against requests that are cut off because a stop under load closes the listener while
    their connections are still in its queue."""

    async def handler(request):
        return messages.Response(200, (), b"served")

    async def main(nursery):
        http_server = server.HttpServer(handler)
        listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
        port = listeners[0].socket.getsockname()[1]
        clients = []
        for _ in range(30):
            # The loop does not run meanwhile, so all of them stay in the queue.
            client = socket.create_connection(("127.0.0.1", port))
            client.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            clients.append(client)
        assert await http_server.drain(3_000)
        answers = []
        for client in clients:
            client.settimeout(2)
            answers.append(client.recv(65536))
            client.close()
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)

    loopback.run(main)


def test_a_target_that_left_stays_out_after_all_nodes_were_killed(tmp_path):
    """Pattern: kill of all nodes, then a late announcement. Guards against calls to a target that
    had announced its end to a process that is gone, with nobody left who heard it."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target, link = platform_mesh.Target(), platform_mesh.free_address()
        async with mesh.killed_at_exit():
            first = await mesh.start_node("n1", target, link=link)
            await platform_mesh.until(lambda: first.is_ready)
            status = {"state": "draining", "sequence": 50, "cold_left_s": 0}
            assert (await mesh.announce(first, target, status=status)).status == 200
            await platform_mesh.until(lambda: len(mesh.events("entry_written")) >= 2)
        again = await mesh.start_node("n1", link=link, target_address=target.address)
        late = {"state": "ready", "sequence": 49, "cold_left_s": 0}
        assert (await mesh.announce(again, target, status=late)).status == 200
        await platform_mesh.until(lambda: again.is_ready)
        await trio.sleep(0.2)
        assert (await platform_mesh.call(again, "/read/1")).status == 503
        assert not target.arrivals

    loopback.run(main)


def test_an_announcement_right_after_a_restart_opens_no_ingress_before_the_directory_is_known(
    tmp_path,
):
    """Guards against the moment in which a restarted node has not read yet who has left."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        target, link = platform_mesh.Target(), platform_mesh.free_address()
        entry = frames.NodeEntry(
            "n1", "z1", platform_mesh.DESK, link, 0.0, (target.instance, target.born_ms)
        )
        mesh.store.put("keyed.nodes", link, msgspec.msgpack.encode(entry))
        mesh.store.faults.slow_ms = 300
        await mesh.start_store()
        node = await mesh.start_node("n1", target, link=link)
        states = []
        with trio.move_on_after(1.5):
            while True:
                states.append(node.ingress.status())
                await trio.sleep(0.01)
        assert frames.IngressStatus.OPEN not in states
        assert states[-1] is frames.IngressStatus.TARGET_DRAINING

    loopback.run(main)


def test_a_pause_of_the_node_does_not_make_its_target_look_slow(tmp_path):
    """Guards against a node that was paused for a second, counts that as the run time of the calls
    that ran meanwhile, and is avoided for seconds (soak seed 1047)."""

    async def script(arrival):
        if arrival.path == "/read/paused":
            await trio.sleep(0.02)
            time.sleep(PAUSE_S)
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        for number in range(5):
            await platform_mesh.handle(node, f"/read/{number}")
        await trio.sleep(0.2)  # the beat that measures pauses has begun
        before_ms = node.ingress.queue.average_ms
        assert (await platform_mesh.handle(node, "/read/paused")).status == 200
        assert node.ingress.queue.average_ms == pytest.approx(before_ms, abs=1.0)
        assert node.ingress.state().run_ms < 100

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_call_whose_time_ran_out_while_the_node_was_paused_is_not_started(tmp_path):
    """Guards against a node that was paused for a second and then runs a call that its caller has
    given up: the time left is counted from its arrival, not from when it is read."""

    async def test(mesh, node, target):
        host, _, port = node.settings.link_address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await trio.sleep(0.3)  # some beats, as in a process that has run for a while
        call = frames.Call(
            "late", "POST", "/pay/1", (), b"", "desk", "desk", "r", 1, False, 400, 500, 600
        )
        raw = stream.socket
        assert await raw.send(frames.encode_frame(call))
        time.sleep(PAUSE_S)  # the whole process is paused, with the call in its socket
        data = await stream.receive_some(65536)
        outcome = frames.decode_frame(data[frames.LENGTH.size :])
        assert isinstance(outcome, frames.Refused) and not outcome.reached_target
        assert not target.arrivals

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_a_run_that_started_after_a_pause_lasts_until_the_deadline_of_its_caller(tmp_path):
    """Guards against LOST of issue 29: an ingress whose process had been paused ended a run before
    its caller's time was over, and the caller had a 502 while the target was at work."""

    async def script(arrival):
        await trio.sleep(0.6)
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        node.ingress.loop_lag.lag_ms = lambda now_ms, suspended_ms: 500
        call = frames.Call(
            "c1", "POST", "/pay/1", (), b"", "desk", "desk", "r", 1, False, 900, 1_000, 1_000
        )
        call = msgspec.structs.replace(call, headers=((b"attempt-id", b"c1"),))
        outcome = await node.ingress.run(call)
        assert isinstance(outcome, frames.Response) and outcome.status == 200
        assert int(target.arrivals[0].headers["timeout-remaining"]) <= 500

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_call_that_waited_while_the_machine_was_suspended_is_not_started(tmp_path):
    """Guards against deadlines that seem to hold after a suspension, which the monotonic clock of
    Linux does not count."""
    release = trio.Event()

    async def script(arrival):
        await release.wait()
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        async def call(path):
            codes[path] = (await platform_mesh.call(node, path, "POST")).status

        codes = {}
        async with trio.open_nursery() as nursery:
            for path in ("/pay/1", "/pay/2"):
                nursery.start_soon(call, path)
            await platform_mesh.until(lambda: len(target.arrivals) == 2)
            nursery.start_soon(call, "/pay/3")
            await platform_mesh.until(lambda: node.ingress.queue.waiting)
            node.clock.suspended_ms = lambda: 60_000
            release.set()
        assert codes["/pay/3"] == 503
        assert [arrival.path for arrival in target.arrivals if arrival.path == "/pay/3"] == []

    platform_mesh.on_mesh(script, test, tmp_path)


def test_suspended_time_is_what_the_monotonic_clock_does_not_count(monkeypatch):
    now = {time.CLOCK_BOOTTIME: 5_000_000_000, time.CLOCK_MONOTONIC: 1_000_000_000}
    monkeypatch.setattr(time, "clock_gettime_ns", now.__getitem__)
    clock = platform_mesh.clocks.Clock()
    before_ms = clock.suspended_ms()
    now[time.CLOCK_BOOTTIME] += 3_000_000_000
    assert clock.suspended_ms() - before_ms == 3_000


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_a_connection_with_a_call_outlasts_a_silent_peer(is_idempotent):
    """Guards against a run that is given up, or whose ready answer is lost, because its peer was
    silent for two seconds: both ends wait until the call's deadline. Without a call the time limit
    is short, so that a lost peer's connections are not used again."""
    deadline_ms = 6_000
    seen, released = [], []

    def user_timeout_ms(link):
        return link.tcp_stream.raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    async def main(nursery):
        links = []
        plain = connection.LinkConnection.set_patience

        def recording(self, *given):
            plain(self, *given)
            links.append(self)

        connection.LinkConnection.set_patience = recording

        async def run_call(call):
            seen.append(user_timeout_ms(links[-1]))
            return frames.Failed("x", frames.IngressState(frames.IngressStatus.OPEN))

        try:
            address = platform_mesh.free_address()
            sender = bulk.BulkSender(platform_mesh.clocks.Clock(), None)
            memory = [held_bytes.HeldBytes() for _ in range(2)]
            limits = (lambda: 1 << 20, None, sender, set(), *memory)
            await nursery.start(listener.serve, address, run_call, None, *limits)
            pool = connection.LinkPool(platform_mesh.clocks.Clock())
            link = await pool.acquire(address)
            link.set_patience(deadline_ms)
            seen.append(user_timeout_ms(link))
            call = frames.Call(
                "c", "POST", "/", (), b"", "s", "s", "r", 1, is_idempotent, 1, 1, deadline_ms
            )
            await link.send(call)
            await link.receive()
            pool.release(link, is_usable=True)
            released.append(user_timeout_ms(link))
        finally:
            connection.LinkConnection.set_patience = plain

    loopback.run(main)
    assert len(seen) == 2
    assert min(seen) >= deadline_ms
    assert released == [connection.DEAD_PEER_TIMEOUT_MS]


def test_an_idle_connection_that_its_target_closed_costs_no_call(tmp_path):
    """Pattern: targets forget idle connections. Guards against a refusal of a call whose ingress
    has a free slot and a target that listens."""

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pay/1", "POST")).status == 200
        idle = node.ingress.pool.idle[-1].connection
        idle.is_open_and_idle = lambda: True  # the close is noticed by the send only
        idle.start = _raise_stale
        assert (await platform_mesh.call(node, "/pay/2", "POST")).status == 200
        assert [arrival.path for arrival in target.arrivals] == ["/pay/1", "/pay/2"]

    async def _raise_stale(request):
        raise messages.StaleConnectionError("closed")

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_a_target_that_resets_new_connections_is_not_taken_for_dead():
    """Pattern: a full target resets. Guards against an ingress that closes until the next
    announcement."""
    reset = messages.ConnectFailedError("full")
    reset.__cause__ = ConnectionResetError()
    refused = messages.ConnectFailedError("gone")
    refused.__cause__ = ConnectionRefusedError()
    assert reset.is_reset and not refused.is_reset
    assert isinstance(reset, errors.BuckthornstageError)
