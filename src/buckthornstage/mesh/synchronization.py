"""Keeps a node's active version and directory up to date, from the store and from its peers."""

import random
from collections.abc import Callable

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.link import frames
from buckthornstage.membership import peer as peer_state
from buckthornstage.mesh import adapter as adapters
from buckthornstage.mesh import events, followers, peer_fetches, peers, store, versions
from buckthornstage.routing import routes

ROLE_DELAY_MS = 200
"""A node hears the others of its zone that are in the directory within this time. Until then only
the first ones by rank read, so that a zone that starts does not read all at once."""
INFORM_TIMEOUT_MS = 1_000
"""Without store and peers, the ingress opens after this time although a lifetime that is leaving
might be taken for a ready one."""
DIRECTORY_FETCH_MS = 1_000
"""Least time between two fetches that only concern the directory."""
HEAR_PEERS_MS = 250
"""Longest time for which a process that has started waits for its first peers; a round trip takes
8 ms."""
HEAR_PEERS_POLL_MS = 5
PEERS_TO_HEAR = 3
LEAVE_ACK_MS = 800
"""A target takes a response after a second for none."""
REWRITE_MS_PER_NODE = 5
"""After the store has been restored, all nodes write their entries again within this time for each
node, so that the store accepts them."""


class Synchronization:
    """Followers of the store, and fetches from peers.

    `adapter()` returns the current adapter; `start_task(function, *arguments)` starts a task.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        adapter: Callable[[], adapters.Adapter],
        own_peers: peers.Peers,
        own_versions: versions.Versions,
        log: events.EventLog,
        start_task: Callable[..., None],
    ) -> None:
        self.clock = clock
        self.adapter = adapter
        self.peers = own_peers
        self.directory = own_peers.directory
        self.versions = own_versions
        self.log = log
        self.start_task = start_task
        self.era = adapter().era
        self.era.on_change = self._on_era_change
        self.role = followers.ReaderRole()
        self.read_watch = followers.ReadWatch(self.role, log, start_task)
        self.began_ms = clock.now_ms()
        self.loaded_ms: int | None = None
        """When the directory was first known; None before."""
        self.has_heard_peers = False
        """Whether peers had the time to tell what a store that was restored from a copy has lost;
        before that, no version of the store is activated."""
        self.held_configuration: routes.Configuration | None = None
        self.stored_entry: frames.StoredEntry | None = None
        """This node's record as last read from or written to the store."""
        self.stored_changed = trio.Event()
        """Set, and replaced, when `stored_entry` or its era changes."""
        self.is_store_loaded = False
        """Whether the record that an earlier process may have written was read; before that, a
        write could lose the leaves in it."""
        self.stored_era: int | None = None
        """Era in which `stored_entry` was read or written; a later one may have lost it."""
        self.is_writing = False
        self.write_rate = followers.RoundRate()  # of an unchanged entry, as a leave is not to wait
        self.fetches = peer_fetches.PeerFetches(clock, own_peers, own_versions, self.set_loaded)
        self.directory_fetch_ms: int | None = None
        self.on_rollout_order = lambda order: None

    @property
    def has_directory(self) -> bool:
        """Whether the directory was read from the store or sent by a peer."""
        return self.loaded_ms is not None

    @property
    def is_fetching(self) -> bool:
        """Whether a version or the directory is being fetched from peers."""
        return self.fetches.is_running

    def subscriptions(self) -> tuple[followers.Subscription, ...]:
        """What this node reads in the store."""
        adapter = self.adapter()
        return (
            followers.Subscription(
                "configurations",
                adapter.configurations,
                self._apply_configuration_records,
                lambda: followers.COALESCE_MS,
                wait_ms=lambda: followers.LEAD_WAIT_MS if self.role.is_lead else followers.WAIT_MS,
                on_health=self._set_store_reader,
            ),
            followers.Subscription(
                "nodes",
                adapter.nodes,
                self._apply_node_records,
                self._directory_pause_ms,
                on_loaded=self._on_directory_loaded,
                loads_without_role=True,
            ),
        )

    def listen_to_peers(self) -> None:
        """Fetches versions and the directory from peers whose beacons announce newer ones."""
        self.peers.on_newer_version = self._schedule_fetch
        self.peers.on_new_peer = self._on_new_peer
        self.peers.on_larger_directory = self._fetch_directory
        self.peers.on_store_era = self.era.observe

    def _on_era_change(self, before: int | None) -> None:
        self.log.emit("store", "era", True, era=self.era.newest, before=before)
        self.peers.store_era = self.era.newest
        if before is not None:
            self.role.restart_reads()
            self.start_task(self._rewrite_entry)

    def update_role(self) -> None:
        """Updates whether this node reads the store; to be called with each probe tick."""
        if not self.has_directory and self.clock.now_ms() - self.began_ms >= INFORM_TIMEOUT_MS:
            self.peers.ingress.set_informed()
        if self.role.update(*self._wanted_role(self.clock.now_ms())):
            role = {"is_reader": self.role.is_reader, "is_lead": self.role.is_lead}
            self.log.emit("store", "reader_role", True, **role)

    def _wanted_role(self, now_ms: int) -> tuple[bool, bool]:
        """Whether this node is to read the store, and whether as the first reader of its zone."""
        if self.loaded_ms is None:
            return False, False
        self.directory.refresh(now_ms)
        if now_ms - self.loaded_ms < ROLE_DELAY_MS:
            is_reader = self.directory.is_first_reader()
            return is_reader, is_reader
        return self.directory.update_reader_role(now_ms), self.directory.reading.is_lead

    def _set_store_reader(self, is_store_reader: bool) -> None:
        if is_store_reader:
            self.versions.knowledge.store_heard_ms = self.clock.now_ms()
        if self.peers.is_store_reader is not is_store_reader:
            self.peers.is_store_reader = is_store_reader
            self.peers.announce()

    def _apply_node_records(self, records: tuple[store.KeyedRecord, ...]) -> None:
        entries: dict[str, frames.StoredEntry] = {}
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
                self._take_own_record(entry)
        # `learn` probes all peers that are due, so it is called once for all entries.
        self.peers.learn(tuple(entry.location() for entry in entries.values()))

    def _take_own_record(self, entry: frames.StoredEntry) -> None:
        if self.stored_entry is None:
            # Written by an earlier process at this address.
            ended = entry.ended_before + ((entry.ended,) if entry.ended is not None else ())
            self.peers.ingress.restore_ended(ended, entry.ended_instances)
        # Otherwise this process has written a newer record in the same era.
        if self.stored_entry is None or self.stored_era != self.era.newest:
            self._set_stored(entry, self.era.newest)

    def _set_stored(self, entry: frames.StoredEntry, era: int | None) -> None:
        self.stored_entry, self.stored_era = entry, era
        self.stored_changed.set()
        self.stored_changed = trio.Event()

    def on_ingress_change(self) -> None:
        """Tells peers of the new status, and the store of a target that is leaving."""
        self.peers.announce()
        self.schedule_write()

    async def keep_leaves(self, instance: str) -> bool:
        """Waits until the store has all leaves of targets that are known now; returns whether it
        has them within LEAVE_ACK_MS. `instance` is for the log."""
        began_ms = self.clock.now_ms()
        lifetimes = self.peers.ingress.lifetimes
        owed = {*lifetimes.ended, *lifetimes.deregistered_instances}
        self.schedule_write()
        with trio.move_on_after(LEAVE_ACK_MS / 1000):
            while not self._is_kept(owed):
                await self.stored_changed.wait()
        is_kept = self._is_kept(owed)
        waited_ms = self.clock.now_ms() - began_ms
        event = "leave_kept" if is_kept else "leave_not_kept"
        self.log.emit("store", event, True, instance=instance, waited_ms=waited_ms)
        return is_kept

    def _is_kept(self, owed: set[frames.Identity | str]) -> bool:
        stored = self.stored_entry
        if stored is None or self.stored_era != self.era.newest:
            return False
        return owed <= {stored.ended, *stored.ended_before, *stored.ended_instances}

    def _on_directory_loaded(self) -> None:
        self.is_store_loaded = True
        self.set_loaded()
        self.schedule_write()

    def set_loaded(self) -> None:
        """The directory is known from now on."""
        if self.loaded_ms is None:
            self.loaded_ms = self.clock.now_ms()
            self.update_role()
            self.start_task(self._hear_peers)

    async def _hear_peers(self) -> None:
        """Lets peers tell a newer version, and leaves of the target, before those of the store
        count."""
        with trio.move_on_after(HEAR_PEERS_MS / 1000) as scope:
            while not self._are_peers_heard():
                await trio.sleep(HEAR_PEERS_POLL_MS / 1000)
        self.has_heard_peers = True
        held = self.held_configuration
        self.log.emit(
            "peers",
            "first_peers_heard",
            True,
            is_timeout=scope.cancelled_caught,
            waited_ms=self.clock.now_ms() - self.loaded_ms,
            held_version=held.version if held is not None else None,
            version=self.peers.version,
        )
        self.peers.ingress.set_informed()
        if held is not None:
            self.versions.activate(held, versions.STORE)
            self.held_configuration = None

    def _are_peers_heard(self) -> bool:
        probed = [peer for peer in self.directory.peers.values() if peer.last_probe_ms >= 0]
        heard = [peer for peer in probed if peer.heard_ms >= 0]
        with_version = sum(peer.version > 0 for peer in heard)
        is_enough = len(heard) == len(probed) or with_version >= PEERS_TO_HEAR
        return is_enough and not self.is_fetching

    def _directory_pause_ms(self) -> int:
        """The short pause until a read starts after this node's entry was written; otherwise the
        later of two nodes that start together could miss the other."""
        return followers.DIRECTORY_PAUSE_MS if self._is_stored() else followers.COALESCE_MS

    def _is_stored(self) -> bool:
        """Whether the store has this node's record as it should be, as far as known."""
        is_current = self.stored_entry == self._wanted_entry()
        return is_current and self.stored_era == self.era.newest

    def _wanted_entry(self) -> frames.StoredEntry:
        """This node's record as it should be in the store."""
        lifetimes = self.peers.ingress.lifetimes
        *before, newest = lifetimes.ended or (None,)
        leaves = {
            "ended": newest,
            "ended_before": tuple(before),
            "ended_instances": tuple(lifetimes.deregistered_instances),
        }
        return frames.StoredEntry(**{**msgspec.structs.asdict(self.directory.own), **leaves})

    def schedule_write(self) -> None:
        """Writes this node's record if the store has another one or may have lost it."""
        if self.is_store_loaded and not self.is_writing and not self._is_stored():
            self.is_writing = True
            self.start_task(self._write_entry)

    async def _write_entry(self) -> None:
        topic = self.adapter().nodes
        try:
            while not self._is_stored():
                if self.stored_entry == self._wanted_entry():
                    await self.write_rate.wait()
                era = self.era.newest
                entry = await followers.write_entry(topic, self._wanted_entry, self.log)
                # Only the first response of all names an era that was not known before the write.
                self._set_stored(entry, self.era.newest if era is None else era)
        finally:
            self.is_writing = False

    async def _rewrite_entry(self) -> None:
        spread_ms = REWRITE_MS_PER_NODE * self.directory.size()
        await trio.sleep(random.uniform(0, spread_ms) / 1000)
        self.schedule_write()

    def _apply_configuration_records(self, records: tuple[store.KeyedRecord, ...]) -> None:
        """Applies the newest record first, so that the records it supersedes are not decoded."""
        adapter = self.adapter()
        for record in reversed(records):
            try:
                order = adapter.rollout_order_of(record, self.era.newest)
                if order is not None:
                    self.on_rollout_order(order)
                    continue
                version = adapter.version_of(record)
                if version is None:
                    continue
                self.read_watch.on_read(version)
                if not self.versions.is_newer(version):
                    self.log.emit("config", "not_newer", version=version, active=self.peers.version)
                    continue
                configuration = adapter.configuration_of(record)
            except errors.DocumentError as error:
                self.log.emit("config", "record_skipped", True, key=record.key, problem=str(error))
                continue
            if configuration is None:
                continue
            if self.has_heard_peers:
                self.versions.activate(configuration, versions.STORE)
            elif self.held_configuration is None or version > self.held_configuration.version:
                self.held_configuration = configuration

    def _on_new_peer(self, peer: peer_state.Peer) -> None:
        if not self.has_directory:
            self._schedule_fetch(peer)

    def _fetch_directory(self, peer: peer_state.Peer) -> None:
        now_ms = self.clock.now_ms()
        is_due = (
            self.directory_fetch_ms is None
            or now_ms - self.directory_fetch_ms >= DIRECTORY_FETCH_MS
        )
        if is_due and not self.is_fetching:
            self.directory_fetch_ms = now_ms
            self._schedule_fetch(peer)

    def _schedule_fetch(self, peer: peer_state.Peer) -> None:
        self.versions.knowledge.announced = max(self.versions.knowledge.announced, peer.version)
        self.read_watch.on_announced(peer.version)
        if not self.is_fetching:
            self.fetches.is_running = True
            self.start_task(self.fetches.fetch, peer)
