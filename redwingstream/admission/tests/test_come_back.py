"""Come-back delays and the budget for retries."""

import random
from collections import Counter

import pytest

from redwingstream.admission.come_back import (
    LONGEST,
    SHORTEST,
    RetryDelays,
    OverloadGauge,
)
from redwingstream.admission.retry_budget import RETRY_RESERVE, RetryBudget
from redwingstream.errors import ResultCode

REASONS = (
    ResultCode.ZONE_OUT,
    ResultCode.DRAINING,
    ResultCode.OVERLOADED,
    ResultCode.RECOVERING,
    ResultCode.LEDGER_FULL,
    ResultCode.NO_SERVER,
)


class TestComeBack:
    @pytest.mark.parametrize('reason', REASONS)
    @pytest.mark.parametrize('overload', [0, 1, 4, 1e9])
    def test_delays_are_bounded(self, reason, overload):
        come_back = RetryDelays(random.Random(2))
        delays = {come_back.delay(reason, overload) for _ in range(500)}
        assert min(delays) >= SHORTEST
        assert max(delays) <= LONGEST
        assert len(delays) > 1

    def test_refused_callers_do_not_return_in_step(self):
        """A minute after a peak the same peak comes again, to the second.

        1,000 callers are refused in one second and told the same delay.
        Cause: come-back times computed from load alone.
        """
        come_back = RetryDelays(random.Random(2))
        delays = Counter(
            come_back.delay(ResultCode.OVERLOADED, overload=9)
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

    def test_the_past_fades(self):
        gauge = OverloadGauge(half_life=5)
        for _ in range(40):
            gauge.record_refused(0)
        assert gauge.overload(10) == pytest.approx(10)


class TestRetryBudget:
    def test_retries_are_a_tenth_of_fresh_requests(self):
        """One slow server turns into an outage of all of them.

        Each timeout is repeated, the repeats time out too and are repeated.
        Cause: retries bounded for each request, not in sum.
        """
        budget = RetryBudget()
        retried = 0
        for _ in range(1000):
            budget.record_request()
            retried += budget.try_retry()
        assert retried <= 100 + RETRY_RESERVE

    def test_quiet_time_saves_up_no_more_than_the_reserve(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.record_request()
        assert sum(budget.try_retry() for _ in range(100)) == RETRY_RESERVE
