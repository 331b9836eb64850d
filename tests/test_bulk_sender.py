"""Long bodies over one link, in virtual time: nothing depends on the speed of the machine."""

import math
import types

import trio
import trio.testing

from buckthornstage.limits import link_pacer
from buckthornstage.link import bulk

BYTES_PER_MS = 744  # narrowest link of the grown sites, 5.95 Mbit/s
ROUND_TRIP_MS = 3.5  # without the transfer
OLD_ROUND_TRIP_MS = 18.0  # the pacer's estimate before the first acknowledgement
BODY_BYTES = 90_112
SLOW_READ_MS = 100.0
FROZEN_MS = math.inf


class VirtualClock:
    """Clock of a node whose time is that of the trio run."""

    def now_ms(self):
        return trio.current_time() * 1000


class Link:
    """First-in, first-out link of one node, whose pacer knows its rate, to several receivers."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.clock = VirtualClock()
        self.pacer = link_pacer.LinkPacer()
        self.pacer.rates.add(BYTES_PER_MS, self.clock.now_ms())
        self.pacer.round_trips.add(OLD_ROUND_TRIP_MS, self.clock.now_ms())
        self.sender = bulk.BulkSender(self.clock, self.pacer)
        self.free_ms = self.clock.now_ms()
        self.idle_ms = 0.0
        self.outboxes = {}
        self.read_ms = {}
        """Time at which each receiver had its whole body."""

    async def download(self, name, size=BODY_BYTES, late_ms=0.0):
        """Sends a body to a receiver that acknowledges each piece `late_ms` too late."""
        left = size

        async def deliver(data):
            nonlocal left
            now_ms = self.clock.now_ms()
            self.idle_ms += max(0.0, now_ms - self.free_ms)
            self.free_ms = max(self.free_ms, now_ms) + len(data) / BYTES_PER_MS
            await trio.sleep_until((self.free_ms + ROUND_TRIP_MS) / 1000)
            left -= len(data)
            if not left:
                self.read_ms[name] = self.clock.now_ms()
            await trio.sleep(late_ms / 1000)
            self.sender.on_acknowledgement(outbox)

        async def send(frame):
            self.nursery.start_soon(deliver, frame.data)

        outbox = self.outboxes[name] = bulk.Outbox(types.SimpleNamespace(send=send))
        await self.sender.send(outbox, name, memoryview(bytes(size)))


def on_link(test):
    """Runs `test(nursery, link)` in virtual time."""

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await test(nursery, Link(nursery))
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_frozen_receiver_leaves_the_link_to_others_when_the_round_trip_falls():
    # Guards against a window that shrinks while a frozen receiver holds pieces of the former size:
    # no piece of the others fitted, and the link was idle until the probe.
    async def test(nursery, link):
        # The short body's first acknowledgement tells the shorter round trip.
        nursery.start_soon(link.download, "short", bulk.MAX_INLINE_BODY_BYTES + 1)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(link.download, "frozen", BODY_BYTES, FROZEN_MS)
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(1):
            await link.download("long")
        assert len(link.outboxes["frozen"].unacknowledged) == link_pacer.PIECES_PER_WINDOW - 1
        assert link.pacer.round_trips.best(0) < OLD_ROUND_TRIP_MS
        assert link.idle_ms <= ROUND_TRIP_MS, round(link.idle_ms)

    on_link(test)


def test_a_slow_receiver_does_not_leave_the_link_idle_for_others():
    # Guards against a window that is filled by the chunks of one receiver: while its
    # acknowledgements wait behind downloads on its own link, the ingress's link is idle.
    async def test(nursery, link):
        began_ms = link.clock.now_ms()
        nursery.start_soon(link.download, "slow", BODY_BYTES, SLOW_READ_MS)
        await trio.sleep(0.02)
        async with trio.open_nursery() as others:
            for name in ("first", "second"):
                others.start_soon(link.download, name)
        await trio.sleep(1)
        link_ms = 3 * BODY_BYTES / BYTES_PER_MS
        took_ms = max(link.read_ms["first"], link.read_ms["second"]) - began_ms - 20
        assert took_ms <= 1.1 * link_ms, (round(took_ms), round(link_ms))

    on_link(test)
