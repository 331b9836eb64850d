"""One call that waits at the ingress for the decision of its queue."""

import dataclasses

import trio

from buckthornstage.limits import held_bytes, ingress_queue
from buckthornstage.link import frames


@dataclasses.dataclass(eq=False)
class Admission:
    """Admission of a queued call; `is_admitted` is None until the queue decides."""

    decided: trio.Event
    is_admitted: bool | None = None
    hold: held_bytes.CallHold | None = None
    """Memory for the response until its receiver has taken it; None if it is not counted."""


def ticket_of(call: frames.Call, admission: Admission, sent_ms: int) -> ingress_queue.Ticket:
    """Ticket of a call whose remaining times count from `sent_ms` on."""
    return ingress_queue.Ticket(
        call.priority,
        sent_ms + call.goal_ms,
        sent_ms + call.latest_ms,
        admission,
        call.is_retry,
        call.is_resubmitted,
        call.route,
        call.tenant,
        call.tenant_priority,
        call.attempt <= 1 and not call.is_resubmitted,
    )
