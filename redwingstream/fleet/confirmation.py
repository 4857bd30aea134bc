"""Log events of a process whose tables may not be the newest ones."""

from collections.abc import Callable

import attrs

from redwingstream.directory.inquiry import Inquirer
from redwingstream.eventlog.lines import event

UNCONFIRMED_AFTER = 2.0
"""Seconds without a confirmation after which the tables count as unconfirmed:
an election and the restart of the control instances take less."""


@event
class TablesUnconfirmed:
    """No control instance confirms that the tables are the newest ones.

    ``newest_revision`` is the highest one that a control instance has named.
    If it exceeds ``revision``, newer tables have not arrived; if they are
    equal, the control instances have no leader or do not answer.
    """

    revision: int
    version: int
    newest_revision: int
    unconfirmed_for: float


@event
class TablesConfirmed:
    """Unconfirmed tables were confirmed to be the newest ones."""

    revision: int
    version: int


@attrs.define
class ConfirmationMonitor:
    """Logs when tables become unconfirmed, and when they are confirmed again.

    Parameters
    ----------
    started_at : float
        Start of the process in seconds, by the event loop's clock; until the
        first confirmation, tables count as unconfirmed from then on.
    log : callable
        Called with each event to be logged.
    """

    _started_at: float
    _log: Callable[[object], None]
    _is_unconfirmed: bool = attrs.field(default=False, init=False)

    def check(self, inquirer: Inquirer, now: float) -> None:
        """Log a change since the last check."""
        confirmed_at = max(self._started_at, inquirer.confirmed_at)
        is_unconfirmed = now - confirmed_at > UNCONFIRMED_AFTER
        if is_unconfirmed == self._is_unconfirmed:
            return
        self._is_unconfirmed = is_unconfirmed
        tables = inquirer.history.tables
        generation = tables.generation
        version = 0 if generation is None else generation.version
        if is_unconfirmed:
            self._log(
                TablesUnconfirmed(
                    tables.revision,
                    version,
                    inquirer.newest_revision,
                    round(now - confirmed_at, 3),
                ),
            )
        else:
            self._log(TablesConfirmed(tables.revision, version))
