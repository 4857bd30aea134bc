"""Which balancers the stand-in of the routers sends packets to."""

import pytest

from standins.packets.callers import MISSES, Router
from standins.packets.header import End

FLOW = (End('127.0.0.1', 1024), End('198.18.0.1', 443))


@pytest.fixture
def routers() -> tuple[Router, Router]:
    """Return the routers of two zones, every balancer ready."""
    north, south = Router(['n1', 'n2', 'n3']), Router(['s1', 's2'])
    north.nearest = [south]
    south.nearest = [north]
    for router in (north, south):
        for host in router.balancers:
            router.record_probe(host, is_ok=True)
    return north, south


def _miss(router: Router, *hosts: str, times: int = MISSES) -> None:
    for host in hosts:
        for _ in range(times):
            router.record_probe(host, is_ok=False)


class TestRotation:
    """Balancers leave the rotation after two misses."""

    def test_one_miss_changes_nothing(self, routers):
        _miss(routers[0], 'n1', times=1)
        assert routers[0].rotation == ['n1', 'n2', 'n3']

    def test_leaves_after_two_misses(self, routers):
        _miss(routers[0], 'n1')
        assert routers[0].rotation == ['n2', 'n3']

    def test_uses_the_whole_zone_if_fewer_than_half_are_ready(self, routers):
        _miss(routers[0], 'n1', 'n2')
        assert routers[0].rotation == ['n1', 'n2', 'n3']

    def test_uses_the_nearest_zones_if_none_is_ready(self, routers):
        """Guards against packets for a balancer that has stopped."""
        _miss(routers[0], 'n1', 'n2', 'n3')
        assert routers[0].rotation == ['s1', 's2']
        assert routers[0].choose(FLOW) in {'s1', 's2'}

    def test_returns_to_the_zone_with_the_first_answer(self, routers):
        _miss(routers[0], 'n1', 'n2', 'n3')
        routers[0].record_probe('n2', is_ok=True)
        assert routers[0].rotation == ['n1', 'n2', 'n3']

    def test_uses_its_own_zone_if_none_is_ready_anywhere(self, routers):
        _miss(routers[0], 'n1', 'n2', 'n3')
        _miss(routers[1], 's1', 's2')
        assert routers[0].rotation == ['n1', 'n2', 'n3']
