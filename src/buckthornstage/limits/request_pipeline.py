"""Order and bounds of the requests that one connection has sent and that are not answered yet.

Requests may run at the same time; their responses leave in the order of the requests.
"""

import collections
import dataclasses

MAX_REQUESTS = 8
"""Requests of one connection that run or wait to be answered at the same time."""
MAX_HELD_BYTES = 256 * 1024
"""Responses that wait for an earlier one; above this no further request is started."""


@dataclasses.dataclass(eq=False)
class Entry:
    """A request that was started; `size` is the length of its response in bytes."""

    payload: object
    is_ready: bool = False
    size: int = 0


class RequestPipeline:
    """Started requests in the order in which they were read."""

    def __init__(
        self, max_requests: int = MAX_REQUESTS, max_held_bytes: int = MAX_HELD_BYTES
    ) -> None:
        self.max_requests = max_requests
        self.max_held_bytes = max_held_bytes
        self.entries: collections.deque[Entry] = collections.deque()
        self.held_bytes = 0
        """Size of the responses that are ready and not sent yet."""
        self.is_closing = False
        """Whether the connection ends after the last started request."""

    def may_start(self, may_overlap: bool) -> bool:
        """Whether the next request may start now.

        `may_overlap` is false for a request that must not run beside earlier ones. If an earlier
        response ends the connection, the client sends what follows again.
        """
        if self.is_closing:
            return False
        has_room = len(self.entries) < self.max_requests and self.held_bytes < self.max_held_bytes
        return not self.entries or (may_overlap and has_room)

    def start(self, payload: object) -> Entry:
        """Adds the next request, for which `may_start` was true."""
        entry = Entry(payload)
        self.entries.append(entry)
        return entry

    def complete(self, entry: Entry, size: int) -> None:
        """The response of a request is ready to be sent; `size` is its length in bytes."""
        entry.is_ready, entry.size = True, size
        self.held_bytes += size

    def first_ready(self) -> Entry | None:
        """The oldest request, if its response may be sent now."""
        return self.entries[0] if self.entries and self.entries[0].is_ready else None

    def is_last(self, entry: Entry) -> bool:
        """Whether no later request was started, so that the connection may end after this one."""
        return self.entries[-1] is entry

    def remove_first(self) -> None:
        """Removes the oldest request, whose response was sent."""
        self.held_bytes -= self.entries.popleft().size

    def close(self) -> None:
        """Accepts no further request."""
        self.is_closing = True
