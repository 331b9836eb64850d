"""Attempts beside one whose peer has fallen silent."""

import collections
import contextlib
from collections.abc import Awaitable, Callable, Iterator

import trio

from buckthornstage.link import frames
from buckthornstage.mesh import ingress


class UnresponsivePeerWatch:
    """Callbacks of the calls that wait for a peer, for the time that it is silent."""

    def __init__(self) -> None:
        self.waiting: dict[str, set[Callable[[], None]]] = collections.defaultdict(set)

    def notify(self, address: str) -> None:
        """Tells the calls that wait for this peer; may be said again while it is silent."""
        for on_silence in tuple(self.waiting.get(address, ())):
            on_silence()

    @contextlib.contextmanager
    def watching(self, address: str, on_silence: Callable[[], None]) -> Iterator[None]:
        """Calls `on_silence()` while the block runs and the peer is silent."""
        callbacks = self.waiting[address]
        callbacks.add(on_silence)
        try:
            yield
        finally:
            callbacks.discard(on_silence)


async def first_response(
    watch: UnresponsivePeerWatch,
    address: str,
    ask: Callable[[], Awaitable[ingress.Outcome]],
    ask_beside: Callable[[], Awaitable[frames.Response | None]],
) -> ingress.Outcome:
    """Outcome of `ask()`, or a better one that `ask_beside()` has brought.

    `ask_beside()` runs, once at a time, while the peer at `address` is silent. The first attempt
    stays open meanwhile: its target may be at work, and its response may still come. A failure of
    it is returned when nothing beside it is open any more.
    """
    other: frames.Response | None = None
    is_asking = False
    first = trio.CancelScope()
    async with trio.open_nursery() as nursery:

        async def run_beside() -> None:
            nonlocal other, is_asking
            other = await ask_beside()
            is_asking = False
            if other is not None:
                first.cancel()

        def on_silence() -> None:
            nonlocal is_asking
            if not is_asking and other is None:
                is_asking = True
                nursery.start_soon(run_beside)

        with watch.watching(address, on_silence), first:
            outcome = await ask()
            if ingress.is_success(outcome):
                nursery.cancel_scope.cancel()
    return outcome if other is None else other
