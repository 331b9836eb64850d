"""Measures convergence time and control bytes of many node cores.

Run `python -m buckthornstage.bench.control_bytes --nodes=12,24,48`. Times are simulated, with 4 ms
between zones and 1 ms within; bytes are those of encoded and authenticated messages, without
TCP/IP headers. The baseline is computed, not simulated: every node polls the log for the full
document once per interval.
"""

import dataclasses
import math

from absl import app, flags

from buckthornstage.bench import control_mesh
from buckthornstage.document import state

ZONES = ("cr-central-a", "cr-central-b", "cr-central-c")
WARM_UP_MS = 5_000
REST_MS = 20_000
PUBLISHES = 20
CHURN_S = 20
DRAIN_MS = 500
RETURN_MS = 10_000
LIMIT_MS = 30_000
POLL_OVERHEAD_BYTES = 300  # request and response headers of one poll of the log

NODES = flags.DEFINE_list("nodes", ["12", "24", "48", "96"], "Numbers of nodes.")
INTERVALS = flags.DEFINE_list("intervals", ["200", "1000"], "gossip_interval_ms, in ms.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")


@dataclasses.dataclass(frozen=True)
class Load:
    """Bytes per second: sent by a node on average, sent and received by the busiest node, sent
    over one direction of a link between two zones on average; and reads of the log per second."""

    mean: float
    busiest: float
    link: float
    log_reads: float


def percentile(values: list[int], share: float) -> int:
    """Nearest-rank percentile."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def build(nodes: int, interval_ms: int, seed: int) -> control_mesh.Mesh:
    """A mesh of ready nodes with a document of all services."""
    sizes = {zone: len(range(i, nodes, len(ZONES))) for i, zone in enumerate(ZONES)}
    mesh = control_mesh.Mesh(seed, sizes, gossip_interval_ms=interval_ms)
    mesh.log.append(mesh.publisher.teams())
    mesh.log.append(mesh.publisher.backends(0))
    mesh.log.append(mesh.publisher.routing(0))
    for node in mesh.settings:
        mesh.start(node)
    if mesh.run_until(lambda: is_converged(mesh, mesh.log.head), LIMIT_MS) is None:
        raise RuntimeError(f"{nodes} nodes did not start within {LIMIT_MS} ms")
    mesh.run(WARM_UP_MS)
    return mesh


def is_converged(mesh: control_mesh.Mesh, version: int) -> bool:
    """Whether all nodes are at a version and hold the same living members."""
    running = [process.core for process in mesh.nodes.values()]
    if any(core.document.version < version for core in running):
        return False
    return len({core.members.digest() for core in running}) == 1


def load_of(mesh: control_mesh.Mesh, duration_ms: int, among: list[str] | None = None) -> Load:
    """Load since the counters were reset; the mean is over the nodes `among`."""
    seconds = duration_ms / 1_000
    names = among or list(mesh.settings)
    links = [size for (a, b), size in mesh.link_bytes.items() if a != b]
    both = (mesh.sent_bytes.get(n, 0) + mesh.received_bytes.get(n, 0) for n in mesh.settings)
    return Load(
        sum(mesh.sent_bytes.get(node, 0) for node in names) / len(names) / seconds,
        max(both) / seconds,
        sum(links) / max(1, len(links)) / seconds,
        mesh.log.reads / seconds,
    )


def measure_rest(mesh: control_mesh.Mesh) -> Load:
    """Load without any change."""
    mesh.reset_counters()
    mesh.run(REST_MS)
    return load_of(mesh, REST_MS)


def measure_convergence(mesh: control_mesh.Mesh) -> list[int]:
    """Time of every node from an append to the activation, over several publishes."""
    times: list[int] = []
    base = 3
    for index in range(PUBLISHES):
        mesh.run(mesh.rng.randrange(500, 1_500))
        began_ms = mesh.now_ms
        base = mesh.log.append(mesh.publisher.routing(base, timeout_ms=2_000 + index))
        if mesh.run_until(lambda: is_converged(mesh, base), LIMIT_MS) is None:  # noqa: B023
            raise RuntimeError(f"version {base} is not in force everywhere after {LIMIT_MS} ms")
        times += [process.activations[-1][0] - began_ms for process in mesh.nodes.values()]
    return times


def measure_churn(mesh: control_mesh.Mesh) -> Load:
    """Load while a node leaves or joins each second."""
    names = sorted(mesh.settings)
    mesh.reset_counters()
    for second in range(CHURN_S):
        node = names[(7 * (second // 2)) % len(names)]
        if second % 2:
            mesh.start(node)
        else:
            mesh.leave(node)
            mesh.at(DRAIN_MS, lambda node=node: mesh.kill(node))
        mesh.run(1_000)
    return load_of(mesh, 1_000 * CHURN_S)


def measure_return(mesh: control_mesh.Mesh) -> tuple[Load, int | None]:
    """Load and time to convergence when all nodes of one zone return at once.

    The mean is over the returning nodes.
    """
    herd = [node for node, settings in mesh.settings.items() if settings.zone == ZONES[0]]
    for node in herd:
        mesh.kill(node)
    mesh.run(RETURN_MS)
    mesh.reset_counters()
    version = max(process.core.document.version for process in mesh.nodes.values())
    for node in herd:
        mesh.start(node)
    took_ms = mesh.run_until(lambda: is_converged(mesh, version), RETURN_MS)
    mesh.run(RETURN_MS - (took_ms or RETURN_MS))
    return load_of(mesh, RETURN_MS, herd), took_ms


def print_row(name: str, load: Load, note: str = "") -> None:
    """Prints one line of the report."""
    print(
        f"  {name:<22} {load.mean:>8.0f} {load.busiest:>8.0f} {load.link:>8.0f}"
        f" {load.log_reads:>8.1f}  {note}"
    )


def report(nodes: int, interval_ms: int, seed: int) -> None:
    """Measures and prints one size at one interval."""
    mesh = build(nodes, interval_ms, seed)
    print(f"{nodes} nodes, gossip_interval_ms {interval_ms}")
    print(f"  {'bytes/s':<22} {'mean':>8} {'busiest':>8} {'link':>8} {'reads/s':>8}")
    print_row("at rest", measure_rest(mesh))
    times = measure_convergence(mesh)
    print_row("one join or leave a s", measure_churn(mesh))
    held = next(iter(mesh.nodes.values())).core.document
    load, took_ms = measure_return(mesh)
    print_row("zone returns (10 s)", load, f"same view after {took_ms} ms")
    document = len(state.encode(held))
    polled = (document * 4 / 3 + POLL_OVERHEAD_BYTES) * 1_000 / interval_ms
    print_row(
        "baseline (computed)", Load(polled, polled, 0, nodes * 1_000 / interval_ms), "all poll"
    )
    figures = [percentile(times, share) for share in (0.5, 0.99, 1.0)]
    print(f"  convergence p50 {figures[0]}, p99 {figures[1]}, worst {figures[2]} ms;", end=" ")
    trip_ms = 2 * control_mesh.LOG_DELAY_MS
    polls = [trip_ms + int(share * interval_ms) for share in (0.5, 0.99, 1.0)]
    print(f"baseline p50 {polls[0]}, p99 {polls[1]}, worst {polls[2]} ms", flush=True)


def main(_: list[str]) -> None:
    """Prints the report for all sizes and intervals."""
    for nodes in map(int, NODES.value):
        for interval_ms in map(int, INTERVALS.value):
            report(nodes, interval_ms, SEED.value)


if __name__ == "__main__":
    app.run(main)
