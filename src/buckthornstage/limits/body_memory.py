"""Bounds the memory of the request bodies that a process holds at the same time."""

BYTES_PER_MB = 1 << 20
OTHER_MEMORY_MB = 60
"""For all else: 31 MB at rest, 18 MB of responses that are read from the target, 10 MB of responses
that wait for clients and peers (`limits.process_memory`), and buffers."""


class BodyMemory:
    """Counts the bytes of request bodies that are received or held, up to a limit.

    `limit_bytes` is None if the memory of the process is unknown; then nothing is refused. The
    bytes count in `pool` too, which several kinds of buffered bytes share.
    """

    def __init__(self, limit_bytes: int | None = None, pool: "BodyMemory | None" = None) -> None:
        self.limit_bytes = limit_bytes
        self.pool = pool
        self.used_bytes = 0

    def take(self, size: int) -> bool:
        """Reserves bytes; False, with nothing reserved, if the limit does not allow them."""
        if self.limit_bytes is not None and self.used_bytes + size > self.limit_bytes:
            return False
        if self.pool is not None and not self.pool.take(size):
            return False
        self.used_bytes += size
        return True

    def add(self, size: int) -> None:
        """Counts bytes that are held already, also above the limit."""
        self.used_bytes += size
        if self.pool is not None:
            self.pool.add(size)

    def give_back(self, size: int) -> None:
        """Releases reserved bytes."""
        self.used_bytes -= size
        if self.pool is not None:
            self.pool.give_back(size)


class Reservation:
    """What one connection or call has reserved of a BodyMemory for the body that it receives or
    holds."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.taken_bytes = 0

    def take(self, size: int) -> bool:
        """Reserves further bytes; False, with nothing more reserved, if there is no room."""
        if not self.memory.take(size):
            return False
        self.taken_bytes += size
        return True

    def hand_over(self) -> int:
        """Leaves the reserved bytes to the caller, who gives them back; returns how many."""
        taken_bytes, self.taken_bytes = self.taken_bytes, 0
        return taken_bytes

    def give_back(self) -> None:
        """Releases what is reserved."""
        self.memory.give_back(self.hand_over())


def left_bytes(memory_mb: float) -> int:
    """What a process of this size has for bodies of requests, beside all else."""
    return max(0, int((memory_mb - OTHER_MEMORY_MB) * BYTES_PER_MB))
