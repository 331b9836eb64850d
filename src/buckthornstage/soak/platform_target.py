"""Target of the soak: runs calls, announces itself to its node, leaves and crashes on request."""

import contextlib
import dataclasses

import msgspec
import trio

from buckthornstage.http import client, messages
from buckthornstage.soak import judge, record

RUN_MS = {True: 40, False: 60}
"""Run time of safe and of other calls."""
SLOTS = 6
HEARTBEAT_MS = 500
SERVES_AFTER_LEAVING_MS = 3_000
READ_BYTES = 65_536
SECOND_ANSWER_DELAY_MS = 5
LIMIT_PER_S = 10.0
CLOCK_START_MS = 1_000_000
INSTANCE_HEADER = "Soak-Instance"
"""Tells callers which lifetime has responded; nodes pass it on as any other header."""


@dataclasses.dataclass(eq=False)
class Target:
    """One backend server; a new lifetime follows each crash or end."""

    service: str
    index: int
    found: record.Record
    now_ms: object
    control_address: str = ""
    address: str = ""
    announced_address: str = ""
    """Where its node sends calls: the proxy before it."""
    lifetime: int = 0
    born_ms: int = CLOCK_START_MS
    """When the lifetime started, by the clock of its VM."""
    clock_offset_ms: int = 0
    """By how much the clock of its VM is off."""
    sequence: int = 0
    is_leaving: bool = False
    loses_answers: bool = False
    sends_second_answers: bool = False
    tells_leave: bool = False
    """Whether its responses say that it leaves."""
    limits: int = 0
    """Number of faults that make it name a limit in its responses."""
    running: list[record.Ran] = dataclasses.field(default_factory=list)
    streams: set = dataclasses.field(default_factory=set)

    @property
    def instance(self) -> str:
        """Id of the current lifetime."""
        return f"i-{self.index}-{self.lifetime}"

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves calls and announces itself until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def crash(self) -> None:
        """Ends all calls and begins a new lifetime that has announced nothing yet."""
        for ran in self.running:
            self._end(ran)
        self.lifetime += 1
        self.born_ms = CLOCK_START_MS + self.now_ms() + self.clock_offset_ms
        self.sequence, self.is_leaving, self.running = 0, False, []
        self.tells_leave, self.limits = False, 0
        for stream in tuple(self.streams):
            stream.socket.close()

    async def leave(self) -> None:
        """Announces that it is leaving, serves on for a while, and is replaced."""
        lifetime, self.is_leaving = self.lifetime, True
        await self.announce()
        await trio.sleep(SERVES_AFTER_LEAVING_MS / 1_000)
        if self.lifetime == lifetime:
            self.crash()

    async def tell_leave(self) -> None:
        """Says in its responses only that it is leaving, serves on, and is replaced."""
        lifetime, self.tells_leave = self.lifetime, True
        await trio.sleep(SERVES_AFTER_LEAVING_MS / 1_000)
        if self.lifetime == lifetime:
            self.crash()

    async def name_limit(self, seconds: float) -> None:
        """Names a limit in its responses for a time, or until it is replaced."""
        lifetime, instance, began_ms = self.lifetime, self.instance, self.now_ms()
        self.limits += 1
        with trio.move_on_after(seconds):
            while self.lifetime == lifetime:
                await trio.sleep(0.05)
        self.found.limits.append(record.Limited(began_ms, self.now_ms(), instance, LIMIT_PER_S))
        if self.lifetime == lifetime:
            self.limits -= 1

    async def run_announcements(self) -> None:
        """Announces itself regularly until cancelled."""
        while True:
            await self.announce()
            await trio.sleep(HEARTBEAT_MS / 1_000)

    async def announce(self) -> None:
        """Sends one announcement; a failed one is repeated with the next."""
        self.sequence += 1
        lifetime, is_leaving, born_ms = self.lifetime, self.is_leaving, self.born_ms
        body = {
            "address": self.announced_address,
            "info": {"service": self.service, "version": "v1", "zone": "z", "slots": SLOTS},
            "status": {
                "state": "draining" if is_leaving else "ready",
                "sequence": self.sequence,
                "cold_left_s": 0,
            },
            "born": born_ms,
        }
        path = f"/buckthornstage/Instances.Heartbeat/i-{self.index}-{lifetime}"
        request = messages.Request("POST", path, body=msgspec.json.encode(body))
        with contextlib.suppress(messages.HttpError):
            response = await client.fetch(self.control_address, request, 1_000)
            if is_leaving and response.status == 200:
                instance = f"i-{self.index}-{lifetime}"
                self.found.leaves.append(record.LeaveAcknowledged(self.now_ms(), instance))

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.streams.add(stream)
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = await stream.receive_some(READ_BYTES)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                if not await self._run(stream, head.decode("latin-1")):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
        finally:
            self.streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def _run(self, stream: trio.SocketStream, head: str) -> bool:
        """Runs one call without a body; returns whether the connection is still in use."""
        lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        call_id = fields["attempt-id"]
        if fields.get("expect-instance") != self.instance:
            await stream.send_all(_response(421, call_id, b"", "Not-Executed: 1\r\n"))
            return True
        if len(self.running) >= SLOTS:
            refusal = f"Not-Executed: 1\r\n{self._notices()}"
            await stream.send_all(_response(503, call_id, b"", refusal))
            return True
        lifetime = self.lifetime
        ran = record.Ran(
            self.now_ms(),
            call_id,
            self.instance,
            self.service,
            self.index,
            fields.get("tenant", ""),
            "authorization" in fields,
        )
        self.found.ran.append(ran)
        self.running.append(ran)
        try:
            await trio.sleep(RUN_MS["/read/" in lines[0]] / 1_000)
        finally:
            if self.lifetime == lifetime:
                self.running.remove(ran)
                self._end(ran)
        if self.lifetime != lifetime or self.loses_answers:
            return False
        head = f"Response-Seal: s\r\n{self._notices()}"
        answer = _response(200, call_id, judge.expected_body(call_id), head)
        await stream.send_all(answer)
        if self.sends_second_answers:
            await trio.sleep(SECOND_ANSWER_DELAY_MS / 1_000)
            await stream.send_all(answer)
        return True

    def _end(self, ran: record.Ran) -> None:
        self.found.run_ends.append(record.RunEnded(self.now_ms(), ran))

    def _notices(self) -> str:
        """Header lines in which the target speaks of itself."""
        lines = [f"{INSTANCE_HEADER}: {self.instance}\r\n"]
        if self.tells_leave:
            lines.append("Server-Leaving: 1\r\n")
        if self.limits:
            lines.append(f"Server-Limit: {LIMIT_PER_S}\r\n")
        return "".join(lines)


def _response(status: int, call_id: str, body: bytes, extra: str) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nAttempt-Id: {call_id}\r\nContent-Length: {len(body)}\r\n"
    return f"{head}{extra}\r\n".encode() + body
