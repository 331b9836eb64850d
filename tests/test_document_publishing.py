"""Tests of publishing when the log loses messages, refuses or is unavailable at any point."""

import enum

import hypothesis
import pytest
import trio
from hypothesis import strategies

import tests.strategies_document as documents
import tests.test_document_acceptance as acceptance_tests
from buckthornstage import errors
from buckthornstage.document import publishing, schema
from buckthornstage.protocol import log


class Fault(enum.Enum):
    """Outcome of one request; a late append takes effect before the next append."""

    NONE = "none"
    REFUSED = "refused"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    LATE = "lost, takes effect later"


class FaultyLog:
    """In-memory log; each request consumes one fault, and later requests succeed."""

    def __init__(self, faults, others):
        self.faults = list(faults)
        self.others = others  # payloads that other publishers append between requests
        self.payloads = [*_initial_records()]
        self.late = []

    def _next_fault(self):
        if self.others:
            self.payloads.append(self.others.pop())
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.REFUSED:
            raise errors.LogUnavailableError("503")
        return fault

    async def append(self, stream, payload):
        fault = self._next_fault()
        self.payloads += self.late
        self.late = []
        if fault is Fault.LATE:
            self.late.append(payload)
        elif fault is not Fault.LOST_BEFORE:
            self.payloads.append(payload)
        if fault is not Fault.NONE:
            raise errors.LogResponseLostError("connection broke")
        return len(self.payloads)

    async def read(self, stream, offset, limit, wait_ms):
        if self._next_fault() is not Fault.NONE:
            raise errors.LogUnavailableError("no response")
        found = enumerate(self.payloads, 1)
        chosen = [log.LogRecord(n, payload) for n, payload in found if n >= offset][:limit]
        return log.LogBatch(stream, 1, len(self.payloads), tuple(chosen))


def _initial_records():
    """Records of a complete document, with which the log begins."""
    return documents.records(documents.INITIAL_EDITS)[0]


def _publish():
    return publishing.build(
        schema.SectionName.ROUTING,
        b'{"routes":[]}',
        base=3,
        team="web",
        author="Ana",
        published_at_ms=1,
        key=documents.KEYS["web"],
    )


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(Fault), max_size=8),
    strategies.lists(strategies.just(b"another record"), max_size=6),
)
def test_the_offset_returned_is_the_one_that_took_effect(faults, others):
    # The offset of a second copy would report duplicate_id for an accepted edit.
    faulty, record = FaultyLog(faults, others), _publish()
    payload = schema.encode_record(record)
    try:
        offset = trio.run(publishing.publish, faulty, record)
    except errors.LogUnavailableError:
        assert payload not in [*faulty.payloads, *faulty.late]
        return
    except errors.LogResponseLostError as error:
        assert record.publish_id in str(error)
        return
    assert faulty.payloads[offset - 1] == payload
    _, verdicts = acceptance_tests.fold_all(faulty.payloads + faulty.late)
    own = [verdict for verdict in verdicts if verdict.publish_id == record.publish_id]
    assert [verdict.offset for verdict in own if verdict.accepted] == [offset]
    assert {verdict.reason for verdict in own} <= {None, "duplicate_id"}


@hypothesis.given(strategies.integers(0, 300))
def test_an_append_that_took_effect_is_not_repeated(others):
    # The search must continue past all records that others appended in the meantime.
    faulty, record = FaultyLog([Fault.NONE, Fault.LOST_AFTER], []), _publish()
    faulty.payloads += [b"another record"] * others
    assert trio.run(publishing.publish, faulty, record) == 5 + others
    assert faulty.payloads.count(schema.encode_record(record)) == 1


def test_pauses_between_failed_attempts_and_gives_up_with_the_id():
    delays = []

    async def sleep(duration_ms):
        delays.append(duration_ms)

    faulty = FaultyLog([Fault.NONE, Fault.LATE, *[Fault.REFUSED] * 3], [])
    record = _publish()
    with pytest.raises(errors.LogResponseLostError, match=record.publish_id):
        trio.run(publishing.publish, faulty, record, sleep, 3)
    assert delays == [publishing.RETRY_DELAY_MS] * 3


def test_check_refuses_what_nodes_would_call_malformed():
    with pytest.raises(errors.DocumentError, match="author"):
        publishing.check(schema.Publish(**{**_fields(), "author": "a\x1b[2J"}))
    publishing.check(schema.Publish(**_fields()))


def _fields():
    record = _publish()
    return {name: getattr(record, name) for name in record.__struct_fields__}
