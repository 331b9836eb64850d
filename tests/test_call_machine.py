"""Stateful test of the proxy with fake targets, checked against the calls that really ran."""

import collections
import queue
import threading

import hypothesis
import trio
import trio.testing
from hypothesis import stateful, strategies

import fake_targets
from buckthornstage.http import messages

LIMITS = {"queue_length": 4, "queue_ms": 300, "crash_limit": 2, "max_attempts": 3}
TARGETS = 4
PATHS = ("/status", "/print", "/bulk")


class CallMachine(stateful.RuleBasedStateMachine):
    """Calls, faults and waits in any order; each rule runs one action in the trio thread."""

    def __init__(self):
        super().__init__()
        self.clock = trio.testing.MockClock()
        self.started = queue.Queue()
        self.responses = {}
        self.calls = 0
        self.poison_running = 0
        self.thread = threading.Thread(
            target=lambda: trio.run(self._main, clock=self.clock), daemon=True
        )
        self.thread.start()
        self.token = self.started.get(timeout=10)

    async def _main(self):
        self.targets = [fake_targets.FakeTarget(f"10.0.0.{i}:1") for i in range(1, TARGETS + 1)]
        self.proxy = fake_targets.make_proxy(self.targets, LIMITS, timeout_ms=1_000)
        async with trio.open_nursery() as self.nursery:
            self.started.put(trio.lowlevel.current_trio_token())
            await trio.sleep_forever()

    def step(self, action):
        async def run():
            action()
            await trio.testing.wait_all_tasks_blocked()

        trio.from_thread.run(run, trio_token=self.token)

    async def _call(self, path, body):
        method = "POST" if path == "/print" else "GET"
        target = f"{path}/{self.calls}" if body != b"poison" else f"{path}/poison"
        self.calls += 1
        # Requests with the poison body share a fingerprint on a path, but are separate calls.
        call_id = b"%d %s" % (self.calls, path.encode())
        request = messages.Request(method, target, ((b"x-call", call_id),), body)
        response = await self.proxy.handle(request)
        if body == b"poison":
            self.poison_running -= 1
        self.responses[call_id.decode(), target] = response

    @stateful.rule(path=strategies.sampled_from(PATHS), count=strategies.integers(1, 12))
    def call(self, path, count):
        def start():
            for _ in range(count):
                self.nursery.start_soon(self._call, path, b"")

        self.step(start)

    @stateful.precondition(lambda self: self.poison_running == 0)
    @stateful.rule(path=strategies.sampled_from(PATHS))
    def call_poison(self, path):
        def start():
            self.poison_running += 1
            self.nursery.start_soon(self._call, path, b"poison")

        self.step(start)

    @stateful.rule(
        index=strategies.integers(0, TARGETS - 1),
        mode=strategies.sampled_from(("ok", "shed", "refuse", "stale", "broken", "garbage")),
        service_ms=strategies.sampled_from((10, 50, 400, 2_000)),
    )
    def set_mode(self, index, mode, service_ms):
        self.targets[index].mode = mode
        self.targets[index].service_ms = service_ms

    @stateful.rule(index=strategies.integers(0, TARGETS - 1))
    def restart(self, index):
        def restart():
            self.targets[index].die()
            self.targets[index].deaths -= 1
            self.targets[index].restart()
            self.proxy.refresh()

        self.step(restart)

    @stateful.rule(ms=strategies.sampled_from((1, 20, 60, 300, 1_000, 5_000)))
    def wait(self, ms):
        self.step(lambda: self.clock.jump(ms / 1000))

    @stateful.invariant()
    def responses_are_true(self):
        run_counts = collections.Counter()
        for target in self.targets:
            run_counts.update(target.ran)
        for (call_id, target), response in self.responses.items():
            if response.status == 200:
                assert response.body == target.encode(), "a response of another call"
            elif response.header(b"buckthornstage-outcome") == "not-run":
                assert run_counts[call_id] == 0, "the response says not run, but the call ran"
        for call_id, times in run_counts.items():
            if call_id.endswith("/print"):
                assert times == 1, "a call that is not idempotent ran twice"
        poison_deaths = sum(target.deaths for target in self.targets)
        assert poison_deaths <= LIMITS["crash_limit"] * len(PATHS)

    @stateful.invariant()
    def limits_hold(self):
        counters = self.proxy.metrics.counters
        successes = sum(response.status == 200 for response in self.responses.values())
        assert counters["retries"] <= 10 + 0.1 * successes + 1e-6
        for service in self.proxy.services.values():
            admission = service.admission
            assert admission.queued <= LIMITS["queue_length"]
            assert 0 <= admission.in_flight <= admission.maximum

    def teardown(self):
        for target in self.targets:
            target.mode = "ok"
        for _ in range(20):
            self.step(lambda: self.clock.jump(1))
        self.responses_are_true()
        assert len(self.responses) == self.calls, "a call has no response"
        for service in self.proxy.services.values():
            assert (service.admission.in_flight, service.admission.queued) == (0, 0)
        assert not self.proxy.dispatcher.pool.in_use
        assert not any(s.in_flight for s in self.proxy.selector.statistics.values())
        trio.from_thread.run_sync(self.nursery.cancel_scope.cancel, trio_token=self.token)
        self.thread.join(10)


CallMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestCallMachine = CallMachine.TestCase
