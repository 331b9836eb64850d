import types

import pytest
import trio

import keyed_calls
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import forwarding, keys, outcomes, runner
from buckthornstage.proxy import headers

NOW, SECRET, uuid7 = keyed_calls.NOW, keyed_calls.SECRET, keyed_calls.uuid7
KIND = errors.ErrorKind
FIRST = ((runner.FIRST_SEND_HEADER, b"1"),)


def _route(timeout_ms=10_000):
    return types.SimpleNamespace(timeout_ms=timeout_ms)


class _Node:
    """A node whose target follows `plan`: a kind or exception to raise, or seconds to run."""

    def __init__(self, name, incarnation, nursery, nodes):
        self.runs = []
        self.plan = []
        self.verdict = (name, incarnation)
        self.nodes = nodes
        self.before_forward = None
        time, table = keyed_calls.TrioClock(), outcomes.OutcomeTable()
        self.calls = runner.AtMostOnce(
            name, incarnation, SECRET, time, table, nursery, self._claim, self._forward
        )
        nodes[name] = self

    async def _claim(self, key):
        await trio.sleep(0.01)
        if self.verdict is None:
            raise errors.LogUnavailableError("the log is down")
        return self.verdict

    async def _forward(self, node, incarnation, request):
        if self.before_forward:
            return self.before_forward(request)
        key = request.header(b"idempotency-key")
        return await self.nodes[node].calls.run(key, request, _route(), self.nodes[node].execute)

    async def execute(self, request):
        self.runs.append(request)
        step = self.plan.pop(0) if self.plan else 0
        if isinstance(step, errors.ErrorKind):
            raise errors.CallError(step)
        if isinstance(step, Exception):
            raise step
        await trio.sleep(step)
        return messages.Response(200, body=b"run %d" % len(self.runs))

    async def call(self, key, headers=(), body=b"", timeout_ms=10_000):
        request = messages.Request("POST", "/deposit", headers, body)
        try:
            response = await self.calls.run(key, request, _route(timeout_ms), self.execute)
        except errors.CallError as error:
            return error.kind
        return response.header(b"buckthornstage-error") or response.body


def _two_nodes(nursery):
    nodes = {}
    return [_Node(name, 5, nursery, nodes) for name in ("n1", "n2")]


_on_two_nodes = keyed_calls.with_nursery(_two_nodes)


def _issued(node="n1", incarnation=5):
    return keys.KeyIssuer(node, incarnation, SECRET).issue(NOW)


@_on_two_nodes
async def test_repeat_waits_for_the_first_run_and_gets_its_response(n1, n2):
    key, responses = _issued(), []
    n1.plan = [2]

    async def call(node):
        responses.append(await node.call(key))

    async with trio.open_nursery() as callers:
        for node in (n1, n1, n2):
            callers.start_soon(call, node)
    responses.append(await n2.call(key))
    assert responses == [b"run 1"] * 4 and len(n1.runs) == 1 and n2.runs == []


@_on_two_nodes
async def test_run_goes_on_after_its_caller_disconnected(n1, n2):
    key = uuid7(NOW)
    n1.plan = [2]
    with trio.move_on_after(1):
        await n1.call(key)
    assert await n1.call(key) == b"run 1" and len(n1.runs) == 1


@_on_two_nodes
async def test_caller_that_left_before_the_verdict_starts_nothing(n1, n2):
    with trio.move_on_after(0.005):
        await n1.call(uuid7(NOW))
    await trio.sleep(1)
    assert n1.runs == []


@pytest.mark.parametrize(
    ("step", "kind", "runs"),
    [
        (KIND.OVERLOADED, KIND.OVERLOADED, 2),
        (KIND.TARGET_FAILED, KIND.TARGET_FAILED, 1),
        (ValueError("fault"), KIND.TARGET_FAILED, 1),
        (30, KIND.DEADLINE_PASSED_IN_CALL, 1),
    ],
)
@_on_two_nodes
async def test_only_a_run_that_proved_not_run_is_free_again(n1, n2, *, step, kind, runs):
    n1.plan = [step]
    assert await n1.call(uuid7(NOW)) is kind
    again = await n1.call(uuid7(NOW))
    assert len(n1.runs) == runs and (again == b"run 2" if runs == 2 else again is kind)


@_on_two_nodes
async def test_not_run_response_of_a_target_leaves_the_key_free(n1, n2):
    async def shed(request):
        return messages.Response(503, ((headers.OUTCOME, b"not-run"),))

    request = messages.Request("POST", "/deposit")
    response = await n1.calls.run(uuid7(NOW), request, _route(), shed)
    assert response.status == 503
    assert await n1.call(uuid7(NOW)) == b"run 1"


@_on_two_nodes
async def test_call_whose_deadline_passed_while_paused_is_not_dispatched(n1, n2):
    assert await n1.call(_issued(), timeout_ms=0) is KIND.DEADLINE_EXCEEDED
    assert n1.runs == [] and await n1.call(_issued()) == b"run 1"


@_on_two_nodes
async def test_missing_verdict_says_not_run_only_for_a_first_send(n1, n2):
    n1.verdict = n2.verdict = None
    assert await n1.call(uuid7(NOW), FIRST) is KIND.LOG_UNAVAILABLE
    assert await n2.call(uuid7(NOW)) is KIND.OWNER_UNREACHABLE
    await trio.sleep(100)
    assert n1.runs == n2.runs == []
    n1.verdict = ("n1", 5)
    assert await n1.call(uuid7(NOW)) == b"run 1"
    # A key that has run here needs no verdict.
    n1.verdict = None
    assert await n1.call(uuid7(NOW), FIRST) == b"run 1"


@_on_two_nodes
async def test_claim_that_takes_longer_than_the_deadline_starts_nothing(n1, n2):
    assert await n1.call(uuid7(NOW), timeout_ms=5) is KIND.OWNER_UNREACHABLE
    await trio.sleep(1)
    assert n1.runs == []


@_on_two_nodes
async def test_clock_that_is_set_back_does_not_revive_a_forgotten_key(n1, n2):
    assert await n1.call(uuid7(NOW)) == b"run 1"
    n1.calls.time.offset_ms = 2 * keys.KEY_WINDOW_MS
    assert await n1.call(uuid7(NOW + n1.calls.time.offset_ms)) == b"run 2"
    n1.calls.time.offset_ms = 0
    assert await n1.call(uuid7(NOW)) is KIND.KEY_EXPIRED and len(n1.runs) == 2


@_on_two_nodes
async def test_other_incarnations_of_this_node_are_told_apart(n1, n2):
    assert await n1.call(_issued("n1", 4)) is KIND.OWNER_LOST
    assert await n1.call(_issued("n1", 6)) is KIND.OWNER_UNREACHABLE
    n1.verdict = ("n1", 4)
    assert await n1.call(uuid7(NOW)) is KIND.OWNER_LOST
    # The member table of n2 is out of date and has the previous incarnation.
    assert await n2.call(_issued("n1", 4)) is KIND.OWNER_LOST
    assert n1.runs == n2.runs == []


@_on_two_nodes
async def test_forged_forward_header_runs_nothing(n1, n2):
    forged = ((forwarding.FORWARDED_HEADER, b"1"), (forwarding.OWNER_HEADER, b"n1.5.abc"))
    assert await n1.call(uuid7(NOW), forged) is KIND.OWNER_UNREACHABLE
    with pytest.raises(errors.CallError):
        wrong = forwarding.wrap(
            messages.Request("POST", "/"), uuid7(NOW, 1), n1.calls.owner, SECRET
        )
        await n1.calls.run(uuid7(NOW), wrong, _route(), n1.execute)
    assert n1.runs == []


@_on_two_nodes
async def test_forwarded_request_keeps_its_key_and_hides_its_proof_from_the_target(n1, n2):
    n2.verdict, n1.verdict = ("n1", 5), None  # the owner never claims a forwarded request
    assert await n2.call(uuid7(NOW), ((b"idempotency-key", b"x"),)) == b"run 1"
    (request,) = n1.runs
    assert request.header(b"idempotency-key") == uuid7(NOW)
    assert request.header(forwarding.OWNER_HEADER) is None


@pytest.mark.parametrize("kind", [KIND.LEAVING, KIND.OVERLOADED])
@_on_two_nodes
async def test_not_run_from_before_the_owner_saw_the_key_is_not_passed_on(n1, n2, *, kind):
    key = _issued()
    assert await n1.call(key) == b"run 1"
    n2.before_forward = lambda request: headers.error_response(errors.CallError(kind))
    assert await n2.call(key) is KIND.OWNER_UNREACHABLE

    def refuse(request):
        raise errors.CallError(kind)

    n2.before_forward = refuse
    assert await n2.call(key) is KIND.OWNER_UNREACHABLE

    def break_connection(request):
        raise messages.ConnectFailedError("refused")

    n2.before_forward = break_connection
    assert await n2.call(key) is KIND.OWNER_UNREACHABLE


@_on_two_nodes
async def test_owner_says_not_run_through_another_node(n1, n2):
    n1.plan = [KIND.NO_TARGET]
    key = _issued()
    assert await n2.call(key) == KIND.NO_TARGET
    assert await n2.call(key) == b"run 2"


@_on_two_nodes
async def test_reused_key_with_another_request_is_refused(n1, n2):
    key = _issued()
    assert await n1.call(key, body=b"1") == b"run 1"
    assert await n2.call(key, body=b"2") == KIND.KEY_REUSED
    assert len(n1.runs) == 1


@_on_two_nodes
async def test_stopped_node_starts_nothing_and_answers_waiting_repeats(n1, n2):
    nodes, responses = {}, []

    async def call(node, key):
        responses.append(await node.call(key))

    async with trio.open_nursery() as callers, trio.open_nursery() as background:
        node = _Node("n3", 1, background, nodes)
        node.plan = [5]
        key = _issued("n3", 1)
        for _ in range(2):
            callers.start_soon(call, node, key)
        await trio.sleep(1)
        background.cancel_scope.cancel()
    assert responses == [KIND.TARGET_FAILED] * 2
    assert await node.call(key) is KIND.TARGET_FAILED
    assert await node.call(_issued("n3", 1)) is KIND.LEAVING
    assert len(node.runs) == 1


@_on_two_nodes
async def test_streamed_response_is_held_whole_and_a_broken_one_is_a_failure(n1, n2):
    async def body(is_broken):
        yield b"one "
        if is_broken:
            raise messages.ConnectionBrokenError("target died")
        yield b"two"

    for is_broken, expected in ((False, b"one two"), (True, None)):

        async def execute(request, is_broken=is_broken):
            chunked = ((b"transfer-encoding", b"chunked"),)
            return messages.Response(200, chunked, stream=body(is_broken))

        key, request = _issued(), messages.Request("POST", "/")
        for _ in range(2):
            if expected:
                response = await n1.calls.run(key, request, _route(), execute)
                assert response == messages.Response(200, body=expected)
            else:
                with pytest.raises(errors.CallError) as caught:
                    await n1.calls.run(key, request, _route(), execute)
                assert caught.value.kind is KIND.TARGET_FAILED
