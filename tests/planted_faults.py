"""Shows that each promise of the soak fails when a fault is planted in the product.

By hand: `PYTHONPATH=src:tests python tests/planted_faults.py`; about half a minute for each fault.
"""

import os
import pathlib
import sys
import tempfile

import planted_node
import trio

from buckthornstage.soak import judge, plan, platform_world

DURATION_MS = 24_000
SEEDS = (201, 202, 203)
PROGRAM = pathlib.Path(planted_node.__file__)
BROKEN_PROMISE = {
    "take_any_response": {"own_response"},
    "call_failures_refusals": {"not_run_is_true", "at_most_once"},
    "forget_leaves": {"nothing_after_leaving"},
    "ignore_limits": {"limits_are_kept"},
    "take_any_version": {"versions_never_go_back"},
    "read_versions_late": {"routes_are_found"},
    "stop_at_once": {"planned_work_loses_nothing"},
    "give_up_at_stop": {"stopping_node_waits_for_runs"},
    "retry_without_budget": {"retries_stay_in_budget"},
    "never_forget_slow_runs": {"service_recovers"},
    "keep_withdrawn_keys": {"withdrawn_keys_run_nothing"},
    "refuse_some_keys": {"valid_keys_are_accepted"},
    "name_no_tenant": {"targets_learn_the_tenant"},
    "ignore_quotas": {"quotas_are_kept"},
    "ignore_memory": {"memory_is_kept"},
    "exit_early": {"no_process_ends_by_itself"},
}

NEED_PLANNED_WORK = {"stop_at_once"}
"""Other faults would excuse the calls that are lost."""


def violations(fault: str, seed: int, directory: pathlib.Path) -> dict[str, list[str]]:
    """Cases that break a promise in a run whose nodes have the fault."""
    directory.mkdir()
    os.environ[planted_node.VARIABLE] = fault
    is_planned_only = fault in NEED_PLANNED_WORK
    faults = plan.make(seed, DURATION_MS, platform_world.NODE_COUNT, is_planned_only)
    world = platform_world.World(directory, seed, faults, DURATION_MS, PROGRAM)
    trio.run(world.run)
    return judge.violations(world.found)


def main(names: list[str]) -> None:
    """Plays seeds with each fault until its promise is broken; ends with 1 if one never is."""
    missed = []
    for fault in names or BROKEN_PROMISE:
        broken: set[str] = set()
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as base:
                broken = set(violations(fault, seed, pathlib.Path(base) / "logs"))
            print(f"{fault}, seed {seed}: broken {', '.join(sorted(broken)) or 'none'}", flush=True)
            if BROKEN_PROMISE[fault] <= broken:
                break
        else:
            missed.append(fault)
    print(f"promises not broken by their fault: {', '.join(missed) or 'none'}")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main(sys.argv[1:])
