"""Tests of the choice of a balancer for a packet to a caller."""

from redwingstream.flows.return_paths import ReturnPaths


def make_paths(*balancers: str) -> ReturnPaths:
    """Build the paths of balancers from which packets arrived in order."""
    paths = ReturnPaths(capacity=3, lifetime=30)
    for now, balancer in enumerate(balancers):
        paths.record_heard(balancer, now)
    return paths


class TestReturnPaths:
    """Most recently heard first, another balancer for each retransmission."""

    def test_prefers_most_recent_and_retransmits_through_others(self) -> None:
        paths = make_paths('a', 'b', 'c', 'a')
        tried: list[str] = []
        for _ in range(6):
            tried.append(paths.pick(tried))
        assert tried == ['a', 'c', 'b', 'a', 'c', 'b']

    def test_avoids_a_balancer_whose_packets_are_lost(self) -> None:
        """Guards against late notifications over a one-way link.

        Packets from the balancer keep arriving, and each notification sent
        through it is lost.
        """
        paths = make_paths('a', 'b')
        paths.record_loss('b')
        paths.record_heard('b', 5)
        assert paths.pick() == 'a'
        paths.record_ack('b')
        assert paths.pick() == 'b'

    def test_capacity_and_lifetime_are_enforced(self) -> None:
        assert len(make_paths('a', 'b', 'c', 'd')) == 3
        paths = make_paths('a', 'b')
        paths.record_heard('b', 60)
        assert paths.pick(['b']) == 'b'

    def test_set_members_replaces_all_others(self) -> None:
        """Guards against a feed without a path to a caller that is silent.

        All balancers are replaced one by one while the caller sends nothing,
        so no packet has arrived through any of the new ones.
        """
        paths = make_paths('a', 'b')
        paths.set_members(('b', 'new'), 9)
        assert paths.pick() == 'b'
        assert paths.pick(['b']) == 'new'
        paths.set_members((), 9)
        assert paths.pick() is None
