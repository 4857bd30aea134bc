"""Takeover of a bucket: fences, earlier pairs, loss of home and heir."""

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
    started,
    view_with_pair,
)
from redwingstream.tables.rows import EarlierView

HOST_A, HOST_B, HOST_C, HOST_D = (
    member(*each) for each in zip('abcd', (1, 2, 3, 4), strict=True)
)
FIRST = view_with_pair(1, HOST_A, HOST_B)


def network() -> Network:
    """Return agents a to d; in the first view a is home and b is heir."""
    net = Network()
    for each in (HOST_A, HOST_B, HOST_C, HOST_D):
        net.join(each)
    net.apply_view(FIRST)
    net.deliver()
    return net


def parts_sent_by(net: Network, host: str) -> int:
    """Return the number of parts that a host has sent."""
    return len(net.sent_by(host, BucketGiven))


class TestTakeover:
    """A new home needs the contents from one agent of each earlier pair."""

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

    def test_old_home_drops_contents_only_when_settled(self) -> None:
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

    def test_home_that_skipped_a_view_does_not_repeat_a_request(self) -> None:
        """A request would be run twice.

        A record of home a waits for the heir.  Without a's knowledge the
        bucket moves to c, which runs a replay of the request, and back to a.
        If a sent its record again under the new view, it would run the request
        again.
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

    def test_home_that_was_heir_meanwhile_does_not_repeat_a_request(
        self,
    ) -> None:
        """A request would be run twice.

        A record of home a waits for the heir.  Under a view that a has not
        applied, a is heir of c and accepts a record of the same request, which
        c runs.  Then a is home again and must not send its own record again.
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
        """A request would be run twice.

        Home a has sent a record.  Before the answer comes, the new home c
        reads a's contents, which lack the record.  Then the heir b, which is
        not fenced, accepts it, while the request is new to c.
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

    def test_later_incarnation_does_not_answer_for_the_former_one(self) -> None:
        """A request would be run twice.

        The heir restarts with an empty store at the same address, and the home
        is cut off.  The new home sends its request to the heir's address; an
        answer would say that no request has run.
        """
        net = network()
        net.record('a', started(7))
        net.deliver()
        net.join(member('b', 5))
        net.cut = {'a'}
        net.apply_view(view_with_pair(6, HOST_C, HOST_D, after=FIRST), 'c')
        net.run(3)
        assert isinstance(net.status('c'), Recovering)
        assert parts_sent_by(net, 'b') == 0

    def test_a_view_without_members_stands_for_unknown_ones(self) -> None:
        """A replayed request would be run a second time.

        Control drops the oldest unsettled views after too many changes of the
        members, or operators recover a lost majority.  What took effect under
        the dropped views is unknown; an earlier view without members stands
        for them.  The new home receives the contents of all others.
        """
        net = network()
        view = view_with_pair(3, HOST_A, HOST_C, after=FIRST)
        unknown = EarlierView(2, ())
        net.apply_view(attrs.evolve(view, unsettled=(unknown, *view.unsettled)))
        net.run(3)
        assert isinstance(net.status('a'), Recovering)
        net.run(HORIZON)
        assert net.status('a') == InEffect()

    def test_record_of_a_later_view_survives_late_tables(self) -> None:
        """A feed would be lost although its heir is alive.

        Agent d accepts a record as heir of a view that it has not applied
        yet.  Then it applies the view before, in which it holds nothing.
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

    def test_parts_are_fixed_at_the_first_request(self) -> None:
        """An entry at the boundary of two parts would be missing in both.

        The old home's store changes after the first part was read.  If the
        contents were split again, the boundary would move past an entry.
        """
        net = network()
        for key in range(5):
            net.record('a', started(key, bytes(20000)))
            net.deliver()
        net.cut = {'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST), 'c')
        net.cut = {'b'}
        net.hand_over_first()
        net.agent_by_host['a'].store.delete_request(started(0).entries[0].key)
        net.deliver()
        assert len(net.holds('c').entries) == 5
        assert parts_sent_by(net, 'a') == 3

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

    def test_complete_view_stays_complete_under_the_next_view(self) -> None:
        """Requests would be refused for minutes although nothing was lost.

        The new home c has merged the contents of b.  Then a and b die, and c
        is home again under the next view.
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

    def test_next_home_inherits_the_complete_views_of_the_former(self) -> None:
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.apply_view(second, 'c')
        net.run(1)
        net.cut = {'a', 'b'}
        net.apply_view(view_with_pair(3, HOST_D, HOST_C, after=second), 'd')
        net.run(1)
        assert net.status('d') == InEffect()

    def test_next_home_does_not_count_incomplete_views(self) -> None:
        net = network()
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        net.cut = {'a', 'b'}
        net.apply_view(second, 'c')
        net.apply_view(view_with_pair(3, HOST_D, HOST_C, after=second), 'd')
        net.run(3)
        assert parts_sent_by(net, 'c')
        assert isinstance(net.status('d'), Recovering)

    def test_outdated_home_fetches_tables_and_gives_up_nothing(self) -> None:
        """A request would be run twice.

        Home c sends requests under an outdated view and receives the next one
        very late.  The earlier pair is healthy and refuses.  If c counted that
        as silence, the bucket would be in effect without the pair's records:
        after the longest replay time under the old view, or at once under the
        new one.
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
    """Neither home nor heir of an earlier view answers."""

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

    def test_own_pause_does_not_count_as_silence_of_others(self) -> None:
        """A bucket would be in effect at two homes at once.

        The new home is frozen for longer than the replay time during the
        takeover.  When it runs again, the earlier pair is healthy but has
        received no request since.
        """
        net = network()
        net.cut = {'a', 'b'}
        net.apply_view(view_with_pair(2, HOST_C, HOST_D, after=FIRST))
        net.run(0.5)
        net.now += 2 * HORIZON
        net.run(2)
        assert isinstance(net.status('c'), Recovering)


class TestFence:
    """An agent that is fenced at a view refuses messages of older views."""

    def test_heir_refuses_a_home_that_was_frozen(self) -> None:
        """A request would be run twice.

        Home a is frozen, and c takes over from the heir b, which has not
        applied the new view itself.  Then a runs again and continues under the
        old view.
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
        answers = parts_sent_by(net, 'a') + parts_sent_by(net, 'b')
        net.deliver()
        assert parts_sent_by(net, 'a') + parts_sent_by(net, 'b') == answers
        assert net.status('a') == InEffect()

    def test_parts_fit_a_frame(self) -> None:
        entries = tuple(
            started(key, bytes(9000)).entries[0] for key in range(30)
        )
        parts = split(BucketContents(entries))
        assert max(map(encoded_size, parts)) <= PART_BYTES + 64
        assert sum((part.entries for part in parts), ()) == entries
