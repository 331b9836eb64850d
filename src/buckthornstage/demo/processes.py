"""Starts and ends the processes of a run; a node itself starts none."""

import contextlib
import itertools
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import trio

import buckthornstage
from buckthornstage import errors

POLL_INTERVAL_MS = 20
TERMINATE_TIMEOUT_MS = 2_000  # between SIGTERM and SIGKILL at the end of a run
KILL_TIMEOUT_MS = 10_000  # until a process has exited after SIGKILL
LOG_TAIL_LINES = 15

T = TypeVar("T")


class ConditionError(errors.BuckthornstageError):
    """A condition did not become true in time; the text has the condition and its last value."""


class Processes:
    """Processes by name; only those started here are signalled, each by its process id.

    Output is appended to `NAME.log` in the run directory, also when a process is started again.
    """

    def __init__(self, run_directory: pathlib.Path) -> None:
        self.run_directory = run_directory
        self.running: dict[str, subprocess.Popen] = {}
        self.exit_statuses: dict[str, int] = {}
        source = str(pathlib.Path(buckthornstage.__file__).parent.parent)
        paths = [source, *filter(None, [os.environ.get("PYTHONPATH")])]
        self.environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Starts `python -m module` with these arguments."""
        if name in self.running:
            raise ValueError(f"the process {name} is already running")
        with self.log_path(name).open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self.environment,
            )
        self.exit_statuses.pop(name, None)

    def log_path(self, name: str) -> pathlib.Path:
        """File with the output of a process."""
        return self.run_directory / f"{name}.log"

    def log_tail(self, name: str) -> str:
        """Last lines of the output of a process."""
        lines = self.log_path(name).read_text(encoding="utf-8", errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process, unless it has already exited."""
        process = self.running[name]
        if process.poll() is None:
            process.send_signal(number)

    def exit_status(self, name: str) -> int | None:
        """Exit status, or None while the process runs; negative if a signal ended it."""
        process = self.running.get(name)
        if process is None:
            return self.exit_statuses[name]
        status = process.poll()
        if status is not None:
            self.exit_statuses[name] = status
            del self.running[name]
        return status

    async def wait(self, name: str, timeout_ms: int) -> int:
        """Waits until a process exits and returns its exit status; raises ConditionError."""

        async def has_ended() -> bool:
            return self.exit_status(name) is not None

        await wait_until(has_ended, timeout_ms, f"the end of {name}")
        return self.exit_statuses[name]

    async def kill(self, name: str) -> None:
        """Kills a process, also one stopped by SIGSTOP, and waits until it exits."""
        self.signal(name, signal.SIGKILL)
        await self.wait(name, KILL_TIMEOUT_MS)

    def unexpected_ends(self) -> dict[str, int]:
        """Exit statuses of processes that exited without `kill` or `wait`, by name."""
        return {
            name: process.returncode
            for name, process in self.running.items()
            if process.poll() is not None
        }

    async def terminate_all(self) -> None:
        """Ends all running processes by SIGTERM, and by SIGKILL after TERMINATE_TIMEOUT_MS."""
        with trio.CancelScope(shield=True):
            for name in tuple(self.running):
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
            with trio.move_on_after(TERMINATE_TIMEOUT_MS / 1000):
                while self.running:
                    for name in tuple(self.running):
                        self.exit_status(name)
                    await trio.sleep(POLL_INTERVAL_MS / 1000)
            for name, process in tuple(self.running.items()):
                process.kill()
                self.exit_statuses[name] = process.wait()
                del self.running[name]


@contextlib.asynccontextmanager
async def running_in(run_directory: pathlib.Path) -> AsyncIterator[Processes]:
    """Processes of a run; all are ended on leaving the context, also after an error."""
    processes = Processes(run_directory)
    try:
        yield processes
    finally:
        await processes.terminate_all()


async def wait_until(
    condition: Callable[[], Awaitable[T]],
    timeout_ms: int,
    what: str,
    poll_ms: int = POLL_INTERVAL_MS,
) -> T:
    """Calls `condition` until it returns a true value, and returns that value.

    Raises ConditionError with `what` and the last value after `timeout_ms`.
    """
    value: T | None = None
    with trio.move_on_after(timeout_ms / 1000):
        for _ in itertools.count():
            value = await condition()
            if value:
                return value
            await trio.sleep(poll_ms / 1000)
    raise ConditionError(f"waited {timeout_ms} ms for {what}; last seen: {value!r}")
