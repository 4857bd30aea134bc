"""Decision whether a server is given a new flow.

The values are those of the users' deployments: a report every 1.2 s, no stated
rate for cold servers, a burst factor of 1.5 and a slack of 5.
"""

import attrs
import pytest

from redwingstream.directory.messages import Readiness
from redwingstream.openings.cold_limit import RATE_WINDOW, ColdLimit
from redwingstream.openings.failure_tracking import DOUBT_PENALTY, FAILED_LIMIT
from redwingstream.openings.gate import (
    ANSWER_TIMEOUT,
    FULL_BACKOFF,
    SILENT_AFTER_REPORTS,
    Gate,
    Load,
    PoolRules,
    Verdict,
)
from redwingstream.openings.reports import ServerReport

INTERVAL = 1.2
LIMIT = ColdLimit(1.5, 5)
IDLE = Load(0, 0)
REPORT = ServerReport('i-1', 1000, 1, 'feed', Readiness.READY, 0, 2)


@pytest.fixture
def gate() -> Gate:
    """A gate that received a report of its server at time 10."""
    created = Gate(LIMIT, INTERVAL, 0)
    created.handle_report(REPORT, 10)
    return created


class TestVerdicts:
    """Verdict on a new flow in each state of the server."""

    def test_taken(self, gate) -> None:
        assert gate.verdict_for(IDLE, 10) is Verdict.TAKE

    def test_unheard(self) -> None:
        assert Gate(LIMIT, INTERVAL, 0).verdict_for(IDLE, 0) is Verdict.UNHEARD

    def test_silent(self, gate) -> None:
        late = 10 + INTERVAL * SILENT_AFTER_REPORTS
        assert gate.verdict_for(IDLE, late) is Verdict.TAKE
        assert gate.verdict_for(IDLE, late + 0.1) is Verdict.SILENT

    @pytest.mark.parametrize(
        ('readiness', 'verdict'),
        [
            (Readiness.DRAINING, Verdict.DRAINING),
            (Readiness.READY, Verdict.TAKE),
        ],
    )
    def test_as_reported(self, gate, readiness, verdict) -> None:
        gate.handle_report(
            attrs.evolve(REPORT, sequence=2, readiness=readiness), 11
        )
        assert gate.verdict_for(IDLE, 11) is verdict

    def test_gone(self, gate) -> None:
        gate.state.mark_leaving('i-1')
        assert gate.verdict_for(IDLE, 11) is Verdict.GONE

    def test_zone_out(self, gate) -> None:
        gate.rules = PoolRules('north', zones_out=frozenset(('north',)))
        assert gate.verdict_for(IDLE, 11) is Verdict.ZONE_OUT

    def test_busy(self, gate) -> None:
        assert gate.verdict_for(Load(2, 2), 11) is Verdict.BUSY

    def test_max_flows(self, gate) -> None:
        gate.rules = PoolRules(max_flows=7)
        assert gate.verdict_for(Load(0, 6), 11) is Verdict.TAKE
        assert gate.verdict_for(Load(0, 7), 11) is Verdict.MAX_FLOWS

    def test_full_until_the_backoff_ends(self, gate) -> None:
        gate.record_full(11)
        assert gate.verdict_for(IDLE, 11) is Verdict.FULL
        assert gate.verdict_for(IDLE, 11 + FULL_BACKOFF) is Verdict.TAKE

    def test_not_answering(self, gate) -> None:
        """A server that has crashed gets no more new flows.

        It has sent no packet since it was given a flow, and its next report
        is not due yet, so only the missing answer shows the crash.
        """
        gate.record_opened(11)
        late = 11 + ANSWER_TIMEOUT + 0.01
        assert gate.verdict_for(IDLE, late) is Verdict.NOT_ANSWERING
        gate.record_answer()
        assert gate.verdict_for(IDLE, late) is Verdict.TAKE


class TestColdServer:
    """Limit on the new flows of a cold server."""

    @pytest.mark.parametrize(('rate', 'allowed'), [(0, 5), (1, 6), (4, 11)])
    def test_limit_within_a_second(self, gate, rate, allowed) -> None:
        gate.rules = PoolRules(cold_rate=rate)
        gate.handle_report(attrs.evolve(REPORT, sequence=2, cold_for=3), 11)
        for _ in range(allowed):
            assert gate.verdict_for(IDLE, 11) is Verdict.TAKE
            gate.record_opened(11)
            gate.record_answer()
        assert gate.verdict_for(IDLE, 11) is Verdict.COLD
        assert gate.verdict_for(IDLE, 11 + RATE_WINDOW) is Verdict.COLD
        assert gate.verdict_for(IDLE, 11.01 + RATE_WINDOW) is Verdict.TAKE

    def test_until_it_is_warm(self, gate) -> None:
        gate.handle_report(attrs.evolve(REPORT, sequence=2, cold_for=0.5), 11)
        assert gate.is_cold(11.4)
        assert not gate.is_cold(11.5)

    def test_assumed_cold_until_its_next_report(self, gate) -> None:
        gate.assume_cold(11)
        assert gate.is_cold(12)
        gate.handle_report(attrs.evolve(REPORT, sequence=2), 12)
        assert not gate.is_cold(12)


class TestExpectedWait:
    """Expected wait of a new flow."""

    def test_none_for_an_idle_server(self, gate) -> None:
        assert gate.expected_wait(IDLE, 11) == 0

    def test_grows_with_the_load(self, gate) -> None:
        waits = [
            gate.expected_wait(Load(count, count), 11) for count in range(6)
        ]
        assert waits == sorted(waits)
        assert waits[-1] > 0

    def test_until_a_cold_server_is_warm(self, gate) -> None:
        gate.handle_report(attrs.evolve(REPORT, sequence=2, cold_for=0.5), 11)
        for _ in range(5):
            gate.record_opened(11)
        assert gate.expected_wait(IDLE, 11) == pytest.approx(0.5)

    def test_until_a_cold_server_may_get_one_more(self, gate) -> None:
        gate.handle_report(attrs.evolve(REPORT, sequence=2, cold_for=9), 11)
        for _ in range(5):
            gate.record_opened(11)
        assert gate.expected_wait(IDLE, 11) == pytest.approx(RATE_WINDOW)
        queued = Load(0, 0, queued=5)
        assert gate.expected_wait(queued, 11) >= 2 * RATE_WINDOW

    def test_until_the_first_report(self) -> None:
        fresh = Gate(LIMIT, INTERVAL, 0)
        assert fresh.expected_wait(IDLE, 1) == pytest.approx(INTERVAL - 1)

    def test_infinite_when_the_server_drains(self, gate) -> None:
        draining = attrs.evolve(
            REPORT, sequence=2, readiness=Readiness.DRAINING
        )
        gate.handle_report(draining, 11)
        assert gate.expected_wait(IDLE, 11) == float('inf')


class TestFailing:
    """Verdict on new flows while the server is in doubt."""

    def test_is_avoided_in_favour_of_others(self, gate) -> None:
        _fail(gate, 10)
        assert gate.verdict_for(IDLE, 10) is Verdict.FAILING
        assert gate.expected_wait(IDLE, 10) == DOUBT_PENALTY

    def test_doubt_ends_with_a_restart(self, gate) -> None:
        """A restarted server gets new flows at once.

        Guards against counting the failures of the previous run, which would
        withhold flows from the new one for seconds.
        """
        _fail(gate, 10)
        gate.handle_report(attrs.evolve(REPORT, born=2000), 10)
        assert gate.verdict_for(IDLE, 10) is Verdict.TAKE


def _fail(gate: Gate, now: float) -> None:
    for _ in range(FAILED_LIMIT):
        gate.failures.record_failed(now)
