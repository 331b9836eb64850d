"""HTTP requests, responses and errors."""

import dataclasses
from collections.abc import AsyncIterator, Iterable

from buckthornstage import errors

Headers = tuple[tuple[bytes, bytes], ...]

MAX_STATUS = 599  # higher ones are invalid, RFC 9110, section 15


class HttpError(errors.BuckthornstageError):
    """Base class of HTTP client errors."""


class ConnectFailedError(HttpError):
    """No connection could be opened; nothing of the request was sent."""

    @property
    def is_reset(self) -> bool:
        """Whether the peer listens but reset the connection, as a full server may."""
        return isinstance(self.__cause__, ConnectionResetError)


class StaleConnectionError(HttpError):
    """The peer had already closed the connection; nothing of the request was sent."""


class ConnectionBrokenError(HttpError):
    """The connection broke after the request was sent, before the response was complete."""


class MalformedResponseError(ConnectionBrokenError):
    """The response is invalid, exceeds a limit or declares no end; not a crash of the peer."""


class TimedOutError(HttpError):
    """The timeout expired after the request was sent, before the response was complete."""


@dataclasses.dataclass(frozen=True)
class Request:
    """One request with its whole body; header names are lower case.

    At the server, `peer` is the IP address that the connection comes from.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""

    def header(self, name: bytes) -> str | None:
        """First value of the header as text, or None."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True)
class Response:
    """One response; a long one has a `stream` instead of a `body`.

    A stream without a `content-length` header is sent chunked. An exception in the stream closes
    the connection before the declared end, so the peer detects a truncated response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None

    def header(self, name: bytes) -> str | None:
        """First value of the header as text, or None."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """First value of the header `name` (lower case) as text, or None."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)
