"""Attributes the crash of a target to the calls whose connections broke just before it."""

from buckthornstage.limits import crash_guard

CRASH_WINDOW_MS = 5_000
"""A broken call counts as a crash if its target refuses connections or restarts this soon."""


class BrokenCalls:
    """Calls whose connection to the target broke; times are monotonic ms."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, crash_guard.TargetIdentity, int]] = []

    def record(self, fingerprint: str, target: crash_guard.TargetIdentity, now_ms: int) -> None:
        """The connection of a call to this target broke."""
        self.calls.append((fingerprint, target, now_ms))

    def pop_crashes(self, ended: crash_guard.TargetIdentity, now_ms: int) -> list[str]:
        """Removes all calls; returns the fingerprints of those that may have crashed the target."""
        calls, self.calls = self.calls, []
        return [
            fingerprint
            for fingerprint, target, broken_ms in calls
            if target == ended and now_ms - broken_ms <= CRASH_WINDOW_MS
        ]
