"""First deployment: open connections between nodes go silent for good, while new ones work."""

import trio

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage.node import transport
from buckthornstage.protocol import messages
from buckthornstage.soak import proxy

SECRET = b"x" * 32
INTERVAL_S = 0.2
CONTACT_MS = 3_000  # a node is in touch again this long after its connections were disturbed


class TwoNodes:
    """Two transports that send each other numbered messages, each through a proxy."""

    async def start(self, nursery):
        self.links, self.received, self.transports = [], [[], []], []
        for name in ("a", "b"):
            address = platform_mesh.free_address()
            identity = transport.Identity(name, "z1", address, lambda: 1)
            clock = clocks.HybridClock(clocks.Clock())
            self.transports.append(transport.Transport(identity, SECRET, clock))
            link = proxy.Proxy(address)
            await nursery.start(link.serve)
            self.links.append(link)
        for number in range(2):
            nursery.start_soon(self._receive, number)
            nursery.start_soon(self._send, number)

    async def _receive(self, number):
        async for envelope in self.transports[number].receive():
            self.received[number].append(envelope.message.nonce)

    async def _send(self, number):
        nonce = 0
        while True:
            nonce += 1
            self.transports[number].send(self.links[1 - number].address, messages.Ping(nonce))
            await trio.sleep(INTERVAL_S)

    async def until_both_receive(self, limit_ms):
        before = [len(found) for found in self.received]
        with trio.fail_after(limit_ms / 1_000):
            while any(len(found) == n for found, n in zip(self.received, before, strict=True)):
                await trio.sleep(0.01)


def on_two_nodes(test):
    async def main(nursery):
        two = TwoNodes()
        try:
            async with trio.open_nursery() as running:
                await two.start(running)
                await test(two)
                running.cancel_scope.cancel()
        finally:
            for used in two.transports:
                used.close()

    loopback.run(main)


# Guards against nodes that never hear each other again, so that they declare no node dead and learn
# of no version from each other (the class of issue 38).
def test_nodes_hear_each_other_again_after_all_connections_between_them_went_silent():
    async def test(two):
        await two.until_both_receive(CONTACT_MS)
        for link in two.links:
            link.mute_open()
        await trio.sleep(INTERVAL_S)
        await two.until_both_receive(CONTACT_MS)

    on_two_nodes(test)


# Guards against connections that are replaced while they work.
def test_a_connection_that_works_is_kept():
    async def test(two):
        await two.until_both_receive(CONTACT_MS)
        sockets = [tuple(used.peers.values()) for used in two.transports]
        await trio.sleep(CONTACT_MS / 1_000)
        assert [tuple(used.peers.values()) for used in two.transports] == sockets

    on_two_nodes(test)
