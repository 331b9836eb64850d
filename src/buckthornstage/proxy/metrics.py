"""Metrics of calls: histograms of durations and counters of events."""

import collections

from hdrh import histogram

MAX_TIME_US = 3_600_000_000  # an hour
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99, 99.9)


class Metrics:
    """Histograms in microseconds (`added`, `queued`) and counters by name.

    `added` is the latency that this node adds to a call: its duration without the wait for targets
    and in the queue. Counter names: calls, attempts, refused_connections, retries, resumed,
    shed_by_target, shed_by_node, ejections, deaths, and "error:KIND".
    """

    def __init__(self) -> None:
        self.added = histogram.HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.queued = histogram.HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.counters: collections.Counter[str] = collections.Counter()

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counters[name] += 1

    def snapshot(self) -> dict:
        """All metrics as plain values for the admin API."""
        return {
            "counters": dict(self.counters),
            "added_us": _summary(self.added),
            "queued_us": _summary(self.queued),
        }


def _summary(recorded: histogram.HdrHistogram) -> dict:
    percentiles = {f"p{p}": recorded.get_value_at_percentile(p) for p in PERCENTILES}
    return {"count": recorded.get_total_count(), "max": recorded.get_max_value(), **percentiles}
