"""How much of a service's calls the new version may get, and when its roll-out ends."""

import dataclasses
import math
import zlib

from buckthornstage.rollouts import judge, orders

SHARE_MARGIN = 0.7
"""Part of the allowed exposure that is used: calls of a few seconds may differ from the share, and
a permission that is withdrawn goes on for its time at nodes that hear nothing."""
STEPS = (0.25, 0.5, 1.0)
"""Parts of the largest share, one after the other."""
RUNS_PER_STEP = 40
"""Runs without suspicion after which the share grows."""
STEP_PERIOD_FRACTION = 0.15
"""Part of the period after which the share grows also with fewer runs."""
VERDICT_FRACTION = 0.7
"""Part of the period after which a version without a finding against it is completed; the rest is
for the store's answer and for a version that is suspect."""
LAST_FRACTION = 0.9
MIN_MACHINES = 3
"""Machines of the new version that get calls, or all if there are fewer. Their number grows with
the share, so that each machine is loaded as usual and faults under load show."""


@dataclasses.dataclass
class Progress:
    """State of a judge for one order; `began_ms` is when it learned of the order."""

    began_ms: int
    step: int = 0
    step_began_ms: int = 0
    step_began_runs: int = 0
    is_halted: bool = False
    """Whether the version was found bad; it is not exposed again."""
    reason: str = ""
    is_new: bool = True
    """Whether the store does not yet tell that the roll-out runs."""

    def __post_init__(self) -> None:
        self.step_began_ms = self.began_ms


@dataclasses.dataclass(frozen=True)
class Decision:
    """The share to permit now, and the verdict to write; None while there is none."""

    share: float
    verdict: orders.State | None = None


def decide(
    progress: Progress,
    finding: judge.Finding,
    order: orders.Order,
    open_machines: int,
    allowed_share: float,
    now_ms: int,
) -> Decision:
    """Advances the exposure by the finding; `open_machines` of the new version accept calls."""
    age = (now_ms - progress.began_ms) / max(1, order.period_ms)
    is_enough = finding.is_bad or (finding.is_likely_bad and age >= LAST_FRACTION)
    if is_enough and not progress.is_halted:
        progress.is_halted, progress.reason = True, finding.reason
    if progress.is_halted:
        return Decision(0.0, orders.State.ROLLED_BACK)
    if age >= LAST_FRACTION and not open_machines:
        progress.reason = "no machine of the new version accepts calls"
        return Decision(0.0, orders.State.ROLLED_BACK)
    is_untested = not finding.runs and finding.old_runs >= RUNS_PER_STEP
    if age >= LAST_FRACTION and is_untested:
        progress.reason = f"no run, but {finding.old_runs} of the old version"
        return Decision(0.0, orders.State.ROLLED_BACK)
    is_due = age >= (LAST_FRACTION if finding.is_suspect or is_untested else VERDICT_FRACTION)
    if is_due and open_machines:
        progress.reason = f"no finding in {finding.runs} runs"
        return Decision(_share(progress, allowed_share), orders.State.COMPLETED)
    has_time = now_ms - progress.step_began_ms >= STEP_PERIOD_FRACTION * order.period_ms
    has_runs = finding.runs - progress.step_began_runs >= RUNS_PER_STEP
    if (has_time or has_runs) and not finding.is_suspect and progress.step < len(STEPS) - 1:
        progress.step += 1
        progress.step_began_ms, progress.step_began_runs = now_ms, finding.runs
    return Decision(_share(progress, allowed_share))


def _share(progress: Progress, allowed_share: float) -> float:
    return SHARE_MARGIN * allowed_share * STEPS[progress.step]


def machines_to_use(share: float, machines: int, new_addresses: list[str]) -> list[str]:
    """The machines of the new version that get the permitted calls, the same at all nodes.

    `machines` is the number of all machines of the service that accept calls.
    """
    wanted = max(MIN_MACHINES, math.ceil(share * machines))
    ranked = sorted(new_addresses, key=lambda address: zlib.crc32(address.encode()))
    return ranked[:wanted]
