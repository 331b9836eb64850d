"""The program of a node with one fault planted in the product, for `planted_faults`."""

import dataclasses
import math
import os
import random

import msgspec
import trio

from buckthornstage.limits import fleet_retry_budget, held_bytes, ingress_queue, target_rate
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes
from buckthornstage.mesh import (
    egress,
    followers,
    header_codec,
    ingress,
    node,
    shutdown,
    tenant_quotas,
    versions,
)
from buckthornstage.platform import call_headers, main
from buckthornstage.routing import routes

VARIABLE = "BUCKTHORNSTAGE_PLANTED_FAULT"
EXIT_AFTER_TICKS = 80
GIVE_UP_S = 0.03
LATE_VERSION_MS = 5_000
REFUSED_SHARE = 0.02


def take_any_response() -> None:
    """Takes a late response to an earlier call for the response to this one."""
    codec = call_headers.HEADER_CODEC

    def classify(response, call_id):
        kind = codec.classify(response, call_id)
        is_other = kind is header_codec.ResponseKind.OTHER_CALL
        return header_codec.ResponseKind.WHOLE if is_other else kind

    call_headers.HEADER_CODEC = dataclasses.replace(codec, classify=classify)


def call_failures_refusals() -> None:
    """Says "not run" of a call whose connection broke."""
    ingress.Ingress.failed = lambda own, call, reason: own.refused(call, "planted")


def forget_leaves() -> None:
    """Takes a target that leaves for a ready one."""
    announce = lifetimes.Lifetimes.announce

    def announce_as_ready(own, announcement, now_ms):
        return announce(own, dataclasses.replace(announcement, is_draining=False), now_ms)

    lifetimes.Lifetimes.announce = announce_as_ready
    lifetimes.Lifetimes.end = lambda own, identity: False


def ignore_limits() -> None:
    """Reads no limit of a target."""
    target_rate.TargetRate.set_limit = lambda own, per_second, now_ms: False


def take_any_version() -> None:
    """Activates whatever the store or a peer has."""
    versions.Versions.is_newer = lambda own, version: version != own.peers.version


def read_versions_late() -> None:
    """Pauses too long between two reads of versions."""
    followers.COALESCE_MS = LATE_VERSION_MS


def stop_at_once() -> None:
    """Ends at SIGTERM without waiting for calls."""

    async def stop(*arguments):
        pass

    shutdown.stop = stop


def give_up_at_stop() -> None:
    """Fails the calls of a stopping node after a time that is shorter than a run."""
    attempt = egress.Egress._attempt

    async def attempt_shortly(own, pending, candidate, sent=None):
        is_stopping = own.node_end.last_response_ms is not None
        with trio.move_on_after(GIVE_UP_S if is_stopping else math.inf):
            return await attempt(own, pending, candidate, sent)
        return frames.Failed("planted", candidate.state)

    egress.Egress._attempt = attempt_shortly


def retry_without_budget() -> None:
    """Retries each call that may be repeated."""

    def should_retry(own, pending, response):
        may_try = pending.route.is_idempotent and pending.response is None
        return may_try and own.choice.may_retry(pending)

    egress.Egress._should_retry = should_retry
    fleet_retry_budget.FleetRetryBudget.try_spend = lambda own, reserve_share=0.0: True


def never_forget_slow_runs() -> None:
    """Expects each run to take as long as the slowest one so far, also in an idle time."""

    def measure(own, ticket, run_ms, now_ms):
        own.average_ms, own.has_average = max(own.average_ms, run_ms), True

    ingress_queue.IngressQueue._measure = measure
    ingress_queue.IngressQueue.run_ms = lambda own, now_ms: own.average_ms


def keep_withdrawn_keys() -> None:
    """Lets in callers with a key that no tenant holds any more."""
    tenant_of = routes.RouteTable.tenant_of

    def tenant_of_any(own, key):
        return tenant_of(own, key) or own.configuration.tenants[0]

    routes.RouteTable.tenant_of = tenant_of_any


def refuse_some_keys() -> None:
    """Takes a few valid keys for unknown ones."""
    tenant_of = routes.RouteTable.tenant_of

    def tenant_of_most(own, key):
        return None if random.random() < REFUSED_SHARE else tenant_of(own, key)

    routes.RouteTable.tenant_of = tenant_of_most


def name_no_tenant() -> None:
    """Tells a target nothing of the caller's tenant."""
    codec = call_headers.HEADER_CODEC

    def target_headers(call, instance, remaining_ms):
        unnamed = msgspec.structs.replace(call, tenant="")
        return codec.target_headers(unnamed, instance, remaining_ms)

    call_headers.HEADER_CODEC = dataclasses.replace(codec, target_headers=target_headers)


def ignore_quotas() -> None:
    """Lets each call of a tenant through."""

    async def take(own, tenant):
        pass

    tenant_quotas.TenantQuotas.take = take


def ignore_memory() -> None:
    """Counts no bytes of requests."""
    held_bytes.Transfer.take = lambda own, size: True


def exit_early() -> None:
    """Ends the process by itself after some seconds."""
    tick = node.MeshNode._tick

    def last_tick(own):
        if own.ticks > EXIT_AFTER_TICKS:
            os._exit(1)
        tick(own)

    node.MeshNode._tick = last_tick


FAULTS = {
    plant.__name__: plant
    for plant in (
        take_any_response,
        call_failures_refusals,
        forget_leaves,
        ignore_limits,
        take_any_version,
        read_versions_late,
        stop_at_once,
        give_up_at_stop,
        retry_without_budget,
        never_forget_slow_runs,
        keep_withdrawn_keys,
        refuse_some_keys,
        name_no_tenant,
        ignore_quotas,
        ignore_memory,
        exit_early,
    )
}

if __name__ == "__main__":
    FAULTS[os.environ[VARIABLE]]()
    main.run()
