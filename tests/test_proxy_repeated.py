"""Targets of the first deployment that write an earlier response once more on a kept connection."""

import contextlib

import pytest
import trio

import loopback
from buckthornstage.http import client, messages

LATE_S = 0.05
REFUSAL = b"HTTP/1.1 503 Busy\r\nbuckthornstage-outcome: not-run\r\ncontent-length: 4\r\n\r\nfull"


def answer(request):
    """Response that names the last two characters of the path."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n" + request[1][-2:].encode()


class RepeatingTarget:
    """Answers the first request with `first(request)` and runs all others.

    It writes the first response once more at the time that `moment` names.
    """

    def __init__(self, first, moment):
        self.first = first
        self.moment = moment
        self.repeated = b""
        self.ran = []

    async def serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while (request := await loopback.read_request(stream, b"")) is not None:
                await self._respond(stream, request)

    async def _respond(self, stream, request):
        if not self.repeated:
            self.repeated, self.stream = self.first(request), stream
            is_twice = self.moment == "with_the_first"
            await stream.send_all(self.repeated * (2 if is_twice else 1))
            if self.moment == "before_the_next":
                await trio.sleep(LATE_S)
                await stream.send_all(self.repeated)
            return
        self.ran.append(request[1])
        if self.moment == "after_the_next" and stream is self.stream:
            await stream.send_all(self.repeated)
        await stream.send_all(answer(request))


async def two_calls(nursery, target, method, prefix):
    """Responses to two calls, the second after a late copy of the first response."""
    _, address = await loopback.start_proxy(
        nursery, [await loopback.listen_raw(nursery, target.serve)]
    )
    body = b"x" if method == "POST" else b""
    first = await client.fetch(address, messages.Request(method, f"{prefix}/01", body=body))
    await trio.sleep(2 * LATE_S)
    second = await client.fetch(address, messages.Request(method, f"{prefix}/02", body=body))
    return first, second


CALLS = pytest.mark.parametrize(
    ("method", "prefix"), [("POST", "/print"), ("GET", "/status")], ids=["once", "idempotent"]
)


# Guards against "not run" for a request that its target has run, and so against a second run.
@pytest.mark.parametrize("moment", ["with_the_first", "before_the_next", "after_the_next"])
@CALLS
def test_a_repeated_refusal_is_no_proof_about_a_later_request(moment, method, prefix):
    async def test(nursery):
        target = RepeatingTarget(lambda request: REFUSAL, moment)
        first, second = await two_calls(nursery, target, method, prefix)
        assert (first.status, first.header(b"buckthornstage-outcome")) == (503, "not-run")
        assert (second.status, second.body) == (200, b"02")
        assert target.ran == [f"{prefix}/02"]

    loopback.run(test)


# Guards against the answer of an earlier request, which lay unread on the connection.
@pytest.mark.parametrize("moment", ["with_the_first", "before_the_next"])
@CALLS
def test_an_answer_repeated_before_the_next_request_reaches_nobody(moment, method, prefix):
    async def test(nursery):
        target = RepeatingTarget(answer, moment)
        first, second = await two_calls(nursery, target, method, prefix)
        assert (first.status, first.body) == (200, b"01")
        assert (second.status, second.body) == (200, b"02")

    loopback.run(test)
