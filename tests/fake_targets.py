"""Fake targets for the call path: no sockets, trio's clock, and a record of the calls that ran."""

import collections
import random

import trio

from buckthornstage import clock
from buckthornstage.document import schema, state
from buckthornstage.http import messages
from buckthornstage.membership import records
from buckthornstage.proxy import call
from buckthornstage.routing import table
from buckthornstage.settings import node_settings

ROUTES = [
    {"name": "status", "prefix": "/status", "priority": "interactive", "idempotent": True},
    {"name": "print", "prefix": "/print", "methods": ("POST",)},
    {"name": "bulk", "prefix": "/bulk", "priority": "bulk", "idempotent": True},
    {"name": "deposit", "prefix": "/deposit", "at_most_once": True},
]
SETTINGS = node_settings.NodeSettings(
    node="n1",
    zone="z1",
    region="r",
    call_address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    control_address="127.0.0.1:3",
    log_url="http://127.0.0.1:4",
    mesh_secret="x" * 32,
    root_public_key="",
)


class TrioClock(clock.Clock):
    """Clock that reads trio's time, which may be a mock clock."""

    def now_ms(self):
        return int(trio.current_time() * 1000)

    def wall_ms(self):
        return self.now_ms() + 1_700_000_000_000


def make_document(limits=None, timeout_ms=5_000, **service):
    backend = {"slots": 10, "connections": 110} | service
    sections = {
        "routing": schema.Routing(
            tuple(schema.Route(service="desk", timeout_ms=timeout_ms, **route) for route in ROUTES)
        ),
        "backends": schema.Backends((schema.BackendService("desk", **backend),)),
        "limits": schema.Limits((schema.ServiceLimits("desk", **(limits or {})),)),
    }
    return state.DocumentState(
        version=1,
        sections={
            name: state.SectionState(1, "t", "a", "i", schema.encode_section(section))
            for name, section in sections.items()
        },
    )


def make_member(
    node, address, zone="z1", status="alive", target_status="ready", incarnation=1, slots=10
):
    target = records.TargetRecord(
        "desk", address, slots, 110, incarnation, records.TargetStatus(target_status), 0
    )
    return records.MemberRecord(
        node, zone, "r", 1, 1, records.MemberStatus(status), "c", "h", "a", (target,)
    )


class FakeTarget:
    """A target that runs a request for `service_ms` in one of its slots.

    `mode`: ok, shed, refuse (connections), stale (the next send fails), broken (the connection
    breaks after the run), garbage. A body `poison` kills it and all requests in flight.
    """

    def __init__(self, address, slots=3, service_ms=50, parse_ms=0):
        self.address = address
        self.slots = slots
        self.service_ms = service_ms
        self.parse_ms = parse_ms
        self.busy_until = 0.0
        self.mode = "ok"
        self.incarnation = 1
        self.is_dead = False
        self.running = set()
        self.ran = collections.Counter()
        self.deaths = 0

    async def connect(self):
        if self.is_dead or self.mode == "refuse":
            raise messages.ConnectFailedError(self.address)
        return FakeConnection(self)

    async def run(self, request):
        if self.parse_ms:
            # Parsing takes the target's time even if the caller has cancelled the request.
            self.busy_until = max(self.busy_until, trio.current_time()) + self.parse_ms / 1000
            await trio.sleep_until(self.busy_until)
        if self.mode == "shed" or len(self.running) >= self.slots:
            return messages.Response(503, ((b"buckthornstage-outcome", b"not-run"),))
        self.ran[request.header(b"x-call")] += 1
        if request.body == b"poison":
            self.die()
            raise messages.ConnectionBrokenError(self.address)
        with trio.CancelScope() as scope:
            self.running.add(scope)
            try:
                await trio.sleep(self.service_ms / 1000)
            finally:
                self.running.discard(scope)
        if scope.cancelled_caught or self.mode == "broken":
            raise messages.ConnectionBrokenError(self.address)
        if self.mode == "garbage":
            raise messages.MalformedResponseError(self.address)
        load = b"%d/%d" % (len(self.running), self.slots)
        fields = ((b"buckthornstage-load", load), (b"content-length", b"0"))
        return messages.Response(200, fields, request.target.encode())

    def die(self):
        self.is_dead = True
        self.deaths += 1
        for scope in self.running:
            scope.cancel()

    def restart(self):
        self.is_dead = False
        self.incarnation += 1


class FakeConnection:
    """Connection to a fake target with the interface of http.client.Connection."""

    def __init__(self, target):
        self.target = target
        self.incarnation = target.incarnation
        self.is_usable = True
        self.body = None

    async def start(self, request):
        self.is_usable = False
        if self.incarnation != self.target.incarnation or self.target.mode == "stale":
            self.target.mode = "ok"
            raise messages.StaleConnectionError(self.target.address)
        response = await self.target.run(request)
        self.body = response.body
        return response

    async def read_some(self):
        body, self.body = self.body, None
        if body:
            return body
        self.is_usable = True
        return None

    def is_open_and_idle(self):
        return not self.target.is_dead and self.incarnation == self.target.incarnation

    async def close(self):
        self.abort()

    def abort(self):
        self.is_usable = False


def make_proxy(targets, limits=None, timeout_ms=5_000):
    """Call path over fake targets; `proxy.refresh()` updates restarted targets."""
    by_address = {target.address: target for target in targets}

    def build():
        members = [
            make_member(f"n{i}", target.address, incarnation=target.incarnation, slots=target.slots)
            for i, target in enumerate(targets, 1)
        ]
        return table.build(make_document(limits, timeout_ms), members, "z1")

    current = [build()]
    proxy = call.CallProxy(SETTINGS, TrioClock(), random.Random(1), lambda: current[0])

    async def connect(address, timeout_ms):
        return await by_address[address].connect()

    proxy.dispatcher.pool.connect = connect
    proxy.refresh = lambda: current.__setitem__(0, build())
    return proxy
