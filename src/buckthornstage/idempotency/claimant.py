"""Batching of claim requests for one partition: inputs and time in, effects out.

A batch is appended `batch_ms` after its first request. The stream is then read forward until the
batch is seen, and the fold up to there names the owners. After a lost answer the stream is read to
its head before the same batch is appended again; a second copy changes nothing.
"""

import dataclasses
import random
from collections.abc import Callable

from buckthornstage.idempotency import claims, keys
from buckthornstage.protocol import log, messages

MAX_CLAIMS_PER_BATCH = 2_000  # about 50 KB
MAX_WAITING = 20_000
READ_LIMIT = 1_000
MAX_FOLDED = 1_500_000  # 150 MB at 101 bytes a key; a node may use 256 MB for control
CATCH_UP_MS = 1_000
RETRY_MS = 100
MAX_RETRY_MS = 1_000  # a fifth of the default claim timeout, so an outage's end is noticed in time


@dataclasses.dataclass(frozen=True)
class Append:
    """Append a record; report by `on_append`, `on_append_refused` or `on_append_lost`."""

    stream: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Read:
    """Read records from `offset` on; report by `on_read` or `on_read_failed`."""

    stream: str
    offset: int
    limit: int


@dataclasses.dataclass(frozen=True)
class Answer:
    """Send a verdict to the node that asked; it may be lost."""

    address: str
    verdict: messages.ClaimVerdict


Effect = Append | Read | Answer


@dataclasses.dataclass(frozen=True)
class _Asked:
    """One request that waits for a verdict until `expires_ms` (monotonic)."""

    address: str
    request_id: int
    key: keys.CallerKey
    owner: claims.Owner
    expires_ms: int


class Claimant:
    """Batcher of one partition. At most one append or read is under way at a time.

    `now_ms` is monotonic time; `wall_ms` is wall time that never runs backwards.
    """

    def __init__(
        self,
        partition: int,
        batch_ms: int,
        timeout_ms: int,
        key_window_ms: int,
        new_batch_id: Callable[[], bytes],
        rng: random.Random,
    ) -> None:
        self.stream = claims.stream_name(partition)
        self.batch_ms = batch_ms
        self.timeout_ms = timeout_ms
        self.key_window_ms = key_window_ms
        self.new_batch_id = new_batch_id
        self.rng = rng
        self.fold = claims.ClaimFold()
        self.asked: dict[tuple[str, bytes], _Asked] = {}
        self.batch: claims.ClaimBatch | None = None
        self.is_appended = False
        self.is_busy = False
        self.is_full = False
        self.next_ms = 0
        self.catch_up_ms = 0
        self.failures = 0

    def request(
        self, address: str, message: messages.ClaimRequest, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        """Takes a request; answers at once when the owner is known already.

        A request for no valid key of the window is ignored. A repeated one waits once.
        """
        key = keys.caller_key(message.key)
        if key is None or self._is_expired(key, wall_ms):
            return []
        if known := self.fold.owner(key.identity):
            return [_answer(address, message.request_id, key, known)]
        if len(self.asked) < MAX_WAITING:
            if not self.asked and self.batch is None:
                self.next_ms = max(self.next_ms, now_ms + self.batch_ms)
            owner = claims.Owner(message.owner_node, message.owner_incarnation)
            expires_ms = now_ms + self.timeout_ms
            asked = _Asked(address, message.request_id, key, owner, expires_ms)
            place = (address, key.identity)
            # A restarted node asks for its new incarnation; the old one can run nothing any more.
            if place not in self.asked or self.asked[place].owner.incarnation < owner.incarnation:
                self.asked[place] = asked
        return []

    def due_ms(self) -> int | None:
        """Monotonic time of the next useful tick; None while a call to the log is under way."""
        if self.is_busy:
            return None
        return self.next_ms if self.asked or self.batch else max(self.catch_up_ms, self.next_ms)

    def tick(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Starts the next append or read when it is due."""
        if self.is_busy or now_ms < self.due_ms():
            return []
        self.fold.prune(wall_ms - self.key_window_ms - keys.KEEP_MARGIN_MS)
        self._drop_expired(now_ms, wall_ms)
        if len(self.fold) >= MAX_FOLDED:
            # Forgetting a claim could give its key a second owner, so no new key is claimed until
            # old ones expire. Known keys are still answered.
            self.next_ms = now_ms + MAX_RETRY_MS
            self.is_full = True
            return []
        self.is_full = False
        if self.batch is None and self.asked:
            self._make_batch()
        self.is_busy = True
        if self.batch is not None and not self.is_appended:
            return [Append(self.stream, claims.encode(self.batch))]
        return [Read(self.stream, self.fold.next_offset, READ_LIMIT)]

    def on_append(self) -> None:
        """The batch is in the log; it is read back next."""
        self._succeeded()
        self.is_appended = True

    def on_append_lost(self, now_ms: int) -> None:
        """The batch may be in the log: it is looked for before it is appended again."""
        self._failed(now_ms)
        self.is_appended = True

    def on_append_refused(self, now_ms: int) -> None:
        """The append had no effect; it is tried again later."""
        self._failed(now_ms)

    def on_read_failed(self, now_ms: int) -> None:
        """The read failed; it is tried again later."""
        self._failed(now_ms)

    def on_read(self, batch: log.LogBatch, now_ms: int, wall_ms: int) -> list[Effect]:
        """Folds records and answers the requests whose keys they decide.

        Raises UnknownRulesError at a record of a newer format; the records before it are folded.
        """
        self._succeeded()
        if self.batch is not None:
            self.next_ms = now_ms
        self.fold.next_offset = max(self.fold.next_offset, batch.earliest)
        for record in batch.records:
            if record.offset < self.fold.next_offset:
                continue
            decoded = claims.decode(record.payload)
            self.fold.apply(record.offset, decoded)
            if self.batch and decoded and decoded.batch_id == self.batch.batch_id:
                self._finish_batch(now_ms)
        if self.fold.next_offset > batch.head:
            self.catch_up_ms = now_ms + CATCH_UP_MS
            if self.batch is not None and self.is_appended:
                # The whole stream was read without the batch: the append had no effect so far.
                self.is_appended = False
                self._failed(now_ms)
        return self._answers(wall_ms)

    def _finish_batch(self, now_ms: int) -> None:
        self.batch = None
        self.is_appended = False
        self.next_ms = now_ms + self.batch_ms

    def _answers(self, wall_ms: int) -> list[Effect]:
        """Verdicts for the requests whose key has an owner; their first claim cannot change."""
        answers: list[Effect] = []
        for place, asked in list(self.asked.items()):
            owner = self.fold.owner(asked.key.identity)
            if owner is None:
                continue
            del self.asked[place]
            # A pause may have let the key expire and its first claim be pruned.
            if not self._is_expired(asked.key, wall_ms):
                answers.append(_answer(asked.address, asked.request_id, asked.key, owner))
        return answers

    def _make_batch(self) -> None:
        claimed: dict[bytes, claims.Owner] = {}
        for asked in self.asked.values():
            if len(claimed) < MAX_CLAIMS_PER_BATCH:
                claimed.setdefault(asked.key.identity, asked.owner)
        self.batch = claims.make_batch(self.new_batch_id(), claimed)
        self.is_appended = False

    def _drop_expired(self, now_ms: int, wall_ms: int) -> None:
        for place, asked in list(self.asked.items()):
            if asked.expires_ms <= now_ms or self._is_expired(asked.key, wall_ms):
                del self.asked[place]
        if not self.asked:
            self.batch = None

    def _is_expired(self, key: keys.CallerKey, wall_ms: int) -> bool:
        """Whether no node accepts the key any more, also one whose clock is a minute behind."""
        return wall_ms - key.created_ms > self.key_window_ms + keys.MAX_FUTURE_MS

    def _succeeded(self) -> None:
        self.is_busy = False
        self.failures = 0

    def _failed(self, now_ms: int) -> None:
        self.is_busy = False
        delay_ms = min(MAX_RETRY_MS, RETRY_MS * 2 ** min(self.failures, 10))
        self.failures += 1
        self.next_ms = now_ms + round(delay_ms * self.rng.uniform(0.5, 1.0))


def _answer(address: str, request_id: int, key: keys.CallerKey, owner: claims.Owner) -> Answer:
    verdict = messages.ClaimVerdict(request_id, key.text, owner.node, owner.incarnation)
    return Answer(address, verdict)
