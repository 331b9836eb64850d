"""Requests to the administration API of nodes."""

import ipaddress

import msgspec
import trio

from buckthornstage import decoding
from buckthornstage.cli import command
from buckthornstage.document import state
from buckthornstage.http import client, messages

TIMEOUT_MS = 3_000
CONCURRENCY = 64  # requests at once; bounds the open sockets in a mesh of 750 nodes


class NodeStatus(msgspec.Struct, frozen=True):
    """The part of `GET /status` that this tool uses; other fields are ignored."""

    node: str
    zone: str
    version: int
    state_digest: str = ""
    ready: bool = True
    leaving: bool = False
    is_log_lost: bool = False
    is_zone_cut: bool = False
    needs_newer_release: bool = False


class _NodeSection(msgspec.Struct, frozen=True):
    """One section in `GET /document`; `body` stays byte for byte, because the digest covers it."""

    offset: int
    team: str
    author: str
    publish_id: str
    body: msgspec.Raw


class _NodeDocument(msgspec.Struct, frozen=True):
    """Response of `GET /document`; `last_offset`, how far the node has read, is optional."""

    version: int
    rules: int
    sections: dict[str, _NodeSection]
    last_offset: int = 0
    recent_ids: tuple[int, ...] = ()


class Failure(msgspec.Struct, frozen=True):
    """A node without a usable response."""

    address: str
    problem: str


class Report(msgspec.Struct, frozen=True):
    """The status that the node at an admin address returned."""

    address: str
    status: NodeStatus


def addresses(context: command.Context) -> tuple[str, ...]:
    """The --admin addresses without duplicates; raises UsageError for none or an invalid one."""
    unique = tuple(dict.fromkeys(context.values.admin))
    if not unique:
        raise command.UsageError("give --admin=IP:port at least once")
    for address in unique:
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError as error:
            raise command.UsageError(f"--admin: {address!r} is not IP:port") from error
        if not (port.isascii() and port.isdecimal() and 1 <= int(port) <= 65_535):
            raise command.UsageError(f"--admin: {address!r} needs a port from 1 to 65535")
    return unique


async def request(
    context: command.Context, method: str, address: str, path: str, body: bytes = b""
) -> bytes:
    """Body of a successful response.

    Raises UnreachableError when there is no response or the node returns an error, and UsageError
    when the token is refused.
    """
    token = context.values.token.strip()
    if not token.isascii() or not token.isprintable():
        raise command.UsageError("--token: use printable ASCII characters only")
    headers = ((b"authorization", f"Bearer {token}".encode()),) if token else ()
    message = messages.Request(method, path, headers, body)
    try:
        response = await client.fetch(address, message, TIMEOUT_MS)
    except messages.HttpError as error:
        raise command.UnreachableError(f"{address} does not answer: {error}") from error
    if response.status in (401, 403):
        raise command.UsageError(
            f"{address} refuses the token ({response.status}); give --token of an authorized team"
        )
    if not 200 <= response.status < 300:
        text = response.body[:200].decode("utf-8", "replace").strip()
        raise command.UnreachableError(f"{address} answered {response.status} to {path}: {text}")
    return response.body


async def status(context: command.Context, address: str) -> Report | Failure:
    """Requests the status of one node; raises UsageError when the token is refused."""
    try:
        body = await request(context, "GET", address, "/status")
        return Report(address, decoding.decode(msgspec.json.Decoder(NodeStatus), body))
    except command.UnreachableError as error:
        return Failure(address, str(error))
    except msgspec.MsgspecError as error:
        return Failure(address, f"{address} sent a status that this release cannot read: {error}")


async def statuses(
    context: command.Context, node_addresses: tuple[str, ...]
) -> tuple[list[Report], list[Failure]]:
    """Requests the status of several nodes concurrently; results in the order of the addresses.

    Raises UsageError when a node refuses the token.
    """
    responses: dict[str, Report | Failure | command.UsageError] = {}
    limit = trio.CapacityLimiter(CONCURRENCY)

    async def ask(address: str) -> None:
        async with limit:
            try:
                responses[address] = await status(context, address)
            except command.UsageError as error:
                responses[address] = error

    async with trio.open_nursery() as nursery:
        for address in node_addresses:
            nursery.start_soon(ask, address)
    ordered = [responses[address] for address in node_addresses]
    refused = next((a for a in ordered if isinstance(a, command.UsageError)), None)
    if refused:
        raise refused
    reports = [response for response in ordered if isinstance(response, Report)]
    return reports, [response for response in ordered if isinstance(response, Failure)]


async def document(context: command.Context, address: str) -> state.DocumentState:
    """The state of the document on a node; raises UnreachableError.

    A response without `last_offset` counts as read up to its version.
    """
    body = await request(context, "GET", address, "/document")
    try:
        node_document = decoding.decode(msgspec.json.Decoder(_NodeDocument), body)
    except msgspec.MsgspecError as error:
        raise command.UnreachableError(
            f"{address} sent a document that this release cannot read: {error}"
        ) from error
    sections = {
        name: state.SectionState(
            section.offset, section.team, section.author, section.publish_id, bytes(section.body)
        )
        for name, section in node_document.sections.items()
    }
    last_offset = max(node_document.version, node_document.last_offset)
    return state.DocumentState(
        node_document.version, node_document.rules, sections, last_offset, node_document.recent_ids
    )
