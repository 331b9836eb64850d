"""How long work takes at a target now, for targets that tell it in their responses.

A target tells its pace with each response: 1 is as usual, 2 is twice as long. Run times divided by
the pace give an average that changes slowly; the average times the current pace is the expected run
time. Kinds of requests (routes) differ by a ratio to that average. Without a pace factors are 1.
"""

MAX_AGE_MS = 600
"""Age up to which a pace decides; it counts less and less until then. Paces change many times a
second, and slow times of 600 ms were seen; after that only the target's mean pace counts."""
MEAN_SMOOTHING = 0.05  # weight of the newest pace in the mean
RATIO_SMOOTHING = 0.1  # weight of the newest run in the ratio of its kind
MIN_PACE, MAX_PACE = 0.05, 20.0
"""Paces outside are taken as these: a wrong figure must not close a target."""
MIN_RATIO, MAX_RATIO = 0.05, 20.0
MAX_KINDS = 2_000
"""Routes whose ratio is remembered; a configuration has 1,100."""


def aged(pace: float, mean: float, age_ms: float) -> float:
    """Expected pace, `age_ms` after a target told `pace`; `mean` is its mean pace."""
    return mean + (pace - mean) * max(0.0, 1 - age_ms / MAX_AGE_MS)


def report_ratio(pace: float, mean: float, age_ms: float) -> float:
    """Expected pace relative to the one of a report that is `age_ms` old."""
    return 1 + (mean / pace - 1) * (age_ms / MAX_AGE_MS if age_ms < MAX_AGE_MS else 1.0)


class KindRatios:
    """Run time of each kind of request relative to the average of all kinds."""

    def __init__(self) -> None:
        self.ratios: dict[str, float] = {}

    def ratio(self, kind: str) -> float:
        """Ratio of a kind; 1 if not known."""
        return self.ratios.get(kind, 1.0)

    def record(self, kind: str, run_ms: float, average_ms: float) -> None:
        """Counts a run of this kind; `average_ms` is the time expected for any kind."""
        if average_ms <= 0:
            return
        if len(self.ratios) >= MAX_KINDS and kind not in self.ratios:
            self.ratios.clear()
        sample = min(MAX_RATIO, max(MIN_RATIO, run_ms / average_ms))
        known = self.ratios.get(kind, sample)
        self.ratios[kind] = known + RATIO_SMOOTHING * (sample - known)


class TargetPace:
    """Pace of one target; times are monotonic ms. `is_known` is false until a response tells it."""

    def __init__(self) -> None:
        self.is_known = False
        self.pace = self.mean = 1.0
        self.told_ms = 0
        self.kinds = KindRatios()

    def record(self, pace: float, now_ms: int) -> None:
        """Takes the pace that a response tells."""
        self.pace, self.told_ms = min(MAX_PACE, max(MIN_PACE, pace)), now_ms
        if not self.is_known:
            self.is_known, self.mean = True, self.pace
        self.mean += MEAN_SMOOTHING * (self.pace - self.mean)

    def factor(self, now_ms: int) -> float:
        """Expected run time relative to the average of normalized run times."""
        if not self.is_known:
            return 1.0
        return aged(self.pace, self.mean, now_ms - self.told_ms)

    def normalized_ms(self, run_ms: float, start_factor: float, now_ms: int) -> float:
        """Run time at the usual pace of a run that ends now.

        `start_factor` is the factor when it started; the pace may have changed meanwhile.
        """
        if not self.is_known:
            return run_ms
        return run_ms / ((start_factor + self.factor(now_ms)) / 2)
