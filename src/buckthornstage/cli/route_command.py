"""Sub-command that asks a node where a request would go now, and why, without sending it."""

import urllib.parse

import msgspec
from absl import flags

from buckthornstage import decoding
from buckthornstage.cli import command
from buckthornstage.http import client, messages

PATH = "/route"
MAX_ANSWER_BYTES = 1 << 20
_decoder = msgspec.json.Decoder(dict[str, object])


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string("node", "", "metrics address of the node, IP:port", flag_values=values)
    flags.DEFINE_string("tenant", "", "name of the caller's tenant", flag_values=values)


async def _run(context: command.Context) -> command.ExitStatus:
    if len(context.arguments) != 1 or "/" not in context.arguments[0]:
        raise command.UsageError("give one HOST/PATH, such as shop.example/read/1")
    host, _, path = context.arguments[0].partition("/")
    query = {"host": host, "path": f"/{path}", "tenant": context.values.tenant}
    node = context.required("node")
    request = messages.Request("GET", f"{PATH}?{urllib.parse.urlencode(query)}")
    try:
        response = await client.fetch(node, request)
        found = decoding.decode(_decoder, response.body)
    except (messages.HttpError, msgspec.MsgspecError) as error:
        raise command.UnreachableError(f"{node}: {error}") from error
    if context.values.json:
        context.emit_json(found)
    else:
        for line in lines_of(found):
            context.emit(line)
    is_sent = found.get("outcome") == "sent"
    return command.ExitStatus.SUCCESS if is_sent else command.ExitStatus.REFUSED


def lines_of(found: dict) -> list[str]:
    """The explanation as text: the outcome, then each service with its candidates."""
    head = {
        name: found[name] for name in ("outcome", "detail", "route", "version") if name in found
    }
    lines = [_fields(head)]
    if "quota" in found:
        lines.append(f"quota: {_fields(found['quota'])}")
    for name, service in found.get("services", {}).items():
        weight = found["weights"][name]
        lines.append(f"{name} (weight {weight}): {service['outcome']} {service.get('to', '')}")
        lines.append(f"  {service['why']}")
        lines.append(
            f"  zones: {_fields(service['zone_loads'])}; shares that leave:"
            f" {_fields(service['zone_shares']) or 'none'}; full: {service['full_zones']}"
        )
        if service["rollout"]:
            lines.append(f"  roll-out: {_fields(service['rollout'])}")
        lines += [f"  {_fields(candidate)}" for candidate in service["candidates"]]
    return lines


def _fields(values: dict) -> str:
    return " ".join(f"{name}={value}" for name, value in values.items())


COMMANDS = (
    command.Command(
        "explain-route",
        "HOST/PATH --node=IP:PORT [--tenant=NAME]",
        "where a request would go from a node now, and why, without sending it",
        ("buckthornstage explain-route shop.example/read/1 --node=10.1.0.8:9464",),
        _define,
        _run,
    ),
)
