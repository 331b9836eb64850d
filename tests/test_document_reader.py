"""Tests of LogFold and checkpoints: lag, restarts, trimmed logs and forged checkpoints."""

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

import tests.strategies_document as documents
from buckthornstage import errors
from buckthornstage.document import acceptance, checkpoints, reader, schema, state
from buckthornstage.history import events
from buckthornstage.protocol import log

MISMATCH = events.EventKind.CHECKPOINT_MISMATCH
LOADED = events.EventKind.CHECKPOINT_LOADED
INITIAL_RECORDS = documents.records(documents.INITIAL_EDITS)[0]


def batch(payloads, first=1, earliest=1, limit=10_000):
    """The log's response to a read from `first`; `payloads` begin at offset 1."""
    first = max(first, earliest)
    found = tuple(
        log.LogRecord(offset, payload)
        for offset, payload in enumerate(payloads, 1)
        if first <= offset < first + limit
    )
    return log.LogBatch(schema.CONFIG_STREAM, earliest, len(payloads), found)


def new_fold(payloads=(), **options):
    """A reader that has folded the payloads."""
    fold = reader.LogFold(documents.ROOT_KEY, documents.SECRET, **options)
    fold.apply(batch(payloads), 0)
    return fold


class LogMachine(stateful.RuleBasedStateMachine):
    """One log and several readers; `expected_states` holds the state of the whole log by offset.

    Each reader must match the expected state at its own offset for any sequence of batches,
    checkpoints, restarts and states of peers. `documents.Oracle` checks acceptance itself.
    """

    def __init__(self):
        super().__init__()
        self.payloads: list[bytes] = []
        self.expected_states = [state.empty()]
        self.earliest = 1
        self.readers = [new_fold() for _ in range(3)]
        self.versions = [0, 0, 0]
        self.oracle = documents.Oracle()
        for edit in documents.INITIAL_EDITS:
            self.publish(edit)

    def _append(self, payload):
        self.payloads.append(payload)
        last = self.expected_states[-1]
        self.expected_states.append(
            acceptance.fold(last, last.last_offset + 1, payload, documents.ROOT_KEY)[0]
        )

    @stateful.rule(edit=documents.edits())
    def publish(self, edit):
        payload = documents.payload(edit, self.oracle)
        reason = self.oracle.apply(edit, len(self.payloads) + 1)
        self._append(payload)
        assert (self.expected_states[-1].version == len(self.payloads)) == (reason is None)

    @stateful.rule(index=strategies.integers(0, 2))
    def append_checkpoint(self, index):
        # It may be stale: a paused reader can append an old checkpoint after it resumes.
        self._append(self.readers[index].make_checkpoint("node"))

    @stateful.rule(index=strategies.integers(0, 2), data=strategies.data())
    def append_false_checkpoint(self, index, data):
        current = self.readers[index].state
        false = msgspec.structs.replace(
            current, version=len(self.payloads), last_offset=len(self.payloads)
        )
        genuine = checkpoints.make(current, "node", documents.SECRET)
        tampered = bytearray(genuine)
        position = data.draw(strategies.integers(0, len(tampered) - 1))
        tampered[position] ^= data.draw(strategies.integers(1, 255))
        forged = checkpoints.make(false, "node", b"another secret of the same length")
        self._append(data.draw(strategies.sampled_from([forged, bytes(tampered)])))

    @stateful.rule(count=strategies.integers(0, 6))
    def trim(self, count):
        self.earliest = min(self.earliest + count, len(self.payloads) + 1)

    @stateful.rule(index=strategies.integers(0, 2), limit=strategies.integers(1, 10))
    def read(self, index, limit):
        fold = self.readers[index]
        self._apply(fold, batch(self.payloads, fold.next_offset, self.earliest, limit))

    @stateful.rule(index=strategies.integers(0, 2), first=strategies.integers(1, 40))
    def receive_late_batch(self, index, first):
        # The response to a read that was sent before the reader's state changed.
        self._apply(self.readers[index], batch(self.payloads, first, self.earliest, 5))

    def _apply(self, fold, received):
        for outcome in fold.apply(received, 0):
            if isinstance(outcome, reader.CheckpointEvent):
                assert outcome.kind == LOADED

    @stateful.rule(index=strategies.integers(0, 2), other=strategies.integers(0, 2))
    def adopt(self, index, other):
        newer = self.readers[other].state
        older = self.readers[index].state
        assert self.readers[index].adopt(newer) == (newer.last_offset > older.last_offset)

    @stateful.rule(index=strategies.integers(0, 2))
    def restart(self, index):
        # A new process has no state, so its version starts at 0.
        self.readers[index] = new_fold()
        self.versions[index] = 0

    @stateful.rule()
    def last_reader_catches_up(self):
        fold = self.readers[2]
        usable = [
            loaded.last_offset
            for payload in self.payloads[self.earliest - 1 :]
            if (loaded := checkpoints.accept(payload, documents.SECRET))
        ]
        start = fold.state.last_offset
        can_start = any(upto + 1 >= self.earliest and upto > start for upto in usable)
        for _ in range(3 * len(self.payloads) + 3):
            self._apply(fold, batch(self.payloads, fold.next_offset, self.earliest, 3))
        is_complete = fold.state.last_offset == len(self.payloads)
        assert is_complete == (start + 1 >= self.earliest or can_start)

    @stateful.invariant()
    def readers_match_the_expected_state(self):
        for index, fold in enumerate(self.readers):
            assert fold.state == self.expected_states[fold.state.last_offset]
            assert fold.state.version >= self.versions[index]
            self.versions[index] = fold.state.version


LogMachine.TestCase.settings = hypothesis.settings(max_examples=100, stateful_step_count=40)
TestLog = LogMachine.TestCase


@hypothesis.given(documents.scenarios(), strategies.data())
def test_verdicts_do_not_depend_on_the_batches(scenario, data):
    payloads = documents.records(scenario)[0]
    whole, parts = new_fold(payloads), new_fold()
    while parts.state.last_offset < len(payloads):
        back = data.draw(strategies.integers(0, 3))
        limit = data.draw(strategies.integers(back + 1, back + 5))
        parts.apply(batch(payloads, max(1, parts.next_offset - back), 1, limit), 0)
    assert list(parts.verdicts) == list(whole.verdicts)
    assert parts.state == whole.state and parts.digests == whole.digests


@hypothesis.given(documents.scenarios())
def test_checkpoint_gives_back_the_whole_state(scenario):
    fold = new_fold(documents.records(scenario)[0])
    assert checkpoints.accept(fold.make_checkpoint("node"), documents.SECRET) == fold.state
    assert checkpoints.accept(fold.make_checkpoint("node"), b"x" * 32) is None


def _checkpoint(current, **changes):
    """An authenticated checkpoint with some fields replaced."""
    made = msgspec.msgpack.decode(
        checkpoints.make(current, "n", documents.SECRET), type=schema.Checkpoint
    )
    unsigned = msgspec.structs.replace(made, mac=b"", **changes)
    mac = checkpoints._mac(unsigned, documents.SECRET)
    return schema.encode_record(msgspec.structs.replace(unsigned, mac=mac))


def test_mismatching_checkpoint_is_reported_and_ignored():
    # Preventing disagreement between nodes on a log prefix is the purpose of this system.
    current = new_fold(INITIAL_RECORDS).state
    other = msgspec.structs.replace(current, version=3)
    record = checkpoints.make(other, "strange", documents.SECRET)
    fold = new_fold(INITIAL_RECORDS)
    (event,) = fold.apply(batch([*INITIAL_RECORDS, record], 5), 0)
    assert (event.kind, event.node, event.upto, event.offset) == (MISMATCH, "strange", 4, 5)
    assert fold.state == msgspec.structs.replace(current, last_offset=5)


@pytest.mark.parametrize(
    "changes",
    [
        {"digest": "0" * 32},
        {"upto": 3},
        {"state": b"\x91" * 3_000},
        {"state": state.encode(msgspec.structs.replace(new_fold(INITIAL_RECORDS).state, rules=2))},
        {"state": state.encode(state.DocumentState(9, last_offset=4))},
    ],
)
def test_checkpoint_with_a_wrong_part_is_never_loaded(changes):
    current = new_fold(INITIAL_RECORDS).state
    if "state" in changes and len(changes["state"]) < 2_000:
        changes = changes | {"digest": state.digest(state.decode(changes["state"]))}
    record = _checkpoint(current, **changes)
    assert checkpoints.accept(record, documents.SECRET) is None
    fold = new_fold()
    assert fold.apply(batch([*INITIAL_RECORDS, record], 1, earliest=5), 0) == []
    assert fold.state == state.empty()


def test_trimmed_reader_takes_the_newest_checkpoint_that_reaches_the_log():
    first = new_fold(INITIAL_RECORDS[:2]).make_checkpoint("n1")
    older = new_fold(INITIAL_RECORDS).make_checkpoint("n4")
    newest = new_fold([*INITIAL_RECORDS, older]).make_checkpoint("n5")
    fold = new_fold()
    payloads = [*INITIAL_RECORDS, older, newest, first, b"junk"]
    event, verdict = fold.apply(batch(payloads, 1, earliest=5), 0)
    assert (event.kind, event.node, event.upto) == (LOADED, "n5", 5)
    assert verdict.offset == 8 and fold.state.version == 4
    # Offsets 3 and 4 are trimmed, so a checkpoint up to 2 would leave a gap.
    fold = new_fold()
    assert fold.apply(batch([*INITIAL_RECORDS, first], 1, earliest=5), 0) == []
    assert fold.state.version == 0 and fold.is_trimmed and fold.next_offset == 6


def test_results_before_an_unknown_record_are_not_lost():
    newer = documents.signed_again(INITIAL_RECORDS[0], "root", rules=2, publish_id="n" * 26)
    fold = new_fold()
    payloads = [*INITIAL_RECORDS, newer, INITIAL_RECORDS[0]]
    assert [verdict.offset for verdict in fold.apply(batch(payloads), 0)] == [1, 2, 3, 4]
    for _ in range(2):
        with pytest.raises(errors.UnknownRulesError):
            fold.apply(batch(payloads, fold.next_offset), 0)
    assert fold.state.last_offset == 4


def test_adopt_refuses_states_that_contradict_the_log_or_this_release():
    fold = new_fold([*INITIAL_RECORDS, b"junk"])
    current = fold.state
    for refused in (
        current,
        state.empty(),
        msgspec.structs.replace(current, version=5, last_offset=9),  # offset 5 was refused here
        msgspec.structs.replace(current, version=9, last_offset=9, rules=2),
        msgspec.structs.replace(current, version=9, last_offset=8),
        msgspec.structs.replace(current, last_offset=9, sections={}),
    ):
        assert not fold.adopt(refused) and fold.state == current
    assert fold.adopt(msgspec.structs.replace(current, last_offset=9)) and fold.next_offset == 10


def test_checkpoint_is_due_after_records_or_time_and_later_for_higher_ranks():
    policy = checkpoints.CheckpointPolicy(records=3, interval_ms=60_000)
    fold = new_fold([*INITIAL_RECORDS], policy=policy)
    assert fold.needs_checkpoint(0, 0)
    assert not fold.needs_checkpoint(checkpoints.REPEAT_MS - 1, 0)  # the append is in flight
    assert fold.needs_checkpoint(checkpoints.REPEAT_MS, 0)  # it was not read back from the log
    payloads = [*INITIAL_RECORDS, fold.make_checkpoint("n")]
    fold.apply(batch(payloads, 5), 20_000)
    assert not fold.needs_checkpoint(79_999, 0)
    assert not fold.needs_checkpoint(80_000, 1)
    assert not fold.needs_checkpoint(81_999, 1)
    assert fold.needs_checkpoint(82_000, 1)


def test_no_checkpoint_of_nothing_or_behind_a_trimmed_log():
    fold = new_fold()
    assert not fold.needs_checkpoint(10**9, 0)
    fold = new_fold(INITIAL_RECORDS)
    fold.apply(batch([*INITIAL_RECORDS, b"", b""], 5, earliest=6), 0)
    assert fold.is_trimmed and not fold.needs_checkpoint(10**9, 0)
