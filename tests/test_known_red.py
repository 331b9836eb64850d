import pathlib

import pytest

import known_red

pytest_plugins = ["pytester"]

LISTED = """
# Comment.
test: test_sample.py::test_red
command: pytest test_sample.py
seen: 1 is not 2,
  on each run
issue: 15

test: none
command: play SITE scale-1 --seed 7
seen: LOST 4 times
issue: 15
"""
SAMPLE = """
import pytest

def test_red():
    assert 1 == 2

def test_other():
    assert {other}
"""


@pytest.fixture
def project(pytester, monkeypatch):
    """A separate project that uses the conftest of this repository."""
    here = pathlib.Path(__file__).parent
    monkeypatch.syspath_prepend(str(here))
    listed = pytester.makefile(".txt", **{"KNOWN-RED": LISTED})
    monkeypatch.setattr(known_red, "load", lambda: known_red.parse(listed.read_text()))
    pytester.makeconftest((here / "conftest.py").read_text(encoding="utf-8"))
    return pytester


def test_entries_are_read():
    first, second = known_red.parse(LISTED)
    assert first.seen == "1 is not 2, on each run"
    assert first.covers("test_sample.py::test_red")
    assert not second.covers("none")


@pytest.mark.parametrize(
    "text",
    [
        "test: a::b\ncommand: c\nseen: d",
        "test: a::b\ncommand: c\nseen: d\nissue: 1\nowner: me",
        "test: a::b\ntest: a::c\ncommand: c\nseen: d\nissue: 1",
        "a::b fails",
        "test: a\ncommand: c\nseen: d\nissue: 1\n\ntest: a\ncommand: c\nseen: d\nissue: 1",
    ],
)
def test_incomplete_entries_are_refused(text):
    with pytest.raises(known_red.KnownRedError):
        known_red.parse(text)


def test_a_listed_failure_passes_and_is_printed(project):
    project.makepyfile(test_sample=SAMPLE.format(other=True))
    result = project.runpytest_inprocess()
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["failed: test_sample.py::test_red: 1 is not 2*issue 15*"])
    result.stdout.fnmatch_lines(["not played here: play SITE scale-1*LOST*"])


def test_a_failure_that_is_not_listed_fails_the_run(project):
    """Guards against a list that hides failures that it does not name."""
    project.makepyfile(test_sample=SAMPLE.format(other=False))
    result = project.runpytest_inprocess()
    assert result.ret == 1
    result.assert_outcomes(failed=1, xfailed=1)


def test_an_entry_without_its_test_fails_the_run(project):
    """Guards against entries that remain after their test was renamed."""
    project.makepyfile(test_sample="def test_green():\n    pass\n")
    result = project.runpytest_inprocess()
    assert result.ret != 0


def test_a_listed_test_that_passes_is_printed(project):
    """Guards against entries that remain unnoticed after the fault is fixed."""
    project.makepyfile(test_sample="def test_red():\n    pass\n")
    result = project.runpytest_inprocess()
    result.stdout.fnmatch_lines(["passed: test_sample.py::test_red:*"])
