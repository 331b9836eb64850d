"""Runs the benchmarks one after the other, so that none disturbs another (`make bench`).

`--only=claims,scale` runs a part. Each benchmark is a module of its own with its own flags.
"""

import subprocess
import sys

from absl import app, flags

ONLY = flags.DEFINE_list("only", [], "Names of the benchmarks to run; empty: all.")

BENCHMARKS = {
    "mesh_model": [],
    "control_bytes": ["--nodes=12,24,48,96"],
    "claims": [],
    "added_latency": [],
    "scale": ["--nodes=12,24,48,96"],
    "experiments": [],
    "quota_cost": [],
}
EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Returns the number of benchmarks that failed."""
    del arguments
    unknown = sorted(set(ONLY.value) - set(BENCHMARKS))
    if unknown:
        print(f"--only: {', '.join(unknown)} unknown; there are {', '.join(BENCHMARKS)}")
        return EXIT_USAGE
    failed = 0
    for name in ONLY.value or BENCHMARKS:
        print(f"== {name}", flush=True)
        command = [sys.executable, "-m", f"buckthornstage.bench.{name}", *BENCHMARKS[name]]
        failed += subprocess.run(command, check=False).returncode != 0
    return failed


if __name__ == "__main__":
    app.run(main)
