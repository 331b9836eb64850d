"""Plots a timeline: one lane per node, bars for versions, markers for other events."""

import itertools
import pathlib
from collections.abc import Iterable

from buckthornstage import errors
from buckthornstage.history import events, queries

LANE_INCHES = 0.25
MAX_HEIGHT_INCHES = 60.0
MAX_LABELLED_LANES = 200  # labels of more lanes would overlap
_VERSION_KINDS = (events.EventKind.VERSION_ACTIVATED, events.EventKind.NODE_STARTED)


class PlotUnavailableError(errors.BuckthornstageError):
    """matplotlib, a development dependency, is not installed."""


def plot(recorded: Iterable[events.Event], path: pathlib.Path) -> None:
    """Plots the timeline to `path` (PNG, SVG or PDF by its suffix).

    Raises PlotUnavailableError without matplotlib and ValueError without events.
    """
    try:
        from matplotlib import figure
    except ImportError as error:
        raise PlotUnavailableError(
            "matplotlib is missing; install requirements-dev.txt to plot timelines"
        ) from error
    ordered = queries.timeline(recorded)
    if not ordered:
        raise ValueError("there are no events to plot; widen the time range")
    lanes = {
        node: lane
        for lane, (_, node) in enumerate(sorted({(event.zone, event.node) for event in ordered}))
    }
    height = min(MAX_HEIGHT_INCHES, 1.5 + LANE_INCHES * len(lanes))
    chart = figure.Figure(figsize=(14, height), layout="constrained")
    axes = chart.add_subplot()
    _draw_versions(axes, ordered, lanes)
    _draw_markers(axes, ordered, lanes)
    if len(lanes) <= MAX_LABELLED_LANES:
        axes.set_yticks(list(lanes.values()), list(lanes))
    axes.set_xlabel("seconds after the first event")
    axes.set_title("versions in force and events by node")
    chart.savefig(path)


def _draw_versions(axes, ordered: list[events.Event], lanes: dict[str, int]) -> None:
    start_ms, end_ms = ordered[0].hlc_ms, ordered[-1].hlc_ms + 1
    versions = sorted({event.version for event in ordered})
    color_of = {version: f"C{index % 10}" for index, version in enumerate(versions)}
    for node, lane in lanes.items():
        version_events = [
            event for event in ordered if event.node == node and event.kind in _VERSION_KINDS
        ]
        ends = itertools.chain((event.hlc_ms for event in version_events[1:]), (end_ms,))
        for event, until_ms in zip(version_events, ends, strict=False):
            if event.kind is not events.EventKind.VERSION_ACTIVATED:
                continue
            left = (event.hlc_ms - start_ms) / 1000
            width = (until_ms - event.hlc_ms) / 1000
            axes.barh(lane, width, left=left, height=0.7, color=color_of[event.version], alpha=0.6)
            if len(lanes) <= MAX_LABELLED_LANES:
                axes.text(left, lane, str(event.version), va="center", fontsize=7, clip_on=True)


def _draw_markers(axes, ordered: list[events.Event], lanes: dict[str, int]) -> None:
    markers = itertools.cycle("ovs^Dx+*P")
    for kind in events.EventKind:
        matching = [event for event in ordered if event.kind is kind]
        if not matching or kind is events.EventKind.VERSION_ACTIVATED:
            continue
        times = [(event.hlc_ms - ordered[0].hlc_ms) / 1000 for event in matching]
        rows = [lanes[event.node] for event in matching]
        axes.scatter(times, rows, s=18, marker=next(markers), label=str(kind), zorder=3)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="center left", bbox_to_anchor=(1, 0.5), fontsize=7)
