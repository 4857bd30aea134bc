"""Time for which the soak itself did not run does not count as calm."""

import pytest

from soak.running import STEP, RunningTime


class TestRunningTime:
    """Steps of the clock on the wall."""

    def test_counts_steps_that_come_in_time(self) -> None:
        running = RunningTime()
        for _ in range(10):
            running.note(STEP)
        assert running.seconds == pytest.approx(10 * STEP)
        assert running.longest_lag == pytest.approx(0)

    def test_leaves_out_a_pause_of_the_machine(self) -> None:
        """A run fails with *nothing is served after the faults*.

        In the calm at its end all processes, the callers among them, stood
        still for seconds again and again, and the last three seconds by the
        clock on the wall held no turn of a caller.
        """
        running = RunningTime()
        for _ in range(10):
            running.note(STEP)
            running.note(3.5)
        assert running.seconds == pytest.approx(10 * 3 * STEP)
        assert running.longest_lag == pytest.approx(3.5 - STEP)
