"""Networks of sites that run beside each other."""

import pytest

from standins.networks import reserved_network

CANDIDATES = (251, 252)


def _free(network: int) -> bool:
    return True


# The tests reserve the same networks, so one worker runs all of them.
@pytest.mark.xdist_group('networks')
class TestReservedNetwork:
    """One network for each site."""

    def test_two_sites_never_share_one(self) -> None:
        """A group of control instances never elects a leader.

        Two runs of tests start at the same moment, look for a free network and
        find the same one, since none of its ports is bound yet.  The processes
        of one of them end with *address already in use*.
        """
        with reserved_network(CANDIDATES, _free) as first:
            with reserved_network(CANDIDATES, _free) as second:
                assert {first, second} == set(CANDIDATES)

    def test_says_when_all_are_taken(self) -> None:
        with reserved_network(CANDIDATES[:1], _free):
            with pytest.raises(OSError, match=r'127\.251 .* taken'):
                with reserved_network(CANDIDATES[:1], _free):
                    raise AssertionError('a network was given twice')

    def test_passes_over_one_that_is_used(self) -> None:
        with reserved_network(CANDIDATES, lambda one: one == 252) as network:
            assert network == 252
