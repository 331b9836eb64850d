"""Open connections to the log go silent for good, while new ones work."""

import pytest
import trio

import loopback
from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.platform import log_client
from buckthornstage.soak import proxy
from buckthornstage.standins import log_server, log_store

POOLED = 3
TIMEOUT_MS = 300
WAIT_MS = 100
CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed


def read(log):
    return log.read("config", 0, 10, WAIT_MS)


async def silenced_client(nursery):
    """A client with POOLED idle connections, which have just gone silent."""
    server = log_server.LogServer(log_store.Retention(), 300.0, clocks.Clock())
    link = proxy.Proxy(await loopback.listen(nursery, server.handle))
    await nursery.start(link.serve)
    log = log_client.LogClient(f"http://{link.address}", TIMEOUT_MS)
    async with trio.open_nursery() as reads:
        for _ in range(POOLED):
            reads.start_soon(read, log)
    link.mute_open()
    return log


# Guards against a reader that spends a whole time-out on each pooled connection after all of them
# have gone silent (the class of issue 38).
def test_only_one_request_is_lost_on_silent_connections():
    async def main(nursery):
        log = await silenced_client(nursery)
        with pytest.raises(errors.LogUnavailableError):
            await read(log)
        assert (await read(log)).records == ()

    loopback.run(main)


# Guards against requests on a connection that has been silent since before the node was in touch
# again (the class of issue 38).
def test_no_request_is_lost_on_connections_that_are_silent_for_long():
    async def main(nursery):
        log = await silenced_client(nursery)
        await trio.sleep(CONTACT_MS / 1_000)
        assert (await read(log)).records == ()

    loopback.run(main)
