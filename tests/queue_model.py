"""Harness: a queue of an ingress, its tickets, and a simulated load in virtual time."""

import dataclasses

from buckthornstage.limits import ingress_queue

SLOTS = 9
RUN_MS = 90.0
URGENT, USUAL = 1, 2


def make_queue(slots=SLOTS, run_ms=RUN_MS):
    """Queue of a target that has run calls of `run_ms`."""
    queue = ingress_queue.IngressQueue(slots)
    queue.average_ms, queue.has_average = run_ms, True
    return queue


def ticket(now_ms=0, priority=USUAL, goal_ms=300, latest_ms=570):
    """Ticket of a call that arrives now."""
    return ingress_queue.Ticket(priority, now_ms + goal_ms, now_ms + latest_ms)


@dataclasses.dataclass
class Results:
    """Results of the calls of a simulated load."""

    in_goal: int = 0
    late: int = 0
    refused: int = 0
    longest_refusal_ms: int = 0


def simulate(arrivals, queue, run_ms, length_ms):
    """Simulates the tickets that `arrivals(now_ms)` returns for each ms; `Results` by class.

    Like the ingress, it looks at the queue again when the target's limit allows one more request.
    """
    results: dict[int, Results] = {URGENT: Results(), USUAL: Results()}
    arrived: dict[ingress_queue.Ticket, int] = {}
    ends: dict[ingress_queue.Ticket, int] = {}

    def apply(decisions, now_ms):
        for started in decisions.start:
            ends[started] = now_ms + run_ms(now_ms)
        for refused in decisions.refuse:
            counts = results[refused.priority]
            counts.refused += 1
            waited_ms = now_ms - arrived[refused]
            counts.longest_refusal_ms = max(counts.longest_refusal_ms, waited_ms)

    for now_ms in range(length_ms):
        for ended in [item for item, end in ends.items() if end <= now_ms]:
            del ends[ended]
            counts = results[ended.priority]
            counts.in_goal += now_ms <= ended.goal_ms
            counts.late += now_ms > ended.goal_ms
            took_ms = now_ms - ended.started_ms
            apply(queue.finish(ended, now_ms, took_ms), now_ms)
        if queue.rate.per_second and queue.waiting and queue.rate.delay_ms(now_ms) <= 0:
            apply(queue.advance(now_ms), now_ms)
        for item in arrivals(now_ms):
            arrived[item] = now_ms
            apply(queue.offer(item, now_ms), now_ms)
    return results
