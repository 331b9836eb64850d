"""Processes of the latency benchmark: a target, and a node that runs the call path only."""

import contextlib
import cProfile
import json
import os
import pathlib
import pstats
import random
import resource
import sys

import trio
from absl import app, flags

from buckthornstage import clock
from buckthornstage.document import schema, state
from buckthornstage.http import messages, server
from buckthornstage.membership import records
from buckthornstage.proxy import call
from buckthornstage.proxy import server as proxy_server
from buckthornstage.routing import table
from buckthornstage.settings import node_settings

FLAGS = flags.FLAGS
if __name__ == "__main__":
    flags.DEFINE_enum("role", "target", ["target", "node"], "What this process is.")
    flags.DEFINE_string("target", "", 'Address "IP:port" that a node sends calls to.')
    flags.DEFINE_integer("body_bytes", 200, "Size of a response body of a target.")
    flags.DEFINE_string("profile", "", "File for a cProfile of this process.")
SLOTS = 100
PROFILE_LINES = 30


def make_table(address: str) -> table.RoutingTable:
    """Table with one service, one target and an idempotent route for everything."""
    sections = {
        "routing": schema.Routing((schema.Route("all", "/", "desk", idempotent=True),)),
        "backends": schema.Backends((schema.BackendService("desk", SLOTS, SLOTS),)),
    }
    document = state.DocumentState(
        version=1,
        sections={
            name: state.SectionState(1, "bench", "bench", name, schema.encode_section(section))
            for name, section in sections.items()
        },
    )
    target = records.TargetRecord("desk", address, SLOTS, SLOTS, 1, records.TargetStatus.READY, 0)
    status = records.MemberStatus.ALIVE
    member = records.MemberRecord("n1", "z1", "r", 1, 1, status, "-", "-", "-", (target,))
    return table.build(document, [member], "z1")


def make_proxy(address: str) -> call.CallProxy:
    """Call path of a node without a daemon, with one target."""
    current = make_table(address)
    settings = node_settings.NodeSettings(
        node="n1",
        zone="z1",
        region="r",
        call_address="127.0.0.1:1",
        admin_address="127.0.0.1:1",
        control_address="127.0.0.1:1",
        log_url="http://127.0.0.1:1",
        mesh_secret="x" * node_settings.MIN_SECRET_CHARACTERS,
        root_public_key="",
    )
    return call.CallProxy(settings, clock.Clock(), random.Random(1), lambda: current)


def make_target(body_bytes: int) -> server.HttpServer:
    """Backend server that answers at once."""
    response = messages.Response(
        200, ((b"buckthornstage-load", b"1/%d" % SLOTS),), b"x" * body_bytes
    )

    async def respond(request: messages.Request) -> messages.Response:
        return response

    return server.HttpServer(respond)


async def _serve() -> None:
    proxy = None
    if FLAGS.role == "node":
        proxy = make_proxy(FLAGS.target)
        http_server = proxy_server.make_server(proxy)
    else:
        http_server = make_target(FLAGS.body_bytes)
    async with trio.open_nursery() as nursery:
        proxy_server.tune_garbage_collection()
        listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
        print(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}", flush=True)
        async for _ in trio.lowlevel.FdStream(os.dup(sys.stdin.fileno())):
            used = resource.getrusage(resource.RUSAGE_SELF)
            snapshot = proxy.metrics.snapshot() if proxy else {}
            report = {"user_s": used.ru_utime, "system_s": used.ru_stime, "metrics": snapshot}
            print(json.dumps(report), flush=True)
        nursery.cancel_scope.cancel()


def print_profile(path: pathlib.Path) -> None:
    """Prints the functions of a recorded profile that took most time by themselves."""
    pstats.Stats(str(path)).sort_stats("tottime").print_stats(PROFILE_LINES)


def main(_) -> None:
    """Serves until the input ends."""
    profiler = cProfile.Profile() if FLAGS.profile else contextlib.nullcontext()
    with profiler:
        trio.run(_serve)
    if FLAGS.profile:
        profiler.dump_stats(FLAGS.profile)


if __name__ == "__main__":
    app.run(main)
