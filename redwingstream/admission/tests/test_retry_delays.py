"""Delays told to refused callers, and the budget for retries."""

import random
from collections import Counter

import pytest

from redwingstream.admission.retry_budget import RETRY_RESERVE, RetryBudget
from redwingstream.admission.retry_delays import (
    MAX_DELAY,
    MIN_DELAY,
    OverloadGauge,
    RetryDelays,
)
from redwingstream.errors import ResultCode

REASONS = (
    ResultCode.ZONE_OUT,
    ResultCode.DRAINING,
    ResultCode.OVERLOADED,
    ResultCode.RECOVERING,
    ResultCode.LEDGER_FULL,
    ResultCode.NO_SERVER,
)


class TestRetryDelays:
    @pytest.mark.parametrize('reason', REASONS)
    @pytest.mark.parametrize('overload', [0, 1, 4, 1e9])
    def test_delays_are_bounded(self, reason, overload):
        retry_delays = RetryDelays(random.Random(2))
        delays = {retry_delays.delay(reason, overload) for _ in range(500)}
        assert min(delays) >= MIN_DELAY
        assert max(delays) <= MAX_DELAY
        assert len(delays) > 1

    def test_refused_callers_do_not_retry_simultaneously(self):
        """Refused callers spread their retries over the interval.

        Guards against delays computed from load alone: 1,000 callers refused
        in one second would be told the same delay, and the peak would repeat
        a minute later within the same second.
        """
        retry_delays = RetryDelays(random.Random(2))
        delays = Counter(
            retry_delays.delay(ResultCode.OVERLOADED, overload=9)
            for _ in range(1000)
        )
        assert max(delays.values()) < 1000 / len(delays) * 2
        assert len(delays) > 30


class TestOverloadGauge:
    def test_refused_for_each_served(self):
        gauge = OverloadGauge()
        for _ in range(10):
            gauge.record_served(0)
        for _ in range(40):
            gauge.record_refused(0)
        assert gauge.overload(0) == pytest.approx(4)

    def test_old_requests_decay(self):
        gauge = OverloadGauge(half_life=5)
        for _ in range(40):
            gauge.record_refused(0)
        assert gauge.overload(10) == pytest.approx(10)


class TestRetryBudget:
    def test_retries_are_a_tenth_of_fresh_requests(self):
        """The total number of retries is bounded.

        Guards against retries bounded only per request: the retries of timed
        out requests time out and are retried too, until one slow server causes
        an outage of all of them.
        """
        budget = RetryBudget()
        retried = 0
        for _ in range(1000):
            budget.record_request()
            retried += budget.try_retry()
        assert retried <= 100 + RETRY_RESERVE

    def test_idle_time_accumulates_no_more_than_the_reserve(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.record_request()
        assert sum(budget.try_retry() for _ in range(100)) == RETRY_RESERVE
