"""Headers of a keyed call that one node forwards to the node that owns its key.

`buckthornstage-forwarded: 1` marks the request. `buckthornstage-owner` names the intended
incarnation, with an HMAC by the mesh secret that proves that a node of the mesh chose it; a caller
that forged these headers could otherwise have one key run at two nodes. The owner marks its
response, so that the sender can tell it from a refusal made before the owner checked the key.
"""

import dataclasses
import hashlib
import hmac

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import claims
from buckthornstage.proxy import headers

FORWARDED_HEADER = b"buckthornstage-forwarded"
OWNER_HEADER = b"buckthornstage-owner"
OWNER_RESPONSE_HEADER = b"buckthornstage-owner-answer"
MAC_BYTES = 16


def wrap(
    request: messages.Request, key_text: str, owner: claims.Owner, secret: bytes
) -> messages.Request:
    """The request with the headers for the owner added."""
    proof = f"{owner.node}.{owner.incarnation}.{_mac(key_text, owner, secret)}"
    marked = with_header(request, FORWARDED_HEADER, "1")
    # The key is sent in its canonical form, which the HMAC covers.
    marked = with_header(marked, b"idempotency-key", key_text)
    return with_header(marked, OWNER_HEADER, proof)


def unwrap(request: messages.Request) -> messages.Request:
    """The request without the headers of `wrap`, as it is sent to the target."""
    internal = (FORWARDED_HEADER, OWNER_HEADER)
    kept = tuple(pair for pair in request.headers if pair[0] not in internal)
    return dataclasses.replace(request, headers=kept)


def check(
    request: messages.Request, key_text: str, self_owner: claims.Owner, secret: bytes
) -> None:
    """Checks that a forwarded request is meant for this incarnation.

    Raises CallError, always "may have run": `owner_lost` for an older incarnation of this node,
    and `owner_unreachable` for another node, a newer incarnation or a wrong HMAC.
    """
    node, incarnation, mac = ((request.header(OWNER_HEADER) or "").split(".") + ["", "", ""])[:3]
    intended = claims.Owner(node, int(incarnation) if _is_number(incarnation) else 0)
    if not hmac.compare_digest(mac.encode(), _mac(key_text, intended, secret).encode()):
        raise errors.CallError(
            errors.ErrorKind.OWNER_UNREACHABLE, "the HMAC of a forwarded request is wrong"
        )
    if intended == self_owner:
        return
    if intended.node == self_owner.node and intended.incarnation < self_owner.incarnation:
        raise errors.CallError(
            errors.ErrorKind.OWNER_LOST, f"incarnation {intended.incarnation} of {self_owner.node}"
        )
    raise errors.CallError(
        errors.ErrorKind.OWNER_UNREACHABLE,
        f"{self_owner.node} was reached, but not the intended incarnation of {intended.node}",
    )


def mark(response: messages.Response) -> messages.Response:
    """The response, marked as made by the owner after it checked the key."""
    fields = (*response.headers, (OWNER_RESPONSE_HEADER, b"1"))
    return dataclasses.replace(response, headers=fields)


def unmark(response: messages.Response) -> messages.Response:
    """The response without the owner's mark."""
    fields = tuple(pair for pair in response.headers if pair[0] != OWNER_RESPONSE_HEADER)
    return dataclasses.replace(response, headers=fields)


def is_conclusive(response: messages.Response) -> bool:
    """Whether the response is valid for the key: all but a "not run" without the owner's mark."""
    if response.header(headers.OUTCOME) != errors.Outcome.NOT_RUN:
        return True
    return response.header(OWNER_RESPONSE_HEADER) is not None


def with_header(request: messages.Request, name: bytes, value: str) -> messages.Request:
    """The request with exactly one header `name` (lower case), of this value."""
    kept = tuple(pair for pair in request.headers if pair[0] != name)
    return dataclasses.replace(request, headers=(*kept, (name, value.encode())))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= 19


def _mac(key_text: str, owner: claims.Owner, secret: bytes) -> str:
    text = f"forwarded {owner.node} {owner.incarnation} {key_text}"
    return hmac.digest(secret, text.encode(), hashlib.sha256)[:MAC_BYTES].hex()
