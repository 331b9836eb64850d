"""Independent record of what a backend server stand-in ran, in memory and as lines of a file."""

import collections
import pathlib

import msgspec

MAX_RUNS_IN_MEMORY = 200_000


class Run(msgspec.Struct, frozen=True):
    """One start of a request; `key` and `request_id` are empty when the request had none."""

    at_ms: int
    server: str
    method: str
    path: str
    key: str
    request_id: str


class RunRecord:
    """Counts runs; a killed process loses its memory, so each run is also written to the file.

    Several processes may share one file: each line is one append in a single write.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self.file = path.open("ab", buffering=0) if path else None
        self.by_key: collections.Counter[str] = collections.Counter()
        self.by_request_id: collections.Counter[str] = collections.Counter()
        self.counters: collections.Counter[str] = collections.Counter()

    def start(self, run: Run) -> None:
        """Records a run before any of its work is done."""
        self.counters["runs"] += 1
        if len(self.by_key) + len(self.by_request_id) < MAX_RUNS_IN_MEMORY:
            if run.key:
                self.by_key[run.key] += 1
            if run.request_id:
                self.by_request_id[run.request_id] += 1
        if self.file:
            self.file.write(msgspec.json.encode(run) + b"\n")

    def count(self, what: str) -> None:
        """Counts anything else by name."""
        self.counters[what] += 1


def read(path: pathlib.Path) -> list[Run]:
    """All runs of a record file; a last line cut off by a kill is left out."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Run) for line in lines]


def runs_by_key(path: pathlib.Path) -> collections.Counter[str]:
    """Number of runs of each idempotency key in a record file."""
    return collections.Counter(run.key for run in read(path) if run.key)
