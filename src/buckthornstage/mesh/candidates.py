"""The ingresses that a call may go to, as this node sees them."""

from collections.abc import Container, Iterable, Iterator

from buckthornstage.limits import target_pace
from buckthornstage.link import frames
from buckthornstage.membership import directory
from buckthornstage.mesh import ingress
from buckthornstage.routing import ingress_selection

MAX_REPORT_AGE_MS = 1_000
"""Older reports decide no call while there is a newer one; watched peers report twice a second."""
OWN_INGRESS = ""
"""Key of the ingress of this node; the key of another one is its link address."""


def untried(
    known: directory.Directory,
    own_ingress: ingress.Ingress,
    zone: str,
    service: str,
    tried: Container[str],
    now_ms: int,
    kind_ratio: float = 1.0,
    priority: int | None = None,
    is_resubmitted: bool = False,
) -> Iterator[ingress_selection.Candidate]:
    """Open candidates of a service whose keys are not in `tried`, for a call of this route
    priority (None if others pass it); `zone` is this node's zone.

    `kind_ratio` is the run time of the call's kind, relative to the average of all kinds.
    """
    for peer in known.candidates(service, now_ms):
        address, state = peer.entry.link_address, peer.state
        if address in tried or not peer.is_reachable(now_ms):
            continue
        if state.status is frames.IngressStatus.OPEN:
            yield ingress_selection.Candidate(
                address,
                peer.entry.zone == zone,
                state,
                now_ms - peer.state_ms,
                peer.rtt_ms,
                ingress_selection.sent_since(peer.sent_ms, peer.state_ms, peer.rtt_ms),
                peer.success_rate,
                (
                    target_pace.report_ratio(
                        state.pace_percent, state.mean_pace_percent, now_ms - peer.state_ms
                    )
                    if state.pace_percent
                    else 1.0
                ),
                kind_ratio,
                ingress_selection.passed_calls(state, priority, is_resubmitted),
                peer.entry.zone,
            )
    current = own_ingress.lifetimes.current
    if current and current.service == service and OWN_INGRESS not in tried:
        state = own_ingress.state()
        passed = ingress_selection.passed_calls(state, priority, is_resubmitted)
        own = ingress_selection.Candidate(
            OWN_INGRESS, True, state, 0, 0.0, kind_ratio=kind_ratio, passed=passed, zone=zone
        )
        if own.state.status is frames.IngressStatus.OPEN:
            yield own


def with_fresh_reports(
    found: Iterable[ingress_selection.Candidate],
) -> list[ingress_selection.Candidate]:
    """Candidates whose reports are recent; all of them if none is."""
    known = list(found)
    return [item for item in known if item.age_ms <= MAX_REPORT_AGE_MS] or known
