"""How a group that nobody names keeps its size."""

import pytest

from redwingstream.consensus.state import DEFAULT_REPLACE_AFTER
from redwingstream.control.tests.fakes import TICK, Fleet, Node
from redwingstream.storage.tests.fakes import FakeFolder

SIZE = 3
NAMES = ('a', 'b', 'c', 'd')
SOON = 40
LONG = 120


def _counting(node: Node) -> set[str]:
    group = node.replica.consensus.log.group
    return {voter.name for voter in group}


def _cut(fleet: Fleet, one: str, other: str) -> None:
    fleet.cut_links.update({(one, other), (other, one)})


def _led_by(name: str, names: tuple[str, ...] = NAMES) -> Fleet:
    """Return a fleet that a replica leads; seeds are tried in order."""
    for seed in range(50):
        fleet = Fleet(seed, names, SIZE).form_group()
        leader = fleet.leader()
        if leader is not None and leader.name == name:
            return fleet
    raise AssertionError(f'{name} leads with no seed')


class TestGroup:
    """Who counts."""

    def test_three_of_four_count(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        fleet.pass_ticks(SOON)
        assert _counting(fleet.leader()) == {'a', 'b', 'c'}

    def test_the_others_follow(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        fleet.pass_ticks(SOON)
        assert len({node.packed_state() for node in fleet.nodes}) == 1

    def test_a_group_that_is_too_small_grows(self) -> None:
        fleet = Fleet(1, ('a', 'b', 'c', 'd', 'e'), 3).form_group()
        fleet.size = 5
        for node in fleet.nodes:
            node.crash()
            node.start()
        fleet.pass_ticks(LONG)
        assert len(_counting(fleet.leader())) == 5


class TestSilentReplica:
    """A replica that is gone for good loses its place."""

    def test_another_one_takes_its_place(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        gone = next(
            node for node in fleet.nodes[:SIZE] if node is not fleet.leader()
        )
        gone.crash()
        fleet.pass_ticks(LONG)
        assert _counting(fleet.leader()) == set(NAMES) - {gone.name}

    def test_a_restart_does_not_cost_it(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        restarted = next(
            node for node in fleet.nodes[:SIZE] if node is not fleet.leader()
        )
        restarted.crash()
        fleet.pass_ticks(int(DEFAULT_REPLACE_AFTER / TICK / 2))
        restarted.start()
        fleet.pass_ticks(LONG)
        assert _counting(fleet.leader()) == {'a', 'b', 'c'}

    def test_nobody_takes_it_while_nobody_is_there(self) -> None:
        fleet = Fleet(1, ('a', 'b', 'c'), SIZE).form_group()
        gone = next(node for node in fleet.nodes if node is not fleet.leader())
        gone.crash()
        fleet.pass_ticks(LONG)
        assert _counting(fleet.leader()) == {'a', 'b', 'c'}

    def test_one_that_returns_follows(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        gone = next(
            node for node in fleet.nodes[:SIZE] if node is not fleet.leader()
        )
        gone.crash()
        fleet.pass_ticks(LONG)
        gone.start()
        fleet.pass_ticks(LONG)
        assert len(_counting(fleet.leader())) == SIZE
        assert len({node.packed_state() for node in fleet.nodes}) == 1

    def test_its_place_changes_hands_by_both_majorities(self) -> None:
        """Operators lose a change when a place changes hands in one step.

        The leader a has not heard c for long and is about to give its place
        to d.  Just then it loses b as well.  Were c replaced by d at once, a
        and d would be two of three and accept entries, while b and c, who
        know of no change, elect another leader and accept others.
        """
        fleet = _led_by('a')
        fleet.pass_ticks(SOON)
        _cut(fleet, 'a', 'c')
        fleet.pass_ticks(int(DEFAULT_REPLACE_AFTER / TICK) - 4)
        assert fleet.leader().name == 'a'
        _cut(fleet, 'a', 'b')
        _cut(fleet, 'd', 'b')
        _cut(fleet, 'd', 'c')
        fleet.pass_ticks(LONG)
        fleet.heal_all()
        assert len({node.packed_state() for node in fleet.nodes}) == 1

    def test_one_that_is_given_up_still_helps_after_a_lost_disk(self) -> None:
        """Operators can change nothing, though two of three disks are whole.

        The leader a has not heard b for long and gives its place to d.  Before
        that is accepted, c loses its disk; then b returns with its own.  If b
        did not count any more, a would wait for c's lost disk for ever, and b
        would never get the vote of a, whose log is longer.
        """
        fleet = _led_by('a')
        fleet.pass_ticks(SOON)
        fleet.isolate('b')
        fleet.pass_ticks(int(DEFAULT_REPLACE_AFTER / TICK) - 4)
        _cut(fleet, 'a', 'c')
        _cut(fleet, 'a', 'd')
        fleet.pass_ticks(8)
        lost = fleet.node_by_name['c']
        lost.crash()
        lost.folder = FakeFolder(fleet.rng)
        lost.start()
        fleet.heal_all()
        assert fleet.leader() is not None
        assert len({node.packed_state() for node in fleet.nodes}) == 1


class TestLostDisk:
    """A replica whose disk was lost counts again under its new identity."""

    @pytest.mark.parametrize('seed', range(5))
    def test_is_readmitted(self, seed) -> None:
        fleet = Fleet(seed, ('a', 'b', 'c'), SIZE).form_group()
        lost = fleet.nodes[seed % SIZE]
        lost.crash()
        lost.folder = FakeFolder(fleet.rng)
        lost.start()
        fleet.pass_ticks(LONG)
        assert fleet.all_are_voters()

    def test_a_second_loss_after_a_power_cut_forgets_nothing(self) -> None:
        """The tables are gone after the first disk was replaced in time.

        One disk is lost and its replica counts again.  Then all replicas lose
        power, and a second one comes back with an empty disk.  The two others
        do not remember which changes were accepted; did they still ask the
        first lost disk, they would never elect a leader.
        """
        fleet = Fleet(3, ('a', 'b', 'c'), SIZE).form_group()
        for lost in (fleet.nodes[0], fleet.nodes[1]):
            for node in fleet.nodes:
                node.crash()
            lost.folder = FakeFolder(fleet.rng)
            for node in fleet.nodes:
                node.start()
            fleet.pass_ticks(LONG)
            assert fleet.all_are_voters()


class TestZones:
    """A zone never holds more places than it has to."""

    def test_a_crowded_zone_gives_one_up(self) -> None:
        names = ('a', 'd', 'g', 'b')
        fleet = Fleet(2, names, SIZE)
        zones = [fleet.node_by_name[name].zone for name in names]
        assert len(set(zones[:SIZE])) == 1
        assert zones[SIZE] not in zones[:SIZE]
        fleet.form_group()
        fleet.pass_ticks(LONG)
        assert 'b' in _counting(fleet.leader())
