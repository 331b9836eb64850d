"""What a node knows of its zone's contact with the log."""

from buckthornstage.protocol import messages

NEVER = -1


class LogReadTracker:
    """Newest reads of the log, by the reader that made them. Times are local ms."""

    def __init__(self, node: str, takeover_ms: int, start_ms: int) -> None:
        self.node = node
        self.takeover_ms = takeover_ms
        self.start_ms = start_ms
        self.heard_ms: dict[str, int] = {}
        self.own_read_ms: int | None = None

    def on_own_read(self, at_ms: int) -> None:
        """Notes that this node itself reached the head of the log."""
        self.own_read_ms = at_ms
        self.heard_ms[self.node] = at_ms

    def on_digest(self, message: messages.Digest, now_ms: int) -> None:
        """Takes up what a peer of the own zone knows."""
        if message.log_heard_age_ms < 0 or message.log_reader == self.node:
            return
        heard_ms = now_ms - message.log_heard_age_ms
        known_ms = self.heard_ms.get(message.log_reader)
        self.heard_ms[message.log_reader] = (
            heard_ms if known_ms is None else max(known_ms, heard_ms)
        )

    def prune(self, members: set[str]) -> None:
        """Forgets readers that are no longer members."""
        self.heard_ms = {n: at for n, at in self.heard_ms.items() if n in members}

    def silence_ms(self, rank_of: dict[str, int], own_rank: int, now_ms: int) -> int:
        """Time since any reader of a lower rank was last known to have read the log."""
        heard = (at for n, at in self.heard_ms.items() if rank_of.get(n, own_rank) < own_rank)
        return now_ms - max(heard, default=self.start_ms)

    def reader_to_report(self, rank_of: dict[str, int], now_ms: int) -> tuple[str, int]:
        """The reader to tell peers of, with the age of its read in ms.

        That is this node itself while it reads; else the lowest rank with a fresh read, so that
        ranks which stepped in learn when a lower one is back; without a fresh read the newest
        one; ("", NEVER) without any.
        """
        if not self.heard_ms:
            return "", NEVER
        fresh = [n for n, at in self.heard_ms.items() if now_ms - at < self.takeover_ms]
        ranked = [node for node in fresh if node in rank_of]
        if self.node in fresh:
            node = self.node
        elif ranked:
            node = min(ranked, key=rank_of.__getitem__)
        else:
            node = max(sorted(self.heard_ms), key=self.heard_ms.__getitem__)
        return node, max(0, now_ms - self.heard_ms[node])

    def own_read_age_ms(self, now_ms: int) -> int:
        """Age of this node's own newest read of the head; NEVER without one."""
        return NEVER if self.own_read_ms is None else max(0, now_ms - self.own_read_ms)
