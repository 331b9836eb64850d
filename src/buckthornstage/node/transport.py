"""One-way datagrams between nodes over pynng Push0 and Pull0.

A message that cannot be queued immediately is dropped: the protocol recovers from loss, and
waiting for an unresponsive peer would block messages to all others.
"""

import collections
import dataclasses
from collections.abc import AsyncIterator, Callable

import logbook
import pynng

from buckthornstage import clock, errors
from buckthornstage.protocol import codec, messages

log = logbook.Logger("transport")

SEND_QUEUE_MESSAGES = 16  # per peer; covers a short reconnect with bounded memory
MAX_PEERS = 64  # open sockets; the least recently used one is closed first
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5_000
SILENCE_MS = 1_500
"""Nothing is received for so long only if the node is alone, or if the open connections are silent;
a peer sends something every 0.5 s by default."""


@dataclasses.dataclass(frozen=True)
class Identity:
    """Sender's node, zone and control address; the incarnation may be raised at run time."""

    node: str
    zone: str
    address: str
    incarnation: Callable[[], int]


@dataclasses.dataclass
class Traffic:
    """Counters of control traffic in bytes and messages."""

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    messages_dropped: int = 0
    datagrams_refused: int = 0
    bytes_by_kind: collections.Counter = dataclasses.field(default_factory=collections.Counter)


class Transport:
    """Sends and receives authenticated envelopes."""

    def __init__(self, identity: Identity, secret: bytes, hybrid_clock: clock.HybridClock) -> None:
        self.identity = identity
        self.secret = secret
        self.hybrid_clock = hybrid_clock
        self.traffic = Traffic()
        self.heard_ms = hybrid_clock.clock.now_ms()
        """When a message was last received, or all connections were replaced."""
        self.peers: collections.OrderedDict[str, pynng.Push0] = collections.OrderedDict()
        self.socket = pynng.Pull0(
            listen=f"tcp://{identity.address}", recv_max_size=codec.MAX_DATAGRAM_BYTES
        )

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Queues a message for a control address; drops it if it cannot be queued."""
        self._replace_silent_sockets()
        timestamp = self.hybrid_clock.tick()
        envelope = messages.Envelope(
            self.identity.node,
            self.identity.incarnation(),
            self.identity.zone,
            self.identity.address,
            timestamp.wall_ms,
            timestamp.counter,
            message,
        )
        try:
            datagram = codec.encode(envelope, self.secret)
            self._peer(address).send(datagram, block=False)
        except (pynng.NNGException, errors.ProtocolError) as error:
            self.traffic.messages_dropped += 1
            log.debug("message to {} dropped: {}", address, error)
            return
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(datagram)
        self.traffic.bytes_by_kind[type(message).__name__] += len(datagram)

    async def receive(self) -> AsyncIterator[messages.Envelope]:
        """Yields authenticated envelopes; counts and drops other datagrams."""
        while True:
            datagram = await self.socket.arecv()
            self.traffic.bytes_received += len(datagram)
            try:
                envelope = codec.decode(datagram, self.secret)
            except errors.ProtocolError as error:
                self.traffic.datagrams_refused += 1
                log.warning("message refused: {}", error)
                continue
            self.traffic.messages_received += 1
            self.heard_ms = self.hybrid_clock.clock.now_ms()
            yield envelope

    def close(self) -> None:
        """Closes all sockets."""
        self._close_peers()
        self.socket.close()

    def _replace_silent_sockets(self) -> None:
        """Closes the sockets to all peers if nobody is heard; others are opened when needed."""
        now_ms = self.hybrid_clock.clock.now_ms()
        if self.peers and now_ms - self.heard_ms >= SILENCE_MS:
            log.info("nothing received for {} ms, connecting anew", now_ms - self.heard_ms)
            self.heard_ms = now_ms
            self._close_peers()

    def _close_peers(self) -> None:
        for peer in self.peers.values():
            peer.close()
        self.peers.clear()

    def _peer(self, address: str) -> pynng.Push0:
        peer = self.peers.get(address)
        if peer is None:
            peer = pynng.Push0(
                send_buffer_size=SEND_QUEUE_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            peer.dial(f"tcp://{address}", block=False)
            self.peers[address] = peer
            if len(self.peers) > MAX_PEERS:
                _, oldest = self.peers.popitem(last=False)
                oldest.close()
        self.peers.move_to_end(address)
        return peer
