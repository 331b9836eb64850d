"""Table of the keys that ran at this node incarnation, with their outcomes.

A key is running, stored with its outcome, or evicted (it ran; the outcome is dropped, but the key
and its fingerprint are kept). A key is never dropped while any node would accept it; a full table
refuses new keys instead.
"""

import collections
import dataclasses

import xxhash

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import keys

OUTCOME_MS = 600_000
MAX_OUTCOMES = 10_000
MAX_OUTCOME_BYTES = 32 << 20
MAX_KEYS = 500_000  # 65 MB without outcomes: 129 bytes a key in buckthornstage.bench.claims
BUCKET_MS = 3_600_000
RESPONSE_OVERHEAD_BYTES = 512


@dataclasses.dataclass(frozen=True)
class Failure:
    """A call that ended with an error response of this kind."""

    kind: errors.ErrorKind
    detail: str = ""


Result = messages.Response | Failure


@dataclasses.dataclass(frozen=True)
class Run:
    """The caller of `begin` must run the call and then call `finish` or `abandon`."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """The call is running; this repeat gets its result as well."""


@dataclasses.dataclass(frozen=True)
class Completed:
    """The call ran before; this is its result."""

    result: Result


@dataclasses.dataclass(frozen=True)
class _StoredOutcome:
    """An outcome that is stored until `expires_ms`; `size` counts towards `max_outcome_bytes`."""

    key: keys.Key
    fingerprint: int
    result: Result
    expires_ms: int
    size: int


def fingerprint(request: messages.Request) -> int:
    """32-bit hash of method, target and body, which are the same in a repeat."""
    hasher = xxhash.xxh3_64()
    for part in (request.method.encode(), request.target.encode(), request.body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.intdigest() & 0xFFFFFFFF


class OutcomeTable:
    """Keeps outcomes for `outcome_ms`, and keys until they have expired on every node.

    All times are the wall time that `keys.parse` gets on this node; it must never go backwards.
    """

    def __init__(
        self,
        outcome_ms: int = OUTCOME_MS,
        key_window_ms: int = keys.KEY_WINDOW_MS,
        max_outcomes: int = MAX_OUTCOMES,
        max_outcome_bytes: int = MAX_OUTCOME_BYTES,
        max_keys: int = MAX_KEYS,
    ) -> None:
        self.outcome_ms = outcome_ms
        self.key_window_ms = key_window_ms
        self.max_outcomes = max_outcomes
        self.max_outcome_bytes = max_outcome_bytes
        self.max_keys = max_keys
        self.running: dict[bytes, int] = {}
        self.stored: collections.OrderedDict[bytes, _StoredOutcome] = collections.OrderedDict()
        self.stored_bytes = 0
        self.evicted: dict[int, dict[bytes, int]] = {}
        self.evicted_count = 0

    def __len__(self) -> int:
        """Number of keys in any state."""
        return len(self.running) + len(self.stored) + self.evicted_count

    def knows(self, key: keys.Key) -> bool:
        """Whether the key is running or has run here, which means that this node owns it."""
        return (
            key.identity in self.running
            or key.identity in self.stored
            or key.identity in self.evicted.get(key.created_ms // BUCKET_MS, ())
        )

    def begin(self, key: keys.Key, request_fingerprint: int, now_ms: int) -> Run | Wait | Completed:
        """Decides how to handle a call whose key this node owns.

        Raises CallError: `key_expired`, `key_reused` for a different request, and `overloaded`
        when the table is full and the key is new.
        """
        self._expire(now_ms)
        if now_ms - key.created_ms > self.key_window_ms:
            raise errors.CallError(errors.ErrorKind.KEY_EXPIRED)
        known = self._fingerprint(key)
        if known is None:
            if len(self) >= self.max_keys:
                raise errors.CallError(
                    errors.ErrorKind.OVERLOADED,
                    f"the key table of this node is full: {len(self)} keys",
                )
            self.running[key.identity] = request_fingerprint
            return Run()
        if known != request_fingerprint:
            raise errors.CallError(errors.ErrorKind.KEY_REUSED)
        if key.identity in self.running:
            return Wait()
        if key.identity in self.stored:
            return Completed(self.stored[key.identity].result)
        return Completed(Failure(errors.ErrorKind.OUTCOME_FORGOTTEN))

    def finish(self, key: keys.Key, result: Result, now_ms: int) -> None:
        """Stores the result of a call that ran or may have run; every repeat gets it."""
        known = self.running.pop(key.identity)
        size = _size(result)
        expires_ms = now_ms + self.outcome_ms
        self.stored[key.identity] = _StoredOutcome(key, known, result, expires_ms, size)
        self.stored_bytes += size
        while len(self.stored) > self.max_outcomes or self.stored_bytes > self.max_outcome_bytes:
            self._evict_oldest()

    def abandon(self, key: keys.Key) -> None:
        """Drops the key of a call that provably did not run; a repeat may run it."""
        del self.running[key.identity]

    def _fingerprint(self, key: keys.Key) -> int | None:
        if key.identity in self.running:
            return self.running[key.identity]
        if key.identity in self.stored:
            return self.stored[key.identity].fingerprint
        return self.evicted.get(key.created_ms // BUCKET_MS, {}).get(key.identity)

    def _expire(self, now_ms: int) -> None:
        while self.stored and next(iter(self.stored.values())).expires_ms <= now_ms:
            self._evict_oldest()
        kept_from_ms = now_ms - self.key_window_ms - keys.RETENTION_MARGIN_MS
        for bucket in [b for b in self.evicted if (b + 1) * BUCKET_MS <= kept_from_ms]:
            self.evicted_count -= len(self.evicted.pop(bucket))

    def _evict_oldest(self) -> None:
        identity, stored = self.stored.popitem(last=False)
        self.stored_bytes -= stored.size
        self.evicted.setdefault(stored.key.created_ms // BUCKET_MS, {})[
            identity
        ] = stored.fingerprint
        self.evicted_count += 1


def _size(result: Result) -> int:
    if isinstance(result, Failure):
        return RESPONSE_OVERHEAD_BYTES + len(result.detail)
    headers = sum(len(name) + len(value) for name, value in result.headers)
    return RESPONSE_OVERHEAD_BYTES + headers + len(result.body)
