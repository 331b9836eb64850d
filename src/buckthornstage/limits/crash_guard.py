"""Refuses requests that crashed several targets, so that one request cannot crash a service."""

import collections
from collections.abc import Iterable

import xxhash

MEMORY_MS = 600_000
MAX_FINGERPRINTS = 10_000  # about 3 MB; the one whose last crash is oldest is evicted
MAX_REFUTED = 1_000  # fingerprints
MAX_DEATHS = 100  # the largest crash_limit that a section may set

TargetIdentity = tuple[str, int]


def fingerprint(method: str, path_and_query: str, body: bytes) -> str:
    """Fingerprint of a request: 32 hex digits over method, path with query, and body."""
    digest = xxhash.xxh3_128(f"{method} {path_and_query}\n".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashGuard:
    """Crashes of target incarnations by fingerprint, observed here or reported by peers.

    A request that a target has answered does not crash its targets: it was only in flight when they
    ended. The crashes that it was blamed for until then are refuted, also as reports of peers.
    """

    def __init__(self) -> None:
        self.deaths: collections.OrderedDict[str, dict[TargetIdentity, int]]
        self.deaths = collections.OrderedDict()
        self.refuted: collections.OrderedDict[str, dict[TargetIdentity, None]]
        self.refuted = collections.OrderedDict()
        """Crashes that later reports do not count again, newest last."""

    def record(self, fingerprint: str, target: TargetIdentity, now_ms: int) -> bool:
        """Records the crash of a target (address, incarnation); False if it is already known or
        refuted."""
        if target in self.refuted.get(fingerprint, ()):
            return False
        targets = self.deaths.setdefault(fingerprint, {})
        self.deaths.move_to_end(fingerprint)
        is_new = target not in targets or now_ms - targets[target] >= MEMORY_MS
        if is_new and len(targets) < MAX_DEATHS:
            targets[target] = now_ms
        while len(self.deaths) > MAX_FINGERPRINTS:
            self.deaths.popitem(last=False)
        return is_new

    def clear(self, fingerprint: str) -> None:
        """Refutes all crashes of a request that a target has answered completely."""
        self.refute(fingerprint, self.deaths.get(fingerprint, ()))

    def refute(self, fingerprint: str, targets: Iterable[TargetIdentity]) -> None:
        """Removes crashes that the request did not cause, for good."""
        already = self.refuted.get(fingerprint, {})
        added = dict.fromkeys(target for target in targets if target not in already)
        if not added:
            return
        self.refuted[fingerprint] = {**already, **added}
        self.refuted.move_to_end(fingerprint)
        while len(self.refuted) > MAX_REFUTED:
            self.refuted.popitem(last=False)
        known = self.deaths.get(fingerprint, {})
        for target in added.keys() & known.keys():
            del known[target]
        if not known:
            self.deaths.pop(fingerprint, None)

    def is_refused(self, fingerprint: str, crash_limit: int, now_ms: int) -> bool:
        """Whether the request crashed >= `crash_limit` incarnations in the last 10 minutes."""
        targets = self.deaths.get(fingerprint)
        if targets is None:
            return False
        expired = [
            key for key, crashed_at_ms in targets.items() if now_ms - crashed_at_ms >= MEMORY_MS
        ]
        for key in expired:
            del targets[key]
        if not targets:
            del self.deaths[fingerprint]
        return len(targets) >= crash_limit
