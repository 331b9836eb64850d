"""The ingress: the only way to the target of this VM.

It admits calls by the target's slots, runs each at most once at the target, and answers with a
proof that the call has not run, with the target's whole response, or with "may have run". Its log
lines and metrics name it "door".
"""

import dataclasses
import random
import traceback

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage.http import client, messages
from buckthornstage.limits import crash_guard, ingress_queue, link_pacer
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import events, header_codec, metrics, response_memory, target_pool

Status = lifetimes.Status
Outcome = frames.Refused | frames.Failed | frames.Response

MAX_STRAY_RESPONSES = 8  # before the call's own; an earlier call leaves one
SILENT_AFTER_BEATS = 3.5
"""A target is taken as silent after this many announcement intervals; one may be seconds late."""
SUCCESS_RATE_SMOOTHING = 0.08
CRASH_WINDOW_MS = 5_000
"""A broken call counts as a crash if its target refuses connections, or starts anew, this soon."""
FAILURE_STATUS = 500
LAST_CHANCE = 0.5
"""A waiting call is given up when less than this part of a usual run is left for it."""


@dataclasses.dataclass(eq=False)
class Turn:
    """A waiting call: `is_started` is None until the queue decides."""

    decided: trio.Event
    is_started: bool | None = None


class Ingress:
    """State of the ingress; `on_change` is called when its status changes."""

    def __init__(
        self,
        clock: clocks.Clock,
        codec: header_codec.HeaderCodec,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
        guard: crash_guard.CrashGuard,
        heartbeat_ms: int,
    ) -> None:
        self.clock = clock
        self.header_codec = codec
        self.log = log
        self.metrics = node_metrics
        self.guard = guard
        self.heartbeat_ms = heartbeat_ms
        self.random = random.Random()
        self.lifetimes = lifetimes.Lifetimes()
        self.queue = ingress_queue.IngressQueue()
        self.pool = target_pool.TargetPool(clock, log)
        self.memory = response_memory.ResponseMemory()
        self.success_rate = 1.0
        self.is_leaving = False
        self.broken: list[tuple[str, lifetimes.Identity, int]] = []
        """Fingerprint, lifetime and time of calls whose connection broke, for the crash guard."""
        self.on_change = lambda: None
        self.pacer = link_pacer.LinkPacer()
        """Of long responses on the link of this node."""

    def status(self) -> frames.IngressStatus:
        """Whether calls are taken."""
        current = self.lifetimes.current
        if self.is_leaving:
            return frames.IngressStatus.LEAVING
        if current is None:
            return frames.IngressStatus.NO_TARGET
        return {
            Status.READY: frames.IngressStatus.OPEN,
            Status.DRAINING: frames.IngressStatus.TARGET_DRAINING,
            Status.DOWN: frames.IngressStatus.TARGET_DOWN,
        }[current.status]

    def state(self) -> frames.IngressState:
        """Load and health, for the callers' choice."""
        now_ms = self.clock.now_ms()
        current = self.lifetimes.current
        return frames.IngressState(
            self.status(),
            self.queue.slots,
            len(self.queue.running),
            len(self.queue.waiting),
            round(self.queue.run_ms(now_ms), 1) if self.queue.has_average else 0.0,
            max(0, current.cold_until_ms - now_ms) if current else 0,
            round(self.success_rate, 2),
            round(self.pacer.body_ms(now_ms)),
        )

    def announce(self, said: lifetimes.Announcement) -> lifetimes.Verdict:
        """Takes an announcement of the target."""
        before = self.lifetimes.current
        verdict = self.lifetimes.announce(said, self.clock.now_ms())
        now = self.lifetimes.current
        if verdict is lifetimes.Verdict.STARTED:
            self._count_crashes(before)
            self.pool.clear()
            self.success_rate = 1.0
            self.queue.restart(said.slots)
        elif verdict is not lifetimes.Verdict.STALE:
            self.queue.slots = said.slots
        if before is None or before.status is not now.status or verdict is verdict.STARTED:
            self._changed(str(verdict), said.sequence)
        return verdict

    def deregister(self, instance: str, born_ms: int | None) -> bool:
        """The target says that it is going; returns whether it is the lifetime in use."""
        is_current = self.lifetimes.deregister(instance, born_ms)
        if is_current:
            self._changed("deregistered", -1)
        return is_current

    def end(self, identity: lifetimes.Identity) -> None:
        """A peer remembers that this lifetime has told an earlier process here that it leaves."""
        if self.lifetimes.end(identity):
            self._changed("ended_before_restart", -1)

    def check_silence(self) -> None:
        """Closes the ingress to a target that has announced nothing for several intervals."""
        current = self.lifetimes.current
        if current is None or current.status is not Status.READY:
            return
        silent_ms = self.clock.now_ms() - current.heard_ms
        if silent_ms > SILENT_AFTER_BEATS * self.heartbeat_ms:
            self._mark_down(current, "silent")

    def leave(self) -> None:
        """The node stops: waiting calls are refused, running ones go on."""
        self.is_leaving = True
        self._changed("leaving", -1)

    async def run_for_peer(self, call: frames.Call) -> Outcome:
        """Like `run`; an unexpected error ends this call alone, and is logged with its trace."""
        try:
            if not call.is_bulk:
                return await self.run(call)
            link_wait_ms = self._link_wait_ms(call)
            if self.pacer.is_busy and link_wait_ms > 0:
                return self._refused(call, "link_full", wait_ms=link_wait_ms)
            self.pacer.promised += 1
            try:
                return await self.run(call)
            finally:
                self.pacer.promised -= 1
        except Exception as error:
            trace = "".join(traceback.format_exception(error))
            self.log.emit("door", "internal_error", True, call=call.call_id, trace=trace)
            return self._failed(call, f"internal error: {error!r}")

    def _link_wait_ms(self, call: frames.Call) -> float:
        """How long a long response would be late because of those that wait for the link before it.

        Late ones would take their time on the link from the next, and make these late too. A
        caller who comes back, or whose goal has passed, gets the rest of its time.
        """
        now_ms = self.clock.now_ms()
        is_late = call.is_resubmitted or not call.goal_ms
        aim_ms = call.latest_ms if is_late else call.goal_ms
        return self.pacer.body_ms(now_ms) + self.queue.run_ms(now_ms) - aim_ms

    async def run(self, call: frames.Call) -> Outcome:
        """Admits the call, runs it at the target, and returns what came of it.

        Cancelling this function abandons the call, also at the target.
        """
        now_ms = self.clock.now_ms()
        deadline_ms = now_ms + call.deadline_ms
        if self.status() is not frames.IngressStatus.OPEN:
            return self._refused(call, self.status().name.lower())
        if self.lifetimes.current.service != call.service:
            return self._refused(call, "other_service")
        turn = Turn(trio.Event())
        ticket = ingress_queue.Ticket(
            call.priority,
            now_ms + call.goal_ms,
            now_ms + call.latest_ms,
            turn,
            call.is_retry,
            call.is_resubmitted,
        )
        self._apply(self.queue.offer(ticket, now_ms))
        try:
            if turn.is_started is None:
                await self._wait(turn, ticket)
            if not turn.is_started:
                self._apply(self.queue.abandon(ticket, self.clock.now_ms()))
                return self._refused(call, "overloaded")
            outcome, run_ms = await self._run_at_target(call, ticket, deadline_ms)
        except BaseException:
            self._apply(self.queue.abandon(ticket, self.clock.now_ms()))
            raise
        self._apply(self.queue.finish(ticket, self.clock.now_ms(), run_ms))
        # The state in the outcome must show the place that has just become free.
        return msgspec.structs.replace(outcome, state=self.state())

    async def _wait(self, turn: Turn, ticket: ingress_queue.Ticket) -> None:
        """Waits for the turn until a run could no longer end in time."""
        now_ms = self.clock.now_ms()
        patience_ms = ticket.latest_ms - now_ms - LAST_CHANCE * self.queue.average_ms
        with trio.move_on_after(max(0.0, patience_ms) / 1000):
            await turn.decided.wait()

    def _apply(self, step: ingress_queue.Step) -> None:
        for ticket in (*step.start, *step.refuse):
            ticket.payload.is_started = ticket in self.queue.running
            ticket.payload.decided.set()

    async def _run_at_target(
        self, call: frames.Call, ticket: ingress_queue.Ticket, deadline_ms: int
    ) -> tuple[Outcome, float | None]:
        """Outcome, and the run time in ms if it says something about the target."""
        current = self.lifetimes.current
        if self.status() is not frames.IngressStatus.OPEN:
            return self._refused(call, self.status().name.lower()), None
        left_ms = deadline_ms - self.clock.now_ms()
        if left_ms <= 0:
            return self._refused(call, "time_ran_out"), None
        connection = None
        with trio.move_on_after(left_ms / 1000):
            try:
                connection = await self.pool.acquire(current.address, call.is_idempotent)
                outcome = await self._exchange(call, current, connection, deadline_ms)
            except messages.ConnectFailedError as error:
                self._mark_down(current, str(error))
                return self._refused(call, "target_down"), None
            except messages.StaleConnectionError:
                connection.abort()
                return self._refused(call, "stale_connection"), None
            except messages.HttpError as error:
                connection.abort()
                return self._broken(call, current, error), None
            except BaseException:
                if connection is not None:
                    connection.abort()
                raise
            # A run that fails may end at once; counted, it would make a failing target look fast.
            is_good = is_success(outcome)
            return outcome, self.clock.now_ms() - ticket.started_ms if is_good else None
        run_ms = self.clock.now_ms() - ticket.started_ms
        return self._failed(call, "deadline"), run_ms

    async def _exchange(
        self,
        call: frames.Call,
        current: lifetimes.Lifetime,
        connection: client.Connection,
        deadline_ms: int,
    ) -> Outcome:
        began_ms = self.clock.now_ms()
        fields = self.header_codec.target_headers(call, current.instance, deadline_ms - began_ms)
        request = messages.Request(call.method, call.target, fields, call.body)
        response = await connection.start(request)
        kind = self.header_codec.judge(response, call.call_id)
        skipped = 0
        while kind is header_codec.ResponseKind.OTHER_CALL:
            skipped += 1
            if skipped > MAX_STRAY_RESPONSES:
                problem = (
                    f"{connection.address} sends more than {MAX_STRAY_RESPONSES} stray answers"
                )
                raise messages.MalformedResponseError(problem)
            self.log.emit("door", "stray_answer", call=call.call_id, status=response.status)
            response = await target_pool.skip_response(connection, request)
            kind = self.header_codec.judge(response, call.call_id)
        body = await self.memory.read_body(connection)
        self.pool.release(connection, self.header_codec.kept_open_ms(response))
        run_ms = self.clock.now_ms() - began_ms
        waited_ms = call.deadline_ms - (deadline_ms - began_ms)
        return self._judged(call, current, kind, response, body, run_ms, waited_ms)

    def _judged(
        self,
        call: frames.Call,
        current: lifetimes.Lifetime,
        kind: header_codec.ResponseKind,
        response: messages.Response,
        body: bytes,
        run_ms: int,
        waited_ms: int,
    ) -> Outcome:
        if kind is header_codec.ResponseKind.NOT_RUN:
            # A full target refuses rightly; one that refuses with free slots is at fault.
            self._count_good(len(self.queue.running) > self.queue.slots)
            return self._refused(call, "refused_by_target", reached_target=True)
        if kind is header_codec.ResponseKind.OTHER_LIFETIME:
            self._mark_down(current, "another lifetime answers")
            return self._refused(call, "other_lifetime", reached_target=True)
        if kind is header_codec.ResponseKind.UNPROVED:
            self._count_good(False)
            return self._failed(call, "answer without a target's mark")
        self._count_good(response.status < FAILURE_STATUS)
        if self.guard.deaths:
            self.guard.completed(crash_guard.fingerprint(call.method, call.target, call.body))
        self.metrics.run_time.record_value(max(1, run_ms))
        self.log.emit(
            "door",
            "ran",
            call=call.call_id,
            status=response.status,
            run_ms=run_ms,
            waited_ms=waited_ms,
            instance=current.instance,
            running=len(self.queue.running),
            waiting=len(self.queue.waiting),
        )
        headers = self.header_codec.caller_headers(response.headers)
        return frames.Response(response.status, headers, body, 0, self.state(), run_ms)

    def _refused(
        self,
        call: frames.Call,
        reason: str,
        reached_target: bool = False,
        wait_ms: float = 0.0,
    ) -> frames.Refused:
        retry_ms = self.queue.retry_ms(self.clock.now_ms(), self.random.random(), wait_ms)
        self.metrics.count("door_refused", reason)
        self.log.emit(
            "door",
            "refused",
            call=call.call_id,
            reason=reason,
            retry_ms=retry_ms,
            running=len(self.queue.running),
            waiting=len(self.queue.waiting),
            usual_run_ms=round(self.queue.average_ms),
            latest_ms=call.latest_ms,
        )
        return frames.Refused(reason, retry_ms, self.state(), reached_target)

    def _failed(self, call: frames.Call, reason: str) -> frames.Failed:
        # What follows the colon may quote the target, and would make a counter for each text.
        self.metrics.count("door_failed", reason.partition(":")[0])
        self.log.emit("door", "failed", call=call.call_id, reason=reason, may_have_run=True)
        return frames.Failed(reason, self.state())

    def _broken(
        self, call: frames.Call, current: lifetimes.Lifetime, error: messages.HttpError
    ) -> frames.Failed:
        self._count_good(False)
        if not isinstance(error, messages.MalformedResponseError):
            mark = crash_guard.fingerprint(call.method, call.target, call.body)
            self.broken.append((mark, current.identity, self.clock.now_ms()))
        return self._failed(call, f"broken: {error}")

    def _count_good(self, is_good: bool) -> None:
        self.success_rate += SUCCESS_RATE_SMOOTHING * (is_good - self.success_rate)

    def _mark_down(self, current: lifetimes.Lifetime, reason: str) -> None:
        if self.lifetimes.mark_down(current.instance, current.born_ms):
            self._count_crashes(current)
            self.pool.clear()
            self._changed(reason, -1)

    def _count_crashes(self, ended: lifetimes.Lifetime | None) -> None:
        """Blames the end of a lifetime on the calls that broke just before it."""
        now_ms = self.clock.now_ms()
        for mark, identity, broken_ms in self.broken:
            is_ended = ended is not None and identity == ended.identity
            if is_ended and now_ms - broken_ms <= CRASH_WINDOW_MS:
                self.guard.record(mark, identity, now_ms)
                self.log.emit("door", "crash_suspected", fingerprint=mark, instance=identity[0])
        self.broken.clear()

    def _changed(self, cause: str, sequence: int) -> None:
        current = self.lifetimes.current
        if self.status() is not frames.IngressStatus.OPEN:
            self._apply(self.queue.refuse_all())
        self.log.emit(
            "door",
            "target_state",
            is_vital=True,
            status=self.status().name.lower(),
            cause=cause,
            instance=current.instance if current else None,
            born_ms=current.born_ms if current else None,
            sequence=sequence,
        )
        self.on_change()


def is_success(outcome: Outcome) -> bool:
    """Whether a target has answered, and not with a failure."""
    return isinstance(outcome, frames.Response) and outcome.status < FAILURE_STATUS
