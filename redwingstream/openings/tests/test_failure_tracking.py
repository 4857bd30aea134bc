"""Detection of a server that fails its requests although it reports ready."""

import random

import pytest

from redwingstream.openings.failure_tracking import (
    FAILED_LIMIT,
    RECENT_SECONDS,
    TRIAL_RATE,
    FailureTracker,
)

REQUEST_SECONDS = 0.05
"""Duration of a request in seconds."""


@pytest.fixture
def tracker() -> FailureTracker:
    """A tracker without any outcomes."""
    return FailureTracker()


def _put_in_doubt(tracker: FailureTracker, now: float) -> None:
    for _ in range(FAILED_LIMIT):
        tracker.record_failed(now)
    assert tracker.is_in_doubt


def _offer_flows(
    tracker: FailureTracker, begin: float, seconds: float, share: float
) -> int:
    """Offer 50 new flows per second; return how many the server got.

    The server fails the given fraction of them.
    """
    chance = random.Random(7)
    opened = 0
    for step in range(int(seconds * 50)):
        now = begin + step / 50
        if tracker.may_open(now):
            opened += 1
            tracker.record_opened(now)
            failed = chance.random() < share
            record = tracker.record_failed if failed else tracker.record_served
            record(now + REQUEST_SECONDS)
    return opened


class TestDoubt:
    """When a server comes into doubt."""

    def test_begins_when_a_third_fail(self, tracker) -> None:
        for number in range(FAILED_LIMIT - 1):
            tracker.record_served(number / 10)
            assert not tracker.record_failed(number / 10)
        assert tracker.record_failed(1)
        assert tracker.is_in_doubt

    def test_does_not_begin_with_single_failures(self, tracker) -> None:
        for number in range(200):
            is_failed = number % 10 == 0
            record = (
                tracker.record_failed if is_failed else tracker.record_served
            )
            record(number / 10)
        assert not tracker.is_in_doubt

    def test_does_not_begin_with_old_failures(self, tracker) -> None:
        for number in range(FAILED_LIMIT):
            tracker.record_failed(number * RECENT_SECONDS)
        assert not tracker.is_in_doubt


class TestTrials:
    """Trial flows of a server in doubt."""

    @pytest.mark.parametrize('share', [0.5, 1])
    def test_are_few_while_it_fails(self, tracker, share) -> None:
        _put_in_doubt(tracker, 0)
        assert _offer_flows(tracker, 0, 20, share) <= 20 * TRIAL_RATE * 2
        assert tracker.is_in_doubt

    def test_increase_once_it_recovers(self, tracker) -> None:
        """A server that has recovered gets all its flows again within 4 s."""
        _put_in_doubt(tracker, 0)
        _offer_flows(tracker, 0, 10, 1)
        _offer_flows(tracker, 10, 4, 0)
        assert not tracker.is_in_doubt
        assert _offer_flows(tracker, 14, 1, 0) == 50
