"""Active configuration version of this node: replaced atomically, only by a newer one, and served
to peers."""

import collections
import zlib

import msgspec

from buckthornstage import clock as clocks
from buckthornstage import decoding
from buckthornstage.http import server
from buckthornstage.limits import token_bucket
from buckthornstage.link import frames
from buckthornstage.mesh import egress, events, peers
from buckthornstage.routing import configuration_delta, routes

IDLE_MARGIN_S = 2.0
"""Clients reuse connections for up to four fifths of the idle timeout; the node closes them only
after the whole timeout and this margin."""
MS_PER_SECOND = 1_000
COPIES_PER_SECOND = 20
COPY_BURST = 5
"""Rate limit of configuration copies sent to peers, and number of copies that may be sent at once
before it applies. All peers request a copy at the same time from a node that announces a version
which they lack, and its link of 6 Mbit/s or more must keep carrying calls. Peers that get no copy
request it from the next node that announces the version."""
DELTAS_PER_SECOND = 200
DELTA_BURST = 100
RECENT_VERSIONS = 4
"""Versions from which a delta can be made; nodes read the store at most 0.7 s apart."""
MAX_COPY_BYTES = 64 << 20  # uncompressed; the largest configuration seen, 1,138 routes, has 0.3 MB
ZLIB_LEVEL = 1  # fastest; routes are similar, so the highest level saves little more

MAX_HEADER_BYTES = 8 << 20
MAX_BODY_BYTES = 64 << 20
"""Largest limits on the size of a request; header and body fit a frame together."""
FIRST_MAX_HEADER_BYTES = 256 * 1024  # before there is a configuration; such calls are not ready
NEWER_LIMIT_FACTOR = 4
"""A peer may have a newer version, which allows larger requests by this factor."""
MIN_CALL_BYTES = 16 << 20  # accepted from a peer in any case, as its version may allow it
CALL_HEAD_BYTES = 1 << 20  # allowance for the path and the other fields of a call in a frame

STORE = "store"
"""Source of a version that this node read from the store; otherwise the address of a peer."""

_decoder = msgspec.msgpack.Decoder(routes.Configuration)
_delta_decoder = msgspec.msgpack.Decoder(configuration_delta.Delta)


def pack(content: routes.Configuration | configuration_delta.Delta) -> bytes:
    """Encodes and compresses a configuration, or a delta, for a peer."""
    return zlib.compress(msgspec.msgpack.encode(content), ZLIB_LEVEL)


def unpack(payload: bytes) -> routes.Configuration:
    """Decodes a configuration packed by `pack`.

    Raises ValueError that states the fault if it is invalid or too large.
    """
    return _validated(decoding.decode(_decoder, _inflate(payload)))


def unpack_delta(payload: bytes) -> configuration_delta.Delta:
    """Decodes a delta packed by `pack`; raises ValueError like `unpack`."""
    return decoding.decode(_delta_decoder, _inflate(payload))


def _validated(configuration: routes.Configuration) -> routes.Configuration:
    problem = routes.problem(configuration)
    if problem:
        raise ValueError(f"configuration {configuration.version}: {problem}")
    return configuration


def _inflate(payload: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        encoded = inflater.decompress(payload, MAX_COPY_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not inflater.eof:
        raise ValueError(f"configuration truncated, or above {MAX_COPY_BYTES} bytes uncompressed")
    return encoded


class Versions:
    """Active configuration, and its packed copy for peers that have an older one."""

    def __init__(
        self,
        clock: clocks.Clock,
        own_peers: peers.Peers,
        own_egress: egress.Egress,
        call_server: server.HttpServer,
        log: events.EventLog,
    ) -> None:
        self.clock = clock
        self.peers = own_peers
        self.egress = own_egress
        self.call_server = call_server
        self.log = log
        self.knowledge = own_egress.knowledge
        self.configuration: routes.Configuration | None = None
        self.packed_copy = b""
        """Packed form of `configuration`, made when a peer first requests it."""
        self.copy_rate = token_bucket.TokenBucket(COPIES_PER_SECOND, COPY_BURST)
        self.delta_rate = token_bucket.TokenBucket(DELTAS_PER_SECOND, DELTA_BURST)
        self.recent: collections.OrderedDict[int, routes.Configuration] = collections.OrderedDict()
        """Latest versions, from which peers may get a delta."""
        self.packed_deltas: dict[int, bytes] = {}
        """Packed deltas to the active version, by base version."""

    def is_newer(self, version: int) -> bool:
        """Whether a version would replace the active one; any does while there is none."""
        return version > self.peers.version or self.egress.table is None

    def activate(self, configuration: routes.Configuration, source: str) -> None:
        """Activates a newer version atomically; ignores an older one or the same."""
        previous_version = self.peers.version
        if not self.is_newer(configuration.version):
            return
        configuration = configuration_delta.share_routes(configuration, self.configuration)
        self.egress.table = routes.compile_table(configuration)
        self.peers.version = configuration.version
        self.knowledge.activated_ms = self.clock.now_ms()
        self.configuration, self.packed_copy = configuration, b""
        self.packed_deltas.clear()
        self.recent[configuration.version] = configuration
        if len(self.recent) > RECENT_VERSIONS:
            self.recent.popitem(last=False)
        self._apply_limits(configuration.limits)
        self.apply_connection_limit()
        self.egress.ingress.set_tenants(configuration.tenants)
        self.egress.choice.has_tenants = bool(configuration.tenants)
        self.log.emit(
            "config",
            "in_force",
            is_vital=True,
            version=configuration.version,
            before=previous_version,
            source=source,
            routes=len(configuration.routes),
        )
        source_peer = self.peers.directory.peers.get(source)
        if source_peer is None or not self.peers.directory.is_in_own_zone(source_peer):
            self.peers.announce_version(is_from_store=source == STORE)

    def apply_connection_limit(self) -> None:
        """Sets the limit on connections to the target; to be called again when the settings name
        another service."""
        if self.configuration is not None:
            limit = self.configuration.max_connections(self.egress.settings.service)
            self.egress.ingress.set_max_connections(limit)

    def _apply_limits(self, limits: routes.CallLimits) -> None:
        """Sets the limits on clients' requests, also for connections that are open.

        A request is passed on in one frame, so limits are cut to what a frame can hold.
        """
        self.call_server.max_header_bytes = min(limits.max_header_bytes, MAX_HEADER_BYTES)
        self.call_server.max_body_bytes = min(limits.max_body_bytes, MAX_BODY_BYTES)
        if (limits.max_header_bytes, limits.max_body_bytes) != self.size_limits:
            self.log.emit(
                "config",
                "limits_cut",
                is_vital=True,
                max_header_bytes=self.call_server.max_header_bytes,
                max_body_bytes=self.call_server.max_body_bytes,
            )
        self.call_server.header_seconds = limits.header_timeout_ms / MS_PER_SECOND
        idle_s = limits.idle_timeout_ms / MS_PER_SECOND + IDLE_MARGIN_S
        self.call_server.idle_seconds = idle_s

    @property
    def size_limits(self) -> tuple[int, int]:
        """Limits in bytes on header and body of a request that are in force."""
        return self.call_server.max_header_bytes, self.call_server.max_body_bytes

    async def fetch(self, address: str) -> bool:
        """Fetches a newer configuration and the directory from a peer, and applies them, unless the
        store delivered them first.

        Returns whether the peer sent a valid configuration, activated or not.
        """
        copy = await self.peers.fetch(address, self.peers.version)
        if copy is None:
            return False
        self.peers.learn_encoded(copy.entries, address)
        try:
            configuration = self._configuration_in(copy)
        except ValueError as error:
            self.log.emit("config", "copy_refused", True, peer=address, problem=str(error))
            return False
        if configuration is None:
            self.log.emit("config", "copy_empty", peer=address, version=self.peers.version)
            return False
        self.activate(configuration, address)
        return True

    def _configuration_in(self, copy: frames.Copy) -> routes.Configuration | None:
        """Configuration that a peer sent; raises ValueError if it is invalid."""
        if copy.configuration:
            return unpack(copy.configuration)
        if not copy.delta:
            return None
        delta = unpack_delta(copy.delta)
        base = self.recent.get(delta.base_version)
        if base is None:
            raise ValueError(f"delta from version {delta.base_version}, which is not known")
        return _validated(configuration_delta.apply(base, delta))

    def max_call_bytes(self) -> int:
        """Largest frame accepted from a peer, which may have a newer version than this node."""
        if self.configuration is None:
            return frames.MAX_FRAME_BYTES
        allowed = NEWER_LIMIT_FACTOR * sum(self.size_limits) + CALL_HEAD_BYTES
        return min(max(allowed, MIN_CALL_BYTES), frames.MAX_FRAME_BYTES)

    def make_copy(self, request: frames.Fetch) -> frames.Copy:
        """Response to a peer's fetch: the directory if the peer may know fewer nodes, and the
        configuration if it is newer than the peer's and the rate limits allow it, as a delta if
        the peer's version is still known.
        """
        known = self.peers.directory
        is_known = request.directory_size >= known.size()
        entries = () if is_known else frames.encode_entries(known.entries())
        now_ms = self.clock.now_ms()
        if self.peers.version <= request.version:
            return frames.Copy(b"", entries)
        # A node without a configuration asks with version 0, which may be a version as well.
        if request.version > 0 and request.version in self.recent:
            delta = b""
            if self.delta_rate.take(now_ms):
                delta = self._get_packed_delta(request.version)
            return frames.Copy(b"", entries, delta)
        payload = self._get_packed_copy() if self.copy_rate.take(now_ms) else b""
        return frames.Copy(payload, entries)

    def _get_packed_delta(self, base_version: int) -> bytes:
        if base_version not in self.packed_deltas:
            delta = configuration_delta.make(self.recent[base_version], self.configuration)
            self.packed_deltas[base_version] = pack(delta)
        return self.packed_deltas[base_version]

    def _get_packed_copy(self) -> bytes:
        if not self.packed_copy:
            self.packed_copy = pack(self.configuration)
        return self.packed_copy
