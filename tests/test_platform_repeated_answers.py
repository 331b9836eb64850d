"""Targets that write any of their earlier answers again, at any time, on a kept connection."""

import dataclasses
import itertools
import sys

import hypothesis
import trio
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage.http import client, messages

LATE_S = 0.01
PROMISES = {408, 421, 429, 503}
"""Statuses that tell a client that its request has not run."""


@dataclasses.dataclass(frozen=True)
class Copy:
    """An earlier answer on the connection, counted from its newest; `call_id` replaces its id."""

    moment: str
    age: int
    call_id: str


@dataclasses.dataclass(frozen=True)
class Step:
    """One call and what its target does; `call_id` is None for a call without the header."""

    call_id: str | None
    runs: bool
    copies: tuple[Copy, ...]


KEPT, NONE = "kept", "none"
COPIES = st.builds(
    Copy,
    st.sampled_from(["before", "after", "late"]),
    st.integers(0, 2),
    st.sampled_from([KEPT, NONE, "never-sent"]),
)
STEPS = st.builds(
    Step,
    st.sampled_from([None, "one", "two"]),
    st.booleans(),
    st.lists(COPIES, max_size=2).map(tuple),
)


def encode(path, call_id, runs):
    """Answer to one call, with its path as body; without an id if `call_id` is None."""
    id_line = "" if call_id is None else f"Attempt-Id: {call_id}\r\n"
    mark = "Response-Seal: seal" if runs else "Not-Executed: 1"
    head = f"HTTP/1.1 {200 if runs else 503} X\r\n{id_line}{mark}\r\nContent-Length: {len(path)}"
    return f"{head}\r\n\r\n{path}".encode()


class RepeatingTarget:
    """Script that follows `steps` by the number in the path of a call."""

    def __init__(self, steps):
        self.steps = steps
        self.answered = {}
        self.ran = []

    async def __call__(self, arrival):
        step = self.steps[int(arrival.path.rpartition("/")[2])]
        earlier = self.answered.setdefault(arrival.stream, [])
        if step.runs:
            self.ran.append(arrival.path)
        answer = (arrival.path, arrival.headers.get("attempt-id"), step.runs)
        await self._write(arrival.stream, self._copies(step, earlier, "before"))
        earlier.append(answer)
        await self._write(arrival.stream, encode(*answer))
        await self._write(arrival.stream, self._copies(step, earlier, "after"))
        if any(copy.moment == "late" for copy in step.copies):
            await trio.sleep(LATE_S)
        return self._copies(step, earlier, "late")

    async def _write(self, stream, payload):
        if payload:
            await stream.send_all(payload)

    def _copies(self, step, earlier, moment):
        return b"".join(self._copy(copy, earlier) for copy in step.copies if copy.moment == moment)

    def _copy(self, copy, earlier):
        if copy.age >= len(earlier):
            return b""
        path, call_id, runs = earlier[-1 - copy.age]
        given = {KEPT: call_id, NONE: None}
        return encode(path, given.get(copy.call_id, copy.call_id), runs)


async def send(node, number, call_id):
    """Sends an unsafe call."""
    fields = [(b"host", platform_mesh.HOST.encode()), (b"timeout-remaining", b"1000")]
    if call_id is not None:
        fields.append((b"attempt-id", call_id.encode()))
    request = messages.Request("POST", f"/pay/{number}", tuple(fields), b"x")
    return await client.fetch(node.settings.call_address, request)


@hypothesis.given(st.lists(STEPS, min_size=2, max_size=12), st.lists(st.booleans()))
@hypothesis.example(
    [Step("one", True, ()), Step(None, True, (Copy("before", 0, NONE),))] * 4, [False]
)
@hypothesis.settings(max_examples=30, deadline=None)
def test_any_repeated_answer_is_neither_an_answer_nor_a_proof_for_another_call(
    tmp_path_factory, steps, pauses
):
    """Guards against the answer of another request (MIXED), "not run" for a request that a target
    has run (REFUSED) and a second run (TWICE)."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path_factory.mktemp("mesh"))
        await mesh.start_store()
        script = RepeatingTarget(steps)
        node = await mesh.start_node("n1", platform_mesh.Target(script))
        await mesh.start_node("n2", platform_mesh.Target(script))
        peers = node.directory.peers
        await platform_mesh.until(lambda: node.is_ready)
        await platform_mesh.until(lambda: any(peer.is_open for peer in peers.values()))
        for number, step in enumerate(steps):
            found = await send(node, number, step.call_id)
            path = f"/pay/{number}"
            if found.status in PROMISES:
                assert path not in script.ran
            if found.status == 200:
                assert found.body == path.encode()
            assert script.ran.count(path) <= 1
            if number < len(pauses) and pauses[number]:
                await trio.sleep(2 * LATE_S)
        assert mesh.events("internal_error") == []

    loopback.run(main)


def test_long_ids_of_calls_are_not_kept(tmp_path):
    # Guards against ids of 15 KB that the connections to a target remember, 500 on each.
    calls = 50

    async def test(mesh, node, target):
        for number in range(calls):
            headers = {"attempt_id": f"{'z' * 15_000}{number}"}
            assert (await platform_mesh.call(node, f"/read/{number}", **headers)).status == 200
        remembered = [entry.connection.sent_ids for entry in node.ingress.pool.idle]
        assert sum(map(len, remembered)) == calls
        assert sum(map(sys.getsizeof, itertools.chain(*remembered))) <= calls * 100

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)
