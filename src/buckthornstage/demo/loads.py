"""Runs loads against a mesh, each in its own process of the caller stand-in."""

import json

from buckthornstage.demo import mesh as meshes

PROCESS_OVERHEAD_MS = 30_000  # added to duration and deadline: process start and last calls

# Outcomes that leave the result of a call unknown; a graceful stop must cause none of them.
CUT_OFF = ("broken", "truncated", "no_answer")
INCORRECT = ("truncated", "wrong")


def start(
    mesh: meshes.Mesh,
    name: str,
    addresses: tuple[str, ...],
    path: str,
    *,
    rate: float,
    duration_ms: int,
    deadline_ms: int = 2_000,
    **options: object,
) -> None:
    """Starts a caller process; `options` are further flags of it."""
    flags = {
        "nodes": ",".join(addresses),
        "path": path,
        "rate": rate,
        "duration_ms": duration_ms,
        "deadline_ms": deadline_ms,
        **options,
    }
    arguments = [f"--{flag}={value}" for flag, value in flags.items()]
    mesh.processes.start(name, "buckthornstage.standins.caller", *arguments)


async def finish(mesh: meshes.Mesh, name: str, duration_ms: int, deadline_ms: int = 2_000) -> dict:
    """Waits for a caller process and returns its summary; raises RuntimeError if it failed."""
    status = await mesh.processes.wait(name, duration_ms + deadline_ms + PROCESS_OVERHEAD_MS)
    lines = mesh.processes.log_path(name).read_text(encoding="utf-8").splitlines()
    if status != 0 or not lines:
        raise RuntimeError(f"{name} exited with status {status}:\n{mesh.processes.log_tail(name)}")
    return json.loads(lines[-1])


async def run(
    mesh: meshes.Mesh,
    name: str,
    addresses: tuple[str, ...],
    path: str,
    *,
    rate: float,
    duration_ms: int,
    **options: object,
) -> dict:
    """Runs one load to its end and returns its summary."""
    start(mesh, name, addresses, path, rate=rate, duration_ms=duration_ms, **options)
    return await finish(mesh, name, duration_ms, int(options.get("deadline_ms", 2_000)))


def count(summary: dict, names: tuple[str, ...]) -> int:
    """Number of calls of a load, including repeats, with one of these outcomes."""
    groups = (summary["outcomes"], summary["repeat_outcomes"])
    return sum(outcomes.get(name, 0) for outcomes in groups for name in names)


def cut_off(summary: dict) -> int:
    """Calls without a complete response, or with "may have run" after a failure or deadline."""
    failed = ("target_failed/may-have-run", "deadline_passed_in_call/may-have-run")
    return count(summary, (*CUT_OFF, *failed))


def format_outcomes(outcomes: dict[str, int]) -> str:
    """Outcomes in one line, most frequent first."""
    ordered = sorted(outcomes.items(), key=lambda item: -item[1])
    return ", ".join(f"{name} {number}" for name, number in ordered) or "none"
