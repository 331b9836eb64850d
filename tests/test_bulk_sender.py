"""Long bodies over one link, in virtual time: nothing depends on the speed of the machine."""

import types

import trio
import trio.testing

from buckthornstage.limits import link_pacer
from buckthornstage.link import bulk

BYTES_PER_MS = 744
ROUND_TRIP_MS = 3.5  # without the transfer
OLD_ROUND_TRIP_MS = 18.0  # the pacer's estimate before the first acknowledgement
BODY_BYTES = 90_112


class VirtualClock:
    """Clock of a node whose time is that of the trio run."""

    def now_ms(self):
        return trio.current_time() * 1000


class Link:
    """First-in, first-out link to several receivers."""

    def __init__(self, sender):
        self.sender = sender
        self.free_ms = 0.0
        self.idle_ms = 0.0

    async def deliver(self, outbox, frame, is_read):
        """Carries one chunk; a receiver that reads acknowledges it after the round trip."""
        now_ms = trio.current_time() * 1000
        self.idle_ms += max(0.0, now_ms - self.free_ms)
        self.free_ms = max(self.free_ms, now_ms) + len(frame.data) / BYTES_PER_MS
        if is_read:
            await trio.sleep_until((self.free_ms + ROUND_TRIP_MS) / 1000)
            self.sender.on_acknowledgement(outbox)


def test_a_frozen_receiver_leaves_the_link_to_others_when_the_round_trip_falls():
    # Guards against a window that shrinks while a frozen receiver holds pieces of the former size:
    # no piece of the others fitted, and the link was idle until the probe.
    async def main():
        clock = VirtualClock()
        pacer = link_pacer.LinkPacer()
        pacer.rates.add(BYTES_PER_MS, clock.now_ms())
        pacer.round_trips.add(OLD_ROUND_TRIP_MS, clock.now_ms())
        sender = bulk.BulkSender(clock, pacer)
        link = Link(sender)
        took_ms = {}

        def outbox(is_read):
            async def send(frame):
                nursery.start_soon(link.deliver, box, frame, is_read)

            box = bulk.Outbox(types.SimpleNamespace(send=send))
            return box

        async def download(name, size):
            began_ms = clock.now_ms()
            await sender.send(outbox(is_read=True), name, memoryview(bytes(size)))
            took_ms[name] = clock.now_ms() - began_ms

        async with trio.open_nursery() as nursery:
            with trio.move_on_after(1) as scope:
                async with trio.open_nursery() as bodies:
                    # The short body's first acknowledgement tells the shorter round trip.
                    bodies.start_soon(download, "short", bulk.MAX_INLINE_BODY_BYTES + 1)
                    await trio.testing.wait_all_tasks_blocked()
                    frozen = outbox(is_read=False)
                    nursery.start_soon(sender.send, frozen, "frozen", memoryview(bytes(BODY_BYTES)))
                    await trio.testing.wait_all_tasks_blocked()
                    bodies.start_soon(download, "long", BODY_BYTES)
            assert not scope.cancelled_caught
            assert pacer.round_trips.best(0) < OLD_ROUND_TRIP_MS
            assert len(frozen.unacknowledged) == link_pacer.PIECES_PER_WINDOW - 1
            nursery.cancel_scope.cancel()
        assert link.idle_ms <= ROUND_TRIP_MS, (round(link.idle_ms), took_ms)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
