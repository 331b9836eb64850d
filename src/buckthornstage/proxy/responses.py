"""Bodies of responses: short ones are buffered, long ones streamed and resumed at other targets."""

import dataclasses
import re
from collections.abc import Callable

import trio

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.proxy import attempts, headers
from buckthornstage.routing import selection

CONTENT_RANGE = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(\d{1,18}|\*)")
MIN_FAILURE_STATUS = 500


def outcome_of(response: messages.Response) -> selection.Outcome:
    """Outcome of an attempt with a complete response, for the statistics of its target."""
    # An error response from a node for a nested call is not a failure of the target.
    if response.status >= MIN_FAILURE_STATUS and response.header(headers.ERROR) is None:
        return selection.Outcome.FAILURE
    return selection.Outcome.SUCCESS


@dataclasses.dataclass(frozen=True)
class ByteRange:
    """Bytes `first` to `last` of the artefact with this strong ETag."""

    etag: str
    first: int
    last: int


def resumable_range(
    response: messages.Response, request: messages.Request, is_idempotent: bool
) -> ByteRange | None:
    """Byte range of the response, or None if its rest can't be fetched from another target."""
    etag = response.header(b"etag")
    if request.method != "GET" or not is_idempotent or not etag or not etag.startswith('"'):
        return None
    if response.header(b"content-encoding") not in (None, "identity"):
        return None
    if response.status == 206:
        found = CONTENT_RANGE.fullmatch(response.header(b"content-range") or "")
        return ByteRange(etag, int(found[1]), int(found[2])) if found else None
    length = response.header(b"content-length")
    if response.status != 200 or length is None:
        return None
    return ByteRange(etag, 0, int(length) - 1)


class ResponseStream:
    """Body of a long response as an async iterator of chunks.

    Raises an HttpError when the body ends early and cannot be resumed. `on_end(is_complete)` is
    called once, when the stream ends or is closed.
    """

    def __init__(
        self,
        dispatcher: attempts.Dispatcher,
        call: attempts.Call,
        request: messages.Request,
        attempt: attempts.Attempt,
        on_end: Callable[[bool], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.call = call
        self.request = request
        self.attempt = attempt
        self.buffered_chunks = attempt.buffered_chunks[::-1]
        self.on_end = on_end
        self.byte_range = resumable_range(attempt.response, request, call.route.idempotent)
        self.sent_bytes = 0
        self.is_ended = False

    def __aiter__(self) -> "ResponseStream":
        return self

    async def __anext__(self) -> bytes:
        try:
            chunk = self.buffered_chunks.pop() if self.buffered_chunks else await self._next_chunk()
        except StopAsyncIteration:
            await self._end(outcome_of(self.attempt.response), True)
            raise
        except BaseException:
            await self._end(selection.Outcome.CANCELLED, False)
            raise
        self.sent_bytes += len(chunk)
        return chunk

    async def aclose(self) -> None:
        """Cancels the call and closes the connection to the target."""
        await self._end(selection.Outcome.CANCELLED, False)

    async def _end(self, outcome: selection.Outcome, is_complete: bool) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        self.on_end(is_complete)
        await self.attempt.finish(outcome)

    async def _next_chunk(self) -> bytes:
        while True:
            remaining_ms = self.call.deadline_ms - self.dispatcher.clock.now_ms()
            try:
                with trio.fail_after(max(0, remaining_ms) / 1000):
                    chunk = await self.attempt.lease.connection.read_some()
            except (messages.HttpError, trio.TooSlowError) as error:
                failure = await self.dispatcher.end_broken_attempt(
                    self.call, self.request, self.attempt, error
                )
                await self._resume(failure)
                continue
            if chunk is None:
                raise StopAsyncIteration
            return chunk

    async def _resume(self, failure: errors.CallError) -> None:
        """Fetches the rest of the body from another target, or raises an HttpError."""
        while self.byte_range is not None and self.dispatcher.try_start_retry(self.call, failure):
            start = self.byte_range.first + self.sent_bytes
            if start > self.byte_range.last:
                break
            self.dispatcher.check_crashes(self.call, self.request)
            result = await self.dispatcher.attempt(
                self.call, self._range_request(start), must_stream=True
            )
            if isinstance(result, errors.CallError):
                failure = result
                continue
            byte_range = resumable_range(result.response, self.request, True)
            if byte_range == dataclasses.replace(self.byte_range, first=start):
                self.attempt = result
                self.dispatcher.metrics.count("resumed")
                return
            await result.finish(selection.Outcome.CANCELLED)
        raise messages.ConnectionBrokenError(f"the response was truncated: {failure}")

    def _range_request(self, start: int) -> messages.Request:
        fields = [item for item in self.request.headers if item[0] not in (b"range", b"if-range")]
        fields.append((b"range", b"bytes=%d-%d" % (start, self.byte_range.last)))
        fields.append((b"if-range", self.byte_range.etag.encode("latin-1")))
        return dataclasses.replace(self.request, headers=tuple(fields))


async def with_buffered_body(response: messages.Response, limit: int) -> messages.Response:
    """Reads the whole body; raises CallError with target_failed above `limit` bytes."""
    if response.stream is None:
        return response
    parts: list[bytes] = []
    size = 0
    try:
        async for chunk in response.stream:
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                detail = f"the response exceeds {limit} bytes"
                raise errors.CallError(errors.ErrorKind.TARGET_FAILED, detail)
    except messages.HttpError as error:
        raise errors.CallError(errors.ErrorKind.TARGET_FAILED, str(error)) from error
    finally:
        await response.stream.aclose()
    return dataclasses.replace(response, body=b"".join(parts), stream=None)
