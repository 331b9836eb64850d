"""The daemon: connects the core to trio, HTTP, pynng and the log."""

import random
import signal

import logbook
import trio

from buckthornstage import clock, errors, garbage_collection
from buckthornstage.admin import api
from buckthornstage.document import checkpoints, reader
from buckthornstage.history import buffer
from buckthornstage.http import server
from buckthornstage.node import context, core, keyed_calls, log_follower, transport
from buckthornstage.platform import log_client
from buckthornstage.protocol import effects, messages
from buckthornstage.proxy import call
from buckthornstage.routing import table
from buckthornstage.settings import node_settings

log = logbook.Logger("node")

# Waking an idle trio process costs about 0.3 ms of CPU time, so the tick scales with the gossip
# interval instead of being as short as possible.
MIN_TICK_MS = 50
MAX_TICK_MS = 200
POLL_MS = 50  # between checks of whether all history events were appended, before exit
MAX_ADMIN_BODY_BYTES = 64 * 1024
LEAVE_NOTICE_MS = 500  # lets peers learn that this node is leaving before its listener closes
HISTORY_FLUSH_MS = 3_000


class Daemon:
    """One node process."""

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self.settings = settings
        self.clock = clock.Clock()
        self.random = random.Random()
        self.node = self._make_context()
        self.keyed = keyed_calls.KeyedCalls(self.node)
        self.proxy = call.CallProxy(
            settings,
            self.clock,
            self.random,
            lambda: self.node.table,
            at_most_once=self.keyed,
            on_crash=self._report_crash,
        )
        self.call_server = server.HttpServer(self._handle_call, settings.max_body_bytes)
        self.admin = api.AdminApi(self.node, self.proxy.metrics.snapshot)
        self.admin_server = server.HttpServer(self.admin.handle, MAX_ADMIN_BODY_BYTES)

    def _make_context(self) -> context.NodeContext:
        settings = self.settings
        incarnation = self.clock.wall_ms()
        secret = settings.mesh_secret.encode()
        hybrid_clock = clock.HybridClock(self.clock)
        events = buffer.EventBuffer(settings.node, settings.zone, incarnation, hybrid_clock)
        policy = checkpoints.CheckpointPolicy(
            settings.checkpoint_records, settings.checkpoint_interval_ms
        )
        fold = reader.LogFold(settings.root_public_key, secret, policy)
        now_ms = self.clock.now_ms()
        node_core = core.NodeCore(settings, incarnation, fold, events, self.random, now_ms)
        identity = transport.Identity(
            settings.node, settings.zone, settings.control_address, lambda: node_core.incarnation
        )
        appends, self.append_queue = trio.open_memory_channel(context.APPEND_QUEUE_RECORDS)
        return context.NodeContext(
            settings=settings,
            clock=self.clock,
            random=self.random,
            core=node_core,
            transport=transport.Transport(identity, secret, hybrid_clock),
            log_client=log_client.LogClient(settings.log_url),
            appends=appends,
            on_crash_report=self._record_peer_crash,
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and returns."""
        garbage_collection.tune()
        async with trio.open_nursery() as nursery:
            self.keyed.start(nursery)
            await nursery.start(self.call_server.serve, self.settings.call_address)
            await nursery.start(self.admin_server.serve, self.settings.admin_address)
            nursery.start_soon(self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._append)
            nursery.start_soon(log_follower.follow, self.node)
            nursery.start_soon(log_follower.follow_contacts, self.node)
            incarnation = self.node.core.incarnation
            log.info("incarnation {} listens on {}", incarnation, self.settings.call_address)
            await self._wait_for_signal()
            await self._leave()
            nursery.cancel_scope.cancel()
        self.node.transport.close()
        log.info("stopped")

    async def _wait_for_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                return

    async def _leave(self) -> None:
        """Announces that the node leaves, refuses new calls and drains running ones."""
        log.info("leaving with {} calls in progress", self.call_server.active)
        self.node.is_leaving = True
        self.call_server.is_draining = True
        self.node.apply(self.node.core.leave(self.clock.now_ms()))
        await trio.sleep(LEAVE_NOTICE_MS / 1000)
        is_complete = await self.call_server.drain(self.settings.drain_ms)
        await self.keyed.drain(self.settings.drain_ms)
        with trio.move_on_after(HISTORY_FLUSH_MS / 1000):
            while len(self.node.core.history.buffer):
                await trio.sleep(POLL_MS / 1000)
        if not is_complete:
            log.warning(
                "{} calls aborted: drain timeout of {} ms exceeded",
                self.call_server.active,
                self.settings.drain_ms,
            )

    async def _handle_call(self, request):
        return await self.keyed.handle_or_proxy(request, self.proxy.handle)

    async def _receive(self) -> None:
        async for envelope in self.node.transport.receive():
            match envelope.message:
                case messages.ClaimRequest() | messages.ClaimVerdict():
                    self.keyed.on_message(envelope)
                case _:
                    self._deliver(envelope)

    def _deliver(self, envelope: messages.Envelope) -> None:
        self.node.apply(self.node.core.on_envelope(envelope, self.clock.now_ms()))

    def _record_peer_crash(self, report: messages.CrashReport) -> None:
        """Records a crash report of a peer in the crash guard."""
        identity = (report.target, report.target_incarnation)
        self.proxy.crash_guard.record(report.fingerprint, identity, self.clock.now_ms())

    def _report_crash(self, fingerprint: str, target: table.Target) -> None:
        report = messages.CrashReport(fingerprint, target.address, target.incarnation)
        self.node.apply(self.node.core.report_crash(report, self.clock.now_ms()))

    async def _tick(self) -> None:
        half_interval_ms = self.settings.gossip_interval_ms / 2
        tick_ms = max(MIN_TICK_MS, min(MAX_TICK_MS, half_interval_ms))
        while True:
            self.node.apply(self.node.core.on_tick(self.clock.now_ms()))
            self.node.refresh_table()
            await trio.sleep(tick_ms / 1000)

    async def _append(self) -> None:
        """Appends the records of the core; it does not retry, as the core appends again later."""
        effect: effects.AppendLog
        async for effect in self.append_queue:
            is_confirmed = True
            try:
                await self.node.log_client.append(effect.stream, effect.payload)
            except errors.LogError as error:
                log.warning(
                    "append to log stream {} failed, tried again later: {}", effect.stream, error
                )
                is_confirmed = False
            self.node.apply(self.node.core.on_appended(effect, is_confirmed, self.clock.now_ms()))
