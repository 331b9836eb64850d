"""Which nodes of a zone read the log: an order that every node computes by itself."""

from collections.abc import Iterable

from buckthornstage.membership import rendezvous

LOG_WAIT_MS = 400
"""Longest long poll of a reader; shorter than `reader_takeover_ms`, as each response of the log
counts as a sign of life of its reader."""


def ordered(zone: str, members: Iterable[str]) -> list[str]:
    """Members of a zone by rendezvous hash; the index of a node is its rank."""
    return rendezvous.ordered(zone, members)


def rank(node: str, zone: str, members: Iterable[str]) -> int:
    """Rank of a node in its zone, from 0; the node itself counts as a member."""
    return ordered(zone, {*members, node}).index(node)


def should_read(own_rank: int, log_readers: int, silence_ms: int, takeover_ms: int) -> bool:
    """Says whether a node of this rank reads the log.

    `silence_ms` is the time since any lower rank was last known to have read the log.
    """
    if own_rank < log_readers:
        return True
    return silence_ms >= takeover_ms * (own_rank - log_readers + 1)
