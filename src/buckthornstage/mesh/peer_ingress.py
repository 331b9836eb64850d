"""Calls of other nodes at the ingress: admission by the link and the memory of this node, and
unexpected errors.

Log lines name the ingress "door".
"""

import traceback

from buckthornstage.limits import body_memory, head_memory, held_bytes
from buckthornstage.link import frames
from buckthornstage.mesh import ingress


async def run(
    own: ingress.Ingress,
    call: frames.Call,
    memory: held_bytes.HeldBytes | None = None,
    requests: held_bytes.HeldBytes | None = None,
) -> ingress.Outcome:
    """Runs a call of a peer; an unexpected error fails only this call and is logged.

    The response counts in `memory` until this function ends, and then for the peer's connection.
    Very many headers count in `requests` meanwhile.
    """
    hold = held_bytes.CallHold(memory or held_bytes.HeldBytes())
    head = body_memory.Reservation(requests or body_memory.BodyMemory())
    try:
        if call.known_ended is not None:
            own.end(call.known_ended, "told_by_caller")
        if not head.take(head_memory.counted_bytes(len(call.headers), 0)):
            return own.refused(call, "memory_full", wait_ms=held_bytes.REQUESTS.window_ms)
        return await (_run_bulk(own, call, hold) if call.is_bulk else own.run(call, hold=hold))
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        own.log.emit("door", "internal_error", True, call=call.call_id, trace=trace)
        return own.failed(call, f"internal error: {error!r}")
    finally:
        head.give_back()
        hold.end()


async def _run_bulk(
    own: ingress.Ingress, call: frames.Call, hold: held_bytes.CallHold
) -> ingress.Outcome:
    """Refuses a long response that would be late, as it would make the next ones late too, and one
    for which responses that wait for peers leave no memory."""
    late_ms = _late_by_ms(own, call)
    if own.pacer.is_busy and late_ms > 0:
        return own.refused(call, "link_full", wait_ms=late_ms)
    if not hold.promise(int(own.pacer.average_body_bytes)):
        return own.refused(call, "memory_full", wait_ms=held_bytes.RESPONSES.window_ms)
    own.pacer.expected_bodies += 1
    try:
        return await own.run(call, hold=hold)
    finally:
        own.pacer.expected_bodies -= 1


def _late_by_ms(own: ingress.Ingress, call: frames.Call) -> float:
    """How late a long response would be because of those queued for the link before it.

    The limit is the goal, or the latest time for a resubmitted call and for one whose goal has
    passed.
    """
    now_ms = own.clock.now_ms()
    is_late = call.is_resubmitted or not call.goal_ms
    due_ms = call.latest_ms if is_late else call.goal_ms
    return own.pacer.body_ms(now_ms) + own.queue.run_ms(now_ms) - due_ms
