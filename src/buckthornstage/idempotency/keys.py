"""Idempotency keys: keys issued by a node, and UUIDv7 keys made by a caller (RFC 9562)."""

import dataclasses
import hashlib
import hmac
import re
import secrets

from buckthornstage import errors

PREFIX = "bks1"
RANDOM_BYTES = 12
MAC_BYTES = 16
MAX_KEY_CHARACTERS = 200
KEY_WINDOW_MS = 86_400_000
MAX_FUTURE_MS = 60_000
# A UUIDv7 between MAX_FUTURE_MS and this bound ahead of this node's clock may have run at a node
# whose clock is ahead. The response is therefore "may have run".
MAX_UNCERTAIN_FUTURE_MS = 600_000
# Claims, and keys without a stored outcome, are kept this long beyond the key window. Every
# node then refuses a key made by a clock that is ahead as expired before any node drops it.
RETENTION_MARGIN_MS = 3_600_000

_UUID7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z")
_ISSUED = re.compile(
    r"bks1\.(?P<node>[a-z0-9][a-z0-9-]{0,62})\.(?P<incarnation>[0-9]{1,19})"
    r"\.(?P<issued_ms>[0-9]{1,19})\.(?P<random>[0-9a-f]{24})\.(?P<mac>[0-9a-f]{32})\Z"
)


@dataclasses.dataclass(frozen=True)
class Key:
    """A valid key. Tables are indexed by `identity` (16 bytes); `created_ms` is wall time."""

    text: str
    identity: bytes
    created_ms: int


@dataclasses.dataclass(frozen=True)
class IssuedKey(Key):
    """Key issued by a node; only the issuing incarnation may run the call."""

    node: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class CallerKey(Key):
    """UUIDv7 made by the caller; the first claim in the log decides who may run the call."""


def parse(
    text: str, now_ms: int, secret: bytes, key_window_ms: int = KEY_WINDOW_MS
) -> IssuedKey | CallerKey:
    """Parses a key and checks its age at `now_ms`, wall time that never goes backwards on a node.

    Raises CallError: `bad_key` for a text that is neither an issued key nor a UUIDv7, an HMAC not
    made with `secret` or a UUIDv7 far in the future; `key_expired` beyond the window;
    `owner_unreachable` for a UUIDv7 slightly in the future, which a node whose clock is ahead may
    have run. The double quotes of a structured header string are accepted.
    """
    unquoted = text.strip()
    if len(unquoted) >= 2 and unquoted[0] == unquoted[-1] == '"':
        unquoted = unquoted[1:-1]
    if len(unquoted) > MAX_KEY_CHARACTERS:
        raise errors.CallError(errors.ErrorKind.BAD_KEY, f"the key has {len(unquoted)} characters")
    key = _issued_key(unquoted, secret) or caller_key(unquoted)
    if key is None:
        raise errors.CallError(
            errors.ErrorKind.BAD_KEY, "the key is neither an issued key nor a UUIDv7"
        )
    check_age(key, now_ms, key_window_ms)
    return key


def check_age(key: Key, now_ms: int, key_window_ms: int = KEY_WINDOW_MS) -> None:
    """Raises a CallError for a key that is too old or too far in the future.

    An issued key may lie in the future: its HMAC proves that its issuer set the time, and only the
    issuer runs it, by its own clock.
    """
    if now_ms - key.created_ms > key_window_ms:
        raise errors.CallError(
            errors.ErrorKind.KEY_EXPIRED, f"the key is older than {key_window_ms} ms"
        )
    ahead_ms = key.created_ms - now_ms
    if isinstance(key, IssuedKey) or ahead_ms <= MAX_FUTURE_MS:
        return
    if ahead_ms <= MAX_UNCERTAIN_FUTURE_MS:
        raise errors.CallError(
            errors.ErrorKind.OWNER_UNREACHABLE, f"the key's time is {ahead_ms} ms in the future"
        )
    raise errors.CallError(
        errors.ErrorKind.BAD_KEY, "the key's time is in the future; correct the caller's clock"
    )


def caller_key(text: str) -> CallerKey | None:
    """The UUIDv7 in canonical lower case, or None for any other text; does not check its age."""
    canonical = text.lower()
    if not _UUID7.match(canonical):
        return None
    identity = bytes.fromhex(canonical.replace("-", ""))
    return CallerKey(canonical, identity, created_ms(identity))


def created_ms(identity: bytes) -> int:
    """Creation time of a UUIDv7 in ms since the Unix epoch."""
    return int.from_bytes(identity[:6], "big")


def _issued_key(text: str, secret: bytes) -> IssuedKey | None:
    match = _ISSUED.match(text)
    # The HMAC covers the text without the last dot and the 32 digits of the HMAC itself.
    if match is None or not hmac.compare_digest(match["mac"], _mac(match.string[:-33], secret)):
        return None
    identity = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return IssuedKey(
        text, identity, int(match["issued_ms"]), match["node"], int(match["incarnation"])
    )


def _mac(text: str, secret: bytes) -> str:
    return hmac.digest(secret, b"issued key " + text.encode(), hashlib.sha256)[:MAC_BYTES].hex()


@dataclasses.dataclass(frozen=True)
class KeyIssuer:
    """Issues keys that only one incarnation of one node may run."""

    node: str
    incarnation: int
    secret: bytes

    def issue(self, now_ms: int) -> str:
        """A new key, valid for the key window from the wall time `now_ms`."""
        random = secrets.token_hex(RANDOM_BYTES)
        text = f"{PREFIX}.{self.node}.{self.incarnation}.{now_ms}.{random}"
        return f"{text}.{_mac(text, self.secret)}"
