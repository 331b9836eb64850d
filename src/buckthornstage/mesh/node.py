"""Node process of the two-hop mesh: starts components, applies configurations, stops gracefully.

Metrics of the ingress have the prefix `door_`.
"""

import functools
import pathlib
import signal
import traceback
from collections.abc import Callable

import logbook
import trio

from buckthornstage import clock as clocks
from buckthornstage import errors, garbage_collection, memory_allocator
from buckthornstage.http import messages, server
from buckthornstage.limits import crash_guard, process_memory
from buckthornstage.link import bulk, frames, listener
from buckthornstage.link import connection as link_connection
from buckthornstage.membership import directory, lifetimes
from buckthornstage.mesh import adapter as adapters
from buckthornstage.mesh import (
    connection_log,
    control_server,
    egress,
    events,
    followers,
    gauges,
    ingress,
    metrics,
    peer_calls,
    peer_ingress,
    peers,
    response_memory,
    rollouts,
    route_explanation,
    shutdown,
    synchronization,
    versions,
)
from buckthornstage.mesh import settings as mesh_settings

TICKS_PER_FLUSH = 3  # 300 ms, the longest time for which log lines on single calls stay buffered
TICKS_PER_SETTINGS_CHECK = 10
TASK_RESTART_MS = 200  # limits log volume and CPU use of a task that fails every time


class MeshNode:
    """One mesh node: its components and its life cycle."""

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        path: pathlib.Path,
        adapter: adapters.Adapter,
        log: events.EventLog | None = None,
    ) -> None:
        self.settings = settings
        self.path = path
        self.adapter = adapter
        self.clock = clocks.Clock()
        self.clock.wall_offset_ms = settings.clock_offset_ms
        self.log = events.EventLog(settings.node) if log is None else log
        self.metrics = metrics.Metrics()
        self.guard = crash_guard.CrashGuard()
        self.memory = self._make_memory()
        self.pool = link_connection.LinkPool(self.clock)
        self.pool.on_silent = self._log_silent_link
        parts = (self.clock, adapter.header_codec, self.log, self.metrics, self.guard)
        self.ingress = ingress.Ingress(*parts, settings.heartbeat_ms)
        self.bulk_sender = bulk.BulkSender(self.clock, self.ingress.pacer)
        self.bulk_sender.on_sent = self._log_body_sent
        self.link_connections: set[listener.PeerConnection] = set()
        self.directory = directory.Directory(self._own_entry())
        self.peers = peers.Peers(
            self.clock,
            self.directory,
            self.ingress,
            self.guard,
            self.pool,
            self.log,
            self.clock.wall_ms(),
            settings.listen_address,
        )
        self.egress = self._make_egress()
        self._connect_quotas()
        self.call_server = self._make_call_server()
        self.settings_file_stat = self._settings_file_stat()
        self.is_stopping = False
        self.ticks = 0
        self.versions = versions.Versions(
            self.clock, self.peers, self.egress, self.call_server, self.log
        )
        self.nursery: trio.Nursery | None = None
        self.synchronization = self._make_synchronization()
        self.rollouts = self._make_rollouts()

    def _make_memory(self) -> process_memory.ProcessMemory:
        memory = process_memory.ProcessMemory(self.settings.memory_mb, self.clock.now_ms)
        log_slow = functools.partial(connection_log.log_slow, self.log, self.metrics, self.clock)
        memory.clients.on_closed = functools.partial(log_slow, "caller", "slow_reader")
        memory.peers.on_closed = functools.partial(log_slow, "link", "slow_reader")
        memory.bodies.on_closed = functools.partial(log_slow, "caller", "slow_sender")
        return memory

    def _connect_quotas(self) -> None:
        self.peers.on_quota_message = self.egress.quotas.receive
        self.egress.quotas.send = self.peers.send_datagram
        self.egress.quotas.active_table = lambda: self.egress.table

    def _make_synchronization(self) -> synchronization.Synchronization:
        return synchronization.Synchronization(
            self.clock,
            lambda: self.adapter,
            self.peers,
            self.versions,
            self.log,
            lambda task, *arguments: self.nursery.start_soon(self._run_once, task, *arguments),
        )

    def _make_rollouts(self) -> rollouts.Rollouts:
        made = rollouts.Rollouts(
            self.clock,
            self.peers,
            self.ingress,
            self.log,
            self.adapter.decide_rollout,
            lambda task, *arguments: self.nursery.start_soon(self._run_once, task, *arguments),
            self.settings.exposure_share,
        )
        made.connect(self.synchronization, self.egress.choice)
        self.egress.rollout_of = made.describe
        return made

    def _make_egress(self) -> egress.Egress:
        return egress.Egress(
            self.settings,
            self.clock,
            self.adapter.header_codec,
            self.log,
            self.metrics,
            self.guard,
            self.directory,
            self.ingress,
            peer_calls.PeerCalls(self.clock, self.directory, self.pool, self.log, self.metrics),
            response_memory.ExpectedSizes(self.memory.clients),
        )

    def _make_call_server(self) -> server.HttpServer:
        """Server for clients; until there is a configuration, their calls end with "not ready"."""
        return server.HttpServer(
            self.egress.handle,
            versions.MAX_BODY_BYTES,
            max_header_bytes=versions.FIRST_MAX_HEADER_BYTES,
            memory=self.memory.bodies,
            responses=self.memory.clients,
            max_connections=self.memory.max_clients(self.settings.descriptors),
            may_overlap=self.egress.may_overlap,
            on_refused=self._log_refused("caller"),
        )

    def _own_entry(self) -> frames.NodeEntry:
        settings = self.settings
        return frames.NodeEntry(
            settings.node,
            settings.zone,
            settings.service,
            settings.link_address,
            settings.link_mbps,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts calls from clients."""
        is_informed = self.egress.table is not None and self.synchronization.has_directory
        return is_informed and not self.is_stopping

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully; SIGHUP reloads the settings."""
        logbook.NullHandler().push_application()
        events.EventHandler(self.log).push_application()
        garbage_collection.tune()
        if not memory_allocator.tune():
            self.log.emit("node", "allocator_not_tuned", is_vital=True)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await self.start(nursery)
                async for signal_number in signals:
                    if signal_number != signal.SIGHUP:
                        break
                    self._reload("signal")
                await self.stop()
                nursery.cancel_scope.cancel()
        self.log.emit("node", "stopped", is_vital=True)
        self.log.flush()

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts all components in the nursery; returns when every listener is open."""
        self.nursery = nursery
        self.ingress.on_change = self.synchronization.on_ingress_change
        self.ingress.is_informed = False
        self.synchronization.listen_to_peers()
        self.peers.on_tick = self._tick
        self.peers.on_peer_silent = self.egress.silent_peers.notify
        settings = self.settings
        self.log.emit(
            "node",
            "started",
            is_vital=True,
            incarnation=self.peers.incarnation,
            zone=settings.zone,
            service=settings.service,
            calls=settings.call_address,
            link=settings.link_address,
            store=settings.store_address,
        )
        self._start_followers(nursery)
        await nursery.start(
            listener.serve,
            settings.listen_address,
            functools.partial(
                peer_ingress.run,
                self.ingress,
                memory=self.memory.peers,
                requests=self.memory.bodies,
            ),
            self.versions.make_copy,
            self.versions.max_call_bytes,
            self._log_bad_bytes,
            self.bulk_sender,
            self.link_connections,
            self.memory.bodies,
            self.memory.peers,
            self.memory.max_peers(settings.descriptors),
        )
        await self._serve_control(nursery)
        await nursery.start(self.call_server.serve, settings.call_address)

    async def _serve_control(self, nursery: trio.Nursery) -> None:
        """Serves all but calls; goes on without metrics if their port, which is fixed in the deploy
        file, is in use."""
        settings = self.settings
        announce = self.adapter.announce_handler(
            self.ingress, self._is_local_target, self.log, self.synchronization.keep_leaves
        )
        ready = self.adapter.ready_handler(lambda: self.is_ready)
        parts = (self.clock.now_ms, settings.descriptors, self._log_refused("control"))
        make = functools.partial(control_server.make, *parts)
        await nursery.start(make(announce).serve, settings.announce_address)
        await nursery.start(make(ready).serve, settings.ready_address)
        if (address := settings.metrics_address) is not None:
            try:
                await nursery.start(make(self._metrics).serve, address)
            except OSError as error:
                fields = {"address": address, "problem": str(error)}
                self.log.emit("node", "metrics_unavailable", True, **fields)

    def _start_followers(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._supervise, "peers", self.peers.run)
        role = self.synchronization.role
        for subscription in self.synchronization.subscriptions():
            nursery.start_soon(
                self._supervise,
                subscription.name,
                followers.follow,
                subscription,
                role,
                self.synchronization.era,
                self.log,
            )

    async def _supervise(self, name: str, task: Callable, *arguments) -> None:
        """Restarts a background task after an unexpected error, so that a fault in one component
        does not end the calls that the others handle."""
        while True:
            try:
                await task(*arguments)
                return
            except Exception as error:
                self._log_internal_error(name, error)
                await trio.sleep(TASK_RESTART_MS / 1000)

    async def _run_once(self, task: Callable, *arguments) -> None:
        """Runs a task that others start again when it is due; like `_supervise`, an unexpected
        error in it ends nothing else."""
        try:
            await task(*arguments)
        except Exception as error:
            self._log_internal_error(task.__name__.strip("_"), error)

    def _log_internal_error(self, name: str, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error))
        self.log.emit("node", "internal_error", is_vital=True, task=name, trace=trace)

    def _log_silent_link(self, address: str, unused_ms: int) -> None:
        self.log.emit("link", "silent", peer=address, unused_ms=unused_ms)

    async def stop(self) -> None:
        """Stops gracefully; afterwards the caller cancels the nursery given to `start`."""
        self.is_stopping = self.egress.quotas.node.is_leaving = True
        await shutdown.stop(
            self.clock,
            self.settings.grace_ms,
            self.call_server,
            self.egress,
            self.ingress,
            self.link_connections,
            self.log,
        )

    def _tick(self) -> None:
        """Runs with each tick of the peers; the rest of it less often."""
        self.synchronization.update_role()
        self.rollouts.tick()
        self.egress.silent_peers.notify_stalled()
        self.egress.quotas.tick()
        self.ticks += 1
        if self.ticks % TICKS_PER_FLUSH == 0:
            self.ingress.check_heartbeat()
            self.ingress.check_order()
            self.ingress.pool.drop_unusable()
            listener.close_unused(self.link_connections)
            self.log.flush()
        if self.ticks % TICKS_PER_SETTINGS_CHECK == 0:
            self._check_settings()

    def _check_settings(self) -> None:
        """Looks at the settings file, as the platform may change it without sending a signal."""
        file_stat = self._settings_file_stat()
        if file_stat != self.settings_file_stat:
            self.settings_file_stat = file_stat
            self._reload("file")

    def _settings_file_stat(self) -> tuple[int, int]:
        try:
            stat = self.path.stat()
        except OSError as error:
            self.log.emit("node", "settings_unreadable", is_vital=True, problem=str(error))
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)

    def _reload(self, cause: str) -> None:
        """Applies changed settings; listening addresses only change with a restart."""
        try:
            loaded = mesh_settings.load(self.path)
        except errors.SettingsError as error:
            self.log.emit("node", "reload_refused", True, cause=cause, problem=str(error))
            return
        changed = [
            name
            for name in loaded.__struct_fields__
            if getattr(loaded, name) != getattr(self.settings, name)
        ]
        self.settings = loaded
        self.egress.apply_settings(loaded)
        self.ingress.heartbeat_ms = loaded.heartbeat_ms
        self.log.emit("node", "reloaded", is_vital=True, cause=cause, changed=changed)
        if "service" in changed or "zone" in changed:
            self.directory.own = self._own_entry()
            self.synchronization.schedule_write()
            self.versions.apply_connection_limit()

    def _is_local_target(self, announcement: lifetimes.Announcement) -> bool:
        """Whether an announcement has the address and service of the target on this VM.

        Reloads the settings on a mismatch, as they may have changed.
        """
        if (announcement.address, announcement.service) != (
            self.settings.target_address,
            self.settings.service,
        ):
            self._reload("announcement")
        return (announcement.address, announcement.service) == (
            self.settings.target_address,
            self.settings.service,
        )

    def _log_body_sent(self, call_id: str, size: int, took_ms: int) -> None:
        pacer = self.bulk_sender.pacer
        fields = {"size": size, "took_ms": took_ms, "waiting_bytes": pacer.waiting_bytes}
        fields.update(on_way_bytes=pacer.in_flight_bytes, bytes_per_ms=round(pacer.rate))
        self.log.emit("link", "body_sent", call=call_id, **fields)

    def _log_refused(self, part: str) -> Callable[[int | None, str, str], None]:
        return functools.partial(connection_log.log_refused, self.log, self.metrics, part)

    def _log_bad_bytes(self, peer: str, problem: str) -> None:
        self.log.emit("link", "bad_bytes", peer=peer, problem=problem)

    async def _metrics(self, request: messages.Request) -> messages.Response:
        if (explained := route_explanation.respond(self.egress, request)) is not None:
            return explained
        text = self.metrics.render(gauges.of(self))
        return messages.Response(200, ((b"content-type", b"text/plain"),), text.encode())
