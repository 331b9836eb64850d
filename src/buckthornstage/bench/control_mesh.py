"""Many node cores on one fake clock, with an in-memory network and log.

Messages are encoded, counted and decoded as on the wire. `control_bytes` measures with it, and the
tests of the core replace its network with a faulty one.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from buckthornstage import clock
from buckthornstage.dissemination import contacts, readers
from buckthornstage.document import checkpoints, reader, schema, signing, state
from buckthornstage.history import batches, buffer
from buckthornstage.membership import records
from buckthornstage.node import core
from buckthornstage.protocol import codec, effects, log, messages
from buckthornstage.settings import node_settings

SECRET = b"0123456789abcdef0123456789abcdef"
TICK_MS = 50
LOG_DELAY_MS = 2  # one way
LOG_RETRY_MS = 500
LOCAL_DELAY_MS = 1
ZONE_DELAY_MS = 4


class FakeLog:
    """One stream of the platform's log in memory."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self.payloads: list[bytes] = []
        self.earliest = 1
        self.reads = 0

    @property
    def head(self) -> int:
        """Last offset."""
        return len(self.payloads)

    def append(self, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        self.payloads.append(payload)
        return self.head

    def read(self, offset: int, limit: int = 100) -> log.LogBatch:
        """Records from an offset on, as far as they are retained."""
        first = max(offset, self.earliest)
        chosen = self.payloads[first - 1 : first - 1 + limit]
        found = (log.LogRecord(first + index, payload) for index, payload in enumerate(chosen))
        return log.LogBatch(self.stream, self.earliest, self.head, tuple(found))


class Publisher:
    """Makes signed publishes of a document of realistic size."""

    def __init__(self, services: int = 31) -> None:
        self.root_key = signing.generate_key()
        self.team_key = signing.generate_key()
        self.services = services
        self.counter = itertools.count(1)

    @property
    def root_public_key(self) -> str:
        """Public key for the settings of the nodes."""
        return signing.public_key_text(self.root_key)

    def _publish(self, section: str, base: int, team: str, key, value: schema.Section) -> bytes:
        identity = f"publish-{next(self.counter):024d}"
        body = schema.encode_section(value)
        name = schema.SectionName(section)
        unsigned = schema.Publish(1, 1, identity, name, base, team, "operator", 1, body)
        return schema.encode_record(signing.sign(unsigned, key))

    def teams(self) -> bytes:
        """First publish: one team owns all other sections."""
        owned = (
            schema.SectionName.ROUTING,
            schema.SectionName.BACKENDS,
            schema.SectionName.LIMITS,
        )
        team = schema.Team(owned, (signing.public_key_text(self.team_key),))
        return self._publish("teams", 0, "root", self.root_key, schema.Teams({"mesh": team}))

    def backends(self, base: int, slots: int = 10, services: int | None = None) -> bytes:
        """Declares the first services."""
        count = self.services if services is None else services
        names = (f"service-{index}" for index in range(count))
        found = tuple(schema.BackendService(name, slots, 110) for name in names)
        return self._publish("backends", base, "mesh", self.team_key, schema.Backends(found))

    def routing(self, base: int, timeout_ms: int = 1_000, services: int | None = None) -> bytes:
        """One route for each of the first services."""
        count = self.services if services is None else services
        found = tuple(
            schema.Route(f"route-{i}", f"/{i}", f"service-{i}", timeout_ms=timeout_ms)
            for i in range(count)
        )
        return self._publish("routing", base, "mesh", self.team_key, schema.Routing(found))


@dataclasses.dataclass
class SimulatedNode:
    """A running process: its core, and the messages that wait while it is paused."""

    core: core.NodeCore
    hybrid_clock: clock.HybridClock
    is_paused: bool = False
    inbox: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    is_reading: bool = False
    next_read_ms: int = 0
    activations: list[tuple[int, state.DocumentState]] = dataclasses.field(default_factory=list)


class Mesh:
    """Node cores, a fake log and a fake network, driven by one event queue.

    Tests replace `deliveries(sender, receiver)`, the delays of the copies of a message,
    `reaches_log(node)`, and `on_ready(node)`, called when a process becomes ready.
    """

    def __init__(self, seed: int, zones: dict[str, int], **overrides: object) -> None:
        self.rng = random.Random(seed)
        self.clock = clock.FakeClock(1_000)
        self.publisher = Publisher(overrides.pop("services", 31))
        self.log = FakeLog("config")
        self.contacts = FakeLog(contacts.STREAM)
        self.history = FakeLog(batches.STREAM)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.settings: dict[str, node_settings.NodeSettings] = {}
        self.nodes: dict[str, SimulatedNode] = {}
        self.by_address: dict[str, str] = {}
        self.sent_bytes: dict[str, int] = {}
        self.received_bytes: dict[str, int] = {}
        self.link_bytes: dict[tuple[str, str], int] = {}
        self.kind_bytes: dict[str, int] = {}
        self.deliveries: Callable[[str, str], list[int]] = self.default_deliveries
        self.reaches_log: Callable[[str], bool] = lambda node: True
        self.on_ready: Callable[[str], None] = lambda node: None
        names = [(zone, f"{zone}-{i}") for zone, count in zones.items() for i in range(count)]
        seed_count = overrides.pop("seed_count", 6)
        seeds = tuple(f"10.0.0.{i + 1}:7100" for i in range(min(len(names), seed_count)))
        for index, (zone, node) in enumerate(names):
            host = f"10.0.{index // 250}.{index % 250 + 1}"
            self.settings[node] = node_settings.NodeSettings(
                node=node,
                zone=zone,
                region="cr-central",
                call_address=f"{host}:7000",
                admin_address=f"{host}:7200",
                control_address=f"{host}:7100",
                log_url="http://127.0.0.1:1",
                mesh_secret=SECRET.decode(),
                root_public_key=self.publisher.root_public_key,
                seeds=seeds,
                **overrides,
            )
            self.by_address[f"{host}:7100"] = node

    @property
    def now_ms(self) -> int:
        """Simulated time."""
        return self.clock.now_ms()

    def default_deliveries(self, sender: str, receiver: str) -> list[int]:
        """One copy, after the delay of the link."""
        same_zone = self.settings[sender].zone == self.settings[receiver].zone
        return [LOCAL_DELAY_MS if same_zone else ZONE_DELAY_MS]

    def at(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""
        heapq.heappush(self.queue, (self.now_ms + delay_ms, next(self.counter), action))

    def run(self, duration_ms: int) -> None:
        """Advances simulated time."""
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self.queue)
            self.clock.advance(due_ms - self.now_ms)
            action()
        self.clock.advance(end_ms - self.now_ms)

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int | None:
        """Runs until a condition holds; returns the ms it took, None beyond the limit."""
        for elapsed_ms in range(0, limit_ms + 1, 10):
            if condition():
                return elapsed_ms
            self.run(10)
        return None

    def start(self, node: str) -> None:
        """Starts a new process of a node, with one ready backend server."""
        settings = self.settings[node]
        hybrid_clock = clock.HybridClock(self.clock)
        incarnation = self.clock.wall_ms()
        held = buffer.EventBuffer(node, settings.zone, incarnation, hybrid_clock)
        policy = checkpoints.CheckpointPolicy(
            settings.checkpoint_records, settings.checkpoint_interval_ms
        )
        fold = reader.LogFold(settings.root_public_key, SECRET, policy)
        rng = random.Random(self.rng.getrandbits(64))
        new = core.NodeCore(settings, incarnation, fold, held, rng, self.now_ms)
        started = SimulatedNode(new, hybrid_clock)
        self.nodes[node] = started
        self.at(self.rng.randrange(TICK_MS), lambda: self._tick(node, started))
        self.announce(node)

    def announce(self, node: str, status: records.TargetStatus = records.TargetStatus.READY):
        """Announces the backend server of a node; it renews itself while the node runs."""
        started = self.nodes[node]
        address = self.settings[node].call_address
        service = f"service-{sum(map(ord, node)) % self.publisher.services}"
        target = records.TargetRecord(service, address, 10, 110, 1, status, 1)
        self._carry_out(node, started, lambda core: core.announce(target, self.now_ms))
        held = started.core.member.record
        if status is records.TargetStatus.READY and held.status is records.MemberStatus.ALIVE:
            self.at(1_000, lambda: self.nodes.get(node) is started and self.announce(node))

    def kill(self, node: str) -> None:
        """Ends the process of a node without notice."""
        self.nodes.pop(node, None)

    def leave(self, node: str) -> None:
        """Asks a node to leave."""
        self._carry_out(node, self.nodes[node], lambda core: core.leave(self.now_ms))

    def pause(self, node: str) -> None:
        """Stops a process; its messages wait."""
        self.nodes[node].is_paused = True

    def resume(self, node: str) -> None:
        """Lets a process go on: first with the messages that waited."""
        resumed = self.nodes[node]
        resumed.is_paused = False
        waiting, resumed.inbox = resumed.inbox, []
        for action in waiting:
            action()

    def _tick(self, node: str, process: SimulatedNode) -> None:
        if self.nodes.get(node) is not process:
            return
        self.at(TICK_MS, lambda: self._tick(node, process))
        if process.is_paused:
            return
        self._carry_out(node, process, lambda core: core.on_tick(self.now_ms))
        wants = process.core.should_read_log(self.now_ms)
        if wants and not process.is_reading and self.now_ms >= process.next_read_ms:
            process.is_reading = True
            self.log.reads += 1
            deadline_ms = self.now_ms + readers.LOG_WAIT_MS
            offset = process.core.fold.next_offset
            self.at(LOG_DELAY_MS, lambda: self._poll(node, process, offset, deadline_ms))

        if process.core.should_read_contacts(self.now_ms):
            if self.reaches_log(node):
                found = self.contacts.read(process.core.contacts_offset)
                self.log.reads += 1
                self._respond(node, process, lambda core: core.on_log_batch(found, self.now_ms))
            else:
                process.core.on_contacts_error(self.now_ms)

    def _poll(self, node: str, process: SimulatedNode, offset: int, deadline_ms: int) -> None:
        if self.nodes.get(node) is not process:
            return
        if not self.reaches_log(node):
            process.next_read_ms = self.now_ms + LOG_RETRY_MS
            self._respond(node, process, lambda core: core.on_log_error(self.now_ms), True)
        elif self.log.head < offset and self.now_ms < deadline_ms:
            self.at(5, lambda: self._poll(node, process, offset, deadline_ms))
        else:
            batch = self.log.read(offset)
            self._respond(node, process, lambda core: core.on_log_batch(batch, self.now_ms), True)

    def _respond(self, node: str, process: SimulatedNode, call, is_read: bool = False) -> None:
        def arrive() -> None:
            process.is_reading = process.is_reading and not is_read
            self._carry_out(node, process, call)

        self.at(LOG_DELAY_MS, lambda: self._reach(process, arrive))

    def _reach(self, process: SimulatedNode, action: Callable[[], None]) -> None:
        if process.is_paused:
            process.inbox.append(action)
        else:
            action()

    def _carry_out(self, node: str, process: SimulatedNode, call) -> None:
        """Calls a core and carries its effects out."""
        if self.nodes.get(node) is not process:
            return
        was_ready = process.core.is_ready
        found = call(process.core)
        if process.core.is_ready and not was_ready:
            self.on_ready(node)
        for effect in found:
            if isinstance(effect, effects.Send):
                self._send(node, process, effect)
            elif isinstance(effect, effects.Activate):
                process.activations.append((self.now_ms, effect.document))
            elif isinstance(effect, effects.AppendLog):
                self._append(node, process, effect)

    def _append(self, node: str, process: SimulatedNode, effect: effects.AppendLog) -> None:
        is_confirmed = self.reaches_log(node)
        for stream in (self.log, self.contacts, self.history) if is_confirmed else ():
            if stream.stream == effect.stream:
                stream.append(effect.payload)
        self._respond(
            node, process, lambda core: core.on_appended(effect, is_confirmed, self.now_ms)
        )

    def _send(self, node: str, process: SimulatedNode, effect: effects.Send) -> None:
        timestamp = process.hybrid_clock.tick()
        settings = self.settings[node]
        envelope = messages.Envelope(
            node,
            process.core.incarnation,
            settings.zone,
            settings.control_address,
            *timestamp,
            effect.message,
        )
        datagram = codec.encode(envelope, SECRET)
        envelope, size = codec.decode(datagram, SECRET), len(datagram)
        self.sent_bytes[node] = self.sent_bytes.get(node, 0) + size
        kind = type(effect.message).__name__
        self.kind_bytes[kind] = self.kind_bytes.get(kind, 0) + size
        receiver = self.by_address[effect.address]
        link = (settings.zone, self.settings[receiver].zone)
        self.link_bytes[link] = self.link_bytes.get(link, 0) + size
        for delay_ms in self.deliveries(node, receiver):
            self.at(delay_ms, lambda: self._deliver(receiver, envelope, size))

    def _deliver(self, receiver: str, envelope: messages.Envelope, size: int) -> None:
        process = self.nodes.get(receiver)
        if process is None:
            return
        self.received_bytes[receiver] = self.received_bytes.get(receiver, 0) + size

        def arrive() -> None:
            self._carry_out(receiver, process, lambda core: core.on_envelope(envelope, self.now_ms))

        self._reach(process, arrive)

    def reset_counters(self) -> None:
        """Sets the counters of bytes and log reads to zero."""
        for counter in (self.sent_bytes, self.received_bytes, self.link_bytes, self.kind_bytes):
            counter.clear()
        self.log.reads = 0
