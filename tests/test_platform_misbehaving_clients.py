"""A node process beside crowds of clients that do not behave, with a limit of 100 MB."""

import math

import platform_crowd
import platform_misbehaving_clients
import pytest
import trio

import loopback

MAX_FDS = 1_000
MAX_BUSY_S = 1.0
"""Processor time between two answers to the platform's probe, which comes once a second, as long as
clients wait for a new connection. It is the time of the process alone, so that other load on the
machine does not count."""
PROBE_S = 0.01
PROBE_TIMEOUT_MS = 60_000


def _script(arrival):
    arrival.body = b""  # the harness would keep it
    if arrival.path.startswith(platform_misbehaving_clients.UNANSWERED):
        return trio.sleep_forever()
    return platform_crowd.script(arrival)


class BusyWatch:
    """Longest processor time that a node has used between two answers to the probe."""

    def __init__(self, node):
        self.node = node
        self.longest_s = 0.0

    async def run(self):
        """Probes the node until cancelled."""
        while True:
            began_s = self.node.processor_s()
            assert await self.node.is_ready(PROBE_TIMEOUT_MS)
            self.longest_s = max(self.longest_s, self.node.processor_s() - began_s)
            await trio.sleep(PROBE_S)


def _check(watch, *nodes):
    platform_crowd.check_bounds(*nodes, max_files=MAX_FDS)
    assert watch.longest_s <= MAX_BUSY_S, f"{watch.longest_s} s without an answer to the probe"


@pytest.mark.parametrize("name", platform_misbehaving_clients.CROWDS)
def test_clients_that_do_not_behave_leave_memory_and_processor_time_for_others(name, tmp_path):
    # Guards against requests that a few clients send to use up what a node has: its memory, so that
    # it is killed; its connections; or its only thread, so that it does nothing else for seconds.
    _play(tmp_path, platform_misbehaving_clients.CROWDS[name], "call_address")


@pytest.mark.parametrize("listener", ["announce_address", "ready_address", "metrics_address"])
def test_the_other_listeners_leave_memory_and_descriptors_for_calls(listener, tmp_path):
    # Guards against the same for bodies that clients send to the listeners of the platform and the
    # target.
    visit = platform_misbehaving_clients.unfinished_megabytes
    _play(tmp_path, platform_misbehaving_clients.Crowd(visit, 300), listener)


def _play(tmp_path, crowd, listener):
    """Plays the crowd at a listener of the first of two nodes, and checks both nodes."""

    async def main(nursery):
        record = platform_crowd.record(crowd.max_body_bytes)
        async with (
            platform_crowd.two_nodes(nursery, tmp_path, _script, record, max_fds=MAX_FDS) as nodes,
            trio.open_nursery() as beside,
        ):
            watch = BusyWatch(nodes[0])
            beside.start_soon(watch.run)
            address = getattr(nodes[0].settings, listener)
            # Stays until an ordinary request is answered beside it.
            async with trio.open_nursery() as clients:
                run = platform_crowd.crowd
                clients.start_soon(run, address, crowd.visit, crowd.clients, math.inf)
                await trio.sleep(platform_crowd.LENGTH_S)
                await platform_crowd.check_served(nodes[0], *crowd.served)
                _check(watch, *nodes)
                clients.cancel_scope.cancel()
            await platform_crowd.check_served(nodes[0])
            _check(watch, *nodes)
            beside.cancel_scope.cancel()

    loopback.run(main)


def test_a_single_costly_request_is_served_in_calm(tmp_path):
    # Guards against limits that refuse a request which is inside the operator's.
    async def main(nursery):
        async with platform_crowd.two_nodes(nursery, tmp_path, _script) as nodes:
            for data in platform_misbehaving_clients.costly_requests():
                stream = await loopback.open_raw(nodes[0].settings.call_address)
                await stream.send_all(data)
                assert (await stream.receive_some(100)).startswith(b"HTTP/1.1 200 "), data[:100]
                await trio.aclose_forcefully(stream)

    loopback.run(main)
