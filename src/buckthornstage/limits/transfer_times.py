"""Time that the long responses of each route take from this node to its clients."""

BYTES_PER_MS_PER_MBPS = 125.0
SIZE_SMOOTHING = 0.1  # weight of the newest response in the mean size
LOAD_FACTOR = 1.5
"""Other responses and calls use the link as well; at a third of its rate a transfer takes this
multiple of its time on a free one."""


class TransferTimes:
    """Mean sizes of long responses by route; `link_mbps` is 0 if the rate of the link is unknown,
    and times are then 0."""

    def __init__(self, link_mbps: float) -> None:
        self.bytes_per_ms = BYTES_PER_MS_PER_MBPS * link_mbps
        self.sizes: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Takes the size of a response."""
        known = self.sizes.get(route, size)
        self.sizes[route] = known + SIZE_SMOOTHING * (size - known)

    def expected_ms(self, route: str) -> int:
        """Expected time of a transfer; 0 before the first response of the route."""
        if not self.bytes_per_ms:
            return 0
        return round(LOAD_FACTOR * self.sizes.get(route, 0.0) / self.bytes_per_ms)
