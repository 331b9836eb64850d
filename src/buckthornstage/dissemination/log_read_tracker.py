"""Tracks when the readers of a node's zone last reached the head of the log."""

from buckthornstage.protocol import messages

NEVER = -1


class LogReadTracker:
    """Newest read of the log by each reader. Times are local ms."""

    def __init__(self, node: str, takeover_ms: int, start_ms: int) -> None:
        self.node = node
        self.takeover_ms = takeover_ms
        self.start_ms = start_ms
        self.newest_read_ms: dict[str, int] = {}
        self.own_read_ms: int | None = None

    def on_own_read(self, at_ms: int) -> None:
        """Records that this node reached the head of the log."""
        self.own_read_ms = at_ms
        self.newest_read_ms[self.node] = at_ms

    def on_digest(self, message: messages.Digest, now_ms: int) -> None:
        """Merges the newest read reported by a peer of the own zone."""
        if message.log_heard_age_ms < 0 or message.log_reader == self.node:
            return
        newest_read_ms = now_ms - message.log_heard_age_ms
        known_ms = self.newest_read_ms.get(message.log_reader)
        self.newest_read_ms[message.log_reader] = (
            newest_read_ms if known_ms is None else max(known_ms, newest_read_ms)
        )

    def prune(self, members: set[str]) -> None:
        """Removes readers that are no longer members."""
        self.newest_read_ms = {n: at for n, at in self.newest_read_ms.items() if n in members}

    def silence_ms(self, rank_of: dict[str, int], own_rank: int, now_ms: int) -> int:
        """Time since any reader of a lower rank was last known to have read the log."""
        read_times = (
            at for n, at in self.newest_read_ms.items() if rank_of.get(n, own_rank) < own_rank
        )
        return now_ms - max(read_times, default=self.start_ms)

    def reader_to_report(self, rank_of: dict[str, int], now_ms: int) -> tuple[str, int]:
        """Returns the reader to report to peers and the age of its read in ms.

        The first of: this node, if it read within `takeover_ms`; the lowest rank that did, so that
        nodes that took over learn when a lower rank reads again; the reader with the newest read.
        ("", NEVER) if there was no read.
        """
        if not self.newest_read_ms:
            return "", NEVER
        fresh = [n for n, at in self.newest_read_ms.items() if now_ms - at < self.takeover_ms]
        ranked = [node for node in fresh if node in rank_of]
        if self.node in fresh:
            node = self.node
        elif ranked:
            node = min(ranked, key=rank_of.__getitem__)
        else:
            node = max(sorted(self.newest_read_ms), key=self.newest_read_ms.__getitem__)
        return node, max(0, now_ms - self.newest_read_ms[node])

    def own_read_age_ms(self, now_ms: int) -> int:
        """Age in ms of this node's newest read of the log's head; NEVER without one."""
        return NEVER if self.own_read_ms is None else max(0, now_ms - self.own_read_ms)
