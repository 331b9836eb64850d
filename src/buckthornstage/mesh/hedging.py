"""Hedged attempts for calls whose peer is silent: no datagrams of it are received, while its
connections may still work."""

import collections
import contextlib
from collections.abc import Awaitable, Callable, Iterator

import trio

from buckthornstage.link import frames
from buckthornstage.mesh import ingress


class SilentPeerWatch:
    """Callbacks of the calls that wait for a peer, run while it is silent."""

    def __init__(self) -> None:
        self.waiting: dict[str, set[Callable[[], None]]] = collections.defaultdict(set)

    def notify(self, address: str) -> None:
        """Runs the callbacks for this peer; may be called again while it is silent."""
        for on_silent in tuple(self.waiting.get(address, ())):
            on_silent()

    @contextlib.contextmanager
    def watching(self, address: str, on_silent: Callable[[], None]) -> Iterator[None]:
        """Calls `on_silent()` while the block runs and the peer is silent."""
        callbacks = self.waiting[address]
        callbacks.add(on_silent)
        try:
            yield
        finally:
            callbacks.discard(on_silent)


async def first_response(
    watch: SilentPeerWatch,
    address: str,
    attempt: Callable[[], Awaitable[ingress.Outcome]],
    hedge: Callable[[], Awaitable[frames.Response | None]],
) -> ingress.Outcome:
    """Outcome of `attempt()`, or a successful response of `hedge()`.

    `hedge()` runs, once at a time, while the peer at `address` is silent. The first attempt stays
    open meanwhile: its target may be running the call, and may still respond. A failure of the
    first attempt is returned only after the open hedge has ended without a success.
    """
    hedge_response: frames.Response | None = None
    is_hedging = False
    first = trio.CancelScope()
    async with trio.open_nursery() as nursery:

        async def run_hedge() -> None:
            nonlocal hedge_response, is_hedging
            hedge_response = await hedge()
            is_hedging = False
            if hedge_response is not None:
                first.cancel()

        def on_silent() -> None:
            nonlocal is_hedging
            if not is_hedging and hedge_response is None:
                is_hedging = True
                nursery.start_soon(run_hedge)

        with watch.watching(address, on_silent), first:
            outcome = await attempt()
            if ingress.is_success(outcome):
                nursery.cancel_scope.cancel()
    return outcome if hedge_response is None else hedge_response
