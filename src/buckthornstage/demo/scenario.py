"""The steps of the demo on a running mesh, and the figures they give."""

import dataclasses
import random
import statistics
import uuid

import trio

from buckthornstage import clock
from buckthornstage.demo import checks, deployment, editing, loads, processes, report
from buckthornstage.demo import mesh as meshes
from buckthornstage.document import schema
from buckthornstage.http import client, messages
from buckthornstage.standins import artefacts, load, run_record

SECTIONS_IN_ORDER = ("teams", "backends", "routing", "limits")
CONTROL_BYTES_PER_SECOND = 9_000  # requirement, sent and received together
ADDED_P99_MS = 0.9  # requirement at p99
CALL_MS = 10_000
ARTEFACT_MS = 30_000
DOWNLOADS_WITH_A_BREAK = 6
LATENCY_RATE = 150.0  # calls a second; low enough that no queue forms
LATENCY_MS = 6_000
KILL_LOAD_MS = 6_000
STOP_LOAD_MS = 9_000
BEFORE_FAILURE_MS = 1_500  # load that runs before a VM is killed or stopped
BREAK_AFTER_BYTES = 1_000_000
SECOND_QUEUE_LENGTH = 48
STARTED_MS = clock.Clock().now_ms()


@dataclasses.dataclass
class Facts:
    """What the steps found, for the table."""

    convergences: list[editing.Convergence] = dataclasses.field(default_factory=list)
    summaries: dict[str, dict] = dataclasses.field(default_factory=dict)
    acknowledged_keys: list[str] = dataclasses.field(default_factory=list)
    not_whole: list[str] = dataclasses.field(default_factory=list)
    node_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    whole: int = 0

    def saw(self, what: str, is_whole: bool) -> None:
        """Counts one response."""
        if is_whole:
            self.whole += 1
        else:
            self.not_whole.append(what)


def say(text: str) -> None:
    """Prints progress."""
    print(f"[{(clock.Clock().now_ms() - STARTED_MS) / 1000:5.1f} s] {text}", flush=True)


async def publish_all(editor: editing.Editor, facts: Facts) -> None:
    """Publishes the sections, each by the team that owns it."""
    for section in SECTIONS_IN_ORDER:
        convergence = await editor.publish(section)
        facts.convergences.append(convergence)
        say(
            f"section {section} by team {editor.mesh.plan.owner(section)}: version "
            f"{convergence.version} in force everywhere after {convergence.slowest_ms:.0f} ms"
        )


async def wait_for_targets(mesh: meshes.Mesh) -> None:
    """Waits until each node answers a read and finds an artefact."""
    calls = mesh.plan.topology.calls
    for node in mesh.running_nodes:
        for path in (calls.read.replace("{n}", "0"), calls.artefact):

            async def responds(node=node, path=path) -> bool:
                response = await call(node.call_address, "GET", path)
                return response is not None and response.status == 200

            await processes.wait_until(responds, CALL_MS, f"{node.node} to answer {path}")


async def call(
    address: str,
    method: str,
    path: str,
    headers: messages.Headers = (),
    body: bytes = b"",
    timeout_ms: int = CALL_MS,
) -> messages.Response | None:
    """One call; None without a complete response."""
    try:
        request = messages.Request(method, path, headers, body)
        return await client.fetch(address, request, timeout_ms)
    except messages.HttpError:
        return None


async def single_calls(mesh: meshes.Mesh, facts: Facts) -> None:
    """Reads through every node, keyed calls with a repeat at another node, and downloads."""
    calls = mesh.plan.topology.calls
    for number, node in enumerate(mesh.running_nodes):
        request_id = str(uuid.uuid4())
        path = calls.read.replace("{n}", str(number))
        headers = ((b"x-request-id", request_id.encode("ascii")),)
        response = await call(node.call_address, "GET", path, headers)
        facts.saw(path, response is not None and request_id.encode("ascii") in response.body)
    say(f"reads of {calls.read} through {len(mesh.running_nodes)} nodes: {facts.whole} whole")
    first, second = mesh.running_nodes[0], mesh.running_nodes[-1]
    own_key = load.uuid7(clock.Clock().wall_ms(), random.Random())
    issued = await call(first.call_address, "POST", load.KEYS_PATH)
    issued_key = load.key_in(issued.body) if issued and issued.status < 300 else None
    for kind, key in (("UUIDv7", own_key), ("issued", issued_key)):
        if key is None:
            facts.not_whole.append("no key was issued")
            continue
        headers = ((b"idempotency-key", key.encode("ascii")),)
        body = b'{"amount": 800}'
        bodies = []
        for node in (first, second):
            response = await call(node.call_address, "POST", calls.keyed, headers, body)
            is_answered = response is not None and response.status == 200
            facts.saw(f"{calls.keyed} with {kind} key", is_answered)
            bodies.append(response.body if is_answered else None)
        facts.acknowledged_keys.append(key)
        runs = run_record.runs_by_key(mesh.record_path)[key]
        is_same = bodies[0] is not None and bodies[0] == bodies[1]
        facts.saw(f"repeat with {kind} key", is_same)
        say(f"{calls.keyed} with {kind} key, repeated at another node: ran {runs} time(s)")
    await downloads(mesh, facts)


async def downloads(mesh: meshes.Mesh, facts: Facts) -> None:
    """Downloads the artefact, also while one backend server breaks off in the middle."""
    path = mesh.plan.topology.calls.artefact
    service = mesh.service_of(path)
    prefixes = mesh.plan.topology.services[service].artefacts
    size = next(size for prefix, size in prefixes.items() if path.startswith(prefix))
    expected = artefacts.content(path, size)
    breaking = next(node for node in mesh.running_nodes if node.service == service)
    whole = 0
    for number in range(1 + DOWNLOADS_WITH_A_BREAK):
        if number == 1:
            await mesh.set_backend_faults(breaking, break_after_bytes=BREAK_AFTER_BYTES)
        address = mesh.running_nodes[number % len(mesh.running_nodes)].call_address
        response = await call(address, "GET", path, timeout_ms=ARTEFACT_MS)
        is_whole = response is not None and response.body == expected
        facts.saw(path, is_whole)
        whole += is_whole
    await mesh.set_backend_faults(breaking, break_after_bytes=0)
    say(
        f"downloads of {path} ({size >> 20} MiB): {whole} of {1 + DOWNLOADS_WITH_A_BREAK} whole, "
        "one backend server breaking off meanwhile"
    )


async def second_version(editor: editing.Editor, facts: Facts) -> None:
    """Publishes another version of the limits."""
    section = schema.SectionName.LIMITS
    body = editor.mesh.plan.section_body(section)
    convergence = await editor.publish(
        section, editing.with_queue_length(body, SECOND_QUEUE_LENGTH)
    )
    facts.convergences.append(convergence)
    times = sorted(convergence.times_ms.values())
    say(
        f"second version {convergence.version}: in force on the median node after "
        f"{statistics.median(times):.0f} ms, everywhere after {times[-1]:.0f} ms"
    )


async def latency(mesh: meshes.Mesh, facts: Facts) -> None:
    """The same reads straight to the backend servers and through the nodes."""
    path = mesh.plan.topology.calls.read
    addresses = {
        "direct": mesh.backend_addresses(path.replace("{n}", "0")),
        "nodes": mesh.call_addresses(),
    }
    for name, targets in addresses.items():
        summary = await loads.run(
            mesh, name, targets, path, rate=LATENCY_RATE, duration_ms=LATENCY_MS
        )
        facts.summaries[name] = summary
        figures = summary["latency_ms"]
        say(f"{name}: p50 {figures['p50']:.2f} ms, p99 {figures['p99']:.2f} ms")


async def failure_under_load(
    mesh: meshes.Mesh, facts: Facts, name: str, addresses: tuple[str, ...], duration_ms: int, fail
) -> None:
    """Runs reads and keyed calls, and calls `fail` while they run."""
    calls = mesh.plan.topology.calls
    names = (f"{name}-reads", f"{name}-keyed")
    loads.start(mesh, names[0], addresses, calls.read, rate=80, duration_ms=duration_ms)
    loads.start(
        mesh,
        names[1],
        addresses,
        calls.keyed,
        rate=15,
        duration_ms=duration_ms,
        method="POST",
        body='{"amount": {n}}',
        key_mode="uuid7",
        repeats=1 if name == "kill" else 0,
    )
    await trio.sleep(BEFORE_FAILURE_MS / 1000)
    await fail()
    for load_name in names:
        summary = await loads.finish(mesh, load_name, duration_ms)
        facts.summaries[load_name] = summary
        text = loads.format_outcomes(summary["outcomes"])
        repeats = summary["repeat_outcomes"]
        say(
            f"{load_name}: {text}"
            + (f"; repeats: {loads.format_outcomes(repeats)}" if repeats else "")
        )


def readers_of(mesh: meshes.Mesh) -> list[deployment.NodePlan]:
    """Living VMs whose backend server answers the reads."""
    service = mesh.service_of(mesh.plan.topology.calls.read)
    return [node for node in mesh.running_nodes if node.service == service]


async def kill_one(mesh: meshes.Mesh, facts: Facts) -> None:
    """SIGKILL of one VM while calls run through the other nodes."""
    victim = readers_of(mesh)[1]
    addresses = tuple(node.call_address for node in mesh.running_nodes if node is not victim)

    async def fail() -> None:
        await mesh.kill_vm(victim)
        say(f"killed {victim.node} with its backend server")

    await failure_under_load(mesh, facts, "kill", addresses, KILL_LOAD_MS, fail)


async def stop_one(mesh: meshes.Mesh, facts: Facts) -> None:
    """Graceful stop of one VM while calls run through all nodes, its own included."""
    leaving = readers_of(mesh)[0]

    async def fail() -> None:
        statuses = await mesh.stop_vm(leaving)
        facts.saw(f"exit status of {leaving.node}: {statuses}", statuses == [0, 0])
        say(f"stopped {leaving.node} gracefully; exit statuses {statuses}")

    addresses = mesh.call_addresses()
    await failure_under_load(mesh, facts, "stop", addresses, STOP_LOAD_MS, fail)


async def time_in_node(mesh: meshes.Mesh, facts: Facts) -> None:
    """Time that calls spend in a node by its own count, as the median over the nodes."""
    metrics = [await mesh.admin(node, "/metrics") for node in mesh.running_nodes]
    added = [found["added_us"] for found in metrics if found and found["added_us"]["count"]]
    for name in ("p50", "p99"):
        facts.node_ms[name] = statistics.median(found[name] for found in added) / 1000


async def control_bytes(mesh: meshes.Mesh) -> dict[str, int]:
    """Control bytes sent and received so far by each living node, as the node counts them."""
    result = {}
    for node in mesh.running_nodes:
        metrics = await mesh.admin(node, "/metrics")
        if metrics:
            total = metrics["control_bytes_sent"] + metrics["control_bytes_received"]
            result[node.node] = total
    return result


def add_figures(
    table: report.Report, mesh: meshes.Mesh, facts: Facts, rates: dict[str, float]
) -> None:
    """Fills the table."""
    slowest_ms = max(item.slowest_ms for item in facts.convergences)
    second_ms = facts.convergences[len(SECTIONS_IN_ORDER)].slowest_ms
    table.add(
        "version in force on every node",
        f"second version {second_ms:.0f} ms; slowest of {len(facts.convergences)} "
        f"{slowest_ms:.0f} ms",
        "6000 ms",
        slowest_ms <= editing.IN_FORCE_MS,
    )
    table.add(
        "control bytes per node and second",
        f"mean {statistics.mean(rates.values()):.0f}, largest {max(rates.values()):.0f}",
        "9000 B/s",
        max(rates.values()) <= CONTROL_BYTES_PER_SECOND,
    )
    direct, nodes = (facts.summaries[name]["latency_ms"] for name in ("direct", "nodes"))
    added = {name: nodes[name] - direct[name] for name in ("p50", "p99")}
    table.add(
        "latency added by the nodes",
        f"p50 {added['p50']:.2f} ms, p99 {added['p99']:.2f} ms",
        f"p99 {ADDED_P99_MS} ms",
        added["p99"] <= ADDED_P99_MS,
        is_decisive=False,
    )
    table.add(
        "time in a node by its own count",
        f"p50 {facts.node_ms['p50']:.2f} ms, p99 {facts.node_ms['p99']:.2f} ms",
    )
    wrong = sum(loads.count(summary, loads.NOT_WHOLE) for summary in facts.summaries.values())
    whole = sum(summary["whole"] for summary in facts.summaries.values()) + facts.whole
    table.add(
        "responses whole",
        f"{whole} whole, {wrong + len(facts.not_whole)} not",
        "all",
        wrong == 0 and not facts.not_whole,
    )
    _add_deposits(table, mesh, facts)
    stopped = [facts.summaries[name] for name in ("stop-reads", "stop-keyed")]
    cut_off = sum(map(loads.cut_off, stopped))
    table.add(
        "cut off by the graceful stop",
        f"{cut_off} of {sum(summary['offered'] for summary in stopped)}",
        "0",
        cut_off == 0,
    )


def _add_deposits(table: report.Report, mesh: meshes.Mesh, facts: Facts) -> None:
    runs = run_record.runs_by_key(mesh.record_path)
    missing = [key for key in facts.acknowledged_keys if runs[key] != 1]
    keyed = [summary for name, summary in facts.summaries.items() if name.endswith("-keyed")]
    found = checks.check_keys(mesh.record_path, keyed)
    table.add(
        f"keyed calls ({mesh.plan.topology.calls.keyed})",
        f"{found.acknowledged + len(facts.acknowledged_keys)} acknowledged, "
        f"{found.ran_again + len(missing)} not once, {found.ran_but_denied} ran though denied",
        "each once",
        found.is_clean and not missing,
    )
