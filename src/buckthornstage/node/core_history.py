"""Way of events from the nodes of a zone through a log reader into stream `history`."""

from buckthornstage.history import batches, buffer
from buckthornstage.protocol import effects, messages

SEND_INTERVAL_MS = 1_000
MAX_SEND_INTERVAL_MS = 30_000  # bounds the bytes of repeats while the log is down
APPEND_TIMEOUT_MS = 5_000  # after this an append without a result counts as failed
EVENTS_PER_BATCH = 50


class HistoryRelay:
    """Sends own events to a reader; as a reader appends those of the zone.

    Events keep the incarnation that the process started with, also when the member record gets a
    greater one, so that their sequence stays without gaps.
    """

    def __init__(self, held: buffer.EventBuffer, own_address: str, now_ms: int) -> None:
        self.buffer = held
        self.own_address = own_address
        self.collector = batches.Collector()
        self.next_send_ms = now_ms + SEND_INTERVAL_MS
        self.interval_ms = SEND_INTERVAL_MS
        self.sent: tuple[str, int] | None = None
        self.append_until_ms = 0

    def on_batch(
        self, sender: messages.Envelope, message: messages.HistoryBatch
    ) -> list[effects.Effect]:
        """Takes the events of a peer."""
        if not message.events:
            return []
        incarnation = message.events[0].incarnation
        return self.collector.receive(sender.sender, incarnation, sender.address, message)

    def on_ack(self, message: messages.HistoryAck) -> None:
        """Forgets own events that are in the log."""
        if message.incarnation == self.buffer.incarnation:
            self.buffer.acknowledge(message.sequence)

    def tick(self, reader_address: str | None, now_ms: int) -> list[effects.Effect]:
        """Sends own events and appends what was collected.

        Events go out once a second; without progress at the same reader the interval doubles.
        """
        if self.collector.in_flight is not None and now_ms >= self.append_until_ms:
            self.collector.append_failed()
        found: list[effects.Effect] = []
        if now_ms >= self.next_send_ms:
            found += self._send(reader_address)
            self.next_send_ms = now_ms + self.interval_ms
        appends = self.collector.tick(now_ms)
        if appends:
            self.append_until_ms = now_ms + APPEND_TIMEOUT_MS
        return found + appends

    def _send(self, reader_address: str | None) -> list[effects.Effect]:
        own = self.buffer.unacknowledged(EVENTS_PER_BATCH)
        if not own or reader_address is None:
            self.interval_ms = SEND_INTERVAL_MS
            return []
        sending = (reader_address, own[0].sequence)
        is_repeat = sending == self.sent
        self.interval_ms = (
            min(MAX_SEND_INTERVAL_MS, 2 * self.interval_ms) if is_repeat else SEND_INTERVAL_MS
        )
        self.sent = sending
        batch = messages.HistoryBatch(own)
        if reader_address != self.own_address:
            return [effects.Send(reader_address, batch)]
        node, incarnation = self.buffer.node, self.buffer.incarnation
        return self._keep_own(self.collector.receive(node, incarnation, self.own_address, batch))

    def on_appended(self, is_confirmed: bool) -> list[effects.Effect]:
        """Acknowledges the events of a confirmed append; otherwise they stay for the next one."""
        if is_confirmed:
            return self._keep_own(self.collector.appended())
        self.collector.append_failed()
        return []

    def _keep_own(self, sends: list[effects.Effect]) -> list[effects.Effect]:
        for send in sends:
            if send.address == self.own_address:
                self.on_ack(send.message)
        return [send for send in sends if send.address != self.own_address]
