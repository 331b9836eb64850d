"""Third step of a call at the egress: a token of its tenant's quota; see docs/design/quotas.md."""

import collections

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.link import frames, quota_frames
from buckthornstage.membership import directory
from buckthornstage.mesh import events, metrics
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.quotas import division, leases
from buckthornstage.quotas import node as quota_node
from buckthornstage.routing import routes

TICKS_PER_NODE_CHECK = 5
TICKS_PER_USE_LINE = 50
"""Interval of the log lines on the use of tenants, 5 s."""


class TenantQuotas:
    """Quotas at one node; does nothing while no tenant has a limit.

    `send(address, payload)` sends a datagram, and `active_table()` is the table in force; the
    node sets both.
    """

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        clock: clocks.Clock,
        known: directory.Directory,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
    ) -> None:
        self.clock = clock
        self.directory = known
        self.log = log
        self.metrics = node_metrics
        self.send = lambda address, payload: None
        self.active_table = lambda: None
        self.node = quota_node.QuotaNode(
            known.own.link_address,
            known.own.zone,
            _bounds(settings),
            self._send,
            self._is_reachable,
            self._heard_ms,
        )
        self.node.on_answer = self._notify
        self.node.on_lender_change = self._log_lender
        self.table: routes.RouteTable | None = None
        self.answered: dict[int, trio.Event] = collections.defaultdict(trio.Event)
        self.ticks = 0
        self.known_nodes: tuple[dict[str, frozenset[str]], int] = ({}, 0)
        self.logged: dict[str, tuple[int, int]] = {}
        """Requests used and refused by tenant, when a line told them last."""

    def apply_settings(self, settings: mesh_settings.MeshSettings) -> None:
        """Takes settings that were reloaded."""
        self.node.bounds = _bounds(settings)
        self.known_nodes = ({}, 0)

    def now_ms(self) -> int:
        """Time that counts pauses and suspensions of the machine."""
        return self.clock.now_ms() + self.clock.suspended_ms()

    def apply(self, table: routes.RouteTable | None) -> None:
        """Applies the tenants of the active version, if it has changed."""
        if table is self.table or table is None:
            return
        self.table = table
        now_ms = self.now_ms()
        self.node.set_tenants(table.configuration.tenants, now_ms)
        if self.node.is_in_use:
            self._check_nodes(now_ms)

    def explain(self, tenant: routes.Tenant) -> dict[str, object]:
        """Limit of a tenant and its lease at this node; takes nothing."""
        found: dict[str, object] = {"rate_per_s": tenant.rate_per_second, "burst": tenant.burst}
        lease = self.node.leases.get(tenant.name)
        if lease is None:
            return found
        now_ms = self.now_ms()
        return {
            **found,
            "tokens": lease.tokens if now_ms < lease.expires_ms else 0,
            "refused_for_ms": max(0, lease.denied_until_ms - now_ms),
            "lender": lease.lender,
        }

    async def take(self, tenant: routes.Tenant) -> int:
        """Takes a token for a request, which may wait some ms for an answer of the lender.

        Returns the end of the token, for `give_back`. Raises CallError if the tenant's quota is
        used up.
        """
        if tenant.name not in self.node.leases:
            return 0
        now_ms = self.now_ms()
        lease, verdict = self.node.request(tenant.name, now_ms)
        if verdict is leases.Verdict.ASK:
            lease.waiting += 1
            try:
                verdict = await self._wait(lease)
            finally:
                lease.waiting -= 1
            now_ms = self.now_ms()
        if verdict is leases.Verdict.TAKEN:
            self.metrics.count("tenant_used", tenant.name)
            return lease.taken_end_ms
        reason = "no lender" if now_ms < lease.own_until_ms else "no tokens"
        self.metrics.count("tenant_refused", f"{tenant.name} {reason}")
        detail = f"{tenant.name}: {reason}"
        retry_ms = leases.retry_ms(lease, now_ms)
        raise errors.CallError(errors.ErrorKind.QUOTA_EXCEEDED, detail, retry_ms)

    async def _wait(self, lease: leases.Lease) -> leases.Verdict:
        while True:
            verdict, due_ms = self.node.proceed(lease, self.now_ms())
            if verdict is not leases.Verdict.ASK:
                return verdict
            with trio.move_on_after(due_ms / 1_000):
                await self.answered[lease.tenant].wait()

    def give_back(self, tenant: routes.Tenant, end_ms: int) -> None:
        """Returns the token of a request that has certainly not run."""
        lease = self.node.leases.get(tenant.name)
        if lease is not None and leases.give_back(lease, end_ms, self.now_ms()):
            self.metrics.count("tenant_returned", tenant.name)

    def receive(self, payload: bytes, sender_ip: str) -> None:
        """Handles a datagram of another node; raises ProtocolError if it is malformed."""
        message = quota_frames.decode(payload)
        is_named = isinstance(message, quota_frames.Ask | quota_frames.Report)
        if is_named and message.sender.rpartition(":")[0] != sender_ip:
            raise errors.ProtocolError("sender differs from link address")
        self.apply(self.active_table())
        if self.node.is_in_use:
            self.node.handle(message, self.now_ms())

    def tick(self) -> None:
        """Runs the regular work; called with each tick of the peers."""
        self.apply(self.active_table())
        if not self.node.is_in_use:
            return
        self.ticks += 1
        now_ms = self.now_ms()
        if self.ticks % TICKS_PER_NODE_CHECK == 0:
            self._check_nodes(now_ms)
        if self.ticks % TICKS_PER_USE_LINE == 0:
            self._log_use()
        self.node.tick(now_ms)

    def _check_nodes(self, now_ms: int) -> None:
        own = self.directory.own
        zones: dict[str, set[str]] = collections.defaultdict(set)
        zones[own.zone].add(own.link_address)
        for address, peer in self.directory.peers.items():
            zones[peer.entry.zone].add(address)
        addresses = {zone: frozenset(found) for zone, found in zones.items()}
        peers = self.directory.peers.values()
        most_known = max((peer.directory_size for peer in peers), default=0)
        if (addresses, most_known) != self.known_nodes:
            self.known_nodes = (addresses, most_known)
            self.node.zone = self.node.choice.zone = own.zone
            self.node.set_nodes(addresses, now_ms, most_known)
        self.node.lender.set_reach(self._reach(), now_ms)

    def _reach(self) -> float:
        """Part of the zone's nodes that this one reaches, itself included.

        Only watched peers show a cut within a second, and lost ones are replaced in the watch list;
        so it is the smaller part of the watched and of all nodes.
        """
        now_ms = self.clock.now_ms()
        parts = []
        for peers in (self.directory.watches.watched, self.directory.peers):
            reached = [
                peer.is_reachable(now_ms)
                for peer in peers.values()
                if self.directory.is_in_own_zone(peer)
            ]
            parts.append((1 + sum(reached)) / (1 + len(reached)))
        return min(parts)

    def _is_reachable(self, address: str) -> bool:
        """Whether a peer may lend; one that was never heard may, since few peers are watched."""
        peer = self.directory.peers.get(address)
        if peer is None:
            return False
        if peer.state is not None and peer.state.status is frames.IngressStatus.LEAVING:
            return False
        return peer.heard_ms < 0 or peer.is_reachable(self.clock.now_ms())

    def _heard_ms(self, address: str) -> int:
        peer = self.directory.peers.get(address)
        return -1 if peer is None else peer.heard_ms + self.clock.suspended_ms()

    def _send(self, address: str, message: quota_frames.Message) -> None:
        self.metrics.count("quota_messages", type(message).__name__.lower())
        self.send(address, quota_frames.encode(message))

    def _notify(self, tenant: int) -> None:
        event = self.answered.pop(tenant, None)
        if event is not None:
            event.set()

    def _log_lender(self, group: int, address: str, before: str | None) -> None:
        self.metrics.count("quota_lender_changes")
        self.log.emit("quota", "lender", True, group=group, lender=address, before=before)

    def _log_use(self) -> None:
        """Tells of the tenants of which this node has refused requests since the last time."""
        for name, lease in self.node.leases.items():
            used, refused = self.logged.get(name, (0, 0))
            if lease.refused != refused:
                self.logged[name] = (lease.used, lease.refused)
                rate, burst = self.node.limits[lease.tenant]
                fields = {"used": lease.used - used, "refused": lease.refused - refused}
                fields.update(rate_per_s=rate, burst=burst, lender=lease.lender)
                self.log.emit("quota", "tenant_use", tenant=name, **fields)


def _bounds(settings: mesh_settings.MeshSettings) -> division.Bounds:
    return division.Bounds(settings.quota_window_s, settings.quota_overshoot, settings.quota_slack)
