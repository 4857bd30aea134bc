"""What a control instance tells those who ask: agents, tables, controls."""

from collections.abc import Callable

import attrs

from redwingstream.directory.book import (
    MISSED,
    SILENT_AFTER,
    AgentBook,
    Page,
)
from redwingstream.directory.controls import NAMED_FOR, Controls
from redwingstream.directory.fleet_record import Followers
from redwingstream.directory.inquiry import pack_update
from redwingstream.directory.messages import (
    UNASKED,
    Inquiry,
    Report,
    Status,
    Unchanged,
    Wanted,
)
from redwingstream.directory.packing import pack_records
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
know whether its tables are the newest, or has not heard all agents.  After a
restart of all instances, callers wait for both."""

UNCONFIRMED_AGE = 1.0
"""Seconds since when the tables were last known to be the newest, from which
that is so; a leader that is cut off notices within this time."""

LISTENER_PAUSES = 2
"""Pauses after which a process asks again that says nothing of itself: nobody
misses it, and it hears of a change from whichever instance it asks first."""

MAX_INQUIRIES = 500
"""Inquiries a second that a control instance wants at most; with more processes
each of them asks less often."""

MAX_URGENT_INQUIRIES = 1000
"""Inquiries a second that a control instance wants at most while its tables are
unconfirmed or it has not heard all agents: callers wait for the answers."""

PAUSE_SET_EVERY = 0.1
"""Seconds between two updates of the pause that processes are told."""

WARM_AFTER = 1.5
"""Least time in seconds after its start from which a control instance has heard
every reachable agent.  Agents ask an unresponsive instance at least every 0.8 s
and learn of a new one within a second."""

WARM_PAUSES = 1.5
"""Pauses after which a control instance has heard every reachable agent; one
may last up to 1.25 times as long as requested."""

FULL_EVERY = 7
"""One in this many inquiries of a process to its sources is answered in full,
with the running control instances and the pause.  Coprime with the number of
sources, so that each of them gives full answers."""

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
    followers : Followers
        The processes that send it inquiries.
    """

    def __init__(
        self,
        own: Address,
        boot: int,
        started_at: float,
        book: AgentBook,
        controls: Controls,
        followers: Followers,
    ) -> None:
        self._own = own
        self._boot = boot
        self._started_at = started_at
        self._book = book
        self._controls = controls
        self._followers = followers
        self._packed_by_step: dict[tuple[int, int], bytes] = {}
        self._pause = PAUSE
        self._pause_set_at = float('-inf')
        self._running = controls.running(started_at)
        self._full_until = float('-inf')
        self._revision = 0
        self._revision_since = started_at

    def answer(
        self, inquiry: Inquiry, tables: TableSource, now: float
    ) -> Report | Unchanged | Status:
        """Return the answer to an inquiry."""
        self._set_pause(now)
        if inquiry.record is not None:
            self._book.hear(inquiry.record, now)
        if inquiry.wanted is Wanted.ALL:
            return self._answer_all(inquiry, tables, now)
        has_newer_tables = inquiry.revision < tables.revision
        if inquiry.wanted is Wanted.TABLES and has_newer_tables:
            return self._report(inquiry, Page((), 0), tables, now)
        return Status(
            inquiry.number,
            self._own,
            tables.revision,
            round(tables.confirmed_age, AGE_DIGITS),
            self._pause_for(inquiry, tables, now),
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
            records=b'',
            update=b'',
            revision=0,
            revision_age=0,
            confirmed_age=float('inf'),
            has_heard_all=False,
            controls=self._controls.running(now),
            pause=self._pause,
        )

    def _answer_all(
        self, inquiry: Inquiry, tables: TableSource, now: float
    ) -> Report | Unchanged:
        cursor = inquiry.cursor if inquiry.boot == self._boot else 0
        page = self._book.since(cursor, inquiry.pool, now)
        if not self._is_short(inquiry, page, tables, now):
            return self._report(inquiry, page, tables, now)
        return Unchanged(
            inquiry.number,
            self._own,
            tables.revision,
            round(tables.confirmed_age, AGE_DIGITS),
        )

    def _report(
        self, inquiry: Inquiry, page: Page, tables: TableSource, now: float
    ) -> Report:
        return Report(
            inquiry.number,
            self._own,
            self._boot,
            page.cursor,
            pack_records(page.records),
            self._update(inquiry.revision, tables),
            tables.revision,
            self._revision_age(tables.revision, now),
            tables.confirmed_age,
            self._has_heard_all(now),
            self._controls.running(now),
            self._pause_for(inquiry, tables, now),
            inquiry.wanted,
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
        if not self._has_heard_all(now) or now < self._full_until:
            return False
        return tables.confirmed_age <= UNCONFIRMED_AGE

    def _has_heard_all(self, now: float) -> bool:
        warm_after = max(WARM_AFTER, WARM_PAUSES * self._pause)
        return now - self._started_at >= warm_after

    def _pause_for(
        self, inquiry: Inquiry, tables: TableSource, now: float
    ) -> float:
        is_settled = self._has_heard_all(now)
        if tables.confirmed_age > UNCONFIRMED_AGE or not is_settled:
            min_pause = len(self._followers) / MAX_URGENT_INQUIRIES
            return max(UNCONFIRMED_PAUSE, min_pause)
        if inquiry.record is None:
            return self._pause * LISTENER_PAUSES
        return self._pause

    def _revision_age(self, revision: int, now: float) -> float:
        if revision != self._revision:
            self._revision = revision
            self._revision_since = now
        return now - self._revision_since

    def _set_pause(self, now: float) -> None:
        if now - self._pause_set_at < PAUSE_SET_EVERY:
            return
        self._pause_set_at = now
        self._followers.forget_old(now)
        running = self._controls.running(now)
        if running != self._running:
            self._running = running
            self._full_until = now + NAMED_FOR
        controls = len(running) / CONTROLS_AT_PAUSE
        min_pause = len(self._followers) / MAX_INQUIRIES
        self._pause = max(PAUSE, PAUSE * controls, min_pause)
        self._book.silent_after = max(SILENT_AFTER, MISSED * self._pause)

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
