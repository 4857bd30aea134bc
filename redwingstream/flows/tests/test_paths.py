"""Which balancer a packet for a caller goes through."""

from redwingstream.flows.paths import ReturnPaths


def make_paths(*balancers: str) -> ReturnPaths:
    """Build the paths of balancers heard one after the other."""
    paths = ReturnPaths(capacity=3, lifetime=30)
    for now, balancer in enumerate(balancers):
        paths.record_heard(balancer, now)
    return paths


class TestReturnPaths:
    """The latest first, another for each repeat."""

    def test_prefers_the_latest_and_repeats_through_others(self) -> None:
        paths = make_paths('a', 'b', 'c', 'a')
        tried: list[str] = []
        for _ in range(6):
            tried.append(paths.pick(tried))
        assert tried == ['a', 'c', 'b', 'a', 'c', 'b']

    def test_avoids_a_balancer_that_is_heard_but_not_reached(self) -> None:
        """Every reading would reach the planner a second late.

        A link is silent in one direction: the balancer is heard all the time,
        and each notification sent through it is lost.
        """
        paths = make_paths('a', 'b')
        paths.unanswered('b')
        paths.record_heard('b', 5)
        assert paths.pick() == 'a'
        paths.answered('b')
        assert paths.pick() == 'b'

    def test_keeps_few_and_forgets_old_ones(self) -> None:
        assert len(make_paths('a', 'b', 'c', 'd')) == 3
        paths = make_paths('a', 'b')
        paths.record_heard('b', 60)
        assert paths.pick(['b']) == 'b'

    def test_members_replace_all_others(self) -> None:
        """A quiet caller's feed would have no way back.

        All balancers are replaced one by one while the caller sends nothing,
        so none of the new ones has been heard from.
        """
        paths = make_paths('a', 'b')
        paths.set_members(('b', 'new'), 9)
        assert paths.pick() == 'b'
        assert paths.pick(['b']) == 'new'
        paths.set_members((), 9)
        assert paths.pick() is None
