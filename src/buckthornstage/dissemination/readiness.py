"""The rule by which a started node decides that it may serve."""

import dataclasses
import random

from buckthornstage.protocol import messages

REPEAT_MS = 500  # between two requests to a peer that has not answered
FIRST_REQUESTS = 4  # peers asked before the log is taken to be down


@dataclasses.dataclass
class Answer:
    """What a zone peer answered: its version."""

    version: int


class ReadinessCheck:
    """Collects answers of zone peers until the state is known to be recent enough.

    A node is ready when it has reached the log's head as read after its own start, by itself
    or by a zone peer; or, with the log down, when it holds the greatest version among the zone
    peers that answered. Version 0 is taken only from the log: a group of nodes that started
    together must not confirm to each other that there is no document.
    """

    def __init__(self, rng: random.Random, startup_peer_ms: int, now_ms: int) -> None:
        self.rng = rng
        self.startup_peer_ms = startup_peer_ms
        self.start_ms = now_ms
        self.is_ready = False
        self.has_log_failed = False
        self.head_version: int | None = None
        """Version that some log head, read after the start, is known to have."""
        self.answers: dict[str, Answer] = {}
        self.requests: dict[int, int] = {}
        self.asked_ms: dict[str, int] = {}

    def nonce(self, now_ms: int) -> int:
        """A new nonce for a request; 0 once the node is ready."""
        if self.is_ready:
            return 0
        nonce = 1 + self.rng.getrandbits(31)
        self.requests[nonce] = now_ms
        return nonce

    def on_answer(self, node: str, message: messages.Digest) -> None:
        """Takes the answer of a zone peer; others than to a request of this node are ignored."""
        sent_ms = self.requests.get(message.nonce)
        if self.is_ready or sent_ms is None:
            return
        self.answers[node] = Answer(message.version)
        if 0 <= message.log_read_age_ms <= sent_ms - self.start_ms:
            self.on_head(message.version)

    def on_head(self, version: int) -> None:
        """Notes a version that was the newest of the log after the start."""
        self.head_version = max(version, self.head_version or 0)

    def check(self, version: int, now_ms: int) -> bool:
        """Says whether the node is ready with this version; once true it stays true."""
        if not self.is_ready:
            self.is_ready = self._is_at_head(version) or self._is_greatest(version, now_ms)
        if self.is_ready:
            self.requests.clear()
        return self.is_ready

    def _is_at_head(self, version: int) -> bool:
        return self.head_version is not None and version >= self.head_version

    def _is_greatest(self, version: int, now_ms: int) -> bool:
        # A log that neither answers nor fails is taken to be down after twice the period.
        periods = 1 if self.has_log_failed else 2
        if now_ms - self.start_ms < periods * self.startup_peer_ms or not self.answers:
            return False
        if self.head_version is not None:
            return False
        return 0 < version >= max(answer.version for answer in self.answers.values())

    def needs_log(self, now_ms: int) -> bool:
        """Says whether the node reads the log itself because no peer vouched for its head."""
        return not self.is_ready and now_ms - self.start_ms >= self.startup_peer_ms // 2

    def peers_to_ask(self, by_rank: list[str], now_ms: int) -> list[str]:
        """Zone peers to ask now: first the log readers, later everybody that has not answered."""
        if self.is_ready:
            return []
        is_late = now_ms - self.start_ms >= self.startup_peer_ms // 2
        wanted = by_rank if is_late else by_rank[:FIRST_REQUESTS]
        due = [
            node
            for node in wanted
            if now_ms - self.asked_ms.get(node, now_ms - REPEAT_MS) >= REPEAT_MS
            and (node not in self.answers or node in by_rank[:FIRST_REQUESTS])
        ]
        self.asked_ms.update((node, now_ms) for node in due)
        return due
