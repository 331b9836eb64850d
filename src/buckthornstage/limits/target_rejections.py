"""Detects a target that rejects calls although it has free slots, and when it accepts them again.

After a few rejections in a row the target gets trials only: one call at a time, at rising
intervals. A rejection arrives much sooner than a response, so a trial that is not rejected for a
while counts as accepted before its response.
"""

import math
from collections.abc import Iterable

CLOSE_AFTER = 12
"""Rejections in a row. A target that rejects half of its calls still serves the other half: in the
model (`bench.rejection_model`, all reject half, load 1.3) 0.54 of the calls were served with 4,
0.74 with 8, 0.75 with 12, and 0.75 without closing. One that rejects all loses 12 calls."""
FIRST_INTERVAL_MS = 25.0
MAX_INTERVAL_MS = 250.0
INTERVAL_FACTOR = 1.5
"""Growth of the time between trials; targets were seen to reject for 8.5 s."""
MIN_PROOF_MS = 20
"""Least time after which a trial counts as accepted; a rejection takes a few ms."""
PROOF_FACTOR = 3.0
"""The same as a multiple of the time that the latest rejections took."""
UNTRIED_MS = 1_000
"""A target whose trial has been due for so long gets calls as others do: no caller near it may have
calls for it, and callers far away do not try it."""
REJECT_SMOOTHING = 0.3
SMOOTHING = 0.08  # weight of the newest outcome, as in the ingress's success rate


class TargetRejections:
    """Rejections of one target; times are monotonic ms.

    `acceptance` is the recent share of the calls that the target accepted, without the trials that
    it rejected.
    """

    def __init__(self) -> None:
        self.acceptance = 1.0
        self.in_row = 0
        """Rejections since the last response to a call that was sent after them."""
        self.interval_ms = FIRST_INTERVAL_MS
        self.next_ms = 0.0
        """Time from which the next trial may start."""
        self.trial_ms: int | None = None
        """Start of the running trial."""
        self.rejected_start_ms = 0
        """Start of the last rejected call."""
        self.row_start_ms = 0
        """Start of the first call of the row."""
        self.reject_ms = 0.0
        """Time that rejections take."""
        self.is_failing = False
        """Whether the target was closed and has not responded to a call since."""
        self.told_ms = -math.inf
        """When peers were told last that the target is closed, or open again."""

    def is_closed(self, now_ms: int) -> bool:
        """Whether the target gets trials only."""
        if self.in_row < CLOSE_AFTER:
            return False
        if self.trial_ms is not None:
            is_over = now_ms - self.trial_ms >= self._proof_ms()
        else:
            is_over = now_ms - self.next_ms >= UNTRIED_MS
        if is_over:
            # One more rejection closes it again.
            self.in_row, self.trial_ms = CLOSE_AFTER - 1, None
        return not is_over

    def _proof_ms(self) -> float:
        return max(MIN_PROOF_MS, PROOF_FACTOR * self.reject_ms)

    def trial_wait_ms(self, now_ms: int) -> float:
        """Time until a closed target may get a trial."""
        if self.trial_ms is not None:
            return max(0.0, self.trial_ms + self._proof_ms() - now_ms)
        return max(0.0, self.next_ms - now_ms)

    def record_start(self, now_ms: int) -> None:
        """Counts a call that is sent now; it is a trial if the target is closed."""
        if self.in_row >= CLOSE_AFTER and self.is_closed(now_ms):
            self.trial_ms = now_ms

    def record_rejected(self, started_ms: int, now_ms: int, running_ms: Iterable[int]) -> bool:
        """Counts a rejection; returns whether it closes the target.

        `running_ms` are the starts of the other calls that run. A rejection takes little time, so
        one of them that started after the first rejection of the row and has run for longer is
        accepted, and the row ends.
        """
        self.reject_ms += REJECT_SMOOTHING * (now_ms - started_ms - self.reject_ms)
        self.rejected_start_ms = max(self.rejected_start_ms, started_ms)
        accepted_ms = now_ms - PROOF_FACTOR * self.reject_ms
        if self.in_row and any(self.row_start_ms <= start <= accepted_ms for start in running_ms):
            self.in_row = 0
        if not self.in_row:
            self.row_start_ms = started_ms
        if self.in_row >= CLOSE_AFTER:
            if self.trial_ms is not None and started_ms >= self.trial_ms:
                self._await_trial(now_ms)
            return False
        self.acceptance -= SMOOTHING * self.acceptance
        self.in_row += 1
        if self.in_row < CLOSE_AFTER:
            return False
        self._await_trial(now_ms)
        self.is_failing = True
        return True

    def _await_trial(self, now_ms: int) -> None:
        self.trial_ms = None
        self.next_ms = now_ms + self.interval_ms
        self.interval_ms = min(MAX_INTERVAL_MS, self.interval_ms * INTERVAL_FACTOR)

    def record_response(self, started_ms: int) -> bool:
        """Counts a call that the target has run; returns whether it ends a time of rejections."""
        self.acceptance += SMOOTHING * (1 - self.acceptance)
        if not self.in_row or started_ms < self.rejected_start_ms:
            return False
        self.in_row, self.trial_ms, self.interval_ms = 0, None, FIRST_INTERVAL_MS
        was_failing, self.is_failing = self.is_failing, False
        return was_failing
