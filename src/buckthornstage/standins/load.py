"""Open-loop load generator: calls start at fixed times, independently of earlier ones.

Latency is measured from the time at which a call was due. A generator that falls behind therefore
reports higher latency instead of offering less load (no coordinated omission).
"""

import collections
import dataclasses
import itertools
import random

import msgspec
import trio
from hdrh import histogram

from buckthornstage import clock
from buckthornstage.http import client, messages
from buckthornstage.standins import artefacts

MAX_IN_FLIGHT = 2_000  # calls; more are counted as "not_offered", which bounds memory in a stall
TIMEOUT_MARGIN_MS = 1_000  # added to a call's deadline to get its timeout
MAX_LATENCY_US = 120_000_000
KEYS_PATH = "/buckthornstage/keys"
FIRST_SEND = (b"buckthornstage-first-send", b"1")


@dataclasses.dataclass(frozen=True)
class Plan:
    """The load to generate; rate in calls per second, times in ms.

    `{n}` in `path` and `body` becomes the number of the call. `key_mode` is "none", "uuid7" or
    "issued". With `repeats` each call is sent again, with the same id and key, to that many
    other nodes in turn. `artefact_bytes` is the size of the artefact at the path, 0 for calls that
    return JSON. Calls use `addresses` in rotation.
    """

    addresses: tuple[str, ...]
    path: str
    rate: float
    duration_ms: int
    method: str = "GET"
    deadline_ms: int = 2_000
    body: str = ""
    headers: messages.Headers = ()
    key_mode: str = "none"
    repeats: int = 0
    artefact_bytes: int = 0
    name: str = "call"


class Results:
    """Latencies of complete responses in us, and the number of calls by outcome.

    `key_outcomes` has the outcomes of each key, `not_run_ids` the ids of calls without a key
    that were reported as not run. Both are compared with the records of the backend servers.
    """

    def __init__(self) -> None:
        self.latency_us = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.repeat_outcomes: collections.Counter[str] = collections.Counter()
        self.offered = 0
        self.elapsed_ms = 0.0
        self.largest_lateness_ms = 0.0
        self.key_outcomes: dict[str, list[str]] = {}
        self.not_run_ids: list[str] = []

    def summary(self) -> dict[str, object]:
        """The results as values for JSON, latencies in ms."""
        values = self.latency_us.get_percentile_to_value_dict([50, 90, 99, 100])
        return {
            "offered": self.offered,
            "whole": self.outcomes["whole"],
            "elapsed_ms": round(self.elapsed_ms),
            "outcomes": dict(self.outcomes),
            "repeat_outcomes": dict(self.repeat_outcomes),
            "latency_ms": {f"p{percent:g}": value / 1000 for percent, value in values.items()},
            "largest_lateness_ms": round(self.largest_lateness_ms, 3),
            "key_outcomes": self.key_outcomes,
            "not_run_ids": self.not_run_ids,
        }


def uuid7(wall_ms: int, source: random.Random) -> str:
    """A UUIDv7 (RFC 9562) for a time in ms since the Unix epoch."""
    value = wall_ms << 80 | 0x7 << 76 | source.getrandbits(12) << 64
    digits = f"{value | 0b10 << 62 | source.getrandbits(62):032x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


class Caller:
    """Makes the calls of one plan and keeps their connections."""

    def __init__(self, plan: Plan, time: clock.Clock, seed: int = 1) -> None:
        self.plan = plan
        self.clock = time
        self.random = random.Random(f"{seed} {time.wall_ms()}")
        self.results = Results()
        self.idle: dict[str, list[client.Connection]] = collections.defaultdict(list)
        self.in_flight = 0

    async def run(self) -> Results:
        """Starts all calls on schedule and waits until the last one has ended."""
        started = trio.current_time()
        count = max(1, round(self.plan.rate * self.plan.duration_ms / 1000))
        async with trio.open_nursery() as nursery:
            for number in range(count):
                due = started + number / self.plan.rate
                await trio.sleep_until(due)
                lateness_ms = (trio.current_time() - due) * 1000
                results = self.results
                results.largest_lateness_ms = max(results.largest_lateness_ms, lateness_ms)
                results.offered += 1
                if self.in_flight >= MAX_IN_FLIGHT:
                    results.outcomes["not_offered"] += 1
                    continue
                nursery.start_soon(self._call, number, due)
        self.results.elapsed_ms = (trio.current_time() - started) * 1000
        for connection in itertools.chain.from_iterable(self.idle.values()):
            await connection.close()
        return self.results

    async def _call(self, number: int, due: float) -> None:
        self.in_flight += 1
        try:
            addresses = self._addresses_from(number)
            request_id = f"{self.plan.name}-{self.random.getrandbits(64):016x}"
            key = await self._new_key(addresses)
            if self.plan.key_mode != "none" and key is None:
                self.results.outcomes["no_key"] += 1
                return
            request = self._request(number, request_id, key)
            first = request
            if key:
                # Allows a node that cannot claim the key to respond with "not run".
                first = dataclasses.replace(request, headers=(*request.headers, FIRST_SEND))
            outcome = await self._attempt(addresses, first, request_id)
            self.results.outcomes[outcome] += 1
            if key:
                self.results.key_outcomes[key] = [outcome]
            elif is_not_run(outcome):
                self.results.not_run_ids.append(request_id)
            if outcome == "whole":
                elapsed_us = int((trio.current_time() - due) * 1e6)
                self.results.latency_us.record_value(min(max(1, elapsed_us), MAX_LATENCY_US))
            for repeat in range(1, self.plan.repeats + 1):
                others = self._addresses_from(number + repeat)
                outcome = await self._attempt(others, request, request_id)
                self.results.repeat_outcomes[outcome] += 1
                if key:
                    self.results.key_outcomes[key].append(outcome)
        finally:
            self.in_flight -= 1

    def _addresses_from(self, number: int) -> list[str]:
        addresses = self.plan.addresses
        start = number % len(addresses)
        return [*addresses[start:], *addresses[:start]]

    def _request(self, number: int, request_id: str, key: str | None) -> messages.Request:
        headers = [
            (b"x-request-id", request_id.encode("ascii")),
            (b"buckthornstage-deadline-ms", str(self.plan.deadline_ms).encode("ascii")),
            *self.plan.headers,
        ]
        if key:
            headers.append((b"idempotency-key", key.encode("ascii")))
        path = self.plan.path.replace("{n}", str(number))
        body = self.plan.body.replace("{n}", str(number)).encode("utf-8")
        return messages.Request(self.plan.method, path, tuple(headers), body)

    async def _new_key(self, addresses: list[str]) -> str | None:
        if self.plan.key_mode == "uuid7":
            return uuid7(self.clock.wall_ms(), self.random)
        if self.plan.key_mode != "issued":
            return None
        response = await self._exchange(addresses, messages.Request("POST", KEYS_PATH))
        if isinstance(response, str) or response.status >= 300:
            return None
        return key_in(response.body)

    async def _attempt(
        self, addresses: list[str], request: messages.Request, request_id: str
    ) -> str:
        response = await self._exchange(addresses, request)
        if isinstance(response, str):
            return response
        if response.status >= 300:
            kind = response.header(b"buckthornstage-error") or f"status_{response.status}"
            return f"{kind}/{response.header(b'buckthornstage-outcome') or 'unknown'}"
        return "whole" if self._has_expected_body(request, response, request_id) else "wrong"

    def _has_expected_body(
        self, request: messages.Request, response: messages.Response, request_id: str
    ) -> bool:
        """Whether the body is the complete response to this request and to no other."""
        size = self.plan.artefact_bytes
        if size:
            return response.body == artefacts.content(request.target, size)
        try:
            decoded = msgspec.json.decode(response.body)
        except msgspec.DecodeError:
            return False
        return isinstance(decoded, dict) and decoded.get("request_id") == request_id

    async def _exchange(
        self, addresses: list[str], request: messages.Request
    ) -> messages.Response | str:
        """Returns the response, or the name of the outcome when there is none.

        Tries the next address only if the connection could not be opened, so that the request
        reached no node, or if the node responded that it is leaving.
        """
        outcome: messages.Response | str = "connect_failed"
        with trio.move_on_after((self.plan.deadline_ms + TIMEOUT_MARGIN_MS) / 1000):
            for address in addresses:
                outcome = await self._exchange_with(address, request)
                is_leaving = (
                    isinstance(outcome, messages.Response)
                    and outcome.header(b"buckthornstage-error") == "leaving"
                )
                if outcome != "connect_failed" and not is_leaving:
                    break
            return outcome
        return "no_answer"

    async def _exchange_with(
        self, address: str, request: messages.Request
    ) -> messages.Response | str:
        try:
            connection = await self._acquire_connection(address)
        except messages.ConnectFailedError:
            return "connect_failed"
        try:
            response = await connection.start(request)
        except messages.StaleConnectionError:
            await connection.close()
            return await self._exchange_with(address, request)
        except messages.HttpError:
            await connection.close()
            return "broken"
        try:
            body = b"".join([chunk async for chunk in response.stream])
        except messages.HttpError:
            return "truncated"
        finally:
            if connection.is_usable:
                self.idle[address].append(connection)
            else:
                await connection.close()
        return dataclasses.replace(response, body=body, stream=None)

    async def _acquire_connection(self, address: str) -> client.Connection:
        """Returns an idle connection that the node has not closed, or a new one."""
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_open_and_idle():
                return connection
            await connection.close()
        return await client.connect(address)


def is_not_run(outcome: str) -> bool:
    """Whether the caller was told that the call did not run."""
    return outcome == "connect_failed" or outcome.endswith("/not-run")


def key_in(body: bytes) -> str | None:
    """The key in a node's response that issues one: plain text or a JSON object."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return text or None
    decoded = msgspec.json.decode(text)
    return decoded.get("key") or decoded.get("idempotency_key")
