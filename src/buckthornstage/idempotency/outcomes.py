"""Which keys ran at this node incarnation, and what came of them.

A key is running, held with its outcome, or bare (known to have run, outcome no longer held). A key
is never forgotten while any node would accept it; a full table refuses new keys instead.
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
MAX_KEYS = 500_000  # 65 MB as bare keys: 129 bytes each in buckthornstage.bench.claims
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
    """The caller of `begin` runs the call now and reports by `finish` or `abandon`."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """The call is running; its result answers this repeat too."""


@dataclasses.dataclass(frozen=True)
class Completed:
    """The call ran before; this is its result."""

    result: Result


@dataclasses.dataclass(frozen=True)
class _Held:
    """An outcome that is held until `until_ms`; `size` counts towards the bound in bytes."""

    key: keys.Key
    fingerprint: int
    result: Result
    until_ms: int
    size: int


def fingerprint(request: messages.Request) -> int:
    """32-bit hash of method, target and body; a repeat has the same."""
    hasher = xxhash.xxh3_64()
    for part in (request.method.encode(), request.target.encode(), request.body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.intdigest() & 0xFFFFFFFF


class OutcomeTable:
    """Outcomes for `outcome_ms`, bare keys until they expire for every node.

    All times are the wall time that `keys.parse` gets on this node; it must never run backwards.
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
        self.held: collections.OrderedDict[bytes, _Held] = collections.OrderedDict()
        self.held_bytes = 0
        self.bare: dict[int, dict[bytes, int]] = {}
        self.bare_count = 0

    def __len__(self) -> int:
        """Number of keys in any state."""
        return len(self.running) + len(self.held) + self.bare_count

    def knows(self, key: keys.Key) -> bool:
        """Whether the key is running here or ran here, so that this node owns it."""
        return (
            key.identity in self.running
            or key.identity in self.held
            or key.identity in self.bare.get(key.created_ms // BUCKET_MS, ())
        )

    def begin(self, key: keys.Key, request_fingerprint: int, now_ms: int) -> Run | Wait | Completed:
        """Says what to do with a call that this node owns.

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
                    errors.ErrorKind.OVERLOADED, f"this node already holds {len(self)} keys"
                )
            self.running[key.identity] = request_fingerprint
            return Run()
        if known != request_fingerprint:
            raise errors.CallError(errors.ErrorKind.KEY_REUSED)
        if key.identity in self.running:
            return Wait()
        if key.identity in self.held:
            return Completed(self.held[key.identity].result)
        return Completed(Failure(errors.ErrorKind.OUTCOME_FORGOTTEN))

    def finish(self, key: keys.Key, result: Result, now_ms: int) -> None:
        """The running call ended, or may have run; its result answers every repeat."""
        known = self.running.pop(key.identity)
        size = _size(result)
        until_ms = now_ms + self.outcome_ms
        self.held[key.identity] = _Held(key, known, result, until_ms, size)
        self.held_bytes += size
        while len(self.held) > self.max_outcomes or self.held_bytes > self.max_outcome_bytes:
            self._forget_oldest()

    def abandon(self, key: keys.Key) -> None:
        """The running call provably did not run; a repeat starts afresh."""
        del self.running[key.identity]

    def _fingerprint(self, key: keys.Key) -> int | None:
        if key.identity in self.running:
            return self.running[key.identity]
        if key.identity in self.held:
            return self.held[key.identity].fingerprint
        return self.bare.get(key.created_ms // BUCKET_MS, {}).get(key.identity)

    def _expire(self, now_ms: int) -> None:
        while self.held and next(iter(self.held.values())).until_ms <= now_ms:
            self._forget_oldest()
        kept_from_ms = now_ms - self.key_window_ms - keys.KEEP_MARGIN_MS
        for bucket in [b for b in self.bare if (b + 1) * BUCKET_MS <= kept_from_ms]:
            self.bare_count -= len(self.bare.pop(bucket))

    def _forget_oldest(self) -> None:
        identity, held = self.held.popitem(last=False)
        self.held_bytes -= held.size
        self.bare.setdefault(held.key.created_ms // BUCKET_MS, {})[identity] = held.fingerprint
        self.bare_count += 1


def _size(result: Result) -> int:
    if isinstance(result, Failure):
        return RESPONSE_OVERHEAD_BYTES + len(result.detail)
    headers = sum(len(name) + len(value) for name, value in result.headers)
    return RESPONSE_OVERHEAD_BYTES + headers + len(result.body)
