"""Targets that write an earlier refusal once more on a kept connection."""

import functools

import pytest
import trio

import platform_mesh
from buckthornstage.http import client, messages
from buckthornstage.link import frames
from buckthornstage.mesh import target_pool

SEGMENT_PAUSE_S = 0.05
PROMISES = {408, 421, 429, 503}
"""Statuses that tell a client that its request has not run."""


def refusal(call_id, status=503):
    """Encoded refusal, without an id if `call_id` is None."""
    id_line = b"" if call_id is None else b"Attempt-Id: %s\r\n" % call_id.encode()
    head = b"HTTP/1.1 %d X\r\n%sNot-Executed: 1\r\nContent-Length: 4\r\n\r\n"
    return head % (status, id_line) + b"full"


def own_response(call_id):
    head = b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\nContent-Length: 3\r\n\r\n"
    return head % call_id.encode() + b"own"


async def call_pay(node, path, call_id):
    """Sends an unsafe call with this id, or without the header if it is None."""
    fields = [(b"host", platform_mesh.HOST.encode()), (b"timeout-remaining", b"1500")]
    if call_id is not None:
        fields.append((b"attempt-id", call_id.encode()))
    request = messages.Request("POST", path, tuple(fields), b"x")
    return await client.fetch(node.settings.call_address, request)


class RepeatingTarget:
    """Script that refuses the first call, runs all others, and repeats the refusal once.

    `copy(refused_id)` is the repeated refusal, written at the time that `moment` names.
    """

    def __init__(self, moment, copy, status=503):
        self.moment = moment
        self.copy = copy
        self.status = status
        self.refused = None
        self.ran = []

    async def __call__(self, arrival):
        call_id = arrival.headers.get("attempt-id")
        if self.refused is None:
            self.refused = arrival
            first = refusal(call_id, self.status)
            await arrival.stream.send_all(first + self._copy_if("with_the_first"))
            if self.moment == "before_the_next":
                await trio.sleep(SEGMENT_PAUSE_S)
                await arrival.stream.send_all(self._copy())
            return b""
        self.ran.append(arrival.path)
        if arrival.stream is self.refused.stream and len(self.ran) == 1:
            await self._repeat(arrival.stream, call_id or "")
        return own_response(call_id or "")

    async def _repeat(self, stream, call_id):
        if self.moment == "in_two_segments":
            copy = self._copy()
            await stream.send_all(copy[:30])
            await trio.sleep(SEGMENT_PAUSE_S)
            await stream.send_all(copy[30:])
        if self.moment == "in_a_head":
            await stream.send_all(own_response(call_id).partition(b"Content")[0][:-4])
        await stream.send_all(self._copy_if("after_the_next", "in_a_head"))

    def _copy_if(self, *moments):
        return self._copy() if self.moment in moments else b""

    def _copy(self):
        return self.copy(self.refused.headers.get("attempt-id"))


MOMENTS = pytest.mark.parametrize(
    "moment",
    ["with_the_first", "before_the_next", "after_the_next", "in_two_segments", "in_a_head"],
)
IDS = pytest.mark.parametrize(
    ("first_id", "second_id"),
    [("one", "two"), ("same", "same"), (None, None), (None, "two"), ("one", None)],
    ids=["other_id", "same_id", "no_ids", "no_id_first", "no_id_second"],
)


@MOMENTS
@IDS
@pytest.mark.parametrize("is_id_copied", [True, False], ids=["copy", "copy_without_id"])
@pytest.mark.parametrize("status", [503, 421])
def test_a_repeated_refusal_is_no_proof_about_a_later_call(
    moment, first_id, second_id, is_id_copied, status, tmp_path
):
    """Guards against "not run, try again" for a call that its target has run (REFUSED), and for
    that reason a second run (TWICE)."""

    async def test(mesh, node, target):
        assert (await call_pay(node, "/pay/1", first_id)).status in PROMISES
        if status == 421:  # the target is taken for down until it announces itself again
            target.born_ms, target.sequence = target.born_ms + 1, 0
            await mesh.announce(node, target)
        await trio.sleep(2 * SEGMENT_PAUSE_S if moment == "before_the_next" else 0)
        second = await call_pay(node, "/pay/2", second_id)
        assert target.script.ran == ["/pay/2"]
        assert second.status not in PROMISES
        assert second.body == b"own" or second.status == 502
        assert node.ingress.status() is frames.IngressStatus.OPEN
        third = await call_pay(node, "/pay/3", "three")
        assert (third.status, third.body) == (200, b"own")

    copy = functools.partial(refusal, status=status)
    script = RepeatingTarget(moment, copy if is_id_copied else lambda _: copy(None), status)
    platform_mesh.on_mesh(script, test, tmp_path)


@pytest.mark.parametrize("status", [408, 429, 503])
def test_an_answer_with_a_status_of_refusals_but_no_proof_is_no_promise(status, tmp_path):
    """Guards against "not run, try again" for a call that its target has run (REFUSED): the status
    alone is no proof, but it is one for the client."""

    async def test(mesh, node, target):
        assert (await call_pay(node, "/pay/1", "one")).status == 502
        assert len(target.arrivals) == 1

    script = functools.partial(platform_mesh.response, status=status)
    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_late_answer_to_an_earlier_call_with_the_same_id_is_not_taken_for_the_next(tmp_path):
    """Guards against the answer of an earlier request, for a client that sends one id twice."""
    arrivals = []

    async def script(arrival):
        arrivals.append(arrival)
        if arrival.stream is arrivals[0].stream and len(arrivals) == 2:
            return platform_mesh.response(arrivals[0], b"first") + own_response(arrival.call_id)
        return platform_mesh.response(arrival, b"first" if len(arrivals) == 1 else b"own")

    async def test(mesh, node, target):
        assert (await call_pay(node, "/pay/1", "same")).body == b"first"
        assert (await call_pay(node, "/pay/2", "same")).body == b"own"
        assert len(arrivals) == 2

    platform_mesh.on_mesh(script, test, tmp_path)


@pytest.mark.parametrize("id_line", [b"Attempt-Id: one\r\n", b""], ids=["id", "no_id"])
def test_an_answer_within_the_head_of_another_is_not_taken_for_the_other(id_line, tmp_path):
    """Guards against the body of an earlier request (MIXED): the target stops within a header of
    its own answer and then writes the earlier answer once more."""
    earlier = own_response("one").replace(b"Attempt-Id: one\r\n", id_line)

    async def script(arrival):
        own = own_response(arrival.call_id).replace(b"own", b"two")
        if arrival.path == "/pay/1":
            return own_response("one")
        return own[: own.index(b"seal")] + earlier

    async def test(mesh, node, target):
        assert (await call_pay(node, "/pay/1", "one")).body == b"own"
        assert (await call_pay(node, "/pay/2", "two")).status == 502

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_connection_remembers_a_bounded_number_of_ids(tmp_path, monkeypatch):
    """Guards against memory that grows with each call on a kept connection."""
    monkeypatch.setattr(target_pool, "MAX_CALLS_PER_CONNECTION", 3)

    async def test(mesh, node, target):
        for number in range(6):
            assert (await call_pay(node, f"/pay/{number}", f"id-{number}")).status == 200
        assert node.ingress.pool.opened == 2

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_a_connection_with_an_answer_that_proves_nothing_is_not_used_again(tmp_path):
    """Guards against a call that waits behind an earlier one that its target still runs: the
    repeated refusal ended the earlier call at the node only."""

    async def script(arrival):
        if arrival.path == "/pay/2":
            await arrival.stream.send_all(refusal(None))
            await trio.sleep_forever()
        return platform_mesh.response(arrival)

    async def test(mesh, node, target):
        assert (await call_pay(node, "/pay/1", "one")).status == 200
        assert (await call_pay(node, "/pay/2", "two")).status == 502
        assert (await call_pay(node, "/pay/3", "three")).status == 200

    platform_mesh.on_mesh(script, test, tmp_path)
