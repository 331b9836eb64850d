"""Limit that a target names in its responses, on all nodes together."""

import itertools
import time

import trio

import loopback
import platform_mesh

LIMIT_PER_S = 8.0
MANY_SLOTS = {"service": platform_mesh.DESK, "version": "v1", "zone": "z1", "slots": 20}
RUN_S = 0.05
SETTLE_S = 0.5
WINDOW_S = 1.0
EXCESS_FACTOR, EXTRA_REQUESTS = 1.5, 5
CALL_MS = 600
PAUSE_AT_S, PAUSE_S = 1.0, 0.45
BEAT_S, PAUSED_S = 0.01, 0.1
LATE = "504 after the call's time, in which the loop was paused"


class LimitedTarget(platform_mesh.Target):
    """Target that names its limit in each response; `arrived_s` holds the times of its requests."""

    def __init__(self, limit=str(LIMIT_PER_S), status=200, **headers):
        super().__init__(self.respond)
        self.limit, self.status, self.headers = limit, status, headers
        self.arrived_s = []

    async def respond(self, arrival):
        self.arrived_s.append(trio.current_time())
        await trio.sleep(RUN_S)
        fields = {"Server_Limit": self.limit, **self.headers}
        return platform_mesh.response(arrival, b"done", self.status, **fields)

    def most_in_window(self, since_s):
        """Most requests in any window of WINDOW_S that began at `since_s` or later."""
        times = [at for at in self.arrived_s if at >= since_s]
        ends = (start + WINDOW_S for start in times)
        return max(
            (
                sum(start <= at < end for at in times)
                for start, end in zip(times, ends, strict=True)
            ),
            default=0,
        )


def is_within_limit(target, since_s):
    """Whether the target got at most what the users' rule allows."""
    return target.most_in_window(since_s) <= EXCESS_FACTOR * LIMIT_PER_S * WINDOW_S + EXTRA_REQUESTS


async def record_pauses(pauses):
    """Appends the begin and the end of each pause of the loop, in s."""
    last_s = trio.current_time()
    while True:
        await trio.sleep(BEAT_S)
        now_s = trio.current_time()
        if now_s - last_s > PAUSED_S:
            pauses.append((last_s, now_s))
        last_s = now_s


async def load(nodes, calls_per_s, length_s, method="GET", path="/read"):
    """Sends calls to the nodes in turn at a constant rate; returns the statuses.

    A 504 that comes after CALL_MS is LATE if the loop was paused meanwhile: a node that runs
    answers before that, and one that was paused cannot tell whether the call has run.
    """
    results, pauses = [], []

    async def call(started, number):
        began_s = trio.current_time()
        response = await platform_mesh.handle(
            started, f"{path}/{number}", method, remaining_ms=CALL_MS
        )
        results.append((response.status, began_s, trio.current_time()))

    def status(found, began_s, ended_s):
        was_paused = any(began_s < until_s and since_s < ended_s for since_s, until_s in pauses)
        is_late = found == 504 and ended_s - began_s > CALL_MS / 1000 and was_paused
        return LATE if is_late else found

    async with trio.open_nursery() as beats:
        beats.start_soon(record_pauses, pauses)
        async with trio.open_nursery() as calls:
            for number in range(int(calls_per_s * length_s)):
                calls.start_soon(call, nodes[number % len(nodes)], number)
                await trio.sleep(1 / calls_per_s)
        await trio.sleep(2 * BEAT_S)
        beats.cancel_scope.cancel()
    return [status(*result) for result in results]


async def start_pair(mesh, target):
    """A node with the target and a node that only sends calls to it."""
    await mesh.start_store()
    own = await mesh.start_node("n1", target)
    await mesh.announce(own, target, info=MANY_SLOTS)
    calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
    await platform_mesh.until(
        lambda: any(peer.is_open for peer in calling.directory.peers.values())
    )
    return own, calling


def test_a_target_gets_no_more_than_its_limit_from_all_nodes(tmp_path):
    # Guards against a limit that each node keeps by itself, or that no node reads (LIMIT).
    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), LimitedTarget()
        own, calling = await start_pair(mesh, target)
        began_s = trio.current_time()
        statuses = await load((own, calling), 60, 2.5)
        assert is_within_limit(target, began_s + SETTLE_S)
        # What the limit allows is used.
        assert statuses.count(200) >= LIMIT_PER_S * 2
        assert set(statuses) <= {200, 503, LATE}

    loopback.run(main)


def test_a_pause_spends_none_of_the_limit_on_calls_whose_time_is_over(tmp_path):
    # Guards against the starts of a limit that a pause of the node gave to calls it then refused.
    async def pause():
        await trio.sleep(PAUSE_AT_S)
        time.sleep(PAUSE_S)

    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), LimitedTarget()
        own, calling = await start_pair(mesh, target)
        nursery.start_soon(pause)
        began_s = trio.current_time()
        statuses = await load((own, calling), 60, 2.5)
        assert is_within_limit(target, began_s + SETTLE_S)
        assert statuses.count(200) >= LIMIT_PER_S * 2
        refusals = [line for line in mesh.events("refused") if line["part"] == "door"]
        assert {line["reason"] for line in refusals} == {"overloaded"}

    loopback.run(main)


def test_refusals_of_a_full_target_tell_its_limit_too(tmp_path):
    # Guards against a limit that is read from successful responses only (LIMIT).
    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        target = LimitedTarget(status=503, Not_Executed="1", Response_Seal=None)
        own, calling = await start_pair(mesh, target)
        began_s = trio.current_time()
        assert set(await load((own, calling), 60, 2.0)) == {503}
        assert is_within_limit(target, began_s + SETTLE_S)

    loopback.run(main)


def test_a_restarted_node_sends_no_burst_to_a_target_with_a_limit(tmp_path):
    # Guards against a restarted node that fills all slots before it has read the limit (LIMIT).
    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), LimitedTarget()
        link = platform_mesh.free_address()
        await mesh.start_store()
        await nursery.start(target.serve)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        peers = calling.directory.peers
        async with mesh.killed_at_exit():
            first = await mesh.start_node("n1", link=link, target_address=target.address)
            await mesh.announce(first, target, info=MANY_SLOTS)
            await platform_mesh.until(lambda: link in peers and peers[link].is_open)
            began_s = trio.current_time()
            await load((calling,), 60, 1.0)
        again = await mesh.start_node("n1", link=link, target_address=target.address)
        before = len(target.arrived_s)
        await mesh.announce(again, target, info=MANY_SLOTS)
        await platform_mesh.until(lambda: again.is_ready and peers[link].is_open)
        async with trio.open_nursery() as calls:
            for number in range(60):
                calls.start_soon(platform_mesh.handle, again, f"/read/b{number}")
            await load((calling,), 60, 1.5)
        assert len(target.arrived_s) - before >= LIMIT_PER_S
        assert is_within_limit(target, began_s + SETTLE_S)

    loopback.run(main)


def test_a_limit_ends_when_the_target_no_longer_names_it(tmp_path):
    # Guards against a limit that stays after the target has recovered.
    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), LimitedTarget()
        own, calling = await start_pair(mesh, target)
        await load((calling,), 30, 0.5)
        assert own.ingress.state().start_interval_ms > 0
        target.limit = None
        await load((calling,), 30, 1.0)
        assert own.ingress.state().start_interval_ms == 0
        statuses = await load((own, calling), 60, 0.5)
        assert statuses == [200] * len(statuses)

    loopback.run(main)


def test_calls_go_to_targets_without_a_limit_first(tmp_path):
    # Pattern: one of two targets names a limit. Guards against refusals while the other has slots.
    async def main(nursery):
        mesh, limited = platform_mesh.Mesh(nursery, tmp_path), LimitedTarget()
        own, calling = await start_pair(mesh, limited)
        free = LimitedTarget(limit=None)
        await mesh.announce(await mesh.start_node("n3", free), free, info=MANY_SLOTS)
        peers = calling.directory.peers
        await platform_mesh.until(lambda: sum(peer.is_open for peer in peers.values()) == 2)
        await load((own, calling), 60, 0.5)
        statuses = await load((own, calling), 60, 2.0)
        assert statuses.count(200) >= 0.98 * len(statuses)

    loopback.run(main)


def test_a_limit_that_is_no_number_is_ignored(tmp_path):
    # Guards against calls that fail because of a malformed header.
    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), LimitedTarget()
        own, _ = await start_pair(mesh, target)
        for limit, number in zip(("many", "-1", "nan", "inf", ""), itertools.count()):
            target.limit = limit
            response = await platform_mesh.handle(own, f"/read/{number}")
            assert response.status == 200
        assert own.ingress.state().start_interval_ms == 0

    loopback.run(main)
