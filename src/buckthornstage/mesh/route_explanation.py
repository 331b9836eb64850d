"""Explains where a request would go from this node now, and why, without sending it."""

import urllib.parse

import msgspec

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.limits import call_times
from buckthornstage.link import frames
from buckthornstage.mesh import call_admission, candidates, egress, ingress_choice
from buckthornstage.routing import ingress_selection, routes, target_trials

Kind = errors.ErrorKind
Explanation = dict[str, object]

PATH = "/route"
MAX_CANDIDATES = 40
"""Candidates listed, the ones with the shortest expected time first; a node observes up to 60."""
MEAN_DRAW = 0.5
"""Stands for the random numbers of the choice, so that one state gives one answer."""


def respond(own: egress.Egress, request: messages.Request) -> messages.Response | None:
    """Explanation as JSON for a request to `PATH`; None for another path."""
    path, _, query = request.target.partition("?")
    if path != PATH:
        return None
    body = msgspec.json.encode(explain(own, query))
    return messages.Response(200, ((b"content-type", b"application/json"),), body)


def explain(own: egress.Egress, query: str) -> Explanation:
    """Decisions for the request that a query names by `host`, `path` and, with tenants, `tenant`.

    Takes no token, changes no share and counts nothing. `outcome` is "sent" or the kind of the
    error that the caller would get.
    """
    fields = dict(urllib.parse.parse_qsl(query))
    host, path = fields.get("host", ""), fields.get("path", "/")
    request = messages.Request("GET", path, ((b"host", host.encode("latin-1", "replace")),))
    try:
        route = call_admission.route_of(own.table, request)
    except errors.CallError as error:
        return {"outcome": str(error.kind), "detail": error.detail}
    found: Explanation = {"version": own.table.configuration.version, "route": route.name}
    tenants = {tenant.name: tenant for tenant in own.table.configuration.tenants}
    tenant = tenants.get(fields.get("tenant", ""))
    if tenants and tenant is None and not route.is_auth_exempt:
        return {**found, "outcome": str(Kind.UNKNOWN_API_KEY), "detail": "no such tenant"}
    if tenant is not None:
        found["quota"] = own.quotas.explain(tenant)
    weights = {share.service: share.weight for share in route.shares}
    services = {name: _service(own, route, name) for name, weight in weights.items() if weight}
    outcomes = [service["outcome"] for service in services.values()]
    outcome = "sent" if "sent" in outcomes else outcomes[0] if outcomes else str(Kind.NO_TARGET)
    return {**found, "weights": weights, "services": services, "outcome": outcome}


def _service(own: egress.Egress, route: routes.Route, service: str) -> Explanation:
    choice, now_ms = own.choice, own.clock.now_ms()
    found = list(
        candidates.untried(
            choice.directory, own.ingress, own.settings.zone, service, (), now_ms, 1.0
        )
    )
    eligible = choice.eligible(service, found, True, lambda: MEAN_DRAW)
    fresh = target_trials.accepting(candidates.with_fresh_reports(eligible))
    overflow, uniform = choice.overflow(service), lambda: MEAN_DRAW
    picked = choice.choose(service, fresh, route.goal_ms, route.is_bulk, uniform, False)
    listed = sorted(
        (_candidate(item, route.is_bulk, item in fresh) for item in found),
        key=lambda fields: fields["expected_ms"],
    )
    explained: Explanation = {
        "candidates": listed[:MAX_CANDIDATES],
        "zone_shares": {zone: round(share, 3) for zone, share in overflow.shares.items()},
        "zone_loads": {zone: round(load, 2) for zone, load in overflow.loads.items()},
        "full_zones": sorted(overflow.full_zones),
        "rollout": own.rollout_of(service),
    }
    if picked is None:
        return {**explained, "outcome": str(Kind.NO_TARGET), "why": "no ingress is open"}
    name = picked.candidate.key or "own"
    expected = f"expected {picked.expected_ms:.0f} ms, goal {route.goal_ms} ms"
    _, latest_ms = call_times.goal_and_latest_ms(0, route.goal_ms, None, route.timeout_ms)
    if picked.expected_ms > latest_ms * ingress_choice.ESTIMATE_MARGIN:
        return {**explained, "outcome": str(Kind.OVERLOADED), "why": f"{name}: {expected}"}
    reason = "stays in its zone" if picked.reason is None else f"leaves its zone: {picked.reason}"
    return {**explained, "outcome": "sent", "to": name, "why": f"{expected}; {reason}"}


def _candidate(
    item: ingress_selection.Candidate, is_bulk: bool, is_fresh: bool
) -> dict[str, object]:
    state = item.state
    return {
        "ingress": item.key or "own",
        "zone": item.zone,
        "expected_ms": round(ingress_selection.expected_ms(item, is_bulk), 1),
        "running": state.running,
        "waiting": state.waiting,
        "slots": state.slots,
        "age_ms": item.age_ms,
        "is_fresh": is_fresh,
        "is_rejecting": state.is_rejecting,
        "success_rate": round(min(state.success_rate, item.success_rate), 2),
        "is_open": state.status is frames.IngressStatus.OPEN,
    }
