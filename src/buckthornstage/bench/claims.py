"""Measures what a keyed call pays for its claim, and the memory of claims and outcomes.

Run `python -m buckthornstage.bench.claims`. The log is in this process and adds the delays given by
flags; calls arrive at random times (Poisson, fixed seed) and their targets answer at once, so the
latency is the cost of at-most-once execution alone. Real time is used: the figures include the
processor time of this machine.
"""

import collections
import dataclasses
import os
import random
import sys
import tracemalloc
from collections.abc import Callable

import trio
from absl import app, flags
from hdrh import histogram

from buckthornstage import clock
from buckthornstage.http import messages
from buckthornstage.idempotency import claim_service, claims, keys, outcomes, runner
from buckthornstage.protocol import log

RATES = flags.DEFINE_list("rates", ["1", "10", "100", "300", "1000"], "Keyed calls a second.")
SECONDS = flags.DEFINE_float("seconds", 5.0, "Length of each measurement.")
ZONES = flags.DEFINE_integer("zones", 1, "Batchers of each partition; calls are spread over them.")
PARTITIONS = flags.DEFINE_integer("partitions", 4, "Value of claim_partitions.")
BATCH_MS = flags.DEFINE_integer("batch_ms", 50, "Value of claim_batch_ms.")
APPEND_DELAY_MS = flags.DEFINE_float("append_delay_ms", 5.0, "Delay of one append.")
READ_DELAY_MS = flags.DEFINE_float("read_delay_ms", 2.0, "Delay of one read.")
MEMORY_KEYS = flags.DEFINE_integer("memory_keys", 100_000, "Keys in the memory measurement.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrival times.")

MAX_LATENCY_US = 60_000_000
SECRET = b"bench secret of 32 characters..."


@dataclasses.dataclass(frozen=True)
class BenchRoute:
    """A route with a deadline that no call of the measurement reaches."""

    timeout_ms: int = 30_000


class MemoryLog:
    """Streams in memory; each call takes its delay."""

    def __init__(self, append_delay_ms: float, read_delay_ms: float) -> None:
        self.append_delay_ms = append_delay_ms
        self.read_delay_ms = read_delay_ms
        self.streams: dict[str, list[log.LogRecord]] = collections.defaultdict(list)
        self.appends = 0
        self.reads = 0
        self.bytes = 0

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends after the delay and returns the offset."""
        await trio.sleep(self.append_delay_ms / 1000)
        records = self.streams[stream]
        records.append(log.LogRecord(len(records) + 1, payload))
        self.appends += 1
        self.bytes += len(payload)
        return len(records)

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> log.LogBatch:
        """Reads after the delay; `wait_ms` is ignored."""
        await trio.sleep(self.read_delay_ms / 1000)
        self.reads += 1
        records = self.streams[stream]
        found = tuple(records[offset - 1 : offset - 1 + limit])
        return log.LogBatch(stream, 1, len(records), found)


def caller_key(created_ms: int, rng: random.Random) -> str:
    """A UUIDv7 made at a wall time."""
    digits = f"{created_ms:012x}7{rng.getrandbits(12):03x}8{rng.getrandbits(60):015x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


async def _respond(request: messages.Request) -> messages.Response:
    return messages.Response(200, body=b"paid")


async def _refuse(node: str, incarnation: int, request: messages.Request) -> messages.Response:
    raise messages.ConnectFailedError(f"{node} is not part of the measurement")


async def _start_node(
    number: int, memory_log: MemoryLog, nursery: trio.Nursery
) -> runner.AtMostOnce:
    """One node, which is the batcher of its zone for every partition."""
    name, time = f"n{number}", clock.Clock()
    service = claim_service.ClaimService(
        name,
        1,
        name,
        memory_log,
        time,
        lambda partition, rank: name,
        lambda address, message: None,
        partitions=PARTITIONS.value,
        batch_ms=BATCH_MS.value,
        rng=random.Random(number),
    )
    service.follow(range(PARTITIONS.value))
    await nursery.start(service.run)
    table = outcomes.OutcomeTable()
    return runner.AtMostOnce(name, 1, SECRET, time, table, nursery, service.claim, _refuse)


async def _measure(rate: float, is_issued: bool) -> tuple[histogram.HdrHistogram, MemoryLog]:
    """Latencies in us and the log after `SECONDS` of calls at `rate` a second."""
    rng = random.Random(SEED.value)
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    memory_log = MemoryLog(APPEND_DELAY_MS.value, READ_DELAY_MS.value)
    request = messages.Request("POST", "/deposit", body=b"{}")

    async def call(node: runner.AtMostOnce) -> None:
        start = trio.current_time()
        issuer = keys.KeyIssuer(node.owner.node, node.owner.incarnation, SECRET)
        key = issuer.issue(node.wall_ms()) if is_issued else caller_key(node.wall_ms(), rng)
        await node.run(key, request, BenchRoute(), _respond)
        latencies.record_value(max(1, round((trio.current_time() - start) * 1e6)))

    async with trio.open_nursery() as nursery:
        nodes = [await _start_node(number, memory_log, nursery) for number in range(ZONES.value)]
        async with trio.open_nursery() as calls:
            next_time = trio.current_time()
            end = next_time + SECONDS.value
            while (next_time := next_time + rng.expovariate(rate)) < end:
                await trio.sleep_until(next_time)
                calls.start_soon(call, rng.choice(nodes))
        nursery.cancel_scope.cancel()
    return latencies, memory_log


def _print_latency() -> None:
    print(
        f"zones {ZONES.value}, partitions {PARTITIONS.value}, claim_batch_ms {BATCH_MS.value}, "
        f"append {APPEND_DELAY_MS.value} ms, read {READ_DELAY_MS.value} ms, "
        f"{SECONDS.value} s a row"
    )
    print(
        f"{'key':>7} {'calls/s':>8} {'calls':>7} {'p50 ms':>8} {'p99 ms':>8} {'max ms':>8} "
        f"{'appends/s':>9} {'reads/s':>8} {'log B/s':>9}"
    )
    for is_issued in (True, False):
        for rate in map(float, RATES.value):
            latencies, memory_log = trio.run(_measure, rate, is_issued)
            p50, p99, largest = (
                latencies.get_value_at_percentile(percent) / 1000 for percent in (50, 99, 100)
            )
            print(
                f"{'issued' if is_issued else 'uuid7':>7} {rate:8g} "
                f"{latencies.get_total_count():7d} {p50:8.2f} {p99:8.2f} {largest:8.2f} "
                f"{memory_log.appends / SECONDS.value:9.1f} "
                f"{memory_log.reads / SECONDS.value:8.1f} {memory_log.bytes / SECONDS.value:9.0f}"
            )


def _bytes_per_key(fill: Callable[[list[str]], object]) -> float:
    """Memory that `fill` keeps for each key, given the texts of the keys."""
    rng = random.Random(SEED.value)
    now_ms = clock.Clock().wall_ms()
    texts = [caller_key(now_ms, rng) for _ in range(MEMORY_KEYS.value)]
    tracemalloc.start()
    kept = fill(texts)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used / MEMORY_KEYS.value


def _fill_fold(texts: list[str]) -> claims.ClaimFold:
    fold = claims.ClaimFold()
    owner = claims.Owner("n1", 1)
    for offset, start in enumerate(range(0, len(texts), 100), 1):
        made = map(keys.caller_key, texts[start : start + 100])
        batch = claims.make_batch(
            os.urandom(claims.BATCH_ID_BYTES), {key.identity: owner for key in made}
        )
        fold.apply(offset, claims.decode(claims.encode(batch)))
    return fold


def _fill_table(texts: list[str], max_outcomes: int) -> outcomes.OutcomeTable:
    table = outcomes.OutcomeTable(
        max_outcomes=max_outcomes, max_outcome_bytes=1 << 40, max_keys=len(texts)
    )
    now_ms = clock.Clock().wall_ms()
    for number, text in enumerate(texts):
        key = keys.caller_key(text)
        table.begin(key, number, now_ms)
        table.finish(key, messages.Response(200, body=os.urandom(200)), now_ms)
    return table


def _print_memory() -> None:
    print(f"\nmemory of {MEMORY_KEYS.value} keys, bytes for each key")
    print(f"{'ClaimFold':>32} {_bytes_per_key(_fill_fold):8.0f}")
    bare = _bytes_per_key(lambda texts: _fill_table(texts, max_outcomes=0))
    held = _bytes_per_key(lambda texts: _fill_table(texts, len(texts)))
    print(f"{'OutcomeTable, bare key':>32} {bare:8.0f}")
    print(f"{'OutcomeTable, 200-byte response':>32} {held:8.0f}")


def main(arguments: list[str]) -> None:
    """Prints both tables."""
    if len(arguments) > 1:
        sys.exit(f"unknown argument {arguments[1]!r}; see --help")
    _print_latency()
    _print_memory()


if __name__ == "__main__":
    app.run(main)
