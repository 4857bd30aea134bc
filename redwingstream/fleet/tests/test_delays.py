"""Detection of times in which the process did not run."""

import pytest

from redwingstream.fleet.delays import (
    CHECK_INTERVAL,
    LATE_AFTER,
    DelayMonitor,
    ProcessDelayed,
)


class TestDelayMonitor:
    """Checks that run on time, and late ones."""

    @pytest.fixture
    def logged(self) -> list[ProcessDelayed]:
        return []

    @pytest.fixture
    def monitor(self, logged) -> DelayMonitor:
        return DelayMonitor(logged.append)

    def test_logs_the_delay(self, monitor, logged) -> None:
        """Guards against logs that show a suspended machine as a partition.

        A machine is suspended for 3 s.  Its processes call each other silent,
        and without this event no log line tells that they were not running.
        """
        monitor.check(10)
        monitor.check(10 + CHECK_INTERVAL + 3)
        assert [logged_event.late_by for logged_event in logged] == [3]
        assert monitor.delays == 1

    def test_ignores_a_small_delay(self, monitor, logged) -> None:
        monitor.check(10)
        monitor.check(10 + CHECK_INTERVAL + LATE_AFTER / 2)
        assert not logged

    def test_ignores_the_first_check(self, monitor, logged) -> None:
        monitor.check(1000)
        assert not logged
