"""Choice of the ingress for the next attempt of a call, and whether another attempt is allowed."""

import random
from collections.abc import Callable, Iterator

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.limits import fleet_retry_budget, target_pace
from buckthornstage.link import frames
from buckthornstage.membership import directory
from buckthornstage.mesh import candidates, ingress, metrics, pending_call
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.routing import ingress_selection, target_trials, zone_overflow

Kind = errors.ErrorKind
Candidates = list[ingress_selection.Candidate]
Eligible = Callable[[str, Candidates, bool, Callable[[], float]], Candidates]
"""Service, open candidates, whether it is a call's first attempt, and a source of random numbers in
[0, 1); returns the candidates that the service's roll-out allows."""

ESTIMATE_MARGIN = 1.3
"""The first ingress is tried even if the egress's estimate is too long by this factor; only the
ingress knows its load. After a refusal the estimate must hold: in an overload all ingresses refuse,
and each further attempt takes processor time and bytes from the calls that are served."""
MAX_CANDIDATES = 4
"""Candidates tried for one call; each refusal costs an inter-zone round trip of up to 8 ms."""
MIN_RETRY_MS = 20


class IngressChoice:
    """Chooses ingresses for the calls of one node; holds its part of the fleet's retry budget."""

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        clock: clocks.Clock,
        node_metrics: metrics.Metrics,
        peer_directory: directory.Directory,
        own_ingress: ingress.Ingress,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = node_metrics
        self.directory = peer_directory
        self.ingress = own_ingress
        self.overflows: dict[str, zone_overflow.ZoneOverflow] = {}
        """Decision on calls to other zones by service."""
        self.has_tenants = False
        """Whether the configuration in force has tenants."""
        self.budgets: dict[str, fleet_retry_budget.FleetRetryBudget] = {}
        self.kinds: dict[str, target_pace.KindRatios] = {}
        """Run times of the routes of each service whose targets tell their pace."""
        self.random = random.Random()
        self.eligible: Eligible = lambda service, found, is_first, uniform: found

    def budget(self, service: str) -> fleet_retry_budget.FleetRetryBudget:
        """This node's part of the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = fleet_retry_budget.FleetRetryBudget(
                self.settings.retry_ratio, self.settings.retry_slack
            )
            self.budgets[service] = budget
        return budget

    def record_call(self, service: str) -> None:
        """Counts a new call, which earns a part of the retry budget."""
        nodes = 1 + len(self.directory.peers)
        self.budget(service).record_call(nodes, self.ingress.queue.retry_share())

    def record_run(self, pending: pending_call.PendingCall, response: frames.Response) -> None:
        """Learns the run time of a call's kind from a response of a target that tells its pace."""
        if response.state.pace_percent and response.run_ms:
            kinds = self.kinds.setdefault(pending.service, target_pace.KindRatios())
            kinds.record(pending.route.name, response.run_ms, response.state.run_ms)

    def may_retry(self, pending: pending_call.PendingCall, reserve_share: float = 0.0) -> bool:
        """Whether the call may be sent to one more target; spends a token of the budget."""
        is_possible = (
            pending.sends < pending.route.max_attempts
            and self.clock.now_ms() < pending.deadline_ms
            and next(self._candidates(pending), None) is not None
        )
        if not is_possible or not self.budget(pending.service).try_spend(reserve_share):
            self.metrics.count("repeat_denied", pending.service)
            return False
        self.metrics.count("repeats", pending.service)
        return True

    def _candidates(
        self, pending: pending_call.PendingCall
    ) -> Iterator[ingress_selection.Candidate]:
        """Open candidates that have not been tried, generated lazily."""
        kinds = self.kinds.get(pending.service)
        return candidates.untried(
            self.directory,
            self.ingress,
            self.settings.zone,
            pending.service,
            pending.tried,
            self.clock.now_ms(),
            kinds.ratio(pending.route.name) if kinds is not None else 1.0,
            None if pending.is_above_share else pending.route.priority,
            pending.is_resubmitted,
        )

    def next_candidate(self, pending: pending_call.PendingCall) -> ingress_selection.Candidate:
        """Candidate for the next attempt; raises CallError when none can serve the call."""
        now_ms = self.clock.now_ms()
        if now_ms >= pending.deadline_ms:
            raise final_error(pending, Kind.DEADLINE_PASSED_IN_CALL, "")
        found_open = list(self._candidates(pending))
        if not pending.tried and self.is_contended(pending.service):
            self._update_overflow(pending.service, found_open, now_ms)
        # Old reports of one version must not leave only the other one.
        is_first = not pending.tried
        eligible = self.eligible(pending.service, found_open, is_first, self.random.random)
        untried = candidates.with_fresh_reports(eligible)
        # A call is due at its goal, or at its latest time once the goal has passed.
        goal_ms = pending.goal_ms - pending.transfer_ms
        latest_ms = pending.latest_ms - pending.transfer_ms
        due_ms = goal_ms if now_ms < goal_ms else latest_ms
        accepting = target_trials.accepting(untried)
        found = self.choose(
            pending.service,
            accepting,
            due_ms - now_ms,
            pending.route.is_bulk,
            self.random.random,
            was_refused=bool(pending.tried) and not pending.sends,
        )
        if self._is_zone_busy(pending, found, due_ms - now_ms):
            self.directory.watches.needs_remote(pending.service, now_ms)
        if len(accepting) < len(untried):
            is_full = found is None or found.expected_ms > due_ms - now_ms
            trial = target_trials.due_trial(untried, is_full, self.random.random)
            found = found if trial is None else zone_overflow.Choice(*trial, None)
        if found is None:
            if pending.tried and pending.retry_ms is not None:
                raise final_error(pending, Kind.OVERLOADED, "every ingress refused")
            pending.retry_ms = MIN_RETRY_MS
            raise final_error(pending, Kind.NO_TARGET, pending.service)
        candidate, expected_ms = found.candidate, found.expected_ms
        allowed_ms = latest_ms - now_ms
        margin = 1.0 if pending.tried else ESTIMATE_MARGIN
        if expected_ms > allowed_ms * margin or len(pending.tried) >= MAX_CANDIDATES:
            if pending.retry_ms is None:
                pending.retry_ms = int(MIN_RETRY_MS + ingress_selection.wait_ms(candidate))
            detail = (
                f"expected {expected_ms:.0f} ms at {candidate.key or 'own'} by a report"
                f" {candidate.age_ms} ms old, allowed {allowed_ms} ms"
            )
            raise final_error(pending, Kind.OVERLOADED, detail)
        if found.reason is not None:
            label = f"{pending.service} {candidate.zone} {found.reason}"
            self.metrics.count("left_zone", label)
        return candidate

    def is_contended(self, service: str) -> bool:
        """Whether callers of a service compete for room that is uneven: the configuration has
        tenants, or the service's targets tell their pace because they share their machines. The
        shares of zones and the trials of targets that reject calls are for these services."""
        return self.has_tenants or service in self.kinds

    def choose(
        self,
        service: str,
        accepting: Candidates,
        goal_ms: float,
        is_bulk: bool,
        uniform: Callable[[], float],
        was_refused: bool,
    ) -> zone_overflow.Choice | None:
        """Best of the candidates that accept calls; see `zone_overflow.ZoneOverflow.choose`."""
        if self.is_contended(service):
            overflow = self.overflow(service)
            return overflow.choose(accepting, goal_ms, is_bulk, was_refused, uniform)
        found = ingress_selection.choose(accepting, goal_ms, is_bulk, uniform)
        return None if found is None else zone_overflow.Choice(*found, None)

    def _is_zone_busy(
        self, pending: pending_call.PendingCall, found: zone_overflow.Choice | None, goal_ms: float
    ) -> bool:
        """Whether the ingresses of other zones are to be observed."""
        overflow = self.overflows.get(pending.service)
        if overflow is not None and overflow.is_own_zone_busy():
            return True
        best = None if found is None else (found.candidate, found.expected_ms)
        return ingress_selection.is_zone_strained(best, goal_ms, pending.route.is_bulk)

    def overflow(self, service: str) -> zone_overflow.ZoneOverflow:
        """Decision on the calls to a service that leave the zone."""
        overflow = self.overflows.get(service)
        if overflow is None or overflow.own_zone != self.settings.zone:
            overflow = zone_overflow.ZoneOverflow(self.settings.zone)
            self.overflows[service] = overflow
        return overflow

    def _update_overflow(
        self, service: str, found: list[ingress_selection.Candidate], now_ms: int
    ) -> None:
        """Adapts the shares to the reports of all open ingresses of a service."""
        self.directory.has_zone_shares = True
        overflow = self.overflow(service)
        if not overflow.is_due(now_ms):
            return
        overflow.update(candidates.with_fresh_reports(found), now_ms)
        change = overflow.change_to_log(now_ms)
        if change is not None:
            self.ingress.log.emit("caller", "zone_share", service=service, **change)


def final_error(
    pending: pending_call.PendingCall, kind: errors.ErrorKind, detail: str
) -> errors.CallError:
    """Error for the caller; "not run" only if no target can have run the call."""
    is_not_run = errors.ERROR_RESPONSES[kind].outcome is errors.Outcome.NOT_RUN
    if is_not_run and pending.may_have_run:
        kind = Kind.TARGET_FAILED
    if not is_not_run and not pending.may_have_run:
        kind = Kind.OVERLOADED
    return errors.CallError(kind, detail)
