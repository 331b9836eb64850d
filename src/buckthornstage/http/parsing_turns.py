"""Turns of the event loop for the connections of a server whose requests are costly to parse.

The parser takes some microseconds for each chunk and each line of a header, however short they are.
A connection parses a limited number of them, then waits for its turn, of which each pass of the
event loop has one. The other tasks of the process run in between, however many such connections
there are.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from buckthornstage.http import server_connection

EVENTS_PER_TURN = 32
"""Chunks of a body that are parsed in one turn; they take 0.2 to 0.4 ms."""


async def take(own: "server_connection.ServerConnection") -> None:
    """Waits for a turn, in the order of the calls.

    A released lock wakes the next task in the next pass of the event loop.
    """
    own.waits_for_turn = True
    try:
        async with own.server.parsing_lock:
            pass
    finally:
        own.waits_for_turn = False
