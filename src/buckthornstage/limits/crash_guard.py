"""Refuses requests that crashed several targets, so that one request cannot crash a service."""

import collections

import xxhash

MEMORY_MS = 600_000
MAX_FINGERPRINTS = 10_000  # about 3 MB; the one whose last crash is oldest is evicted
MAX_DEATHS = 100  # the largest crash_limit that a section may set

TargetIdentity = tuple[str, int]


def fingerprint(method: str, path_and_query: str, body: bytes) -> str:
    """Fingerprint of a request: 32 hex digits over method, path with query, and body."""
    digest = xxhash.xxh3_128(f"{method} {path_and_query}\n".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashGuard:
    """Crashes of target incarnations by fingerprint, observed here or reported by peers."""

    def __init__(self) -> None:
        self.deaths: collections.OrderedDict[str, dict[TargetIdentity, int]]
        self.deaths = collections.OrderedDict()

    def record(self, fingerprint: str, target: TargetIdentity, now_ms: int) -> bool:
        """Records the crash of a target (address, incarnation); False if it is already known."""
        targets = self.deaths.setdefault(fingerprint, {})
        self.deaths.move_to_end(fingerprint)
        is_new = target not in targets or now_ms - targets[target] >= MEMORY_MS
        if is_new and len(targets) < MAX_DEATHS:
            targets[target] = now_ms
        while len(self.deaths) > MAX_FINGERPRINTS:
            self.deaths.popitem(last=False)
        return is_new

    def clear(self, fingerprint: str) -> None:
        """Removes the crashes of a request that a target has answered completely.

        A request that was merely in flight when several targets crashed together must not stay
        refused.
        """
        if self.deaths:
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
