"""Independent record of the requests that a backend server stand-in ran."""

import collections
import pathlib

import msgspec

MAX_RUNS_IN_MEMORY = 200_000


class Run(msgspec.Struct, frozen=True):
    """One start of a request; `key` and `request_id` are empty if the request had none."""

    at_ms: int
    server: str
    method: str
    path: str
    key: str
    request_id: str


class RunRecord:
    """Counts runs in memory and appends each to the file, which survives a kill of the process.

    Several processes may share one file, since each line is appended in a single write.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self.file = path.open("ab", buffering=0) if path else None
        self.by_key: collections.Counter[str] = collections.Counter()
        self.by_request_id: collections.Counter[str] = collections.Counter()
        self.counters: collections.Counter[str] = collections.Counter()

    def start(self, run: Run) -> None:
        """Records a run; call it before the run does any work."""
        self.counters["runs"] += 1
        if len(self.by_key) + len(self.by_request_id) < MAX_RUNS_IN_MEMORY:
            if run.key:
                self.by_key[run.key] += 1
            if run.request_id:
                self.by_request_id[run.request_id] += 1
        if self.file:
            self.file.write(msgspec.json.encode(run) + b"\n")

    def count(self, name: str) -> None:
        """Increments the counter `name`."""
        self.counters[name] += 1


def read(path: pathlib.Path) -> list[Run]:
    """All runs in a record file, without a last line that a kill left incomplete."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Run) for line in lines]


def runs_by_key(path: pathlib.Path) -> collections.Counter[str]:
    """Number of runs of each idempotency key in a record file."""
    return collections.Counter(run.key for run in read(path) if run.key)
