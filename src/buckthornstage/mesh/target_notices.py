"""What a target says about itself in its responses: its limit, and that it leaves.

Functions of the ingress, given as `own`; log lines name it "door".
"""

from typing import TYPE_CHECKING

from buckthornstage.http import messages
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import header_codec, target_acceptance

if TYPE_CHECKING:
    from buckthornstage.mesh import ingress


def observe_stray(
    own: "ingress.Ingress",
    call: frames.Call,
    current: lifetimes.Lifetime,
    response: messages.Response,
) -> None:
    """Takes the leave from a late response to an earlier call; its limit may be out of date."""
    own.log.emit("door", "stray_answer", call=call.call_id, status=response.status)
    if own.header_codec.target_notice(response).is_leaving:
        own.end(current.identity, "told_in_response")


def observe(
    own: "ingress.Ingress",
    call: frames.Call,
    current: lifetimes.Lifetime,
    kind: header_codec.ResponseKind,
    response: messages.Response,
) -> None:
    """Takes the limit and the leave from the response to a call that `current` got."""
    if kind is header_codec.ResponseKind.OTHER_LIFETIME:
        return
    notice = own.header_codec.target_notice(response)
    if notice.is_leaving:
        own.end(current.identity, "told_in_response")
    if own.lifetimes.current.identity != current.identity:
        return
    is_proved = kind is not header_codec.ResponseKind.UNPROVED
    if is_proved and notice.load is not None:
        target_acceptance.observe_load(own, current, notice.load)
    per_second = notice.requests_per_second
    if per_second is None and not is_proved:
        return  # not provably the target's own, so the header may be missing
    rate = own.queue.rate
    is_first, before = not rate.has_response, rate.per_second
    is_change = rate.set_limit(per_second, own.clock.now_ms())
    if is_change:
        own.log.emit(
            "door",
            "target_limit",
            is_vital=before is None or per_second is None,
            call=call.call_id,
            instance=current.instance,
            per_second=per_second,
            before=before,
            running=len(own.queue.running),
            waiting=len(own.queue.waiting),
        )
    if is_change or is_first:
        own.advance_queue()
