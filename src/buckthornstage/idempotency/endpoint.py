"""Handler of `POST /buckthornstage/keys`."""

import msgspec

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import keys

PATH = "/buckthornstage/keys"


def issue_key(
    request: messages.Request,
    issuer: keys.KeyIssuer,
    now_ms: int,
    key_window_ms: int = keys.KEY_WINDOW_MS,
) -> messages.Response:
    """Response 201 with `{"key": TEXT, "expires_ms": wall time}`; `now_ms` is wall time.

    Raises CallError `method_not_allowed` for any other method than POST.
    """
    if request.method != "POST":
        raise errors.CallError(errors.ErrorKind.METHOD_NOT_ALLOWED, f"{PATH} accepts POST only")
    body = {"key": issuer.issue(now_ms), "expires_ms": now_ms + key_window_ms}
    headers = ((b"content-type", b"application/json"), (b"cache-control", b"no-store"))
    return messages.Response(201, headers, msgspec.json.encode(body))
