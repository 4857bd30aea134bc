"""Reports of a backend server on its own state, and which one is the newest."""

import attrs

from redwingstream.directory.messages import Readiness


NEVER = float('inf')

NOT_STATED = 0
"""Start of a server's run in reports that do not state it."""


@attrs.frozen
class ServerReport:
    """One report of a server.

    Parameters
    ----------
    server : str
        Name of the server.
    born : int
        Start of this run of the server, in milliseconds by its own clock.
    sequence : int
        Number of the report within the run.
    pool : str
        Pool that the server belongs to.
    readiness : Readiness
        Ready or draining.
    cold_for : float
        Seconds for which the server stays cold.
    slots : int
        Number of requests that the server runs at once.
    """

    server: str
    born: int
    sequence: int
    pool: str
    readiness: Readiness
    cold_for: float
    slots: int


@attrs.define
class ServerState:
    """State of the server beside this agent, according to its reports.

    Parameters
    ----------
    report : ServerReport or None
        Newest report; None before the first one.
    received_at : float
        Time of its arrival in seconds, by the event loop's clock.
    is_leaving : bool
        True when the server has announced that it is about to end, until a
        later report.
    has_announced_end : bool
        True when this run of the server has announced its end.  A report that
        was sent before may arrive after the announcement.
    has_ended : bool
        True when the server's process was found to have ended.
    """

    report: ServerReport | None = None
    received_at: float = float('-inf')
    is_leaving: bool = False
    has_announced_end: bool = False
    has_ended: bool = False
    _earlier: ServerReport | None = None

    def apply_report(
        self,
        report: ServerReport,
        now: float,
        silence_timeout: float = NEVER,
    ) -> bool:
        """Apply a report; return False when it is out of date.

        Parameters
        ----------
        report : ServerReport
            The report.
        now : float
            Current time in seconds, by the event loop's clock.
        silence_timeout : float
            Seconds without a report after which the server counts as silent.

        Notes
        -----
        A delayed report may arrive after its sender has ended and another run
        has started at the same address.  Applied to the new run, it would make
        a cold server look warm, or a leaving one ready.  Runs are
        distinguished by their start time, since a restarted server keeps its
        name and counts its reports from the beginning.  A run whose clock was
        set back seems to have started earlier: it counts once the known run is
        silent and it has sent two reports since.
        """
        known = self.report
        is_late = known is not None and _sort_key(report) <= _sort_key(known)
        if is_late and not self._is_set_back(report, now - silence_timeout):
            return False
        if known is not None and known.born != report.born:
            self.has_announced_end = False
        self.report = report
        self.received_at = now
        self._earlier = None
        self.is_leaving = False
        self.has_ended = False
        return True

    def mark_leaving(self, server: str) -> bool:
        """Record that the server is about to end; False for another server."""
        if self.report is None or self.report.server != server:
            return False
        self.is_leaving = True
        self.has_announced_end = True
        return True

    @property
    def proves_end_by_refusal(self) -> bool:
        """Whether a refused connection shows that the server has ended.

        A server that has announced its end closes its listener, and serves
        its open flows for up to two more seconds.
        """
        return not self.has_announced_end

    def mark_ended(self) -> None:
        """Record that the server's process has ended."""
        self.has_ended = True

    def mark_running(self) -> None:
        """Record a sign that the server's process is running."""
        self.has_ended = False

    @property
    def readiness(self) -> Readiness:
        """Readiness of the server for new flows, as last reported."""
        if self.has_ended:
            return Readiness.ENDED
        if self.report is None:
            return Readiness.UNKNOWN
        return Readiness.GONE if self.is_leaving else self.report.readiness

    def _is_set_back(self, report: ServerReport, silent_since: float) -> bool:
        """Whether a run with an earlier start has replaced the known one.

        A single report may have been delayed.
        """
        known, before = self.report, self._earlier
        if known is None or self.received_at > silent_since:
            return False
        if not NOT_STATED < report.born < known.born:
            return False
        self._earlier = report
        return (
            before is not None
            and before.born == report.born
            and before.sequence < report.sequence
        )


def _sort_key(report: ServerReport) -> tuple[int, int]:
    return (report.born, report.sequence)
