"""The soak's plan and judge, and one short run of it."""

import os
import pathlib
import signal
import subprocess
import sys
import time
import types

import hypothesis
import planted_faults
import planted_node
import pytest
from hypothesis import strategies

from buckthornstage.soak import judge, main, plan, platform_world, record, starter, tenants

DURATION_MS = 30_000
CI_SEED = 7


def kept_record():
    """Record of a run that keeps all promises: 100 safe and 20 other calls, with one fault."""
    found = record.Record((plan.Fault(1_000, 500, plan.FaultKind.STOP_NODE, 0),), DURATION_MS)
    for number in range(120):
        at_ms, call_id = 200 * number, f"c{number}"
        found.sent.append(record.Sent(at_ms, call_id, "desk", 0, number < 100))
        found.ran.append(record.Ran(at_ms, call_id, "i-1", "desk"))
        body = judge.expected_body(call_id)
        found.answered.append(record.Answered(at_ms + 40, call_id, 200, call_id, True, body))
    found.leaves.append(record.LeaveAcknowledged(0, "i-0"))
    found.in_force += [record.InForce("n1", 1, 4), record.InForce("n1", 2, 3)]
    return found


def test_a_run_that_keeps_all_promises_has_no_violation():
    assert judge.violations(kept_record()) == {}


def answer(call_id, status=200, echoed_id=None, has_seal=True, body=None):
    body = judge.expected_body(call_id) if body is None else body
    return record.Answered(9, call_id, status, echoed_id or call_id, has_seal, body)


def sent_and_refused(found):
    found.sent.append(record.Sent(0, "x", "desk", 0, False))
    found.ran.append(record.Ran(50, "x", "i-1", "desk"))
    found.answered.append(answer("x", 503))


def sent_and_cut(found):
    found.sent.append(record.Sent(1_200, "x", "desk", 0, True))
    found.ran.append(record.Ran(1_210, "x", "i-1", "desk"))
    found.unanswered.append(record.Unanswered(1_300, "x", False))


def failed_while_run(found, excuse_at=None):
    """A call that a stopping node fails at 1,230 ms, while the target of another runs it."""
    ran = record.Ran(1_210, "x", "i-1", "desk", 1)
    found.sent.append(record.Sent(1_200, "x", "desk", 0, True))
    found.ran.append(ran)
    found.answered.append(record.Answered(1_230, "x", 502, "x", False, b""))
    found.run_ends.append(record.RunEnded(1_250, ran))
    if excuse_at is not None:
        found.faults += (plan.Fault(1_100, 300, plan.FaultKind.RESET_TARGET_LINK, excuse_at),)


def held_up(found, sent_ms, silent_node=0):
    """A run after the drain time at a target whose link was silent meanwhile."""
    found.sent.append(record.Sent(sent_ms, "x", "desk", 0, True))
    found.ran.append(record.Ran(judge.DRAIN_MS + 50, "x", "i-0", "desk", 0))
    found.answered.append(answer("x"))
    silence = plan.FaultKind.SILENCE_TARGET_LINK
    found.faults += (plan.Fault(0, judge.DRAIN_MS, silence, silent_node),)


def not_found(found, version=2, sent_ms=judge.APPLY_MS + 10, disruption=None, node=0):
    """A call to node 0 that gets a 404; its route, unless it is a first one, was added at 0 ms."""
    found.faults = () if disruption is None else (plan.Fault(0, 1_000, disruption, node),)
    found.versions += [record.VersionAcknowledged(0, 2), record.VersionAcknowledged(9_000, 2)]
    found.sent.append(record.Sent(sent_ms, "x", "desk", 0, True, version))
    found.answered.append(record.Answered(sent_ms + 9, "x", 404, "x", False, b""))


def ran_with_key(found, key, tenant=tenants.STEADY, has_key=False):
    """A call long after the fault that ran with a key."""
    found.sent.append(record.Sent(9_000, "x", "desk", 0, True, 0, key))
    found.ran.append(record.Ran(9_010, "x", "i-1", "desk", 0, tenant, has_key))
    found.answered.append(answer("x"))


def refused_key(found, key):
    """A call long after the fault whose key is refused; the next versions come later."""
    found.versions += [record.VersionAcknowledged(9_500, key.version + 2)]
    found.sent.append(record.Sent(9_000, "x", "desk", 0, True, 0, key))
    found.answered.append(record.Answered(9_010, "x", 401, "x", False, b""))


def ran_above_quota(found, count):
    """Calls of the limited tenant within 4 s."""
    for number in range(count):
        at_ms, call_id = 4_000 * number // count, f"q{number}"
        key = record.Key("k", tenants.LIMITED)
        found.sent.append(record.Sent(at_ms, call_id, "desk", 0, True, 0, key))
        found.ran.append(record.Ran(at_ms, call_id, "i-1", "desk", 0, tenants.LIMITED))
        found.answered.append(answer(call_id))


def test_calls_within_the_quota_break_no_promise():
    # Guards against a check of quotas that counts wrongly: 59 are allowed.
    found = kept_record()
    ran_above_quota(found, 55)
    assert judge.violations(found) == {}


BREAKS = {
    "own_response": [
        lambda found: found.answered.append(answer("c1", echoed_id="c2")),
        lambda found: found.answered.append(answer("c1", body=judge.expected_body("c2"))),
        lambda found: found.answered.append(answer("c1", has_seal=False)),
    ],
    "at_most_once": [lambda found: found.ran.append(record.Ran(9, "c110", "i-1", "desk"))],
    "not_run_is_true": [sent_and_refused],
    "nothing_after_leaving": [
        lambda found: found.ran.append(record.Ran(judge.DRAIN_MS + 1, "c1", "i-0", "desk")),
        lambda found: held_up(found, sent_ms=judge.DRAIN_MS),
        lambda found: held_up(found, sent_ms=-100, silent_node=1),
    ],
    "limits_are_kept": [
        lambda found: found.limits.append(record.Limited(0, DURATION_MS, "i-1", 2.0)),
    ],
    "versions_never_go_back": [
        lambda found: found.in_force.append(record.InForce("n1", 2, 2)),
    ],
    "routes_are_found": [
        not_found,
        lambda found: not_found(found, 0, 10, plan.FaultKind.KILL_ALL_NODES),
        lambda found: not_found(found, disruption=plan.FaultKind.KILL_NODE, node=1),
        lambda found: not_found(found, disruption=plan.FaultKind.SILENCE_STORE_LINK, node=1),
        lambda found: not_found(found, disruption=plan.FaultKind.STORE_FORGETS),
        lambda found: not_found(found, disruption=plan.FaultKind.MUTE_TARGET_LINK),
        lambda found: not_found(
            found, 2, judge.CONTACT_MS + 10, plan.FaultKind.MUTE_STORE_LINKS, node=1
        ),
        lambda found: not_found(
            found, 2, judge.CONTACT_MS + 1_010, plan.FaultKind.STORE_DOWN, node=1
        ),
    ],
    "retries_stay_in_budget": [
        lambda found: found.ran.extend(
            record.Ran(5_000, f"c{number % 25}", "i-1", "desk") for number in range(80)
        )
    ],
    "planned_work_loses_nothing": [sent_and_cut],
    "stopping_node_waits_for_runs": [
        failed_while_run,
        lambda found: failed_while_run(found, excuse_at=2),
    ],
    "service_recovers": [
        lambda found: found.sent.extend(
            record.Sent(15_000, f"y{number}", "desk", 0, True) for number in range(20)
        )
    ],
    "withdrawn_keys_run_nothing": [
        lambda found: ran_with_key(found, record.Key("k", tenants.STEADY, True)),
    ],
    "valid_keys_are_accepted": [
        lambda found: refused_key(found, record.Key("k", tenants.STEADY)),
        lambda found: refused_key(found, record.Key("k", tenants.STEADY, version=2)),
    ],
    "targets_learn_the_tenant": [
        lambda found: ran_with_key(found, record.Key("k", tenants.STEADY), tenant=""),
        lambda found: ran_with_key(found, record.Key("k", tenants.STEADY), has_key=True),
    ],
    "quotas_are_kept": [lambda found: ran_above_quota(found, 70)],
    "memory_is_kept": [
        lambda found: found.peaks.append(
            record.MemoryPeak("n1", (plan.MEMORY_MB + 1) * judge.BYTES_PER_MB)
        )
    ],
    "no_process_ends_by_itself": [lambda found: found.exits.append(record.Exited("n1", 1))],
}


@pytest.mark.parametrize(
    "name, index", [(name, index) for name in BREAKS for index in range(len(BREAKS[name]))]
)
def test_each_check_finds_what_breaks_its_promise(name, index):
    """Guards against a check that never fails."""
    found = kept_record()
    BREAKS[name][index](found)
    assert name in judge.violations(found)


def test_every_check_has_a_record_that_breaks_it():
    assert {check.__name__ for check in judge.CHECKS} == set(BREAKS)


def test_a_call_that_an_unplanned_fault_touched_may_stay_unanswered():
    found = kept_record()
    sent_and_cut(found)
    found.faults += (plan.Fault(1_100, 300, plan.FaultKind.PAUSE_NODE, 1),)
    assert "planned_work_loses_nothing" not in judge.violations(found)


@pytest.mark.parametrize("node", [0, 1, 9])
def test_a_fault_at_the_node_or_the_target_may_cut_a_run_off(node):
    """Node 9 is behind no proxy of the link, so its faults there are played at node 1."""
    found = kept_record()
    failed_while_run(found, excuse_at=node)
    assert "stopping_node_waits_for_runs" not in judge.violations(found)


@pytest.mark.parametrize(
    "sent_ms, disruption, node",
    [
        (judge.APPLY_MS - 10, None, 0),
        (judge.CONTACT_MS - 10, plan.FaultKind.MUTE_STORE_LINKS, 1),
        (judge.CONTACT_MS - 10, plan.FaultKind.MUTE_PEER_LINKS, 1),
        (judge.CONTACT_MS + 990, plan.FaultKind.STORE_DOWN, 1),
        (judge.CONTACT_MS + 990, plan.FaultKind.KILL_NODE, 0),
        (judge.CONTACT_MS + 990, plan.FaultKind.REFUSE_STORE_LINK, 0),
    ],
)
def test_a_node_out_of_touch_may_not_know_an_added_route(sent_ms, disruption, node):
    found = kept_record()
    not_found(found, sent_ms=sent_ms, disruption=disruption, node=node)
    assert "routes_are_found" not in judge.violations(found)


def test_a_call_sent_before_the_leave_may_be_held_up_on_a_silent_link():
    """Seed 47: the link held back calls that their node had sent before the acknowledgement."""
    found = kept_record()
    held_up(found, sent_ms=-100)
    assert "nothing_after_leaving" not in judge.violations(found)


@hypothesis.given(strategies.integers(0, 9_999), strategies.integers(12, 90))
def test_a_seed_gives_one_plan_that_ends_before_the_quiet_time(seed, duration_s):
    faults = plan.make(seed, duration_s * 1_000, 4)
    assert faults == plan.make(seed, duration_s * 1_000, 4)
    for fault in faults:
        assert fault.at_ms >= plan.START_MS
        assert fault.end_ms <= duration_s * 1_000 - plan.QUIET_END_MS


def test_a_plan_of_planned_work_has_nothing_that_excuses_a_lost_call():
    faults = [fault for seed in range(20) for fault in plan.make(seed, 60_000, 4, True)]
    kinds = {fault.kind for fault in faults}
    assert kinds == plan.PLANNED | plan.OF_STORE


def test_all_kinds_of_faults_come_up_and_overlap():
    plans = [plan.make(seed, 60_000, 4) for seed in range(20)]
    assert {fault.kind for faults in plans for fault in faults} == set(plan.FaultKind)
    for faults in plans:
        assert any(a.at_ms < b.at_ms < a.end_ms for a in faults for b in faults)


def test_seeds_are_read():
    assert main.parse_seeds("3,5-7") == [3, 5, 6, 7]


def command(tmp_path, *options):
    """Command and environment of a soak with real node processes."""
    environment = {
        **os.environ,
        "PYTHONPATH": str(pathlib.Path(__file__).parent.parent / "src"),
    }
    words = [sys.executable, "-m", "buckthornstage.soak", f"--logs={tmp_path}", *options]
    return words, environment


def descendants(pid):
    """Process ids of the children of a process, and of theirs."""
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    try:
        children = path.read_text().split()
    except OSError:  # the process has ended
        return []
    return children + [each for child in children for each in descendants(child)]


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_ends_the_soak_and_all_its_nodes(signal_number, tmp_path):
    """Guards against node processes that stay when the soak is ended early."""
    words, environment = command(tmp_path, "--seeds=1", "--duration_s=30")
    with subprocess.Popen(words, env=environment) as process:
        give_up_s = time.monotonic() + 20
        while len(started := descendants(process.pid)) < 6 and time.monotonic() < give_up_s:
            time.sleep(0.1)
        process.send_signal(signal_number)
        assert process.wait(20) == main.SIGNAL_STATUS + signal_number
    assert len(started) == 6  # starter, store and four nodes
    assert not [each for each in started if pathlib.Path(f"/proc/{each}").exists()]


def test_nodes_end_with_a_soak_that_is_killed(tmp_path):
    """Guards against nodes that outlive a soak whose own end ran no code (four of seed 435)."""
    words, environment = command(tmp_path, "--seeds=1", "--duration_s=30")
    with subprocess.Popen(words, env=environment) as process:
        give_up_s = time.monotonic() + 40
        while len(started := descendants(process.pid)) < 6 and time.monotonic() < give_up_s:
            time.sleep(0.1)
        process.kill()
    assert len(started) == 6
    while left := [each for each in started if pathlib.Path(f"/proc/{each}").exists()]:
        assert time.monotonic() < give_up_s, left
        time.sleep(0.1)


def test_each_promise_has_a_fault_of_the_product_that_breaks_it():
    """The faults are planted by hand, as a run of each takes half a minute."""
    assert set(planted_faults.BROKEN_PROMISE) == set(planted_node.FAULTS)
    promises = {check.__name__ for check in judge.CHECKS}
    assert {name for names in planted_faults.BROKEN_PROMISE.values() for name in names} == promises


def test_a_short_run_keeps_all_promises(tmp_path):
    """Plays one seed with real node processes."""
    words, environment = command(tmp_path, f"--seeds={CI_SEED}", "--duration_s=25")
    done = subprocess.run(words, capture_output=True, text=True, env=environment, timeout=120)
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.fixture
def own_starter():
    own = starter.Starter()
    yield own
    own.close()


def test_a_forked_node_has_the_environment_log_and_status_of_one_of_its_own(own_starter, tmp_path):
    """Guards against a soak that sees another exit status than that of the node's program."""
    program, log = tmp_path / "program.py", tmp_path / "log"
    program.write_text("import os, sys; print(os.environ['WORD']); sys.exit(3)")
    process = own_starter.start(program, log, {"WORD": "given"})
    assert process.wait() == 3
    program.write_text("raise ValueError('broken')")
    assert own_starter.start(program, log, {}).wait() == 1
    assert log.read_text().startswith("given\nTraceback")
    program.write_text("import time; time.sleep(60)")
    process = own_starter.start(program, log, {})
    assert process.poll() is None
    process.kill()
    assert process.wait() == -signal.SIGKILL


def test_a_node_that_a_fault_killed_has_not_ended_by_itself(own_starter, tmp_path):
    """Guards against nodes that wait for their restart at the end of a run and are counted as ended
    by themselves (seed 303 with 150 nodes: 16 of them)."""
    program = tmp_path / "program.py"
    program.write_text("import time; time.sleep(60)")
    killed, ended = (own_starter.start(program, tmp_path / "log", {}) for _ in range(2))
    killed.kill()
    os.kill(ended.pid, signal.SIGKILL)
    ended.wait()
    ended.kill()
    world = platform_world.World(tmp_path, 1, (), 1_000)
    for index, process in enumerate([killed, ended]):
        process.wait()
        node = types.SimpleNamespace(index=index, process=process, is_stopping=False)
        world.nodes.append(node)
    world.record_exits()
    assert world.found.exits == [record.Exited("n1", -signal.SIGKILL)]


def test_a_started_node_has_a_log(own_starter, tmp_path):
    """Guards against a soak that fails at a log that a node, killed at once, has not opened."""
    program = tmp_path / "program.py"
    program.write_text("")
    logs = [tmp_path / f"log{number}" for number in range(30)]
    for log in logs:
        process = own_starter.start(program, log, {})
        assert log.exists()
        process.kill()
        process.wait()


def test_nodes_end_with_their_starter(tmp_path):
    """Guards against node processes that stay when the soak itself is killed: the starter reads the
    end of its input then."""
    program = tmp_path / "program.py"
    program.write_text("import time; time.sleep(60)")
    own = starter.Starter()
    pid = own.start(program, tmp_path / "log", {}).pid
    own.close()
    assert not pathlib.Path(f"/proc/{pid}").exists()


def test_a_run_whose_own_loop_was_late_counts_as_failed():
    """Guards against a verdict about nodes that waited for the soak's own stand-ins (seed 303 with
    150 nodes: 8,041 ms late)."""
    assert main.not_judged(main.MAX_LAG_MS) == {}
    assert main.not_judged(main.MAX_LAG_MS + 1)
