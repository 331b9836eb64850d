"""Hedged attempts for calls whose peer is silent, or whose connection is stalled.

No datagrams of a silent peer are received, while its connections may still work. A stalled
connection no longer works, while the peer may be heard.
"""

import collections
from collections.abc import Awaitable, Callable

import logbook
import trio

from buckthornstage.link import frames
from buckthornstage.mesh import ingress

log = logbook.Logger("hedging")


class SilentPeerWatch:
    """Callbacks of the calls that wait for a peer, run while it is silent or the call's connection
    is stalled."""

    def __init__(self) -> None:
        self.waiting: dict[str, dict[Callable[[], None], Callable[[], bool]]] = (
            collections.defaultdict(dict)
        )

    def notify(self, address: str) -> None:
        """Runs the callbacks for this peer; may be called again while it is silent."""
        for on_silent in tuple(self.waiting.get(address, ())):
            on_silent()

    def notify_stalled(self) -> None:
        """Runs the callbacks of the calls whose connections are stalled; to be called regularly."""
        calls = [call for waiting in self.waiting.values() for call in waiting.items()]
        for on_silent, is_stalled in calls:
            if is_stalled():
                on_silent()

    def add(
        self, address: str, on_silent: Callable[[], None], is_stalled: Callable[[], bool]
    ) -> None:
        """Calls `on_silent()` from now on while the peer is silent or `is_stalled()`."""
        self.waiting[address][on_silent] = is_stalled

    def remove(self, address: str, on_silent: Callable[[], None]) -> None:
        """Ends what `add` began."""
        self.waiting[address].pop(on_silent, None)


class _Hedge:
    """Runs `hedge()` beside the first attempt, once at a time.

    It needs a task only while the peer is silent; a nursery for each call would cost a turn of the
    event loop.
    """

    def __init__(self, hedge: Callable[[], Awaitable[frames.Response | None]]) -> None:
        self.hedge = hedge
        self.first_scope = trio.CancelScope()
        """Cancelled when the hedge has a response."""
        self.response: frames.Response | None = None
        self.has_broken = False
        """Whether a hedge ended with an internal error; no further one begins."""
        self.scope: trio.CancelScope | None = None
        """Of the running hedge, or None."""
        self.ended = trio.Event()

    def start(self) -> None:
        """Starts a hedge unless one is running, has a response or ended with an error."""
        if self.scope is None and self.response is None and not self.has_broken:
            self.scope = trio.CancelScope()
            self.ended = trio.Event()
            trio.lowlevel.spawn_system_task(self._run, self.scope)

    async def _run(self, scope: trio.CancelScope) -> None:
        try:
            with scope:
                self.response = await self.hedge()
        except Exception:
            # The first attempt goes on, since its target may be at work.
            self.has_broken = True
            log.exception("a hedge ended with an internal error")
        finally:
            self.scope = None
            self.ended.set()
        if self.response is not None:
            self.first_scope.cancel()

    def cancel(self) -> None:
        """Abandons a running hedge."""
        if self.scope is not None:
            self.scope.cancel()

    async def wait(self) -> None:
        """Waits for a running hedge."""
        if self.scope is not None:
            await self.ended.wait()


async def first_response(
    watch: SilentPeerWatch,
    address: str,
    attempt: Callable[[], Awaitable[ingress.Outcome]],
    hedge: Callable[[], Awaitable[frames.Response | None]],
    is_stalled: Callable[[], bool] = lambda: False,
) -> ingress.Outcome:
    """Outcome of `attempt()`, or a successful response of `hedge()`.

    `hedge()` runs, once at a time, while the peer at `address` is silent or the connection of the
    attempt `is_stalled()`. The first attempt stays open meanwhile: its target may be running the
    call, and may still respond. A failure of the first attempt is returned only after the open
    hedge has ended without a success; none begins after the failure, as nobody would wait for it.
    """
    running = _Hedge(hedge)
    outcome: ingress.Outcome | None = None
    on_silent = running.start
    watch.add(address, on_silent, is_stalled)
    try:
        try:
            with running.first_scope:
                outcome = await attempt()
        finally:
            watch.remove(address, on_silent)
        if not frames.is_success(outcome):
            await running.wait()
    finally:
        running.cancel()
    return outcome if running.response is None else running.response
