"""What a control instance tells those who ask: agents, tables, controls."""

from collections.abc import Callable

import attrs

from redwingstream.directory.book import (
    MISSED,
    SILENT_AFTER,
    AgentBook,
    Page,
)
from redwingstream.directory.controls import Controls
from redwingstream.directory.inquiry import WARM_AFTER, pack_update
from redwingstream.directory.messages import (
    UNASKED,
    Inquiry,
    Report,
    Unchanged,
)
from redwingstream.packets.flow import Address
from redwingstream.tables.messages import TablesUpdate

PAUSE = 0.4
"""Seconds after which a process is to ask again where four control instances
run.  They are then asked ten times a second together, and a change is in force
everywhere well within a second."""

CONTROLS_AT_PAUSE = 4
"""With more control instances each is asked less often, so that what a process
spends for control does not grow with their number."""

UNCONFIRMED_PAUSE = 0.1
"""Seconds after which a process is to ask again while this instance does not
know whether its tables are the newest: after a restart of all instances,
callers wait for the tables."""

UNCONFIRMED_AGE = 1.0
"""Seconds since when the tables were last known to be the newest, from which
that is so; a leader that is cut off notices within this time."""

LISTENER_PAUSES = 2
"""Pauses after which a process asks again that says nothing of itself: nobody
misses it, and it hears of a change from whichever instance it asks first."""

MAX_INQUIRIES = 500
"""Inquiries a second that a control instance wants at most; with more processes
each of them asks less often."""

FULL_EVERY = 13
"""Each so many inquiries of a process one is answered in full, with the control
instances that run and the pause; no divisor of the usual numbers of control
instances, so that none of them always gives the short answer."""

AGE_DIGITS = 3
"""Decimal digits of an age in seconds in the short answer."""

KEPT_UPDATES = 16
"""Packed updates that are kept; many processes ask for the same one."""


@attrs.frozen
class TableSource:
    """Where a control instance has its tables from.

    Parameters
    ----------
    revision : int
        Revision of the tables.
    confirmed_age : float
        Seconds since they were known to be the newest.
    since : callable
        Returns what changed after a revision.
    """

    revision: int
    confirmed_age: float
    since: Callable[[int], TablesUpdate]


class Registry:
    """Answers inquiries.

    Parameters
    ----------
    own : Address
        Address of this control instance.
    boot : int
        Random number of its run.
    started_at : float
        When it started.
    book : AgentBook
        The agents that it hears.
    controls : Controls
        The control instances that it hears.
    """

    def __init__(
        self,
        own: Address,
        boot: int,
        started_at: float,
        book: AgentBook,
        controls: Controls,
    ) -> None:
        self._own = own
        self._boot = boot
        self._started_at = started_at
        self._book = book
        self._controls = controls
        self._packed_by_step: dict[tuple[int, int], bytes] = {}
        self._asked = 0
        self._asked_since = started_at
        self._pause = PAUSE
        self._revision = 0
        self._revision_since = started_at

    def answer(
        self, inquiry: Inquiry, tables: TableSource, now: float
    ) -> Report | Unchanged:
        """Return the answer to an inquiry."""
        self._count(now)
        if inquiry.record is not None:
            self._book.hear(inquiry.record, now)
        cursor = inquiry.cursor if inquiry.boot == self._boot else 0
        page = self._book.since(cursor, inquiry.pool, now)
        if self._is_short(inquiry, page, tables, now):
            return Unchanged(
                inquiry.number,
                self._own,
                tables.revision,
                round(tables.confirmed_age, AGE_DIGITS),
            )
        return Report(
            inquiry.number,
            self._own,
            self._boot,
            page.cursor,
            page.records,
            self._update(inquiry.revision, tables),
            tables.revision,
            self._revision_age(tables.revision, now),
            tables.confirmed_age,
            now - self._started_at,
            self._controls.running(now),
            self._pause_for(inquiry, tables),
        )

    def greeting(self, now: float) -> Report:
        """Return what those who asked before a restart are told unasked.

        They learn that this instance runs, and ask it at once.
        """
        return Report(
            UNASKED,
            self._own,
            self._boot,
            cursor=0,
            records=(),
            update=b'',
            revision=0,
            revision_age=0,
            confirmed_age=float('inf'),
            uptime=now - self._started_at,
            controls=self._controls.running(now),
            pause=self._pause,
        )

    def _is_short(
        self, inquiry: Inquiry, page: Page, tables: TableSource, now: float
    ) -> bool:
        """Whether an inquiry misses nothing and may get the short answer."""
        if inquiry.number % FULL_EVERY == 0:
            return False
        has = (inquiry.boot, inquiry.cursor, inquiry.revision)
        if has != (self._boot, page.cursor, tables.revision):
            return False
        is_settled = now - self._started_at >= WARM_AFTER
        return is_settled and tables.confirmed_age <= UNCONFIRMED_AGE

    def _pause_for(self, inquiry: Inquiry, tables: TableSource) -> float:
        if tables.confirmed_age > UNCONFIRMED_AGE:
            return self._pause * UNCONFIRMED_PAUSE / PAUSE
        if inquiry.record is None:
            return self._pause * LISTENER_PAUSES
        return self._pause

    def _revision_age(self, revision: int, now: float) -> float:
        if revision != self._revision:
            self._revision = revision
            self._revision_since = now
        return now - self._revision_since

    def _count(self, now: float) -> None:
        self._asked += 1
        passed = now - self._asked_since
        if passed >= 1:
            share = self._asked / passed / MAX_INQUIRIES
            controls = len(self._controls.running(now)) / CONTROLS_AT_PAUSE
            self._pause = max(PAUSE, PAUSE * controls, self._pause * share)
            self._book.silent_after = max(SILENT_AFTER, MISSED * self._pause)
            self._asked = 0
            self._asked_since = now

    def _update(self, revision: int, tables: TableSource) -> bytes:
        if revision >= tables.revision:
            return b''
        step = (revision, tables.revision)
        packed = self._packed_by_step.get(step)
        if packed is None:
            packed = pack_update(tables.since(revision))
            if len(self._packed_by_step) >= KEPT_UPDATES:
                self._packed_by_step.clear()
            self._packed_by_step[step] = packed
        return packed
