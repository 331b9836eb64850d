"""Starts node processes as forks of one process that has imported the node's program.

The import takes 0.4 s of processor time. In a fleet each VM spends it on its own processor; here
nodes that start together would take it from each other, and from the stand-ins.
"""

import gc
import importlib
import os
import pathlib
import re
import runpy
import signal
import subprocess
import sys
import traceback
from collections.abc import Mapping

import msgspec

PRELOADED = "buckthornstage.platform.main"
FAILED_STATUS = 1
PEAK = re.compile(r"VmHWM:\s*(\d+) kB")
BYTES_PER_KB = 1024


class _Start(msgspec.Struct, tag="start"):
    program: str
    log: str
    environment: dict[str, str]


class _Poll(msgspec.Struct, tag="poll"):
    pid: int
    waits: bool


_request_decoder = msgspec.json.Decoder(_Start | _Poll)


class Starter:
    """The process that forks; used by one thread. `close` ends it and the nodes that it started."""

    def __init__(self) -> None:
        self.server = subprocess.Popen(
            [sys.executable, "-m", "buckthornstage.soak.starter"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def start(
        self, program: pathlib.Path, log: pathlib.Path, environment: Mapping[str, str]
    ) -> "NodeProcess":
        """Starts a program, whose output goes to the end of `log`."""
        request = _Start(str(program), str(log), dict(environment))
        return NodeProcess(self, self.ask(request))

    def ask(self, request: _Start | _Poll) -> int | None:
        """Response of the process; raises OSError or msgspec.DecodeError if it has ended."""
        self.server.stdin.write(msgspec.json.encode(request) + b"\n")
        self.server.stdin.flush()
        return msgspec.json.decode(self.server.stdout.readline(), type=int | None)

    def close(self) -> None:
        """Ends the process, which kills its nodes first."""
        self.server.stdin.close()
        self.server.wait()
        self.server.stdout.close()


class NodeProcess:
    """A started process; its methods do what those of `subprocess.Popen` do."""

    def __init__(self, starter: Starter, pid: int) -> None:
        self.starter = starter
        self.pid = pid
        self.returncode: int | None = None
        self.is_killed = False
        """Whether `kill` ended it."""

    def poll(self, waits: bool = False) -> int | None:
        """Exit status, or None while the process runs."""
        if self.returncode is None:
            self.returncode = self.starter.ask(_Poll(self.pid, waits))
        return self.returncode

    def peak_bytes(self) -> int:
        """Largest resident size of the process until now; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        found = PEAK.search(status)
        return int(found[1]) * BYTES_PER_KB if found else 0

    def send_signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.poll() is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the process at once; a paused one as well."""
        self.is_killed = self.is_killed or self.poll() is None
        self.send_signal(signal.SIGKILL)

    def wait(self) -> int:
        """Waits for the end of the process; returns its exit status."""
        return self.poll(waits=True)


def _fork(start: _Start) -> int:
    with open(start.log, "ab", buffering=0) as log:
        if pid := os.fork():
            return pid
        for stream in (sys.stdout, sys.stderr):
            os.dup2(log.fileno(), stream.fileno())
    status = FAILED_STATUS
    try:
        signal.signal(signal.SIGINT, signal.default_int_handler)
        with open(os.devnull, "rb") as nothing:
            os.dup2(nothing.fileno(), sys.stdin.fileno())
        os.environ.update(start.environment)
        runpy.run_path(start.program, run_name="__main__")
        status = 0
    except SystemExit as end:
        status = end.code if isinstance(end.code, int) else FAILED_STATUS * bool(end.code)
    except BaseException:  # as an interpreter does: the log gets the traceback
        traceback.print_exc()
    finally:
        sys.stdout.flush()
        os._exit(status)


def _poll(running: set[int], request: _Poll) -> int | None:
    pid, status = os.waitpid(request.pid, 0 if request.waits else os.WNOHANG)
    if not pid:
        return None
    running.discard(pid)
    return os.waitstatus_to_exitcode(status)


def serve() -> None:
    """Starts and polls processes as standard input asks; kills those left at its end."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the soak ends its nodes itself
    importlib.import_module(PRELOADED)
    gc.freeze()
    running: set[int] = set()
    for line in sys.stdin.buffer:
        request = _request_decoder.decode(line)
        if isinstance(request, _Start):
            answer = _fork(request)
            running.add(answer)
        else:
            answer = _poll(running, request)
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
        sys.stdout.buffer.flush()
    for pid in running:
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)


if __name__ == "__main__":
    serve()
