"""The version in force on this node: taken whole, never an older one, and passed on to peers."""

import msgspec

from buckthornstage.http import server
from buckthornstage.link import frames
from buckthornstage.mesh import caller, events, peers
from buckthornstage.routing import routes

IDLE_MARGIN_S = 2.0
"""Callers reuse connections up to four fifths of the idle timeout; the node closes after it."""
MS_PER_SECOND = 1_000

_decoder = msgspec.msgpack.Decoder(routes.Configuration)


class Versions:
    """Configuration in force; `encoded` is its copy for peers that are behind."""

    def __init__(
        self,
        known_peers: peers.Peers,
        caller_side: caller.CallerSide,
        call_server: server.HttpServer,
        log: events.EventLog,
    ) -> None:
        self.peers = known_peers
        self.caller = caller_side
        self.call_server = call_server
        self.log = log
        self.encoded = b""
        self.is_fetching = False

    def put_in_force(self, configuration: routes.Configuration, source: str) -> None:
        """Swaps a newer version in whole; an older one, or the same, changes nothing."""
        before = self.peers.version
        if configuration.version <= before and self.caller.table is not None:
            return
        self.caller.table = routes.compile_table(configuration)
        self.peers.version = configuration.version
        self.encoded = msgspec.msgpack.encode(configuration)
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
            configuration = _decoder.decode(copy.configuration)
        except msgspec.MsgspecError as error:
            self.log.emit("config", "copy_refused", True, peer=address, problem=str(error))
            return False
        self.put_in_force(configuration, address)
        return True

    def make_copy(self, wanted: frames.Fetch) -> frames.Copy:
        """What a peer that holds an older version, or knows nobody, needs."""
        is_newer = self.peers.version > wanted.version
        return frames.Copy(self.encoded if is_newer else b"", self.peers.directory.entries())
