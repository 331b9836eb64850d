"""Reads the log and folds stream `config` into the document, as nodes do."""

import contextlib
import os
from collections.abc import AsyncIterator

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.cli import admin_client, command
from buckthornstage.document import acceptance, reader, schema, signing
from buckthornstage.history import batches, events
from buckthornstage.platform import log_client
from buckthornstage.protocol import log

READ_LIMIT = 200  # records
WAIT_MS = 1_000  # long poll while following


class Entry(msgspec.Struct, frozen=True):
    """One publish in the log; `published_at_ms` is by the author's clock, None if malformed."""

    verdict: acceptance.Verdict
    published_at_ms: int | None


@contextlib.asynccontextmanager
async def open_log(context: command.Context) -> AsyncIterator[log_client.LogClient]:
    """Client of the log at --log; raises UsageError for an invalid URL."""
    url = context.required("log")
    try:
        client = log_client.LogClient(url)
    except (errors.SettingsError, ValueError) as error:
        raise command.UsageError(f"--log: {url!r} is not of the form http://IP:port") from error
    try:
        yield client
    finally:
        with trio.CancelScope(shield=True):
            await client.close()


class ConfigView:
    """The document as folded from the log, and the publishes read while folding."""

    def __init__(self, context: command.Context, client: log_client.LogClient) -> None:
        secret_file = context.values.secret_file
        secret = command.read_text(secret_file).strip().encode() if secret_file else b""
        self.context = context
        self.client = client
        # Without the secret a random one rejects all checkpoints; with an empty one anybody could
        # forge them.
        self.fold = reader.LogFold(root_key(context), secret or os.urandom(32))
        self.entries: list[Entry] = []

    async def catch_up(self) -> None:
        """Reads and folds up to the head of the log."""
        while True:
            batch = await self._step(0)
            if self.fold.is_trimmed and self.fold.next_offset > batch.head:
                await self._load_from_node()
            elif self.fold.next_offset > batch.head:
                return

    async def verdict(self, offset: int) -> acceptance.Verdict:
        """Reads and folds until the record at `offset` has its verdict.

        Raises UnreachableError when the record is no longer retained.
        """
        while self.fold.state.last_offset < offset:
            await self._step(WAIT_MS)
            if self.fold.is_trimmed:
                await self.catch_up()
        for verdict in self.fold.verdicts:
            if verdict.offset == offset:
                return verdict
        raise command.UnreachableError(
            f"the log no longer holds offset {offset}; find its verdict with timeline"
        )

    async def _step(self, wait_ms: int) -> log.LogBatch:
        next_offset = self.fold.next_offset
        batch = await self.client.read(schema.CONFIG_STREAM, next_offset, READ_LIMIT, wait_ms)
        if not batch.records and max(next_offset, batch.earliest) <= batch.head:
            raise command.UnreachableError(f"the log returned no record at offset {next_offset}")
        times = {record.offset: _published_at_ms(record.payload) for record in batch.records}
        for outcome in self.fold.apply(batch, self.context.time.now_ms()):
            if isinstance(outcome, acceptance.Verdict):
                self.entries.append(Entry(outcome, times[outcome.offset]))
        return batch

    async def _load_from_node(self) -> None:
        """Loads the state from a node.

        Needed when the log holds neither its first records nor a checkpoint that can be verified.
        Raises UnreachableError when no node can provide it.
        """
        problems = []
        for address in self.context.values.admin:
            try:
                node_state = await admin_client.document(self.context, address)
            except command.UnreachableError as error:
                problems.append(str(error))
                continue
            if self.fold.adopt(node_state) and not self.fold.is_trimmed:
                return
            problems.append(
                f"the state of {address} is too old, contradicts the log, or "
                "needs a newer release of this tool"
            )
        raise command.UnreachableError(
            f"the log begins at offset {self.fold.earliest} and the state before it is not known; "
            f"give --admin with --token, or --secret_file. {'; '.join(problems)}".rstrip()
        )


def root_key(context: command.Context) -> str:
    """The root public key of --root_key, given as text or as a file."""
    given = context.required("root_key")
    text = command.read_text(given).strip() if os.path.isfile(given) else given
    try:
        signing.parse_public_key(text)
    except errors.DocumentError as error:
        raise command.UsageError(f"--root_key: {error}") from error
    return text


async def history_events(client: log_client.LogClient) -> tuple[list[events.Event], int]:
    """All retained events of stream `history`, and the number of unreadable records."""
    found: list[events.Event] = []
    unreadable = 0
    offset = 1
    while True:
        batch = await client.read(batches.STREAM, offset, READ_LIMIT, 0)
        decoded, failed = batches.decode_all(batch)
        found += decoded
        unreadable += len(failed)
        if not batch.records or batch.records[-1].offset >= batch.head:
            return found, unreadable
        offset = batch.records[-1].offset + 1


def _published_at_ms(payload: bytes) -> int | None:
    try:
        return msgspec.msgpack.decode(payload, type=schema.Publish).published_at_ms
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
