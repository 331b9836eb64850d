"""Remembers refused calls, so that a caller who comes back when told to is served first."""

import collections

MEMORY_MS = 2_000  # callers come back within a third of their time, which is 1.5 s at most
MAX_CALLS = 4_000  # about 0.5 MB; the oldest go first


class Returns:
    """Fingerprints of refused calls with the time of the refusal."""

    def __init__(self) -> None:
        self.refused: collections.OrderedDict[str, int] = collections.OrderedDict()

    def refuse(self, fingerprint: str, now_ms: int) -> None:
        """A caller was told to come back."""
        self.refused[fingerprint] = now_ms
        self.refused.move_to_end(fingerprint)
        while len(self.refused) > MAX_CALLS:
            self.refused.popitem(last=False)

    def take(self, fingerprint: str, now_ms: int) -> bool:
        """Whether this call was refused a moment ago; it counts once."""
        refused_ms = self.refused.pop(fingerprint, None)
        return refused_ms is not None and now_ms - refused_ms <= MEMORY_MS
