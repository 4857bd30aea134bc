"""Behaviour of a ledger on new, replayed, merged and condensed requests."""

import pytest

from redwingstream.requests.begin_results import (
    Answered,
    Fresh,
    Full,
    OutcomeUnknown,
    Running,
    WasNotRun,
)
from redwingstream.requests.filters import FILTER_BYTES, FILTER_CAPACITY
from redwingstream.requests.ledger import MAX_RETRY_AFTER, Ledger
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.requests.slots import ANSWER_LIMIT

HORIZON = 247
BUCKET = 5
CHECKSUM = b'0123456789abcdef'
OTHER_CHECKSUM = b'fedcba9876543210'
ANSWER = b'the answer'


def key(message_id=1, caller='10.0.0.1:40001') -> RequestKey:
    return RequestKey(caller, '10.9.0.1:5683', message_id, b'\x01')


@pytest.fixture
def ledger() -> Ledger:
    return Ledger(capacity=4, replay_horizon=HORIZON)


def begin(ledger: Ledger, message_id=1, now=0, checksum=CHECKSUM):
    return ledger.begin(BUCKET, key(message_id), checksum, now)


def finish(ledger: Ledger, message_id=1, state=RequestState.ANSWERED, now=0):
    ledger.finish(key(message_id), CHECKSUM, state, ANSWER, now)


def transfer(former: Ledger, later: Ledger, now=0) -> None:
    later.merge(BUCKET, former.export(BUCKET, now), now)


class TestReplay:
    def test_replay_in_progress_and_after_the_answer(self, ledger):
        assert begin(ledger) == Fresh()
        assert begin(ledger, now=1) == Running()
        finish(ledger, now=2)
        assert begin(ledger, now=3) == Answered(ANSWER)

    def test_reused_message_id_is_another_request(self, ledger):
        """A request must not get the answer to another request.

        A caller restarts and reuses a message id and token within minutes for
        different contents.  The earlier request stays known, since a delayed
        duplicate of it must not run.
        """
        begin(ledger)
        finish(ledger)
        assert begin(ledger, checksum=OTHER_CHECKSUM) == Fresh()
        assert begin(ledger) == Answered(ANSWER)

    def test_not_run_stays_not_run(self, ledger):
        """A request that the caller sent again must not run twice.

        The server refused the request, the caller was told *not run* and sent
        it again with a new message id; then a delayed duplicate of the first
        packet arrives, which must not be treated as a new request.
        """
        begin(ledger)
        finish(ledger, state=RequestState.NOT_RUN)
        assert begin(ledger, now=9) == WasNotRun(ANSWER)

    def test_abandoned_stays_not_run(self, ledger):
        begin(ledger)
        ledger.abandon(key(), CHECKSUM, ANSWER, now=1)
        assert begin(ledger, now=9) == WasNotRun(ANSWER)

    def test_unknown_is_repeated(self, ledger):
        begin(ledger)
        finish(ledger, state=RequestState.UNKNOWN)
        assert begin(ledger) == OutcomeUnknown(ANSWER)

    def test_late_answer_replaces_unknown_but_not_the_reverse(self, ledger):
        begin(ledger)
        finish(ledger, state=RequestState.UNKNOWN)
        finish(ledger)
        finish(ledger, state=RequestState.UNKNOWN)
        assert begin(ledger) == Answered(ANSWER)

    def test_answer_too_large_to_keep(self, ledger):
        begin(ledger)
        large = bytes(ANSWER_LIMIT + 1)
        ledger.finish(key(), CHECKSUM, RequestState.ANSWERED, large, now=0)
        assert begin(ledger) == OutcomeUnknown(b'')
        assert ledger.counters.answers_too_large == 1

    def test_outcome_without_an_entry_is_counted(self, ledger):
        finish(ledger)
        ledger.abandon(key(), CHECKSUM, ANSWER, now=0)
        assert ledger.counters.unmatched == 2
        assert ledger.find_entry(key(), CHECKSUM) is None


class TestExpiry:
    def test_entry_is_evicted_after_the_horizon(self, ledger):
        begin(ledger)
        finish(ledger)
        ledger.evict_expired(HORIZON)
        assert begin(ledger, now=HORIZON) == Answered(ANSWER)
        ledger.evict_expired(HORIZON + 1)
        assert len(ledger) == 0
        assert ledger.counters.expired == 1

    def test_run_in_progress_is_never_evicted(self, ledger):
        begin(ledger)
        ledger.evict_expired(10 * HORIZON)
        assert begin(ledger, now=10 * HORIZON) == Running()


class TestFull:
    def test_condensed_requests_are_not_run_again(self, ledger):
        """A replay must not run again after many other requests.

        The answer was lost, and hundreds of other requests have arrived when
        the caller repeats its request a minute later.  A ledger that dropped
        its oldest entry when full would run the request a second time.
        """
        for message_id in range(100):
            assert begin(ledger, message_id) == Fresh()
            finish(ledger, message_id)
        assert len(ledger) == 4
        assert ledger.counters.condensed == 96
        assert ledger.bytes_held <= ledger.max_bytes + 2 * FILTER_BYTES
        for message_id in range(96):
            assert begin(ledger, message_id, now=60) == OutcomeUnknown(b'')

    def test_last_request_of_a_caller_keeps_its_answer(self, ledger):
        """A replay gets its answer although another caller fills the ledger.

        The answer was lost, and another caller has made many requests since.
        If the oldest entries were condensed first, the caller would get
        *unknown* for a request that ran.
        """
        ledger.begin(BUCKET, key(7, '10.0.0.7:7'), CHECKSUM, now=0)
        ledger.finish(
            key(7, '10.0.0.7:7'), CHECKSUM, RequestState.ANSWERED, ANSWER, now=0
        )
        for message_id in range(100):
            begin(ledger, message_id)
            finish(ledger, message_id)
        again = ledger.begin(BUCKET, key(7, '10.0.0.7:7'), CHECKSUM, now=60)
        assert again == Answered(ANSWER)

    def test_new_request_is_refused_if_nothing_can_be_condensed(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        assert begin(ledger, 9) == Full(MAX_RETRY_AFTER)
        assert begin(ledger, 0, now=60) == Running()
        assert ledger.counters.refused == 1

    def test_new_request_is_refused_if_the_filter_is_full(self, ledger):
        for message_id in range(FILTER_CAPACITY + 4):
            assert begin(ledger, message_id) == Fresh()
            finish(ledger, message_id)
        assert begin(ledger, 60000, now=1) == Full(MAX_RETRY_AFTER)
        assert begin(ledger, 60001, now=HORIZON + 1) == Fresh()
        assert begin(ledger, 1, now=HORIZON) == OutcomeUnknown(b'')

    def test_full_filter_of_a_bucket_does_not_affect_others(self, ledger):
        """One busy caller must not cause the refusal of all new requests.

        The filter of its bucket is full, and its entries are the next to be
        condensed; they have to be skipped.
        """
        for message_id in range(FILTER_CAPACITY + 2):
            begin(ledger, message_id)
            finish(ledger, message_id)
        for message_id in range(9):
            other = key(message_id, '10.0.0.9:9')
            result = ledger.begin(BUCKET + 1, other, CHECKSUM, now=1)
            assert result == Fresh()
            answered = RequestState.ANSWERED
            ledger.finish(other, CHECKSUM, answered, ANSWER, now=1)

    def test_retry_after_is_when_the_oldest_entry_expires(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        assert begin(ledger, 9, now=HORIZON - 3) == Full(3)

    def test_refused_request_does_not_run_later(self, ledger):
        """A request that the caller sent again must not run twice.

        The ledger was full, the caller was told *not run* and sent the request
        again with a new message id.  A duplicate of the refused packet arrives
        when the ledger is no longer full; the refusal must be remembered.
        """
        for message_id in range(4):
            begin(ledger, message_id)
        begin(ledger, 9, now=1)
        finish(ledger, 0, now=2)
        assert begin(ledger, 10, now=3) == Fresh()
        assert begin(ledger, 9, now=3) == Full(MAX_RETRY_AFTER)
        assert begin(ledger, 9, now=HORIZON) == Full(1)

    def test_filters_are_empty_after_two_horizons(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        assert begin(ledger, 9) == Full(MAX_RETRY_AFTER)
        finish(ledger, 0)
        assert begin(ledger, 9, now=3 * HORIZON) == Fresh()

    def test_condensed_requests_are_transferred_with_the_bucket(self, ledger):
        for message_id in range(5):
            begin(ledger, message_id)
            finish(ledger, message_id)
        for message_id in range(5, 9):
            begin(ledger, message_id)
        assert begin(ledger, 9) == Full(MAX_RETRY_AFTER)
        later = Ledger(capacity=9, replay_horizon=HORIZON)
        condensed = ledger.condensed.export(BUCKET, now=1)
        later.condensed.merge(BUCKET, condensed, now=1)
        assert begin(later, 9, now=2) == Full(1)
        assert begin(later, 0, now=2) == OutcomeUnknown(b'')
        assert begin(later, 10, now=2) == Fresh()

    def test_entries_not_run_are_condensed_first(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
            finish(ledger, message_id)
        begin(ledger, 4)
        finish(ledger, 4, RequestState.NOT_RUN)
        begin(ledger, 5)
        assert begin(ledger, 4) == Full(MAX_RETRY_AFTER)
        assert begin(ledger, 1) == Answered(ANSWER)

    def test_heir_makes_room_for_a_record(self, ledger):
        begin(ledger)
        assert ledger.has_room(3)
        assert not ledger.make_room(4, now=0)
        finish(ledger)
        assert ledger.make_room(4, now=0)


class TestMerge:
    def test_request_started_by_another_process_may_have_run(self, ledger):
        """A request must not run again on the heir after its home has failed.

        The home recorded the request, passed it to its server and failed; the
        replay reaches the heir, which has to treat it as possibly run.
        """
        begin(ledger)
        heir = Ledger(4, HORIZON)
        transfer(ledger, heir)
        assert begin(heir) == OutcomeUnknown(b'')
        finish(ledger)
        transfer(ledger, heir)
        assert begin(heir) == Answered(ANSWER)

    def test_own_record_from_the_heir_does_not_end_a_run(self, ledger):
        begin(ledger)
        heir = Ledger(4, HORIZON)
        transfer(ledger, heir)
        transfer(heir, ledger)
        assert begin(ledger) == Running()

    def test_abandoned_here_and_started_elsewhere_may_have_run(self, ledger):
        """A caller must not be told *not run* of a request that ran.

        The home gave up the request because its heir no longer accepted its
        records.  A duplicate had reached the new home, which ran the request
        and failed.
        """
        begin(ledger)
        ledger.abandon(key(), CHECKSUM, ANSWER, now=0)
        new_home = Ledger(4, HORIZON)
        begin(new_home)
        transfer(new_home, ledger)
        assert begin(ledger) == OutcomeUnknown(b'')

    def test_not_run_supersedes_started(self, ledger):
        begin(ledger)
        heir = Ledger(4, HORIZON)
        transfer(ledger, heir)
        finish(ledger, state=RequestState.NOT_RUN)
        transfer(ledger, heir)
        assert begin(heir) == WasNotRun(ANSWER)

    @pytest.mark.parametrize('state', list(RequestState))
    def test_answer_supersedes_all_states_in_either_order(self, state):
        answered = LedgerEntry(key(), CHECKSUM, RequestState.ANSWERED, ANSWER)
        other = LedgerEntry(key(), CHECKSUM, state)
        for entries in ((answered, other), (other, answered)):
            ledger = Ledger(4, HORIZON)
            ledger.merge(BUCKET, entries, now=0)
            assert begin(ledger) == Answered(ANSWER)
            is_contradiction = state in {
                RequestState.NOT_RUN,
                RequestState.ABANDONED,
            }
            assert ledger.counters.contradictions == is_contradiction

    def test_age_is_transferred(self, ledger):
        begin(ledger)
        finish(ledger)
        later = Ledger(4, HORIZON)
        later.merge(BUCKET, ledger.export(BUCKET, now=200), now=1000)
        later.evict_expired(1000 + HORIZON - 200)
        assert len(later) == 1
        later.evict_expired(1001 + HORIZON - 200)
        assert len(later) == 0

    def test_bucket_is_merged_beyond_the_capacity(self, ledger):
        for message_id in range(4):
            begin(ledger, message_id)
        small = Ledger(2, HORIZON)
        transfer(ledger, small)
        assert len(small.export(BUCKET, 0)) == 4
        assert begin(small, 9) == Full(MAX_RETRY_AFTER)

    def test_drop_removes_only_that_bucket(self, ledger):
        begin(ledger)
        ledger.begin(BUCKET + 1, key(2), CHECKSUM, now=0)
        ledger.drop(BUCKET)
        assert ledger.export(BUCKET, now=0) == ()
        assert len(ledger.export(BUCKET + 1, now=0)) == 1
