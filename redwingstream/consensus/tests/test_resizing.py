"""Changes of a resizable group, which the settings do not list."""

import pytest

from redwingstream.consensus.state import DEFAULT_REPLACE_AFTER
from redwingstream.control.tests.fakes import TICK, Fleet, Node
from redwingstream.storage.tests.fakes import FakeFolder

SIZE = 3
NAMES = ('a', 'b', 'c', 'd')
SOON = 40
LONG = 120
CUT_TICKS = 4


def _voter_names(node: Node) -> set[str]:
    group = node.replica.consensus.log.group
    return {voter.name for voter in group}


def _cut_link(fleet: Fleet, one: str, other: str) -> None:
    fleet.cut_links.update({(one, other), (other, one)})


def _lose_disk(fleet: Fleet, node: Node) -> None:
    """Restart a replica with an empty disk."""
    node.crash()
    node.folder = FakeFolder(fleet.rng)
    node.start()


def _fleet_led_by(name: str, names: tuple[str, ...] = NAMES) -> Fleet:
    """Return a fleet led by a given replica, trying seeds in order."""
    for seed in range(50):
        fleet = Fleet(seed, names, SIZE).form_group()
        leader = fleet.leader()
        if leader is not None and leader.name == name:
            return fleet
    raise AssertionError(f'{name} leads with none of the seeds')


class TestGroup:
    """Which replicas are voters."""

    def test_three_of_four_are_voters(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        fleet.pass_ticks(SOON)
        assert _voter_names(fleet.leader()) == {'a', 'b', 'c'}

    def test_other_replicas_follow_as_learners(self) -> None:
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
        assert len(_voter_names(fleet.leader())) == 5


class TestSilentReplica:
    """A voter that is silent for too long is replaced."""

    def test_another_replica_replaces_it(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        gone = next(
            node for node in fleet.nodes[:SIZE] if node is not fleet.leader()
        )
        gone.crash()
        fleet.pass_ticks(LONG)
        assert _voter_names(fleet.leader()) == set(NAMES) - {gone.name}

    def test_a_restarted_voter_is_not_replaced(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        restarted = next(
            node for node in fleet.nodes[:SIZE] if node is not fleet.leader()
        )
        restarted.crash()
        fleet.pass_ticks(int(DEFAULT_REPLACE_AFTER / TICK / 2))
        restarted.start()
        fleet.pass_ticks(LONG)
        assert _voter_names(fleet.leader()) == {'a', 'b', 'c'}

    def test_a_voter_stays_while_no_other_replica_runs(self) -> None:
        fleet = Fleet(1, ('a', 'b', 'c'), SIZE).form_group()
        gone = next(node for node in fleet.nodes if node is not fleet.leader())
        gone.crash()
        fleet.pass_ticks(LONG)
        assert _voter_names(fleet.leader()) == {'a', 'b', 'c'}

    def test_a_replaced_voter_that_returns_follows(self) -> None:
        fleet = Fleet(1, NAMES, SIZE).form_group()
        gone = next(
            node for node in fleet.nodes[:SIZE] if node is not fleet.leader()
        )
        gone.crash()
        fleet.pass_ticks(LONG)
        gone.start()
        fleet.pass_ticks(LONG)
        assert len(_voter_names(fleet.leader())) == SIZE
        assert len({node.packed_state() for node in fleet.nodes}) == 1

    def test_a_replacement_needs_both_majorities(self) -> None:
        """A committed change is lost if a voter is replaced in one step.

        The leader a has not heard c for a while and is about to replace it by
        d.  Just then it loses contact to b as well.  If d replaced c at once, a
        and d would be two of three and commit entries, while b and c, which
        know of no replacement, elect another leader and commit others.
        """
        fleet = _fleet_led_by('a')
        fleet.pass_ticks(SOON)
        _cut_link(fleet, 'a', 'c')
        fleet.pass_ticks(int(DEFAULT_REPLACE_AFTER / TICK) - 4)
        assert fleet.leader().name == 'a'
        _cut_link(fleet, 'a', 'b')
        _cut_link(fleet, 'd', 'b')
        _cut_link(fleet, 'd', 'c')
        fleet.pass_ticks(LONG)
        fleet.heal_all()
        assert len({node.packed_state() for node in fleet.nodes}) == 1

    def test_a_replaced_voter_still_counts_after_a_lost_disk(self) -> None:
        """No change is possible although two of three disks are intact.

        The leader a has not heard b for a while and replaces it by d.  Before
        that is committed, c loses its disk; then b returns with its own.  If b
        were no voter any more, a would wait forever for c's lost disk, and b
        would never get the vote of a, whose log is longer.
        """
        fleet = _fleet_led_by('a')
        fleet.pass_ticks(SOON)
        fleet.isolate('b')
        fleet.pass_ticks(int(DEFAULT_REPLACE_AFTER / TICK) - 4)
        _cut_link(fleet, 'a', 'c')
        _cut_link(fleet, 'a', 'd')
        fleet.pass_ticks(8)
        lost = fleet.node_by_name['c']
        lost.crash()
        lost.folder = FakeFolder(fleet.rng)
        lost.start()
        fleet.heal_all()
        assert fleet.leader() is not None
        assert len({node.packed_state() for node in fleet.nodes}) == 1


class TestLostDisk:
    """A replica that lost its disk is readmitted under its new identity."""

    @pytest.mark.parametrize('seed', range(5))
    def test_is_readmitted(self, seed) -> None:
        fleet = Fleet(seed, ('a', 'b', 'c'), SIZE).form_group()
        lost = fleet.nodes[seed % SIZE]
        lost.crash()
        lost.folder = FakeFolder(fleet.rng)
        lost.start()
        fleet.pass_ticks(LONG)
        assert fleet.all_are_voters()

    @pytest.mark.parametrize('seed', range(5))
    def test_is_shown_as_follower_once_another_disk_may_be_lost(
        self, seed
    ) -> None:
        """Guards against a group without a leader after two losses in a row.

        The third replica learns of the readmission late.
        """
        fleet = Fleet(seed, ('a', 'b', 'c'), SIZE).form_group()
        fleet.pass_ticks(SOON)
        leader = fleet.leader()
        lost, third = (node for node in fleet.nodes if node is not leader)
        _lose_disk(fleet, lost)
        cut_for = 0
        for _ in range(LONG):
            if lost.replica.consensus.role_name == 'follower':
                break
            is_cut = (
                leader.replica.consensus.log.joining and cut_for < CUT_TICKS
            )
            fleet.cut_links.clear()
            if is_cut:
                fleet.isolate(third.name)
                cut_for += 1
            fleet.pass_ticks(1)
        assert lost.replica.consensus.role_name == 'follower'
        _lose_disk(fleet, leader)
        fleet.heal_all()
        assert fleet.leader() is not None

    def test_a_second_loss_after_a_power_failure_loses_nothing(self) -> None:
        """The tables are lost although the first disk was replaced in time.

        One disk is lost and its replica is readmitted.  Then all replicas lose
        power, and a second one returns with an empty disk.  The two others do
        not know which changes were committed.  If they still needed the vote
        of the first lost disk, they would never elect a leader.
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
    """Voters are spread evenly over the zones."""

    def test_a_voter_of_a_crowded_zone_is_replaced(self) -> None:
        names = ('a', 'd', 'g', 'b')
        fleet = Fleet(2, names, SIZE)
        zones = [fleet.node_by_name[name].zone for name in names]
        assert len(set(zones[:SIZE])) == 1
        assert zones[SIZE] not in zones[:SIZE]
        fleet.form_group()
        fleet.pass_ticks(LONG)
        assert 'b' in _voter_names(fleet.leader())
