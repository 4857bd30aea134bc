"""A bucket changes hands: fences, earlier pairs, loss of both."""

import attrs

from redwingstream.errors import ResultCode
from redwingstream.placement.effects import (
    BucketInEffect,
    FetchNeeded,
    InEffect,
    NotHome,
    Recorded,
    RecordRefused,
    Recovering,
    Taking,
)
from redwingstream.placement.messages import (
    BucketContents,
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.placement.parts import PART_BYTES, encoded_size, split
from redwingstream.placement.tests.fakes import (
    HORIZON,
    Network,
    flow,
    member,
    view_with_pair,
    started,
)
from redwingstream.tables.rows import EarlierView

HOST_A, HOST_B, HOST_C, HOST_D = (
    member(*each) for each in zip('abcd', (1, 2, 3, 4), strict=True)
)
FIRST = view_with_pair(1, HOST_A, HOST_B)


def network() -> Network:
    """Return agents a to d of which the first view has a and b settled."""
    net = Network()
    for each in (HOST_A, HOST_B, HOST_C, HOST_D):
        net.join(each)
    net.apply_view(FIRST)
    net.deliver()
    return net


def given_by(net: Network, host: str) -> int:
    """Count the parts that a host has sent."""
    return len(net.sent_by(host, BucketGiven))


class TestTakeover:
    """The new home hears from one of each earlier pair."""

    def test_brings_records_to_the_new_pair(self) -> None:
        net = network()
        net.record('a', flow(4000, 'd'))
        net.deliver()
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST))
        net.run(1)
        assert net.status('c') == InEffect()
        assert net.status('a') == NotHome(
            view_with_pair(2, HOST_C, HOST_D).members[0],
        )
        assert net.holds('c') == net.holds('d') == flow(4000, 'd')

    def test_old_home_forgets_only_when_settled(self) -> None:
        net = network()
        net.record('a', flow(4000, 'd'))
        net.deliver()
        following = view_with_pair(2, HOST_C, HOST_D, after=FIRST)
        net.apply_view(following)
        net.run(1)
        assert net.holds('a') == flow(4000, 'd')
        net.apply_view(view_with_pair(2, HOST_C, HOST_D))
        assert net.holds('a') == net.holds('b') == BucketContents()
        assert net.holds('c') == net.holds('d') == flow(4000, 'd')

    def test_skipped_view_does_not_hide_what_ran_under_it(self) -> None:
        """A reservation would be made twice.

        Home a waits for its heir with a request.  Unnoticed by a, the bucket
        moves to c, which runs a replay of the request, and back to a.  If a
        repeated its record under the new view, it would run it again.
        """
        net = network()
        net.record('a', started(7))
        net.pop_held(Record)
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.apply_view(second, 'b', 'c')
        net.run(1)
        net.record('c', started(7))
        net.deliver()
        net.apply_view(view_with_pair(3, HOST_A, HOST_B, after=second))
        net.run(1)
        assert net.results('c') == [Recorded(1)]
        refused = RecordRefused(1, ResultCode.OUTCOME_UNKNOWN)
        assert net.results('a') == [refused]

    def test_heir_for_a_while_does_not_repeat_what_it_recorded(self) -> None:
        """A reservation would be made twice.

        Home a waits with a request; under a view that a has not heard of, a
        is heir and accepts the record of the same request from c, which runs
        it.  Then a is home again and must not go on with its own record.
        """
        net = network()
        net.record('a', started(7))
        net.pop_held(Record)
        second = view_with_pair(2, HOST_C, HOST_A, after=FIRST)
        net.cut = {'b'}
        net.apply_view(second, 'c')
        net.run(1)
        net.record('c', started(7))
        net.deliver()
        net.cut = set()
        net.apply_view(view_with_pair(3, HOST_A, HOST_B, after=second))
        net.run(1)
        assert net.results('c') == [Recorded(1)]
        assert Recorded(1) not in net.results('a')
        assert net.holds('b') == started(7)

    def test_fenced_home_ignores_the_answer_to_an_old_record(self) -> None:
        """A reservation would be made twice.

        Home a has sent a record; before the answer comes, the new home c
        reads a's contents, in which the record is not.  The heir b, which
        nobody has fenced, accepts it then.  For c the request is new.
        """
        net = network()
        net.record('a', started(7))
        late = net.pop_held(Record)
        net.cut = {'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST), 'c')
        net.run(1)
        assert net.status('c') == InEffect()
        net.cut = set()
        net.held = late
        net.deliver()
        assert net.status('a') == NotHome()
        assert net.results('a') == []

    def test_another_run_does_not_answer_for_the_former_one(self) -> None:
        """A run that remembers nothing would say that nothing ran.

        The heir restarts with an empty memory at the same address, the home
        is cut off; the new home asks the heir's address.
        """
        net = network()
        net.record('a', started(7))
        net.deliver()
        net.join(member('b', 5))
        net.cut = {'a'}
        net.apply_view(view_with_pair(6, HOST_C, HOST_D, after=FIRST), 'c')
        net.run(3)
        assert isinstance(net.status('c'), Recovering)
        assert given_by(net, 'b') == 0

    def test_a_view_without_members_stands_for_unknown_ones(self) -> None:
        """A replayed reading would run a second time.

        Agents flap until control has cut off the oldest unsettled views, or
        operators have recovered a lost majority.  What took effect under the
        views that are gone nobody can name; an earlier view without members
        stands in their place.  The new home hears from all others.
        """
        net = network()
        view = view_with_pair(3, HOST_A, HOST_C, after=FIRST)
        unknown = EarlierView(2, ())
        net.apply_view(attrs.evolve(view, unsettled=(unknown, *view.unsettled)))
        net.run(3)
        assert isinstance(net.status('a'), Recovering)
        net.run(HORIZON)
        assert net.status('a') == InEffect()

    def test_record_of_a_later_view_survives_a_late_table(self) -> None:
        """A feed would be forgotten although its heir lives on.

        Agent d accepts a record as heir of a view that it has not adopted
        yet.  Then it adopts the view before, in which it holds nothing.
        """
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.apply_view(second, 'c')
        net.run(1)
        net.apply_view(view_with_pair(3, HOST_C, HOST_D, after=second), 'c')
        net.record('c', flow(4000, 'c'))
        net.run(1)
        net.apply_view(second, 'd')
        net.apply_view(view_with_pair(2, HOST_C, HOST_B), 'd')
        assert net.holds('d') == flow(4000, 'c')

    def test_contents_in_parts_are_those_of_the_first_asking(self) -> None:
        """An entry between two parts would be missing in both.

        The old home's store changes after the first part was read: cut again,
        the contents would leave out an entry at the seam.
        """
        net = network()
        for key in range(5):
            net.record('a', started(key, bytes(20000)))
            net.deliver()
        net.cut = {'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST), 'c')
        net.cut = {'b'}
        net.hand_over_first()
        net.agent_by_host['a'].store.forget(started(0).entries[0].key)
        net.deliver()
        assert len(net.holds('c').entries) == 5
        assert given_by(net, 'a') == 3

    def test_is_not_in_effect_before_the_last_part(self) -> None:
        net = network()
        for key in range(5):
            net.record('a', started(key, bytes(20000)))
            net.deliver()
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST), 'c')
        while len(net.holds('c').entries) < 5:
            assert isinstance(net.status('c'), Taking)
            net.hand_over_first()
        net.run(1)
        assert net.status('c') == InEffect()

    def test_what_was_heard_counts_under_the_next_view(self) -> None:
        """Requests would be refused for minutes although nothing was lost.

        The new home c has heard b and merged its contents; then a and b die
        and the next view comes, under which c is home again.
        """
        net = network()
        net.record('a', started(7))
        net.deliver()
        second = view_with_pair(2, HOST_C, HOST_D, after=FIRST)
        net.apply_view(second, 'c')
        net.run(0.2)
        net.cut = {'a', 'b', 'd'}
        net.apply_view(view_with_pair(3, HOST_C, after=second), 'c')
        assert net.status('c') == InEffect()

    def test_next_home_learns_what_the_former_one_has_heard(self) -> None:
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.apply_view(second, 'c')
        net.run(1)
        net.cut = {'a', 'b'}
        net.apply_view(view_with_pair(3, HOST_D, HOST_C, after=second), 'd')
        net.run(1)
        assert net.status('d') == InEffect()

    def test_next_home_does_not_count_what_nobody_has_heard(self) -> None:
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.cut = {'a', 'b'}
        net.apply_view(second, 'c')
        net.apply_view(view_with_pair(3, HOST_D, HOST_C, after=second), 'd')
        net.run(3)
        assert given_by(net, 'c')
        assert isinstance(net.status('d'), Recovering)

    def test_stale_asker_is_told_to_fetch(self) -> None:
        """A reservation would be made twice.

        Home c asks under a view that is out of date and hears of the next one
        very late.  The earlier pair is well and refuses; if c took that for
        silence, it would be in effect without their records, either at last
        under the old view or at once under the new one.
        """
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        third = view_with_pair(3, HOST_C, HOST_D, after=second)
        net.apply_view(third, 'a', 'b')
        net.apply_view(second, 'c')
        net.run(1)
        assert FetchNeeded('a') in net.agent_by_host['c'].done
        net.run(2 * HORIZON)
        assert isinstance(net.status('c'), Recovering)
        net.cut = {'a', 'b'}
        net.apply_view(third, 'c')
        net.run(3)
        assert isinstance(net.status('c'), Recovering)
        net.cut = set()
        net.run(1)
        assert net.status('c') == InEffect()


class TestLossOfBoth:
    """Nobody of an earlier pair answers."""

    def test_recovers_after_the_longest_replay_time(self) -> None:
        net = network()
        net.cut = {'a', 'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST))
        net.run(0.5)
        assert isinstance(net.status('c'), Taking)
        net.record('c', started(1))
        net.run(HORIZON - 5)
        assert isinstance(net.status('c'), Recovering)
        net.record('c', started(2))
        recovering = ResultCode.RECOVERING
        assert net.results('c') == [
            RecordRefused(1, recovering),
            RecordRefused(2, recovering),
        ]
        net.run(10)
        assert net.status('c') == InEffect()
        assert BucketInEffect(0, (1,)) in net.agent_by_host['c'].done

    def test_feeds_are_recorded_while_recovering(self) -> None:
        net = network()
        net.cut = {'a', 'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST))
        net.run(2)
        net.record('c', flow(4000, 'c'))
        net.run(1)
        assert net.results('c') == [Recorded(1)]
        assert net.agent_by_host['c'].keeper.settled_view() < 2

    def test_own_sleep_is_not_the_silence_of_others(self) -> None:
        """Two homes would be in effect at once.

        The new home is frozen for longer than the replay time while it takes
        the bucket over.  When it runs again, the earlier pair is well but has
        not been asked since.
        """
        net = network()
        net.cut = {'a', 'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST))
        net.run(0.5)
        net.now += 2 * HORIZON
        net.run(2)
        assert isinstance(net.status('c'), Recovering)


class TestFence:
    """An agent that has been asked refuses what is older."""

    def test_heir_refuses_a_home_that_was_frozen(self) -> None:
        """A reservation would be made twice.

        Home a is frozen, c takes over from the heir b, which does not even
        know the new view; a runs again and goes on where it was.
        """
        net = network()
        net.cut = {'a'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST), 'c')
        net.run(1)
        net.cut = set()
        net.record('a', started(7))
        net.deliver()
        assert net.results('a') == []
        assert net.holds('b') == BucketContents()
        assert FetchNeeded('b') in net.agent_by_host['a'].done
        assert not net.sent_by('b', RecordAck)[-1].accepted

    def test_late_request_for_an_older_view_changes_nothing(self) -> None:
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.apply_view(second, 'c')
        late = net.pop_held(TakeBucket)
        net.apply_view(
            view_with_pair(3, HOST_A, HOST_B, after=second), 'a', 'b'
        )
        net.run(1)
        net.held = late
        answers = given_by(net, 'a') + given_by(net, 'b')
        net.deliver()
        assert given_by(net, 'a') + given_by(net, 'b') == answers
        assert net.status('a') == InEffect()

    def test_parts_fit_a_frame(self) -> None:
        entries = tuple(
            started(key, bytes(9000)).entries[0] for key in range(30)
        )
        parts = split(BucketContents(entries))
        assert max(map(encoded_size, parts)) <= PART_BYTES + 64
        assert sum((part.entries for part in parts), ()) == entries
