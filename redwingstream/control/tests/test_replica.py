"""Replicas with their disks, in memory: what is accepted stays."""

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

SECOND = 20
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
    """Ask a replica for the change; return the list of its answers."""
    answers: list[object] = []
    node.run(lambda replica: replica.propose(REQUEST, answers.append))
    return answers


def followers(fleet: Fleet) -> list[Node]:
    """Return all but the leader."""
    return [node for node in fleet.nodes if node is not fleet.leader()]


def collect_answers(fleet: Fleet) -> list[SentMessage]:
    """Return an answer of each follower to a sign of life of the leader."""
    answer_by_source: dict[str, SentMessage] = {}
    while len(answer_by_source) < len(followers(fleet)):
        fleet.pass_ticks(1)
        for sent in fleet.in_transit:
            if isinstance(sent.outgoing.message, AppendAnswer):
                answer_by_source[sent.source] = sent
    return list(answer_by_source.values())


def deliver_late(node: Node, late: list[SentMessage]) -> None:
    """Let messages arrive that the network held back."""
    for sent in late:
        event = Received(sent.outgoing.message)
        node.run(partial(Replica.step, event=event))


class TestWrite:
    """The leader is killed at each step of a write."""

    @pytest.mark.parametrize('operations', range(4))
    def test_a_leader_killed_within_its_write(
        self, fleet: Fleet, operations: int
    ) -> None:
        """An accepted change would vanish, or be made twice.

        The leader loses its power before the write, before its own sync,
        after its sync, or later; the operator gets no answer or one, and
        sends again.  Whatever happened, the change is there once.
        """
        first = fleet.leader()
        first.folder.operations_left = operations
        answers = propose(first)
        fleet.pass_ticks(3)
        first.crash()
        fleet.pass_ticks(3 * SECOND)
        again = propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        assert again[0].code == ResultCode.OK
        assert again[0] in answers or not answers
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_no_answer_before_a_majority_has_synced(self, fleet: Fleet) -> None:
        """The operator is told yes, and the change reverts.

        The leader syncs its own copy while both others are cut off, then
        stops leading.  It must not have said yes; the others go on without
        the change, and the leader's copy is replaced.
        """
        first = fleet.leader()
        fleet.isolate(first.name)
        answers = propose(first)
        fleet.pass_ticks(3 * SECOND)
        assert [type(answer) for answer in answers] == [CallFailedError]
        assert answers[0].code is ResultCode.NO_QUORUM
        fleet.heal_all()
        assert not any(zone_is_out(node) for node in fleet.nodes)

    def test_an_entry_synced_by_a_majority_survives_its_leader(
        self, fleet: Fleet
    ) -> None:
        """The answer was on its way when the leader died.

        Both followers have synced the entry, the leader dies before it hears
        of it; the next leader must bring the change through.
        """
        first = fleet.leader()
        propose(first)
        # One tick brings the entry to the followers, whose answers are lost.
        fleet.pass_tick(loss=0, repeat=0)
        first.crash()
        fleet.in_transit.clear()
        fleet.pass_ticks(3 * SECOND)
        assert zone_is_out(fleet.leader())

    @pytest.mark.parametrize('operations', range(3))
    def test_a_follower_killed_within_its_write(
        self, fleet: Fleet, operations: int
    ) -> None:
        """An accepted change is gone after the leader's machine is lost.

        Both followers lose their power while they write the entry.  Had they
        answered before their sync, the leader would have said yes on copies
        that were never made.
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
        fleet.pass_ticks(5 * SECOND)
        assert zone_is_out(fleet.leader()) or not accepted

    @pytest.mark.parametrize(
        'code', [ResultCode.DISK_FULL, ResultCode.DISK_FAILED]
    )
    def test_a_leader_whose_disk_fails_says_nothing_more(
        self, fleet: Fleet, code: ResultCode
    ) -> None:
        """A change is accepted on bytes that never reached the disk.

        The leader's sync fails.  It must neither send the entry nor answer;
        the others elect another leader.
        """
        first = fleet.leader()
        first.folder.failure = code
        answers = propose(first)
        fleet.pass_ticks(3 * SECOND)
        assert [type(answer) for answer in answers] == [CallFailedError]
        assert [error.code for error in first.failures] == [code]
        assert isinstance(first.failures[0], StorageError)
        with pytest.raises(CallFailedError):
            propose(first)
        assert fleet.leader() is not None
        first.crash()
        fleet.heal_all()
        again = propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        assert again[0].code == ResultCode.OK


class TestLeadership:
    """A leader that nobody follows any more stops saying yes."""

    def test_a_leader_cut_off_silently_steps_down(self, fleet: Fleet) -> None:
        """An operator waits for ever on a control instance that is cut off.

        The leader's links drop everything without a word for an hour.  It
        stops leading and says that there is no quorum; afterwards its return
        disturbs nobody.
        """
        first = fleet.leader()
        fleet.isolate(first.name)
        fleet.pass_ticks(3 * SECOND)
        with pytest.raises(CallFailedError) as caught:
            propose(first)
        assert caught.value.code is ResultCode.NO_QUORUM
        second = fleet.leader()
        term = second.replica.consensus.term
        fleet.now += 3600
        fleet.pass_ticks(3 * SECOND)
        second_term = fleet.leader().replica.consensus.term
        fleet.cut_links.clear()
        fleet.pass_ticks(3 * SECOND)
        assert fleet.leader().replica.consensus.term == second_term
        assert second_term >= term
        assert first.replica.consensus.leader == fleet.leader().name

    @pytest.mark.parametrize('outward', [True, False])
    def test_a_one_way_cut_moves_the_leadership(
        self, fleet: Fleet, outward: bool
    ) -> None:
        """No change is accepted although a majority could.

        The leader's messages are lost, or only the answers to them; either
        way another replica has to lead soon.
        """
        first = fleet.leader()
        for other in followers(fleet):
            pair = (first.name, other.name)
            fleet.cut_links.add(pair if outward else tuple(reversed(pair)))
        fleet.pass_ticks(4 * SECOND)
        assert fleet.leader() is not first
        assert not first.replica.consensus.is_leader

    def test_a_thawed_leader_reads_nothing_old(self, fleet: Fleet) -> None:
        """An operator reads tables from before the accepted change.

        The leader is frozen for longer than its term, another one accepts a
        change, and the old one thaws and is asked first of all.
        """
        first = fleet.leader()
        first.frozen = True
        fleet.pass_ticks(3 * SECOND)
        propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        first.frozen = False
        read: list[object] = []
        first.run(lambda replica: replica.read(read.append))
        fleet.pass_ticks(SECOND)
        assert [type(outcome) for outcome in read] == [CallFailedError]
        assert zone_is_out(first)

    def test_a_read_sees_what_was_accepted_before(self, fleet: Fleet) -> None:
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
        """Each planned restart costs a second without changes.

        The leader is told to stop; a follower takes over before it goes,
        without waiting for a timeout.
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
    """A replica that forgot does not vote before it is readmitted."""

    def test_is_readmitted_and_a_second_loss_loses_nothing(
        self, fleet: Fleet
    ) -> None:
        """An accepted change is gone after two repairs in a row.

        One replica loses its disk and returns; right after it counts again
        the second one loses its disk, then the third one.
        """
        propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        for node in fleet.nodes:
            lose_disk(fleet, node)
            while not fleet.all_are_voters():
                fleet.pass_ticks(1)
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_gives_no_vote_for_what_it_has_forgotten(
        self, fleet: Fleet
    ) -> None:
        """An accepted change reverts.

        The leader and one follower accept a change while the other follower
        is cut off; then the leader dies, and the first follower returns with
        an empty disk.  With its vote the one that knows nothing of the
        change would lead.
        """
        first = fleet.leader()
        knows, behind = followers(fleet)
        fleet.isolate(behind.name)
        answers = propose(first)
        fleet.pass_ticks(SECOND)
        assert answers[0].code == ResultCode.OK
        first.crash()
        lose_disk(fleet, knows)
        fleet.cut_links.clear()
        fleet.pass_ticks(30 * SECOND)
        assert fleet.leader() is None
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_does_not_help_a_leader_that_was_replaced(
        self, fleet: Fleet
    ) -> None:
        """An accepted change reverts, with only one disk lost.

        A leader is cut off while the two others elect the next one and
        accept a change; then one of these loses its disk, and both it and
        the old leader are cut off from the new one.  The old leader must not
        fill the place of the lost replica by itself: it would make up a
        majority that does not know the change.
        """
        old = fleet.leader()
        fleet.isolate(old.name)
        old.frozen = True
        fleet.pass_ticks(3 * SECOND)
        new = fleet.leader()
        answers = propose(new)
        fleet.pass_ticks(SECOND)
        assert answers[0].code == ResultCode.OK
        lost = next(node for node in fleet.nodes if node not in {old, new})
        lose_disk(fleet, lost)
        fleet.cut_links.clear()
        fleet.isolate(new.name)
        old.frozen = False
        fleet.pass_ticks(30 * SECOND)
        assert fleet.leader() in {None, new}
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_does_not_complete_a_majority_beside_a_newer_leader(
        self, fleet: Fleet
    ) -> None:
        """An accepted change is replaced, with only one disk lost.

        A leader is cut off, but answers from before the cut keep arriving
        late, so that it goes on leading its term.  The others elect the next
        leader and accept a change.  The one that voted loses its disk and
        now reaches the old leader only.  Did it count there at once, the two
        of them could accept entries in place of the change.
        """
        old = fleet.leader()
        late = collect_answers(fleet)
        fleet.isolate(old.name)
        for _ in range(3 * SECOND):
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
        for _ in range(10 * SECOND):
            deliver_late(
                old, [sent for sent in late if sent.source == new.name]
            )
            fleet.pass_ticks(1)
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)

    def test_a_majority_of_lost_disks_invents_nothing(
        self, fleet: Fleet
    ) -> None:
        """Operators find empty tables after two disks were replaced at once.

        Two replicas return empty.  They are a majority, but what was
        accepted may be on the third one only; none of them may lead.
        """
        propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        for node in followers(fleet):
            lose_disk(fleet, node)
        fleet.pass_ticks(60 * SECOND)
        assert fleet.leader() is None
        roles = {node.replica.consensus.role_name for node in fleet.nodes}
        assert 'fresh' in roles


class TestRecovery:
    """Operators go on with the only replica that is left."""

    def test_goes_on_with_what_one_replica_has(self, fleet: Fleet) -> None:
        """After two disks were lost at once no change is accepted any more.

        Operators recover the third replica; the two others start empty, are
        admitted one after the other, and count from then on.
        """
        propose(fleet.leader())
        fleet.pass_ticks(SECOND)
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
        fleet.pass_ticks(3 * SECOND)
        assert fleet.leader() is not None

    def test_refuses_an_empty_folder(self) -> None:
        with pytest.raises(StorageError) as caught:
            recover_folder(FakeFolder(random.Random(0)), 'a')
        assert caught.value.code is ResultCode.DATA_MISSING


class TestFirstStart:
    """A group is formed once."""

    def test_waits_for_all_replicas(self) -> None:
        """A second group forms beside the first one.

        Two of three new replicas start; the third one may have been there
        before, with accepted changes on its disk.
        """
        fleet = Fleet(seed=3)
        fleet.node_by_name['c'].crash()
        fleet.pass_ticks(10 * SECOND)
        assert fleet.leader() is None
        fleet.heal_all()
        assert fleet.leader() is not None

    @pytest.mark.parametrize('operations', range(8))
    def test_survives_a_power_cut(self, operations: int) -> None:
        fleet = Fleet(seed=operations)
        for node in fleet.nodes:
            node.folder.operations_left = operations
        fleet.pass_ticks(SECOND)
        fleet.heal_all()
        assert fleet.leader() is not None

    def test_all_restart_at_once(self, fleet: Fleet) -> None:
        """The tables are gone after a power cut of the whole site."""
        propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        for node in fleet.nodes:
            node.crash()
        fleet.heal_all()
        assert all(zone_is_out(node) for node in fleet.nodes)
        answers = propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        assert isinstance(answers[0], ChangeAnswer)
        assert answers[0].code == ResultCode.OK

    @pytest.mark.parametrize('seed', range(5))
    def test_nobody_takes_old_tables_for_the_newest(self, seed: int) -> None:
        """Callers are refused routes that operators have set.

        All replicas lose power after a change was accepted.  They come back
        with what their disks hold and know none of it as accepted; a leader is
        elected and heard before it knows.  Balancers that were told then that
        the tables are the newest refused each route for a tenth of a second.
        """
        fleet = Fleet(seed).form_group()
        propose(fleet.leader())
        fleet.pass_ticks(SECOND)
        for node in fleet.nodes:
            node.crash()
        for node in fleet.nodes:
            node.start()
        for _ in range(3 * SECOND):
            fleet.pass_ticks(1)
            sure = [node for node in fleet.nodes if _is_sure(node, fleet.now)]
            assert all(zone_is_out(node) for node in sure)
        assert sure == fleet.nodes


def _is_sure(node: Node, now: float) -> bool:
    return node.replica.consensus.confirmed_age(now) < 1
