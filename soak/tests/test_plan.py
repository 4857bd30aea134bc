"""A seed gives the same faults in each run."""

import attrs
import pytest

from soak.faults import (
    FillDisk,
    LoseDisk,
    LosePower,
    ReportLate,
    ThawBesideRestart,
)
from soak.plan import SETTLE_SECONDS, Targets, draw_plan

TARGETS = Targets(('a-agent', 'a-control'), ('a-control',), 2, ('north',))
TARGETS_WITH_BALANCERS = attrs.evolve(
    TARGETS, processes=(*TARGETS.processes, 'a-balancer')
)
ORDERS = (ReportLate, ThawBesideRestart)
LONG_RUN = 300


def _lost_disks_at(seed: int, targets: Targets) -> list[float]:
    """Return when disks are lost in a long run of a seed."""
    return [
        one.at
        for one in draw_plan(seed, LONG_RUN, targets)
        if isinstance(one.fault, LoseDisk)
    ]


class TestDrawPlan:
    """Faults drawn from a seed."""

    @pytest.mark.parametrize('seed', range(5))
    def test_is_the_same_for_a_seed(self, seed) -> None:
        assert draw_plan(seed, 60, TARGETS) == draw_plan(seed, 60, TARGETS)

    def test_differs_between_seeds(self) -> None:
        assert draw_plan(1, 60, TARGETS) != draw_plan(2, 60, TARGETS)

    @pytest.mark.parametrize('seed', range(20))
    def test_leaves_the_end_calm(self, seed) -> None:
        plan = draw_plan(seed, 60, TARGETS)
        assert all(one.at < 60 - SETTLE_SECONDS for one in plan)

    @pytest.mark.parametrize('seed', range(20))
    def test_loses_one_disk_at_a_time(self, seed) -> None:
        lost = _lost_disks_at(seed, TARGETS)
        pauses = [after - before for before, after in zip(lost, lost[1:])]
        assert all(pause >= SETTLE_SECONDS for pause in pauses)

    @pytest.mark.parametrize('seed', range(20))
    def test_loses_as_many_disks_as_tolerated(self, seed) -> None:
        lost = _lost_disks_at(seed, attrs.evolve(TARGETS, tolerated_losses=2))
        pauses = [second - first for first, second in zip(lost, lost[1:])]
        pauses_of_three = [
            third - first for first, third in zip(lost, lost[2:])
        ]
        assert any(pause < SETTLE_SECONDS for pause in pauses)
        assert all(pause >= SETTLE_SECONDS for pause in pauses_of_three)

    @pytest.mark.parametrize('seed', range(5))
    def test_full_disks_change_no_other_fault(self, seed) -> None:
        plain = draw_plan(seed, 60, TARGETS)
        full = draw_plan(seed, 60, TARGETS, fills_disks=True)
        others = [one for one in full if not isinstance(one.fault, FillDisk)]
        assert len(others) < len(full)
        assert tuple(others) == plain

    def test_servers_lose_power_with_their_agents(self) -> None:
        """Without it no agent asks for the flows of its earlier run."""
        plan = draw_plan(1, LONG_RUN, TARGETS)
        assert any(isinstance(one.fault, LosePower) for one in plan)

    @pytest.mark.parametrize('seed', range(5))
    def test_orders_change_no_other_fault(self, seed) -> None:
        plain = draw_plan(seed, LONG_RUN, TARGETS_WITH_BALANCERS)
        ordered = draw_plan(
            seed, LONG_RUN, TARGETS_WITH_BALANCERS, has_orders=True
        )
        others = [one for one in ordered if not isinstance(one.fault, ORDERS)]
        assert tuple(others) == plain

    @pytest.mark.parametrize('order', [ReportLate, ThawBesideRestart])
    def test_draws_both_orders(self, order) -> None:
        """Without them no flow is held by a run that has not reported yet."""
        plan = draw_plan(1, LONG_RUN, TARGETS_WITH_BALANCERS, has_orders=True)
        assert any(isinstance(one.fault, order) for one in plan)
