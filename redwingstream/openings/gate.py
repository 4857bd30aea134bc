"""Decision whether the server beside this agent is given a new flow."""

import enum

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.openings.cold_limit import (
    RATE_WINDOW,
    ColdLimit,
    OpeningWindow,
)
from redwingstream.openings.failure_tracking import (
    DOUBT_PENALTY,
    FailureTracker,
)
from redwingstream.openings.reports import ServerReport, ServerState
from redwingstream.openings.wait_estimate import (
    REQUEST_SECONDS,
    expected_rate_wait,
    expected_slot_wait,
)
from redwingstream.tables.snapshot import Tables

SILENT_AFTER_REPORTS = 2.5
"""Report intervals without a report after which the server counts as silent.
One report that is lost or late must not stop new flows."""

SERVER_QUEUE_LIMIT = 3
"""Requests that may queue at the server beyond its slots.  Servers queue a few
requests and refuse more; a queued one starts as soon as a slot is free."""

FULL_BACKOFF = 0.05
"""Seconds without new flows after the server has handed one back, about the
time in which one of its requests ends."""

ANSWER_TIMEOUT = 0.25
"""Seconds after which a new flow without any answer means that the server is
not running.  A running server answers within a millisecond, and the caller
sends its first copy after 200 ms."""


class Verdict(enum.StrEnum):
    """Decision on a new flow: ``TAKE``, or the reason not to open it now.

    The values appear as reasons in log events.
    """

    TAKE = 'take'
    BUSY = 'busy'
    UNHEARD = 'unheard'
    SILENT = 'silent'
    DRAINING = 'draining'
    GONE = 'gone'
    ZONE_OUT = 'zone_out'
    COLD = 'cold'
    FULL = 'full'
    MAX_FLOWS = 'max_flows'
    NOT_ANSWERING = 'not_answering'
    FAILING = 'failing'

    @property
    def may_wait(self) -> bool:
        """Whether a new flow may wait for the server with this verdict."""
        return self in _WAITABLE


_WAITABLE = frozenset(
    (
        Verdict.TAKE,
        Verdict.BUSY,
        Verdict.COLD,
        Verdict.FULL,
        Verdict.UNHEARD,
        Verdict.FAILING,
    )
)


@attrs.define
class PoolRules:
    """Rules of the tables for the server's pool and availability zone.

    Parameters
    ----------
    zone : str
        The server's availability zone.
    cold_rate : float
        New flows per second that a cold server of the pool can handle.
    max_flows : int
        Maximum number of concurrent flows of the server; 0 for no limit.
    zones_out : frozenset of str
        All availability zones that operators have taken out of service.
    """

    zone: str = ''
    cold_rate: float = 0
    max_flows: int = 0
    zones_out: frozenset[str] = frozenset()

    @property
    def is_zone_out(self) -> bool:
        """Whether operators have taken the server's zone out of service."""
        return self.zone in self.zones_out

    @classmethod
    def from_tables(
        cls, tables: Tables, pool_name: str, zone: str
    ) -> 'PoolRules':
        """Return the rules of the tables for a pool and a zone."""
        zones_out = frozenset(filter(tables.is_zone_out, tables.zone_by_name))
        rules = cls(zone, zones_out=zones_out)
        pool = tables.pool_by_name.get(pool_name)
        if pool is not None and pool.limits is not None:
            rules.cold_rate = pool.limits.cold_rate
            rules.max_flows = pool.limits.max_flows
        return rules


@attrs.frozen
class Load:
    """Current load of the server.

    Parameters
    ----------
    waiting : int
        Requests that the server has not begun to answer.
    flows : int
        Open flows of the server.
    queued : int
        New flows that wait at the agent for the server.
    """

    waiting: int
    flows: int
    queued: int = 0


class Gate:
    """Decides whether one server is given a new flow.

    Parameters
    ----------
    cold_limit : ColdLimit
        Limit on the new flows of a cold server.
    report_interval : float
        Seconds between two reports of a server.
    started_at : float
        Start of the agent in seconds, by the event loop's clock.

    Attributes
    ----------
    state : ServerState
        State of the server according to its reports.
    rules : PoolRules
        Rules of the tables for the server's pool and zone.
    failures : FailureTracker
        Outcomes of the server's requests.
    answers : int
        Number of packets of the server.

    Notes
    -----
    No flow is opened before the first report: an agent that has restarted
    knows neither whether its server is draining nor whether it is cold, and
    every new flow of the server passes this decision.
    """

    def __init__(
        self, cold_limit: ColdLimit, report_interval: float, started_at: float
    ) -> None:
        self.state = ServerState()
        self.rules = PoolRules()
        self.failures = FailureTracker()
        self.answers = 0
        self._cold_limit = cold_limit
        self._silence_timeout = report_interval * SILENT_AFTER_REPORTS
        self._first_report_due_at = started_at + report_interval
        self._recent_openings = OpeningWindow()
        self._cold_until = float('-inf')
        self._full_until = float('-inf')
        self._assumed_cold_at = float('-inf')
        self._unanswered_at: float | None = None

    def handle_report(self, report: ServerReport, now: float) -> bool:
        """Handle a report; return False when it is out of date."""
        previous = self.state.report
        if not self.state.apply_report(report, now, self._silence_timeout):
            return False
        if previous is not None and previous.born != report.born:
            # Failures of the previous run of the server do not count for
            # this one.
            self.failures = FailureTracker()
            if report.born < previous.born:
                self.assume_cold(now)
        self._cold_until = now + report.cold_for
        self._unanswered_at = None
        return True

    def assume_cold(self, now: float) -> None:
        """Treat the server as cold until its next report.

        Used when it may have turned cold since its last report: its zone has
        come back into service, or it has lost flows that it held.
        """
        self._assumed_cold_at = now

    def is_cold(self, now: float) -> bool:
        """Whether the server is cold or must be assumed to be."""
        return (
            now < self._cold_until
            or self._assumed_cold_at >= self.state.received_at
        )

    @property
    def slots(self) -> int:
        """Number of requests that the server runs at once, as last reported."""
        report = self.state.report
        return 1 if report is None else max(1, report.slots)

    def verdict_for(self, load: Load, now: float) -> Verdict:
        """Return the decision on a new flow.

        Parameters
        ----------
        load : Load
            Current load of the server.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        reason = self._block_reason(load, now)
        if reason is not None:
            return reason
        if self.is_cold(now):
            allowed = self._cold_limit.allowed(self.rules.cold_rate)
            if self._recent_openings.count(now) >= allowed:
                return Verdict.COLD
        if load.waiting >= self.slots:
            return Verdict.BUSY
        is_taken = self.failures.may_open(now)
        return Verdict.TAKE if is_taken else Verdict.FAILING

    def may_queue(self, load: Load) -> bool:
        """Whether one more request may queue at a busy server."""
        return load.waiting < self.slots + SERVER_QUEUE_LIMIT

    def expected_wait(
        self, load: Load, now: float, *, is_first: bool = False
    ) -> float:
        """Return the expected seconds until a new flow can be opened.

        Parameters
        ----------
        load : Load
            Current load of the server.
        now : float
            Current time in seconds, by the event loop's clock.
        is_first : bool
            Whether the flow goes ahead of those that wait at the agent.  They
            count only as far as they take the places of a cold server then.

        Returns
        -------
        float
            Infinite when the server accepts no new flows or the time is
            not known.
        """
        match self._block_reason(load, now):
            case None:
                wait = self._expected_cold_wait(load, now)
            case Verdict.UNHEARD:
                wait = self._first_report_due_at - now
                if wait < 0:
                    return float('inf')
            case Verdict.FULL:
                wait = self._full_until - now
            case _:
                return float('inf')
        if not self.failures.may_open(now):
            wait += DOUBT_PENALTY
        ahead = load.waiting if is_first else load.waiting + load.queued
        return wait + expected_slot_wait(ahead, self.slots, REQUEST_SECONDS)

    def record_opened(self, now: float) -> None:
        """Record an opening packet that is sent to the server."""
        self._recent_openings.record(now)
        self.failures.record_opened(now)
        if self._unanswered_at is None:
            self._unanswered_at = now

    def record_answer(self) -> None:
        """Record a packet of the server, which shows that it is running."""
        self.answers += 1
        self.state.mark_running()
        self._unanswered_at = None

    def record_full(self, now: float) -> None:
        """Record that the server has handed a new flow back."""
        self._full_until = now + FULL_BACKOFF

    def _expected_cold_wait(self, load: Load, now: float) -> float:
        if not self.is_cold(now):
            return 0
        allowed = self._cold_limit.allowed(self.rules.cold_rate)
        opened_at = self._recent_openings.opened_at(now)
        wait = expected_rate_wait(
            opened_at, allowed, load.queued, RATE_WINDOW, now
        )
        if self._assumed_cold_at >= self.state.received_at:
            return wait
        return min(wait, self._cold_until - now)

    def _block_reason(self, load: Load, now: float) -> Verdict | None:
        reported = self._block_reason_by_report(now)
        if reported is not None:
            return reported
        if self.rules.is_zone_out:
            return Verdict.ZONE_OUT
        if now < self._full_until:
            return Verdict.FULL
        if self._is_not_answering(now):
            return Verdict.NOT_ANSWERING
        limit = self.rules.max_flows
        return Verdict.MAX_FLOWS if limit and load.flows >= limit else None

    def _block_reason_by_report(self, now: float) -> Verdict | None:
        match self.state.readiness:
            case Readiness.UNKNOWN:
                return Verdict.UNHEARD
            case Readiness.DRAINING:
                return Verdict.DRAINING
            case Readiness.GONE | Readiness.ENDED:
                return Verdict.GONE
        is_silent = now - self.state.received_at > self._silence_timeout
        return Verdict.SILENT if is_silent else None

    def _is_not_answering(self, now: float) -> bool:
        unanswered_at = self._unanswered_at
        return (
            unanswered_at is not None and now - unanswered_at > ANSWER_TIMEOUT
        )
