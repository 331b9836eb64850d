"""What the target's responses, and missing ones, say of its load and of the calls it accepts.

See `limits.target_rejections`, `limits.target_pace` and `limits.target_room`.

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

MIN_ANNOUNCE_MS = 1_000
"""Between two announcements to the zone that a target rejects calls, or accepts them again; peers
that observe it hear of the others within half a second."""
REJECTED_STATUS = 503  # with another one a target refuses this call, or this rate


def is_contended(own: "ingress.Ingress") -> bool:
    """Whether callers compete for targets that are uneven: the configuration has tenants, or the
    target tells its pace because it shares its machine. Other targets are treated as before."""
    return own.queue.fair_order.is_enabled or own.queue.pace.is_known


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
    if own.lifetimes.current.identity != current.identity or not is_contended(own):
        return
    rejections = own.queue.rejections
    if kind is header_codec.ResponseKind.WHOLE:
        if rejections.record_response(ticket.started_ms):
            _log(own, current, False)
        return
    if not is_rejection(own, kind, response):
        return
    if ticket.is_above_room and own.queue.room.learn_lingering(own.clock.now_ms()):
        _log_lingering(own, current, "rejected")
    running_ms = [other.started_ms for other in own.queue.running if other is not ticket]
    if rejections.is_closed(own.clock.now_ms()):
        own.metrics.count("door_trials_rejected")
    was_failing = rejections.is_failing
    if rejections.record_rejected(ticket.started_ms, own.clock.now_ms(), running_ms):
        if not was_failing:
            _log(own, current, True)
        own.refuse_waiting()


def is_rejection(
    own: "ingress.Ingress", kind: header_codec.ResponseKind, response: messages.Response
) -> bool:
    """Whether the target rejects a call although no more run than it has slots."""
    if not is_contended(own):
        return False
    is_refused = kind is header_codec.ResponseKind.NOT_RUN and response.status == REJECTED_STATUS
    return is_refused and len(own.queue.running) <= own.queue.slots


def observe_load(
    own: "ingress.Ingress", current: lifetimes.Lifetime, load: header_codec.ServerLoad
) -> None:
    """Takes the load that the current target tells in a response."""
    now_ms, queue = own.clock.now_ms(), own.queue
    if load.pace is not None:
        queue.pace.record(load.pace, now_ms)
    if not is_contended(own):
        return
    if queue.room.record_figure(load.running + load.waiting, len(queue.running), now_ms):
        _log_lingering(own, current, "told")


def unanswered(
    own: "ingress.Ingress", current: lifetimes.Lifetime, ticket: ingress_queue.Ticket
) -> None:
    """A call had no complete response when its time was over; the target may work on."""
    queue, now_ms = own.queue, own.clock.now_ms()
    queue.record_abandoned(ticket, now_ms)
    if not is_contended(own):
        return
    if ticket.is_above_room and queue.room.learn_lingering(now_ms):
        _log_lingering(own, current, "unanswered")


def _log_lingering(own: "ingress.Ingress", current: lifetimes.Lifetime, cause: str) -> None:
    own.metrics.count("door_target_lingers", cause)
    own.log.emit(
        "door",
        "target_lingers",
        is_vital=True,
        cause=cause,
        instance=current.instance,
        abandoned=own.queue.room.abandoned(own.clock.now_ms()),
        running=len(own.queue.running),
        slots=own.queue.slots,
    )


def _log(own: "ingress.Ingress", current: lifetimes.Lifetime, is_rejecting: bool) -> None:
    own.metrics.count("door_target_rejects", "begins" if is_rejecting else "ends")
    now_ms = own.clock.now_ms()
    if now_ms - own.queue.rejections.told_ms >= MIN_ANNOUNCE_MS:
        own.queue.rejections.told_ms = now_ms
        own.on_change()
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
