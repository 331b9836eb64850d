"""Builds signed publishes and appends each once, even when the log's response is lost."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from cryptography.hazmat.primitives.asymmetric import ed25519

from buckthornstage import errors
from buckthornstage.document import schema, signing
from buckthornstage.protocol import log

ID_BYTES = 16  # 32 hex digits; cannot be guessed before the publish is in the log
READ_LIMIT = 100  # records per read
ATTEMPTS = 8  # reads or appends after a lost response
RETRY_DELAY_MS = 500  # between failed attempts

Sleep = Callable[[int], Awaitable[None]]


class LogAccess(Protocol):
    """The subset of `platform.log_client.LogClient` that this module uses."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends and returns the offset."""

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> log.LogBatch:
        """Reads up to `limit` records from `offset`, waiting up to `wait_ms` for the first."""


def build(
    section: schema.SectionName,
    body: bytes,
    *,
    base: int,
    team: str,
    author: str,
    published_at_ms: int,
    key: ed25519.Ed25519PrivateKey,
) -> schema.Publish:
    """Returns a signed publish with a new id; `published_at_ms` is wall time."""
    publish = schema.Publish(
        format=schema.FORMAT,
        rules=schema.RULES,
        publish_id=secrets.token_hex(ID_BYTES),
        section=section,
        base=base,
        team=team,
        author=author,
        published_at_ms=published_at_ms,
        body=body,
    )
    return signing.sign(publish, key)


def check(record: schema.Publish) -> None:
    """Raises DocumentError if nodes would refuse the record as malformed."""
    try:
        msgspec.msgpack.decode(schema.encode_record(record), type=schema.Publish)
    except msgspec.ValidationError as error:
        raise errors.DocumentError(str(error)) from error


async def _no_sleep(duration_ms: int) -> None:
    """Default for callers whose log client already waits between attempts."""


async def publish(
    log_access: LogAccess,
    record: schema.Publish,
    sleep: Sleep = _no_sleep,
    attempts: int = ATTEMPTS,
) -> int:
    """Appends the publish and returns the offset of its first copy.

    After a lost response the stream is read from the head seen before the append, and the record is
    appended again only if no copy is found. Nodes refuse later copies as duplicates, so the offset
    of the first copy is the result.

    Raises LogUnavailableError if nothing was appended, and LogResponseLostError if the outcome is
    still unknown after all attempts.
    """
    payload = schema.encode_record(record)
    before = await log_access.read(schema.CONFIG_STREAM, 1, 1, 0)
    try:
        return await log_access.append(schema.CONFIG_STREAM, payload)
    except errors.LogResponseLostError:
        pass
    for _ in range(attempts):
        try:
            found = await find(log_access, payload, before.head + 1)
            if found is not None:
                return found
            await log_access.append(schema.CONFIG_STREAM, payload)
        except errors.LogError:
            await sleep(RETRY_DELAY_MS)
    raise errors.LogResponseLostError(
        f"publish {record.publish_id} may be in the log after offset {before.head}; "
        "look for it in the history before you publish again"
    )


async def find(log_access: LogAccess, payload: bytes, offset: int) -> int | None:
    """Offset of the first copy of `payload` from `offset` up to the head, or None."""
    while True:
        batch = await log_access.read(schema.CONFIG_STREAM, offset, READ_LIMIT, 0)
        for record in batch.records:
            if record.payload == payload:
                return record.offset
        if not batch.records or batch.records[-1].offset >= batch.head:
            return None
        offset = batch.records[-1].offset + 1
