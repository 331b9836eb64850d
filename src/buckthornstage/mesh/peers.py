"""Beacon datagrams between nodes: liveness, ingress state, active version and crash counts."""

import collections
import heapq
import itertools
import random
import socket
from collections.abc import Iterable, Mapping

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage import decoding, errors
from buckthornstage.limits import crash_guard
from buckthornstage.link import connection as link_connection
from buckthornstage.link import frames, quota_frames
from buckthornstage.membership import directory, store_readers
from buckthornstage.membership import peer as peer_state
from buckthornstage.mesh import events, ingress
from buckthornstage.rollouts import evidence

TICK_MS = 100
MAX_DATAGRAM_BYTES = 4096
MAX_DATAGRAMS_AT_ONCE = 50
"""Datagrams read in one pass of the loop: those that wait, as a pass of a busy node takes long, and
not so many that calls wait for them."""
PASSES_PER_SECOND_READ = 4
"""Usually one datagram waits, and a read that finds none costs as much as one that does. So only
each fourth pass tries to read more than one, and each pass behind one that found more."""
MAX_CRASH_COUNTS = 4
MAX_LIFETIMES = 4
"""Of each count; both limits keep a datagram below the usual MTU of 1,500 bytes with ids of usual
length, and a request is refused from the third crash on."""
MAX_COUNTS_BYTES = 1_150
"""Encoded size of the counts of one field: one count with the longest ids of targets. Crashes and
refuted ones, with the longest names in the other fields, stay below MAX_DATAGRAM_BYTES."""
FETCH_TIMEOUT_MS = 1_500
RECENTLY_ASKED_MS = 10_000
"""A peer that sent a probe within this time hears of changes at once."""
PUSHES_PER_REMOTE_ZONE = 2
"""Nodes of each other zone that hear of a new version at once."""


class Peers:
    """Exchanges beacons with all peers and keeps the directory up to date.

    `on_newer_version(peer)` is called for a peer that has a newer version, `on_new_peer(peer)` for
    one that was not in the directory, `on_larger_directory(peer)` for one of the own zone that
    knows more nodes, and `on_peer_silent(address)` repeatedly for one that has calls in flight but
    is silent. `on_tick()` is called every TICK_MS. `on_store_era(era)` is called for an era that a
    peer knows of. `is_store_reader` and `store_era` are told in all beacons.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        node_directory: directory.Directory,
        own_ingress: ingress.Ingress,
        guard: crash_guard.CrashGuard,
        pool: link_connection.LinkPool,
        log: events.EventLog,
        incarnation: int,
        listen_address: str,
    ) -> None:
        self.clock = clock
        self.directory = node_directory
        self.ingress = own_ingress
        self.guard = guard
        self.pool = pool
        self.log = log
        self.incarnation = incarnation
        self.sequence = 0
        self.version = 0
        self.on_newer_version = lambda peer: None
        self.on_new_peer = lambda peer: None
        self.on_larger_directory = lambda peer: None
        self.on_tick = lambda: None
        self.on_store_era = lambda era: None
        self.is_store_reader = False
        self.store_era = 0
        self.on_peer_silent = lambda address: None
        self.rollout_notices = lambda: ()
        self.on_rollouts = lambda notices, is_judge, address: None
        self.on_rollout_report = lambda payload, sender_ip: None
        self.on_quota_message = lambda payload, sender_ip: None
        """Handles a datagram of tenant quotas; raises ProtocolError."""
        self.reachable: dict[str, bool] = {}
        self.probe_sent_ms: dict[int, int] = {}
        host, _, port = listen_address.rpartition(":")
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, int(port)))

    async def run(self) -> None:
        """Receives beacons and probes peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._probe)

    def announce(self) -> None:
        """Sends the state of this node at once to its zone and to peers that asked lately."""
        since_ms = self.clock.now_ms() - RECENTLY_ASKED_MS
        for peer in self.directory.peers.values():
            if self.directory.is_in_own_zone(peer) or 0 <= since_ms <= peer.asked_ms:
                self._send(peer.entry.link_address, is_request=False)

    def tell(self, addresses: Iterable[str]) -> None:
        """Sends the state of this node at once to some peers."""
        for address in addresses:
            self._send(address, is_request=False)

    def send_all(self, addresses: Iterable[str], payload: bytes) -> None:
        """Sends a datagram to some peers."""
        for address in addresses:
            self.send_datagram(address, payload)

    def announce_version(self, is_from_store: bool) -> None:
        """Sends the active version at once to the own zone, and to a few nodes of the others if
        this node read it from the store."""
        by_zone: dict[str, list[peer_state.Peer]] = collections.defaultdict(list)
        for peer in self.directory.peers.values():
            by_zone[peer.entry.zone].append(peer)
        receivers = by_zone.pop(self.directory.own.zone, [])
        if is_from_store:
            now_ms = self.clock.now_ms()
            for peers in by_zone.values():
                receivers += heapq.nsmallest(
                    PUSHES_PER_REMOTE_ZONE,
                    (peer for peer in peers if peer.is_reachable(now_ms)),
                    key=lambda peer: store_readers.rank(peer.entry),
                )
        for peer in receivers:
            if peer.version < self.version:
                self._send(peer.entry.link_address, is_request=False)

    def learn(self, entries: tuple[frames.NodeEntry, ...]) -> None:
        """Adds nodes to the directory and probes new ones immediately."""
        now_ms = self.clock.now_ms()
        for entry in entries:
            if self.directory.learn(entry, now_ms):
                self.log.emit(
                    "peers",
                    "node_learned",
                    is_vital=True,
                    peer=entry.link_address,
                    zone=entry.zone,
                    service=entry.service,
                )
        self.probe_due()

    def learn_encoded(self, entries: tuple[msgspec.Raw, ...], source: str) -> None:
        """Like `learn`, with entries of a peer's copy; logs and skips those that are invalid."""
        valid = []
        for encoded in entries:
            try:
                entry = frames.decode_entry(bytes(encoded)).location()
            except errors.ProtocolError as error:
                self.log.emit("peers", "foreign_record", True, peer=source, problem=str(error))
                continue
            valid.append(entry)
            if entry.link_address == self.directory.own.link_address and entry.ended is not None:
                self.ingress.end(entry.ended, "told_by_peer")
        self.learn(tuple(valid))

    def probe_due(self) -> None:
        """Sends a probe to each peer from which nothing was received recently."""
        for peer in self.directory.start_due_probes(self.clock.now_ms()):
            self._send(peer.entry.link_address, is_request=True)

    async def fetch(self, address: str, version: int) -> frames.Copy | None:
        """Fetches a peer's directory, and its configuration if that is newer than `version`.

        The connection is new, since an idle one may have gone silent. Returns None on a time-out or
        an error, which is logged, and, without a log line, if the peer's reply is not a copy.
        """
        try:
            with trio.fail_after(FETCH_TIMEOUT_MS / 1000):
                connection = await self.pool.connect(address)
                try:
                    await connection.send(frames.Fetch(version, self.directory.size()))
                    copy = await connection.receive(frames.MAX_COPY_FRAME_BYTES)
                    return copy if isinstance(copy, frames.Copy) else None
                finally:
                    connection.close()
        except (
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            errors.BuckthornstageError,
        ) as error:
            self.log.emit("peers", "fetch_failed", True, peer=address, problem=repr(error))
            return None

    async def _probe(self) -> None:
        while True:
            self.ingress.loop_lag.beat(self.clock.now_ms(), self.clock.suspended_ms())
            self.probe_due()
            self._update_reachability()
            self.on_tick()
            await trio.sleep(TICK_MS * (0.9 + 0.2 * random.random()) / 1000)

    def _update_reachability(self) -> None:
        now_ms = self.clock.now_ms()
        for address, peer in self.directory.watches.watched.items():
            if peer.sent_ms and peer.is_silent_long(now_ms):
                self.pool.close_idle(address)
                self.on_peer_silent(address)
            is_reachable = peer.is_reachable(now_ms)
            if self.reachable.get(address, False) is not is_reachable:
                self.reachable[address] = is_reachable
                self._log_reachability(address, peer, is_reachable, now_ms)

    def _log_reachability(
        self, address: str, peer: peer_state.Peer, is_reachable: bool, now_ms: int
    ) -> None:
        self.log.emit(
            "peers",
            "peer_reachable" if is_reachable else "peer_lost",
            is_vital=True,
            peer=address,
            zone=peer.entry.zone,
            heard_ms_ago=now_ms - peer.heard_ms,
            unanswered=peer.unanswered,
        )

    async def _receive(self) -> None:
        found = 1
        for number in itertools.count():
            await trio.lowlevel.wait_readable(self.socket)
            is_single = found == 1 and number % PASSES_PER_SECOND_READ
            found = self._receive_waiting(1 if is_single else MAX_DATAGRAMS_AT_ONCE)

    def _receive_waiting(self, most: int) -> int:
        """Handles the datagrams that wait, `most` of them at most; returns their number."""
        for found in range(most):
            try:
                payload, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return found
            except OSError as error:
                # An ICMP error for an earlier send is reported here; the socket stays usable.
                self.log.emit("peers", "datagram_error", problem=str(error))
                continue
            self._handle_datagram(payload, sender[0])
        return most

    def _handle_datagram(self, payload: bytes, sender_ip: str) -> None:
        if evidence.is_report(payload):
            self.on_rollout_report(payload, sender_ip)
            return
        try:
            if quota_frames.is_quota_message(payload):
                self.on_quota_message(payload, sender_ip)
                return
            beacon = frames.decode_beacon(payload)
        except errors.ProtocolError as error:
            self.log.emit("peers", "bad_datagram", peer=sender_ip, problem=str(error))
            return
        if beacon.entry.link_address.rpartition(":")[0] != sender_ip:
            problem = "sender differs from link address"
            self.log.emit("peers", "bad_datagram", peer=sender_ip, problem=problem)
            return
        self._handle_beacon(beacon)

    def _handle_beacon(self, beacon: frames.Beacon) -> None:
        now_ms = self.clock.now_ms()
        address = beacon.entry.link_address
        is_new = address not in self.directory.peers
        previous_incarnation = self.directory.peers[address].incarnation if not is_new else 0
        if beacon.known_incarnation > self.incarnation:
            self.incarnation = min(beacon.known_incarnation + 1, decoding.MAX_WHOLE)
            self.log.emit("peers", "incarnation_raised", True, incarnation=self.incarnation)
        if beacon.store_era:
            self.on_store_era(beacon.store_era)
        if beacon.known_ended is not None:
            self.ingress.end(beacon.known_ended, "told_by_peer")
        peer = self.directory.receive_beacon(beacon, now_ms)
        if beacon.is_request:
            self._send(address, is_request=False, echo=beacon.sequence)
        if peer is None:
            return
        if previous_incarnation != beacon.incarnation:
            self.log.emit("peers", "peer_started", True, peer=address, new=is_new)
            self.pool.close_idle(address)
        sent_ms = self.probe_sent_ms.pop(beacon.echo_sequence, None)
        if sent_ms is not None:
            self.directory.record_rtt(peer, now_ms - sent_ms)
        for refuted in beacon.refuted:
            self.guard.refute(refuted.fingerprint, refuted.lifetimes)
        for crash in beacon.crashes:
            for lifetime in crash.lifetimes:
                self.guard.record(crash.fingerprint, lifetime, now_ms)
        if beacon.rollouts:
            self.on_rollouts(beacon.rollouts, beacon.is_store_reader, address)
        if is_new:
            self.on_new_peer(peer)
        if beacon.version > self.version:
            self.on_newer_version(peer)
        elif beacon.directory_size > self.directory.size() and self.directory.is_in_own_zone(peer):
            self.on_larger_directory(peer)

    def _send(self, address: str, is_request: bool, echo: int = -1) -> None:
        self.sequence += 1
        if is_request:
            self.probe_sent_ms[self.sequence] = self.clock.now_ms()
            while len(self.probe_sent_ms) > 1_000:
                del self.probe_sent_ms[next(iter(self.probe_sent_ms))]
        peer = self.directory.peers.get(address)
        ended = self.ingress.lifetimes.ended
        beacon = frames.Beacon(
            self.directory.own,
            self.incarnation,
            self.sequence,
            is_request,
            echo,
            self.version,
            self.ingress.state(),
            _newest_counts(self.guard.deaths),
            peer.incarnation if peer else 0,
            ended[-1] if ended else None,
            peer.ended if peer else None,
            self.is_store_reader,
            self.directory.size(),
            self.store_era,
            _newest_counts(self.guard.refuted),
            self.rollout_notices(),
        )
        self.send_datagram(address, frames.encode_beacon(beacon))

    def send_datagram(self, address: str, payload: bytes) -> None:
        """Sends a datagram to a node; an error is logged."""
        host, _, port = address.rpartition(":")
        try:
            self.socket.sendto(payload, (host, int(port)))
        except OSError as error:
            self.log.emit("peers", "datagram_error", peer=address, problem=str(error))


def _newest_counts(
    crashes: Mapping[str, Mapping[crash_guard.TargetIdentity, object]],
) -> tuple[frames.CrashCount, ...]:
    """The newest counts, without those that would make a datagram longer than peers read."""
    if not crashes:
        return ()
    counts, room = [], MAX_COUNTS_BYTES
    for fingerprint, targets in itertools.islice(reversed(crashes.items()), MAX_CRASH_COUNTS):
        count = frames.CrashCount(fingerprint, tuple(targets)[-MAX_LIFETIMES:])
        size = len(msgspec.msgpack.encode(count))
        if size <= room:
            counts.append(count)
            room -= size
    return tuple(counts)
