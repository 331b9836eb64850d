"""In-memory nodes, network and targets for the at-most-once state machine, and its oracle.

The oracle records executions only at the targets and shares no code with the package.
"""

import collections
import dataclasses
import functools
import itertools
import random
import types

import trio

import fake_log
import keyed_calls
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import claim_service, keys, outcomes, runner

ZONES = {"n0": "x", "n1": "x", "n2": "y"}
SKEWS_MS = {"n0": 0, "n1": 700, "n2": -400}
OUTCOME_MS = 10_000
WINDOW_MS = 60_000
RETENTION_S = 60 + 3_600 + 60


NOT_RUN = {"log_unavailable", "overloaded", "deadline_exceeded", "leaving", "bad_key", "no_target"}


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
    """One client request and its response: a body or an error kind."""

    number: int
    key: str
    node: str
    is_first: bool
    run_before: Run | None
    overlaps: bool = False
    result: object = None


class Oracle:
    """Records executions and responses, and collects violations of at-most-once."""

    def __init__(self):
        self.runs = {}
        self.attempts = collections.defaultdict(list)
        self.open = {}
        self.violations = []

    def on_execution(self, key, attempt, process):
        if key in self.runs:
            self.violations.append(f"{key} executed twice, in attempts {self.runs[key]}, {attempt}")
        if any(item.number == attempt and item.result in NOT_RUN for item in self.attempts[key]):
            self.violations.append(f"attempt {attempt} of {key} executed after a not-run response")
        body = f"run of {key} in {attempt}".encode()
        run = Run(attempt, process, body, trio.current_time())
        return self.runs.setdefault(key, run)

    def on_request(self, attempt):
        for other in self.open.values():
            if other.key == attempt.key:
                other.overlaps = attempt.overlaps = True
        self.open[attempt.number] = attempt
        self.attempts[attempt.key].append(attempt)

    def on_result(self, attempt, result, is_owner_alive):
        attempt.result = result
        run, before, now = self.runs.get(attempt.key), attempt.run_before, trio.current_time()
        if isinstance(result, bytes):
            if run is None or run.returned_at is None or run.body != result:
                self.violations.append(f"{attempt} got a response that no execution returned")
            return
        # A first send promises that no other is in flight; if one is, its response does not count.
        is_void = attempt.is_first and attempt.overlaps and result == "log_unavailable"
        if run and result in NOT_RUN and run.started_at < now and not is_void:
            self.violations.append(f"{attempt} got a not-run response but {run}")
        held = before and before.returned_at is not None and is_owner_alive
        held = held and now < before.returned_at + OUTCOME_MS / 1000
        if held and before.process.name == attempt.node and result != "key_expired":
            self.violations.append(f"{attempt} got no response although the owner had stored it")


class PausableLog:
    """Log client of one process: a paused process neither sends requests nor gets responses."""

    def __init__(self, log_client, process):
        async def pausable(call, *arguments):
            await process.wait_while_paused()
            result = await call(*arguments)
            await process.wait_while_paused()
            return result

        self.append = functools.partial(pausable, log_client.append)
        self.read = functools.partial(pausable, log_client.read)


class Process:
    """One incarnation of a node."""

    def __init__(self, name, incarnation, mesh):
        self.name = name
        self.incarnation = incarnation
        self.mesh = mesh
        self.resume_at = 0.0
        self.is_dead = False
        self.clock = keyed_calls.TrioClock(SKEWS_MS[name])

    async def serve(self, task_status):
        name, incarnation, mesh, time = self.name, self.incarnation, self.mesh, self.clock
        options = {"partitions": 2, "timeout_ms": 3_000, "key_window_ms": WINDOW_MS}
        log_client = PausableLog(mesh.log, self)
        batcher = functools.partial(mesh.batcher, ZONES[name])
        send = functools.partial(mesh.send, name)
        rng = random.Random(incarnation)
        async with trio.open_nursery() as self.nursery:
            self.claims = claim_service.ClaimService(
                name, incarnation, name, log_client, time, batcher, send, rng=rng, **options
            )
            table = outcomes.OutcomeTable(OUTCOME_MS, WINDOW_MS)
            secret, claim = keyed_calls.SECRET, self.claims.claim
            self.calls = runner.AtMostOnce(
                name, incarnation, secret, time, table, self.nursery, claim, mesh.forward
            )
            await self.nursery.start(self.claims.run)
            task_status.started()
            await trio.sleep_forever()

    async def wait_while_paused(self):
        """Waits while the process is paused; a kill takes effect only afterwards."""
        while trio.current_time() < self.resume_at:
            with trio.CancelScope(shield=True):
                await trio.sleep_until(self.resume_at)
        if self.is_dead:
            await trio.lowlevel.checkpoint_if_cancelled()

    def kill(self):
        self.is_dead = True
        self.nursery.cancel_scope.cancel()

    async def execute(self, request):
        """Executes one attempt at a target with the next fault in `target_plan`."""
        await self.wait_while_paused()
        step = self.mesh.target_plan.popleft() if self.mesh.target_plan else "ok"
        if step == "shed":
            raise errors.CallError(errors.ErrorKind.OVERLOADED)
        key, attempt = request.header(b"x-key"), int(request.header(b"x-attempt"))
        run = self.mesh.oracle.on_execution(key, attempt, self)
        if step == "dies":
            raise errors.CallError(errors.ErrorKind.TARGET_FAILED)
        if step != "ok":
            await trio.sleep(step)
        await self.wait_while_paused()
        run.returned_at = trio.current_time()
        return messages.Response(200, body=run.body)


class Mesh:
    """Three nodes in two zones with a shared log."""

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
        self.texts = {}

    async def replace(self, name, is_killed):
        """Starts the next incarnation; a process that is not killed keeps running beside it."""
        previous = self.processes.get(name)
        if is_killed:
            previous.kill()
        process = Process(name, previous.incarnation + 1 if previous else 1, self)
        await self.nursery.start(process.serve)
        self.processes[name] = process

    def pause(self, node, duration):
        self.processes[node].resume_at = trio.current_time() + duration

    def disconnect(self):
        if scope := self.scopes.get(max(self.oracle.open, default=0)):
            scope.cancel()

    async def request(self, node, key, timeout_ms):
        self.nursery.start_soon(self.attempt, node, self._text(node, key), timeout_ms)
        await trio.lowlevel.checkpoint()

    async def clear_faults_and_retry(self):
        """Ends all faults; each retry must then get a conclusive response and no key run again."""
        self.log.is_down = False
        for plan in (self.log.faults, self.message_plan, self.forward_plan, self.target_plan):
            plan.clear()
        await trio.sleep(40)
        for text, name in itertools.product(self.texts.values(), sorted(ZONES)):
            if await self.attempt(name, text) in (None, "owner_unreachable"):
                self.oracle.violations.append(f"{text} has no conclusive response at {name}")

    def _text(self, node, key):
        if key not in self.texts:
            now_ms = keyed_calls.NOW + round(trio.current_time() * 1000)
            issuer = keys.KeyIssuer(node, self.processes[node].incarnation, keyed_calls.SECRET)
            self.texts[key] = issuer.issue(now_ms) if key % 2 else keyed_calls.uuid7(now_ms, key)
        return self.texts[key]

    def batcher(self, zone, partition, rank):
        names = [name for name in ZONES if ZONES[name] == zone]
        return names[(rank + self.swapped) % len(names)]

    def send(self, sender, address, message):
        fault = self.message_plan.popleft() if self.message_plan else 0
        if fault == "drop":
            return
        for delay in (0, 0.5) if fault == "twice" else (fault,):
            self.nursery.start_soon(self._deliver, sender, address, message, delay)

    async def _deliver(self, sender, address, message, delay):
        await trio.sleep(0.001 + delay)
        process = self.processes[address]
        await process.wait_while_paused()
        if not process.is_dead:
            process.claims.on_message(sender, message)

    async def forward(self, node, incarnation, request):
        fault = self.forward_plan.popleft() if self.forward_plan else "ok"
        if fault == "refused":
            raise messages.ConnectFailedError("refused")
        key = request.header(b"idempotency-key")
        response = await self.call(self.processes[node], key, request, 20_000)
        if fault == "answer_lost":
            raise messages.ConnectionBrokenError("the response was lost")
        return response

    async def call(self, process, key, request, timeout_ms):
        """Sends one HTTP request; raises CallError with the error kind given in the response."""
        result, done, scope = [], trio.Event(), trio.CancelScope()

        async def serve():
            try:
                with scope:
                    await process.wait_while_paused()
                    route = types.SimpleNamespace(timeout_ms=timeout_ms)
                    result.append(await process.calls.run(key, request, route, process.execute))
            except errors.CallError as error:
                result.append(error)
            finally:
                done.set()

        if process.is_dead:
            raise messages.ConnectFailedError("the process is not running")
        process.nursery.start_soon(serve)
        try:
            await done.wait()
        finally:
            scope.cancel()
        if not result:
            raise messages.ConnectionBrokenError("the process was killed")
        if isinstance(result[0], errors.CallError):
            raise result[0]
        return result[0]

    async def attempt(self, node, key, timeout_ms=8_000):
        """Sends one client request and passes its response to the oracle."""
        self.attempts += 1
        is_first = not self.oracle.attempts[key]
        run = self.oracle.runs.get(key)
        attempt = Attempt(self.attempts, key, node, is_first, run)
        self.oracle.on_request(attempt)
        headers = [(b"x-key", key.encode()), (b"x-attempt", str(attempt.number).encode())]
        if is_first:
            headers.append((runner.FIRST_SEND_HEADER, b"1"))
        process = self.processes[node]
        request = messages.Request("POST", "/deposit", tuple(headers))
        result = None
        with trio.CancelScope() as self.scopes[attempt.number]:
            try:
                response = await self.call(process, key, request, timeout_ms)
                result = response.header(b"buckthornstage-error") or response.body
            except errors.CallError as error:
                result = str(error.kind)
            except messages.HttpError:
                pass
        del self.oracle.open[attempt.number]
        if result is not None:
            alive = run is not None and run.process is process and not process.is_dead
            self.oracle.on_result(attempt, result, alive and process is self.processes[node])
        return result
