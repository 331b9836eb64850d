"""The promises, each as one function from the record of a run to the cases that break it."""

import bisect
import collections
from collections.abc import Callable, Iterator

from buckthornstage.soak import plan, record, tenants

BYTES_PER_MB = 1 << 20
DRAIN_MS = 2_000
APPLY_MS = 2_000
"""Time from the acknowledgement of a version until it is active at all nodes."""
BUDGET_WINDOW_MS = 10_000
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56
CONTACT_MS = 3_000
LIMIT_WINDOW_MS = 4_000
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5
RECOVERY_MS = 2_000
"""Time after the last fault from which calls must be served again."""
RECOVERED_SHARE = 0.95
FIRST_FAILURE_STATUS = 500
NOT_FOUND_STATUS = 404
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Check = Callable[[record.Record], Iterator[str]]


def expected_body(call_id: str) -> bytes:
    """Body of the response that targets send to a call."""
    return f"result of {call_id}".encode()


def own_response(found: record.Record) -> Iterator[str]:
    """A success is the target's whole response to this very call."""
    for answer in found.answered:
        if 200 <= answer.status < 300:
            is_own = answer.echoed_id == answer.call_id and answer.has_seal
            if not is_own or answer.body != expected_body(answer.call_id):
                yield f"{answer.call_id}: got {answer.body[:60]!r}, id {answer.echoed_id!r}"


def at_most_once(found: record.Record) -> Iterator[str]:
    """A call that is not safe runs once at most."""
    runs = collections.Counter(ran.call_id for ran in found.ran)
    for sent in found.sent:
        if not sent.is_safe and runs[sent.call_id] > 1:
            yield f"{sent.call_id} ran {runs[sent.call_id]} times"


def not_run_is_true(found: record.Record) -> Iterator[str]:
    """A call that is not safe and was refused has not run, and never does."""
    runs = {ran.call_id for ran in found.ran}
    unsafe = {sent.call_id for sent in found.sent if not sent.is_safe}
    for answer in found.answered:
        if answer.status in NOT_RUN_STATUSES and answer.call_id in runs & unsafe:
            yield f"{answer.call_id}: {answer.status}, but it ran"


def nothing_after_leaving(found: record.Record) -> Iterator[str]:
    """No call reaches a target later than the drain time after its leaving was acknowledged.

    A call that its client sent before the acknowledgement may be held up on a silent link.
    """
    first_ack_ms: dict[str, int] = {}
    for leave in found.leaves:
        first_ack_ms.setdefault(leave.instance, leave.at_ms)
    sent_ms = {sent.call_id: sent.at_ms for sent in found.sent}
    for ran in found.ran:
        ack_ms = first_ack_ms.get(ran.instance, ran.at_ms)
        if ran.at_ms - ack_ms <= DRAIN_MS:
            continue
        began_ms = sent_ms.get(ran.call_id, ran.at_ms)
        if began_ms > ack_ms or not _was_held_up(found, ran, began_ms):
            late_ms = ran.at_ms - ack_ms
            yield f"{ran.call_id} ran at {ran.instance} {late_ms} ms after the acknowledgement"


def _was_held_up(found: record.Record, ran: record.Ran, began_ms: int) -> bool:
    """Whether the link to the target was silent at some time after the call was sent."""
    return any(
        fault.kind is plan.FaultKind.SILENCE_TARGET_LINK
        and fault.node == ran.node
        and began_ms <= fault.end_ms
        and fault.at_ms <= ran.at_ms
        for fault in found.faults
    )


def limits_are_kept(found: record.Record) -> Iterator[str]:
    """From the contact time on, a target gets no more requests than its limit allows."""
    for limit in found.limits:
        begin_ms = limit.at_ms + CONTACT_MS
        times = sorted(
            ran.at_ms
            for ran in found.ran
            if ran.instance == limit.instance and begin_ms <= ran.at_ms < limit.end_ms
        )
        allowed = LIMIT_FACTOR * limit.per_second * LIMIT_WINDOW_MS / 1_000 + LIMIT_SLACK
        for index, first_ms in enumerate(times):
            count = bisect.bisect_left(times, first_ms + LIMIT_WINDOW_MS) - index
            if count > allowed:
                yield f"{limit.instance}: {count} in the 4 s from {first_ms}, {allowed} allowed"
                break


def versions_never_go_back(found: record.Record) -> Iterator[str]:
    """Within one process the version in force only grows."""
    newest: dict[tuple[str, int], int] = {}
    for event in found.in_force:
        key = (event.node, event.process)
        if event.version < newest.get(key, 0):
            yield f"{event.node} went from version {newest[key]} to {event.version}"
        newest[key] = max(event.version, newest.get(key, 0))


def due_calls(found: record.Record) -> set[str]:
    """Ids of the answered calls on a route that their node, in touch, had to know."""
    added_ms: dict[int, int] = {}
    for version in found.versions:
        added_ms.setdefault(version.version, version.at_ms)
    sent_at = {sent.call_id: sent for sent in found.sent if sent.version in added_ms}
    return {
        answer.call_id
        for answer in found.answered
        if (sent := sent_at.get(answer.call_id)) is not None
        and sent.at_ms - added_ms[sent.version] > APPLY_MS
        and _is_in_touch(found, sent, answer.at_ms)
    }


def routes_are_found(found: record.Record) -> Iterator[str]:
    """A node in touch knows each route that was added longer than the apply time before the call.

    A route of all versions is found by any node.
    """
    due = due_calls(found)
    sent_at = {sent.call_id: sent for sent in found.sent}
    for answer in found.answered:
        sent = sent_at.get(answer.call_id)
        if sent is None or answer.status != NOT_FOUND_STATUS:
            continue
        if answer.call_id in due or not sent.version:
            text = f"{answer.call_id} at {sent.at_ms}: n{sent.node} has no route of version"
            yield f"{text} {sent.version}"


def _is_in_touch(found: record.Record, sent: record.Sent, end_ms: int) -> bool:
    """Whether nothing disrupted the node or the store from the contact time before the call on."""
    begin_ms = sent.at_ms - CONTACT_MS
    return not any(fault.disrupts(sent.node, begin_ms, end_ms) for fault in found.faults)


def retries_stay_in_budget(found: record.Record) -> Iterator[str]:
    """Runs beyond the first of each call are few in each window, over all nodes."""
    seen: set[str] = set()
    repeats: dict[str, list[int]] = collections.defaultdict(list)
    for ran in sorted(found.ran, key=lambda event: event.at_ms):
        if ran.call_id in seen:
            repeats[ran.service].append(ran.at_ms)
        seen.add(ran.call_id)
    calls: dict[str, list[int]] = collections.defaultdict(list)
    for sent in found.sent:
        if not sent.is_refusable:
            calls[sent.service].append(sent.at_ms)
    for service, times in repeats.items():
        sent_ms = sorted(calls[service])
        for index, end_ms in enumerate(times):
            begin_ms = end_ms - BUDGET_WINDOW_MS
            count = index + 1 - bisect.bisect_left(times, begin_ms)
            owed = bisect.bisect_right(sent_ms, end_ms) - bisect.bisect_left(sent_ms, begin_ms)
            if count > BUDGET_RATIO * owed + BUDGET_SLACK:
                yield f"{service}: {count} retries and {owed} calls in the 10 s before {end_ms}"
                break


def planned_work_loses_nothing(found: record.Record) -> Iterator[str]:
    """A call that ran, around planned work alone, is answered."""
    answered = {answer.call_id for answer in found.answered}
    runs = {ran.call_id for ran in found.ran}
    sent_at = {sent.call_id: sent for sent in found.sent}
    unplanned = [
        fault
        for fault in found.faults
        if fault.kind not in plan.PLANNED and fault.kind not in plan.OF_STORE
    ]
    for end in found.unanswered:
        sent = sent_at[end.call_id]
        is_disturbed = any(
            fault.at_ms <= end.at_ms and sent.at_ms <= fault.end_ms + CONTACT_MS
            for fault in unplanned
        )
        is_over = end.at_ms >= found.duration_ms
        is_expected = end.has_left or is_over or is_disturbed
        if end.call_id in runs - answered and not is_expected:
            yield f"{end.call_id} ran and its connection to node {sent.node} ended"


def stopping_node_waits_for_runs(found: record.Record) -> Iterator[str]:
    """From its stop on, a node fails no call that a target still runs and that has time left.

    Unplanned faults at the node or at a target that runs the call may have cut them off.
    """
    ended_ms = {end.run: end.at_ms for end in found.run_ends}
    runs: dict[str, list[record.Ran]] = collections.defaultdict(list)
    for ran in found.ran:
        runs[ran.call_id].append(ran)
    sent_at = {sent.call_id: sent for sent in found.sent}
    stops = [fault for fault in found.faults if fault.kind is plan.FaultKind.STOP_NODE]
    for answer in found.answered:
        sent = sent_at.get(answer.call_id)
        if sent is None or answer.status < FIRST_FAILURE_STATUS:
            continue
        has_time = answer.at_ms < sent.at_ms + plan.CALL_MS
        is_stopping = any(
            stop.node == sent.node and stop.at_ms <= answer.at_ms <= stop.end_ms for stop in stops
        )
        for ran in runs[answer.call_id] if has_time and is_stopping else ():
            is_running = ran.at_ms < answer.at_ms < ended_ms.get(ran, found.duration_ms)
            if is_running and not _is_disturbed(found, sent, ran.node, answer.at_ms):
                yield f"{answer.call_id}: {answer.status} of n{sent.node}, {ran.instance} ran it"


def _is_disturbed(found: record.Record, sent: record.Sent, ran_at: int, end_ms: int) -> bool:
    """Whether an unplanned fault touched the node or the target between the call and `end_ms`."""
    return any(
        fault.kind not in plan.PLANNED | plan.OF_STORE
        and (fault.touches(sent.node) or fault.touches(ran_at))
        and fault.at_ms <= end_ms
        and sent.at_ms <= fault.end_ms
        for fault in found.faults
    )


def service_recovers(found: record.Record) -> Iterator[str]:
    """Once no fault is left, nearly all calls are served."""
    last_ms = max((fault.end_ms for fault in found.faults), default=0)
    served = {answer.call_id for answer in found.answered if 200 <= answer.status < 300}
    left = {end.call_id for end in found.unanswered if end.has_left}
    late = [
        sent.call_id
        for sent in found.sent
        if last_ms + RECOVERY_MS <= sent.at_ms < found.duration_ms - RECOVERY_MS
        and sent.call_id not in left
        and not sent.is_refusable
    ]
    share = sum(call_id in served for call_id in late) / len(late) if late else 0.0
    if share < RECOVERED_SHARE:
        yield f"{share:.2f} of {len(late)} calls served after the last fault at {last_ms} ms"


def no_process_ends_by_itself(found: record.Record) -> Iterator[str]:
    """A node runs until it is stopped or killed."""
    for ended in found.exits:
        yield f"the process of {ended.node} ended with status {ended.status}"


def memory_is_kept(found: record.Record) -> Iterator[str]:
    """No process of a node gets larger than the memory of its VM."""
    for peak in found.peaks:
        if peak.size > plan.MEMORY_MB * BYTES_PER_MB:
            yield f"{peak.node}: {peak.size / BYTES_PER_MB:.0f} MB, {plan.MEMORY_MB} allowed"


def withdrawn_keys_run_nothing(found: record.Record) -> Iterator[str]:
    """No node in touch lets a call run whose key was withdrawn before the apply time."""
    return tenants.withdrawn_keys_run_nothing(found, _is_in_touch)


def valid_keys_are_accepted(found: record.Record) -> Iterator[str]:
    """No node refuses a key of all versions, and none in touch a key that it must know."""
    return tenants.valid_keys_are_accepted(found, _is_in_touch)


CHECKS: tuple[Check, ...] = (
    own_response,
    at_most_once,
    not_run_is_true,
    nothing_after_leaving,
    limits_are_kept,
    versions_never_go_back,
    routes_are_found,
    retries_stay_in_budget,
    planned_work_loses_nothing,
    stopping_node_waits_for_runs,
    service_recovers,
    no_process_ends_by_itself,
    memory_is_kept,
    withdrawn_keys_run_nothing,
    valid_keys_are_accepted,
    tenants.targets_learn_the_tenant,
    tenants.quotas_are_kept,
)


def violations(found: record.Record) -> dict[str, list[str]]:
    """Cases that break a promise, by the name of its check; empty if all hold."""
    cases = {check.__name__: list(check(found)) for check in CHECKS}
    return {name: broken for name, broken in cases.items() if broken}
