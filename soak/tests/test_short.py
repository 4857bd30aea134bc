"""A short run with a fixed seed."""

import pytest

from soak.run import soak

SECONDS = 22
ORDERS_SECONDS = 40


@pytest.mark.xdist_group('processes-0')
class TestShortRun:
    """Real processes under the faults of one seed."""

    @pytest.mark.parametrize(('seed', 'losses'), [(1, 1), (86, 2)])
    async def test_every_promise_holds(self, seed, losses, tmp_path) -> None:
        outcome = await soak(seed, SECONDS, tmp_path, losses=losses)
        assert outcome.broken == ()
        assert outcome.served
        assert outcome.uploads

    async def test_holds_in_both_orders(self, tmp_path) -> None:
        """Guards against flows that their servers hold and agents deny."""
        outcome = await soak(1004, ORDERS_SECONDS, tmp_path, has_orders=True)
        assert outcome.broken == ()
        assert outcome.served
