"""In-memory log with outages, lost responses, delayed appends and trimming."""

import collections

import trio

from buckthornstage import errors
from buckthornstage.protocol import log


class FakeLog:
    """`faults` queues the outcomes of appends: ok, refused, lost_done, lost_never or late."""

    def __init__(self, delay_ms=2, late_ms=700):
        self.records = collections.defaultdict(list)
        self.times = collections.defaultdict(list)
        self.trimmed = collections.Counter()
        self.faults = collections.deque()
        self.is_down = False
        self.appends = 0
        self.delay_ms = delay_ms
        self.late_ms = late_ms
        self.late = []

    async def append(self, stream, payload):
        await trio.sleep(self.delay_ms / 1000)
        self.appends += 1
        self._apply_due_appends()
        outcome = self.faults.popleft() if self.faults else "ok"
        if self.is_down or outcome == "refused":
            raise errors.LogUnavailableError("the log is down")
        if outcome == "late":
            self.late.append((trio.current_time() + self.late_ms / 1000, stream, payload))
        if outcome in ("ok", "lost_done"):
            self.add(stream, payload)
        if outcome != "ok":
            raise errors.LogResponseLostError("the response was lost")
        return len(self.records[stream])

    async def read(self, stream, offset, limit, wait_ms):
        await trio.sleep(self.delay_ms / 1000)
        self._apply_due_appends()
        if self.is_down:
            raise errors.LogUnavailableError("the log is down")
        kept = self.records[stream]
        first = max(offset, self.trimmed[stream] + 1)
        records = tuple(
            log.LogRecord(number, kept[number - 1])
            for number in range(first, min(len(kept), first + limit - 1) + 1)
        )
        return log.LogBatch(stream, self.trimmed[stream] + 1, len(kept), records)

    def add(self, stream, payload):
        self.records[stream].append(payload)
        self.times[stream].append(trio.current_time())

    def trim(self, retention_s):
        for stream, times in self.times.items():
            old = sum(time < trio.current_time() - retention_s for time in times)
            self.trimmed[stream] = max(self.trimmed[stream], old)

    def _apply_due_appends(self):
        due = [entry for entry in self.late if entry[0] <= trio.current_time()]
        self.late = [entry for entry in self.late if entry not in due]
        for _, stream, payload in due:
            self.add(stream, payload)
