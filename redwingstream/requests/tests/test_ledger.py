"""The ledger, request by request."""

import pytest

from redwingstream.requests.begun import (
    Answered,
    Fresh,
    Full,
    OutcomeUnknown,
    Running,
    WasNotRun,
)
from redwingstream.requests.filters import FILTER_BYTES, FILTER_CAPACITY
from redwingstream.requests.ledger import MAX_COME_BACK, Ledger
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.requests.slots import ANSWER_LIMIT

HORIZON = 247
BUCKET = 5
SUM = b'0123456789abcdef'
OTHER_SUM = b'fedcba9876543210'
ANSWER = b'the answer'


def key(message_id=1, caller='10.0.0.1:40001') -> RequestKey:
    return RequestKey(caller, '10.9.0.1:5683', message_id, b'\x01')


@pytest.fixture
def ledger() -> Ledger:
    return Ledger(capacity=4, replay_horizon=HORIZON)


def begin(ledger: Ledger, message_id=1, now=0, checksum=SUM):
    return ledger.begin(BUCKET, key(message_id), checksum, now)


def finish(ledger: Ledger, message_id=1, state=RequestState.ANSWERED, now=0):
    ledger.finish(key(message_id), SUM, state, ANSWER, now)


def hand_over(former: Ledger, later: Ledger, now=0) -> None:
    later.merge(BUCKET, former.export(BUCKET, now), now)


class TestReplay:
    def test_in_progress_and_then_the_same_answer(self, ledger):
        assert begin(ledger) == Fresh()
        assert begin(ledger, now=1) == Running()
        finish(ledger, now=2)
        assert begin(ledger, now=3) == Answered(ANSWER)

    def test_reused_message_id_is_another_request(self, ledger):
        """An attendee's second reservation gets the answer to the first.

        The phone starts anew and uses a message id and token again within
        minutes, for another bay.  Cause: requests told apart by id alone.  The
        first one stays known: a late duplicate of it must not run.
        """
        begin(ledger)
        finish(ledger)
        assert begin(ledger, checksum=OTHER_SUM) == Fresh()
        assert begin(ledger) == Answered(ANSWER)

    def test_not_run_stays_not_run(self, ledger):
        """An attendee pays twice for one bay.

        The server refused the reservation, the phone was told *not run* and
        sent it again under a new message id; then a late duplicate of the
        first packet arrives.  Cause: a refused request taken for a new one.
        """
        begin(ledger)
        finish(ledger, state=RequestState.NOT_RUN)
        assert begin(ledger, now=9) == WasNotRun(ANSWER)

    def test_abandoned_stays_not_run(self, ledger):
        begin(ledger)
        ledger.abandon(key(), SUM, ANSWER, now=1)
        assert begin(ledger, now=9) == WasNotRun(ANSWER)

    def test_unknown_is_told_again(self, ledger):
        begin(ledger)
        finish(ledger, state=RequestState.UNKNOWN)
        assert begin(ledger) == OutcomeUnknown(ANSWER)

    def test_late_answer_replaces_unknown_and_not_the_reverse(self, ledger):
        begin(ledger)
        finish(ledger, state=RequestState.UNKNOWN)
        finish(ledger)
        finish(ledger, state=RequestState.UNKNOWN)
        assert begin(ledger) == Answered(ANSWER)

    def test_answer_too_large_to_keep(self, ledger):
        begin(ledger)
        large = bytes(ANSWER_LIMIT + 1)
        ledger.finish(key(), SUM, RequestState.ANSWERED, large, now=0)
        assert begin(ledger) == OutcomeUnknown(b'')
        assert ledger.counters.answers_too_large == 1

    def test_outcome_of_an_unknown_request_is_counted(self, ledger):
        finish(ledger)
        ledger.abandon(key(), SUM, ANSWER, now=0)
        assert ledger.counters.unmatched == 2
        assert ledger.find_entry(key(), SUM) is None


class TestExpiry:
    def test_forgotten_after_the_horizon(self, ledger):
        begin(ledger)
        finish(ledger)
        ledger.evict_expired(HORIZON)
        assert begin(ledger, now=HORIZON) == Answered(ANSWER)
        ledger.evict_expired(HORIZON + 1)
        assert len(ledger) == 0
        assert ledger.counters.expired == 1

    def test_run_in_progress_is_never_forgotten(self, ledger):
        begin(ledger)
        ledger.evict_expired(10 * HORIZON)
        assert begin(ledger, now=10 * HORIZON) == Running()


class TestFull:
    def test_nothing_ended_is_run_again(self, ledger):
        """A plate reading is stored twice after a busy minute.

        Its answer was lost, hundreds of other readings pushed its entry out,
        and the replay a minute later ran again.  Cause: a ledger that forgets
        the oldest entry when it is full.
        """
        for message_id in range(100):
            assert begin(ledger, message_id) == Fresh()
            finish(ledger, message_id)
        assert len(ledger) == 4
        assert ledger.counters.condensed == 96
        assert ledger.bytes_held <= ledger.bytes_bound + 2 * FILTER_BYTES
        for message_id in range(96):
            assert begin(ledger, message_id, now=60) == OutcomeUnknown(b'')

    def test_last_request_of_a_caller_keeps_its_answer(self, ledger):
        """An attendee is told *unknown* of a bay that it has reserved.

        Its answer was lost, and a busy caller filled the ledger since.  Cause:
        the oldest entries condensed first, whoever may still ask for them.
        """
        ledger.begin(BUCKET, key(7, '10.0.0.7:7'), SUM, now=0)
        ledger.finish(
            key(7, '10.0.0.7:7'), SUM, RequestState.ANSWERED, ANSWER, now=0
        )
        for message_id in range(100):
            begin(ledger, message_id)
            finish(ledger, message_id)
        again = ledger.begin(BUCKET, key(7, '10.0.0.7:7'), SUM, now=60)
        assert again == Answered(ANSWER)

    def test_new_work_is_refused_when_nothing_can_go(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        assert begin(ledger, 9) == Full(MAX_COME_BACK)
        assert begin(ledger, 0, now=60) == Running()
        assert ledger.counters.refused == 1

    def test_new_work_is_refused_when_the_filter_is_full(self, ledger):
        for message_id in range(FILTER_CAPACITY + 4):
            assert begin(ledger, message_id) == Fresh()
            finish(ledger, message_id)
        assert begin(ledger, 60000, now=1) == Full(MAX_COME_BACK)
        assert begin(ledger, 60001, now=HORIZON + 1) == Fresh()
        assert begin(ledger, 1, now=HORIZON) == OutcomeUnknown(b'')

    def test_full_filter_of_a_bucket_does_not_concern_others(self, ledger):
        """All reservations are refused because of one busy caller.

        The filter of its bucket is full, and its entries are the next to be
        condensed.  Cause: giving up at the first entry that cannot go.
        """
        for message_id in range(FILTER_CAPACITY + 2):
            begin(ledger, message_id)
            finish(ledger, message_id)
        for message_id in range(9):
            other = key(message_id, '10.0.0.9:9')
            begun = ledger.begin(BUCKET + 1, other, SUM, now=1)
            assert begun == Fresh()
            answered = RequestState.ANSWERED
            ledger.finish(other, SUM, answered, ANSWER, now=1)

    def test_come_back_when_the_oldest_goes(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        assert begin(ledger, 9, now=HORIZON - 3) == Full(3)

    def test_refused_request_does_not_run_later(self, ledger):
        """An attendee pays twice for one bay.

        The ledger was full, the phone was told *not run* and reserved under a
        new message id.  A duplicate of the refused packet arrives when there
        is room again.  Cause: refusals are not remembered.
        """
        for message_id in range(4):
            begin(ledger, message_id)
        begin(ledger, 9, now=1)
        finish(ledger, 0, now=2)
        assert begin(ledger, 10, now=3) == Fresh()
        assert begin(ledger, 9, now=3) == Full(MAX_COME_BACK)
        assert begin(ledger, 9, now=HORIZON) == Full(1)

    def test_filters_forget_after_two_horizons(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        assert begin(ledger, 9) == Full(MAX_COME_BACK)
        finish(ledger, 0)
        assert begin(ledger, 9, now=3 * HORIZON) == Fresh()

    def test_condensed_requests_travel_with_the_bucket(self, ledger):
        for message_id in range(5):
            begin(ledger, message_id)
            finish(ledger, message_id)
        for message_id in range(5, 9):
            begin(ledger, message_id)
        assert begin(ledger, 9) == Full(MAX_COME_BACK)
        later = Ledger(capacity=9, replay_horizon=HORIZON)
        condensed = ledger.condensed.export(BUCKET, now=1)
        later.condensed.merge(BUCKET, condensed, now=1)
        assert begin(later, 9, now=2) == Full(1)
        assert begin(later, 0, now=2) == OutcomeUnknown(b'')
        assert begin(later, 10, now=2) == Fresh()

    def test_entries_not_run_go_first(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
            finish(ledger, message_id)
        begin(ledger, 4)
        finish(ledger, 4, RequestState.NOT_RUN)
        begin(ledger, 5)
        assert begin(ledger, 4) == Full(MAX_COME_BACK)
        assert begin(ledger, 1) == Answered(ANSWER)

    def test_heir_makes_room_for_a_record(self, ledger):
        begin(ledger)
        assert ledger.has_room(3)
        assert not ledger.make_room(4, now=0)
        finish(ledger)
        assert ledger.make_room(4, now=0)


class TestMerge:
    def test_started_elsewhere_may_have_run(self, ledger):
        """A reservation runs again on the heir after its home has died.

        The home recorded it, handed it to its server and died; the replay
        reaches the heir.  Cause: a run in progress elsewhere taken for none.
        """
        begin(ledger)
        heir = Ledger(4, HORIZON)
        hand_over(ledger, heir)
        assert begin(heir) == OutcomeUnknown(b'')
        finish(ledger)
        hand_over(ledger, heir)
        assert begin(heir) == Answered(ANSWER)

    def test_echo_does_not_end_the_run_in_progress_here(self, ledger):
        begin(ledger)
        heir = Ledger(4, HORIZON)
        hand_over(ledger, heir)
        hand_over(heir, ledger)
        assert begin(ledger) == Running()

    def test_given_up_here_and_started_elsewhere_may_have_run(self, ledger):
        """A caller is told *not run* of a reservation that was made.

        The home gave the request up, since its heir was fenced; a duplicate
        had reached the new home, which ran it and died.  Cause: one home's
        knowledge taken for everybody's.
        """
        begin(ledger)
        ledger.abandon(key(), SUM, ANSWER, now=0)
        new_home = Ledger(4, HORIZON)
        begin(new_home)
        hand_over(new_home, ledger)
        assert begin(ledger) == OutcomeUnknown(b'')

    def test_refused_unrun_by_the_server_is_believed(self, ledger):
        begin(ledger)
        heir = Ledger(4, HORIZON)
        hand_over(ledger, heir)
        finish(ledger, state=RequestState.NOT_RUN)
        hand_over(ledger, heir)
        assert begin(heir) == WasNotRun(ANSWER)

    @pytest.mark.parametrize('state', list(RequestState))
    def test_answer_beats_all_in_either_order(self, state):
        answered = LedgerEntry(key(), SUM, RequestState.ANSWERED, ANSWER)
        other = LedgerEntry(key(), SUM, state)
        for entries in ((answered, other), (other, answered)):
            ledger = Ledger(4, HORIZON)
            ledger.merge(BUCKET, entries, now=0)
            assert begin(ledger) == Answered(ANSWER)
            is_contradiction = state in {
                RequestState.NOT_RUN,
                RequestState.ABANDONED,
            }
            assert ledger.counters.contradictions == is_contradiction

    def test_age_travels(self, ledger):
        begin(ledger)
        finish(ledger)
        later = Ledger(4, HORIZON)
        later.merge(BUCKET, ledger.export(BUCKET, now=200), now=1000)
        later.evict_expired(1000 + HORIZON - 200)
        assert len(later) == 1
        later.evict_expired(1001 + HORIZON - 200)
        assert len(later) == 0

    def test_bucket_is_taken_over_beyond_the_capacity(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        small = Ledger(2, HORIZON)
        hand_over(ledger, small)
        assert len(small.export(BUCKET, 0)) == 4
        assert begin(small, 9) == Full(MAX_COME_BACK)

    def test_dropped_bucket_is_gone_and_others_stay(self, ledger):
        begin(ledger)
        ledger.begin(BUCKET + 1, key(2), SUM, now=0)
        ledger.drop(BUCKET)
        assert ledger.export(BUCKET, now=0) == ()
        assert len(ledger.export(BUCKET + 1, now=0)) == 1
