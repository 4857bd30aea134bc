"""The decision whether the server beside this agent is given a new flow."""

import enum

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.openings.expectation import (
    RUN_SECONDS,
    wait_for_pace,
    wait_for_slot,
)
from redwingstream.openings.failing import DOUBT_WAIT, FailureWatch
from redwingstream.openings.pacing import RATE_WINDOW, ColdLimit, Pacer
from redwingstream.openings.reports import ServerReport, ServerState
from redwingstream.tables.snapshot import Tables

SILENT_REPORTS = 2.5
"""Reports that may be missing before the server counts as silent; one report
that is lost or late must not close it."""

SERVER_QUEUE = 3
"""Requests that may wait at the server itself, whatever its slots: servers
queue a few and refuse more, and the next one is there when one ends."""

FULL_FOR = 0.05
"""Seconds for which a server that has handed a new flow back is left alone:
about the time in which one of its requests ends."""

UNANSWERED_FOR = 0.25
"""Seconds after which a new flow without any answer means that the server does
not run; it answers within a millisecond, and the caller's first copy comes
after 200 ms."""


class Verdict(enum.StrEnum):
    """What becomes of a new flow, and why."""

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
        """Whether the server may take the flow after a moment."""
        return self in _PASSING


_PASSING = frozenset(
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
    """What the tables say of the server's pool and zone.

    Parameters
    ----------
    zone : str
        The server's availability zone.
    cold_rate : float
        New flows a second that a server of its pool bears while it is cold.
    max_flows : int
        Flows that it holds at once; 0 for no limit.
    zones_out : frozenset of str
        All availability zones that are out.
    """

    zone: str = ''
    cold_rate: float = 0
    max_flows: int = 0
    zones_out: frozenset[str] = frozenset()

    @property
    def is_zone_out(self) -> bool:
        """Whether operators have taken the server's zone out."""
        return self.zone in self.zones_out

    @classmethod
    def from_tables(
        cls, tables: Tables, pool_name: str, zone: str
    ) -> 'PoolRules':
        """Return what tables say of a pool and a zone."""
        zones_out = frozenset(filter(tables.is_zone_out, tables.zone_by_name))
        around = cls(zone, zones_out=zones_out)
        pool = tables.pool_by_name.get(pool_name)
        if pool is not None and pool.limits is not None:
            around.cold_rate = pool.limits.cold_rate
            around.max_flows = pool.limits.max_flows
        return around


@attrs.frozen
class Load:
    """What the server has to do.

    Parameters
    ----------
    waiting : int
        Requests that it has not begun to answer.
    flows : int
        Flows that it holds.
    queued : int
        New flows that wait for it at the agent.
    """

    waiting: int
    flows: int
    queued: int = 0


class Gate:
    """Decides on new flows for one server.

    Parameters
    ----------
    cold_limit : ColdLimit
        What a cold server may get.
    report_interval : float
        Seconds between two reports of a server.
    started_at : float
        When the agent started.

    Notes
    -----
    It assumes the worst until it has heard the server: an agent that restarts
    knows neither whether its server is draining nor whether it is cold, and
    every new flow of this server passes here.
    """

    def __init__(
        self, cold_limit: ColdLimit, report_interval: float, started_at: float
    ) -> None:
        self.state = ServerState()
        self.rules = PoolRules()
        self.failures = FailureWatch()
        self._cold_limit = cold_limit
        self._silent_after = report_interval * SILENT_REPORTS
        self._heard_by = started_at + report_interval
        self._pacer = Pacer()
        self._cold_until = float('-inf')
        self._full_until = float('-inf')
        self._doubted_at = float('-inf')
        self._unanswered_since: float | None = None

    def handle_report(self, report: ServerReport, now: float) -> bool:
        """Take a report; return False when it is a late one."""
        before = self.state.report
        if not self.state.take(report, now):
            return False
        if before is not None and before.born != report.born:
            # What another run of the server failed says nothing of this one.
            self.failures = FailureWatch()
        self._cold_until = now + report.cold_for
        self._unanswered_since = None
        return True

    def assume_cold(self, now: float) -> None:
        """Take the server for cold until it has said that it is not.

        Used when it may have turned cold since its last report: its zone has
        come back, or it has lost flows that it held.
        """
        self._doubted_at = now

    def is_cold(self, now: float) -> bool:
        """Whether the server is cold, or may be."""
        return (
            now < self._cold_until or self._doubted_at >= self.state.received_at
        )

    @property
    def slots(self) -> int:
        """How many requests the server runs at once, as it said."""
        report = self.state.report
        return 1 if report is None else max(1, report.slots)

    def verdict_for(self, load: Load, now: float) -> Verdict:
        """Decide on a new flow."""
        closed = self._closed(load, now)
        if closed is not None:
            return closed
        if self.is_cold(now):
            allowed = self._cold_limit.allowed(self.rules.cold_rate)
            if self._pacer.count(now) >= allowed:
                return Verdict.COLD
        if load.waiting >= self.slots:
            return Verdict.BUSY
        is_taken = self.failures.may_take(now)
        return Verdict.TAKE if is_taken else Verdict.FAILING

    def may_queue(self, load: Load) -> bool:
        """Whether a busy server may be given one more request to wait for."""
        return load.waiting < self.slots + SERVER_QUEUE

    def expected_wait(self, load: Load, now: float) -> float:
        """Return the seconds until the server is expected to take a new flow.

        Returns
        -------
        float
            Infinite when it will not, or nobody can say when.
        """
        match self._closed(load, now):
            case None:
                pace = self._wait_for_warmth(load, now)
            case Verdict.UNHEARD:
                pace = self._heard_by - now
                if pace < 0:
                    return float('inf')
            case Verdict.FULL:
                pace = self._full_until - now
            case _:
                return float('inf')
        if not self.failures.may_take(now):
            pace += DOUBT_WAIT
        waiting = load.waiting + load.queued
        return pace + wait_for_slot(waiting, self.slots, RUN_SECONDS)

    def record_opened(self, now: float) -> None:
        """Count a packet that opens a flow, on its way to the server."""
        self._pacer.note(now)
        self.failures.note_opened(now)
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_answer(self) -> None:
        """The server has said something, so it runs."""
        self._unanswered_since = None

    def record_full(self, now: float) -> None:
        """The server has handed a new flow back."""
        self._full_until = now + FULL_FOR

    def _wait_for_warmth(self, load: Load, now: float) -> float:
        if not self.is_cold(now):
            return 0
        allowed = self._cold_limit.allowed(self.rules.cold_rate)
        opened_at = self._pacer.opened_at(now)
        pace = wait_for_pace(opened_at, allowed, load.queued, RATE_WINDOW, now)
        if self._doubted_at >= self.state.received_at:
            return pace
        return min(pace, self._cold_until - now)

    def _closed(self, load: Load, now: float) -> Verdict | None:
        said = self._closed_as_said(now)
        if said is not None:
            return said
        if self.rules.is_zone_out:
            return Verdict.ZONE_OUT
        if now < self._full_until:
            return Verdict.FULL
        if self._is_not_answering(now):
            return Verdict.NOT_ANSWERING
        limit = self.rules.max_flows
        return Verdict.MAX_FLOWS if limit and load.flows >= limit else None

    def _closed_as_said(self, now: float) -> Verdict | None:
        match self.state.readiness:
            case Readiness.UNKNOWN:
                return Verdict.UNHEARD
            case Readiness.DRAINING:
                return Verdict.DRAINING
            case Readiness.GONE | Readiness.ENDED:
                return Verdict.GONE
        is_silent = now - self.state.received_at > self._silent_after
        return Verdict.SILENT if is_silent else None

    def _is_not_answering(self, now: float) -> bool:
        since = self._unanswered_since
        return since is not None and now - since > UNANSWERED_FOR
