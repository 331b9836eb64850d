import json

import hypothesis
import pytest
from hypothesis import strategies

import keyed_calls
from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.idempotency import endpoint, keys, outcomes

NOW, SECRET, uuid7 = keyed_calls.NOW, keyed_calls.SECRET, keyed_calls.uuid7
KIND = errors.ErrorKind


def _kind(text, now_ms=NOW):
    with pytest.raises(errors.CallError) as caught:
        keys.parse(text, now_ms, SECRET)
    return caught.value.kind


def test_issued_key_names_its_issuer_and_cannot_be_altered():
    text = keys.KeyIssuer("n1", 42, SECRET).issue(NOW)
    parsed = keys.parse(f'"{text}"', NOW + 5, SECRET)
    assert (parsed.node, parsed.incarnation, parsed.created_ms) == ("n1", 42, NOW)
    # The issuer's clock may be ahead: the key is authentic, so a time in the future is no error.
    assert keys.parse(text, NOW - 10**9, SECRET) == parsed
    for index in range(len(text)):
        altered = text[:index] + ("1" if text[index] != "1" else "2") + text[index + 1 :]
        assert _kind(altered) is KIND.BAD_KEY


@hypothesis.given(strategies.text(max_size=250))
def test_any_other_text_is_a_bad_key(text):
    assert _kind(text) is KIND.BAD_KEY


def test_age_of_a_key_decides_between_true_refusals():
    assert keys.parse(uuid7(NOW).upper(), NOW, SECRET).text == uuid7(NOW)
    assert keys.parse(uuid7(NOW), NOW + keys.KEY_WINDOW_MS, SECRET)
    assert _kind(uuid7(NOW), NOW + keys.KEY_WINDOW_MS + 1) is KIND.KEY_EXPIRED
    assert keys.parse(uuid7(NOW + 60_000), NOW, SECRET)
    # A node whose clock is slightly ahead accepts this key and may have run it.
    assert _kind(uuid7(NOW + 60_001)) is KIND.OWNER_UNREACHABLE
    assert _kind(uuid7(NOW + 600_001)) is KIND.BAD_KEY


def test_key_endpoint_issues_a_valid_key_on_post_only():
    issuer = keys.KeyIssuer("n1", 42, SECRET)
    response = endpoint.issue_key(messages.Request("POST", endpoint.PATH), issuer, NOW)
    assert keys.parse(json.loads(response.body)["key"], NOW, SECRET).node == "n1"
    with pytest.raises(errors.CallError):
        endpoint.issue_key(messages.Request("GET", endpoint.PATH), issuer, NOW)


def _key(number, created_ms=NOW):
    return keys.caller_key(uuid7(created_ms, number))


def _run_key(table, number, now_ms=NOW, created_ms=NOW):
    key = _key(number, created_ms)
    assert table.begin(key, 1, now_ms) == outcomes.Run()
    table.finish(key, messages.Response(200, body=b"%d" % number), now_ms)
    return key


def _begin(table, key, now_ms=NOW, request_fingerprint=1):
    try:
        return table.begin(key, request_fingerprint, now_ms)
    except errors.CallError as error:
        return error.kind


FORGOTTEN = outcomes.Completed(outcomes.Failure(KIND.OUTCOME_FORGOTTEN))


def test_outcome_is_held_then_forgotten_but_the_key_never_runs_again():
    table = outcomes.OutcomeTable()
    created_ms = NOW + keys.MAX_FUTURE_MS  # the latest creation time that is accepted
    key = _run_key(table, 7, NOW, created_ms)
    held = outcomes.Completed(messages.Response(200, body=b"7"))
    assert _begin(table, key, NOW + 599_999) == held
    assert _begin(table, key, NOW + 600_000) == FORGOTTEN
    last_ms = created_ms + keys.KEY_WINDOW_MS
    for number in range(1, 26):
        _run_key(table, 100 + number, NOW + number * 3_600_000, NOW + number * 3_600_000)
        if NOW + number * 3_600_000 <= last_ms:
            assert _begin(table, key, NOW + number * 3_600_000) == FORGOTTEN
    assert _begin(table, key, last_ms) == FORGOTTEN
    assert _begin(table, key, last_ms + 1) is KIND.KEY_EXPIRED
    _run_key(table, 99, NOW + 10**9, NOW + 10**9)
    assert len(table) < 27


def test_bounds_forget_outcomes_but_refuse_new_keys():
    table = outcomes.OutcomeTable(max_outcomes=2, max_keys=4)
    known = [_run_key(table, number) for number in range(4)]
    results = [_begin(table, key) for key in known]
    assert results[:2] == [FORGOTTEN, FORGOTTEN] and results[3].result.body == b"3"
    assert _begin(table, _key(9)) is KIND.OVERLOADED
    large = outcomes.OutcomeTable(max_outcome_bytes=600)
    key = _key(1)
    large.begin(key, 1, NOW)
    large.finish(key, messages.Response(200, body=b"x" * 700), NOW)
    assert _begin(large, key) == FORGOTTEN


def test_running_key_makes_repeats_wait_and_an_abandoned_one_is_free():
    table = outcomes.OutcomeTable()
    key = _key(1)
    assert _begin(table, key) == outcomes.Run()
    assert _begin(table, key) == outcomes.Wait()
    assert _begin(table, key, request_fingerprint=2) is KIND.KEY_REUSED
    table.abandon(key)
    assert _begin(table, key, request_fingerprint=2) == outcomes.Run()


def test_fingerprint_separates_the_parts_of_a_request():
    one = outcomes.fingerprint(messages.Request("POST", "/ab", body=b"c"))
    two = outcomes.fingerprint(messages.Request("POST", "/a", body=b"bc"))
    assert one != two
