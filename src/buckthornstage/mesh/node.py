"""The node of the two-hop mesh: starts its parts, keeps the version in force, and stops.

Metrics of the ingress keep the prefix `door_`.
"""

import dataclasses
import pathlib
import signal
import traceback
from collections.abc import Callable

import logbook
import trio

from buckthornstage import clock as clocks
from buckthornstage import errors, garbage_collection
from buckthornstage.http import messages, server
from buckthornstage.limits import crash_guard
from buckthornstage.link import bulk, frames, listener
from buckthornstage.link import connection as link_connection
from buckthornstage.membership import directory, lifetimes
from buckthornstage.mesh import (
    egress,
    events,
    followers,
    header_codec,
    ingress,
    metrics,
    peer_calls,
    peers,
    shutdown,
    store,
    versions,
)
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.routing import routes

TICK_MS = 250  # also bounds how long log lines on single calls wait
SETTINGS_CHECK_MS = 1_000
TASK_RESTART_MS = 200  # bounds the lines and the work of a task that fails each time
MAX_BODY_BYTES = 64 << 20


@dataclasses.dataclass(frozen=True)
class Adapter:
    """What connects the node to one platform."""

    header_codec: header_codec.HeaderCodec
    configurations: store.KeyedTopic
    nodes: store.KeyedTopic
    version_of: Callable[[store.KeyedRecord], int | None]
    configuration_of: Callable[[store.KeyedRecord], routes.Configuration | None]
    announce_handler: Callable[..., server.Handler]
    ready_handler: Callable[[Callable[[], bool]], server.Handler]


class MeshNode:
    """One node process."""

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        path: pathlib.Path,
        adapter: Adapter,
        log: events.EventLog | None = None,
    ) -> None:
        self.settings = settings
        self.path = path
        self.adapter = adapter
        self.clock = clocks.Clock()
        self.log = events.EventLog(settings.node) if log is None else log
        self.metrics = metrics.Metrics()
        self.guard = crash_guard.CrashGuard()
        self.pool = link_connection.LinkPool(self.clock)
        self.ingress = ingress.Ingress(
            self.clock,
            adapter.header_codec,
            self.log,
            self.metrics,
            self.guard,
            settings.heartbeat_ms,
        )
        self.bulk_sender = bulk.BulkSender(self.clock, self.ingress.pacer)
        self.bulk_sender.on_sent = self._log_body
        self.link_connections: set[listener.Served] = set()
        self.directory = directory.Directory(self._own_entry())
        self.peers = peers.Peers(
            self.clock,
            self.directory,
            self.ingress,
            self.guard,
            self.pool,
            self.log,
            self.clock.wall_ms(),
        )
        self.egress = self._make_egress()
        self.call_server = server.HttpServer(self.egress.handle, MAX_BODY_BYTES)
        self.settings_mark = self._settings_mark()
        self.has_directory = False
        self.stored_entry: frames.NodeEntry | None = None
        """What the store is known to hold for this node."""
        self.is_stopping = False
        self.versions = versions.Versions(
            self.clock, self.peers, self.egress, self.call_server, self.log
        )
        self.nursery: trio.Nursery | None = None

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
            peer_calls.PeerCalls(self.clock, self.directory, self.pool, self.log),
        )

    def _own_entry(self) -> frames.NodeEntry:
        own = self.settings
        return frames.NodeEntry(own.node, own.zone, own.service, own.link_address)

    @property
    def is_ready(self) -> bool:
        """Whether clients may send calls here."""
        return self.egress.table is not None and self.has_directory and not self.is_stopping

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully."""
        logbook.NullHandler().push_application()
        events.EventHandler(self.log).push_application()
        garbage_collection.tune()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await self.start(nursery)
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    self._reload("signal")
                await self.stop()
                nursery.cancel_scope.cancel()
        self.log.emit("node", "stopped", is_vital=True)
        self.log.flush()

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts all parts in the nursery; returns when every address is listened on."""
        self.nursery = nursery
        self.ingress.on_change = self.peers.announce
        self.peers.on_version = self.peers.on_stranger = self._fetch_soon
        self.peers.on_silent = self.egress.silence.fell_silent
        own = self.settings
        self.log.emit(
            "node",
            "started",
            is_vital=True,
            incarnation=self.peers.incarnation,
            zone=own.zone,
            service=own.service,
            calls=own.call_address,
            link=own.link_address,
            store=own.store_address,
        )
        self._start_followers(nursery)
        await nursery.start(
            listener.serve,
            own.link_address,
            self.ingress.run_for_peer,
            self.versions.make_copy,
            self.versions.max_call_bytes,
            self._bad_bytes,
            self.bulk_sender,
            self.link_connections,
        )
        announce = self.adapter.announce_handler(self.ingress, self._is_own, self.log)
        ready = self.adapter.ready_handler(lambda: self.is_ready)
        await nursery.start(server.HttpServer(announce).serve, own.announce_address)
        await nursery.start(server.HttpServer(ready).serve, own.ready_address)
        await nursery.start(self.call_server.serve, own.call_address)
        if own.metrics_address is not None:
            await self._serve_metrics(nursery, own.metrics_address)
        nursery.start_soon(self._supervise, "tick", self._tick)
        nursery.start_soon(self._supervise, "settings", self._watch_settings)

    async def _serve_metrics(self, nursery: trio.Nursery, address: str) -> None:
        """The port is fixed in the deploy file and may be taken; calls go on without metrics."""
        try:
            await nursery.start(server.HttpServer(self._metrics).serve, address)
        except OSError as error:
            self.log.emit("node", "metrics_unavailable", True, address=address, problem=str(error))

    def _start_followers(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._supervise, "peers", self.peers.run)
        nursery.start_soon(
            self._supervise,
            "configurations",
            followers.follow,
            "configurations",
            self.adapter.configurations,
            self._take_configurations,
            lambda: None,
            lambda: followers.COALESCE_MS,
            self.log,
        )
        nursery.start_soon(
            self._supervise,
            "nodes",
            followers.follow,
            "nodes",
            self.adapter.nodes,
            self._take_nodes,
            self._directory_loaded,
            self._directory_pause_ms,
            self.log,
        )

    async def _supervise(self, name: str, task: Callable, *arguments) -> None:
        """Runs a background task again after an unexpected error: a mistake in one part must not
        end the calls of the others."""
        while True:
            try:
                await task(*arguments)
                return
            except Exception as error:
                trace = "".join(traceback.format_exception(error))
                self.log.emit("node", "internal_error", is_vital=True, task=name, trace=trace)
                await trio.sleep(TASK_RESTART_MS / 1000)

    async def stop(self) -> None:
        """Stops gracefully; the caller ends the nursery of `start` after it."""
        self.is_stopping = True
        await shutdown.stop(
            self.clock,
            self.settings.grace_ms,
            self.call_server,
            self.egress,
            self.ingress,
            self.link_connections,
            self.log,
        )

    async def _tick(self) -> None:
        while True:
            self.ingress.check_silence()
            self.ingress.pool.drop_unfit()
            self.log.flush()
            await trio.sleep(TICK_MS / 1000)

    async def _watch_settings(self) -> None:
        """The platform may change the file without a signal."""
        while True:
            await trio.sleep(SETTINGS_CHECK_MS / 1000)
            mark = self._settings_mark()
            if mark != self.settings_mark:
                self.settings_mark = mark
                self._reload("file")

    def _settings_mark(self) -> tuple[int, int]:
        try:
            stat = self.path.stat()
        except OSError as error:
            self.log.emit("node", "settings_unreadable", is_vital=True, problem=str(error))
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)

    def _reload(self, cause: str) -> None:
        """Takes changed settings; addresses that are listened on stay until a restart."""
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
        self.settings = self.egress.settings = loaded
        self.ingress.heartbeat_ms = loaded.heartbeat_ms
        self.log.emit("node", "reloaded", is_vital=True, cause=cause, changed=changed)
        if "service" in changed or "zone" in changed:
            self.directory.own = self._own_entry()
            self.nursery.start_soon(self._write_entry)

    def _is_own(self, said: lifetimes.Announcement) -> bool:
        """Whether an announcement can come from the target of this VM."""
        if (said.address, said.service) != (self.settings.target_address, self.settings.service):
            self._reload("announcement")
        return (said.address, said.service) == (
            self.settings.target_address,
            self.settings.service,
        )

    def _take_nodes(self, records: tuple[store.KeyedRecord, ...]) -> None:
        entries: dict[str, frames.NodeEntry] = {}
        for record in records:
            if record.value is None:
                entries.pop(record.key, None)
                self.directory.drop(record.key)
                self.log.emit("peers", "node_removed", is_vital=True, peer=record.key)
                continue
            entry = followers.decode_entry(record, self.log)
            if entry is None:
                continue
            entries[record.key] = entry
            if record.key == self.directory.own.link_address:
                self.stored_entry = entry
        # Each call asks all peers that are due, so it is made once for all entries.
        self.peers.learn(tuple(entries.values()))

    def _directory_loaded(self) -> None:
        self.has_directory = True
        if self.stored_entry != self.directory.own:
            self.nursery.start_soon(self._write_entry)

    def _directory_pause_ms(self) -> int:
        """Of two nodes that start together, the one whose entry is later must find the other, so
        the directory is read without a long pause until a read has begun after the own write."""
        is_stored = self.stored_entry == self.directory.own
        return followers.DIRECTORY_PAUSE_MS if is_stored else followers.COALESCE_MS

    async def _write_entry(self) -> None:
        entry = self.directory.own
        await followers.write_entry(self.adapter.nodes, entry, self.log)
        self.stored_entry = entry

    def _take_configurations(self, records: tuple[store.KeyedRecord, ...]) -> None:
        """The newest record goes first, so that those which it replaces are not decoded."""
        for record in reversed(records):
            try:
                version = self.adapter.version_of(record)
                if version is None or not self.versions.is_newer(version):
                    continue
                configuration = self.adapter.configuration_of(record)
            except errors.DocumentError as error:
                self.log.emit("config", "record_skipped", True, key=record.key, problem=str(error))
                continue
            if configuration is not None:
                self.versions.put_in_force(configuration, "store")

    def _fetch_soon(self, peer: directory.Peer) -> None:
        if not self.versions.is_fetching:
            self.versions.is_fetching = True
            self.nursery.start_soon(self._fetch, peer.entry.link_address)

    async def _fetch(self, address: str) -> None:
        """A peer that gave a version also gave its directory, so the node can serve."""
        if await self.versions.fetch(address):
            self.has_directory = True

    def _log_body(self, call_id: str, size: int, took_ms: int) -> None:
        pacer = self.bulk_sender.pacer
        fields = {"size": size, "took_ms": took_ms, "waiting_bytes": pacer.waiting_bytes}
        fields.update(on_way_bytes=pacer.on_way_bytes, bytes_per_ms=round(pacer.rate))
        self.log.emit("link", "body_sent", call=call_id, **fields)

    def _bad_bytes(self, peer: str, problem: str) -> None:
        self.log.emit("link", "bad_bytes", peer=peer, problem=problem)

    async def _metrics(self, request: messages.Request) -> messages.Response:
        state = self.ingress.state()
        gauges = {
            "version": self.peers.version,
            "peers": len(self.directory.peers),
            "door_running": state.running,
            "door_waiting": state.waiting,
            "door_status": int(state.status),
            "target_connections_opened": self.ingress.pool.opened,
            "log_lines_dropped": self.log.dropped,
            "link_bulk_waiting_bytes": self.bulk_sender.pacer.waiting_bytes,
            "link_bulk_on_way_bytes": self.bulk_sender.pacer.on_way_bytes,
            "link_bytes_per_ms": round(self.bulk_sender.pacer.rate),
        }
        text = self.metrics.render(gauges)
        return messages.Response(200, ((b"content-type", b"text/plain"),), text.encode())
