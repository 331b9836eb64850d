"""Delivery of a zone's events through a log reader to stream `history`."""

from buckthornstage.history import batches, buffer
from buckthornstage.protocol import effects, messages

SEND_INTERVAL_MS = 1_000
MAX_SEND_INTERVAL_MS = 30_000  # limits resend traffic while the log is down
APPEND_TIMEOUT_MS = 5_000  # an append without a result counts as failed after this time
EVENTS_PER_BATCH = 50


class HistoryRelay:
    """Sends this node's events to a reader; on a reader, appends the zone's events to the log.

    Events keep the incarnation that the process started with, even if that of the member record
    is raised, so that their sequence has no gaps.
    """

    def __init__(self, event_buffer: buffer.EventBuffer, own_address: str, now_ms: int) -> None:
        self.buffer = event_buffer
        self.own_address = own_address
        self.collector = batches.Collector()
        self.next_send_ms = now_ms + SEND_INTERVAL_MS
        self.interval_ms = SEND_INTERVAL_MS
        self.last_sent: tuple[str, int] | None = None
        self.append_deadline_ms = 0

    def on_batch(
        self, sender: messages.Envelope, message: messages.HistoryBatch
    ) -> list[effects.Effect]:
        """Collects the events of a peer."""
        if not message.events:
            return []
        incarnation = message.events[0].incarnation
        return self.collector.receive(sender.sender, incarnation, sender.address, message)

    def on_ack(self, message: messages.HistoryAck) -> None:
        """Removes this node's events that are in the log."""
        if message.incarnation == self.buffer.incarnation:
            self.buffer.acknowledge(message.sequence)

    def tick(self, reader_address: str | None, now_ms: int) -> list[effects.Effect]:
        """Sends this node's events and appends collected ones.

        Events are sent once a second; the interval doubles while the same reader acknowledges none.
        """
        if self.collector.in_flight is not None and now_ms >= self.append_deadline_ms:
            self.collector.append_failed()
        result: list[effects.Effect] = []
        if now_ms >= self.next_send_ms:
            result += self._send(reader_address)
            self.next_send_ms = now_ms + self.interval_ms
        appends = self.collector.tick(now_ms)
        if appends:
            self.append_deadline_ms = now_ms + APPEND_TIMEOUT_MS
        return result + appends

    def _send(self, reader_address: str | None) -> list[effects.Effect]:
        pending = self.buffer.unacknowledged(EVENTS_PER_BATCH)
        if not pending or reader_address is None:
            self.interval_ms = SEND_INTERVAL_MS
            return []
        current = (reader_address, pending[0].sequence)
        is_repeat = current == self.last_sent
        self.interval_ms = (
            min(MAX_SEND_INTERVAL_MS, 2 * self.interval_ms) if is_repeat else SEND_INTERVAL_MS
        )
        self.last_sent = current
        batch = messages.HistoryBatch(pending)
        if reader_address != self.own_address:
            return [effects.Send(reader_address, batch)]
        node, incarnation = self.buffer.node, self.buffer.incarnation
        return self._apply_own_acks(
            self.collector.receive(node, incarnation, self.own_address, batch)
        )

    def on_appended(self, is_confirmed: bool) -> list[effects.Effect]:
        """Acknowledges the events of a confirmed append; otherwise keeps them for the next one."""
        if is_confirmed:
            return self._apply_own_acks(self.collector.appended())
        self.collector.append_failed()
        return []

    def _apply_own_acks(self, sends: list[effects.Effect]) -> list[effects.Effect]:
        for send in sends:
            if send.address == self.own_address:
                self.on_ack(send.message)
        return [send for send in sends if send.address != self.own_address]
