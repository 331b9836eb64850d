"""Sub-commands about the past: history, in-force, timeline."""

import datetime
import pathlib

from absl import flags

from buckthornstage.cli import command, log_state
from buckthornstage.history import events, plot, queries, rendering


def _define_history(values: flags.FlagValues) -> None:
    flags.DEFINE_string("section", "", "only publishes of this section", flag_values=values)
    flags.DEFINE_bool("refused", False, "only refused publishes", flag_values=values)


async def _history(context: command.Context) -> command.ExitStatus:
    context.reject_arguments()
    async with log_state.open_log(context) as client:
        view = log_state.ConfigView(context, client)
        await view.catch_up()
    if view.fold.earliest > 1:
        context.report(f"the log no longer holds offsets before {view.fold.earliest}")
    for entry in view.entries:
        verdict = entry.verdict
        if context.values.section not in ("", verdict.section):
            continue
        if context.values.refused and verdict.accepted:
            continue
        if context.values.json:
            context.emit_json(entry)
        else:
            context.emit(_line(entry))
    return command.ExitStatus.SUCCESS


def _line(entry: log_state.Entry) -> str:
    verdict = entry.verdict
    at = "unknown time" if entry.published_at_ms is None else _time_text(entry.published_at_ms)
    result = "accepted" if verdict.accepted else f"refused ({verdict.reason}): {verdict.detail}"
    if not verdict.team:
        return f"offset {verdict.offset} at {at}: {result}"
    return (
        f"offset {verdict.offset} at {at}, section {verdict.section} by {verdict.author} of team "
        f"{verdict.team}: {result}"
    )


def _time_text(time_ms: int) -> str:
    """Time in UTC, or in ms if the time of the author's clock exceeds the range of dates."""
    try:
        return rendering.time_text(time_ms)
    except (ValueError, OverflowError, OSError):
        return f"{time_ms} ms"


def parse_time(text: str, now_ms: int) -> int:
    """Wall time in ms from ms, ISO 8601 (without an offset: UTC) or "now"; raises UsageError."""
    if text == "now":
        return now_ms
    if text.isascii() and text.isdecimal():
        return int(text)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise command.UsageError(
            f"--at: {text!r} is not a time; write 2026-03-01T06:30:00Z, ms since 1970, or now"
        ) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return int(moment.timestamp() * 1000)


def in_force(found: list[events.Event], node: str, at_ms: int) -> queries.InForce:
    """What `node` had in force at `at_ms`; raises UsageError for a node without any event."""
    if not any(event.node == node for event in found):
        raise command.UsageError(f"--node: the history holds no event of a node {node!r}")
    return queries.in_force(found, node, at_ms)


def timeline(found: list[events.Event], node: str = "") -> list[events.Event]:
    """The events of all nodes, or of one node, in the order of the merged timeline."""
    return [event for event in queries.timeline(found) if node in ("", event.node)]


def _define_in_force(values: flags.FlagValues) -> None:
    flags.DEFINE_string("node", "", "name of the node", flag_values=values)
    flags.DEFINE_string(
        "at", "now", "time: 2026-03-01T06:30:00Z, ms since 1970, or now", flag_values=values
    )


async def _events(context: command.Context) -> list[events.Event]:
    async with log_state.open_log(context) as client:
        found, unreadable = await log_state.history_events(client)
    if unreadable:
        context.report(f"{unreadable} records of the history cannot be read by this release")
    return found


def _emit(context: command.Context, rows: list[rendering.Row]) -> None:
    render = rendering.json_lines if context.values.json else rendering.text_lines
    for line in render(rows):
        context.emit(line)


async def _in_force(context: command.Context) -> command.ExitStatus:
    context.reject_arguments()
    node = context.required("node")
    at_ms = parse_time(context.values.at, context.time.wall_ms())
    _emit(context, [in_force(await _events(context), node, at_ms)])
    return command.ExitStatus.SUCCESS


def _define_timeline(values: flags.FlagValues) -> None:
    flags.DEFINE_string("node", "", "only events that this node recorded", flag_values=values)
    flags.DEFINE_string(
        "plot", "", "draw the time line into this file (.png, .svg or .pdf)", flag_values=values
    )


async def _timeline(context: command.Context) -> command.ExitStatus:
    context.reject_arguments()
    found = timeline(await _events(context), context.values.node)
    if context.values.plot:
        _plot(context, found)
    else:
        _emit(context, found)
    return command.ExitStatus.SUCCESS


def _plot(context: command.Context, found: list[events.Event]) -> None:
    path = pathlib.Path(context.values.plot)
    try:
        plot.plot(found, path)
    except (plot.PlotUnavailableError, ValueError, OSError) as error:
        raise command.UsageError(f"--plot: {error}") from error
    context.report(f"{len(found)} events drawn into {path}")


COMMANDS = (
    command.Command(
        "history",
        "",
        "list publishes with author and verdict, and why they were refused",
        ("buckthornstage history --log=http://10.0.0.9:7400 --root_key=root.pub --refused",),
        _define_history,
        _history,
    ),
    command.Command(
        "in-force",
        "",
        "say which version a node had in force at a time",
        ("buckthornstage in-force --node=tainan-3 --at=2026-03-01T06:30:00Z",),
        _define_in_force,
        _in_force,
    ),
    command.Command(
        "timeline",
        "",
        "show the events of all nodes in one order",
        (
            "buckthornstage timeline --log=http://10.0.0.9:7400 --json",
            "buckthornstage timeline --log=http://10.0.0.9:7400 --plot=timeline.png",
        ),
        _define_timeline,
        _timeline,
    ),
)
