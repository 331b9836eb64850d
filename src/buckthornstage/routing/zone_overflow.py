"""Share of the calls to one service that leaves the own zone, and the zones that they go to.

Each node decides for itself by the loads that ingresses report. The share of a zone rises while the
own zone is full and that zone has room, and falls as soon as either ends; it changes gradually, as
reports are up to a second old and all nodes of a zone act on about the same ones.
"""

import collections
import enum
from collections.abc import Callable, Iterable, Mapping

import msgspec

from buckthornstage.routing import ingress_selection

PRICE_FRACTION = 0.05
"""A call leaves by the share if that saves this part of its goal: traffic between zones is charged
by the byte, and the calls that it makes in turn are made in the other zone."""
UPDATE_MS = 100
"""Interval of updates; also limits their cost, as each one looks at all candidates."""
MAX_REPORT_AGE_MS = 1_000
"""Zones without a newer report get no calls by share and are not known to be full."""
SMOOTHING_MS = 250.0
"""Time constant of the smoothed loads; watched peers report twice a second."""
START_LOAD = 1.0
"""Smoothed load of the own zone (calls per slot) from which on calls begin to leave. At 0.95 a zone
at its usual load of 0.6 sent 0.4 % more of its calls away (mesh model), which served nobody."""
HOLD_LOAD = 0.9
"""Load of the own zone that the share leads to. Below START_LOAD, so that noise in the reports does
not start and end the overflow in turn."""
ROOM_LOAD = 0.8
"""Load up to which another zone is filled. Below HOLD_LOAD, so that a zone that receives calls does
not send its own away."""
FULL_LOAD = 2.0
"""Another zone at this load has no room: as many calls wait as run, and a call sent there
displaces one of its own. At 1.5, half a zone lost cost 0.4 % of the worth in the mesh model, at 2.0
none."""
ROOM_AGAIN_LOAD = 1.5
WATCH_LOAD = 0.85
"""Load of the own zone from which on the ingresses of others are observed, so that their reports
are recent when calls begin to leave. A load that rises by 0.15 a second needs 1 s from there to
START_LOAD, and the first reports take about 0.1 s. Observing costs some KB/s between zones."""
RELATIVE_LOAD = 0.9
"""A zone with less than this part of the own load is not full: it serves a call sooner."""
FULL_AFTER_MS = 1_000.0
"""Time constant of the load that makes a zone full. A queue that is gone sooner leaves room."""
MAX_LOAD = 4.0
"""Bound of measured loads, so that the end of a long queue shows soon in the smoothed ones."""
GAIN_PER_MS = 0.5 / 1_000
"""Change of the share per ms and unit of load. The loop is stable up to a product of gain, load and
delay of about 1.5; with twice this gain and reports late by 1 s the share swung by 0.64."""
MIN_SHARE = 0.01
"""Lower shares end the overflow to a zone."""
MAX_SHARE = 0.9
"""Some calls stay, so that the own zone's recovery is noticed at once."""
LOG_INTERVAL_MS = 1_000
LOGGED_CHANGE = 0.2
"""A share that has changed by less than this is not logged again."""
MAX_GAP_MS = 500
"""Longest time between updates that counts for a change of the share."""


class LeaveReason(enum.StrEnum):
    """Why a call leaves the own zone."""

    SHARE = "share"
    """The own zone is full, and the zone that the call goes to has room."""
    GOAL = "goal"
    """The own zone would use up too much of the goal of this call."""
    NO_TARGET = "no_target"
    """No ingress of the own zone is open, or none is left after refusals and failures."""


class Choice(msgspec.Struct, frozen=True, gc=False):
    """An ingress, the expected time there in ms, and why it is in another zone, if so."""

    candidate: ingress_selection.Candidate
    expected_ms: float
    reason: LeaveReason | None


class ZoneLoad(msgspec.Struct, gc=False):
    """Load of the ingresses of one zone that have reported recently.

    `capacity` is in slots per ms of run time, so that a slow target counts for what it completes;
    `used` is the part of it that calls occupy, above `capacity` if they wait.
    """

    capacity: float = 0.0
    used: float = 0.0


class ZoneOverflow:
    """Decision of one node for one service; `own_zone` is the zone of the node."""

    def __init__(self, own_zone: str) -> None:
        self.own_zone = own_zone
        self.loads: dict[str, float] = {}
        """Smoothed calls per slot by zone, of the zones with recent reports."""
        self.slow_loads: dict[str, float] = {}
        """Loads over a longer time, which tell whether a zone is full."""
        self.shares: dict[str, float] = {}
        """Share of the calls that goes to each other zone; their sum is at most MAX_SHARE."""
        self.full_zones: frozenset[str] = frozenset()
        """Other zones that have no room."""
        self.updated_ms = -UPDATE_MS
        self.logged_ms = -LOG_INTERVAL_MS
        self.logged_shares: dict[str, float] = {}
        self.logged_full: frozenset[str] = frozenset()

    def is_due(self, now_ms: int) -> bool:
        """Whether `update` is to be called with the current candidates."""
        return now_ms - self.updated_ms >= UPDATE_MS

    def update(self, candidates: Iterable[ingress_selection.Candidate], now_ms: int) -> None:
        """Takes the reports of all open candidates of the service, and adapts the shares."""
        gap_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        measured = zone_loads(candidates)
        self.loads = _smoothed(self.loads, measured, gap_ms / (gap_ms + SMOOTHING_MS))
        self.slow_loads = _smoothed(self.slow_loads, measured, gap_ms / (gap_ms + FULL_AFTER_MS))
        self.full_zones = frozenset(
            zone
            for zone, load in self.loads.items()
            if zone != self.own_zone
            and min(load, self.slow_loads[zone])
            >= (ROOM_AGAIN_LOAD if zone in self.full_zones else FULL_LOAD)
            and load >= RELATIVE_LOAD * self.loads.get(self.own_zone, 0.0)
        )
        self.shares = self._next_shares(measured, min(gap_ms, MAX_GAP_MS) * GAIN_PER_MS)

    def _next_shares(self, measured: Mapping[str, ZoneLoad], gain: float) -> dict[str, float]:
        own_load = self.loads.get(self.own_zone)
        if own_load is None or not (self.shares or own_load >= START_LOAD):
            return {}
        excess = min(0.5, own_load - HOLD_LOAD)
        rooms = {
            zone: (ROOM_LOAD - load) * measured[zone].capacity
            for zone, load in self.loads.items()
            if zone != self.own_zone
        }
        all_room = sum(room for room in rooms.values() if room > 0)
        before = sum(self.shares.values())
        shares = {}
        for zone, room in rooms.items():
            share = self.shares.get(zone, 0.0)
            free = ROOM_LOAD - self.loads[zone]
            if excess > 0 and free > 0:
                share += gain * min(excess, free) * room / all_room
            elif share:
                share -= gain * (max(0.0, -free) + max(0.0, -excess) * share / before)
            if share >= MIN_SHARE or (excess > 0 and free > 0):
                shares[zone] = share
        total = sum(shares.values())
        if total > MAX_SHARE:
            shares = {zone: share * MAX_SHARE / total for zone, share in shares.items()}
        return shares

    def choose(
        self,
        candidates: list[ingress_selection.Candidate],
        goal_ms: float,
        is_bulk: bool,
        was_refused: bool,
        uniform: Callable[[], float],
    ) -> Choice | None:
        """Ingress for an attempt of a call; None if no candidate is open, or those that are have no
        room. `was_refused`: ingresses have refused the call, and no target has failed it.

        Long responses leave only for the goal, as they cost several hundred times as much.
        """
        if self.shares and not is_bulk:
            found = self._choose_by_share(candidates, goal_ms, uniform)
            if found is not None:
                return found
        if self.full_zones or is_bulk:
            candidates = self._without_full_zones(candidates, is_bulk, was_refused)
        found = ingress_selection.choose(candidates, goal_ms, is_bulk, uniform)
        if found is None or found[0].is_own_zone:
            return None if found is None else Choice(*found, None)
        has_own = any(candidate.is_own_zone for candidate in candidates)
        return Choice(*found, LeaveReason.GOAL if has_own else LeaveReason.NO_TARGET)

    def _choose_by_share(
        self,
        candidates: list[ingress_selection.Candidate],
        goal_ms: float,
        uniform: Callable[[], float],
    ) -> Choice | None:
        zone = self.leaving_zone(uniform)
        if zone is None:
            return None
        there = [candidate for candidate in candidates if candidate.zone == zone]
        found = ingress_selection.choose(there, goal_ms, False, uniform)
        if found is None or found[1] > ingress_selection.local_limit_ms(goal_ms, False):
            return None
        here = [candidate for candidate in candidates if candidate.is_own_zone]
        best = ingress_selection.choose(here, goal_ms, False, uniform)
        if best is not None and _scaled_ms(found) + PRICE_FRACTION * goal_ms > _scaled_ms(best):
            return None
        return Choice(*found, LeaveReason.SHARE)

    def _without_full_zones(
        self, candidates: list[ingress_selection.Candidate], is_bulk: bool, was_refused: bool
    ) -> list[ingress_selection.Candidate]:
        """The candidates that a call may go to; those of other zones need room there, unless the
        own zone has no target for the call. One that its own zone has refused does not displace
        calls of a full zone."""
        if self.own_zone not in self.loads:
            return candidates
        if not was_refused and not any(candidate.is_own_zone for candidate in candidates):
            return candidates
        closed = self.full_zones
        if is_bulk:
            closed = {zone for zone, load in self.loads.items() if load > ROOM_LOAD}
        return [item for item in candidates if item.is_own_zone or item.zone not in closed]

    def leaving_zone(self, uniform: Callable[[], float]) -> str | None:
        """Zone that the next call goes to by the shares; None if it stays."""
        if not self.shares:
            return None
        draw = uniform()
        for zone, share in self.shares.items():
            draw -= share
            if draw < 0:
                return zone
        return None

    def change_to_log(self, now_ms: int) -> dict[str, object] | None:
        """Fields of a log line if the decision has changed, at most once in LOG_INTERVAL_MS."""
        if self.shares == self.logged_shares and self.full_zones == self.logged_full:
            return None
        is_new = self.shares.keys() != self.logged_shares.keys()
        is_new = is_new or self.full_zones != self.logged_full
        is_new = is_new or any(
            abs(share - self.logged_shares[zone]) >= LOGGED_CHANGE
            for zone, share in self.shares.items()
        )
        if not is_new or now_ms - self.logged_ms < LOG_INTERVAL_MS:
            return None
        self.logged_ms = now_ms
        self.logged_shares, self.logged_full = self.shares, self.full_zones
        return {
            "shares": {zone: round(share, 2) for zone, share in self.shares.items()},
            "loads": {zone: round(load, 2) for zone, load in self.loads.items()},
            "full": sorted(self.full_zones),
        }

    def is_own_zone_busy(self) -> bool:
        """Whether the ingresses of other zones are to be observed."""
        return self.loads.get(self.own_zone, 0.0) >= WATCH_LOAD


def _scaled_ms(found: tuple[ingress_selection.Candidate, float]) -> float:
    """Expected time in ms, longer for a target that fails or rejects a part of its calls."""
    return found[1] / ingress_selection.success_rate(found[0])


def zone_loads(candidates: Iterable[ingress_selection.Candidate]) -> dict[str, ZoneLoad]:
    """Loads by zone, from candidates whose reports are recent."""
    loads: dict[str, ZoneLoad] = collections.defaultdict(ZoneLoad)
    for candidate in candidates:
        state = candidate.state
        if candidate.age_ms > MAX_REPORT_AGE_MS or not state.slots:
            continue
        calls = state.running + state.waiting + candidate.sent_since
        if state.start_interval_ms and state.start_wait_ms > candidate.age_ms:
            # The limit of the target, not its slots, is used up.
            calls = max(calls, state.slots)
        run_ms = state.run_ms or ingress_selection.DEFAULT_RUN_MS
        load = loads[candidate.zone]
        # A target that rejects a part of its calls lacks that part of its slots.
        load.capacity += state.slots * ingress_selection.success_rate(candidate) / run_ms
        load.used += calls / run_ms
    return loads


def _smoothed(
    known: Mapping[str, float], measured: Mapping[str, ZoneLoad], weight: float
) -> dict[str, float]:
    """Loads of the measured zones; `weight` is that of the newest ones."""
    smoothed = {}
    for zone, found in measured.items():
        load = min(MAX_LOAD, found.used / found.capacity)
        before = known.get(zone, load)
        smoothed[zone] = before + weight * (load - before)
    return smoothed
