"""Selects calls that try a target which rejects calls although it has free slots.

Such a target is no candidate for other calls, unless all targets reject. Its ingress lets one trial
pass at a time and refuses the other calls without sending them.
"""

from collections.abc import Callable, Iterable

from buckthornstage.routing import ingress_selection

TRIAL_SHARE = 0.05
"""Share of the calls with which a node tries a rejecting target of its zone when a trial is due;
about 16 nodes observe a target."""


def accepting(
    candidates: list[ingress_selection.Candidate],
) -> list[ingress_selection.Candidate]:
    """Candidates whose targets accept calls; all of them if none does."""
    return [item for item in candidates if not item.state.is_rejecting] or candidates


def due_trial(
    candidates: Iterable[ingress_selection.Candidate],
    is_full: bool,
    uniform: Callable[[], float],
) -> tuple[ingress_selection.Candidate, float] | None:
    """A rejecting candidate that this call is to try, and its expected time in ms, or None.

    Calls of the own node try it first, since a refusal costs them no trip, then a few of its zone,
    and all calls if the other targets are full (`is_full`). `uniform()` returns random numbers in
    [0, 1).
    """
    for item in candidates:
        state = item.state
        if not state.is_rejecting or item.age_ms < state.trial_wait_ms or item.sent_since:
            continue
        if not item.key or is_full or (item.is_own_zone and uniform() < TRIAL_SHARE):
            return item, ingress_selection.expected_ms(item)
    return None
