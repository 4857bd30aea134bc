"""Order of the reports of a server and its runs."""

import attrs
import pytest

from redwingstream.directory.messages import Readiness
from redwingstream.openings.reports import ServerReport, ServerState

SILENCE = 3
"""Seconds after which a server counts as silent."""

FIRST = ServerReport('i-1', 1000, 5, 'feed', Readiness.READY, 0, 3)


class TestServerState:
    """Late reports, and reports of later runs of a server."""

    @pytest.fixture
    def state(self) -> ServerState:
        known = ServerState()
        known.apply_report(FIRST, 10)
        return known

    def test_the_next_report_is_applied(self, state) -> None:
        draining = attrs.evolve(FIRST, sequence=6, readiness=Readiness.DRAINING)
        assert state.apply_report(draining, 11)
        assert state.readiness is Readiness.DRAINING

    @pytest.mark.parametrize('sequence', [4, 5])
    def test_a_late_report_is_ignored(self, state, sequence) -> None:
        late = attrs.evolve(
            FIRST, sequence=sequence, readiness=Readiness.DRAINING
        )
        assert not state.apply_report(late, 11)
        assert state.readiness is Readiness.READY

    def test_a_restarted_server_counts_from_one(self, state) -> None:
        """Reports of a restarted server of the same name count at once.

        The server counts its reports from one again.  If they counted as late,
        it would get no work until its count had passed that of the former run.
        """
        again = attrs.evolve(FIRST, born=2000, sequence=1)
        assert state.apply_report(again, 11)

    def test_a_report_of_a_former_run_is_ignored(self, state) -> None:
        """A report of an ended run does not change the state of the next.

        It is delayed and arrives after its sender has ended and another run
        has reported from the same address.
        """
        state.apply_report(attrs.evolve(FIRST, server='i-2', born=2000), 11)
        late = attrs.evolve(FIRST, sequence=99, readiness=Readiness.DRAINING)
        assert not state.apply_report(late, 12)
        assert state.readiness is Readiness.READY

    def test_a_run_with_its_clock_set_back_counts(self, state) -> None:
        """Guards against a server without new flows until its agent restarts.

        Its clock was set back while it was down, so that it reports an earlier
        start than the run before.
        """
        again = attrs.evolve(FIRST, born=500, sequence=1)
        assert not state.apply_report(again, 12, SILENCE)
        first, second = (
            attrs.evolve(again, sequence=number) for number in (3, 4)
        )
        assert not state.apply_report(first, 10 + SILENCE + 1, SILENCE)
        assert state.apply_report(second, 10 + SILENCE + 2, SILENCE)
        assert state.report == second

    @pytest.mark.parametrize(
        'reports',
        [((500, 3), (400, 4)), ((500, 3), (500, 3)), ((0, 3), (0, 4))],
    )
    def test_late_reports_of_ended_runs_do_not(self, state, reports) -> None:
        """Guards against a state of the past while the server is silent."""
        for number, (born, sequence) in enumerate(reports):
            late = attrs.evolve(FIRST, born=born, sequence=sequence)
            at = 11 + SILENCE + number
            assert not state.apply_report(late, at, SILENCE)

    def test_late_reports_beside_a_running_server_do_not(self, state) -> None:
        """Guards against taking a run that still reports for an ended one."""
        for number in range(2, 9):
            at = 10 + 1.2 * number
            current = attrs.evolve(FIRST, sequence=5 + number)
            late = attrs.evolve(FIRST, born=500, sequence=number)
            assert state.apply_report(current, at, SILENCE)
            assert not state.apply_report(late, at + 0.1, SILENCE)

    def test_leaving(self, state) -> None:
        assert state.mark_leaving('i-1')
        assert state.readiness is Readiness.GONE

    def test_leaving_of_another_server_is_ignored(self, state) -> None:
        assert not state.mark_leaving('i-9')
        assert state.readiness is Readiness.READY

    def test_readiness_is_unknown_before_the_first_report(self) -> None:
        assert ServerState().readiness is Readiness.UNKNOWN
