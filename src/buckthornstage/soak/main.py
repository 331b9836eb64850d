"""Command of the soak: plays seeds one after the other and reports broken promises."""

import collections
import pathlib
import sys

import trio
from absl import app, flags

from buckthornstage.soak import judge, plan, platform_caller, platform_world

_SEEDS = flags.DEFINE_string("seeds", "1", "seeds, as N, N,M or N-M")
_DURATION_S = flags.DEFINE_integer("duration_s", 20, "length of a run in s", lower_bound=8)
_PLANNED_ONLY = flags.DEFINE_bool(
    "planned_only", False, "planned work and faults of the store alone"
)
_NODES = flags.DEFINE_integer(
    "nodes", platform_world.NODE_COUNT, "node processes", lower_bound=2, upper_bound=300
)
_CALLERS = flags.DEFINE_integer(
    "callers", platform_world.CALLERS, "callers of each node", lower_bound=1
)
_GAP_MS = flags.DEFINE_integer(
    "gap_ms",
    platform_caller.GAP_MS,
    "mean time in ms between a response and its caller's next call",
)
_LOGS = flags.DEFINE_string("logs", "soak-logs", "folder for the logs of the nodes")

SIGNAL_STATUS = 128
MAX_LAG_MS = 1_000
"""Half of the time after which a node takes a call to the store as failed: a run whose own loop was
later cannot tell whether the nodes or its stand-ins were late, and counts as failed."""


def parse_seeds(text: str) -> list[int]:
    """Seeds of "N", "N,M" or "N-M"; raises ValueError."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def not_judged(lag_ms: int) -> dict[str, list[str]]:
    """Why a run cannot be judged, in the form of `judge.violations`; empty if it can."""
    if lag_ms <= MAX_LAG_MS:
        return {}
    return {"not_judged": [f"own loop {lag_ms} ms late, {MAX_LAG_MS} ms allowed"]}


def play(seed: int) -> dict[str, list[str]]:
    """Plays one seed; returns the cases that break a promise, by check."""
    directory = pathlib.Path(_LOGS.value) / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.glob("*.jsonl"):
        old.unlink()
    duration_ms = _DURATION_S.value * 1_000
    faults = plan.make(seed, duration_ms, _NODES.value, _PLANNED_ONLY.value)
    world = platform_world.World(
        directory,
        seed,
        faults,
        duration_ms,
        node_count=_NODES.value,
        callers=_CALLERS.value,
        gap_ms=_GAP_MS.value,
    )
    trio.run(world.run)
    if world.ended_by is not None:
        sys.exit(SIGNAL_STATUS + world.ended_by)
    found = world.found
    kinds = collections.Counter(str(fault.kind) for fault in found.faults)
    served = sum(200 <= answer.status < 300 for answer in found.answered)
    print(
        f"seed {seed}: {len(found.sent)} calls, {served} served,"
        f" {len(judge.due_calls(found))} on added routes at nodes in touch,"
        f" own loop {world.own_lag.longest_ms} ms late, the store's {world.store_lag_ms} ms,"
        f" {len(found.faults)} faults:",
        ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())),
        flush=True,
    )
    return judge.violations(found) | not_judged(world.lag_ms)


def main(arguments: list[str]) -> None:
    """Plays all seeds; ends with status 1 if a promise was broken."""
    failed = False
    for seed in parse_seeds(_SEEDS.value):
        broken = play(seed)
        for name, cases in broken.items():
            failed = True
            print(f"  BROKEN {name}: {len(cases)} cases, the first: {'; '.join(cases[:3])}")
        if broken:
            options = f"--duration_s={_DURATION_S.value}{' --planned_only' * _PLANNED_ONLY.value}"
            options += (
                f" --nodes={_NODES.value} --callers={_CALLERS.value} --gap_ms={_GAP_MS.value}"
            )
            print(
                f"  again: python -m buckthornstage.soak --seeds={seed} {options};"
                f" logs in {_LOGS.value}/{seed}",
                flush=True,
            )
    print(f"kinds of faults: {len(plan.FaultKind)}; promises: {len(judge.CHECKS)}")
    sys.exit(1 if failed else 0)


def run() -> None:
    """Entry point."""
    app.run(main)
