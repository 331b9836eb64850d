"""How late the loop of a process of the soak was."""

import trio

from buckthornstage import clock as clocks

POLL_MS = 50


class LoopLag:
    """Longest time in ms by which a sleeping task woke up late."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.longest_ms = 0

    async def measure(self) -> None:
        """Measures until cancelled."""
        while True:
            due_ms = self.clock.now_ms() + POLL_MS
            await trio.sleep(POLL_MS / 1_000)
            self.longest_ms = max(self.longest_ms, self.clock.now_ms() - due_ms)
