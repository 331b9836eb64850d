import contextlib
import signal
import socket

import pytest
import trio

from buckthornstage.demo import deployment, processes, report
from buckthornstage.http import client, messages

LOG = "buckthornstage.standins.log_server"


def test_every_process_is_terminated_when_a_run_fails(tmp_path):
    # A process stopped by SIGSTOP does not handle SIGTERM, so it would outlive the run.
    async def main():
        async with processes.running_in(tmp_path) as running:
            for name, address in zip(("log-1", "log-2"), reservation.addresses, strict=True):
                running.start(name, LOG, f"--address={address}")
            started.extend(running.running.values())
            running.signal("log-1", signal.SIGSTOP)
            raise ZeroDivisionError

    started = []
    reservation = deployment.Reservation(2)
    with contextlib.closing(reservation), pytest.raises(ZeroDivisionError):
        trio.run(main)
    assert [process.returncode is not None for process in started] == [True, True]


def test_unexpected_exit_of_a_process_is_reported(tmp_path):
    async def main():
        async with processes.running_in(tmp_path) as running:
            running.start("log", LOG, "--unknown_flag")

            async def has_ended():
                return running.unexpected_ends()

            assert await processes.wait_until(has_ended, 15_000, "its exit") == {"log": 1}
            assert "unknown_flag" in running.log_tail("log")

    trio.run(main)


def test_timeout_of_a_condition_names_the_last_value_seen():
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


def test_reserved_address_serves_its_process_and_no_other_run(tmp_path):
    # Concurrent runs on one machine took each other's ports before the processes had bound them.
    async def main():
        async with processes.running_in(tmp_path) as running:
            for name in ("first", "again"):
                running.start(name, LOG, f"--address={address}")

                async def responds():
                    with contextlib.suppress(messages.HttpError):
                        return await client.fetch(address, messages.Request("GET", "/record"))

                await processes.wait_until(responds, 15_000, f"the {name} log to respond")
                await running.kill(name)
            with socket.socket() as other, pytest.raises(OSError):
                other.bind((deployment.HOST, int(address.rpartition(":")[2])))

    reservation = deployment.Reservation(1)
    address = reservation.addresses[0]
    with contextlib.closing(reservation):
        trio.run(main)
