"""A process that stood still says so."""

import pytest

from redwingstream.fleet.delays import (
    LATE_AFTER,
    LOOK_EVERY,
    DelayWatch,
    ProcessDelayed,
)


class TestDelayWatch:
    """Looks that come in time, and late ones."""

    @pytest.fixture
    def lines(self) -> list[ProcessDelayed]:
        return []

    @pytest.fixture
    def watch(self, lines) -> DelayWatch:
        return DelayWatch(lines.append)

    def test_says_by_how_much_it_is_late(self, watch, lines) -> None:
        """All processes of a machine seem cut off from each other.

        The machine stood still for three seconds.  Each process calls the
        others silent, and no line tells that it was not running itself.
        """
        watch.look(10)
        watch.look(10 + LOOK_EVERY + 3)
        assert [line.late_by for line in lines] == [3]
        assert watch.delays == 1

    def test_says_nothing_of_a_small_delay(self, watch, lines) -> None:
        watch.look(10)
        watch.look(10 + LOOK_EVERY + LATE_AFTER / 2)
        assert not lines

    def test_says_nothing_at_the_first_look(self, watch, lines) -> None:
        watch.look(1000)
        assert not lines
