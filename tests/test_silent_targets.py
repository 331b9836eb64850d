"""First deployment: open connections to a target go silent for good, while new ones work."""

import pytest
import trio

import loopback
from buckthornstage.http import client, messages
from buckthornstage.soak import proxy

CALLS = 3
CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed
CALL_MS = 1_000  # a call to a target that answers at once


# Guards against calls that wait for a response until their deadline, 5 s later, on connections that
# have been silent since before the node was in touch again (the class of issue 38).
@pytest.mark.parametrize("method, target", [("GET", "/status"), ("POST", "/print")])
def test_calls_do_not_wait_on_connections_that_are_silent_for_long(method, target):
    async def main(nursery):
        async def slow(request):
            await trio.sleep(0.1)
            return messages.Response(200)

        link = proxy.Proxy(await loopback.listen(nursery, slow))
        await nursery.start(link.serve)
        _, address = await loopback.start_proxy(nursery, [link.address])

        statuses = []

        async def call():
            response = await client.fetch(address, messages.Request(method, target))
            statuses.append(response.status)

        async def call_together():
            with trio.move_on_after(CALL_MS / 1_000):
                async with trio.open_nursery() as calls:
                    for _ in range(CALLS):
                        calls.start_soon(call)

        await call_together()
        assert statuses == [200] * CALLS
        link.mute_open()
        await trio.sleep(CONTACT_MS / 1_000)
        statuses.clear()
        await call_together()
        assert statuses == [200] * CALLS

    loopback.run(main)
