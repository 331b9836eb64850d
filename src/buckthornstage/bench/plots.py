"""Draws the plots of docs/CAPACITY.md from the committed measurements in docs/data.

Run `python -m buckthornstage.bench.plots`; it needs matplotlib, a development dependency.
"""

import json
import pathlib
import re

from absl import app, flags

DATA = flags.DEFINE_string("data", "docs/data", "Folder with the measurements.")
OUTPUT = flags.DEFINE_string("output", "docs/plots", "Folder for the pictures.")

CORE_PERCENT_TARGET = 1.7
BYTES_TARGET = 9_000
_HEAD = re.compile(r"^(?P<nodes>\d+) nodes, gossip_interval_ms (?P<interval>\d+)")
_REST = re.compile(r"^  at rest +(?P<mean>\d+) +(?P<busiest>\d+)")
_TIMES = re.compile(r"^  convergence p50 (?P<p50>\d+), p99 (?P<p99>\d+), worst (?P<worst>\d+) ms")


def read_control_bytes(path: pathlib.Path) -> list[dict[str, int]]:
    """Rows of the output of `bench.control_bytes`: nodes, interval, mean, busiest, p99."""
    rows: list[dict[str, int]] = []
    for line in path.read_text("utf-8").splitlines():
        for pattern in (_HEAD, _REST, _TIMES):
            found = pattern.match(line)
            if not found:
                continue
            if pattern is _HEAD:
                rows.append({})
            rows[-1].update({key: int(value) for key, value in found.groupdict().items()})
    return [row for row in rows if "p99" in row]


def draw_processor_time(axes, data: pathlib.Path) -> None:
    """Processor time of a node over the number of nodes, one line for each measured interval."""
    for path in sorted(data.glob("scale-*.json")):
        rows = json.loads(path.read_text("utf-8"))
        nodes = [row["nodes"] for row in rows]
        interval = path.stem.removeprefix("scale-")
        for name, style in (("mean", "o-"), ("most", "x--")):
            values = [row[f"rest_core_percent_{name}"] for row in rows]
            axes.plot(nodes, values, style, label=f"at rest, {name}, {interval} ms")
    axes.axhline(CORE_PERCENT_TARGET, color="black", linewidth=0.8, label="target 1.7 %")
    axes.set(xlabel="nodes", ylabel="percent of a core", ylim=(0, None))
    axes.legend(fontsize="small")


def draw_trade_off(axes, data: pathlib.Path) -> None:
    """Control bytes at rest over the number of nodes for each interval."""
    rows = read_control_bytes(data / "control_bytes.txt")
    for interval in sorted({row["interval"] for row in rows}):
        chosen = [row for row in rows if row["interval"] == interval]
        nodes = [row["nodes"] for row in chosen]
        for name, style in (("mean", "o-"), ("busiest", "x--")):
            values = [row[name] for row in chosen]
            axes.plot(nodes, values, style, label=f"{name}, {interval} ms")
    axes.axhline(BYTES_TARGET, color="black", linewidth=0.8, label="target 9 KB/s")
    axes.set(xlabel="nodes", ylabel="bytes a second at rest", ylim=(0, None))
    axes.legend(fontsize="small")


def main(arguments: list[str]) -> None:
    """Writes one picture for each plot."""
    del arguments
    from matplotlib import figure

    output = pathlib.Path(OUTPUT.value)
    output.mkdir(parents=True, exist_ok=True)
    for name, draw in (("processor", draw_processor_time), ("control_bytes", draw_trade_off)):
        picture = figure.Figure(figsize=(7, 4.5), layout="constrained")
        draw(picture.add_subplot(), pathlib.Path(DATA.value))
        picture.savefig(output / f"{name}.png", dpi=110)


if __name__ == "__main__":
    app.run(main)
