"""What an ingress has seen of its target's version since a roll-out began, by route.

Counts only grow within one lifetime of a target, so a late report does no harm.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from buckthornstage import decoding

BUCKETS = 24
FIRST_BUCKET_MS = 8
BUCKETS_PER_DOUBLING = 2
"""Two buckets for each doubling of the run time, from 8 ms to 32 s."""
MAX_ROUTES = 8
"""Routes in one report, those with the most failures and the busiest; it then stays below 1,200
bytes."""


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Runs of one route, how many of them failed, and how many took how long."""

    route: decoding.Name
    runs: decoding.Whole = 0
    failures: decoding.Whole = 0
    times: Annotated[
        tuple[decoding.Whole, ...], msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS)
    ] = (0,) * BUCKETS


class Report(msgspec.Struct, frozen=True, array_like=True, tag="rollout"):
    """Evidence of one ingress; `address` and `incarnation` name the process of its node, `lifetime`
    the run of its target, `runs` counts all routes."""

    number: tuple[decoding.Whole, decoding.Whole]
    address: decoding.Address
    incarnation: decoding.Whole
    version: decoding.Name
    lifetime: tuple[decoding.Name, decoding.Whole]
    is_open: bool
    runs: decoding.Whole
    routes: tuple[RouteCounts, ...]

    @property
    def is_consistent(self) -> bool:
        """Whether no route has more failures or measured times than runs."""
        return all(counts.failures + sum(counts.times) <= counts.runs for counts in self.routes)


_decoder = msgspec.msgpack.Decoder(Report)
_MARK = msgspec.msgpack.encode(Report.__struct_config__.tag)


def is_report(payload: bytes) -> bool:
    """Whether a datagram is a report: its first field is the tag."""
    return payload[1 : 1 + len(_MARK)] == _MARK


def encode_report(report: Report) -> bytes:
    """Encodes a datagram."""
    return msgspec.msgpack.encode(report)


def decode_report(payload: bytes) -> Report:
    """Decodes a datagram; raises msgspec.MsgspecError."""
    return decoding.decode(_decoder, payload)


def bucket_of(run_ms: float) -> int:
    """Index of the bucket for a run time."""
    if run_ms <= FIRST_BUCKET_MS:
        return 0
    return min(BUCKETS - 1, int(BUCKETS_PER_DOUBLING * math.log2(run_ms / FIRST_BUCKET_MS)))


class Evidence:
    """Counts of one ingress for one order and one lifetime of its target."""

    def __init__(self, number: tuple[int, int], lifetime: tuple[str, int], version: str) -> None:
        self.number = number
        self.lifetime = lifetime
        self.version = version
        self.runs: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.times: dict[str, list[int]] = {}

    def record(self, route: str, has_failed: bool, run_ms: float | None) -> None:
        """Counts one run; `run_ms` is None if it says nothing about the target."""
        self.runs[route] = self.runs.get(route, 0) + 1
        if has_failed:
            self.failures[route] = self.failures.get(route, 0) + 1
        elif run_ms is not None:
            self.times.setdefault(route, [0] * BUCKETS)[bucket_of(run_ms)] += 1

    def report(self, address: str, incarnation: int, is_open: bool) -> Report:
        """The counts so far; `is_open` tells whether the ingress accepts calls."""
        failing = sorted(self.failures, key=self.failures.get, reverse=True)[: MAX_ROUTES // 2]
        busiest = sorted(set(self.runs) - set(failing), key=self.runs.get, reverse=True)
        return Report(
            self.number,
            address,
            incarnation,
            self.version,
            self.lifetime,
            is_open,
            sum(self.runs.values()),
            tuple(
                RouteCounts(
                    route,
                    self.runs[route],
                    self.failures.get(route, 0),
                    tuple(self.times.get(route, (0,) * BUCKETS)),
                )
                for route in (failing + busiest)[:MAX_ROUTES]
            ),
        )


class Reports:
    """Latest report of each ingress on one order, for a judge."""

    def __init__(self, number: tuple[int, int]) -> None:
        self.number = number
        self.by_lifetime: dict[tuple[str, int, tuple[str, int]], Report] = {}

    def add(self, report: Report) -> None:
        """Takes a report, unless one of the same lifetime has counted more."""
        key = (report.address, report.incarnation, report.lifetime)
        known = self.by_lifetime.get(key)
        if report.number == self.number and (known is None or report.runs >= known.runs):
            self.by_lifetime[key] = report

    def of(self, version: str) -> list[Report]:
        """Reports on targets of the version."""
        return [report for report in self.by_lifetime.values() if report.version == version]

    def of_others(self, version: str) -> list[Report]:
        """Reports on targets of all other versions."""
        return [report for report in self.by_lifetime.values() if report.version != version]


def on_route(reports: Iterable[Report], route: str) -> list[RouteCounts]:
    """Counts of each report that has any on a route."""
    return [counts for report in reports for counts in report.routes if counts.route == route]
