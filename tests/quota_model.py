"""Plays tenant quotas at many nodes with fake time, and datagrams that are delayed and lost."""

import heapq
import itertools
import random

from buckthornstage.link import quota_frames
from buckthornstage.quotas import division, leases
from buckthornstage.quotas import node as quota_node
from buckthornstage.routing import routes

BOUNDS = division.Bounds(5, 0.1, 20)
TENANT = "t"
TICK_MS = 100
DETECTION_MS = 800
"""A watched peer is lost after this time."""
Verdict = leases.Verdict


class Fleet:
    """Nodes in zones "0", "1" and so on; requests of one tenant arrive at nodes that `pick(now_ms)`
    names.

    `taken` and `refused` hold the times of requests in ms, `waits_ms` the times that they waited.
    """

    def __init__(self, rate, burst, zones=(26, 26, 25), loss=0.01, seed=1):
        self.random = random.Random(seed)
        random.seed(seed)
        self.loss, self.now_ms = loss, 0.0
        self.events, self.numbers = [], itertools.count()
        self.zone_of = {
            f"10.{z}.0.{i}:7640": str(z) for z, count in enumerate(zones) for i in range(count)
        }
        self.zones = {}
        for name, zone in self.zone_of.items():
            self.zones.setdefault(zone, set()).add(name)
        self.zones = {zone: frozenset(names) for zone, names in self.zones.items()}
        self.dead, self.paused, self.cut = set(), {}, set()
        self.isolated, self.leaving = set(), set()
        self.taken, self.refused, self.waits_ms = [], [], []
        self.datagrams, self.zone_bytes = 0, 0
        self.nodes = {}
        self.waiting, self.due = {name: [] for name in self.zone_of}, set()
        for name in self.zone_of:
            self.start(name)
        self.limit(rate, burst)

    def start(self, name):
        """Starts a node, or restarts it with no memory."""
        self.nodes[name] = quota_node.QuotaNode(
            name,
            self.zone_of[name],
            BOUNDS,
            lambda address, message: self.send(name, address, message),
            lambda address: not (self.is_cut(name, address) or address in self.leaving),
            lambda address: self.heard_ms(name, address),
        )
        self.nodes[name].on_answer = lambda tenant: self.wake(name)
        self.nodes[name].set_nodes(self.zones, self.now_ms)
        self.after(self.random.uniform(0, TICK_MS), self.tick, name, self.nodes[name])

    def limit(self, rate, burst):
        """Changes the limit at all nodes at once."""
        tenant = routes.Tenant(TENANT, ("k",), 1, rate, burst)
        self.rate, self.burst = rate, burst
        for node in self.nodes.values():
            node.set_tenants([tenant], int(self.now_ms))

    def heard_ms(self, name, address):
        """When a node heard another last: each 5 s, as those that are not watched."""
        is_away = address in self.dead or self.paused.get(address, 0) > self.now_ms
        return -1 if is_away or self.is_cut(name, address) else self.now_ms // 5_000 * 5_000

    def is_cut(self, name, other):
        is_zone_cut = (self.zone_of[name] in self.cut) is not (self.zone_of[other] in self.cut)
        return is_zone_cut or name in self.isolated or other in self.isolated

    def leave(self, name):
        """A node stops, of which the others know."""
        self.leaving.add(name)
        self.nodes[name].is_leaving = True

    def isolate(self, name):
        """Cuts a node off from all others, which they know after a while."""
        self.isolated.add(name)
        for node in self.nodes.values():
            lost = self.isolated & self.zones[node.zone]
            reach = 1 - len(lost) / len(self.zones[node.zone])
            if node.own in lost:
                reach = 1 / len(self.zones[node.zone])
            self.after(
                DETECTION_MS, lambda n=node, r=reach: n.lender.set_reach(r, int(self.now_ms))
            )

    def after(self, delay_ms, action, *arguments):
        heapq.heappush(self.events, (self.now_ms + delay_ms, next(self.numbers), action, arguments))

    def run(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_ms = until_ms

    def send(self, sender, address, message):
        self.datagrams += 1
        payload = quota_frames.encode(message)
        is_remote = self.zone_of[sender] != self.zone_of[address]
        if is_remote:
            self.zone_bytes += len(payload) + 28
        if self.random.random() < self.loss or self.is_cut(sender, address):
            return
        delay_ms = self.random.uniform(0.2, 3) + (3.5 if is_remote else 0)
        self.after(delay_ms, self.arrive, address, quota_frames.decode(payload))

    def resumes(self, name, action, *arguments):
        """Postpones an action at a paused node; returns whether it did."""
        end_ms = self.paused.get(name, 0)
        if end_ms > self.now_ms:
            self.after(end_ms - self.now_ms, action, *arguments)
        return end_ms > self.now_ms

    def arrive(self, name, message):
        if name not in self.dead and not self.resumes(name, self.arrive, name, message):
            self.nodes[name].handle(message, int(self.now_ms))

    def tick(self, name, node):
        if name in self.dead or self.nodes[name] is not node:
            return
        if not self.resumes(name, self.tick, name, node):
            node.tick(int(self.now_ms))
            self.after(self.random.uniform(0.9, 1.1) * TICK_MS, self.tick, name, node)

    def load(self, per_second, pick, until_ms):
        """Requests with random distances from now on."""
        gap_ms = self.random.expovariate(per_second / 1_000)
        if self.now_ms + gap_ms < until_ms:
            self.after(gap_ms, self.request, per_second, pick, until_ms)

    def request(self, per_second, pick, until_ms):
        self.load(per_second, pick, until_ms)
        name = pick(self.now_ms)
        if name in self.dead or self.paused.get(name, 0) > self.now_ms:
            return
        lease, verdict = self.nodes[name].request(TENANT, int(self.now_ms))
        if verdict is Verdict.ASK:
            lease.waiting += 1
            self.waiting[name].append((lease, self.now_ms))
            self.proceed(name)
        else:
            self.end(verdict, self.now_ms)

    def wake(self, name):
        self.after(0, self.proceed, name)

    def proceed(self, name):
        if name in self.dead or self.resumes(name, self.proceed, name):
            return
        queue, self.waiting[name] = self.waiting[name], []
        still, next_ms = [], None
        for lease, began_ms in queue:
            verdict, due_ms = self.nodes[name].proceed(lease, int(self.now_ms))
            if verdict is Verdict.ASK:
                still.append((lease, began_ms))
                next_ms = max(1, due_ms)
            else:
                lease.waiting -= 1
                self.end(verdict, began_ms)
        self.waiting[name] += still
        if next_ms is not None and name not in self.due:
            self.due.add(name)
            self.after(next_ms, self.repeat, name)

    def repeat(self, name):
        self.due.discard(name)
        self.proceed(name)

    def end(self, verdict, began_ms):
        self.waits_ms.append(self.now_ms - began_ms)
        (self.taken if verdict is Verdict.TAKEN else self.refused).append(self.now_ms)

    def worst_window(self, from_ms=0):
        """Most requests taken within a window of 5 s."""
        times = [time for time in self.taken if time >= from_ms]
        most = first = 0
        for last, time in enumerate(times):
            while time - times[first] > BOUNDS.window_s * 1_000:
                first += 1
            most = max(most, last - first + 1)
        return most

    def bound(self):
        quota = self.rate * BOUNDS.window_s + self.burst
        return quota * (1 + BOUNDS.overshoot) + BOUNDS.slack
