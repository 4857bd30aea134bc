"""Replicas in memory, with simulated disks: committed changes are kept."""

import random
from functools import partial

import pytest

from redwingstream.consensus.events import HandOverRequested, Received
from redwingstream.consensus.messages import AppendAnswer, Voter
from redwingstream.control.recovery import recover_folder
from redwingstream.control.replica import Replica
from redwingstream.control.tests.fakes import Fleet, Node, SentMessage
from redwingstream.errors import CallFailedError, ResultCode, StorageError
from redwingstream.storage.tests.fakes import FakeFolder
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    Edits,
    SetZone,
)
from redwingstream.tables.rows import ZoneMark

TICKS_PER_SECOND = 20
REQUEST = ChangeRequest(
    'r1', 0, Edits(set_zones=(SetZone(ZoneMark('carse', out=True)),))
)


@pytest.fixture
def fleet() -> Fleet:
    """Three replicas with a leader."""
    return Fleet(seed=1).form_group()


def lose_disk(fleet: Fleet, node: Node) -> None:
    """Start a replica with an empty folder."""
    node.crash()
    node.folder = FakeFolder(fleet.rng)
    node.start()


def zone_is_out(node: Node) -> bool:
    """Whether a replica has applied the request."""
    return node.replica.machine.state.is_zone_out('carse')


def propose(node: Node) -> list[object]:
    """Propose the change to a replica; return the list of its answers."""
    answers: list[object] = []
    node.run(lambda replica: replica.propose(REQUEST, answers.append))
    return answers


def followers(fleet: Fleet) -> list[Node]:
    """Return all replicas but the leader."""
    return [node for node in fleet.nodes if node is not fleet.leader()]


def collect_answers(fleet: Fleet) -> list[SentMessage]:
    """Return an answer of each follower to a heartbeat of the leader."""
    answer_by_source: dict[str, SentMessage] = {}
    while len(answer_by_source) < len(followers(fleet)):
        fleet.pass_ticks(1)
        for sent in fleet.in_transit:
            if isinstance(sent.outgoing.message, AppendAnswer):
                answer_by_source[sent.source] = sent
    return list(answer_by_source.values())


def deliver_late(node: Node, late: list[SentMessage]) -> None:
    """Deliver messages that the network has delayed."""
    for sent in late:
        event = Received(sent.outgoing.message)
        node.run(partial(Replica.step, event=event))


class TestWrite:
    """Crashes and disk errors at each step of a write."""

    @pytest.mark.parametrize('operations', range(4))
    def test_a_leader_killed_within_its_write(
        self, fleet: Fleet, operations: int
    ) -> None:
        """A change must be neither lost nor applied twice.

        The leader loses power before the write, before its own sync, after its
        sync, or later.  The operator gets an answer or none, and repeats the
        request.  In each case the change is applied once.
        """
        first = fleet.leader()
        first.folder.operations_left = operations
        answers = propose(first)
        fleet.pass_ticks(3)
        first.crash()
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        again = propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        assert again[0].code == ResultCode.OK
        assert again[0] in answers or not answers
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_no_answer_before_a_majority_has_synced(self, fleet: Fleet) -> None:
        """A change that was confirmed to the operator must not be reverted.

        The leader syncs its own copy while it is partitioned from both others,
        then steps down.  It must not have confirmed the change: the others
        continue without it, and the leader's copy is replaced.
        """
        first = fleet.leader()
        fleet.isolate(first.name)
        answers = propose(first)
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        assert [type(answer) for answer in answers] == [CallFailedError]
        assert answers[0].code is ResultCode.NO_QUORUM
        fleet.heal_all()
        assert not any(zone_is_out(node) for node in fleet.nodes)

    def test_an_entry_synced_by_a_majority_survives_its_leader(
        self, fleet: Fleet
    ) -> None:
        """A change must survive a leader that crashes before it is answered.

        Both followers have synced the entry, and the leader crashes before it
        receives their answers.  The next leader has to commit the change.
        """
        first = fleet.leader()
        propose(first)
        # After one tick the followers hold the entry; their answers are lost.
        fleet.pass_tick(loss=0, repeat=0)
        first.crash()
        fleet.in_transit.clear()
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        assert zone_is_out(fleet.leader())

    @pytest.mark.parametrize('operations', range(3))
    def test_a_follower_killed_within_its_write(
        self, fleet: Fleet, operations: int
    ) -> None:
        """A committed change must survive the loss of the leader.

        Both followers lose power while they write the entry.  If they answered
        before their sync, the leader would commit an entry of which no other
        copy exists.
        """
        first = fleet.leader()
        for node in followers(fleet):
            node.folder.operations_left = operations
        answers = propose(first)
        fleet.pass_ticks(3)
        accepted = any(isinstance(got, ChangeAnswer) for got in answers)
        first.crash()
        others = [node for node in fleet.nodes if node is not first]
        for node in others:
            node.crash()
            node.start()
        fleet.pass_ticks(5 * TICKS_PER_SECOND)
        assert zone_is_out(fleet.leader()) or not accepted

    @pytest.mark.parametrize(
        'code', [ResultCode.DISK_FULL, ResultCode.DISK_FAILED]
    )
    def test_a_leader_whose_disk_fails_sends_nothing_more(
        self, fleet: Fleet, code: ResultCode
    ) -> None:
        """A change must not be committed on bytes that never reached the disk.

        The leader's sync fails.  It must neither send the entry nor answer;
        the others elect another leader.
        """
        first = fleet.leader()
        first.folder.failure = code
        answers = propose(first)
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        assert [type(answer) for answer in answers] == [CallFailedError]
        assert [error.code for error in first.failures] == [code]
        assert isinstance(first.failures[0], StorageError)
        with pytest.raises(CallFailedError):
            propose(first)
        assert fleet.leader() is not None
        first.crash()
        fleet.heal_all()
        again = propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        assert again[0].code == ResultCode.OK


class TestLeadership:
    """A leader without a majority steps down."""

    def test_a_partitioned_leader_steps_down(self, fleet: Fleet) -> None:
        """An operator must not wait forever for a partitioned control instance.

        The leader's links drop all messages for an hour.  It steps down and
        answers that there is no quorum; its return deposes no leader.
        """
        first = fleet.leader()
        fleet.isolate(first.name)
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        with pytest.raises(CallFailedError) as caught:
            propose(first)
        assert caught.value.code is ResultCode.NO_QUORUM
        second = fleet.leader()
        term = second.replica.consensus.term
        fleet.now += 3600
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        second_term = fleet.leader().replica.consensus.term
        fleet.cut_links.clear()
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        assert fleet.leader().replica.consensus.term == second_term
        assert second_term >= term
        assert first.replica.consensus.leader == fleet.leader().name

    @pytest.mark.parametrize('outward', [True, False])
    def test_a_one_way_partition_moves_the_leadership(
        self, fleet: Fleet, outward: bool
    ) -> None:
        """Changes must be possible while a majority is connected.

        The leader's messages are lost, or only the answers to them.  In both
        cases another replica has to become leader soon.
        """
        first = fleet.leader()
        for other in followers(fleet):
            pair = (first.name, other.name)
            fleet.cut_links.add(pair if outward else tuple(reversed(pair)))
        fleet.pass_ticks(4 * TICKS_PER_SECOND)
        assert fleet.leader() is not first
        assert not first.replica.consensus.is_leader

    def test_a_resumed_leader_returns_no_stale_read(self, fleet: Fleet) -> None:
        """An operator must not read tables from before a committed change.

        The leader is suspended until another one is elected and commits a
        change.  The old one resumes and is asked for a read at once.
        """
        first = fleet.leader()
        first.frozen = True
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        first.frozen = False
        read: list[object] = []
        first.run(lambda replica: replica.read(read.append))
        fleet.pass_ticks(TICKS_PER_SECOND)
        assert [type(outcome) for outcome in read] == [CallFailedError]
        assert zone_is_out(first)

    def test_a_read_sees_earlier_committed_changes(self, fleet: Fleet) -> None:
        propose(fleet.leader())
        fleet.pass_ticks(3)
        seen: list[bool] = []
        leader = fleet.leader()
        leader.run(
            lambda replica: replica.read(
                lambda outcome: seen.append(zone_is_out(leader))
            ),
        )
        fleet.pass_ticks(3)
        assert seen == [True]

    def test_a_replica_that_stops_hands_over(self, fleet: Fleet) -> None:
        """A planned restart must not cost a second without changes.

        The leader is about to stop; a follower takes over before that, without
        waiting for an election timeout.
        """
        first = fleet.leader()
        first.run(lambda replica: replica.step(HandOverRequested()))
        fleet.pass_ticks(4)
        assert fleet.leader() is not first

    def test_a_follower_names_the_leader(self, fleet: Fleet) -> None:
        fleet.pass_ticks(3)
        with pytest.raises(
            CallFailedError, match=fleet.leader().name
        ) as caught:
            propose(followers(fleet)[0])
        assert caught.value.code is ResultCode.NOT_LEADER


class TestLostDisk:
    """A replica that lost its disk does not vote until it is readmitted."""

    def test_is_readmitted_and_a_second_loss_loses_nothing(
        self, fleet: Fleet
    ) -> None:
        """A committed change must survive disk losses one after the other.

        One replica loses its disk and returns.  As soon as it is a voter again
        the second one loses its disk, then the third one.
        """
        propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        for node in fleet.nodes:
            lose_disk(fleet, node)
            while not fleet.all_are_voters():
                fleet.pass_ticks(1)
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_gives_no_vote_after_losing_a_committed_change(
        self, fleet: Fleet
    ) -> None:
        """A committed change must not be reverted.

        The leader and one follower commit a change while the other follower is
        partitioned.  Then the leader crashes, and the first follower returns
        with an empty disk.  With its vote, the replica that does not hold the
        change would become leader.
        """
        first = fleet.leader()
        informed, behind = followers(fleet)
        fleet.isolate(behind.name)
        answers = propose(first)
        fleet.pass_ticks(TICKS_PER_SECOND)
        assert answers[0].code == ResultCode.OK
        first.crash()
        lose_disk(fleet, informed)
        fleet.cut_links.clear()
        fleet.pass_ticks(30 * TICKS_PER_SECOND)
        assert fleet.leader() is None
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_does_not_help_a_leader_that_was_replaced(
        self, fleet: Fleet
    ) -> None:
        """A committed change must not be reverted after the loss of one disk.

        A leader is partitioned while the two others elect the next one and
        commit a change.  Then one of these loses its disk, and both it and the
        old leader are partitioned from the new one.  The old leader must not
        readmit the lost replica on its own: the two would be a majority
        without the change.
        """
        old = fleet.leader()
        fleet.isolate(old.name)
        old.frozen = True
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        new = fleet.leader()
        answers = propose(new)
        fleet.pass_ticks(TICKS_PER_SECOND)
        assert answers[0].code == ResultCode.OK
        lost = next(node for node in fleet.nodes if node not in {old, new})
        lose_disk(fleet, lost)
        fleet.cut_links.clear()
        fleet.isolate(new.name)
        old.frozen = False
        fleet.pass_ticks(30 * TICKS_PER_SECOND)
        assert fleet.leader() in {None, new}
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_does_not_complete_a_majority_beside_a_newer_leader(
        self, fleet: Fleet
    ) -> None:
        """A committed change must not be replaced after the loss of one disk.

        A leader is partitioned, but answers from before keep arriving late, so
        that it remains leader of its term.  The others elect the next leader
        and commit a change.  The one that voted loses its disk and now reaches
        the old leader only.  If it were a voter there at once, the two could
        commit other entries in place of the change.
        """
        old = fleet.leader()
        late = collect_answers(fleet)
        fleet.isolate(old.name)
        for _ in range(3 * TICKS_PER_SECOND):
            deliver_late(old, late)
            fleet.pass_ticks(1)
        new = fleet.leader()
        assert new is not old
        assert old.replica.consensus.is_leader
        answers = propose(new)
        for _ in range(3):
            deliver_late(old, late)
            fleet.pass_ticks(1)
        assert answers[0].code == ResultCode.OK
        lost = next(node for node in followers(fleet) if node is not old)
        lose_disk(fleet, lost)
        fleet.cut_links.clear()
        fleet.isolate(new.name)
        for _ in range(10 * TICKS_PER_SECOND):
            deliver_late(
                old, [sent for sent in late if sent.source == new.name]
            )
            fleet.pass_ticks(1)
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_a_majority_of_lost_disks_elects_no_leader(
        self, fleet: Fleet
    ) -> None:
        """Tables must not become empty after two disks are replaced at once.

        Two replicas return empty.  They are a majority, but committed changes
        may be on the third one only, so none of them may lead.
        """
        propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        for node in followers(fleet):
            lose_disk(fleet, node)
        fleet.pass_ticks(60 * TICKS_PER_SECOND)
        assert fleet.leader() is None
        roles = {node.replica.consensus.role_name for node in fleet.nodes}
        assert 'fresh' in roles


class TestRecovery:
    """Recovery of the only replica that is left."""

    def test_continues_with_the_state_of_one_replica(
        self, fleet: Fleet
    ) -> None:
        """Changes must be possible again after two disks were lost at once.

        Operators recover the third replica.  The two others start empty, are
        admitted one after the other, and are voters from then on.
        """
        propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        left, *lost = fleet.nodes
        left.crash()
        recover_folder(left.folder, left.name)
        left.start()
        for node in lost:
            lose_disk(fleet, node)
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)
        group = left.replica.consensus.log.group
        assert group == tuple(
            Voter(node.name, node.identity) for node in fleet.nodes
        )
        left.crash()
        fleet.pass_ticks(3 * TICKS_PER_SECOND)
        assert fleet.leader() is not None

    def test_refuses_an_empty_folder(self) -> None:
        with pytest.raises(StorageError) as caught:
            recover_folder(FakeFolder(random.Random(0)), 'a')
        assert caught.value.code is ResultCode.DATA_MISSING


class TestFirstStart:
    """A group is formed once."""

    def test_waits_for_all_replicas(self) -> None:
        """No second group may form beside a first one.

        Two of three new replicas start; the third one may have run before and
        hold committed changes on its disk.
        """
        fleet = Fleet(seed=3)
        fleet.node_by_name['c'].crash()
        fleet.pass_ticks(10 * TICKS_PER_SECOND)
        assert fleet.leader() is None
        fleet.heal_all()
        assert fleet.leader() is not None

    @pytest.mark.parametrize('operations', range(8))
    def test_survives_a_power_failure(self, operations: int) -> None:
        fleet = Fleet(seed=operations)
        for node in fleet.nodes:
            node.folder.operations_left = operations
        fleet.pass_ticks(TICKS_PER_SECOND)
        fleet.heal_all()
        assert fleet.leader() is not None

    def test_all_restart_at_once(self, fleet: Fleet) -> None:
        """The tables must survive a power failure of the whole site."""
        propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        for node in fleet.nodes:
            node.crash()
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)
        answers = propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        assert isinstance(answers[0], ChangeAnswer)
        assert answers[0].code == ResultCode.OK

    @pytest.mark.parametrize('seed', range(5))
    def test_no_replica_confirms_old_tables(self, seed: int) -> None:
        """Callers must not be refused routes that operators have set.

        All replicas lose power after a change was committed.  They restart
        with what is on their disks, know none of it to be committed, and hear
        a new leader before it knows either.  If they confirmed their tables
        then, balancers would refuse every route for a tenth of a second.
        """
        fleet = Fleet(seed).form_group()
        propose(fleet.leader())
        fleet.pass_ticks(TICKS_PER_SECOND)
        for node in fleet.nodes:
            node.crash()
        for node in fleet.nodes:
            node.start()
        for _ in range(3 * TICKS_PER_SECOND):
            fleet.pass_ticks(1)
            confirmed = [
                node
                for node in fleet.nodes
                if _has_confirmed_tables(node, fleet.now)
            ]
            assert all(zone_is_out(node) for node in confirmed)
        assert confirmed == fleet.nodes


def _has_confirmed_tables(node: Node, now: float) -> bool:
    return node.replica.consensus.confirmed_age(now) < 1
