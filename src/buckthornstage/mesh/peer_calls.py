"""Calls to the ingresses of other nodes over the link, and what they show of those nodes.

Log lines name the egress "caller".
"""

import contextlib

import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.link import connection as link_connection
from buckthornstage.link import frames
from buckthornstage.membership import directory
from buckthornstage.mesh import events, ingress, response_memory

SUCCESS_RATE_SMOOTHING = 0.15
RETRY_MS = 20  # for a peer that could not be reached; another ingress is tried at once


class PeerCalls:
    """Sends calls to peers and keeps the directory's picture of them."""

    def __init__(
        self,
        clock: clocks.Clock,
        known: directory.Directory,
        pool: link_connection.LinkPool,
        log: events.EventLog,
    ) -> None:
        self.clock = clock
        self.directory = known
        self.pool = pool
        self.log = log

    async def ask(self, call: frames.Call, address: str) -> ingress.Outcome:
        """Sends the call over the link; a break after that may have let it run."""
        peer = self.directory.peers[address]
        sent_ms = self.clock.now_ms()
        peer.sent_ms.append(sent_ms)
        try:
            with trio.move_on_at(trio.current_time() + call.deadline_ms / 1000):
                outcome = await self._exchange(call, peer)
                is_good = isinstance(outcome, frames.Response)
                if is_good or isinstance(outcome, frames.Failed):
                    peer.success_rate += SUCCESS_RATE_SMOOTHING * (is_good - peer.success_rate)
                return outcome
        except link_connection.LinkBrokenError as error:
            peer.is_avoided = True
            self.log.emit(
                "caller", "link_broken", call=call.call_id, peer=address, problem=str(error)
            )
            if not error.was_sent:
                return frames.Refused("unreachable", RETRY_MS, peer.state)
            peer.success_rate += SUCCESS_RATE_SMOOTHING * (0 - peer.success_rate)
            return frames.Failed(f"link broken: {error}", peer.state)
        finally:
            peer.sent_ms.remove(sent_ms)
        return frames.Failed("deadline", peer.state)

    async def _exchange(self, call: frames.Call, peer: directory.Peer) -> ingress.Outcome:
        address = peer.entry.link_address
        connection = await self.pool.acquire(address)
        is_usable = False
        try:
            await connection.send(call)
            outcome = await connection.receive(frames.MAX_OUTCOME_BYTES)
            if isinstance(outcome, ingress.Outcome):
                # The rest of a long body may take longer than newer reports.
                self.directory.reported(peer, outcome.state, self.clock.now_ms())
            if isinstance(outcome, frames.Response) and outcome.length:
                outcome = await self._with_rest(connection, peer, outcome)
            if not isinstance(outcome, ingress.Outcome):
                raise link_connection.LinkBrokenError(f"{address} closed", was_sent=True)
            is_usable = True
            return outcome
        except (trio.BrokenResourceError, trio.ClosedResourceError, errors.ProtocolError) as error:
            raise link_connection.LinkBrokenError(f"{address}: {error}", was_sent=True) from error
        finally:
            self.pool.release(connection, is_usable)

    async def _with_rest(
        self,
        connection: link_connection.LinkConnection,
        peer: directory.Peer,
        response: frames.Response,
    ) -> frames.Response | None:
        """The response with the rest of its body, or None when the link ended before that."""
        if response.length > response_memory.MAX_RESPONSE_BYTES:
            raise errors.ProtocolError(f"answer of {response.length} more bytes is above the limit")
        parts, missing = [response.body], response.length
        while missing > 0:
            chunk = await connection.receive(frames.MAX_OUTCOME_BYTES)
            if not isinstance(chunk, frames.Chunk):
                return None
            if not 0 < len(chunk.data) <= missing:
                raise errors.ProtocolError(f"piece of {len(chunk.data)} bytes, {missing} missing")
            self.directory.alive(peer, self.clock.now_ms())
            parts.append(chunk.data)
            missing -= len(chunk.data)
            # A peer that has sent everything may have gone; reading on reports any other break.
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await connection.send(frames.ChunkRead())
        return frames.Response(
            response.status, response.headers, b"".join(parts), 0, response.state, response.run_ms
        )
