"""Log lines of several processes on one pipe stay whole."""

import os
import subprocess
import sys
import time

import hypothesis
import msgspec
from hypothesis import strategies

from buckthornstage.mesh import events

LINES_PER_PROCESS = 600
WRITER = """
import sys, time
from buckthornstage.mesh import events

name, lines = sys.argv[1], int(sys.argv[2])
log = events.EventLog(name)
for number in range(lines):
    log.emit("caller", "answered", True, call=f"{name}-{number}", text="x" * (number % 700))
while log.pending_bytes:
    log.flush()
    time.sleep(0.001)
assert not log.dropped, log.dropped
"""


def test_lines_of_processes_that_share_a_full_pipe_stay_whole():
    """Guards against lines that are cut in the middle, with a line of another process inside."""
    reader, writer = os.pipe()
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", WRITER, name, str(LINES_PER_PROCESS)],
            stdout=writer,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        for name in ("n1", "n2")
    ]
    os.close(writer)
    time.sleep(1)  # both processes have filled the pipe and buffer the rest
    data = bytearray()
    while chunk := os.read(reader, 3_000):
        data += chunk
    os.close(reader)
    assert [process.wait(30) for process in processes] == [0, 0]
    calls = [msgspec.json.decode(line)["call"] for line in bytes(data).splitlines()]
    assert sorted(calls) == sorted(
        f"{name}-{number}" for name in ("n1", "n2") for number in range(LINES_PER_PROCESS)
    )


texts = strategies.one_of(
    strategies.text(max_size=50),
    strategies.integers(0, 9_000).map(lambda size: "\n" * size),
    strategies.integers(0, 3_000).map(lambda size: ["door"] * size),
)


@hypothesis.given(strategies.dictionaries(strategies.text(max_size=9), texts, max_size=6))
def test_a_line_of_any_fields_is_whole_json_within_one_write(fields):
    """Guards against a traceback that is cut within its JSON text."""
    line = events.encode_line({"at": 1.5, "node": "n1", **fields})
    assert len(line) <= events.MAX_WRITE_BYTES and line.count(b"\n") == 1
    decoded = msgspec.json.decode(line)
    assert decoded == {"at": 1.5, "node": "n1", **fields} or decoded["is_cut"]
    assert "at" in decoded
