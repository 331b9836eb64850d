"""Model of targets that reject calls although they have free slots, in virtual time.

`python -m buckthornstage.bench.rejection_model` compares the product with a variant that only
lowers a target's success rate. Calls, links and run times are those of `mesh_model`.
"""

import dataclasses
import functools
import itertools
from collections.abc import Callable

import msgspec
from absl import app

from buckthornstage.bench import mesh_model, mesh_patterns
from buckthornstage.demo import report
from buckthornstage.limits import ingress_queue
from buckthornstage.mesh import ingress, ingress_choice
from buckthornstage.routing import ingress_selection, target_trials

REJECTION_MS = 2.0  # from the start of a call to its rejection
FREE = mesh_patterns.Pattern("", lambda second: 0.6)


def _always(share: float) -> Callable[[int, float], float]:
    return lambda target, second: share


def _part(share: float, targets: tuple[int, ...]) -> Callable[[int, float], float]:
    return lambda target, second: share if target in targets and 3 <= second < 11.5 else 0.0


CASES = {
    "one rejects all": _part(1.0, (2,)),
    "one rejects half": _part(0.5, (2,)),
    "two reject 90 %": _part(0.9, (2, 5)),
    "all reject a fifth": _always(0.2),
    "all reject half": _always(0.5),
    "all reject all for 8.5 s": _part(1.0, tuple(range(7))),
}
"""Probability of a rejection by target and second."""
LOADS = (0.6, 0.9, 1.3)


@dataclasses.dataclass
class Rejected:
    """Calls that reached targets, and those of them that were rejected."""

    arrivals: int = 0
    rejected: int = 0


class RejectionModel(mesh_model.Model):
    """Model whose targets reject calls with the probability `share(target, second)`."""

    def __init__(
        self, load: float, share: Callable[[int, float], float], has_trials: bool, seed: int
    ) -> None:
        pattern = dataclasses.replace(FREE, load=lambda second: load)
        super().__init__(pattern, mesh_patterns.Policy.PRODUCT, seed)
        self.share = share
        self.has_trials = has_trials
        self.counts = Rejected()
        for target in self.targets:
            target.state = functools.partial(self._state, target, target.state)

    def _state(self, target, plain, now_ms):
        state = plain(now_ms)
        if not self.has_trials:
            return state
        rejections = target.queue.rejections
        return msgspec.structs.replace(
            state,
            success_rate=state.success_rate * rejections.acceptance,
            is_rejecting=rejections.is_closed(int(now_ms)),
            trial_wait_ms=rejections.trial_wait_ms(int(now_ms)),
        )

    def _choose_target(self, node, call, now_ms):
        candidates = node.candidates(call, now_ms, has_rtt=False)
        due_ms = call.goal_ms if now_ms < call.goal_ms else call.latest_ms
        accepting = target_trials.accepting(candidates)
        uniform = self.random.random
        found = ingress_selection.choose(accepting, due_ms - now_ms, False, uniform)
        if found is None or len(call.tried) >= ingress_choice.MAX_CANDIDATES:
            return None
        if len(accepting) < len(candidates):
            is_full = found[1] > due_ms - now_ms
            found = target_trials.due_trial(candidates, is_full, uniform) or found
        candidate, expected_ms = found
        margin = 1.0 if call.tried else ingress_choice.ESTIMATE_MARGIN
        if expected_ms > margin * (call.latest_ms - now_ms):
            return None
        return self.by_key[candidate.key]

    def _deliver(self, call, target, delay_ms, now_ms):
        if self.has_trials and target.queue.is_withheld(int(now_ms)):
            self._at(now_ms + delay_ms, functools.partial(self._on_refused, call, target))
            return
        super()._deliver(call, target, delay_ms, now_ms)

    def _apply(self, target, decisions, now_ms):
        rejected = [
            ticket
            for ticket in decisions.start
            if self.random.random() < self.share(target.index, now_ms / 1_000)
        ]
        self.counts.arrivals += len(decisions.start)
        self.counts.rejected += len(rejected)
        for ticket in rejected:
            end = functools.partial(self._reject, target, ticket)
            self._at(now_ms + REJECTION_MS, end)
        started = tuple(ticket for ticket in decisions.start if ticket not in rejected)
        super()._apply(target, ingress_queue.Decisions(started, decisions.refuse), now_ms)

    def _end_run(self, target, ticket, is_ok, now_ms):
        if self.has_trials:
            target.queue.rejections.record_response(ticket.started_ms)
        super()._end_run(target, ticket, is_ok, now_ms)

    def _reject(self, target, ticket, now_ms):
        queue = target.queue
        if self.has_trials:
            running = [item.started_ms for item in queue.running if item is not ticket]
            if queue.rejections.record_rejected(ticket.started_ms, int(now_ms), running):
                self._apply(target, queue.refuse_all(now_ms), now_ms)
        else:
            target.success_rate -= ingress.SUCCESS_RATE_SMOOTHING * target.success_rate
        self._apply(target, queue.finish(ticket, int(now_ms), None), now_ms)
        call, _, delay_ms = ticket.payload
        self._at(now_ms + delay_ms, functools.partial(self._on_rejected, call, target))

    def _on_rejected(self, call, target, now_ms):
        """The egress's rule for a call that a target refused: at most two sends, by the budget."""
        self._update_view(call, target, now_ms)
        call.sends += 1
        budget = self._node(call.client).budget
        if call.sends < mesh_model.MAX_SENDS and budget.try_spend(0.0):
            self._send(call, now_ms)
        else:
            call.retry_ms = ingress_choice.MIN_RETRY_MS
            self._end_refused(call, now_ms)


def main(arguments: list[str]) -> int:
    """Prints the table of all cases and loads, without and with trials."""
    del arguments
    lines = []
    for (name, share), load, has_trials in itertools.product(CASES.items(), LOADS, (False, True)):
        model = RejectionModel(load, share, has_trials, mesh_model.SEED.value)
        result = model.simulate(mesh_model.SECONDS.value)
        total = result.in_time + result.late + result.refused + result.failed
        lines.append(
            (
                name,
                f"{load}",
                "trials" if has_trials else "success rate only",
                f"{(result.in_time + result.late) / total:.3f}",
                f"{result.earned_fraction:.3f}",
                f"{model.counts.rejected / max(1, model.counts.arrivals):.3f}",
            )
        )
    header = ("case", "load", "policy", "served", "worth", "rejected")
    print(report.table(header, lines))
    return 0


if __name__ == "__main__":
    app.run(main)
