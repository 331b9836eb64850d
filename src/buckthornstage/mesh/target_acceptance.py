"""Whether the target accepts calls, by its responses; see `limits.target_rejections`.

Functions of the ingress, given as `own`; log lines name it "door".
"""

from typing import TYPE_CHECKING

from buckthornstage.http import messages
from buckthornstage.limits import ingress_queue
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import header_codec

if TYPE_CHECKING:
    from buckthornstage.mesh import ingress

REJECTED_STATUS = 503  # with another one a target refuses this call, or this rate


def withheld(own: "ingress.Ingress", call: frames.Call) -> frames.Refused | None:
    """Refusal of a call that is not sent because the target rejects calls, or None."""
    now_ms = own.clock.now_ms()
    if not own.queue.is_withheld(now_ms):
        return None
    return own.refused(call, "target_rejects", wait_ms=own.queue.rejections.trial_wait_ms(now_ms))


def observe(
    own: "ingress.Ingress",
    current: lifetimes.Lifetime,
    ticket: ingress_queue.Ticket,
    kind: header_codec.ResponseKind,
    response: messages.Response,
) -> None:
    """Takes from a response of `current` whether it accepts calls."""
    if own.lifetimes.current.identity != current.identity:
        return
    rejections = own.queue.rejections
    if kind is header_codec.ResponseKind.WHOLE:
        if rejections.record_response(ticket.started_ms):
            _log(own, current, False)
        return
    if not is_rejection(own, kind, response):
        return
    running_ms = [other.started_ms for other in own.queue.running if other is not ticket]
    if rejections.is_closed(own.clock.now_ms()):
        own.metrics.count("door_trials_rejected")
    if rejections.record_rejected(ticket.started_ms, own.clock.now_ms(), running_ms):
        _log(own, current, True)
        own.refuse_waiting()


def is_rejection(
    own: "ingress.Ingress", kind: header_codec.ResponseKind, response: messages.Response
) -> bool:
    """Whether the target rejects a call although no more run than it has slots."""
    is_refused = kind is header_codec.ResponseKind.NOT_RUN and response.status == REJECTED_STATUS
    return is_refused and len(own.queue.running) <= own.queue.slots


def _log(own: "ingress.Ingress", current: lifetimes.Lifetime, is_rejecting: bool) -> None:
    own.metrics.count("door_target_rejects", "begins" if is_rejecting else "ends")
    own.log.emit(
        "door",
        "target_rejects",
        is_vital=True,
        is_rejecting=is_rejecting,
        instance=current.instance,
        accepted_share=round(own.queue.rejections.acceptance, 2),
        running=len(own.queue.running),
        slots=own.queue.slots,
    )
