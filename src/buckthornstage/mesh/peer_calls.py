"""Calls to the ingresses of other nodes over the link.

Log lines name the egress "caller".
"""

import contextlib
import dataclasses
import errno

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage import errors
from buckthornstage.limits import held_bytes
from buckthornstage.link import connection as link_connection
from buckthornstage.link import frames
from buckthornstage.membership import directory
from buckthornstage.membership import peer as peer_state
from buckthornstage.mesh import events, ingress, metrics, response_memory

SUCCESS_RATE_SMOOTHING = 0.15  # weight of the newest outcome
RETRY_MS = 20  # for an unreachable peer; another ingress is tried at once


@dataclasses.dataclass(eq=False)
class SentCall:
    """A call that was sent on a link connection; `connection` is None before that."""

    connection: link_connection.LinkConnection | None = None
    active_ms: int = 0
    """When the call was sent, or the latest frame of its outcome arrived."""
    hold: held_bytes.CallHold | None = None
    """Memory for the response; None if it is not counted."""

    def is_stalled(self, now_ms: int) -> bool:
        """Whether nothing has arrived for too long, and the peer's machine has not acknowledged all
        that was sent: the connection no longer works, though others to the same peer may."""
        return (
            self.connection is not None
            and now_ms - self.active_ms >= peer_state.LONG_SILENCE_MS
            and self.connection.tcp_stream.unacknowledged_bytes() > 0
        )


class PeerCalls:
    """Sends calls to peers and updates the state of the peers in the directory."""

    def __init__(
        self,
        clock: clocks.Clock,
        peer_directory: directory.Directory,
        pool: link_connection.LinkPool,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
    ) -> None:
        self.clock = clock
        self.directory = peer_directory
        self.pool = pool
        self.log = log
        self.metrics = node_metrics

    async def send_call(
        self, call: frames.Call, address: str, sent: SentCall | None = None
    ) -> ingress.Outcome:
        """Sends the call over the link; it may have run if the connection breaks after that.

        `sent` tells others of its progress meanwhile.
        """
        peer = self.directory.peers[address]
        if peer.ended is not None:
            call = msgspec.structs.replace(call, known_ended=peer.ended)
        sent_ms = self.clock.now_ms()
        peer.sent_ms.append(sent_ms)
        self.directory.watch_for_call(peer)
        try:
            with trio.move_on_at(trio.current_time() + call.deadline_ms / 1000):
                outcome = await self._exchange(call, peer, sent or SentCall(), sent_ms)
                succeeded = isinstance(outcome, frames.Response)
                if succeeded or isinstance(outcome, frames.Failed):
                    peer.success_rate += SUCCESS_RATE_SMOOTHING * (succeeded - peer.success_rate)
                return outcome
        except link_connection.LinkBrokenError as error:
            peer.is_connection_broken = True
            now_ms = self.clock.now_ms()
            self.metrics.count("link_broken", error.cause)
            self.log.emit(
                "caller",
                "link_broken",
                call=call.call_id,
                peer=address,
                problem=str(error),
                after_ms=now_ms - sent_ms,
                unused_ms=error.unused_ms,
                heard_ms_ago=now_ms - peer.heard_ms,
            )
            if not error.was_sent:
                return frames.Refused("unreachable", RETRY_MS, peer.state)
            peer.success_rate += SUCCESS_RATE_SMOOTHING * (0 - peer.success_rate)
            return frames.Failed(f"link broken: {error}", peer.state)
        except response_memory.NoRoomError as error:
            errors.release(error)
            return frames.Failed("no memory for the response", peer.state)
        finally:
            peer.sent_ms.remove(sent_ms)
        return frames.Failed("deadline", peer.state)

    async def _exchange(
        self, call: frames.Call, peer: peer_state.Peer, sent: SentCall, began_ms: int
    ) -> ingress.Outcome:
        address = peer.entry.link_address
        connection = await self.pool.acquire(address, call.deadline_ms)
        is_usable = False
        try:
            connection.set_patience(call.deadline_ms)
            connection.calls += 1
            sent.connection, sent.active_ms = connection, self.clock.now_ms()
            call = _numbered(call, connection.calls, sent.active_ms - began_ms)
            await connection.send(call)
            outcome = await connection.receive(frames.MAX_OUTCOME_BYTES)
            sent.active_ms = self.clock.now_ms()
            if isinstance(outcome, ingress.Outcome):
                if not _is_outcome_of(call, outcome):
                    raise errors.ProtocolError(f"outcome of another call: {outcome.call_id!r}")
                # Newer states that arrive before the rest of a long body must not be overwritten.
                self.directory.update_state(peer, outcome.state, self.clock.now_ms())
            if isinstance(outcome, frames.Response) and outcome.length:
                outcome = await self._read_rest(connection, peer, sent, outcome)
            if not isinstance(outcome, ingress.Outcome):
                raise link_connection.LinkBrokenError(
                    f"{address} closed", True, "closed", connection.unused_ms
                )
            is_usable = outcome.sequence == call.sequence
            return outcome
        except (trio.BrokenResourceError, trio.ClosedResourceError, errors.ProtocolError) as error:
            raise link_connection.LinkBrokenError(
                f"{address}: {error}", True, _cause(error), connection.unused_ms
            ) from error
        finally:
            sent.connection = None
            self.pool.release(connection, is_usable)

    async def _read_rest(
        self,
        connection: link_connection.LinkConnection,
        peer: peer_state.Peer,
        sent: SentCall,
        response: frames.Response,
    ) -> frames.Response | None:
        """The response with its whole body, or None if the stream ends or another frame arrives
        before that."""
        if response.length > response_memory.MAX_RESPONSE_BYTES:
            raise errors.ProtocolError(
                f"response has {response.length} more bytes, above the limit"
            )
        if sent.hold is not None and response.length > response_memory.SMALL_BYTES:
            await _take_room(sent.hold, response.length)
        parts, remaining = [response.body], response.length
        while remaining > 0:
            chunk = await connection.receive(frames.MAX_OUTCOME_BYTES)
            if not isinstance(chunk, frames.Chunk):
                return None
            if not 0 < len(chunk.data) <= remaining:
                raise errors.ProtocolError(f"chunk of {len(chunk.data)} bytes, {remaining} left")
            sent.active_ms = self.clock.now_ms()
            self.directory.record_activity(peer, sent.active_ms)
            parts.append(chunk.data)
            remaining -= len(chunk.data)
            # After its last chunk the peer may have closed; the next read reports any other break.
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await connection.send(frames.ChunkRead())
        return msgspec.structs.replace(response, body=b"".join(parts), length=0)


async def _take_room(hold: held_bytes.CallHold, size: int) -> None:
    """Reserves memory for a response; raises NoRoomError if there is none after a while."""
    with trio.move_on_after(response_memory.MAX_ROOM_WAIT_S):
        await response_memory.take_room(hold, size)
        return
    raise response_memory.NoRoomError(f"no memory for a response of {size} bytes")


def _numbered(call: frames.Call, sequence: int, waited_ms: int) -> frames.Call:
    """The call as it is sent, with the times that are left after the wait for a connection."""
    return msgspec.structs.replace(
        call,
        sequence=sequence,
        goal_ms=call.goal_ms - waited_ms,
        latest_ms=call.latest_ms - waited_ms,
        deadline_ms=call.deadline_ms - waited_ms,
    )


def _cause(error: Exception) -> str:
    """One word for the counter: "timeout" if the peer acknowledged nothing for too long, "reset"
    for another break, "protocol" for bytes that are no outcome of the call."""
    if isinstance(error, errors.ProtocolError):
        return "protocol"
    broken = error.__cause__
    is_timeout = isinstance(broken, OSError) and broken.errno == errno.ETIMEDOUT
    return "timeout" if is_timeout else "reset"


def _is_outcome_of(call: frames.Call, outcome: ingress.Outcome) -> bool:
    """Whether the outcome is certainly the call's own and none that the peer repeats.

    An older release sends no number, and may send no id; nothing is repeated before the first call.
    """
    if not outcome.sequence and call.sequence == 1:
        return outcome.call_id in ("", call.call_id)
    return (outcome.sequence, outcome.call_id) == (call.sequence, call.call_id)
