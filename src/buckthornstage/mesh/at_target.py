"""One call at the target: sends it, reads the response and decides what it proves.

Functions of the ingress, given as `own`.
"""

from typing import TYPE_CHECKING

from buckthornstage.http import client, messages
from buckthornstage.limits import crash_guard, ingress_queue
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import (
    header_codec,
    ingress_log,
    target_acceptance,
    target_notices,
    target_pool,
)

if TYPE_CHECKING:
    from buckthornstage.mesh import ingress

STATE_AT_END = frames.IngressState(frames.IngressStatus.OPEN)
"""Replaced at the end of the run, when the slot is free again."""


async def run(
    own: "ingress.Ingress",
    call: frames.Call,
    ticket: ingress_queue.Ticket,
    current: lifetimes.Lifetime,
    connection: client.Connection,
    deadline_ms: int,
) -> frames.Refused | frames.Failed | frames.Response:
    """Outcome of a call on an open connection to the target; raises the errors of `Connection`."""
    began_ms = own.clock.now_ms()
    fields = own.header_codec.target_headers(call, current.instance, deadline_ms - began_ms)
    request = messages.Request(call.method, call.target, fields, call.body)
    response, kind = await target_pool.exchange_heads(
        connection,
        request,
        lambda found: own.header_codec.classify(found, call.call_id),
        lambda found: target_notices.observe_stray(own, call, current, found),
    )
    target_notices.observe(own, call, current, kind, response)
    target_acceptance.observe(own, current, ticket, kind, response)
    body = await own.memory.read_body(connection, ticket.payload.hold)
    # After a response that is not provably its own, the call may still run.
    connection.is_usable &= kind is not header_codec.ResponseKind.UNPROVED
    own.pool.release(connection, own.header_codec.keep_alive_ms(response))
    run_ms = own.clock.now_ms() - began_ms
    waited_ms = call.deadline_ms - (deadline_ms - began_ms)
    return _evaluate(own, call, current, kind, response, body, run_ms, waited_ms)


def _evaluate(
    own: "ingress.Ingress",
    call: frames.Call,
    current: lifetimes.Lifetime,
    kind: header_codec.ResponseKind,
    response: messages.Response,
    body: bytes,
    run_ms: int,
    waited_ms: int,
) -> frames.Refused | frames.Failed | frames.Response:
    if kind is header_codec.ResponseKind.NOT_RUN:
        # A full target may refuse; `target_acceptance` counts the rejections of others.
        if not target_acceptance.is_rejection(own, kind, response):
            own.update_success_rate(len(own.queue.running) > own.queue.slots)
        return own.refused(call, "refused_by_target", reached_target=True)
    if kind is header_codec.ResponseKind.OTHER_LIFETIME:
        own.mark_down(current, "another lifetime answers")
        return own.refused(call, "other_lifetime", reached_target=True)
    if kind is header_codec.ResponseKind.UNPROVED:
        own.update_success_rate(False)
        return own.failed(call, "answer without a target's mark")
    own.update_success_rate(response.status < frames.FAILURE_STATUS)
    if own.guard.deaths:
        own.guard.clear(crash_guard.fingerprint(call.method, call.target, call.body))
    own.metrics.run_time.record_value(max(1, run_ms))
    ingress_log.ran(own, call, current, response.status, run_ms, waited_ms)
    headers = own.header_codec.caller_headers(response.headers)
    return frames.Response(response.status, headers, body, 0, STATE_AT_END, run_ms)
