"""Compares the responses that callers received with the runs that backend servers recorded."""

import collections
import dataclasses
import pathlib

from buckthornstage.standins import load, run_record

WHOLE = "whole"


@dataclasses.dataclass(frozen=True)
class KeyCheck:
    """Number of keys in some loads, by result; the last three must be 0.

    `ran_again`: keys that ran more than once (I6). `ran_but_denied`: keys that ran although every
    response said "not run" (I5). `acknowledged_without_run`: keys with a correct response that no
    backend server ran.
    """

    keys: int
    acknowledged: int
    ran: int
    ran_again: int
    ran_but_denied: int
    acknowledged_without_run: int

    @property
    def is_clean(self) -> bool:
        """Whether the last three counts are 0."""
        return not (self.ran_again or self.ran_but_denied or self.acknowledged_without_run)


def check_keys(record_path: pathlib.Path, summaries: list[dict]) -> KeyCheck:
    """Compares the responses for all keys of these loads with the runs in the record file."""
    runs = run_record.runs_by_key(record_path)
    outcomes = {
        key: responses
        for summary in summaries
        for key, responses in summary["key_outcomes"].items()
    }
    acknowledged = [key for key, responses in outcomes.items() if WHOLE in responses]
    denied = [key for key, responses in outcomes.items() if all(map(load.is_not_run, responses))]
    return KeyCheck(
        keys=len(outcomes),
        acknowledged=len(acknowledged),
        ran=sum(1 for key in outcomes if runs[key]),
        ran_again=sum(1 for key in outcomes if runs[key] > 1),
        ran_but_denied=sum(1 for key in denied if runs[key]),
        acknowledged_without_run=sum(1 for key in acknowledged if not runs[key]),
    )


def ran_but_denied(record_path: pathlib.Path, summaries: list[dict]) -> int:
    """Number of unkeyed calls that ran although their response said "not run" (I5)."""
    ran = collections.Counter(run.request_id for run in run_record.read(record_path))
    denied = (request_id for summary in summaries for request_id in summary["not_run_ids"])
    return sum(1 for request_id in denied if ran[request_id])
