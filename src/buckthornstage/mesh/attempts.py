"""Attempts of one call that are open at the same time.

Another one starts beside the first when the first one's peer falls silent. The first stays open:
its target may be at work, and its answer may still come.
"""

import collections
import math
from collections.abc import Awaitable, Callable

import trio

from buckthornstage.mesh import door as doors
from buckthornstage.routing import doors as choice


class SilenceWatch:
    """Attempts that wait for a peer and want to know when it falls silent."""

    def __init__(self) -> None:
        self.waiting: dict[str, set[Attempts]] = collections.defaultdict(set)

    def fell_silent(self, address: str) -> None:
        """Tells the attempts that wait for this peer."""
        for attempts in tuple(self.waiting.get(address, ())):
            attempts.fell_silent(address)


class Attempts:
    """The open attempts; `ask` makes one. Without a `watch` silence is not noticed."""

    def __init__(
        self,
        nursery: trio.Nursery,
        ask: Callable[[choice.Candidate], Awaitable[doors.Outcome]],
        watch: SilenceWatch | None,
    ) -> None:
        self.nursery = nursery
        self.ask = ask
        self.watch = watch
        self.open: set[str] = set()
        self.silent: set[str] = set()
        self.send_outcome, self.outcomes = trio.open_memory_channel(math.inf)

    def start(self, door: choice.Candidate) -> None:
        """Begins an attempt at a door that was not asked before."""
        self.open.add(door.key)
        self.nursery.start_soon(self._run, door)

    async def next_outcome(self) -> doors.Outcome | None:
        """Outcome of an attempt, or None when the peers of all open ones are silent."""
        while True:
            key, outcome = await self.outcomes.receive()
            if outcome is not None:
                self.open.discard(key)
                return outcome
            if key in self.open:
                self.silent.add(key)
                if self.open <= self.silent:
                    return None

    def fell_silent(self, key: str) -> None:
        """Notes that the peer of an attempt is silent; may be said again while it is."""
        self.send_outcome.send_nowait((key, None))

    async def _run(self, door: choice.Candidate) -> None:
        watched = set() if self.watch is None else self.watch.waiting[door.key]
        watched.add(self)
        try:
            outcome = await self.ask(door)
        finally:
            watched.discard(self)
        self.send_outcome.send_nowait((door.key, outcome))
