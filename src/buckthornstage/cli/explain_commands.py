"""Sub-commands that read the structured logs of all nodes: explain, version-at."""

import bisect
import collections
import datetime

import msgspec
from absl import flags

from buckthornstage import decoding
from buckthornstage.cli import command

Event = dict[str, object]
COMMON_FIELDS = ("at", "node", "part", "event", "call")
UNKNOWN_VERSION = "unknown"

_event_decoder = msgspec.json.Decoder(Event)


def read_events(context: command.Context, paths: tuple[str, ...]) -> list[Event]:
    """Events of all files in order of time; reports how many other lines there are.

    A line may have a prefix before its JSON object, because log collectors add one.
    """
    texts = map(command.read_text, paths)
    lines = [line for text in texts for line in text.splitlines() if line.strip()]
    found = list(filter(None, map(_event_of, lines)))
    if len(found) < len(lines):
        context.report(f"{len(lines) - len(found)} of {len(lines)} lines could not be read")
    return sorted(found, key=lambda event: event["at"])


def _event_of(line: str) -> Event | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = decoding.decode(_event_decoder, line[start:].encode())
    except (msgspec.MsgspecError, UnicodeEncodeError):
        return None
    is_event = isinstance(event.get("at"), int | float) and {"node", "event"} <= event.keys()
    return event if is_event else None


def versions_by_node(events: list[Event]) -> dict[str, list[tuple[float, int]]]:
    """Times and versions put in force, by node; a start of the node counts as version 0."""
    found: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for event in events:
        if event["event"] == "in_force":
            found[event["node"]].append((event["at"], event["version"]))
        elif event["event"] == "started":
            found[event["node"]].append((event["at"], 0))
    return found


def version_at(versions: list[tuple[float, int]], at: float) -> str:
    """Version in force at a time (Unix seconds), or "unknown" before the first entry."""
    index = bisect.bisect_right(versions, at, key=lambda entry: entry[0])
    return str(versions[index - 1][1]) if index else UNKNOWN_VERSION


async def _explain(context: command.Context) -> command.ExitStatus:
    if len(context.arguments) < 2:
        raise command.UsageError("give the ID of a call and the log FILES of all nodes")
    call_id, *paths = context.arguments
    events = read_events(context, tuple(paths))
    versions = versions_by_node(events)
    call_events = [event for event in events if event.get("call") == call_id]
    if not call_events:
        context.report(f"no line of these files names the call {call_id!r}")
        return command.ExitStatus.REFUSED
    started_at = call_events[0]["at"]
    for event in call_events:
        in_force = version_at(versions.get(event["node"], []), event["at"])
        if context.values.json:
            context.emit_json({**event, "in_force": in_force})
        else:
            context.emit(_line(event, started_at, in_force))
    return command.ExitStatus.SUCCESS


def _line(event: Event, started_at: float, in_force: str) -> str:
    fields = {key: value for key, value in event.items() if key not in COMMON_FIELDS}
    details = " ".join(f"{key}={value}" for key, value in fields.items())
    offset_ms = (event["at"] - started_at) * 1_000
    return (
        f"{_time_text(event['at'])} +{offset_ms:.0f} ms {event['node']} {event.get('part', '')}"
        f" {event['event']}: {details} [version {in_force}]"
    )


def _time_text(at: float) -> str:
    return datetime.datetime.fromtimestamp(at, datetime.UTC).isoformat(timespec="milliseconds")


async def _version_at(context: command.Context) -> command.ExitStatus:
    if not context.arguments:
        raise command.UsageError("give the log FILES of the nodes")
    events = read_events(context, context.arguments)
    text = context.required("at")
    try:
        at = float(text)
    except ValueError:
        try:
            at = datetime.datetime.fromisoformat(text).timestamp()
        except ValueError as error:
            raise command.UsageError(f"--at: {error}; write Unix seconds or ISO 8601") from error
    versions = versions_by_node(events)
    wanted = context.values.node
    for node in sorted(versions):
        if wanted in ("", node):
            context.emit(f"{node} {version_at(versions[node], at)}")
    return command.ExitStatus.SUCCESS if versions else command.ExitStatus.REFUSED


def _define_version_at(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "at", "", "time in Unix seconds or ISO 8601 with offset", flag_values=values
    )
    flags.DEFINE_string("node", "", "only this node", flag_values=values)


COMMANDS = (
    command.Command(
        "explain",
        "ID FILE...",
        "time line of one call over all nodes, from their logs",
        ("buckthornstage explain 9c41d07be2a35f68 logs/*.jsonl",),
        command.define_nothing,
        _explain,
    ),
    command.Command(
        "version-at",
        "FILE... --at=TIME [--node=NODE]",
        "which version was in force on each node at a time, from their logs",
        ("buckthornstage version-at logs/*.jsonl --at=2026-12-04T09:30:00+00:00",),
        _define_version_at,
        _version_at,
    ),
)
