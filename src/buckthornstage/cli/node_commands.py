"""Sub-commands that call the administration API of nodes: status, drain."""

import collections

import msgspec
from absl import flags

from buckthornstage.cli import admin_client, command


class StatusResult(msgspec.Struct, frozen=True):
    """Result of status; `differing` names nodes without the newest version and its content."""

    newest_version: int
    nodes: list[admin_client.Report]
    differing: list[str]
    unreachable: list[admin_client.Failure]


def compare(
    reports: list[admin_client.Report], failures: list[admin_client.Failure]
) -> StatusResult:
    """Finds the nodes that lack the newest version, or hold different content for it.

    When nodes hold different content for one version, the content of most nodes is the reference.
    """
    newest = max((report.status.version for report in reports), default=0)
    digests = collections.Counter(
        report.status.state_digest for report in reports if report.status.version == newest
    )
    reference = min(digests, key=lambda digest: (-digests[digest], digest), default="")
    differing = [
        report.status.node
        for report in reports
        if (report.status.version, report.status.state_digest) != (newest, reference)
    ]
    return StatusResult(newest, reports, differing, failures)


async def _status(context: command.Context) -> command.ExitStatus:
    context.reject_arguments()
    reports, failures = await admin_client.statuses(context, admin_client.addresses(context))
    result = compare(reports, failures)
    if context.values.json:
        context.emit_json(result)
    else:
        _show(context, result)
    if result.differing:
        return command.ExitStatus.REFUSED
    return command.ExitStatus.UNREACHABLE if failures else command.ExitStatus.SUCCESS


def _show(context: command.Context, result: StatusResult) -> None:
    for report in sorted(result.nodes, key=lambda item: (item.status.zone, item.status.node)):
        status = report.status
        notes = [
            text
            for is_set, text in (
                (status.node in result.differing, "DIFFERS"),
                (not status.ready, "not ready"),
                (status.leaving, "leaving"),
                (status.is_log_lost, "log unreachable"),
                (status.is_zone_cut, "zone cut off"),
                (status.needs_newer_release, "needs a newer release"),
            )
            if is_set
        ]
        line = f"{status.zone}/{status.node} version {status.version} {status.state_digest[:12]}"
        context.emit(f"{line} {', '.join(notes)}".rstrip())
    for failure in result.unreachable:
        context.emit(f"NOT REACHABLE {failure.problem}")
    same = len(result.nodes) - len(result.differing)
    context.emit(
        f"version {result.newest_version} on {same} nodes, {len(result.differing)} differ, "
        f"{len(result.unreachable)} not reachable"
    )


def _define_drain(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("undo", False, "give the backend servers new work again", flag_values=values)


async def _drain(context: command.Context) -> command.ExitStatus:
    context.reject_arguments()
    body = msgspec.json.encode({"enabled": not context.values.undo})
    done: list[str] = []
    failures: list[admin_client.Failure] = []
    for address in admin_client.addresses(context):
        try:
            await admin_client.request(context, "POST", address, "/drain", body)
        except command.UnreachableError as error:
            failures.append(admin_client.Failure(address, str(error)))
            continue
        done.append(address)
        if not context.values.json:
            what = "gets new work again" if context.values.undo else "gets no new work"
            context.emit(f"the backend server at node {address} {what}")
    if context.values.json:
        context.emit_json({"done": done, "unreachable": failures})
    for failure in failures:
        context.report(f"not reachable: {failure.problem}")
    return command.ExitStatus.UNREACHABLE if failures else command.ExitStatus.SUCCESS


COMMANDS = (
    command.Command(
        "status",
        "",
        "show the version of each node, nodes that differ and nodes that cannot be reached",
        ("buckthornstage status --admin=10.0.1.5:7002 --admin=10.0.2.5:7002 --json",),
        command.define_nothing,
        _status,
    ),
    command.Command(
        "drain",
        "",
        "give the backend servers of nodes no new work; requests in flight finish",
        (
            "buckthornstage drain --admin=10.0.1.5:7002",
            "buckthornstage drain --undo --admin=10.0.1.5:7002",
        ),
        _define_drain,
        _drain,
    ),
)
