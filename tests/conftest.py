import os

import hypothesis
import pytest

import known_red

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True, database=None
)
hypothesis.settings.register_profile("dev", deadline=None)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_configure(config):
    config.known_red = known_red.load()
    config.seen_red = {}


def pytest_collection_finish(session):
    """Rejects entries whose test was renamed or removed, because they cover no failure.

    Only checks entries in the collected files, and no run that selects tests by keyword or id.
    """
    files = {item.nodeid.partition("::")[0] for item in session.items}
    ids = {item.nodeid for item in session.items}
    is_whole = not session.config.getoption("keyword") and not any(
        "::" in argument for argument in session.config.args
    )
    for entry in session.config.known_red:
        test_file = entry.test.partition("::")[0]
        is_missing = entry.test not in ids and test_file in files
        if entry.test != known_red.NO_TEST and is_whole and is_missing:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test of this run: {entry.test}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Reports the failure of a listed test as an expected failure, which does not fail the run."""
    report = yield
    entry = next((one for one in item.config.known_red if one.covers(item.nodeid)), None)
    if entry is not None and report.when == "call":
        item.config.seen_red[item.nodeid] = report.outcome
        if report.failed:
            report.outcome, report.wasxfail = "skipped", f"KNOWN-RED.txt, issue {entry.issue}"
    return report


def pytest_terminal_summary(terminalreporter, config):
    if not config.known_red:
        return
    terminalreporter.section("KNOWN-RED.txt")
    for entry in config.known_red:
        is_bench_run = entry.test == known_red.NO_TEST
        outcome = "not played here" if is_bench_run else config.seen_red.get(entry.test, "not run")
        name = entry.command if is_bench_run else entry.test
        terminalreporter.write_line(f"{outcome}: {name}: {entry.seen} (issue {entry.issue})")
