"""Sub-command publish: appends a section to the log, waits for its verdict and for the nodes."""

import collections
import getpass

import trio
from absl import flags

from buckthornstage import errors
from buckthornstage.cli import admin_client, command, document_commands, log_state
from buckthornstage.document import acceptance, publishing, schema, signing

POLL_MS = 200  # between status requests to the nodes


def _define(values: flags.FlagValues) -> None:
    command.define_section(values)
    flags.DEFINE_string("team", "", "team that publishes", flag_values=values)
    flags.DEFINE_string("key", "", "file with the team's private key", flag_values=values)
    flags.DEFINE_string(
        "author", "", "your name in the history (default: the login name)", flag_values=values
    )
    flags.DEFINE_integer(
        "base",
        None,
        "offset of the publish that the edit was made from, as diff shows it (default: the one in "
        "force now, which overwrites changes that the file does not contain)",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_bool(
        "wait", False, "wait until the nodes of --admin have it in force", flag_values=values
    )
    flags.DEFINE_integer(
        "timeout_ms",
        60_000,
        "time for the verdict, and again for the nodes with --wait",
        lower_bound=100,
        flag_values=values,
    )


def _private_key(context: command.Context):
    path = context.required("key")
    try:
        return signing.load_private_key(command.read_text(path).encode())
    except errors.DocumentError as error:
        raise command.UsageError(f"--key: {path}: {error}") from error


def _author(context: command.Context) -> str:
    if context.values.author:
        return context.values.author
    try:
        return getpass.getuser()
    except (OSError, KeyError) as error:
        raise command.UsageError("give --author; the login name is not known") from error


async def _sleep_ms(duration_ms: int) -> None:
    await trio.sleep(duration_ms / 1000)


async def _append(
    context: command.Context, section: schema.SectionName, body: bytes
) -> acceptance.Verdict:
    """Appends the publish and returns its verdict; raises LogError and UnreachableError."""
    team, key, author = context.required("team"), _private_key(context), _author(context)
    async with log_state.open_log(context) as client:
        view = log_state.ConfigView(context, client)
        await view.catch_up()
        current = view.fold.state.sections.get(section)
        base = context.values.base
        if base is None:
            base = current.offset if current else 0
        record = publishing.build(
            section,
            body,
            base=base,
            team=team,
            author=author,
            published_at_ms=context.time.wall_ms(),
            key=key,
        )
        try:
            publishing.check(record)
        except errors.DocumentError as error:
            raise command.UsageError(f"--team, --author or --base is wrong: {error}") from error
        offset = await publishing.publish(client, record, _sleep_ms)
        context.report(f"appended publish {record.publish_id} at offset {offset}")
        with trio.move_on_after(context.values.timeout_ms / 1000):
            return await view.verdict(offset)
    raise command.UnreachableError(
        f"publish {record.publish_id} is at offset {offset}, but its verdict did not appear in "
        f"{context.values.timeout_ms} ms; check it with history"
    )


async def _publish(context: command.Context) -> command.ExitStatus:
    section = document_commands.parse_section(context)
    body = document_commands.load_body(context, section)
    nodes = admin_client.addresses(context) if context.values.wait else ()
    verdict = await _append(context, section, body)
    if context.values.json:
        context.emit_json(verdict)
    elif verdict.accepted:
        context.emit(f"accepted: section {section} is version {verdict.offset}")
    else:
        context.emit(f"refused ({verdict.reason}): {verdict.detail}")
    if not verdict.accepted:
        return command.ExitStatus.REFUSED
    return await _wait_for_nodes(context, nodes, verdict.offset)


async def _wait_for_nodes(
    context: command.Context, nodes: tuple[str, ...], version: int
) -> command.ExitStatus:
    """Polls the nodes until all have the version or a newer one, or until --timeout_ms."""
    up_to_date: dict[str, admin_client.Report] = {}
    behind: list[admin_client.Report] = []
    failures: list[admin_client.Failure] = []
    last_line = ""
    with trio.move_on_after(context.values.timeout_ms / 1000):
        while lagging := tuple(address for address in nodes if address not in up_to_date):
            reports, failures = await admin_client.statuses(context, lagging)
            up_to_date |= {r.address: r for r in reports if r.status.version >= version}
            behind = [report for report in reports if report.address not in up_to_date]
            line = _progress(up_to_date.values(), behind, failures)
            if line != last_line:
                context.report(line)
            last_line = line
            if behind or failures:
                await trio.sleep(POLL_MS / 1000)
    missing = [address for address in nodes if address not in up_to_date]
    if not missing:
        return command.ExitStatus.SUCCESS
    for failure in failures:
        context.report(f"not reachable: {failure.problem}")
    for report in behind:
        context.report(f"still at version {report.status.version}: {report.status.node}")
    context.report(f"version {version} is accepted, but not seen on {', '.join(missing)}")
    return command.ExitStatus.REFUSED if behind else command.ExitStatus.UNREACHABLE


def _progress(up_to_date, behind, failures) -> str:
    done = collections.Counter(report.status.zone for report in up_to_date)
    total = done + collections.Counter(report.status.zone for report in behind)
    zones = [f"{zone} {done[zone]}/{total[zone]}" for zone in sorted(total)]
    return ", ".join([*zones, *([f"{len(failures)} not reachable"] if failures else [])])


COMMANDS = (
    command.Command(
        "publish",
        "FILE",
        "publish a section file and wait for the verdict",
        (
            "buckthornstage publish routing.yaml --section=routing --team=web --key=web.pem "
            "--log=http://10.0.0.9:7400 --root_key=root.pub",
            "buckthornstage publish limits.yaml --section=limits --team=web --key=web.pem "
            "--base=41 --wait --admin=10.0.1.5:7002 --admin=10.0.2.5:7002",
        ),
        _define,
        _publish,
    ),
)
