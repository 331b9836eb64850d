"""Overload and recovery, compared with round robin and three blind retries per call."""

import itertools

import trio
import trio.testing

import fake_targets
from buckthornstage.http import messages
from buckthornstage.routing import subset

TIMEOUT_MS = 500
NODES = 3
# (seconds, calls/s). The targets can run 300 calls/s, and parsing requests takes all of their time
# at 600/s, so once they are overloaded, 200 calls/s with three retries each keep them overloaded.
PHASES = ((1.0, 200), (1.0, 1_500), (1.0, 200), (2.0, 200))


def make_targets():
    return [
        fake_targets.FakeTarget(f"10.0.0.{i}:1", slots=10, service_ms=100, parse_ms=5)
        for i in range(3)
    ]


def guarded(targets):
    """Sends calls through the nodes in turn."""
    proxies = [fake_targets.make_proxy(targets, None, TIMEOUT_MS) for _ in range(NODES)]
    turns = itertools.cycle(proxies)

    async def call(request):
        return (await next(turns).handle(request)).status == 200

    return call


def blind(targets):
    """Round robin over the targets with three retries after any failure."""
    turns = itertools.cycle(targets)

    async def call(request):
        for _ in range(4):
            with trio.move_on_after(TIMEOUT_MS / 1000):
                if (await next(turns).run(request)).status == 200:
                    return True
        return False

    return call


def goodput(make_call):
    """Share of calls that succeed in time, by phase."""
    shares = []

    async def one(call, number, good):
        began = trio.current_time()
        path = f"/status/{number}"
        if await call(messages.Request("GET", path, ((b"x-call", path.encode()),))):
            good.append((trio.current_time() - began) * 1000 <= TIMEOUT_MS)

    async def main():
        call = make_call(make_targets())
        numbers = itertools.count()
        async with trio.open_nursery() as nursery:
            for seconds, rate in PHASES:
                good = []
                for _ in range(int(seconds * rate)):
                    nursery.start_soon(one, call, next(numbers), good)
                    await trio.sleep(1 / rate)
                shares.append((good, seconds * rate))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return [sum(good) / offered for good, offered in shares]


def test_goodput_comes_back_by_itself_after_overload():
    before, during, _, after = goodput(guarded)
    assert before > 0.95
    assert during > 0.15, "300 of 1500 calls/s is what the targets can do"
    assert after > 0.95
    assert goodput(blind)[-1] < 0.5, "the baseline stays overloaded, so the load is hard enough"


def test_queued_call_does_not_go_to_a_target_that_left_meanwhile():
    async def main():
        targets = [fake_targets.FakeTarget(f"10.0.0.{i}:1", slots=1) for i in (1, 2)]
        left, stays = targets
        proxy = fake_targets.make_proxy(targets)

        async def call(number):
            fields = ((b"x-call", b"%d" % number),)
            response = await proxy.handle(messages.Request("GET", "/status", fields))
            assert response.status == 200

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(call, number)
            await trio.testing.wait_all_tasks_blocked()
            assert len(left.running) == len(stays.running) == 1
            targets.remove(left)
            proxy.refresh()
        assert (len(left.ran), len(stays.ran)) == (1, 3)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_call_whose_deadline_passes_while_it_connects_is_not_sent():
    # Guards against work that no caller waits for, after a paused process or a slow connection.
    async def main():
        target = fake_targets.FakeTarget("10.0.0.1:1")
        proxy = fake_targets.make_proxy([target], timeout_ms=100)

        async def connect(address, timeout_ms):
            await trio.sleep(0.2)
            return await target.connect()

        proxy.dispatcher.pool.connect = connect
        response = await proxy.handle(messages.Request("GET", "/status"))
        assert response.header(b"buckthornstage-error") == "deadline_exceeded"
        assert not target.ran

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_when_the_whole_subset_fails_a_short_lived_connection_goes_outside():
    async def main():
        targets = [fake_targets.FakeTarget(f"10.0.0.{i}:1") for i in range(3)]
        proxy = fake_targets.make_proxy(targets)
        await proxy.handle(messages.Request("GET", "/status"))
        service = proxy.services["desk"]
        service.assigned = subset.Subset(service.table.targets("desk")[:1], 2)
        targets[0].mode = "refuse"
        proxy.dispatcher.pool.idle.clear()
        for number in range(8):
            # The first call meets a refused connection; later ones rely on the ejection.
            fields = ((b"x-call", b"%d" % number),)
            response = await proxy.handle(messages.Request("POST", "/print", fields))
            assert response.status == 200
        assert targets[0].ran.total() <= 1
        assert not proxy.dispatcher.pool.idle, "a connection outside the subset was kept"
        assert proxy.metrics.counters["refused_connections"] == 1
        assert proxy.metrics.counters["retries"] == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_call_finds_the_last_living_target_without_spending_retries():
    """Guards against calls that fail although a target is alive, because three attempts all chose
    dead ones."""

    async def main():
        targets = [fake_targets.FakeTarget(f"10.0.0.{i}:1") for i in range(8)]
        proxy = fake_targets.make_proxy(targets)
        for target in targets[:-1]:
            target.mode = "refuse"
        for number in range(20):
            fields = ((b"x-call", b"%d" % number),)
            response = await proxy.handle(messages.Request("POST", "/print", fields))
            assert response.status == 200
        assert proxy.metrics.counters["retries"] == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
