"""Decisions of one replica on single events."""

import random

from redwingstream.consensus.core import Consensus
from redwingstream.consensus.events import (
    Effects,
    HardState,
    Proposed,
    Received,
    SnapshotTaken,
    Synced,
    Ticked,
)
from redwingstream.consensus.leader_messages import (
    MAX_BATCH_BYTES,
    SNAPSHOT_PART_BYTES,
)
from redwingstream.consensus.messages import (
    AppendAnswer,
    AppendEntries,
    Entry,
    Snapshot,
    SnapshotPart,
    VoteAnswer,
    Voter,
    VoteRequest,
)
from redwingstream.consensus.state import Timing

GROUP = (Voter('a', 1), Voter('b', 2), Voter('c', 3))
MYSELF, SECOND, THIRD = GROUP
KIND = 43


def make_replica(*entries: Entry, term: int = 2) -> Consensus:
    """Return replica a of a formed group with these entries."""
    replica = Consensus(
        MYSELF, ('a', 'b', 'c'), Timing(), random.Random(0), now=0
    )
    formed = Snapshot(0, 0, GROUP, b'')
    replica.restore(HardState(term, ''), formed, list(entries))
    return replica


def make_leader(*entries: Entry) -> Consensus:
    """Return replica a as leader of term 3."""
    replica = make_replica(*entries)
    replica.step(Ticked(), 2)
    replica.step(Received(VoteAnswer(3, SECOND, pre=True, granted=True)), 2)
    effects = replica.step(
        Received(VoteAnswer(3, SECOND, pre=False, granted=True)), 2
    )
    assert replica.is_leader
    replica.step(Synced(effects.entries[-1].index), 2)
    return replica


def answered(match: int, sender: Voter = SECOND) -> Received:
    """Return a follower's answer in term 3."""
    return Received(
        AppendAnswer(3, sender, accepted=True, match=match, round=1)
    )


def sent_to(effects: Effects, name: str) -> list[object]:
    """Return the messages to a replica."""
    return [out.message for out in effects.outgoing if out.target == name]


class TestCommit:
    """When entries are committed."""

    def test_an_earlier_term_commits_only_with_an_entry_of_the_own(
        self,
    ) -> None:
        """An entry of an earlier term is not committed by copies alone.

        Entry 1 of term 1 is on two replicas, and a third one has another
        entry 1 of term 2, with which it can still be elected and replace it.
        Only an entry of the leader's own term prevents that.
        """
        leader = make_leader(Entry(1, 1, KIND, b''))
        assert not leader.step(answered(1), 2.1).committed
        committed = leader.step(answered(2), 2.2).committed
        assert [entry.index for entry in committed] == [1, 2]

    def test_the_leaders_copy_counts_once_synced(self) -> None:
        leader = make_leader(Entry(1, 1, KIND, b''))
        index, _ = leader.propose(Proposed(KIND, b'x'), 2)
        assert leader.step(answered(index), 2.1).committed
        assert leader.commit == index - 1
        leader.step(Synced(index), 2.2)
        assert leader.commit == index

    def test_a_replica_of_another_identity_does_not_count(self) -> None:
        leader = make_leader(Entry(1, 1, KIND, b''))
        leader.step(answered(2, Voter('b', 99)), 2.1)
        assert leader.commit == 0


class TestVotes:
    """Which requests are granted a vote."""

    def test_one_vote_a_term(self) -> None:
        replica = make_replica()
        for sender, granted in ((SECOND, True), (THIRD, False)):
            asked = VoteRequest(3, sender, 0, 0, pre=False)
            effects = replica.step(Received(asked), 5)
            answer = sent_to(effects, sender.name)[0]
            assert answer.granted is granted

    def test_a_vote_is_stored(self) -> None:
        asked = VoteRequest(3, SECOND, 0, 0, pre=False)
        effects = make_replica().step(Received(asked), 5)
        assert effects.hard_state == HardState(3, 'b')

    def test_no_vote_for_a_shorter_log(self) -> None:
        replica = make_replica(Entry(1, 2, KIND, b''))
        asked = VoteRequest(3, SECOND, 9, 1, pre=False)
        effects = replica.step(Received(asked), 5)
        assert not sent_to(effects, 'b')[0].granted

    def test_a_pre_vote_changes_no_term(self) -> None:
        """A replica back from a partition must not depose the leader."""
        replica = make_replica()
        asked = VoteRequest(9, SECOND, 0, 0, pre=True)
        effects = replica.step(Received(asked), 5)
        assert effects.hard_state is None
        assert replica.term == 2

    def test_a_replica_that_hears_a_leader_gives_no_vote(self) -> None:
        replica = make_replica()
        alive = AppendEntries(2, THIRD, 0, 0, (), 0, 1)
        replica.step(Received(alive), 5)
        asked = VoteRequest(3, SECOND, 0, 0, pre=False)
        effects = replica.step(Received(asked), 5.1)
        assert not sent_to(effects, 'b')[0].granted
        assert replica.term == 2

    def test_a_replica_outside_its_own_group_votes(self) -> None:
        """Guards against a group without a leader after a lost disk."""
        replica = Consensus(
            MYSELF, ('a', 'b', 'c'), Timing(), random.Random(0), now=0
        )
        earlier_group = (Voter('d', 4), SECOND, THIRD)
        formed = Snapshot(0, 0, earlier_group, b'')
        replica.restore(HardState(2, ''), formed, [])
        request = VoteRequest(3, SECOND, 7, 2, pre=False, handed_over=False)
        effects = replica.step(Received(request), 2)
        votes = sent_to(effects, 'b')
        assert [(vote.sender, vote.granted) for vote in votes] == [
            (MYSELF, True)
        ]
        assert effects.hard_state == HardState(3, 'b')

    def test_a_vote_under_another_identity_does_not_count(self) -> None:
        """Guards against two leaders of a term after a lost disk."""
        replica = make_replica(Entry(1, 2, KIND, b''))
        replica.step(Ticked(), 2)
        stranger = Voter(SECOND.name, 22)
        for pre in (True, False):
            vote = VoteAnswer(3, stranger, pre=pre, granted=True)
            replica.step(Received(vote), 2)
        assert not replica.is_leader


class TestEntries:
    """A follower's log becomes equal to the leader's."""

    def test_a_late_message_truncates_nothing(self) -> None:
        """A delayed message must not remove an acknowledged entry.

        The leader sends entry 1, then 1 and 2; the first message arrives
        after the second one.  Entry 2 must stay.
        """
        replica = make_replica()
        one, two = Entry(1, 3, KIND, b''), Entry(2, 3, KIND, b'')
        both = AppendEntries(3, SECOND, 0, 0, (one, two), 0, 1)
        replica.step(Received(both), 5)
        late = AppendEntries(3, SECOND, 0, 0, (one,), 0, 1)
        effects = replica.step(Received(late), 5)
        assert not effects.entries
        assert replica.log.last_index == 2

    def test_entries_of_another_leader_are_replaced(self) -> None:
        replica = make_replica(Entry(1, 1, KIND, b''), Entry(2, 1, KIND, b''))
        other = Entry(2, 3, KIND, b'other')
        sent = AppendEntries(3, SECOND, 1, 1, (other,), 0, 1)
        effects = replica.step(Received(sent), 5)
        assert effects.entries == [other]
        assert replica.log.entries[-1] == other

    def test_a_leader_of_an_older_term_is_refused(self) -> None:
        sent = AppendEntries(1, SECOND, 0, 0, (), 0, 1)
        effects = make_replica().step(Received(sent), 5)
        answer = sent_to(effects, 'b')[0]
        assert not answer.accepted
        assert answer.term == 2


class TestBounds:
    """A slow replica takes no memory, and messages have a maximum size."""

    def test_a_silent_replica_has_one_unanswered_message(self) -> None:
        """A leader's memory must not grow because one replica hangs.

        The replica answers nothing while hundreds of changes are proposed;
        they must not accumulate in messages for it.
        """
        leader = make_leader(Entry(1, 1, KIND, b''))
        sent = []
        for _ in range(300):
            _, effects = leader.propose(Proposed(KIND, b'x' * 1000), 2.01)
            sent += sent_to(effects, 'c')
        assert not sent
        resent = sent_to(leader.step(Ticked(), 2.2), 'c')
        assert len(resent) == 1
        size = sum(len(entry.body) for entry in resent[0].entries)
        assert 0 < size <= MAX_BATCH_BYTES

    def test_a_snapshot_is_sent_in_parts(self) -> None:
        state = bytes(3 * SNAPSHOT_PART_BYTES + 5)
        leader = make_leader(Entry(1, 1, KIND, b''))
        leader.step(answered(2), 2.1)
        leader.step(SnapshotTaken(2, state, kept_entries=0), 2.1)
        follower = Consensus(
            Voter('c', 9), ('a', 'b', 'c'), Timing(), random.Random(1), now=0
        )
        now, parts, installed = 2.1, 0, None
        while installed is None:
            now += 0.2
            leader.step(answered(2), now)
            for message in sent_to(leader.step(Ticked(), now), 'c'):
                parts += isinstance(message, SnapshotPart)
                effects = follower.step(Received(message), now)
                installed = effects.snapshot
                for answer in sent_to(effects, 'a'):
                    leader.step(Received(answer), now)
        assert installed.state == state
        assert installed.group == GROUP
        assert parts >= 4
