"""Every fault at every step of the protocol."""

import pytest

from redwingstream.agent.tests import matrix_page
from redwingstream.agent.tests.faults import FAULT_BY_NAME
from redwingstream.agent.tests.matrix import run_cell
from redwingstream.agent.tests.steps import STEPS


class TestMatrix:
    """The guarantees hold in every cell, and the page shows the results."""

    @pytest.mark.parametrize('fault', FAULT_BY_NAME)
    @pytest.mark.parametrize('step', [step.name for step in STEPS])
    def test_cell(self, step: str, fault: str) -> None:
        result = run_cell(step, fault)
        assert result.step_reached
        assert not result.violations

    def test_page(self) -> None:
        written = matrix_page.PAGE.read_text(encoding='utf-8')
        assert written == matrix_page.render(), 'run ci/fault_matrix'
