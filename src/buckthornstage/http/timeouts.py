"""Time limits of the connections of a server."""

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from buckthornstage.http import server_connection


class TimeoutMonitor:
    """Closes connections whose peer sends too slowly or is idle.

    Deadlines are checked once a second for all connections; a timer per connection would cost
    more.
    """

    def __init__(self) -> None:
        self.elapsed_seconds = 0
        self.open_connections: set[server_connection.ServerConnection] = set()

    async def run(self) -> None:
        """Closes connections whose deadline has passed; runs until cancelled."""
        started = trio.current_time()
        while True:
            await trio.sleep(1)
            self.elapsed_seconds = int(trio.current_time() - started)
            self._end_overdue()

    def _end_overdue(self) -> None:
        # In `run` the loop variable would keep the last connection alive during the next wait.
        for connection in self.open_connections:
            if connection.is_overdue(self.elapsed_seconds):
                connection.end_overdue()
