"""A record takes effect only once both home and heir hold it."""

from redwingstream.errors import ResultCode
from redwingstream.placement.effects import (
    InEffect,
    Recorded,
    RecordRefused,
)
from redwingstream.placement.messages import (
    BucketContents,
    Record,
    RecordAck,
)
from redwingstream.placement.pending import MAX_PENDING_BYTES
from redwingstream.placement.tests.fakes import (
    Network,
    flow,
    member,
    started,
    view_with_pair,
)

HOST_A, HOST_B, HOST_C = (
    member(*each) for each in zip('abc', (1, 2, 3), strict=True)
)
FIRST = view_with_pair(1, HOST_A, HOST_B)


def network() -> Network:
    """Return agents a, b and c; the bucket is in effect at a, with heir b."""
    net = Network()
    for each in (HOST_A, HOST_B, HOST_C):
        net.join(each)
    net.apply_view(FIRST)
    net.deliver()
    return net


class TestRecording:
    """A record takes effect after the heir has acknowledged it."""

    def test_is_recorded_at_both(self) -> None:
        net = network()
        net.record('a', started(7))
        assert net.results('a') == []
        net.deliver()
        assert net.results('a') == [Recorded(1)]
        assert net.holds('a') == net.holds('b') == started(7)

    def test_repeats_a_lost_record(self) -> None:
        net = network()
        net.record('a', started(7))
        net.held.clear()
        net.run(1)
        assert net.results('a') == [Recorded(1)]

    def test_needs_no_heir_in_a_view_of_one(self) -> None:
        net = Network()
        net.join(HOST_A)
        net.apply_view(view_with_pair(1, HOST_A))
        net.record('a', started(7))
        assert net.results('a') == [Recorded(1)]
        assert net.agent_by_host['a'].keeper.settled_view() == 1

    def test_is_repeated_under_the_next_view(self) -> None:
        net = network()
        net.record('a', started(7))
        net.held.clear()
        net.apply_view(view_with_pair(2, HOST_A, HOST_C, after=FIRST))
        net.deliver()
        assert net.results('a') == [Recorded(1)]
        assert net.holds('c') == started(7)

    def test_is_refused_where_another_agent_is_home(self) -> None:
        net = network()
        net.record('a', started(7))
        net.apply_view(view_with_pair(2, HOST_C, HOST_B, after=FIRST), 'a')
        net.record('a', started(8))
        net.run(1)
        stale = ResultCode.STALE
        assert net.results('a') == [
            RecordRefused(1, stale),
            RecordRefused(2, stale),
        ]

    def test_nothing_is_sent_before_the_bucket_is_in_effect(self) -> None:
        net = network()
        net.apply_view(view_with_pair(2, HOST_C, HOST_B, after=FIRST), 'c')
        net.record('c', started(7))
        assert not net.pop_held(Record)

    def test_is_refused_at_the_give_up_time(self) -> None:
        net = network()
        net.cut = {'b'}
        net.record('a', started(7), give_up_at=5)
        net.run(6)
        timed_out = RecordRefused(1, ResultCode.TIMED_OUT)
        assert net.results('a') == [timed_out]

    def test_frozen_home_does_not_continue_after_the_give_up_time(self) -> None:
        """A request would be run twice.

        The heir accepts the record, then the home is frozen and the heir is
        lost.  After the longest replay time another home runs a replay.  Then
        the first home runs again and finds the acknowledgement.
        """
        net = network()
        net.record('a', started(7), give_up_at=5)
        net.hand_over_first()
        net.now = 400
        net.deliver()
        timed_out = RecordRefused(1, ResultCode.TIMED_OUT)
        assert net.results('a') == [timed_out]

    def test_later_incarnation_of_the_heir_does_not_accept(self) -> None:
        """A request would be run twice.

        The heir restarts without its fence.  A home that was replaced
        meanwhile sends its records to the same address, where all of them
        would be accepted.
        """
        net = network()
        net.join(member('b', 5))
        net.record('a', started(7))
        net.run(1)
        assert net.results('a') == []
        assert net.holds('b') == BucketContents()

    def test_late_answer_of_an_older_view_does_not_count(self) -> None:
        """A feed would be lost when its home is lost.

        The answer to a record that a sent under view 1 arrives under view 3,
        where its tickets begin at 1 again.  If it counted, the heir would seem
        to hold all contents.
        """
        net = network()
        net.record('a', started(7))
        net.deliver()
        late = RecordAck(
            pool=FIRST.pool, bucket=0, view=1, ticket=1, accepted=True, fence=1
        )
        second = view_with_pair(2, HOST_C, HOST_B, after=FIRST)
        third = view_with_pair(3, HOST_A, HOST_B, after=second)
        net.apply_view(second)
        net.run(1)
        net.apply_view(third, 'a')
        net.cut = {'b'}
        net.run(1)
        keeper = net.agent_by_host['a'].keeper
        assert keeper.status(0) == InEffect()
        keeper.on_message(late, net.now, 'b')
        assert keeper.settled_view() < 3

    def test_refuses_too_large_and_too_many_records_at_once(self) -> None:
        net = network()
        net.cut = {'b'}
        net.record('a', started(0, bytes(30000)))
        for key in range(1, 11):
            net.record('a', started(key, bytes(20000)))
        assert net.results('a') == [
            RecordRefused(1, ResultCode.MALFORMED),
            RecordRefused(11, ResultCode.OVERLOADED),
        ]
        assert 9 * 20000 < MAX_PENDING_BYTES < 10 * 20000


class TestHeirCopy:
    """A bucket is settled only once the heir holds all its contents."""

    def test_settles_when_the_heir_has_acknowledged(self) -> None:
        net = network()
        net.record('a', started(7))
        net.deliver()
        keeper = net.agent_by_host['a'].keeper
        assert keeper.settled_view() == 1
        net.apply_view(view_with_pair(2, HOST_A, HOST_C, after=FIRST))
        assert keeper.settled_view() == 1
        net.deliver()
        assert keeper.settled_view() == 2
        assert net.holds('c') == started(7)

    def test_heir_gets_what_this_home_got_as_heir(self) -> None:
        """A request would be run again after its home is lost.

        While a is heir of c, it accepts a record that b, its own former heir,
        never receives.  Then a is home again with b as heir, and a dies.
        """
        net = network()
        second = view_with_pair(2, HOST_C, HOST_A, after=FIRST)
        net.apply_view(second, 'c')
        net.run(1)
        net.record('c', started(7))
        net.deliver()
        net.apply_view(view_with_pair(3, HOST_A, HOST_B, after=second))
        net.run(1)
        assert net.holds('b') == started(7)

    def test_heir_gets_what_this_home_took_over(self) -> None:
        net = network()
        second = view_with_pair(2, HOST_C, after=FIRST)
        net.cut = {'a'}
        net.apply_view(second, 'c')
        net.run(1)
        net.record('c', started(7))
        net.cut = set()
        net.apply_view(view_with_pair(3, HOST_A, HOST_B, after=second))
        net.run(1)
        assert net.holds('b') == started(7)

    def test_closed_flow_stays_closed(self) -> None:
        """A closed feed would be open again at the heir.

        The network delivers the message that opened the feed a second time,
        after the one that closed it.
        """
        net = network()
        net.record('a', flow(4000, 'a'))
        again = list(net.held)
        net.deliver()
        net.record('a', flow(4000, 'a', closed=True))
        net.deliver()
        net.held = again
        net.deliver()
        assert net.holds('b') == BucketContents()

    def test_flow_closed_during_the_sync_stays_closed(self) -> None:
        """A closed feed would be open again at the heir.

        The feed is closed while existing contents, which were read before,
        still wait to be sent to the new heir.
        """
        net = network()
        for key in range(5):
            net.record('a', started(key, bytes(20000)))
            net.deliver()
        net.record('a', flow(4000, 'a'))
        net.deliver()
        net.apply_view(view_with_pair(2, HOST_A, HOST_C, after=FIRST))
        net.record('a', flow(4000, 'a', closed=True))
        net.run(1)
        assert len(net.holds('c').entries) == 5
        assert not net.holds('c').flows
