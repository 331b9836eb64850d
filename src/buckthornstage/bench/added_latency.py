"""Measures what a node adds to a call: direct, one hop, two hops, in turns within one run.

Run `python -m buckthornstage.bench.added_latency`. It starts a target and nodes that run the call
path only, all on loopback, and calls them at a fixed rate with random spacing. Latency counts from
the intended time of a call, so a late caller does not hide a slow response.
"""

import json
import pathlib
import random
import resource
import subprocess
import sys
import time

import trio
from absl import app, flags
from hdrh import histogram

from buckthornstage.bench import bench_roles
from buckthornstage.http import client, messages

FLAGS = flags.FLAGS
flags.DEFINE_integer("rate", 240, "Calls in a second.", lower_bound=1)
flags.DEFINE_integer("rounds", 4, "Turns of every path.", lower_bound=1)
flags.DEFINE_integer("seconds", 3, "Length of one turn.", lower_bound=1)
flags.DEFINE_integer("body_bytes", 200, "Size of a response body.", lower_bound=0)
flags.DEFINE_integer("seed", 1, "Seed of the spacing of calls.")
flags.DEFINE_string("profile", "", "File for a cProfile of the node of the one-hop path.")
PATHS = ("direct", "one hop", "two hops")
WARM_UP_CALLS = 50


class Role:
    """A process of this benchmark that serves on a port of its own until its input ends."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "buckthornstage.bench.bench_roles", *arguments]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.address = self.process.stdout.readline().strip()

    def report(self) -> dict:
        """Processor seconds and metrics of the process so far."""
        self.process.stdin.write("report\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def stop(self) -> None:
        """Ends the process by the end of its input."""
        self.process.stdin.close()
        self.process.wait(timeout=10)


class Caller:
    """Open-loop load with a pool of connections to one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: list[client.Connection] = []
        self.latency_us = histogram.HdrHistogram(1, 60_000_000, 3)
        self.failures = 0

    async def call(self, intended: float | None) -> None:
        """One call; counts its latency from the intended time unless that is None."""
        connection = self.idle.pop() if self.idle else await client.connect(self.address)
        try:
            response = await connection.fetch(messages.Request("GET", "/status/1"))
        except messages.HttpError:
            self.failures += 1
            return
        if connection.is_usable:
            self.idle.append(connection)
        if response.status != 200:
            self.failures += 1
        elif intended is not None:
            self.latency_us.record_value(int((time.perf_counter() - intended) * 1e6))

    async def turn(self, rate: int, seconds: int, spacing: random.Random) -> None:
        """Calls for `seconds` at `rate` with exponential spacing."""
        end = time.perf_counter() + seconds
        intended = time.perf_counter()
        async with trio.open_nursery() as nursery:
            while intended < end:
                await trio.sleep(max(0.0, intended - time.perf_counter()))
                nursery.start_soon(self.call, intended)
                intended += spacing.expovariate(rate)


def _total_cpu(roles: list[Role]) -> list[tuple[float, float]]:
    reports = [role.report() for role in roles]
    return [(report["user_s"], report["system_s"]) for report in reports]


def _own_cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def _measure(roles: list[Role]) -> tuple[list[Caller], list[dict]]:
    callers = [Caller(role.address) for role in roles]
    spent = [{"target": 0.0, "near": [0.0, 0.0], "far": [0.0, 0.0], "own": 0.0} for _ in PATHS]
    spacing = random.Random(FLAGS.seed)
    for caller in callers:
        for _ in range(WARM_UP_CALLS):
            await caller.call(None)
    for _ in range(FLAGS.rounds):
        for index, caller in enumerate(callers):
            before, own = _total_cpu(roles), _own_cpu()
            await caller.turn(FLAGS.rate, FLAGS.seconds, spacing)
            after = _total_cpu(roles)
            used = [(b[0] - a[0], b[1] - a[1]) for a, b in zip(before, after, strict=True)]
            spent[index]["own"] += _own_cpu() - own
            spent[index]["target"] += sum(used[0])
            for name, pair in (("near", used[1]), ("far", used[2])):
                spent[index][name][0] += pair[0]
                spent[index][name][1] += pair[1]
    return callers, spent


def _print(callers: list[Caller], spent: list[dict], added: dict) -> None:
    base = callers[0].latency_us
    print(f"{FLAGS.rate} calls/s, {FLAGS.rounds} turns of {FLAGS.seconds} s for each path")
    print("path      calls  fail  p50 us  p99 us  p50 ratio  p99 ratio")
    for name, caller in zip(PATHS, callers, strict=True):
        p50, p99 = (caller.latency_us.get_value_at_percentile(p) for p in (50, 99))
        ratios = [
            value / max(1, base.get_value_at_percentile(p)) for value, p in ((p50, 50), (p99, 99))
        ]
        count = caller.latency_us.get_total_count()
        print(
            f"{name:9} {count:5d} {caller.failures:5d} {p50:7d} {p99:7d}"
            f"  {ratios[0]:9.2f}  {ratios[1]:9.2f}"
        )
    print("processor time in us for each call: caller, target, nodes (user + system)")
    for name, caller, used in zip(PATHS, callers, spent, strict=True):
        calls = max(1, caller.latency_us.get_total_count())
        nodes = [
            f"{pair[0] / calls * 1e6:.0f} + {pair[1] / calls * 1e6:.0f}"
            for pair in (used["near"], used["far"])
            if sum(pair) / calls > 1e-5
        ]
        own, target = used["own"] / calls * 1e6, used["target"] / calls * 1e6
        print(f"{name:9} caller {own:.0f}, target {target:.0f}, nodes {nodes}")
    print(f"in the node, without waiting for the target: {added}")


def main(_) -> None:
    """Starts the processes, measures, prints."""
    size = f"--body_bytes={FLAGS.body_bytes}"
    profile = [f"--profile={FLAGS.profile}"] if FLAGS.profile else []
    roles = [Role("--role=target", size)]
    try:
        roles.append(Role("--role=node", f"--target={roles[0].address}", *profile))
        roles.append(Role("--role=node", f"--target={roles[1].address}"))
        callers, spent = trio.run(_measure, roles)
        _print(callers, spent, roles[1].report()["metrics"]["added_us"])
    finally:
        for role in roles:
            role.stop()
    if FLAGS.profile:
        bench_roles.print_profile(pathlib.Path(FLAGS.profile))


if __name__ == "__main__":
    app.run(main)
