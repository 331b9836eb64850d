"""Headers of calls: parsing, removal, and forwarding to the target."""

import dataclasses

from buckthornstage import errors
from buckthornstage.document import schema
from buckthornstage.http import messages

DEADLINE = b"buckthornstage-deadline-ms"
DEPTH = b"buckthornstage-depth"
ATTEMPT = b"buckthornstage-attempt"
OUTCOME = b"buckthornstage-outcome"
ERROR = b"buckthornstage-error"
LOAD = b"buckthornstage-load"
KEY = b"idempotency-key"
MAX_DEPTH = 16
MAX_DEADLINE_MS = 86_400_000  # a longer deadline is an error of the caller
MAX_DIGITS = 12
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
REPLACED_HEADERS = HOP_BY_HOP | {b"content-length", DEADLINE, DEPTH, ATTEMPT}


@dataclasses.dataclass(frozen=True)
class CallHeaders:
    """Values from the headers of a call; `remaining_ms` is None when not given."""

    remaining_ms: int | None
    depth: int


def read(request: messages.Request) -> CallHeaders:
    """Parses deadline and depth; raises CallError with bad_request or depth_exceeded."""
    remaining_ms = depth = None
    for name, value in request.headers:
        if name == DEADLINE:
            if remaining_ms is not None:
                raise _malformed(DEADLINE, "is given twice")
            remaining_ms = _number(DEADLINE, value, MAX_DEADLINE_MS)
        elif name == DEPTH:
            if depth is not None:
                raise _malformed(DEPTH, "is given twice")
            depth = _number(DEPTH, value, None)
    if depth is not None and depth >= MAX_DEPTH:
        raise errors.CallError(errors.ErrorKind.DEPTH_EXCEEDED, f"depth {depth}")
    return CallHeaders(remaining_ms, depth or 0)


def _number(name: bytes, value: bytes, maximum: int | None) -> int:
    if not value.isdigit() or len(value) > MAX_DIGITS:
        raise _malformed(name, "must be a decimal number")
    number = int(value)
    if maximum is not None and number > maximum:
        raise _malformed(name, f"must be at most {maximum}")
    return number


def _malformed(name: bytes, problem: str) -> errors.CallError:
    return errors.CallError(errors.ErrorKind.BAD_REQUEST, f"{name.decode()} {problem}")


def path_of(target: str) -> str:
    """Path of an origin-form request target; raises CallError with bad_request.

    Dot segments are refused: a target that resolves them would serve another path than the one
    that the route matched.
    """
    path = target.partition("?")[0]
    if not path.startswith("/") or "#" in target:
        raise errors.CallError(errors.ErrorKind.BAD_REQUEST, "the path must begin with /")
    if "." in path or "%" in path:
        decoded = path.lower().replace("%2e", ".").replace("%2f", "/").replace("%5c", "/")
        if any(part in (".", "..") for part in decoded.replace("\\", "/").split("/")):
            raise errors.CallError(errors.ErrorKind.BAD_REQUEST, "the path has dot segments")
    return path


def for_target(
    request: messages.Request, depth: int, remaining_ms: int, attempt: int
) -> messages.Headers:
    """Headers of one attempt, without hop-by-hop ones.

    The deadline is reduced to the remaining time, the depth is incremented, the attempt is set.
    """
    removed = REPLACED_HEADERS | _named_by_connection(request.headers)
    kept = [item for item in request.headers if item[0] not in removed]
    kept.append((DEADLINE, b"%d" % remaining_ms))
    kept.append((DEPTH, b"%d" % (depth + 1)))
    kept.append((ATTEMPT, b"%d" % attempt))
    return tuple(kept)


def for_caller(response: messages.Response) -> messages.Headers:
    """Headers of a target's response without the hop-by-hop ones.

    The outcome header is removed: only the node reports an outcome to a caller, because a backend
    server may have copied the header from a nested call.
    """
    removed = connection_headers(response.headers)
    return tuple(item for item in response.headers if item[0] not in removed and item[0] != OUTCOME)


def connection_headers(headers: messages.Headers) -> frozenset[bytes]:
    """Names of the headers that apply to one connection only."""
    return HOP_BY_HOP | _named_by_connection(headers)


def _named_by_connection(headers: messages.Headers) -> frozenset[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(part.strip().lower() for value in values for part in value.split(b","))


def is_shed(response: messages.Response) -> bool:
    """Whether a target shed the attempt without running it.

    A response with an error kind comes from a node, for a nested call: the target itself ran.
    """
    return (
        response.status == 503
        and response.header(OUTCOME) == errors.Outcome.NOT_RUN
        and response.header(ERROR) is None
    )


def reported_load(response: messages.Response) -> float | None:
    """Fraction of its slots that the target reports as in use, at least 0, or None."""
    text = response.header(LOAD)
    if text is None:
        return None
    in_flight, _, slots = text.partition("/")
    if not (in_flight.isdecimal() and slots.isdecimal()) or len(text) > MAX_DIGITS:
        return None
    return int(in_flight) / max(1, int(slots))


def route_error(known: tuple[schema.Route, ...]) -> errors.CallError:
    """Error for a request without a matching route; `known` are the routes of its path."""
    kind = errors.ErrorKind.METHOD_NOT_ALLOWED if known else errors.ErrorKind.NO_ROUTE
    return errors.CallError(kind)


def error_response(error: errors.CallError) -> messages.Response:
    """Response that the table of error kinds defines for an error."""
    response = error.response
    return messages.Response(
        response.status,
        (
            (b"content-type", b"text/plain"),
            (ERROR, str(error.kind).encode()),
            (OUTCOME, str(response.outcome).encode()),
        ),
        error.body,
    )
