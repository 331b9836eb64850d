"""Queries over the history, as pure functions of a list of events in any order.

Events may be duplicated, because appends are retried after lost responses. Times are hybrid
logical times in ms since the Unix epoch. An event may have happened up to its own
`uncertainty_ms` before or after its time. By convention the detail of `member_dead` and
`member_leaving` begins with the name of the affected node.
"""

import bisect
import collections
from collections.abc import Iterable

import msgspec

from buckthornstage.history import events, publications

_VERSION_KINDS = (events.EventKind.NODE_STARTED, events.EventKind.VERSION_ACTIVATED)
_DEPARTURE_KINDS = (events.EventKind.MEMBER_DEAD, events.EventKind.MEMBER_LEAVING)


class InForce(msgspec.Struct, frozen=True):
    """Version that a node had in force at a time.

    `version` is None when no event of the node is that old, and 0 after a start without a
    configuration. `possible` lists all versions that the uncertainty allows, including `version`.
    `is_gone` says that the node was leaving or had been declared dead.
    """

    node: str
    at_ms: int
    version: int | None
    since_ms: int | None
    uncertainty_ms: int
    possible: tuple[int, ...]
    is_gone: bool = False

    @property
    def is_certain(self) -> bool:
        """Whether the uncertainty allows one version only."""
        return self.version is not None and self.possible == (self.version,)


class Publication(msgspec.Struct, frozen=True):
    """One publish with its verdict; `reporters` counts the nodes that reported it."""

    offset: int
    at_ms: int
    accepted: bool
    author: str
    team: str
    section: str
    publish_id: str
    reason: str
    text: str
    reporters: int


def unique(recorded: Iterable[events.Event]) -> list[events.Event]:
    """The events without duplicates of (node, incarnation, sequence)."""
    first: dict[tuple[str, int, int], events.Event] = {}
    for event in recorded:
        first.setdefault((event.node, event.incarnation, event.sequence), event)
    return list(first.values())


def timeline(recorded: Iterable[events.Event]) -> list[events.Event]:
    """All events of all nodes in the order of their hybrid timestamps."""
    return sorted(unique(recorded), key=_hybrid_order)


def in_force(recorded: Iterable[events.Event], node: str, at_ms: int) -> InForce:
    """Version in force on `node` at `at_ms`, with the versions that the uncertainty allows."""
    ordered = timeline(recorded)
    return _version_at(
        node,
        [event for event in ordered if event.node == node],
        [event for event in ordered if _subject(event) == node],
        at_ms,
    )


def nodes_differing(recorded: Iterable[events.Event], version: int, at_ms: int) -> list[InForce]:
    """Nodes that at `at_ms` had, or may have had, another version in force, by name.

    Nodes that had not started, were leaving or had been declared dead are left out.
    """
    by_node: dict[str, list[events.Event]] = collections.defaultdict(list)
    about: dict[str, list[events.Event]] = collections.defaultdict(list)
    for event in timeline(recorded):
        by_node[event.node].append(event)
        if subject := _subject(event):
            about[subject].append(event)
    states = (_version_at(node, by_node[node], about[node], at_ms) for node in sorted(by_node))
    return [
        state
        for state in states
        if state.version is not None and not state.is_gone and state.possible != (version,)
    ]


def publishes(recorded: Iterable[events.Event]) -> list[Publication]:
    """Every publish with its author, verdict and reason, in log order.

    A log reader in each zone reports the same publish. Different verdicts for one offset give
    separate entries, because they mean that nodes disagree.
    """
    groups: dict[tuple, list[tuple[events.Event, publications.PublishDetail]]] = {}
    kinds = (events.EventKind.PUBLISH_ACCEPTED, events.EventKind.PUBLISH_REFUSED)
    for event in timeline(recorded):
        if event.kind not in kinds:
            continue
        detail = publications.decode(event.detail) or publications.PublishDetail(
            event.version, "", "", "", "", text=event.detail
        )
        groups.setdefault((detail, event.kind), []).append((event, detail))
    result = [_publication(kind, reports) for (_, kind), reports in groups.items()]
    return sorted(result, key=lambda publication: (publication.offset, publication.at_ms))


def _publication(kind, reports) -> Publication:
    event, detail = reports[0]
    return Publication(
        detail.offset,
        event.hlc_ms,
        kind is events.EventKind.PUBLISH_ACCEPTED,
        detail.author,
        detail.team,
        detail.section,
        detail.publish_id,
        detail.reason,
        detail.text,
        len({report.node for report, _ in reports}),
    )


def _version_at(
    node: str, own: list[events.Event], about: list[events.Event], at_ms: int
) -> InForce:
    """`own` are the node's events, `about` departure events naming it, both in time order."""
    version_events = [event for event in own if event.kind in _VERSION_KINDS]
    past = bisect.bisect_right([event.hlc_ms for event in version_events], at_ms)
    current = version_events[past - 1] if past else None
    certain = [event for event in version_events if event.hlc_ms + event.uncertainty_ms <= at_ms]
    uncertain = [
        event
        for event in version_events
        if event.hlc_ms - event.uncertainty_ms <= at_ms < event.hlc_ms + event.uncertainty_ms
    ]
    possible = {_version(event) for event in [*certain[-1:], *uncertain, *([current] * bool(past))]}
    uncertainty_ms = max((event.uncertainty_ms for event in [*certain[-1:], *uncertain]), default=0)
    return InForce(
        node,
        at_ms,
        _version(current) if current else None,
        current.hlc_ms if current else None,
        uncertainty_ms,
        tuple(sorted(possible)),
        _is_gone(own, about, at_ms),
    )


def _is_gone(own: list[events.Event], about: list[events.Event], at_ms: int) -> bool:
    """Whether a departure was reported, and no later start or readiness of the node refutes it."""
    departures = [
        event.hlc_ms for event in about if event.kind in _DEPARTURE_KINDS and event.hlc_ms <= at_ms
    ]
    departures += [
        event.hlc_ms
        for event in own
        if event.kind is events.EventKind.NODE_LEAVING and event.hlc_ms <= at_ms
    ]
    starts = [
        event.hlc_ms
        for event in own
        if event.kind in (events.EventKind.NODE_STARTED, events.EventKind.NODE_READY)
        and event.hlc_ms <= at_ms
    ]
    return bool(departures) and max(departures) >= max(starts, default=0)


def _version(event: events.Event) -> int:
    return event.version if event.kind is events.EventKind.VERSION_ACTIVATED else 0


def _subject(event: events.Event) -> str | None:
    """Node whose departure a membership event reports, or None for other events."""
    if event.kind not in _DEPARTURE_KINDS:
        return None
    return (event.detail.split(maxsplit=1) or [None])[0]


def _hybrid_order(event: events.Event) -> tuple:
    return (event.hlc_ms, event.hlc_counter, event.node, event.incarnation, event.sequence)
