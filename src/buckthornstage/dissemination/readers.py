"""Selection of the log readers of a zone by a rank that every node computes independently."""

from collections.abc import Iterable

from buckthornstage.membership import rendezvous

LOG_WAIT_MS = 400
"""Long-poll timeout of a reader; shorter than `reader_takeover_ms`, as each response of the log
refreshes the reader's last read."""


def ordered(zone: str, members: Iterable[str]) -> list[str]:
    """Orders the members of a zone by rendezvous hash; a node's index is its rank."""
    return rendezvous.ordered(zone, members)


def rank(node: str, zone: str, members: Iterable[str]) -> int:
    """Rank of a node in its zone, from 0; the node counts even if it is not among `members`."""
    return ordered(zone, {*members, node}).index(node)


def should_read(own_rank: int, log_readers: int, silence_ms: int, takeover_ms: int) -> bool:
    """Whether a node of this rank reads the log.

    `silence_ms` is the time since any lower rank was last known to have read the log.
    """
    if own_rank < log_readers:
        return True
    return silence_ms >= takeover_ms * (own_rank - log_readers + 1)
