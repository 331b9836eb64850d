"""Claims keys through the batcher of the node's zone, and serves as a batcher for the zone.

The node uses it as follows:

- `ClaimService(...)` gets `batcher(partition, rank) -> control address | None`, which the node
  computes from its member table with `claims.batchers_of`, and `send(address, message)`, which
  enqueues a message without blocking. Messages may be lost, duplicated and delayed. Rank 0 is the
  partition's batcher; higher ranks are asked when it does not respond.
- `on_message(address, message)` is called for every received ClaimRequest and ClaimVerdict, with
  the control address of the sender.
- `run()` is started in a nursery and serves until it is cancelled.
- `follow(partitions)` is called when the table changes, with the partitions for which this node
  has rank 0 or 1. The owners of their keys are then up to date before the first request and
  when the batcher is replaced. A request for another partition is served too: nodes with
  different tables may ask different batchers, which is harmless.
- `claim(key)` is the claim function of `runner.AtMostOnce`.

`partitions` (setting `claim_partitions`) must be the same on every node. It may change only when no
key of the previous key window is in use: a key claimed in two partitions would have two owners.

A message to the node's own address is delivered inside this class and never reaches `send`.
"""

import itertools
import os
import random
from collections.abc import Callable, Collection
from typing import Protocol

import logbook
import trio

from buckthornstage import clock, errors
from buckthornstage.idempotency import claims, keys
from buckthornstage.protocol import log, messages

RESEND_INTERVAL_MS = 300
SENDS_PER_RANK = 3  # the next batcher is asked after 900 ms without a verdict
RANKS = 3
LOG_CALL_TIMEOUT_MS = 5_000
MAX_TICK_INTERVAL_MS = 1_000

_logger = logbook.Logger("claims")


class LogClient(Protocol):
    """The operations of the platform's log that claims need."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record; raises LogUnavailableError or LogResponseLostError."""

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> log.LogBatch:
        """Reads records; raises LogUnavailableError."""


class ClaimService:
    """Claims keys for this node, and batches claims for the nodes of its zone."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        address: str,
        log_client: LogClient,
        time: clock.Clock,
        batcher: Callable[[int, int], str | None],
        send: Callable[[str, messages.Message], None],
        *,
        partitions: int = 4,
        batch_ms: int = 50,
        timeout_ms: int = 5_000,
        key_window_ms: int = keys.KEY_WINDOW_MS,
        rng: random.Random | None = None,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.log_client = log_client
        self.time = time
        self.batcher = batcher
        self.send = send
        self.partitions = partitions
        self.batch_ms = batch_ms
        self.timeout_ms = timeout_ms
        self.key_window_ms = key_window_ms
        self.rng = rng or random.Random()
        self.latest_wall_ms = 0
        self.next_request_id = 1
        self.claim_batchers: dict[int, claims.ClaimBatcher] = {}
        self.followed: frozenset[int] = frozenset()
        self.wake_ups: dict[int, trio.Event] = {}
        self.waiters: dict[str, list[trio.Event]] = {}
        self.verdicts: dict[str, claims.Owner] = {}
        self.nursery: trio.Nursery | None = None

    async def claim(self, key: str) -> tuple[str, int]:
        """Claims a UUIDv7 for this node and returns its owner (node, incarnation).

        Raises LogUnavailableError when no verdict arrives within `timeout_ms`. The claim may
        still be appended then; a later verdict is dropped and starts no run.
        """
        parsed = keys.caller_key(key)
        if parsed is None:
            raise ValueError(f"{key!r} is not a UUIDv7, so it cannot be claimed")
        partition = claims.partition_of(parsed.identity, self.partitions)
        decided = trio.Event()
        waiters = self.waiters.setdefault(parsed.text, [])
        waiters.append(decided)
        self.next_request_id += 1
        request = messages.ClaimRequest(
            self.next_request_id, parsed.text, self.node, self.incarnation
        )
        try:
            with trio.move_on_after(self.timeout_ms / 1000):
                await self._request_verdict(partition, request, decided)
            if not decided.is_set():
                raise errors.LogUnavailableError(
                    f"no verdict from a batcher within {self.timeout_ms} ms; the owner is unknown"
                )
            owner = self.verdicts[parsed.text]
            return owner.node, owner.incarnation
        finally:
            waiters.remove(decided)
            if not waiters:
                del self.waiters[parsed.text]
                self.verdicts.pop(parsed.text, None)

    def on_message(self, address: str, message: messages.Message) -> None:
        """Handles a ClaimRequest or ClaimVerdict from the node at `address`."""
        if isinstance(message, messages.ClaimVerdict):
            self._on_verdict(message)
        elif isinstance(message, messages.ClaimRequest):
            self._on_request(address, message)

    def follow(self, partitions: Collection[int]) -> None:
        """Keeps the owners of the keys of these partitions up to date and drops all others."""
        self.followed = frozenset(partitions)
        for partition in self.followed:
            self._ensure_batcher(partition)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs the batchers of this node until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            try:
                for partition in self.followed:
                    self._ensure_batcher(partition)
                task_status.started()
                await trio.sleep_forever()
            finally:
                self.nursery = None

    async def _request_verdict(
        self, partition: int, request: messages.ClaimRequest, decided: trio.Event
    ) -> None:
        """Resends the request until a verdict arrives, each time to the current batcher."""
        for attempt in itertools.count():
            rank = attempt // SENDS_PER_RANK % RANKS
            address = self.batcher(partition, rank)
            if address is not None:
                self._deliver(address, request)
            with trio.move_on_after(RESEND_INTERVAL_MS / 1000):
                await decided.wait()
                return

    def _on_verdict(self, verdict: messages.ClaimVerdict) -> None:
        """Completes all claims of the key that wait here: a verdict on a key never changes."""
        if verdict.key not in self.waiters:
            return
        owner = claims.Owner(verdict.owner_node, verdict.owner_incarnation)
        self.verdicts.setdefault(verdict.key, owner)
        for event in self.waiters[verdict.key]:
            event.set()

    def _on_request(self, address: str, request: messages.ClaimRequest) -> None:
        parsed = keys.caller_key(request.key)
        if parsed is None or self.nursery is None:
            return
        partition = claims.partition_of(parsed.identity, self.partitions)
        claim_batcher = self._ensure_batcher(partition)
        self._send_verdicts(
            claim_batcher.request(address, request, self.time.now_ms(), self._wall_ms())
        )

    def _deliver(self, address: str, message: messages.Message) -> None:
        if address == self.address:
            self.on_message(address, message)
        else:
            self.send(address, message)

    def _ensure_batcher(self, partition: int) -> claims.ClaimBatcher | None:
        """The batcher of a partition, with its task started; None before `run`."""
        if self.nursery is None:
            return None
        if partition not in self.claim_batchers:
            self.claim_batchers[partition] = claims.ClaimBatcher(
                partition,
                self.batch_ms,
                self.timeout_ms,
                self.key_window_ms,
                lambda: os.urandom(claims.BATCH_ID_BYTES),
                self.rng,
            )
            self.wake_ups[partition] = trio.Event()
            self.nursery.start_soon(self._run_batcher, partition)
        self.wake_ups[partition].set()
        return self.claim_batchers[partition]

    async def _run_batcher(self, partition: int) -> None:
        """Runs one batcher while its partition is followed or has pending requests."""
        claim_batcher = self.claim_batchers[partition]
        while partition in self.followed or claim_batcher.pending:
            effects = claim_batcher.tick(self.time.now_ms(), self._wall_ms())
            if effects:
                await self._call_log(claim_batcher, effects[0])
                continue
            delay_ms = min(
                MAX_TICK_INTERVAL_MS, max(1, claim_batcher.due_ms() - self.time.now_ms())
            )
            self.wake_ups[partition] = trio.Event()
            with trio.move_on_after(delay_ms / 1000):
                await self.wake_ups[partition].wait()
        del self.claim_batchers[partition], self.wake_ups[partition]

    async def _call_log(self, claim_batcher: claims.ClaimBatcher, effect: claims.Effect) -> None:
        try:
            if isinstance(effect, claims.Append):
                await self._append(claim_batcher, effect)
            else:
                with trio.fail_after(LOG_CALL_TIMEOUT_MS / 1000):
                    batch = await self.log_client.read(
                        effect.stream, effect.offset, effect.limit, 0
                    )
                responses = claim_batcher.on_read(batch, self.time.now_ms(), self._wall_ms())
                self._send_verdicts(responses)
        except errors.UnknownRulesError as error:
            _logger.error("{}: no claims until this node is upgraded: {}", effect.stream, error)
            claim_batcher.on_read_failed(self.time.now_ms())
        except (errors.LogError, trio.TooSlowError) as error:
            _logger.debug("{}: read failed: {}", effect.stream, error)
            claim_batcher.on_read_failed(self.time.now_ms())

    async def _append(self, claim_batcher: claims.ClaimBatcher, effect: claims.Append) -> None:
        try:
            with trio.fail_after(LOG_CALL_TIMEOUT_MS / 1000):
                await self.log_client.append(effect.stream, effect.payload)
        except (errors.LogResponseLostError, trio.TooSlowError) as error:
            _logger.debug("{}: no response to an append: {}", effect.stream, error)
            claim_batcher.on_append_lost(self.time.now_ms())
        except errors.LogUnavailableError as error:
            _logger.debug("{}: append refused: {}", effect.stream, error)
            claim_batcher.on_append_refused(self.time.now_ms())
        else:
            claim_batcher.on_append()

    def _send_verdicts(self, responses: list[claims.Effect]) -> None:
        for response in responses:
            self._deliver(response.address, response.verdict)

    def _wall_ms(self) -> int:
        """Wall time that never goes backwards, so that an expired key stays expired."""
        self.latest_wall_ms = max(self.latest_wall_ms, self.time.wall_ms())
        return self.latest_wall_ms
