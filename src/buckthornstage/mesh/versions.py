"""The version in force on this node: taken whole, never an older one, and passed on to peers."""

import zlib

import msgspec

from buckthornstage import clock as clocks
from buckthornstage.http import server
from buckthornstage.limits import token_bucket
from buckthornstage.link import frames
from buckthornstage.mesh import egress, events, peers
from buckthornstage.routing import routes

IDLE_MARGIN_S = 2.0
"""Callers reuse connections up to four fifths of the idle timeout; the node closes after it."""
MS_PER_SECOND = 1_000
COPIES_PER_SECOND = 20
COPIES_AT_ONCE = 5
"""Copies for peers. When a node announces a version that all others lack, they ask it at the same
time; its link of 6 Mbit/s or more must go on carrying calls. Those that get no copy ask the next
node that they hear."""
MAX_COPY_BYTES = 64 << 20  # unpacked; the largest configuration seen, 1,138 routes, has 0.3 MB
FASTEST = 1  # level of zlib; routes are alike, and the best level saves little more

NEWER_LIMIT = 4  # times the size of a body; a newer version may allow longer ones
CALL_HEAD_BYTES = 1 << 20  # head and path of a call in a frame

_decoder = msgspec.msgpack.Decoder(routes.Configuration)


def pack(configuration: routes.Configuration) -> bytes:
    """Copy of a configuration for a peer."""
    return zlib.compress(msgspec.msgpack.encode(configuration), FASTEST)


def unpack(payload: bytes) -> routes.Configuration:
    """Configuration of a copy; raises ValueError with what is wrong."""
    inflater = zlib.decompressobj()
    try:
        encoded = inflater.decompress(payload, MAX_COPY_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not inflater.eof:
        raise ValueError(f"cut off, or above {MAX_COPY_BYTES} bytes")
    return _decoder.decode(encoded)


class Versions:
    """Configuration in force, and its copy for peers that are behind."""

    def __init__(
        self,
        clock: clocks.Clock,
        known_peers: peers.Peers,
        own_egress: egress.Egress,
        call_server: server.HttpServer,
        log: events.EventLog,
    ) -> None:
        self.clock = clock
        self.peers = known_peers
        self.egress = own_egress
        self.call_server = call_server
        self.log = log
        self.configuration: routes.Configuration | None = None
        self.packed = b""
        """Copy of `configuration`, made when a peer first asks for it."""
        self.copies = token_bucket.TokenBucket(COPIES_PER_SECOND, COPIES_AT_ONCE)
        self.is_fetching = False

    def is_newer(self, version: int) -> bool:
        """Whether a version would replace the one in force, if there is one."""
        return version > self.peers.version or self.egress.table is None

    def put_in_force(self, configuration: routes.Configuration, source: str) -> None:
        """Swaps a newer version in whole; an older one, or the same, changes nothing."""
        before = self.peers.version
        if not self.is_newer(configuration.version):
            return
        self.egress.table = routes.compile_table(configuration)
        self.peers.version = configuration.version
        self.configuration, self.packed = configuration, b""
        idle_s = configuration.limits.idle_timeout_ms / MS_PER_SECOND + IDLE_MARGIN_S
        self.call_server.idle_seconds = idle_s
        self.log.emit(
            "config",
            "in_force",
            is_vital=True,
            version=configuration.version,
            before=before,
            source=source,
            routes=len(configuration.routes),
        )

    async def fetch(self, address: str) -> bool:
        """Takes version and directory of a peer, when the store did not give them first.

        Returns whether the peer gave a version.
        """
        try:
            copy = await self.peers.fetch(address, self.peers.version)
        finally:
            self.is_fetching = False
        if copy is None:
            return False
        self.peers.learn(copy.entries)
        if not copy.configuration:
            return False
        try:
            configuration = unpack(copy.configuration)
        except ValueError as error:
            self.log.emit("config", "copy_refused", True, peer=address, problem=str(error))
            return False
        self.put_in_force(configuration, address)
        return True

    def max_call_bytes(self) -> int:
        """Largest frame that a peer may send; it may follow a newer version than this node."""
        if self.configuration is None:
            return frames.MAX_FRAME_BYTES
        allowed = NEWER_LIMIT * self.configuration.limits.max_body_bytes + CALL_HEAD_BYTES
        return min(allowed, frames.MAX_FRAME_BYTES)

    def make_copy(self, wanted: frames.Fetch) -> frames.Copy:
        """What a peer that holds an older version, or knows nobody, needs."""
        is_newer = self.peers.version > wanted.version
        payload = self._packed() if is_newer and self.copies.take(self.clock.now_ms()) else b""
        return frames.Copy(payload, self.peers.directory.entries())

    def _packed(self) -> bytes:
        if not self.packed:
            self.packed = pack(self.configuration)
        return self.packed
