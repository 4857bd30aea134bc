"""Answers of a control instance to inquiries: agents, tables, controls."""

from collections.abc import Callable

import attrs

from redwingstream.directory.agent_directory import (
    MAX_MISSED_RECORDS,
    SILENT_AFTER,
    AgentDirectory,
    Page,
)
from redwingstream.directory.control_directory import (
    ANNOUNCE_SECONDS,
    ControlDirectory,
)
from redwingstream.directory.fleet_record import Followers
from redwingstream.directory.inquiry import pack_update
from redwingstream.directory.messages import (
    UNSOLICITED,
    Inquiry,
    Report,
    Status,
    Unchanged,
    Wanted,
)
from redwingstream.directory.packing import pack_records
from redwingstream.packets.flow import Address
from redwingstream.tables.messages import TablesUpdate

BASE_PAUSE = 0.4
"""Requested time in seconds until the next inquiry of a process, where four
control instances run.  Together they are then asked ten times a second, and a
change is in force everywhere well within a second."""

CONTROLS_AT_BASE_PAUSE = 4
"""With more control instances, each is asked less often, so that the control
traffic of a process does not grow with their number."""

UNCONFIRMED_PAUSE = 0.1
"""Requested time in seconds until the next inquiry while this instance does
not know whether its tables are the newest, or has not heard all agents.  After
a restart of all instances, callers wait for both."""

UNCONFIRMED_AGE = 1.0
"""Seconds since the tables were last confirmed to be the newest, from which
they count as unconfirmed; a leader that is partitioned notices within this
time."""

PAUSES_WITHOUT_RECORD = 2
"""Factor on the pause of a process that sends no record of itself: no instance
waits for its records, and it learns of a change from whichever instance it
asks first."""

MAX_INQUIRIES = 500
"""Maximum number of inquiries per second to a control instance; with more
processes, each is told a longer pause."""

MAX_URGENT_INQUIRIES = 1000
"""Maximum number of inquiries per second to a control instance while its
tables are unconfirmed or it has not heard all agents: callers wait for the
answers."""

PAUSE_UPDATE_INTERVAL = 0.1
"""Seconds between two updates of the pause that processes are told."""

MIN_WARMUP = 1.5
"""Minimum time in seconds after its start from which a control instance has
heard every reachable agent.  Agents ask an unresponsive instance at least
every 0.8 s and learn of a new one within a second."""

WARMUP_PAUSES = 1.5
"""Number of pauses after which a control instance has heard every reachable
agent; a pause may last up to 1.25 times as long as requested."""

FULL_REPORT_EVERY = 7
"""One in this many inquiries of a process to its sources is answered in full,
with the running control instances and the pause.  Coprime with the number of
sources, so that each of them gives full answers."""

AGE_DIGITS = 3
"""Decimal digits of an age in seconds in the short answer."""

MAX_CACHED_UPDATES = 16
"""Maximum number of packed updates that are cached; many processes request the
same one."""


@attrs.frozen
class TableSource:
    """Tables that a control instance serves.

    Parameters
    ----------
    revision : int
        Revision of the tables.
    confirmed_age : float
        Seconds since they were last confirmed to be the newest.
    changes_since : callable
        Returns what changed after a revision.
    """

    revision: int
    confirmed_age: float
    changes_since: Callable[[int], TablesUpdate]


class InquiryHandler:
    """Answers inquiries.

    Parameters
    ----------
    own_address : Address
        Address of this control instance.
    boot : int
        Random number of its run.
    started_at : float
        Time of its start in seconds, by the event loop's clock.
    agents : AgentDirectory
        The agents that it hears.
    controls : ControlDirectory
        The control instances that it hears.
    followers : Followers
        The processes that send it inquiries.
    """

    def __init__(
        self,
        own_address: Address,
        boot: int,
        started_at: float,
        agents: AgentDirectory,
        controls: ControlDirectory,
        followers: Followers,
    ) -> None:
        self._own_address = own_address
        self._boot = boot
        self._started_at = started_at
        self._agents = agents
        self._controls = controls
        self._followers = followers
        self._packed_by_revisions: dict[tuple[int, int], bytes] = {}
        self._pause = BASE_PAUSE
        self._pause_updated_at = float('-inf')
        self._running = controls.running(started_at)
        self._full_reports_until = float('-inf')
        self._revision = 0
        self._revision_changed_at = started_at

    def answer(
        self, inquiry: Inquiry, tables: TableSource, now: float
    ) -> Report | Unchanged | Status:
        """Return the answer to an inquiry; store the sender's record.

        Parameters
        ----------
        inquiry : Inquiry
            The inquiry.
        tables : TableSource
            Tables that this instance serves now.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        self._update_pause(now)
        if inquiry.record is not None:
            self._agents.handle_record(inquiry.record, now)
        if inquiry.wanted is Wanted.ALL:
            return self._answer_all(inquiry, tables, now)
        has_newer_tables = inquiry.revision < tables.revision
        if inquiry.wanted is Wanted.TABLES and has_newer_tables:
            return self._report(inquiry, Page((), 0), tables, now)
        return Status(
            inquiry.number,
            self._own_address,
            tables.revision,
            round(tables.confirmed_age, AGE_DIGITS),
            self._pause_for(inquiry, tables, now),
        )

    def startup_report(self, now: float) -> Report:
        """Return the report that is sent unasked after a restart.

        Processes that asked before the restart learn from it that this
        instance runs, and ask it at once.
        """
        return Report(
            UNSOLICITED,
            self._own_address,
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
        page = self._agents.changes_since(cursor, inquiry.pool, now)
        if not self._allows_short_answer(inquiry, page, tables, now):
            return self._report(inquiry, page, tables, now)
        return Unchanged(
            inquiry.number,
            self._own_address,
            tables.revision,
            round(tables.confirmed_age, AGE_DIGITS),
        )

    def _report(
        self, inquiry: Inquiry, page: Page, tables: TableSource, now: float
    ) -> Report:
        return Report(
            inquiry.number,
            self._own_address,
            self._boot,
            page.cursor,
            pack_records(page.records),
            self._packed_update(inquiry.revision, tables),
            tables.revision,
            self._revision_age(tables.revision, now),
            tables.confirmed_age,
            self._has_heard_all(now),
            self._controls.running(now),
            self._pause_for(inquiry, tables, now),
            inquiry.wanted,
        )

    def _allows_short_answer(
        self, inquiry: Inquiry, page: Page, tables: TableSource, now: float
    ) -> bool:
        """Whether the sender is up to date and may get the short answer."""
        if inquiry.number % FULL_REPORT_EVERY == 0:
            return False
        known = (inquiry.boot, inquiry.cursor, inquiry.revision)
        if known != (self._boot, page.cursor, tables.revision):
            return False
        if not self._has_heard_all(now) or now < self._full_reports_until:
            return False
        return tables.confirmed_age <= UNCONFIRMED_AGE

    def _has_heard_all(self, now: float) -> bool:
        warmup = max(MIN_WARMUP, WARMUP_PAUSES * self._pause)
        return now - self._started_at >= warmup

    def _pause_for(
        self, inquiry: Inquiry, tables: TableSource, now: float
    ) -> float:
        has_heard_all = self._has_heard_all(now)
        if tables.confirmed_age > UNCONFIRMED_AGE or not has_heard_all:
            min_pause = len(self._followers) / MAX_URGENT_INQUIRIES
            return max(UNCONFIRMED_PAUSE, min_pause)
        if inquiry.record is None:
            return self._pause * PAUSES_WITHOUT_RECORD
        return self._pause

    def _revision_age(self, revision: int, now: float) -> float:
        if revision != self._revision:
            self._revision = revision
            self._revision_changed_at = now
        return now - self._revision_changed_at

    def _update_pause(self, now: float) -> None:
        if now - self._pause_updated_at < PAUSE_UPDATE_INTERVAL:
            return
        self._pause_updated_at = now
        self._followers.evict_expired(now)
        running = self._controls.running(now)
        if running != self._running:
            self._running = running
            self._full_reports_until = now + ANNOUNCE_SECONDS
        controls = len(running) / CONTROLS_AT_BASE_PAUSE
        min_pause = len(self._followers) / MAX_INQUIRIES
        self._pause = max(BASE_PAUSE, BASE_PAUSE * controls, min_pause)
        self._agents.silent_after = max(
            SILENT_AFTER, MAX_MISSED_RECORDS * self._pause
        )

    def _packed_update(self, revision: int, tables: TableSource) -> bytes:
        if revision >= tables.revision:
            return b''
        revisions = (revision, tables.revision)
        packed = self._packed_by_revisions.get(revisions)
        if packed is None:
            packed = pack_update(tables.changes_since(revision))
            if len(self._packed_by_revisions) >= MAX_CACHED_UPDATES:
                self._packed_by_revisions.clear()
            self._packed_by_revisions[revisions] = packed
        return packed
