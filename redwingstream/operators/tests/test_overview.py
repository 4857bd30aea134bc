"""Tests of the status of all processes."""

import pytest

from redwingstream.operators.client import ControlClient
from redwingstream.operators.overview import collect_overview
from redwingstream.operators.status_output import overview_lines
from redwingstream.operators.tests.fakes import CONTROL, FakeFleet


@pytest.mark.looptime
class TestOverview:
    async def test_shows_lagging_and_silent_processes(self):
        fleet = FakeFleet(silent={CONTROL[2]}, agent_revision=6)
        overview = await collect_overview(ControlClient(fleet, CONTROL, 10))
        lagging = [process.lags for process in overview.processes]
        assert lagging == [False, False, True, True]
        assert overview.zones_out == ('strathmore',)
        *_, silent, agent = overview_lines(overview)
        assert silent.endswith('silent')
        assert agent.split() == [
            *('agent', 'sward-1', 'carse', 'sward-live', '100'),
            *('3', '-', '-', '6', 'lags'),
        ]
