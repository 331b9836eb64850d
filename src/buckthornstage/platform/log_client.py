"""Client of the platform's append-only log over HTTP."""

import base64
import time
import urllib.parse

import msgspec
import trio

from buckthornstage import decoding, errors
from buckthornstage.http import client, messages
from buckthornstage.protocol import log

DEFAULT_TIMEOUT_MS = 5_000
CONNECT_TIMEOUT_MS = 1_000
# Responses to an append that mean that the record was not appended.
REFUSED_STATUSES = frozenset({400, 404, 405, 413, 429, 503})


class _AppendResponse(msgspec.Struct):
    offset: decoding.Whole


class _EncodedRecord(msgspec.Struct):
    offset: decoding.Whole
    payload: str


class _ReadResponse(msgspec.Struct):
    earliest: decoding.Whole
    head: decoding.Whole
    records: list[_EncodedRecord]


_append_decoder = msgspec.json.Decoder(_AppendResponse)
_read_decoder = msgspec.json.Decoder(_ReadResponse)


class LogClient:
    """Appends to and reads from the log; may be used by concurrent tasks of one trio run.

    Each request has a pooled connection to itself, so a long poll never delays an append.
    `timeout_ms` bounds the time for a response, for a read in addition to its `wait_ms`.
    """

    def __init__(self, url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        try:
            parts = urllib.parse.urlsplit(url)
            port = parts.port
        except ValueError as error:
            raise errors.SettingsError(f"log_url: {error}") from error
        if parts.scheme != "http" or not parts.hostname or port is None:
            raise errors.SettingsError(f"log_url: {url!r} is not of the form http://IP:port")
        host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
        self.address = f"{host}:{port}"
        self.base_path = parts.path.rstrip("/")
        self.timeout_ms = timeout_ms
        self._idle: list[tuple[float, client.Connection]] = []

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends one record and returns its offset.

        Raises LogUnavailableError if the record was not appended, and LogResponseLostError if it
        was sent but no valid response arrived.
        """
        request = messages.Request("POST", self._target(stream), body=payload)
        response = await self._send(request, self.timeout_ms)
        if response.status in REFUSED_STATUSES:
            raise errors.LogUnavailableError(self._status_error_text(response))
        if response.status != 200:
            raise errors.LogResponseLostError(self._status_error_text(response))
        try:
            return decoding.decode(_append_decoder, response.body).offset
        except msgspec.MsgspecError as error:
            raise errors.LogResponseLostError(
                f"log {self.address}: invalid response: {error}"
            ) from error

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> log.LogBatch:
        """Reads at most `limit` records from `offset` on.

        Waits up to `wait_ms` for the first record. If `offset` is no longer retained, the batch
        begins with the first retained record. Raises LogUnavailableError.
        """
        query = urllib.parse.urlencode({"from": offset, "limit": limit, "wait_ms": wait_ms})
        request = messages.Request("GET", f"{self._target(stream)}?{query}")
        try:
            response = await self._send(request, self.timeout_ms + wait_ms)
        except errors.LogResponseLostError as error:
            # A read has no effect, so a lost response is the same as an unavailable log.
            raise errors.LogUnavailableError(str(error)) from error
        if response.status != 200:
            raise errors.LogUnavailableError(self._status_error_text(response))
        try:
            decoded = decoding.decode(_read_decoder, response.body)
            records = tuple(
                log.LogRecord(record.offset, base64.b64decode(record.payload, validate=True))
                for record in decoded.records
            )
        except ValueError as error:
            raise errors.LogUnavailableError(
                f"log {self.address}: invalid response: {error}"
            ) from error
        return log.LogBatch(stream, decoded.earliest, decoded.head, records)

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop()[1].close()

    def _target(self, stream: str) -> str:
        return f"{self.base_path}/streams/{urllib.parse.quote(stream, safe='')}"

    def _status_error_text(self, response: messages.Response) -> str:
        text = response.body[:200].decode("utf-8", "replace").strip()
        return f"log {self.address} responded with status {response.status}: {text}"

    async def _send(self, request: messages.Request, timeout_ms: int) -> messages.Response:
        """Sends one request; replaces a pooled connection that was closed before the send.

        After a time-out the connections that were idle all the while are closed, since they may be
        silent too.
        """
        while True:
            connection = await self._acquire()
            began = time.monotonic()
            is_new = connection.requests == 0
            try:
                with trio.fail_after(timeout_ms / 1000):
                    response = await connection.fetch(request)
            except messages.StaleConnectionError as error:
                if is_new:
                    raise errors.LogUnavailableError(f"log {error}") from error
                continue
            except messages.HttpError as error:
                raise errors.LogResponseLostError(f"log {error}") from error
            except trio.TooSlowError as error:
                await self._close_idle_since(began)
                text = f"log {self.address}: no response within {timeout_ms} ms"
                raise errors.LogResponseLostError(text) from error
            finally:
                await self._release(connection)
            return response

    async def _acquire(self) -> client.Connection:
        while self._idle:
            since, connection = self._idle.pop()
            idle_ms = (time.monotonic() - since) * 1000
            if idle_ms < client.MAX_IDLE_MS and connection.is_open_and_idle():
                return connection
            await connection.close()
        try:
            return await client.connect(self.address, CONNECT_TIMEOUT_MS)
        except messages.ConnectFailedError as error:
            raise errors.LogUnavailableError(f"log {error}") from error

    async def _close_idle_since(self, began: float) -> None:
        unused = [entry for entry in self._idle if entry[0] <= began]
        self._idle = [entry for entry in self._idle if entry[0] > began]
        for _, connection in unused:
            await connection.close()

    async def _release(self, connection: client.Connection) -> None:
        if connection.is_usable:
            self._idle.append((time.monotonic(), connection))
        else:
            await connection.close()
