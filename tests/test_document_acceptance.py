"""Tests of acceptance against an independent oracle, and with hostile records."""

import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

import tests.strategies_document as documents
from buckthornstage import errors
from buckthornstage.document import acceptance, schema, state, validation


def fold_all(payloads, start=None):
    """State and verdicts after folding the payloads from `start`."""
    current = start or state.empty()
    verdicts = []
    for payload in payloads:
        current, verdict = acceptance.fold(
            current, current.last_offset + 1, payload, documents.ROOT_KEY
        )
        verdicts.append(verdict)
    return current, verdicts


def contents(current):
    """Contents of the sections as plain data, by name."""
    return {name: json.loads(section.body) for name, section in current.sections.items()}


COMPLETE, _ = fold_all(documents.records(documents.INITIAL_EDITS)[0])


@hypothesis.settings(max_examples=300)
@hypothesis.given(documents.scenarios())
def test_verdicts_and_sections_are_those_of_the_oracle(scenario):
    payloads, reasons, oracle = documents.records(scenario)
    current, verdicts = fold_all(payloads)
    assert [verdict.reason for verdict in verdicts] == reasons
    assert [verdict.accepted for verdict in verdicts] == [reason is None for reason in reasons]
    assert current.version == oracle.version and current.last_offset == len(payloads)
    found = {name: section.offset for name, section in current.sections.items()}
    assert found == {name: offset for name, (offset, _) in oracle.sections.items()}
    assert contents(current) == {name: content for name, (_, content) in oracle.sections.items()}


@hypothesis.given(documents.scenarios())
def test_every_state_on_the_way_is_consistent_and_no_version_falls(scenario):
    # Nodes also activate the states between two publishes: each must be consistent, and versions
    # must never decrease.
    current = state.empty()
    for payload in documents.records(scenario)[0]:
        before = current
        current, _ = fold_all([payload], current)
        assert documents.is_consistent(contents(current))
        assert current.version >= before.version
        if current.version == before.version:
            assert state.digest(current) == state.digest(before)


@hypothesis.given(documents.scenarios(), strategies.data())
def test_a_second_copy_of_any_record_changes_nothing(scenario, data):
    payloads = documents.records(scenario)[0]
    hypothesis.assume(payloads)
    current, verdicts = fold_all(payloads)
    copied = data.draw(strategies.integers(0, len(payloads) - 1))
    after, (verdict,) = fold_all([payloads[copied]], current)
    assert state.digest(after) == state.digest(current)
    # Ids of unauthenticated records are not remembered, so a copy fails the same check again.
    first = verdicts[copied].reason
    if first not in ("bad_signature", "unknown_format"):
        assert verdict.reason in ("duplicate_id", "bad_signature")


def test_only_genuine_ids_are_remembered_and_the_newest_256():
    # Otherwise a forger could block a publish by using its id, or evict all other ids.
    forged = [
        documents.signed_again(p, "evil") for p in documents.records(documents.INITIAL_EDITS)[0][1:]
    ]
    current, verdicts = fold_all([*documents.records(documents.INITIAL_EDITS)[0][:1], *forged])
    assert {verdict.reason for verdict in verdicts[1:]} == {"bad_signature"}
    assert current.recent_ids == (acceptance.id_hash("0" * 32),)
    oracle = documents.Oracle()
    stale = documents.Edit("root", "root", "teams", documents.GOOD_TEAMS, base_shift=5)
    many = []
    for offset in range(1, 301):
        many.append(documents.payload(stale, oracle))
        oracle.apply(stale, offset)
    current, _ = fold_all(many)
    assert current.recent_ids == tuple(acceptance.id_hash(f"{n:032d}") for n in range(44, 300))


@hypothesis.given(strategies.permutations([1, 2, 3]), documents.contents("routing"))
def test_of_editors_with_one_base_exactly_the_first_wins(order, content):
    hypothesis.assume(content[1])
    editors = [
        documents.signed_again(
            documents.payload(
                documents.Edit("web", "web", "routing", content[0]), documents.Oracle()
            ),
            "web",
            publish_id=f"editor-{number:026d}",
            base=3,
            author=f"editor {number}",
        )
        for number in order
    ]
    _, verdicts = fold_all(editors, COMPLETE)
    assert [verdict.reason for verdict in verdicts] == [None, "conflict", "conflict"]
    for verdict in verdicts[1:]:
        assert f"editor {order[0]} of team web" in verdict.detail and "offset 5" in verdict.detail


@hypothesis.given(
    strategies.sampled_from(documents.SECTIONS), strategies.sampled_from(["web", "shop"])
)
def test_a_team_changes_only_the_sections_that_it_owns(section, team):
    content = contents(COMPLETE)[section]
    record = documents.payload(documents.Edit(team, team, section, content), documents.Oracle())
    base = COMPLETE.sections[section].offset
    record = documents.signed_again(record, team, base=base, publish_id="x" * 26)
    after, (verdict,) = fold_all([record], COMPLETE)
    is_owner = section in documents.GOOD_TEAMS["teams"][team]["sections"]
    assert verdict.reason == (None if is_owner else "not_owner")
    assert (after.version == 5) == is_owner


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.integers(0, 3), strategies.data())
def test_a_changed_byte_never_leaves_a_record_acceptable(index, data):
    # The signature must cover every field and the encoding itself.
    payloads = documents.records(documents.INITIAL_EDITS)[0]
    before, _ = fold_all(payloads[:index])
    record = bytearray(payloads[index])
    position = data.draw(strategies.integers(0, len(record) - 1))
    record[position] ^= data.draw(strategies.integers(1, 255))
    after, (verdict,) = fold_all([bytes(record)], before)
    assert verdict is not None and not verdict.accepted
    assert verdict.reason in ("malformed", "bad_signature", "unknown_format")
    assert after == msgspec.structs.replace(before, last_offset=index + 1)


HOSTILE = (
    strategies.binary(max_size=200)
    | strategies.integers(1, 5_000).map(lambda n: b"\x91" * n)
    | strategies.integers(1, 5_000).map(lambda n: b"\x81\xa4type" * n)
    | strategies.just(b"\xdf\xff\xff\xff\xff")
    | strategies.just(b"\x00" * (schema.MAX_RECORD_BYTES + 1))
    | strategies.dictionaries(
        strategies.sampled_from(["type", "format", "rules", "team", "signature", "body", "\xe9"]),
        strategies.sampled_from(["publish", "root", b"", b"\xff", 0, 1, 2, -1, 2**64 - 1, None]),
    ).map(msgspec.msgpack.encode)
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(HOSTILE)
def test_no_record_content_raises_or_changes_the_document(payload):
    # An exception in the fold would stop every node at the same offset.
    after, (verdict,) = fold_all([payload], COMPLETE)
    assert verdict is not None and not verdict.accepted
    assert after == msgspec.structs.replace(COMPLETE, last_offset=5)


@pytest.mark.parametrize("changes", [{"format": 2}, {"rules": 2}, {"format": 2, "novel": 1}])
def test_newer_records_stop_the_fold_only_when_they_are_genuine(changes):
    # Otherwise anyone who can append to the log could stop all nodes with a forged record that has
    # a higher `format` or `rules` number.
    record = documents.records(documents.INITIAL_EDITS)[0][0]
    with pytest.raises(errors.UnknownRulesError, match="this release knows 1 and 1"):
        fold_all([documents.signed_again(record, "root", **changes)])
    _, (verdict,) = fold_all([documents.signed_again(record, "evil", **changes)])
    assert verdict.reason == "bad_signature"


def test_a_signature_for_one_team_is_none_for_another():
    record = documents.records(documents.INITIAL_EDITS)[0][0]
    fields = msgspec.msgpack.decode(record)
    _, (verdict,) = fold_all([msgspec.msgpack.encode(fields | {"team": "web"})], COMPLETE)
    assert verdict.reason == "bad_signature" and verdict.team == "web"


def test_the_whole_document_fits_into_one_message():
    # Each section has its own limit, but nodes exchange the whole state in one 1 MiB message.
    name = "/" + "x" * 1000
    routes = [documents.route(f"r{n}", "a", prefix=f"{name}{n}") for n in range(500)]
    record = documents.payload(
        documents.Edit("web", "web", "routing", {"routes": routes}), documents.Oracle()
    )
    record = documents.signed_again(record, "web", base=3, publish_id="y" * 26)
    current, (verdict,) = fold_all([record], COMPLETE)
    assert verdict.accepted
    services = [documents.backend(f"{n:0>63}") for n in range(3_500)]
    services += [documents.backend(service) for service in documents.SERVICES]
    record = documents.payload(
        documents.Edit("web", "web", "backends", {"services": services}), documents.Oracle()
    )
    record = documents.signed_again(record, "web", base=2, publish_id="z" * 26)
    _, (verdict,) = fold_all([record], current)
    assert verdict.reason == "inconsistent" and str(validation.MAX_DOCUMENT_BYTES) in verdict.detail
