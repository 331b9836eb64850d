"""What a node knows of the newest configuration version, for log lines and metrics."""

import dataclasses


@dataclasses.dataclass
class VersionKnowledge:
    """Times are monotonic ms; None before the first."""

    activated_ms: int | None = None
    """When the active version was activated."""
    store_heard_ms: int | None = None
    """When the store last responded to a read of the configurations by this node."""
    announced: int = 0
    """Newest version that a beacon of a peer named."""

    def fields(self, now_ms: int) -> dict[str, int | None]:
        """Ages in ms, and the announced version, as fields of a log line."""
        return {
            "version_age_ms": _age_ms(self.activated_ms, now_ms),
            "store_heard_ms_ago": _age_ms(self.store_heard_ms, now_ms),
            "announced": self.announced,
        }


def _age_ms(since_ms: int | None, now_ms: int) -> int | None:
    return None if since_ms is None else now_ms - since_ms
