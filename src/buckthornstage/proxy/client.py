"""Pool of connections to targets; each carries one request at a time and is reused."""

import dataclasses

from buckthornstage import clock as clocks
from buckthornstage.http import client
from buckthornstage.routing import table

CONNECT_TIMEOUT_MS = 500


@dataclasses.dataclass
class Lease:
    """A connection in use by one call."""

    target: table.Target
    connection: client.Connection
    is_temporary: bool = False
    """Close it after one response, because the target is outside the subset of this node."""


@dataclasses.dataclass
class _Idle:
    connection: client.Connection
    since_ms: int


class ConnectionPool:
    """Idle connections and the number in use by target identity; `connect` opens new ones."""

    def __init__(self, clock: clocks.Clock, connect=client.connect) -> None:
        self.clock = clock
        self.connect = connect
        self.idle: dict[tuple[str, int], list[_Idle]] = {}
        self.in_use: dict[tuple[str, int], int] = {}

    async def acquire(
        self,
        target: table.Target,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
        is_temporary: bool = False,
    ) -> Lease:
        """Leases an idle connection or a new one; raises ConnectFailedError.

        Unread bytes on an idle connection would be taken for the response to the next request.
        """
        stack = self.idle.get(target.identity, [])
        while stack:
            entry = stack.pop()
            idle_ms = self.clock.now_ms() - entry.since_ms
            if idle_ms <= client.MAX_IDLE_MS and entry.connection.is_open_and_idle():
                return self._lease(target, entry.connection, is_temporary)
            await entry.connection.close()
        connection = await self.connect(target.address, min(timeout_ms, CONNECT_TIMEOUT_MS))
        return self._lease(target, connection, is_temporary)

    def _lease(
        self, target: table.Target, connection: client.Connection, is_temporary: bool
    ) -> Lease:
        self.in_use[target.identity] = self.in_use.get(target.identity, 0) + 1
        return Lease(target, connection, is_temporary)

    async def release(self, lease: Lease) -> None:
        """Returns a connection to the pool; one without a complete response is closed."""
        identity = lease.target.identity
        self.in_use[identity] -= 1
        if not self.in_use[identity]:
            del self.in_use[identity]
        if lease.connection.is_usable and not lease.is_temporary:
            idle = _Idle(lease.connection, self.clock.now_ms())
            self.idle.setdefault(identity, []).append(idle)
        else:
            await lease.connection.close()

    def retain(self, identities: set[tuple[str, int]]) -> None:
        """Closes the idle connections to all targets but these."""
        for identity in [known for known in self.idle if known not in identities]:
            for entry in self.idle.pop(identity):
                entry.connection.abort()
