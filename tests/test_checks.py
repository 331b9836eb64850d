from buckthornstage import clock
from buckthornstage.demo import checks
from buckthornstage.standins import run_record


def _record(path, *keys_and_ids):
    record = run_record.RunRecord(path)
    for key, request_id in keys_and_ids:
        now_ms = clock.Clock().wall_ms()
        record.start(run_record.Run(now_ms, "127.0.0.1:1", "POST", "/deposits", key, request_id))


def test_violations_of_key_guarantees_are_found(tmp_path):
    # The failure tests check I5 (no run after a "not run" response) and I6 (no second run of a key)
    # with these counts.
    path = tmp_path / "runs"
    _record(path, ("twice", ""), ("twice", ""), ("denied", ""), ("fine", ""))
    summary = {
        "key_outcomes": {
            "twice": ["whole", "whole"],
            "denied": ["log_unavailable/not-run", "connect_failed"],
            "fine": ["overloaded/not-run", "whole"],
            "invented": ["whole"],
            "unknown": ["broken", "no_target/not-run"],
        }
    }
    found = checks.check_keys(path, [summary])
    assert found == checks.KeyCheck(5, 3, 3, 1, 1, 1)
    assert not found.is_clean


def test_run_of_a_call_with_a_not_run_response_is_found(tmp_path):
    path = tmp_path / "runs"
    _record(path, ("", "a"), ("", "b"))
    with path.open("ab") as file:
        file.write(b'{"at_ms": 1, "server": "cut off by a ki')
    assert checks.ran_but_denied(path, [{"not_run_ids": ["b", "c"]}]) == 1
