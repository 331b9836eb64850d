"""Starts and ends the processes of a run; the daemon itself starts none."""

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

POLL_MS = 20
END_MS = 2_000  # for processes that were asked to end at the end of a run, before SIGKILL
KILL_MS = 10_000  # for the end of a process after SIGKILL
LOG_TAIL_LINES = 15

T = TypeVar("T")


class ConditionError(errors.BuckthornstageError):
    """A condition did not become true in its time; the text names it and what was seen last."""


class Processes:
    """Processes by name; each one was started here and is signalled by its own id.

    Output goes to `NAME.log` in the run directory, after that of an earlier process of the name.
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
        """File with the output of the process."""
        return self.run_directory / f"{name}.log"

    def log_tail(self, name: str) -> str:
        """Last lines of the output of the process."""
        lines = self.log_path(name).read_text(encoding="utf-8", errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process; one that has ended already is left alone."""
        process = self.running[name]
        if process.poll() is None:
            process.send_signal(number)

    def exit_status(self, name: str) -> int | None:
        """Exit status (negative: the signal that ended it), or None while the process runs."""
        process = self.running.get(name)
        if process is None:
            return self.exit_statuses[name]
        status = process.poll()
        if status is not None:
            self.exit_statuses[name] = status
            del self.running[name]
        return status

    async def wait(self, name: str, timeout_ms: int) -> int:
        """Waits for the end of a process and returns its exit status; raises ConditionError."""

        async def has_ended() -> bool:
            return self.exit_status(name) is not None

        await wait_until(has_ended, timeout_ms, f"the end of {name}")
        return self.exit_statuses[name]

    async def kill(self, name: str) -> None:
        """Ends a process by SIGKILL, also a stopped one, and waits for its end."""
        self.signal(name, signal.SIGKILL)
        await self.wait(name, KILL_MS)

    def unexpected_ends(self) -> dict[str, int]:
        """Processes that ended without `kill` or `wait`, with their exit status."""
        return {
            name: process.returncode
            for name, process in self.running.items()
            if process.poll() is not None
        }

    async def end_all(self) -> None:
        """Ends everything that still runs: by SIGTERM first, then by SIGKILL."""
        with trio.CancelScope(shield=True):
            for name in tuple(self.running):
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
            with trio.move_on_after(END_MS / 1000):
                while self.running:
                    for name in tuple(self.running):
                        self.exit_status(name)
                    await trio.sleep(POLL_MS / 1000)
            for name, process in tuple(self.running.items()):
                process.kill()
                self.exit_statuses[name] = process.wait()
                del self.running[name]


@contextlib.asynccontextmanager
async def running_in(run_directory: pathlib.Path) -> AsyncIterator[Processes]:
    """Processes that are all ended on the way out, whatever happens inside."""
    processes = Processes(run_directory)
    try:
        yield processes
    finally:
        await processes.end_all()


async def wait_until(
    condition: Callable[[], Awaitable[T]], timeout_ms: int, what: str, poll_ms: int = POLL_MS
) -> T:
    """Waits until `condition` returns something true and returns that.

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
