"""Who may call which part of the administration API."""

import dataclasses
import enum
import hmac

from buckthornstage.http import messages

READ_ONLY = "read-only"


class Right(enum.Enum):
    """What a route of the administration API asks of its caller."""

    LOCAL = "local"
    READ = "read"
    OPERATE = "operate"


@dataclasses.dataclass(frozen=True)
class Principal:
    """Authenticated caller; `team` is "read-only" for tokens without team rights."""

    team: str

    def may(self, right: Right) -> bool:
        """Whether this caller has the right."""
        return right is Right.READ or (right is Right.OPERATE and self.team != READ_ONLY)


def authenticate(request: messages.Request, tokens: dict[str, str]) -> Principal | None:
    """Returns the caller named by `authorization: Bearer TOKEN`, or None."""
    scheme, _, token = (request.header(b"authorization") or "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    # Every token is compared in constant time, so that timing tells nothing about any of them.
    matches = [
        team
        for known, team in tokens.items()
        if hmac.compare_digest(known.encode(), token.encode())
    ]
    return Principal(matches[0]) if matches else None
