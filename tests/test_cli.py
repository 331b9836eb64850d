"""Tests of the command-line tool: arguments, output and exit status, with a stand-in of the log."""

import dataclasses
import io
import json

import msgspec
import pytest
import trio

from buckthornstage import clock
from buckthornstage.cli import command, main, node_commands
from buckthornstage.document import schema, signing
from buckthornstage.history import batches, events
from buckthornstage.http import messages, server
from buckthornstage.standins import log_server, log_store

TEAMS = "teams: {{web: {{sections: [backends, routing, limits], keys: ['{key}']}}}}"
BACKENDS = "services:\n  - {name: rounds-desk, slots: 20, connections: 110}\n"
ROUTING = "routes:\n  - {name: schedules, prefix: /schedules, service: rounds-desk}\n"
STATUS = command.ExitStatus


@dataclasses.dataclass
class ToolHarness:
    """Runs the tool against a stand-in of the log, with key files in `directory`."""

    directory: object
    nursery: trio.Nursery
    log: log_server.LogServer
    log_url: str
    root_key: str

    async def run(self, *arguments: str) -> tuple[int, str, str]:
        """Runs the tool; returns exit status, output and error output."""
        output, progress = io.StringIO(), io.StringIO()
        given = [*arguments, f"--log={self.log_url}", f"--root_key={self.root_key}"]
        status = await trio.to_thread.run_sync(main.main, given, output, progress)
        return status, output.getvalue(), progress.getvalue()

    async def publish(self, section: str, text: str, *arguments: str):
        """Runs publish as the team that owns the section."""
        team = "root" if section == "teams" else "web"
        path = self.file(f"{section}.yaml", text)
        key = self.directory / f"{team}.pem"
        given = [f"--section={section}", f"--team={team}", f"--key={key}", "--author=Ana"]
        return await self.run("publish", path, *given, *arguments)

    def file(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self.directory / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    async def listen(self, handler) -> str:
        """Starts an HTTP server for a fake node and returns its address."""
        return await _listen(self.nursery, handler)


async def _listen(nursery, handler) -> str:
    listeners = await nursery.start(server.HttpServer(handler).serve, "127.0.0.1:0")
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


def _run(test, directory, *, retain_records=0, publish_all=True):
    async def with_log():
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                retention = log_store.Retention(retain_records)
                log = log_server.LogServer(retention, 1_000.0, clock.Clock())
                url = f"http://{await _listen(nursery, log.handle)}"
                keys = {team: signing.generate_key() for team in ("root", "web")}
                for team, key in keys.items():
                    (directory / f"{team}.pem").write_bytes(signing.private_key_pem(key))
                root_key = signing.public_key_text(keys["root"])
                harness = ToolHarness(directory, nursery, log, url, root_key)
                if publish_all:
                    teams = TEAMS.format(key=signing.public_key_text(keys["web"]))
                    for section, text in (
                        ("teams", teams),
                        ("backends", BACKENDS),
                        ("routing", ROUTING),
                    ):
                        status, _, problem = await harness.publish(section, text)
                        assert status == STATUS.SUCCESS, problem
                await test(harness)
                nursery.cancel_scope.cancel()

    trio.run(with_log)


def _node(name, zone, version, digest="d" * 32):
    """Handler of a fake node; `version` is called for each request."""

    async def handle(request):
        if request.header(b"authorization") != "Bearer secret":
            return messages.Response(401)
        value = {"node": name, "zone": zone, "version": version(), "state_digest": digest}
        return messages.Response(200, body=msgspec.json.encode(value))

    return handle


def test_publish_reports_verdict_and_the_winner_of_a_conflict(tmp_path):
    async def test(harness):
        newer = ROUTING.replace("/schedules", "/rounds")
        status, output, _ = await harness.publish("routing", newer, "--base=3")
        assert (status, output) == (STATUS.SUCCESS, "accepted: section routing is version 4\n")
        status, output, _ = await harness.publish("routing", ROUTING, "--base=3")
        assert status == STATUS.REFUSED
        assert "conflict" in output and "Ana of team web" in output and "offset 4" in output
        status, output, _ = await harness.publish("backends", "services: []", "--json")
        assert status == STATUS.REFUSED and json.loads(output)["reason"] == "inconsistent"
        status, output, _ = await harness.run("history", "--refused")
        assert status == STATUS.SUCCESS
        assert [line.split(",")[0].split()[1] for line in output.splitlines()] == ["5", "6"]
        assert "by Ana of team web: refused (conflict)" in output

    _run(test, tmp_path)


def test_publish_after_a_lost_response_gets_one_verdict(tmp_path):
    # Guards against a failure reported for an append that took effect: the operator would publish
    # again and overwrite the change of a colleague.
    async def test(harness):
        harness.log.faults.lose_answers = 1
        status, output, _ = await harness.publish("routing", ROUTING.replace("/s", "/t"))
        assert (status, output) == (STATUS.SUCCESS, "accepted: section routing is version 4\n")
        assert harness.log.counters.appends == 4

    _run(test, tmp_path)


def test_diff_and_check_compare_with_the_log(tmp_path):
    async def test(harness):
        path = harness.file("routing.yaml", ROUTING)
        assert await harness.run("diff", path, "--section=routing") == (STATUS.SUCCESS, "", "")
        path = harness.file("changed.yaml", ROUTING.replace("rounds-desk", "order-desk"))
        status, output, _ = await harness.run("diff", path, "--section=routing")
        assert status == STATUS.REFUSED
        assert "-  service: rounds-desk" in output and "+  service: order-desk" in output
        status, output, _ = await harness.run("check", path, "--section=routing")
        assert status == STATUS.REFUSED and "order-desk, not declared in backends" in output

    _run(test, tmp_path)


@pytest.mark.parametrize(
    "arguments, expected",
    [
        (("nonsense",), "there is no command 'nonsense'"),
        (("check", "--nonsense"), "Unknown command line flag"),
        (("check", "absent.yaml", "--section=routing"), "absent.yaml cannot be read"),
        (("check", "bad.yaml", "--section=routing"), "bad.yaml:2: "),
        (("check", "bad.yaml", "--section=nonsense"), "is not one of teams, routing"),
        (("check", "--section=routing"), "give one FILE"),
        (("status",), "give --admin=IP:port"),
        (("status", "--admin=localhost"), "is not IP:port"),
        (("status", "--admin=127.0.0.1:0"), "port from 1 to 65535"),
        (("in-force", "--log=http://nowhere", "--node=a"), "not of the form http://IP:port"),
        (("in-force", "--log=http://127.0.0.1:9", "--node=a", "--at=noon"), "is not a time"),
        (("history", "--log=http://127.0.0.1:9", "--root_key=abc"), "--root_key: the public key"),
        (("publish", "good.yaml", "--section=limits", "--key=bad.yaml", "--team=a"), "PEM"),
        (("publish", "good.yaml", "--section=limits", "--base=-1"), "base"),
        (("keygen", "--out=bad.yaml"), "File exists"),
    ],
)
def test_mistakes_give_status_2_and_one_clear_text(arguments, expected, tmp_path, monkeypatch):
    # Guards against stack traces, which do not tell an operator what to correct, and against
    # exit statuses that mislead scripts.
    monkeypatch.chdir(tmp_path)
    (tmp_path / "bad.yaml").write_text("routes:\n  - {name: a, prefix: b}\n")
    (tmp_path / "good.yaml").write_text("services: []\n")
    output, progress = io.StringIO(), io.StringIO()
    assert main.main(list(arguments), output, progress) == STATUS.USAGE
    assert expected in progress.getvalue() and not output.getvalue()


def test_keygen_writes_a_key_that_only_its_owner_can_read(tmp_path):
    path, output = tmp_path / "web.pem", io.StringIO()
    assert main.main(["keygen", f"--out={path}"], output, io.StringIO()) == STATUS.SUCCESS
    assert path.stat().st_mode & 0o777 == 0o600
    key = signing.load_private_key(path.read_bytes())
    assert output.getvalue() == f"{signing.public_key_text(key)}\n"


def test_a_log_that_needs_a_newer_tool_is_explained(tmp_path):
    async def test(harness):
        key = signing.load_private_key((tmp_path / "root.pem").read_bytes())
        publish = schema.Publish(
            1, 2, "n" * 26, schema.SectionName.TEAMS, 1, "root", "Ana", 1, b"{}"
        )
        record = schema.encode_record(signing.sign(publish, key))
        await _appender(harness)("config", record)
        status, _, problem = await harness.run("history")
        assert status == STATUS.USAGE and "this release knows 1 and 1; upgrade it" in problem

    _run(test, tmp_path)


def test_every_command_has_help_with_examples_and_statuses():
    for name in main.COMMANDS:
        output = io.StringIO()
        assert main.main([name, "--help"], output, io.StringIO()) == STATUS.SUCCESS
        assert f"buckthornstage {name}" in output.getvalue().split("examples:")[1]
        assert command.EXIT_STATUS_HELP in output.getvalue()


def test_unreachable_log_and_outage_give_status_3(tmp_path):
    async def test(harness):
        harness.log.faults.outage = True
        status, output, problem = await harness.publish("routing", ROUTING)
        assert (status, output) == (STATUS.UNREACHABLE, "") and "503" in problem
        address = await harness.listen(harness.log.handle)
        harness.log_url = f"http://{address.rpartition(':')[0]}:9"
        assert (await harness.run("history"))[0] == STATUS.UNREACHABLE

    _run(test, tmp_path)


def test_status_names_nodes_that_differ_and_nodes_not_reachable(tmp_path):
    async def test(harness):
        good = [await harness.listen(_node(f"n{i}", "tainan", lambda: 7)) for i in range(2)]
        old = await harness.listen(_node("old", "hsinchu", lambda: 6))
        other = await harness.listen(_node("other", "hsinchu", lambda: 7, "e" * 32))
        given = [f"--admin={address}" for address in good]
        assert (await harness.run("status", "--token=secret", *given))[0] == STATUS.SUCCESS
        status, output, _ = await harness.run(
            "status", "--token=secret", "--json", *given, f"--admin={old}", f"--admin={other}"
        )
        assert status == STATUS.REFUSED
        assert json.loads(output)["differing"] == ["old", "other"]
        status, output, _ = await harness.run(
            "status", "--token=secret", *given, "--admin=127.0.0.1:9"
        )
        assert status == STATUS.UNREACHABLE and "NOT REACHABLE 127.0.0.1:9" in output
        for token in ("wrong", "", "a\nb"):
            status, _, problem = await harness.run("status", f"--token={token}", *given)
            assert status == STATUS.USAGE and "token" in problem

    _run(test, tmp_path, publish_all=False)


def test_publish_waits_for_the_slowest_node_and_shows_zones(tmp_path):
    async def test(harness):
        versions = iter([3, 3, 3])
        fast = await harness.listen(_node("fast", "tainan", lambda: 4))
        slow = await harness.listen(_node("slow", "hsinchu", lambda: next(versions, 4)))
        given = ["--wait", "--token=secret", f"--admin={fast}", f"--admin={slow}"]
        status, _, progress = await harness.publish("routing", ROUTING, *given)
        assert status == STATUS.SUCCESS
        assert progress.splitlines()[1:] == ["hsinchu 0/1, tainan 1/1", "hsinchu 1/1, tainan 1/1"]
        dead = await harness.listen(_node("dead", "tainan", lambda: 4))
        given = ["--wait", "--timeout_ms=100", "--token=secret", f"--admin={dead}"]
        status, _, progress = await harness.publish("routing", ROUTING, *given)
        assert status == STATUS.REFUSED and "still at version 4: dead" in progress

    _run(test, tmp_path)


def test_trimmed_log_needs_a_node_or_says_so(tmp_path):
    async def test(harness):
        status, _, problem = await harness.run("history")
        assert status == STATUS.UNREACHABLE and "--admin" in problem
        body = b'{"version":3,"rules":1,"sections":{}}'

        async def handle(request):
            return messages.Response(200, body=body)

        address = await harness.listen(handle)
        status, output, progress = await harness.run("history", f"--admin={address}")
        assert status == STATUS.SUCCESS and "before 4" in progress
        assert "refused (bad_signature)" in output

    async def trimmed(harness):
        client = _appender(harness)
        for _ in range(4):
            await client("config", _forged())
        await test(harness)

    _run(trimmed, tmp_path, retain_records=1, publish_all=False)


def _appender(harness):
    """Function that appends a record to a stream of the stand-in, without the tool."""

    async def append(stream, payload):
        request = messages.Request("POST", f"/streams/{stream}", body=payload)
        assert (await harness.log.handle(request)).status == 200

    return append


def _forged() -> bytes:
    return msgspec.msgpack.encode(
        {"type": "publish", "format": 1, "rules": 1, "team": "root", "signature": b""}
    )


def test_in_force_and_timeline_read_the_history_stream(tmp_path):
    async def test(harness):
        activated = events.EventKind.VERSION_ACTIVATED
        found = [
            events.Event("n1", 1, 1, "tainan", 1_000, 0, activated, 3),
            events.Event("n1", 1, 2, "tainan", 2_000, 0, activated, 4, "\x1b[2J"),
        ]
        await _appender(harness)("history", batches.encode(reversed(found)))
        await _appender(harness)("history", b"garbage")
        status, output, progress = await harness.run("in-force", "--node=n1", "--at=1500", "--json")
        assert status == STATUS.SUCCESS and json.loads(output)["version"] == 3
        assert "1 records" in progress
        status, output, _ = await harness.run("timeline")
        assert status == STATUS.SUCCESS and len(output.splitlines()) == 2
        assert "\x1b" not in output
        picture = tmp_path / "timeline.png"
        status, output, progress = await harness.run("timeline", f"--plot={picture}")
        assert status == STATUS.SUCCESS and picture.read_bytes().startswith(b"\x89PNG")
        assert output == "" and "2 events" in progress
        status, _, problem = await harness.run("timeline", f"--plot={tmp_path}/timeline.nothing")
        assert status == STATUS.USAGE and "--plot" in problem
        status, _, problem = await harness.run("in-force", "--node=n2")
        assert status == STATUS.USAGE and "no event of a node 'n2'" in problem

    _run(test, tmp_path, publish_all=False)


def test_drain_asks_each_node_and_reports_the_missing_one(tmp_path):
    async def test(harness):
        seen = []

        async def handle(request):
            seen.append((request.method, request.target, json.loads(request.body)))
            return messages.Response(200)

        address = await harness.listen(handle)
        given = [f"--admin={address}", "--admin=127.0.0.1:9"]
        status, output, problem = await harness.run("drain", *given)
        assert status == STATUS.UNREACHABLE
        assert address in output and "127.0.0.1:9" in problem
        await harness.run("drain", "--undo", *given)
        assert seen == [("POST", "/drain", {"enabled": enabled}) for enabled in (True, False)]

    _run(test, tmp_path, publish_all=False)


def test_compare_takes_the_content_that_most_nodes_hold():
    result = node_commands.compare([], [])
    assert (result.newest_version, result.differing) == (0, [])
