"""Judgement and exposure of a new version, in fake time and without a network."""

import random
import zlib

import pytest

from buckthornstage.rollouts import evidence, exposure, judge, orders

ORDER = orders.Order("desk", "v2", 12_000, (1, 7))
ALLOWED_SHARE, SLACK, ROLLBACK_MS = 0.1, 50, 5_000
TICK_MS = 250
JUDGE, OTHER_JUDGE = "10.0.2.1:1", "10.0.2.2:1"
FAIL_SHARE, RUN_MS = 0.004, 100.0


class Fleet:
    """Machines of two versions of one service, and the judge of a roll-out.

    `fault(machine, now_ms, route)` returns (failure share, factor of the run time) of the new
    version; `calls_per_second` are all calls of the service, a tenth of them on the route "rare".
    """

    def __init__(self, calls_per_second, fault, machines=20, order=ORDER, seed=1):
        self.random = random.Random(seed)
        self.calls_per_second, self.fault, self.order = calls_per_second, fault, order
        self.new = [f"10.0.0.{number}:1" for number in range(1, machines + 1)]
        self.old = [f"10.0.1.{number}:1" for number in range(1, machines + 1)]
        self.counts = {
            address: evidence.Evidence(
                order.number, (address, 1), "v2" if address in self.new else "v1"
            )
            for address in self.new + self.old
        }
        self.reports = evidence.Reports(order.number)
        self.progress = exposure.Progress(0)
        self.known = orders.KnownRollouts()
        self.known.learn_order(order, 0)
        self.sent = self.sent_new = self.bad_answers = 0
        self.bad_50_ms = None

    def call(self, now_ms, share):
        route = "rare" if self.random.random() < 0.1 else "usual"
        self.sent += 1
        is_new = self.random.random() < share
        machines = exposure.machines_to_use(share, 40, self.new) if is_new else self.old
        machine = self.random.choice(machines)
        self.sent_new += is_new
        fail_share, factor = self.fault(machine, now_ms, route) if is_new else (0.0, 1.0)
        has_failed = self.random.random() < FAIL_SHARE + fail_share
        speed = 0.55 + 0.85 * (zlib.crc32(machine.encode()) % 100) / 100
        run_ms = RUN_MS * speed * factor * self.random.lognormvariate(0, 0.5)
        run_ms *= 4 if route == "rare" else 1
        self.counts[machine].record(route, has_failed, run_ms)
        if is_new and (has_failed or factor > 1):
            self.bad_answers += 1
            if self.bad_answers == 50:
                self.bad_50_ms = now_ms

    def play(self):
        """Returns the verdict and its time; without one by the end of the period, None."""
        for now_ms in range(0, self.order.period_ms + TICK_MS, TICK_MS):
            for address, counts in self.counts.items():
                self.reports.add(counts.report(address, 1, True))
            finding = judge.find(self.reports.of("v2"), self.reports.of_others("v2"))
            decision = exposure.decide(
                self.progress, finding, self.order, len(self.new), ALLOWED_SHARE, now_ms
            )
            if decision.verdict is not None:
                return decision.verdict, now_ms
            self.known.learn(orders.Notice(self.order, share=decision.share), JUDGE, now_ms)
            share = self.known.by_service["desk"].permitted_share(now_ms)
            for _ in range(round(self.calls_per_second * TICK_MS / 1_000)):
                self.call(now_ms, share)
        return None, now_ms

    def assert_exposure_kept(self, ended_ms):
        assert self.sent_new <= ALLOWED_SHARE * self.sent + SLACK
        if self.bad_50_ms is not None:
            assert ended_ms + orders.PERMISSION_MS <= self.bad_50_ms + ROLLBACK_MS


def good(machine, now_ms, route):
    return 0.0, 1.0


def fails_at_once(machine, now_ms, route):
    return 0.3, 1.0


def fails_later(machine, now_ms, route):
    return (0.4 if now_ms >= 3_000 else 0.0), 1.0


def fails_on_one_route(machine, now_ms, route):
    return (0.5 if route == "rare" else 0.0), 1.0


def is_slow(machine, now_ms, route):
    return 0.0, 4.0


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("calls_per_second", [8, 60, 900])
def test_a_good_version_completes_within_its_period(calls_per_second, seed):
    """Guards against a good version that is rolled back, or never completed at few requests."""
    fleet = Fleet(calls_per_second, good, seed=seed)
    verdict, ended_ms = fleet.play()
    assert verdict is orders.State.COMPLETED
    assert ended_ms <= 0.95 * ORDER.period_ms
    fleet.assert_exposure_kept(ended_ms)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("fault", [fails_at_once, fails_later, fails_on_one_route, is_slow])
def test_a_bad_version_is_rolled_back_before_it_has_done_much_harm(fault, seed):
    """Guards against a bad version that stays exposed, also one that is bad later or on one
    route (EXPOSURE)."""
    fleet = Fleet(900, fault, seed=seed)
    verdict, ended_ms = fleet.play()
    assert verdict is orders.State.ROLLED_BACK
    fleet.assert_exposure_kept(ended_ms)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("harm", [(0.9, 1.0), (0.0, 6.0)], ids=["fails", "slow"])
def test_one_bad_machine_among_good_ones_is_no_bad_version(harm, seed):
    """Guards against a roll-back because of a machine that fails or is slow."""

    def fault(machine, now_ms, route):
        return harm if machine == worst else (0.0, 1.0)

    fleet = Fleet(900, fault, seed=seed)
    worst = exposure.machines_to_use(0.01, 1, fleet.new)[0]
    assert fleet.play()[0] is orders.State.COMPLETED


def test_a_version_without_an_open_machine_is_not_completed():
    """Guards against an end of the old targets while nothing can take their calls."""
    progress = exposure.Progress(0)
    at_end_ms = int(0.95 * ORDER.period_ms)
    decision = exposure.decide(progress, judge.Finding(), ORDER, 0, ALLOWED_SHARE, at_end_ms)
    assert decision.verdict is orders.State.ROLLED_BACK


def test_a_halted_version_is_not_exposed_again():
    """Guards against new exposure when the evidence of a bad version is lost later."""
    progress = exposure.Progress(0)
    bad = judge.Finding(True, True, True, "usual: failed", 100)
    exposure.decide(progress, bad, ORDER, 5, ALLOWED_SHARE, 1_000)
    decision = exposure.decide(progress, judge.Finding(), ORDER, 5, ALLOWED_SHARE, 1_250)
    assert decision == exposure.Decision(0.0, orders.State.ROLLED_BACK)


def test_permission_ends_by_itself_and_is_withdrawn_at_once():
    """Guards against nodes that expose a version of which they hear nothing any more."""
    known = orders.KnownRollouts()
    known.learn(orders.Notice(ORDER, share=0.07), JUDGE, 0)
    found = known.by_service["desk"]
    assert found.permitted_share(orders.PERMISSION_MS - 1) == 0.07
    assert found.permitted_share(orders.PERMISSION_MS) == 0
    known.learn(orders.Notice(ORDER, share=0.07), JUDGE, 2_000)
    known.learn(orders.Notice(ORDER, share=0.0), JUDGE, 2_100)
    assert found.permitted_share(2_100) == 0
    known.learn(orders.Notice(ORDER, share=0.07), None, 9_000)
    assert found.permitted_share(9_000) == 0


def test_a_later_order_replaces_one_that_runs_and_an_earlier_one_changes_nothing():
    """Guards against a verdict on one order that is taken for another, also of the same version."""
    known = orders.KnownRollouts()
    known.learn(orders.Notice(ORDER, share=0.07), JUDGE, 0)
    known.decide(ORDER, orders.State.ROLLED_BACK)
    again = orders.Order("desk", "v2", 12_000, (1, 8))
    assert known.learn(orders.Notice(again), JUDGE, 10)
    assert known.by_service["desk"].state is orders.State.RUNNING
    assert not known.learn(orders.Notice(ORDER, orders.State.COMPLETED), JUDGE, 20)
    known.decide(ORDER, orders.State.COMPLETED)
    assert known.by_service["desk"].state is orders.State.RUNNING


def test_a_late_report_changes_nothing():
    """Guards against counts that fall when datagrams overtake each other."""
    counts = evidence.Evidence(ORDER.number, ("i-1", 1), "v2")
    counts.record("usual", False, 100)
    early = counts.report("10.0.0.1:1", 1, True)
    counts.record("usual", True, None)
    reports = evidence.Reports(ORDER.number)
    for report in (counts.report("10.0.0.1:1", 1, True), early):
        reports.add(report)
    assert [found.runs for found in reports.of("v2")] == [2]


@pytest.mark.parametrize("late_ms", [0, 1_000])
def test_750_nodes_with_late_news_stay_inside_the_exposure(late_ms):
    """Guards against a sum of shares, and of permissions that go on, above the bound."""
    nodes = [orders.KnownRollouts() for _ in range(750)]
    draw = random.Random(3)
    sent = sent_new = bad = 0
    halted_ms = None
    last_new_ms = 0
    for now_ms in range(0, 6_000, TICK_MS):
        if bad >= 50 and halted_ms is None:
            halted_ms = now_ms
        for index, node in enumerate(nodes):
            # A third of the nodes is cut off from the judges when the version turns bad.
            hears = index % 3 or halted_ms is None
            news_ms = now_ms - late_ms
            share = 0.0 if halted_ms is not None and news_ms >= halted_ms else 0.07
            if hears and news_ms >= 0:
                node.learn(orders.Notice(ORDER, share=share), JUDGE, now_ms)
            if "desk" not in node.by_service:
                continue
            for _ in range(5):
                sent += 1
                if draw.random() < node.by_service["desk"].permitted_share(now_ms):
                    sent_new += 1
                    bad += draw.random() < 0.3
                    last_new_ms = now_ms
    assert sent_new <= ALLOWED_SHARE * sent + SLACK
    assert last_new_ms <= halted_ms + ROLLBACK_MS


@pytest.mark.parametrize(("bad", "runs", "rate"), [(5, 10, 0.01), (30, 1_000, 0.01), (1, 1, 0.5)])
def test_the_tail_of_the_binomial_distribution(bad, runs, rate):
    """Guards against a wrong probability in the judge's test."""
    draw = random.Random(5)
    trials = 4_000
    found = sum(sum(draw.random() < rate for _ in range(runs)) >= bad for _ in range(trials))
    assert abs(judge.tail_probability(bad, runs, rate) - found / trials) < 0.03


def test_of_two_judges_the_one_that_halts_counts_while_it_lasts():
    """Guards against a withdrawal that the next notice of another judge undoes."""
    known = orders.KnownRollouts()
    known.learn(orders.Notice(ORDER, share=0.07), OTHER_JUDGE, 0)
    known.learn(orders.Notice(ORDER, share=0.0), JUDGE, 10)
    known.learn(orders.Notice(ORDER, share=0.07), OTHER_JUDGE, 12)
    found = known.by_service["desk"]
    assert found.permitted_share(13) == 0
    assert found.permitted_share(10 + orders.PERMISSION_MS) == 0.07


def test_a_route_that_fails_is_reported_among_many_busier_ones():
    """Guards against a version that is bad on one route only, the ninth by its runs."""
    counts = evidence.Evidence(ORDER.number, ("i-1", 1), "v2")
    for number in range(evidence.MAX_ROUTES + 2):
        for _ in range(50):
            counts.record(f"busy-{number}", False, 100)
    for _ in range(25):
        counts.record("rare", True, None)
    report = counts.report("10.0.0.1:1", 1, True)
    assert "rare" in [found.route for found in report.routes]
    assert report.runs == 50 * (evidence.MAX_ROUTES + 2) + 25
    assert evidence.decode_report(evidence.encode_report(report)) == report


def test_a_report_with_more_failures_than_runs_is_not_consistent():
    """Guards against an odd report that ends each round of the judge with an error."""
    counts = evidence.RouteCounts("usual", runs=1, failures=2)
    report = evidence.Report((1, 7), "10.0.0.1:1", 1, "v2", ("i-1", 1), True, 1, (counts,))
    assert not report.is_consistent
