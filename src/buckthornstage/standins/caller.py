"""Load generator: `python -m buckthornstage.standins.caller`; prints a summary as JSON."""

import sys

import msgspec
import trio
from absl import app, flags

from buckthornstage import clock
from buckthornstage.standins import load

NODES = flags.DEFINE_list("nodes", [], "Call addresses IP:port of nodes.")
PATH = flags.DEFINE_string("path", "/", "Path; {n} becomes the number of the call.")
METHOD = flags.DEFINE_string("method", "GET", "HTTP method.")
BODY = flags.DEFINE_string("body", "", "Body; {n} becomes the number of the call.")
RATE = flags.DEFINE_float("rate", 50.0, "Calls per second.", lower_bound=0.01)
DURATION_MS = flags.DEFINE_integer("duration_ms", 2_000, "Period in which calls start.")
DEADLINE_MS = flags.DEFINE_integer("deadline_ms", 2_000, "Deadline of each call.", lower_bound=1)
KEY_MODE = flags.DEFINE_enum(
    "key_mode", "none", ["none", "uuid7", "issued"], "Source of the idempotency keys."
)
REPEATS = flags.DEFINE_integer("repeats", 0, "Further sends of each call, each to another node.")
ARTEFACT_BYTES = flags.DEFINE_integer(
    "artefact_bytes", 0, "Size of the expected artefact; 0: JSON response."
)
SEED = flags.DEFINE_integer("seed", 1, "Seed of request ids and keys.")


def main(argv: list[str]) -> int:
    """Generates the load that the flags describe and prints the summary."""
    if len(argv) > 1 or not NODES.value:
        raise app.UsageError(
            "--nodes=IP:port,... is required, positional arguments are not allowed"
        )
    plan = load.Plan(
        addresses=tuple(NODES.value),
        path=PATH.value,
        rate=RATE.value,
        duration_ms=DURATION_MS.value,
        method=METHOD.value,
        deadline_ms=DEADLINE_MS.value,
        body=BODY.value,
        key_mode=KEY_MODE.value,
        repeats=REPEATS.value,
        artefact_bytes=ARTEFACT_BYTES.value,
    )
    results = trio.run(load.Caller(plan, clock.Clock(), SEED.value).run)
    print(msgspec.json.encode(results.summary()).decode("ascii"))
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
