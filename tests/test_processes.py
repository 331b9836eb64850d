import signal

import pytest
import trio

from buckthornstage.demo import deployment, processes, report


async def _started_log(running, name):
    address = deployment.free_addresses(1)[0]
    running.start(name, "buckthornstage.standins.log_server", f"--address={address}")


def test_every_process_is_ended_when_a_run_fails(tmp_path):
    # A stopped process does not act on SIGTERM, so it would outlive the run.
    async def main():
        async with processes.running_in(tmp_path) as running:
            for name in ("log-1", "log-2"):
                await _started_log(running, name)
            started.extend(running.running.values())
            running.signal("log-1", signal.SIGSTOP)
            raise ZeroDivisionError

    started = []
    with pytest.raises(ZeroDivisionError):
        trio.run(main)
    assert [process.returncode is not None for process in started] == [True, True]


def test_end_of_a_process_that_nobody_asked_for_is_told(tmp_path):
    async def main():
        async with processes.running_in(tmp_path) as running:
            running.start("log", "buckthornstage.standins.log_server", "--unknown_flag")

            async def has_ended():
                return running.unexpected_ends()

            assert await processes.wait_until(has_ended, 15_000, "the end") == {"log": 1}
            assert "unknown_flag" in running.log_tail("log")

    trio.run(main)


def test_condition_that_never_holds_names_what_was_seen():
    async def never():
        return 0

    async def main():
        with pytest.raises(processes.ConditionError, match="40 ms for a version; last seen: 0"):
            await processes.wait_until(never, 40, "a version")

    trio.run(main)


def test_only_a_decisive_figure_fails_the_report():
    table = report.Report()
    table.add("latency", "2 ms", "0.9 ms", False, is_decisive=False)
    assert table.is_met
    table.add("deposits", "2", "1", False)
    assert not table.is_met
    assert "NOT MET" in table.text()
