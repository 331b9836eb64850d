"""Stand-in for an application target, as PROTOCOL.md describes it."""

import asyncio
import json
import time

import http1

BEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
QUEUE = 36


class Target:
    """One lifetime of a target. `on_run(attempt_id, service, path)` hears of each run."""

    def __init__(self, ip, port, control, service, zone, instance, record, slots) -> None:
        self.ip, self.port, self.control = ip, port, control
        self.service, self.zone, self.instance, self.slots = service, zone, instance, slots
        self.record = record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self.working: list[str] = []
        """Paths of the requests that run."""
        self.free = asyncio.Semaphore(slots)
        self.runs: list[tuple[float, str, str]] = []
        """Time, id and path of each request that began to run."""
        self.crashes_on = lambda path: False
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.beats: asyncio.Task | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)
        self.beats = asyncio.create_task(self._beat_loop())

    def crash(self) -> None:
        """Ends at once, as a killed process: the listener closes and connections are reset."""
        self.record(f"target {self.instance} ends")
        if self.beats is not None:
            self.beats.cancel()
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        for task in tuple(self.tasks):
            task.cancel()

    def beat_body(self) -> bytes:
        """The next heartbeat; the number rises with each."""
        self.sequence += 1
        body = {
            "address": f"{self.ip}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold_left_s": 0},
        }
        return json.dumps(body).encode()

    async def send_beat(self, body: bytes) -> bool:
        """Sends a heartbeat; whether it was acknowledged."""
        answer = await http1.fetch(
            *self.control,
            f"POST /buckthornstage/Instances.Heartbeat/{self.instance} HTTP/1.1",
            {"Content-Type": "application/json"},
            body,
            ACK_TIMEOUT_S,
        )
        return answer is not None and 200 <= answer.status < 300

    async def _beat_loop(self) -> None:
        while True:
            await self.send_beat(self.beat_body())
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (request := await http1.read_message(reader)) is not None:
                answer = await self._work_or_drop(reader, request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, http1.BrokenError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _work_or_drop(self, reader, request: http1.Message) -> bytes | None:
        """The answer; None if the caller closed the connection, which drops the request."""
        work = asyncio.create_task(self._answer(request))
        gone = asyncio.create_task(_wait_closed(reader))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            return work.result() if work.done() else None
        finally:
            work.cancel()
            gone.cancel()

    async def _answer(self, request: http1.Message) -> bytes:
        attempt = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt, "Instance-Id": self.instance}
        if request.headers.get("expect-instance", self.instance) != self.instance:
            return http1.encode("HTTP/1.1 421 Misdirected Request", headers)
        if self.waiting >= QUEUE:
            return http1.encode("HTTP/1.1 503 Unavailable", {**headers, "Not-Executed": "1"})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        path = request.target
        try:
            self.runs.append((time.monotonic(), attempt, path))
            self.working.append(path)
            self.record(f"run {attempt} {path} at {self.instance} of {self.service}")
            if self.crashes_on(path):
                self.crash()
            await asyncio.sleep(_work_s(path))
        finally:
            self.running -= 1
            self.working.remove(path)
            self.free.release()
        load = f"{self.running},{self.waiting},{self.slots}"
        headers.update({"Response-Seal": f"seal-{attempt}", "Server-Load": load})
        return http1.encode("HTTP/1.1 200 OK", headers, f"{self.service} {attempt}".encode())


def _work_s(path: str) -> float:
    """The path's last part may begin with the time that the work takes: /a/250ms-7."""
    head = path.rpartition("/")[2].partition("ms")[0]
    return int(head) / 1000 if head.isdigit() else 0.03


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Returns when the peer has closed; a caller sends nothing while it waits."""
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.005)
