"""Time that the long responses of each route take from this node to its clients."""

BYTES_PER_MS_PER_MBPS = 125.0
SIZE_SMOOTHING = 0.1  # weight of the newest response in the mean size
MAX_GOAL_FRACTION = 1 / 3
"""Otherwise a few very long responses would leave shorter ones of their route no time at all, and
with none answered the mean size would never fall again."""
LOAD_FACTOR = 1.5
"""Other responses and calls use the link as well; at a third of its rate a transfer takes this
multiple of its time on a free one."""


class TransferTimes:
    """Mean sizes of long responses by route; `link_mbps` is 0 if the rate of the link is unknown,
    and times are then 0."""

    def __init__(self, link_mbps: float) -> None:
        self.sizes: dict[str, float] = {}
        self.set_link(link_mbps)

    def set_link(self, link_mbps: float) -> None:
        """Takes the rate of the link, which reloaded settings may change."""
        self.bytes_per_ms = BYTES_PER_MS_PER_MBPS * link_mbps

    def record(self, route: str, size: int) -> None:
        """Takes the size of a response."""
        known = self.sizes.get(route, size)
        self.sizes[route] = known + SIZE_SMOOTHING * (size - known)

    def expected_ms(self, route: str, goal_ms: int) -> int:
        """Expected time of a transfer, at most `MAX_GOAL_FRACTION` of the goal; 0 before the first
        response of the route."""
        if not self.bytes_per_ms:
            return 0
        expected_ms = LOAD_FACTOR * self.sizes.get(route, 0.0) / self.bytes_per_ms
        return round(min(expected_ms, MAX_GOAL_FRACTION * goal_ms))
