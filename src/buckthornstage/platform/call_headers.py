"""Reads and writes the platform's headers of calls; see `mesh.header_codec`."""

import math
import re

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.link import frames
from buckthornstage.mesh import header_codec
from buckthornstage.proxy import headers as proxy_headers

CALL_ID = b"attempt-id"
# Remaining time in ms that the client will wait.
REMAINING = b"timeout-remaining"
# A lifetime is one run of the target's process.
EXPECTED_LIFETIME = b"expect-instance"
ORIGIN_SERVICE = b"caller-service"
# Digest that a target adds to its responses.
RESPONSE_DIGEST = b"response-seal"
NOT_RUN = b"not-executed"
LOAD = b"server-load"
KEEP_ALIVE = b"keep-alive"
# Requests a second, a decimal number, that a target accepts from all nodes together.
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
API_KEY = b"authorization"
API_KEY_SCHEME = "token"
TENANT = b"tenant"

OTHER_LIFETIME_STATUS = 421
NOT_RUN_STATUSES = frozenset({400, 429, 503})
"""Statuses, beside OTHER_LIFETIME_STATUS, with which a target says that it has not run a call. With
another one `NOT_RUN` would contradict the status."""
PROMISE_STATUSES = frozenset({408, 429, 503})
"""Statuses that tell a caller that its call has not run, which a target must have said as well."""
MAX_REMAINING_MS = 86_400_000
MS_PER_SECOND = 1_000
USUAL_PACE = 100
LOAD_FORM = re.compile(
    rb"\s*(\d{1,9})\s*,\s*(\d{1,9})\s*,\s*(\d{1,9})\s*(?:,\s*(\d{1,9}(?:\.\d{1,9})?)\s*)?"
)
"""Running, waiting, slots, and in some services how long work takes, in percent of the usual."""
NO_NOTICE = header_codec.TargetNotice()
HEADERS_SET_BY_NODE = frozenset((REMAINING, EXPECTED_LIFETIME, ORIGIN_SERVICE, b"content-length"))
HEADERS_SET_WITH_TENANTS = HEADERS_SET_BY_NODE | {TENANT}


def read_head(request: messages.Request) -> header_codec.CallHead:
    """Call id and remaining time; a time that is not a decimal number is ignored."""
    remaining = (request.header(REMAINING) or "").strip()
    is_number = remaining.isdecimal() and len(remaining) <= proxy_headers.MAX_DIGITS
    remaining_ms = min(int(remaining), MAX_REMAINING_MS) if is_number else None
    return header_codec.CallHead(request.header(CALL_ID) or "", remaining_ms)


def api_key(request: messages.Request) -> str | None:
    """Key that a request carries; None if there is none, several, or one in another form."""
    values = [value for name, value in request.headers if name == API_KEY]
    if len(values) != 1:
        return None
    return _key_in(values[0]) or None


def _key_in(value: bytes) -> str | None:
    """Key in an authorization header, empty if it has none; None if it has another scheme."""
    scheme, *rest = value.decode("latin-1").split(maxsplit=1) or [""]
    if scheme.lower() != API_KEY_SCHEME:
        return None
    return rest[0].strip() if rest else ""


def forwarded_headers(request: messages.Request, has_tenants: bool) -> frames.HeaderPairs:
    """Headers to forward to the target, without hop-by-hop headers.

    With tenants, a key is never shown to a target, and only the node names the tenant.
    """
    set_by_node = HEADERS_SET_WITH_TENANTS if has_tenants else HEADERS_SET_BY_NODE
    removed = set_by_node | proxy_headers.connection_headers(request.headers)
    return tuple(
        item
        for item in request.headers
        if item[0] not in removed
        and not (has_tenants and item[0] == API_KEY and _key_in(item[1]) is not None)
    )


def target_headers(call: frames.Call, instance: str, remaining_ms: int) -> frames.HeaderPairs:
    """Headers of a call for the target, including those that only the node may set."""
    tenant = ((TENANT, call.tenant.encode()),) if call.tenant else ()
    return (
        *call.headers,
        *tenant,
        (REMAINING, b"%d" % max(1, remaining_ms)),
        (EXPECTED_LIFETIME, instance.encode()),
        (ORIGIN_SERVICE, call.origin_service.encode()),
    )


def classify(response: messages.Response, call_id: str) -> header_codec.ResponseKind:
    """Classifies a response by its status and headers; does not check the digest itself.

    Targets echo the id of a call. A response without it may belong to an earlier call, so that it
    neither answers this one nor proves that this one has not run. The id proves that only on a
    connection on which no earlier call had it, which `TargetPool.acquire` provides.
    """
    response_call_id = response.header(CALL_ID)
    if response_call_id is not None and response_call_id != call_id:
        return header_codec.ResponseKind.OTHER_CALL
    if response_call_id is None and call_id:
        return header_codec.ResponseKind.UNPROVED
    if response.status == OTHER_LIFETIME_STATUS:
        return header_codec.ResponseKind.OTHER_LIFETIME
    says_not_run = response.header(NOT_RUN) is not None
    if says_not_run and response.status in NOT_RUN_STATUSES:
        return header_codec.ResponseKind.NOT_RUN
    if says_not_run or response.status in PROMISE_STATUSES:
        return header_codec.ResponseKind.UNPROVED
    if response.header(RESPONSE_DIGEST) is None or response.header(b"content-encoding") is not None:
        return header_codec.ResponseKind.UNPROVED
    return header_codec.ResponseKind.WHOLE


def caller_headers(headers: frames.HeaderPairs) -> frames.HeaderPairs:
    """Headers of a target's response for the caller; the node sets the length of the whole body."""
    removed = proxy_headers.connection_headers(headers) | {b"content-length", LOAD}
    return tuple(item for item in headers if item[0] not in removed)


def keep_alive_ms(response: messages.Response) -> int | None:
    """Keep-alive time that the target gives as `timeout=N` in whole seconds, or None."""
    for part in (response.header(KEEP_ALIVE) or "").split(","):
        name, _, value = part.strip().partition("=")
        is_number = value.isdecimal() and len(value) <= proxy_headers.MAX_DIGITS
        if name.lower() == "timeout" and is_number:
            return int(value) * MS_PER_SECOND
    return None


def target_notice(response: messages.Response) -> header_codec.TargetNotice:
    """Limit, leave and load of the target; a limit that is no decimal number from 0 on is ignored,
    and so is a malformed load."""
    limit = leaving = load = None
    for name, value in response.headers:
        if name == LIMIT and limit is None:
            limit = value.decode("latin-1")
        elif name == LEAVING and leaving is None:
            leaving = value.decode("latin-1")
        elif name == LOAD and load is None:
            load = _server_load(value)
    if limit is None and leaving is None and load is None:
        return NO_NOTICE
    return header_codec.TargetNotice(_requests_per_second(limit or ""), leaving == "1", load)


def _server_load(value: bytes) -> header_codec.ServerLoad | None:
    """Load of a target, or None if the header is malformed."""
    found = LOAD_FORM.fullmatch(value)
    if found is None:
        return None
    *counts, percent = found.groups()
    pace = None if percent is None else float(percent) / USUAL_PACE
    if pace == 0:
        return None
    return header_codec.ServerLoad(*map(int, counts), pace)


def _requests_per_second(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def error_response(
    error: errors.CallError, call_id: str, retry_ms: int | None
) -> messages.Response:
    """Response that the node generates itself."""
    headers = [(b"content-type", b"text/plain"), (CALL_ID, call_id.encode("latin-1", "replace"))]
    if retry_ms is not None:
        headers.append((b"retry-after", b"%.3f" % (retry_ms / MS_PER_SECOND)))
    return messages.Response(error.response.status, tuple(headers), error.body)


HEADER_CODEC = header_codec.HeaderCodec(
    read_head,
    api_key,
    forwarded_headers,
    target_headers,
    classify,
    caller_headers,
    keep_alive_ms,
    target_notice,
    error_response,
)
