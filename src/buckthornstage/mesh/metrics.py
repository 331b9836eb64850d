"""Counters and latency histograms of one node, as text in the Prometheus exposition format."""

import collections

from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 60_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0)


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


class Metrics:
    """Counters and histograms since the node's start; times in ms. Metric names call a response
    "answer"."""

    def __init__(self) -> None:
        self.counters: collections.Counter[tuple[str, str]] = collections.Counter()
        self.response_time: dict[str, histogram.HdrHistogram] = collections.defaultdict(_histogram)
        self.run_time = _histogram()

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increments a counter; `label` becomes the Prometheus label `reason`: a reason, a service,
        or route and status."""
        self.counters[name, label] += amount

    def answered(self, route: str, status: int, took_ms: int) -> None:
        """Records status and response time of a response to a caller."""
        self.count("answers", f"{route} {status}")
        self.response_time[route].record_value(max(LOWEST_MS, took_ms))

    def render(self, gauges: dict[str, float]) -> str:
        """All metrics in the Prometheus text format, one line each."""
        lines = [
            f'buckthornstage_{name}_total{{reason="{_escape_label(label)}"}} {value}'
            for (name, label), value in sorted(self.counters.items())
        ]
        lines += [f"buckthornstage_{name} {value}" for name, value in sorted(gauges.items())]
        labelled = {
            f'route="{_escape_label(name)}"': recorded
            for name, recorded in self.response_time.items()
        }
        lines += _quantiles("answer_time_ms", labelled)
        lines += _quantiles("run_time_ms", {'hop="target"': self.run_time})
        return "\n".join(lines) + "\n"


def _quantiles(name: str, histograms: dict[str, histogram.HdrHistogram]) -> list[str]:
    return [
        f'buckthornstage_{name}{{{label},quantile="{quantile / 100}"}}'
        f" {recorded.get_value_at_percentile(quantile)}"
        for label, recorded in sorted(histograms.items())
        for quantile in QUANTILES
    ]


def label(name: str, value: str) -> str:
    """Label of a gauge, in braces; `value` may come from another process."""
    return f'{{{name}="{_escape_label(value)}"}}'


def _escape_label(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")
