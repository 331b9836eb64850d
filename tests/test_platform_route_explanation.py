"""The command that explains where a request would go now, against real nodes on loopback."""

import io

import msgspec
import test_platform_api_keys
import trio

import loopback
import platform_mesh
from buckthornstage.cli import main, route_command

SENT, REFUSED, USAGE, UNREACHABLE = 0, 1, 2, 3


async def ask(node, *arguments):
    """Exit status and output of the command, run beside the node's loop."""
    output = io.StringIO()
    address = node.settings.metrics_address
    given = ["explain-route", f"--node={address}", *arguments]
    status = await trio.to_thread.run_sync(main.main, given, output, io.StringIO())
    return status, output.getvalue()


def test_a_request_is_explained_and_not_sent(tmp_path):
    """Guards against an explanation that sends, takes a token or counts a call."""

    async def test(mesh, caller, target):
        before = caller.metrics.counters.copy()
        status, text = await ask(caller, "shop.example/read/1", "--json", "--tenant=small-account")
        found = msgspec.json.decode(text)
        assert (status, found["outcome"], found["route"]) == (SENT, "sent", "r-read")
        service = found["services"]["desk"]
        assert service["to"] == mesh.node_groups[0][1].settings.link_address
        assert [item["is_open"] for item in service["candidates"]] == [True]
        assert found["quota"]["rate_per_s"] == 0
        assert target.arrivals == [] and caller.metrics.counters == before
        status, text = await ask(caller, "shop.example/read/1", "--tenant=small-account")
        assert "stays in its zone" in text and "desk (weight 1): sent" in text

    test_platform_api_keys.on_two_nodes(test, tmp_path)


def test_a_refusal_is_explained_by_the_error_that_the_caller_would_get(tmp_path):
    """Guards against an explanation that differs from what a caller gets."""

    async def test(mesh, caller, target):
        for arguments, outcome in (
            (["shop.example/none/1"], "no_route"),
            (["shop.example/read/1"], "unknown_api_key"),
            (["shop.example/read/1", "--tenant=nobody"], "unknown_api_key"),
        ):
            status, text = await ask(caller, *arguments)
            assert status == REFUSED and f"outcome={outcome}" in text
        status, _ = await ask(caller, "shop.example/open/1")
        assert status == SENT

    test_platform_api_keys.on_two_nodes(test, tmp_path)


def test_without_an_open_ingress_the_reason_is_told(tmp_path):
    """Guards against an explanation that needs a target."""

    async def main_task(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        node = await mesh.start_node("n1")
        assert "outcome=not_ready" in (await ask(node, "shop.example/read/1"))[1]
        await mesh.start_store()
        await platform_mesh.until(lambda: node.is_ready)
        status, text = await ask(node, "shop.example/read/1")
        assert (status, "no ingress is open" in text) == (REFUSED, True)

    loopback.run(main_task)


def test_wrong_usage_and_an_unreachable_node_have_their_status():
    """Guards against a trace in place of a message."""
    output, progress = io.StringIO(), io.StringIO()
    assert main.main(["explain-route", "--node=127.0.0.1:1"], output, progress) == USAGE
    given = ["explain-route", "--node=127.0.0.1:1", "a/b"]
    assert main.main(given, output, progress) == UNREACHABLE
    assert route_command.lines_of({"outcome": "not_ready"}) == ["outcome=not_ready"]
