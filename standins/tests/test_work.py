"""Tests of what a backend server bears."""

import pytest

from standins.work import Admission, Limits, Work


def admit_all(work, now, count):
    return [work.admit(now) for _ in range(count)]


class TestWork:
    def test_runs_waits_then_sheds(self):
        work = Work(Limits(slots=1, backlog=1), now=0)
        assert admit_all(work, 0, 3) == [
            Admission.RUN,
            Admission.WAIT,
            Admission.SHED,
        ]

    def test_falls_over_while_cold_and_is_cold_again(self):
        limits = Limits(cold_seconds=10, cold_slots=1, fallen_seconds=5)
        work = Work(limits, now=0)
        assert admit_all(work, 1, 2) == [Admission.RUN, Admission.FALLEN]
        work.finish()
        assert work.admit(5.9) is Admission.FALLEN
        assert work.is_cold(15.9)
        assert not work.is_cold(16)

    def test_runs_longer_while_cold(self):
        limits = Limits(service_time=1, cold_seconds=10, cold_factor=3)
        work = Work(limits, now=0)
        assert work.service_time(9) == pytest.approx(3)
        assert work.service_time(10) == pytest.approx(1)
        work.turn_cold(20)
        assert work.service_time(21) == pytest.approx(3)

    def test_takes_nothing_while_draining(self):
        work = Work(Limits(), now=0)
        work.draining = True
        assert work.admit(0) is Admission.SHED
