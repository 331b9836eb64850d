"""Follows roll-outs of new versions: passes on orders, counts runs, judges, and limits exposure.

Each node keeps to the orders that it hears of. The nodes that read the store judge, since they
also write the verdict. All of them get the evidence of all ingresses of the service.
"""

import itertools
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes, store_readers
from buckthornstage.mesh import (
    events,
    ingress,
    ingress_choice,
    metrics,
    peers,
    synchronization,
)
from buckthornstage.rollouts import evidence, exposure, judge, orders
from buckthornstage.routing import ingress_selection

REPORT_MS = 500
REPORT_MS_PER_PEER = 5
"""Interval of the reports of an ingress, and of a judge's decisions: 0.5 s, and longer in fleets of
more than 100 nodes, so that a judge gets at most 200 reports a second."""
SILENT_MS = 3_000
"""A machine that has not reported for this long does not count as open."""
COMPLETED_MS = 10_000
"""After a completed roll-out the targets of the other versions have stopped; for this time calls
avoid them although their nodes may still report them as open."""

Decide = Callable[[orders.Order, orders.State], Awaitable[orders.State | None]]
"""Writes a state of an order to the store and returns the one that the store holds then; None if a
later order has replaced it. Raises LogError."""


class Rollouts:
    """Roll-outs as this node knows them; costs nothing while there is no order.

    `start_task(function, *arguments)` starts a task. `allowed_share` is the part of a service's
    calls that a version which is not proved may get.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own_peers: peers.Peers,
        own_ingress: ingress.Ingress,
        log: events.EventLog,
        decide: Decide,
        start_task: Callable[..., None],
        allowed_share: float,
    ) -> None:
        self.clock = clock
        self.peers = own_peers
        self.directory = own_peers.directory
        self.ingress = own_ingress
        self.log = log
        self.decide = decide
        self.start_task = start_task
        self.allowed_share = allowed_share
        self.known = orders.KnownRollouts()
        self.decided_ms: dict[str, int] = {}
        """When this node learned of the last verdict of each service."""
        self.evidence: evidence.Evidence | None = None
        self.ended_evidence: evidence.Evidence | None = None
        """Counts of the target's lifetime before, until they are reported."""
        self.reports: dict[str, evidence.Reports] = {}
        self.reported_ms: dict[tuple[str, str], int] = {}
        """When each machine last reported, by service and address."""
        self.progress: dict[str, exposure.Progress] = {}
        self.shares: dict[str, float] = {}
        """What this node permits as a judge, by service."""
        self.writing: set[str] = set()
        self.round_ms = 0

    def connect(
        self,
        own_synchronization: synchronization.Synchronization,
        choice: ingress_choice.IngressChoice,
    ) -> None:
        """Takes orders of the store and notices of peers, and limits the choice of candidates."""
        own_synchronization.on_rollout_order = self.take_order
        self.peers.rollout_notices = self.notices
        self.peers.on_rollouts = self.learn
        self.peers.on_rollout_report = self.take_report
        self.ingress.on_run = self.record_run
        choice.eligible = self.eligible

    def now_ms(self) -> int:
        """Monotonic time that goes on while the machine is suspended: permissions end then too."""
        return self.clock.now_ms() + self.clock.suspended_ms()

    def take_order(self, order: orders.Order) -> None:
        """Takes an order that was read in the store."""
        if self.known.learn_order(order, self.now_ms()):
            self._on_order(order, "store")

    def learn(self, notices: Iterable[orders.Notice], is_judge: bool, source: str) -> None:
        """Takes what a peer tells in a beacon."""
        for notice in notices:
            service = notice.order.service
            before = self.known.by_service.get(service)
            before_order, before_state = (before.order, before.state) if before else (None, None)
            judge_address = source if is_judge else None
            if not self.known.learn(notice, judge_address, self.now_ms()):
                continue
            known = self.known.by_service[service]
            if known.order != before_order:
                self._on_order(known.order, source)
            if known.state is not before_state and known.state is not orders.State.RUNNING:
                self._on_verdict(known.order, known.state, source, "")

    def notices(self) -> tuple[orders.Notice, ...]:
        """What this node tells in its beacons."""
        return self.known.notices(self.shares) if self.known.by_service else ()

    def describe(self, service: str) -> dict[str, object] | None:
        """State and permitted share of the roll-out of a service; None without one."""
        known = self.known.by_service.get(service)
        if known is None:
            return None
        share = known.permitted_share(self.now_ms())
        names = {"to_version": known.order.version, "state": known.state.name.lower()}
        return {**names, "share": share}

    def gauges(self) -> dict[str, float]:
        """Metrics of the roll-outs that this node knows, by name with label."""
        found = {}
        for service, known in self.known.by_service.items():
            label = metrics.label("service", service)
            reports = self.reports[service].of(known.order.version)
            found[f"rollout_state{label}"] = int(known.state)
            found[f"rollout_share{label}"] = self.shares.get(service, 0.0)
            found[f"rollout_runs{label}"] = sum(report.runs for report in reports)
        return found

    def _on_order(self, order: orders.Order, source: str) -> None:
        service = order.service
        self.reports[service] = evidence.Reports(order.number)
        self.progress[service] = exposure.Progress(self.now_ms())
        self.shares.pop(service, None)
        self.decided_ms.pop(service, None)
        self.ingress.tells_version = True
        self._emit("rollout_ordered", order, source=source, period_ms=order.period_ms)
        self.peers.announce()

    def _on_verdict(
        self, order: orders.Order, state: orders.State, source: str, reason: str
    ) -> None:
        self.shares.pop(order.service, None)
        self.decided_ms[order.service] = self.now_ms()
        self._emit("rollout_ended", order, state=state.name.lower(), source=source, reason=reason)
        self.peers.announce()
        self.peers.tell(self._judge_addresses())

    def _emit(self, event: str, order: orders.Order, **fields) -> None:
        names = {"service": order.service, "to_version": order.version, "order": order.number}
        self.log.emit("rollout", event, True, **names, **fields)

    def record_run(self, call: frames.Call, outcome: ingress.Outcome) -> None:
        """Counts a run of the own target, if its service has a roll-out that runs."""
        known = self.known.by_service.get(call.service)
        current = self.ingress.lifetimes.current
        if known is None or current is None or known.state is not orders.State.RUNNING:
            return
        if isinstance(outcome, frames.Refused):
            return
        found = self._evidence(known, current)
        has_failed = not frames.is_success(outcome)
        # A target that has just started is slow, whatever its version.
        is_cold = self.clock.now_ms() < current.cold_until_ms
        run_ms = None if has_failed or is_cold else outcome.run_ms
        found.record(call.route, has_failed, run_ms)

    def _evidence(self, known: orders.Known, current: lifetimes.Lifetime) -> evidence.Evidence:
        """Counts for the order and the present lifetime; those of the lifetime before are sent once
        more, since its last failures may be those of a crash."""
        found = self.evidence
        if found is not None and found.number == known.order.number:
            if found.lifetime == current.identity:
                return found
            self.ended_evidence = found
        self.evidence = evidence.Evidence(known.order.number, current.identity, current.version)
        return self.evidence

    def eligible(
        self,
        service: str,
        found: list[ingress_selection.Candidate],
        is_first: bool,
        uniform: Callable[[], float],
    ) -> list[ingress_selection.Candidate]:
        """The candidates that the roll-out of a service allows for the next attempt of a call.

        `is_first` says whether it is the first one; `uniform()` returns random numbers in [0, 1).
        """
        known = self.known.by_service.get(service)
        if known is None:
            return found
        new, old = [], []
        for candidate in found:
            (new if self._has_version(candidate, known) else old).append(candidate)
        now_ms = self.now_ms()
        if known.state is orders.State.ROLLED_BACK:
            return old
        if known.state is orders.State.COMPLETED:
            is_recent = now_ms - self.decided_ms.get(service, 0) < COMPLETED_MS
            return (new or old) if is_recent else found
        if not is_first:
            return old
        share = known.permitted_share(now_ms)
        if not old:
            self.directory.watches.needs_remote(service, self.clock.now_ms())
            is_last = not self._knows_other_version(service, known)
            return new if is_last or uniform() < share else []
        if not (new and share and uniform() < share):
            return old
        addresses = {self._address(candidate): candidate for candidate in new}
        used = exposure.machines_to_use(share, len(found), list(addresses))
        return [addresses[address] for address in used]

    def _address(self, candidate: ingress_selection.Candidate) -> str:
        return candidate.key or self.directory.own.link_address

    def _has_version(self, candidate: ingress_selection.Candidate, known: orders.Known) -> bool:
        """Whether a candidate's target has the new version.

        A node that does not know of the order tells no version. Its target counts as new if the
        node joined after the order.
        """
        if candidate.state.version:
            return candidate.state.version == known.order.version
        peer = self.directory.peers.get(candidate.key)
        learned_ms = known.learned_ms - self.clock.suspended_ms()
        return peer is not None and peer.first_seen_ms > learned_ms

    def _knows_other_version(self, service: str, known: orders.Known) -> bool:
        """Whether a target of another version accepts calls, also one that is not observed."""
        now_ms = self.clock.now_ms()
        for address, peer in self.directory.peers.items():
            if peer.entry.service != service or not (peer.is_open and peer.is_reachable(now_ms)):
                continue
            candidate = ingress_selection.Candidate(address, True, peer.state, 0)
            if not self._has_version(candidate, known):
                return True
        return False

    def tick(self) -> None:
        """Sends reports and judges, if that is due; to be called several times a second."""
        if not self.known.by_service:
            return
        now_ms = self.now_ms()
        if now_ms - self.round_ms < max(REPORT_MS, REPORT_MS_PER_PEER * len(self.directory.peers)):
            return
        self.round_ms = now_ms
        self._report()
        for known in tuple(self.known.by_service.values()):
            if known.state is not orders.State.RUNNING or not self.peers.is_store_reader:
                self.shares.pop(known.order.service, None)
                continue
            self._judge(known, now_ms)

    def _report(self) -> None:
        current = self.ingress.lifetimes.current
        known = self.known.by_service.get(current.service) if current is not None else None
        if known is None or known.state is not orders.State.RUNNING:
            return
        is_open = self.ingress.status() is frames.IngressStatus.OPEN
        present, ended = self._evidence(known, current), self.ended_evidence
        self.ended_evidence = None
        addresses = self._judge_addresses()
        for found in filter(None, (present, ended)):
            report = found.report(
                self.directory.own.link_address,
                self.peers.incarnation,
                is_open and found is present,
            )
            if self.peers.is_store_reader:
                self._take(known.order.service, report)
            self.peers.send_all(addresses, evidence.encode_report(report))

    def _judge_addresses(self) -> list[str]:
        """First readers of the store in each zone by rank, and those that say they read it."""
        by_zone: dict[str, list] = {}
        for peer in self.directory.peers.values():
            by_zone.setdefault(peer.entry.zone, []).append(peer)
        now_ms = self.clock.now_ms()
        found = []
        for zone_peers in by_zone.values():
            ranked = sorted(zone_peers, key=lambda peer: store_readers.rank(peer.entry))
            reachable = (peer for peer in ranked if peer.heard_ms < 0 or peer.is_reachable(now_ms))
            first = list(itertools.islice(reachable, store_readers.READERS_PER_ZONE))
            readers = [peer for peer in zone_peers if peer.is_store_reader and peer not in first]
            found += [peer.entry.link_address for peer in first + readers]
        return found

    def take_report(self, payload: bytes, sender_ip: str) -> None:
        """Takes the datagram of an ingress."""
        try:
            report = evidence.decode_report(payload)
        except msgspec.MsgspecError as error:
            self.log.emit("rollout", "bad_report", peer=sender_ip, problem=str(error))
            return
        if report.address.rpartition(":")[0] != sender_ip:
            self.log.emit("rollout", "bad_report", peer=sender_ip, problem="another address")
            return
        if not report.is_consistent:
            self.log.emit("rollout", "bad_report", peer=sender_ip, problem="more than all runs")
            return
        service = next(
            (name for name, found in self.reports.items() if found.number == report.number), None
        )
        if service is not None:
            self._take(service, report)

    def _take(self, service: str, report: evidence.Report) -> None:
        self.reports[service].add(report)
        if report.is_open:
            self.reported_ms[service, report.address] = self.now_ms()

    def _judge(self, known: orders.Known, now_ms: int) -> None:
        order, progress = known.order, self.progress[known.order.service]
        if progress.is_new:
            # A judge that has not read the stored state may have missed a verdict: it permits
            # nothing, and holds back no judge that has read it.
            self._start_writing(order, orders.State.RUNNING, progress)
            return
        found = self.reports[order.service]
        new = found.of(order.version)
        finding = judge.find(new, found.of_others(order.version))
        machines = sum(
            now_ms - self.reported_ms.get((order.service, address), -SILENT_MS) < SILENT_MS
            for address in {report.address for report in new}
        )
        before = (progress.step, progress.is_halted)
        decision = exposure.decide(progress, finding, order, machines, self.allowed_share, now_ms)
        if before != (progress.step, progress.is_halted):
            fields = {"share": decision.share, "runs": finding.runs, "reason": finding.reason}
            self._emit("rollout_step", order, is_halted=progress.is_halted, **fields)
        self._permit(known, decision.share, now_ms)
        if decision.verdict is not None:
            self._start_writing(order, decision.verdict, progress)

    def _permit(self, known: orders.Known, share: float, now_ms: int) -> None:
        self.shares[known.order.service] = share
        known.permit(self.directory.own.link_address, share, now_ms)
        self.peers.announce()

    def _start_writing(
        self, order: orders.Order, state: orders.State, progress: exposure.Progress
    ) -> None:
        if order.service not in self.writing:
            self.writing.add(order.service)
            self.start_task(self._write, order, state, progress)

    async def _write(
        self, order: orders.Order, state: orders.State, progress: exposure.Progress
    ) -> None:
        """Writes a state; adopts the one that the store holds already."""
        try:
            held = await self.decide(order, state)
        except errors.LogError as error:
            self._emit("rollout_not_written", order, state=state.name.lower(), problem=str(error))
            return
        finally:
            self.writing.discard(order.service)
        if progress.is_new:
            # Without a stored state nothing was exposed, so there is no evidence from before.
            progress.is_new = False
            progress.began_ms = progress.step_began_ms = self.now_ms()
        if held is None or held is orders.State.RUNNING:
            return
        self.known.decide(order, held)
        if self.known.by_service[order.service].order == order:
            self._on_verdict(order, held, "store", progress.reason)
