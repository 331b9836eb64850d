"""Stateful test of several node cores against an oracle of accepted versions.

The oracle derives acceptance from what it published and shares no code with the core.
"""

import json

import hypothesis
from hypothesis import stateful, strategies

from buckthornstage.bench import control_mesh
from buckthornstage.document import checkpoints

ZONES = {"zone-a": 4, "zone-b": 3, "zone-c": 3}
SERVICES = 3
SETTLE_MS = 6_000
# The last node of a zone detects its dead peers one by one, and then other zones pull the result.
DETECT_MS = 12_000
nodes = strategies.sampled_from([f"{z}-{i}" for z, count in ZONES.items() for i in range(count)])
zones = strategies.sampled_from(sorted(ZONES))


def _services_of(document, section, field):
    content = document.sections.get(section)
    key = "routes" if section == "routing" else "services"
    return {item[field] for item in json.loads(content.body)[key]} if content else set()


class CoreMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        seed=strategies.integers(0, 2**32), interval=strategies.sampled_from([200, 1_000])
    )
    def begin(self, seed, interval):
        self.mesh = control_mesh.Mesh(
            seed,
            ZONES,
            services=SERVICES,
            gossip_interval_ms=interval,
            checkpoint_records=4,
            seed_count=2,
        )
        self.mesh.deliveries = self.deliveries
        self.mesh.reaches_log = lambda node: not self.is_log_cut(node)
        self.mesh.on_ready = self.check_ready
        self.loss = self.jitter_ms = 0
        self.cut, self.log_cut, self.paused = set(), set(), set()
        self.log_is_up = True
        self.last_fault_ms = {}  # zone -> time of the last fault in its log access or messages
        self.started_ms, self.served = {}, {}
        self.offsets, self.declared, self.routed, self.accepted = {}, 0, 0, []
        self.failures = []
        self.mesh.log.append(self.mesh.publisher.teams())
        self.accepted.append(1)
        self.publish("backends", SERVICES, False)
        for node in self.mesh.settings:
            self.start(node)
        self.mesh.run(3_000)

    def zone(self, node):
        return self.mesh.settings[node].zone

    def is_log_cut(self, node):
        return not self.log_is_up or self.zone(node) in self.log_cut

    def deliveries(self, sender, receiver):
        rng = self.mesh.rng
        is_cross_zone = self.zone(sender) != self.zone(receiver)
        if is_cross_zone and self.cut & {self.zone(sender), self.zone(receiver)}:
            return []
        copies = 2 if self.jitter_ms and rng.random() < 0.1 else 1
        delay_ms = 4 if is_cross_zone else 1
        return [
            delay_ms + rng.randrange(self.jitter_ms + 1)
            for _ in range(copies)
            if rng.random() >= self.loss
        ]

    def start(self, node):
        self.started_ms[node] = self.mesh.now_ms
        self.mesh.start(node)

    def check_ready(self, node):
        """A restarted node must not serve an older version than before if it can get that one."""
        needed, began_ms = self.served.get(node, 0), self.started_ms[node]
        version = self.mesh.nodes[node].core.fold.state.version
        if version >= needed or self.last_fault_ms.get(self.zone(node), -1) >= began_ms:
            return
        peers = [n for n in self.mesh.nodes if n != node and self.zone(n) == self.zone(node)]
        holds = any(
            self.mesh.nodes[n].core.document.version >= needed
            and self.started_ms[n] < began_ms
            and n not in self.paused
            for n in peers
        )
        if holds or not self.is_log_cut(node):
            self.failures.append(
                f"{node} became ready with version {version} after serving {needed}"
            )

    def record_fault(self, zone=None):
        for name in [zone] if zone else ZONES:
            self.last_fault_ms[name] = self.mesh.now_ms

    @stateful.rule(
        section=strategies.sampled_from(["backends", "routing"]),
        count=strategies.integers(1, SERVICES),
        is_stale=strategies.booleans(),
    )
    def publish(self, section, count, is_stale):
        base = self.offsets.get(section, 0)
        make = getattr(self.mesh.publisher, section)
        offset = self.mesh.log.append(make(base - 1 if is_stale and base else base, services=count))
        if is_stale and base:
            return
        if section == "backends" and count >= self.routed:
            self.declared = count
        elif section == "routing" and count <= self.declared:
            self.routed = count
        else:
            return
        self.offsets[section] = offset
        self.accepted.append(offset)

    @stateful.rule(duration_ms=strategies.integers(20, 4_000))
    def run(self, duration_ms):
        if self.loss or self.jitter_ms:
            self.record_fault()
        for zone in ZONES if not self.log_is_up else ():
            self.last_fault_ms.setdefault(zone, -1)
        self.mesh.run(duration_ms)

    @stateful.rule(is_up=strategies.booleans())
    def switch_log(self, is_up):
        self.log_is_up = is_up

    @stateful.rule(zone=zones, is_cut=strategies.booleans())
    def switch_zone_log(self, zone, is_cut):
        (self.log_cut.add if is_cut else self.log_cut.discard)(zone)

    @stateful.rule(zone=zones, is_cut=strategies.booleans())
    def switch_zone_links(self, zone, is_cut):
        (self.cut.add if is_cut else self.cut.discard)(zone)

    @stateful.rule(
        loss=strategies.sampled_from([0, 0.1, 0.4]), jitter_ms=strategies.sampled_from([0, 30, 500])
    )
    def change_network(self, loss, jitter_ms):
        self.record_fault()
        self.loss, self.jitter_ms = loss, jitter_ms

    @stateful.rule(chosen=strategies.sets(nodes, min_size=1, max_size=5))
    def kill(self, chosen):
        for node in chosen & set(self.mesh.nodes):
            self.served[node] = max(
                self.mesh.nodes[node].core.document.version, self.served.get(node, 0)
            )
            self.paused.discard(node)
            self.mesh.kill(node)

    @stateful.rule(chosen=strategies.sets(nodes, min_size=1, max_size=5))
    def restart(self, chosen):
        self.kill(chosen)
        for node in sorted(chosen):
            self.start(node)

    @stateful.rule(
        chosen=strategies.sets(nodes, min_size=1, max_size=9),
        log_is_up=strategies.booleans(),
        spread_ms=strategies.integers(1, 20),
    )
    def restart_in_calm(self, chosen, log_is_up, spread_ms):
        """Restarts nodes while a version spreads, with no other fault that permits an older one."""
        self.resume()
        self.change_network(0, 0)
        self.log_is_up = True
        self.publish("backends", SERVICES, False)
        self.mesh.run(spread_ms)
        self.log_is_up = log_is_up
        self.restart(chosen)
        self.mesh.run(5_000)

    @stateful.rule(chosen=strategies.sets(nodes, min_size=1, max_size=4))
    def pause(self, chosen):
        for node in chosen & set(self.mesh.nodes):
            self.record_fault(self.zone(node))
            self.paused.add(node)
            self.mesh.pause(node)

    @stateful.rule()
    def resume(self):
        for node in sorted(self.paused):
            self.record_fault(self.zone(node))
            self.mesh.resume(node)
        self.paused.clear()

    @stateful.rule()
    def trim(self):
        """Removes the records covered by the newest checkpoint, as log retention does."""
        secret = control_mesh.SECRET
        for payload in reversed(self.mesh.log.payloads):
            checkpoint = checkpoints.decode(payload, secret)
            if checkpoint is not None:
                self.mesh.log.earliest = max(self.mesh.log.earliest, checkpoint.upto + 1)
                return

    @stateful.rule()
    def settle(self):
        """Ends all faults; all nodes must then converge to the state of the oracle in time."""
        self.record_fault()
        self.resume()
        self.cut, self.log_cut, self.log_is_up = set(), set(), True
        self.loss = self.jitter_ms = 0
        if self.mesh.nodes and self.mesh.run_until(self.is_settled, SETTLE_MS) is None:
            raise AssertionError(self.describe())
        if self.mesh.nodes and self.mesh.run_until(self.is_same_view, DETECT_MS) is None:
            raise AssertionError(f"member views differ: {self.describe()}")

    def view(self, core):
        zones_with_nodes = {self.zone(node) for node in self.mesh.nodes}
        rows = core.members.records.values()
        return {
            r.node: str(r.status) for r in rows if r.zone in zones_with_nodes and r.status != "dead"
        }

    def is_settled(self):
        """Every node has the newest version and lists all running nodes as alive."""
        running = set(self.mesh.nodes)
        return all(
            process.core.document.version == self.accepted[-1]
            and running <= self.alive_in(self.view(process.core))
            for process in self.mesh.nodes.values()
        )

    def alive_in(self, view):
        return {node for node, status in view.items() if status == "alive"}

    def is_same_view(self):
        """Stopped nodes may stay suspect: over half of a zone stopping looks like a partition."""
        views = [self.view(process.core) for process in self.mesh.nodes.values()]
        return all(view == views[0] for view in views) and (
            self.alive_in(views[0]) == set(self.mesh.nodes)
        )

    def describe(self):
        states = {
            node: (p.core.document.version, p.core.is_ready, self.view(p.core))
            for node, p in self.mesh.nodes.items()
        }
        return f"newest {self.accepted[-1]}, running {sorted(self.mesh.nodes)}: {states}"

    @stateful.invariant()
    def versions_only_grow_and_are_consistent(self):
        assert not self.failures, self.failures
        for node, process in self.mesh.nodes.items():
            assert process.core.is_ready or not process.activations
            versions = [document.version for _, document in process.activations]
            assert versions == sorted(
                set(versions)
            ), f"{node} activated versions out of order: {versions}"
            assert set(versions) <= set(self.accepted), f"{node}: {versions}"
            for _, document in process.activations[-3:]:
                declared = _services_of(document, "backends", "name")
                assert _services_of(document, "routing", "service") <= declared

    def teardown(self):
        if hasattr(self, "mesh"):
            self.settle()
            self.versions_only_grow_and_are_consistent()


TestCoreMachine = CoreMachine.TestCase
TestCoreMachine.settings = hypothesis.settings(max_examples=25, stateful_step_count=30)
