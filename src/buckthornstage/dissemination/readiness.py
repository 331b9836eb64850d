"""Decides when a started node has a recent enough state to serve calls."""

import dataclasses
import random

from buckthornstage.protocol import messages

REQUEST_RETRY_MS = 500  # between two requests to a peer that has not replied
FIRST_REQUEST_PEERS = 4  # peers queried in the first half of the startup period


@dataclasses.dataclass
class PeerReply:
    """Version reported by a zone peer in reply to a request."""

    version: int


class ReadinessCheck:
    """Collects replies of zone peers until the state is known to be recent enough.

    A node is ready when it has reached a head of the log that it or a zone peer read after the
    node's start; or, with the log down, when at least one zone peer has replied and none of those
    that replied has a greater version. Version 0 is accepted only from the log: a group of nodes
    that started together must not confirm to each other that there is no document.
    """

    def __init__(self, rng: random.Random, startup_peer_ms: int, now_ms: int) -> None:
        self.rng = rng
        self.startup_peer_ms = startup_peer_ms
        self.start_ms = now_ms
        self.is_ready = False
        self.has_log_failed = False
        self.head_version: int | None = None
        """Greatest version known to be at a log head read after the start; None if unknown."""
        self.replies: dict[str, PeerReply] = {}
        self.requests: dict[int, int] = {}
        self.requested_ms: dict[str, int] = {}

    def nonce(self, now_ms: int) -> int:
        """Returns a new nonce for a request; 0 once the node is ready."""
        if self.is_ready:
            return 0
        nonce = 1 + self.rng.getrandbits(31)
        self.requests[nonce] = now_ms
        return nonce

    def on_reply(self, node: str, message: messages.Digest) -> None:
        """Handles a reply of a zone peer; ignores it if no request of this node has its nonce."""
        sent_ms = self.requests.get(message.nonce)
        if self.is_ready or sent_ms is None:
            return
        self.replies[node] = PeerReply(message.version)
        if 0 <= message.log_read_age_ms <= sent_ms - self.start_ms:
            self.on_head(message.version)

    def on_head(self, version: int) -> None:
        """Records a version that was at the head of the log after the start."""
        self.head_version = max(version, self.head_version or 0)

    def check(self, version: int, now_ms: int) -> bool:
        """Whether the node is ready with this version; once True it stays True."""
        if not self.is_ready:
            self.is_ready = self._is_at_head(version) or self._is_newest_in_zone(version, now_ms)
        if self.is_ready:
            self.requests.clear()
        return self.is_ready

    def _is_at_head(self, version: int) -> bool:
        return self.head_version is not None and version >= self.head_version

    def _is_newest_in_zone(self, version: int, now_ms: int) -> bool:
        # A log that neither responds nor fails counts as down after twice the period.
        periods = 1 if self.has_log_failed else 2
        if now_ms - self.start_ms < periods * self.startup_peer_ms or not self.replies:
            return False
        if self.head_version is not None:
            return False
        return 0 < version >= max(reply.version for reply in self.replies.values())

    def needs_log(self, now_ms: int) -> bool:
        """Whether the node reads the log itself because no peer has confirmed the log's head."""
        return not self.is_ready and now_ms - self.start_ms >= self.startup_peer_ms // 2

    def peers_to_query(self, by_rank: list[str], now_ms: int) -> list[str]:
        """Zone peers to query now.

        At first these are the lowest ranks, which read the log; later also all that have not
        replied.
        """
        if self.is_ready:
            return []
        is_late = now_ms - self.start_ms >= self.startup_peer_ms // 2
        candidates = by_rank if is_late else by_rank[:FIRST_REQUEST_PEERS]
        due = [
            node
            for node in candidates
            if now_ms - self.requested_ms.get(node, now_ms - REQUEST_RETRY_MS) >= REQUEST_RETRY_MS
            and (node not in self.replies or node in by_rank[:FIRST_REQUEST_PEERS])
        ]
        self.requested_ms.update((node, now_ms) for node in due)
        return due
