import random

import trio

from buckthornstage import clock
from buckthornstage.document import schema, state
from buckthornstage.http import client, messages, server
from buckthornstage.membership import records
from buckthornstage.proxy import call
from buckthornstage.proxy import server as proxy_server
from buckthornstage.routing import table
from buckthornstage.settings import node_settings

ROUTES = [
    {"name": "status", "prefix": "/status", "service": "desk", "idempotent": True},
    {"name": "print", "prefix": "/print", "methods": ("POST",), "service": "desk"},
    {"name": "deposit", "prefix": "/deposit", "service": "desk", "at_most_once": True},
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


def make_document(limits=None, timeout_ms=5_000, **service):
    routes = tuple(schema.Route(timeout_ms=timeout_ms, **route) for route in ROUTES)
    backend = schema.BackendService("desk", **({"slots": 10, "connections": 110} | service))
    limit = schema.ServiceLimits("desk", **(limits or {}))
    sections = {
        "routing": schema.Routing(routes),
        "backends": schema.Backends((backend,)),
        "limits": schema.Limits((limit,)),
    }
    return state.DocumentState(
        version=1,
        sections={
            name: state.SectionState(1, "t", "a", "i", schema.encode_section(section))
            for name, section in sections.items()
        },
    )


def make_member(node, address, zone="z1", status="alive", target_status="ready", incarnation=1):
    target = records.TargetRecord(
        "desk", address, 10, 110, incarnation, records.TargetStatus(target_status), 0
    )
    return records.MemberRecord(
        node, zone, "r", 1, 1, records.MemberStatus(status), "c", "h", "a", (target,)
    )


async def start_server(nursery, handler, **options):
    http_server = server.HttpServer(handler, **options)
    listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def start_proxy(nursery, addresses, at_most_once=None, on_crash=None, **document):
    members = [make_member(f"n{i}", address) for i, address in enumerate(addresses, 1)]
    current = table.build(make_document(**document), members, "z1")
    proxy = call.CallProxy(
        SETTINGS, clock.Clock(), random.Random(1), lambda: current, at_most_once, on_crash
    )
    http_server = proxy_server.make_server(proxy)
    listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
    return proxy, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


def run(test):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_errors_come_from_the_table_and_say_not_run():
    async def test(nursery):
        async def echo(request):
            return messages.Response(200, body=request.target.encode())

        _, address = await start_proxy(nursery, [await start_server(nursery, echo)])
        for method, path, fields, kind in (
            ("GET", "/nowhere", (), "no_route"),
            ("GET", "/print", (), "method_not_allowed"),
            ("POST", "/deposit", (), "bad_key"),
            ("GET", "/status/../print", (), "bad_request"),
            ("GET", "/status", ((b"buckthornstage-deadline-ms", b"-1"),), "bad_request"),
            ("GET", "/status", ((b"buckthornstage-deadline-ms", b"9" * 11),), "bad_request"),
            ("GET", "/status", ((b"buckthornstage-deadline-ms", b"0"),), "deadline_exceeded"),
            ("GET", "/status", ((b"buckthornstage-depth", b"16"),), "depth_exceeded"),
        ):
            response = await client.fetch(address, messages.Request(method, path, fields))
            assert response.header(b"buckthornstage-error") == kind
            assert response.header(b"buckthornstage-outcome") == "not-run"
        response = await client.fetch(address, messages.Request("GET", "/status/1?x=2"))
        assert (response.status, response.body) == (200, b"/status/1?x=2")

    run(test)
