"""What a backend server says of itself, and which report is the newest."""

import attrs

from redwingstream.directory.messages import Readiness

FIRST_SEQUENCE = 1
"""Number of the first report of a run."""


@attrs.frozen
class ServerReport:
    """What a server said.

    Parameters
    ----------
    server : str
        Its name.
    born : int
        When this run of it started, in milliseconds of its own clock.
    sequence : int
        Counts the reports of one run.
    pool : str
        Pool that it belongs to.
    readiness : Readiness
        Ready or draining.
    cold_for : float
        Seconds for which it stays cold.
    slots : int
        Requests that it runs at once.
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
    """What is known of the server beside this agent.

    Parameters
    ----------
    report : ServerReport or None
        The newest one; None before the first.
    heard_at : float
        When it came.
    has_left : bool
        True when the server has said that it ends.
    has_ended : bool
        True when the server's process was found to have ended.
    is_seen_whole : bool
        True when this run of the server began while it was listened to, so that
        it holds no flow that it was not given since.
    """

    report: ServerReport | None = None
    received_at: float = float('-inf')
    has_left: bool = False
    has_ended: bool = False
    is_observed_from_start: bool = False

    def take(self, report: ServerReport, now: float) -> bool:
        """Take a report unless it is a late one; return whether it was taken.

        Notes
        -----
        A report that was held up on its way may come after its sender has
        ended and another run has started at the same address; taken for the
        new run's, it would make a cold server look warm, or a leaving one
        ready.  Runs are told apart by the time of their start, since a server
        may start again under its name with its counter at the beginning.
        """
        known = self.report
        if known is not None and _order(report) <= _order(known):
            return False
        if known is None:
            self.is_observed_from_start = report.sequence <= FIRST_SEQUENCE
        elif known.born != report.born:
            self.is_observed_from_start = True
        self.report = report
        self.received_at = now
        self.has_left = False
        self.has_ended = False
        return True

    def mark_leaving(self, server: str) -> bool:
        """Note that a server ends; return False when it is another one."""
        if self.report is None or self.report.server != server:
            return False
        self.has_left = True
        return True

    def mark_ended(self) -> None:
        """Record that the server's process has ended."""
        self.has_ended = True

    @property
    def readiness(self) -> Readiness:
        """Whether the server may be given new flows, as it said."""
        if self.has_ended:
            return Readiness.ENDED
        if self.report is None:
            return Readiness.UNKNOWN
        return Readiness.GONE if self.has_left else self.report.readiness


def _order(report: ServerReport) -> tuple[int, int]:
    return (report.born, report.sequence)
