"""Stand-in for a user's backend server: `python -m buckthornstage.standins.backend`.

It announces itself to its node every second, runs requests in a bounded number of slots and
sheds requests when all slots are taken. `POST /faults` changes its behaviour, `GET /record`
returns what it ran.

Requests: a path below a prefix of `--artefacts` returns a large artefact; a path with the segment
`crash`, or the header `standin-crash`, kills the process; every other request takes the service
time (header `standin-service-ms` overrides it) and returns JSON that describes the request.
"""

import pathlib
import sys

import trio
from absl import app, flags

from buckthornstage import clock
from buckthornstage.http import server
from buckthornstage.standins import backend_server, process, run_record

ADDRESS = flags.DEFINE_string("address", None, "IP:port to listen on.", required=True)
NODE = flags.DEFINE_string("node", "", "Admin IP:port of the node on this VM; empty: none.")
SERVICE = flags.DEFINE_string("service", None, "Name of the service.", required=True)
SLOTS = flags.DEFINE_integer("slots", 20, "Most requests that run concurrently.", lower_bound=1)
CONNECTIONS = flags.DEFINE_integer("connections", 110, "Most open connections.", lower_bound=1)
SERVICE_TIME_MS = flags.DEFINE_float("service_time_ms", 5.0, "Run time of one request.")
COLD_START_MS = flags.DEFINE_integer("cold_start_ms", 0, "Time until the server is ready.")
WARM_UP_MS = flags.DEFINE_integer(
    "warm_up_ms", 0, "Time after the cold start during which requests are slower, at first 5 times."
)
ARTEFACTS = flags.DEFINE_multi_string("artefacts", [], "PREFIX=BYTES of artefacts.")
LEAVE_MS = flags.DEFINE_integer(
    "leave_ms", 3_000, "Time between announcing `leaving` and closing the listener."
)
DRAIN_MS = flags.DEFINE_integer("drain_ms", 20_000, "Time after that for running requests.")
RECORD_FILE = flags.DEFINE_string("record_file", "", "File to append a line to for each run.")


def _artefact_sizes(texts: list[str]) -> dict[str, int]:
    sizes = {}
    for text in texts:
        prefix, separator, size = text.rpartition("=")
        if not separator or not size.isdecimal():
            raise app.UsageError(f"--artefacts: {text!r} is not of the form PREFIX=BYTES")
        sizes[prefix] = int(size)
    return sizes


def main(argv: list[str]) -> int:
    """Runs the stand-in with the values of the flags."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments: {argv[1:]}")
    config = backend_server.Config(
        address=ADDRESS.value,
        node_admin_address=NODE.value,
        service=SERVICE.value,
        slots=SLOTS.value,
        connections=CONNECTIONS.value,
        cold_start_ms=COLD_START_MS.value,
        warm_up_ms=WARM_UP_MS.value,
        artefacts=_artefact_sizes(ARTEFACTS.value),
        leave_ms=LEAVE_MS.value,
        drain_ms=DRAIN_MS.value,
    )
    record = run_record.RunRecord(pathlib.Path(RECORD_FILE.value) if RECORD_FILE.value else None)
    faults = backend_server.Faults(service_time_ms=SERVICE_TIME_MS.value)
    backend = backend_server.BackendServer(config, faults, record, clock.Clock())
    trio.run(serve, backend)
    return 0


async def serve(
    backend: backend_server.BackendServer, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
    http_server = server.HttpServer(backend.handle)
    backend.open_connections = lambda: http_server.connections
    async with trio.open_nursery() as nursery:
        task_status.started(await nursery.start(http_server.serve, backend.config.address))
        nursery.start_soon(backend.announce_forever)
        await process.wait_for_stop_signal()
        await backend.leave()
        await http_server.drain(backend.config.drain_ms)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(app.run(main))
