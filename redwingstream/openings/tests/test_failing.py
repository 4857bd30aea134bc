"""A server that fails its requests although it reports that it is ready."""

import random

import pytest

from redwingstream.openings.failing import (
    FAILED_LIMIT,
    FIRST_RATE,
    RECENT_SECONDS,
    FailureWatch,
)

RUN = 0.05
"""Seconds of a request."""


@pytest.fixture
def watch() -> FailureWatch:
    """A watch that has seen nothing."""
    return FailureWatch()


def _doubted(watch: FailureWatch, now: float) -> None:
    for _ in range(FAILED_LIMIT):
        watch.record_failed(now)
    assert watch.is_in_doubt


def _offered(
    watch: FailureWatch, begin: float, seconds: float, share: float
) -> int:
    """Offer 50 new flows a second; return how many the server got.

    It fails a share of them.
    """
    chance = random.Random(7)
    taken = 0
    for step in range(int(seconds * 50)):
        now = begin + step / 50
        if watch.may_take(now):
            taken += 1
            watch.note_opened(now)
            failed = chance.random() < share
            note = watch.record_failed if failed else watch.record_served
            note(now + RUN)
    return taken


class TestDoubt:
    """When a server comes into doubt."""

    def test_begins_when_a_third_fail(self, watch) -> None:
        for number in range(FAILED_LIMIT - 1):
            watch.record_served(number / 10)
            assert not watch.record_failed(number / 10)
        assert watch.record_failed(1)
        assert watch.is_in_doubt

    def test_does_not_begin_with_single_failures(self, watch) -> None:
        for number in range(200):
            is_failed = number % 10 == 0
            note = watch.record_failed if is_failed else watch.record_served
            note(number / 10)
        assert not watch.is_in_doubt

    def test_does_not_begin_with_failures_of_long_ago(self, watch) -> None:
        for number in range(FAILED_LIMIT):
            watch.record_failed(number * RECENT_SECONDS)
        assert not watch.is_in_doubt


class TestTrials:
    """What a server in doubt is given."""

    @pytest.mark.parametrize('share', [0.5, 1])
    def test_are_few_while_it_fails(self, watch, share) -> None:
        _doubted(watch, 0)
        assert _offered(watch, 0, 20, share) <= 20 * FIRST_RATE * 2
        assert watch.is_in_doubt

    def test_become_more_once_it_serves(self, watch) -> None:
        """A server that has recovered gets its share back within 4 s."""
        _doubted(watch, 0)
        _offered(watch, 0, 10, 1)
        _offered(watch, 10, 4, 0)
        assert not watch.is_in_doubt
        assert _offered(watch, 14, 1, 0) == 50
