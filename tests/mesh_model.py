"""Nodes, network and targets in memory for the at-most-once machine, and its oracle.

The oracle learns what ran from the targets alone and shares no code with the package.
"""

import collections
import dataclasses
import random

import trio

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import claim_service, outcomes, runner
from tests import fake_log
from tests.test_claims import TrioClock
from tests.test_keys import SECRET

ZONES = {"n0": "x", "n1": "x", "n2": "y"}
SKEWS_MS = {"n0": 0, "n1": 700, "n2": -400}
OUTCOME_MS = 10_000
WINDOW_MS = 60_000
RETENTION_S = 60 + 3_600 + 60


@dataclasses.dataclass
class Run:
    """One execution at a target, as the target saw it."""

    attempt: int
    process: object
    body: bytes
    started_at: float
    returned_at: float | None = None


@dataclasses.dataclass
class Attempt:
    """One request of a caller and its answer: a body or an error kind."""

    number: int
    key: str
    node: str
    is_first: bool
    sent_at: float
    run_before: Run | None
    overlaps: bool = False
    answer: object = None

    @property
    def is_not_run(self):
        if self.answer is None or isinstance(self.answer, bytes):
            return False
        return errors.ANSWERS[errors.ErrorKind(self.answer)].outcome is errors.Outcome.NOT_RUN


class Oracle:
    """Records runs and answers, and collects what contradicts at-most-once."""

    def __init__(self):
        self.runs = {}
        self.attempts = collections.defaultdict(list)
        self.open = set()
        self.violations = []

    def ran(self, key, attempt, process):
        if key in self.runs:
            self.violations.append(f"{key} ran twice, in attempts {self.runs[key]}, {attempt}")
        body = f"run of {key} in {attempt}".encode()
        run = Run(attempt, process, body, trio.current_time())
        self.runs.setdefault(key, run)
        if any(earlier.number == attempt and earlier.is_not_run for earlier in self.attempts[key]):
            self.violations.append(f"attempt {attempt} of {key} ran after it was told not-run")
        return run

    def sent(self, attempt):
        others = [other for other in self.attempts[attempt.key] if other.number in self.open]
        for other in others:
            other.overlaps = attempt.overlaps = True
        self.open.add(attempt.number)
        self.attempts[attempt.key].append(attempt)

    def answered(self, attempt, answer, is_owner_alive):
        self.open.discard(attempt.number)
        attempt.answer = answer
        run = self.runs.get(attempt.key)
        if isinstance(answer, bytes):
            if run is None or run.returned_at is None or run.body != answer:
                self.violations.append(f"{attempt} got a response that no run made")
            return
        self._check_not_run(attempt)
        before = attempt.run_before
        held = before and before.returned_at is not None and is_owner_alive
        held = held and trio.current_time() < before.returned_at + OUTCOME_MS / 1000
        if held and before.process.name == attempt.node and answer != "key_expired":
            self.violations.append(f"{attempt} got no response although it was held")

    def _check_not_run(self, attempt):
        if not attempt.is_not_run:
            return
        run = self.runs.get(attempt.key)
        if run is None:
            return
        now = trio.current_time()
        # A first send promises that no other send is under way; with one, its answer is void.
        is_void = attempt.is_first and attempt.overlaps and attempt.answer == "log_unavailable"
        if run.attempt == attempt.number or (run.started_at < now and not is_void):
            self.violations.append(f"{attempt} was told not-run but {run}")


class GatedLog:
    """The log as one process sees it: a paused process neither calls nor gets answers."""

    def __init__(self, log_client, process):
        self.log_client = log_client
        self.process = process

    async def append(self, stream, payload):
        await self.process.gate()
        offset = await self.log_client.append(stream, payload)
        await self.process.gate()
        return offset

    async def read(self, stream, offset, limit, wait_ms):
        await self.process.gate()
        batch = await self.log_client.read(stream, offset, limit, wait_ms)
        await self.process.gate()
        return batch


class Process:
    """One incarnation of a node."""

    def __init__(self, name, incarnation, mesh):
        self.name = name
        self.incarnation = incarnation
        self.mesh = mesh
        self.resume_at = 0.0
        self.is_dead = False
        self.nursery = None
        self.clock = TrioClock(SKEWS_MS[name])

    async def serve(self, task_status):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.claims = claim_service.ClaimService(
                self.name,
                self.incarnation,
                self.name,
                GatedLog(self.mesh.log, self),
                self.clock,
                lambda partition, rank: self.mesh.batcher(ZONES[self.name], rank),
                lambda address, message: self.mesh.send(self.name, address, message),
                partitions=2,
                timeout_ms=3_000,
                key_window_ms=WINDOW_MS,
                rng=random.Random(self.incarnation),
            )
            table = outcomes.OutcomeTable(OUTCOME_MS, WINDOW_MS)
            self.calls = runner.AtMostOnce(
                self.name,
                self.incarnation,
                SECRET,
                self.clock,
                table,
                nursery,
                self.claims.claim,
                self.mesh.forward,
            )
            await nursery.start(self.claims.run)
            task_status.started()
            await trio.sleep_forever()

    async def gate(self):
        """Waits while the process is paused; a kill is noticed only afterwards."""
        while trio.current_time() < self.resume_at:
            with trio.CancelScope(shield=True):
                await trio.sleep_until(self.resume_at)
        if self.is_dead:
            await trio.lowlevel.checkpoint_if_cancelled()

    def kill(self):
        self.is_dead = True
        self.nursery.cancel_scope.cancel()

    async def execute(self, request):
        """One attempt at a target, after the step that the mesh plans for it."""
        await self.gate()
        step = self.mesh.target_plan.popleft() if self.mesh.target_plan else "ok"
        if step == "shed":
            raise errors.CallError(errors.ErrorKind.OVERLOADED)
        key, attempt = request.header(b"x-key"), int(request.header(b"x-attempt"))
        run = self.mesh.oracle.ran(key, attempt, self)
        if step == "dies":
            raise errors.CallError(errors.ErrorKind.TARGET_FAILED)
        if step != "ok":
            await trio.sleep(step)
        await self.gate()
        run.returned_at = trio.current_time()
        return messages.Response(200, body=run.body)


@dataclasses.dataclass
class Route:
    timeout_ms: int


class Mesh:
    """Three nodes in two zones with one log."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.log = fake_log.FakeLog()
        self.oracle = Oracle()
        self.processes = {}
        self.message_plan = collections.deque()
        self.forward_plan = collections.deque()
        self.target_plan = collections.deque()
        self.swapped = False
        self.attempts = 0
        self.scopes = {}

    async def start(self, name):
        previous = self.processes.get(name)
        incarnation = previous.incarnation + 1 if previous else 1
        process = Process(name, incarnation, self)
        await self.nursery.start(process.serve)
        self.processes[name] = process

    def batcher(self, zone, rank):
        names = [name for name in ZONES if ZONES[name] == zone]
        return names[(rank + self.swapped) % len(names)]

    def send(self, sender, address, message):
        fate = self.message_plan.popleft() if self.message_plan else 0
        if fate == "drop":
            return
        for delay in (0, 0.5) if fate == "twice" else (fate,):
            self.nursery.start_soon(self._deliver, sender, address, message, delay)

    async def _deliver(self, sender, address, message, delay):
        await trio.sleep(0.001 + delay)
        process = self.processes[address]
        await process.gate()
        if not process.is_dead:
            process.claims.on_message(sender, message)

    async def forward(self, node, incarnation, request):
        fate = self.forward_plan.popleft() if self.forward_plan else "ok"
        if fate == "refused":
            raise messages.ConnectFailedError("refused")
        key = request.header(b"idempotency-key")
        response = await self.call(self.processes[node], key, request, 20_000)
        if fate == "answer_lost":
            raise messages.ConnectionBrokenError("the answer was lost")
        return response

    async def call(self, process, key, request, timeout_ms):
        """One HTTP request to a process; raises CallError as its response would say."""
        result, done, scope = [], trio.Event(), trio.CancelScope()

        async def serve():
            try:
                with scope:
                    await process.gate()
                    route = Route(timeout_ms)
                    result.append(await process.calls.run(key, request, route, process.execute))
            except errors.CallError as error:
                result.append(error)
            finally:
                done.set()

        if process.is_dead:
            raise messages.ConnectFailedError("the process is gone")
        process.nursery.start_soon(serve)
        try:
            await done.wait()
        finally:
            scope.cancel()
        if not result:
            raise messages.ConnectionBrokenError("the process died")
        if isinstance(result[0], errors.CallError):
            raise result[0]
        return result[0]

    async def attempt(self, node, key, timeout_ms=8_000):
        """One caller's request from start to answer, checked by the oracle."""
        self.attempts += 1
        is_first = not self.oracle.attempts[key]
        run = self.oracle.runs.get(key)
        attempt = Attempt(self.attempts, key, node, is_first, trio.current_time(), run)
        self.oracle.sent(attempt)
        headers = [(b"x-key", key.encode()), (b"x-attempt", str(attempt.number).encode())]
        if is_first:
            headers.append((runner.FIRST_SEND_HEADER, b"1"))
        process = self.processes[node]
        request = messages.Request("POST", "/deposit", tuple(headers))
        with trio.CancelScope() as scope:
            self.scopes[attempt.number] = scope
            try:
                response = await self.call(process, key, request, timeout_ms)
                answer = response.header(b"buckthornstage-error") or response.body
            except errors.CallError as error:
                answer = str(error.kind)
            except messages.HttpError:
                return None
            alive = attempt.run_before is not None and attempt.run_before.process is process
            alive = alive and not process.is_dead and process is self.processes[node]
            self.oracle.answered(attempt, answer, alive)
            return answer
        return None
