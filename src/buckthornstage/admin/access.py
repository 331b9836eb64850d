"""Authentication and rights of the administration API."""

import dataclasses
import enum
import hmac

from buckthornstage.http import messages

READ_ONLY = "read-only"


class Right(enum.Enum):
    """Right that an endpoint requires; LOCAL accepts requests from the node's own host only."""

    LOCAL = "local"
    READ = "read"
    OPERATE = "operate"


@dataclasses.dataclass(frozen=True)
class Principal:
    """Authenticated caller; `team` is "read-only" for tokens without team rights."""

    team: str

    def has_right(self, right: Right) -> bool:
        """Whether this caller has the right."""
        return right is Right.READ or (right is Right.OPERATE and self.team != READ_ONLY)


def authenticate(request: messages.Request, tokens: dict[str, str]) -> Principal | None:
    """Returns the caller named by `authorization: Bearer TOKEN`, or None."""
    scheme, _, token = (request.header(b"authorization") or "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    # Compares every token in constant time, so that response times reveal nothing about them.
    matches = [
        team
        for known, team in tokens.items()
        if hmac.compare_digest(known.encode(), token.encode())
    ]
    return Principal(matches[0]) if matches else None
