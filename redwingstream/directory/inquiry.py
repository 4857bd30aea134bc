"""Whom a process asks next, and what it makes of the answers."""

import zlib
from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.directory.contacts import Contact, Contacts
from redwingstream.directory.messages import (
    UNASKED,
    AgentRecord,
    Inquiry,
    Report,
    Status,
    Unchanged,
    Wanted,
)
from redwingstream.directory.packing import unpack_records
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.flow import Address
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.messages import TablesUpdate
from redwingstream.telemetry.histogram import Histogram

HURRIED_SHARE = 0.25
"""Share of the usual pause after which a source is asked again when something
is waited for.  With 0.1 s in place of 0.4 s its answer comes before the caller
of a dead flow sends its packet again, after 0.2 s."""

HURRIED_LEAST = 0.1
"""Seconds between two inquiries at the least, however short the usual pause is:
without a leader it is 0.1 s by itself, and a fleet that has lost many flows
must not keep control instances from finding one."""

FETCH_PAUSE = 0.1
"""Least time in seconds between two inquiries for newer tables.  Prevents the
same update from being fetched from every control instance at once."""

_MAX_UPDATE = 33554432


@attrs.frozen
class Ask:
    """An inquiry to be sent."""

    target: Address
    inquiry: Inquiry


@attrs.frozen
class Learned:
    """What an answer brought.

    Parameters
    ----------
    agents : tuple of Agent
        Those that are new or have changed.
    has_new_tables : bool
        True when the tables are newer than before.
    """

    agents: tuple[Agent, ...] = ()
    has_new_tables: bool = False


class Inquirer:
    """Asks control instances in turn for tables and agents.

    Parameters
    ----------
    seeds : iterable of Address
        Control instances that the settings name.
    pool : str
        The only pool whose agents are wanted; empty for all.
    now : float
        Time of the start in seconds.
    salt : int
        Random number of the process, for the selection of sources.
    wants_agents : bool
        False for a process that needs only the tables.

    Notes
    -----
    Every control instance that runs is asked in turn, not one of them until it
    fails.  One that is cut off from the others, or frozen and thawed, answers
    with what it knew; with several sources the newest tables win, and an agent
    is silent only when all sources say so.  Agents' records are read from a few
    sources only, since the records of a large fleet from every control instance
    would saturate a slow link.  The others report their status: that they run,
    and the revision of their tables.
    """

    def __init__(
        self,
        seeds: Iterable[Address],
        pool: str,
        now: float,
        salt: int = 0,
        *,
        wants_agents: bool = True,
    ) -> None:
        self.view = AgentView()
        self.history = TablesHistory()
        self.confirmed_at = float('-inf')
        self.in_force_seconds = Histogram()
        self._pool = pool
        self._wanted = Wanted.ALL if wants_agents else Wanted.TABLES
        self._number = 1
        self._fetched_at = float('-inf')
        self._contacts = Contacts(seeds, now, salt)

    @property
    def controls(self) -> tuple[Address, ...]:
        """Addresses of the control instances that are asked."""
        return tuple(self._contacts.by_address)

    @property
    def sources(self) -> frozenset[Address]:
        """Addresses of the control instances that records are read from."""
        return self._contacts.sources()

    def follow_seeds(self, seeds: Iterable[Address], now: float) -> None:
        """Take the control instances that the settings name now."""
        self._contacts.follow_seeds(seeds, now)

    def due(self, now: float, record: AgentRecord | None) -> list[Ask]:
        """Return the inquiries that are due."""
        if now < self._contacts.next_due():
            return []
        self._contacts.forget_old(now)
        sources = self.sources
        self.view.expect_only(self._contacts.responsive(sources))
        asks = []
        for address, contact in self._contacts.by_address.items():
            if now >= contact.due_at:
                contact.note_asked(now)
                wanted = self._pop_wanted(contact, address in sources)
                asks.append(self._ask(address, wanted, record))
        return asks

    def hurry(self, now: float) -> None:
        """Ask the sources soon, since something is waited for."""
        for address in self.sources:
            contact = self._contacts.by_address[address]
            pause = max(contact.pause * HURRIED_SHARE, HURRIED_LEAST)
            soon = contact.asked_at + pause
            contact.due_at = min(contact.due_at, max(now, soon))

    def next_due(self) -> float:
        """Return when the next inquiry is due; infinite without anybody."""
        return self._contacts.next_due()

    def all(self, record: AgentRecord | None) -> list[Ask]:
        """Return inquiries to all control instances, due or not."""
        return [
            self._ask(address, Wanted.STATUS, record)
            for address in self._contacts.by_address
        ]

    def take(self, answer: Report | Unchanged | Status, now: float) -> Learned:
        """Take an answer.

        Raises
        ------
        WireError
            When its agents' records cannot be decoded.
        """
        match answer:
            case Report():
                return self._take_report(answer, now)
            case Unchanged():
                self._take_unchanged(answer, now)
            case Status():
                self._take_status(answer, now)
        return Learned()

    def _take_report(self, report: Report, now: float) -> Learned:
        records = unpack_records(report.records)
        sender = Address(report.sender)
        for address in map(Address, report.controls):
            self._contacts.note_running(address, now)
        contact = self._contacts.note_running(sender, now)
        if report.number == UNASKED:
            contact.due_at = now
            return Learned()
        contact.note_answered(report.pause, now)
        self._contacts.plan(contact, now)
        agents: list[Agent] = []
        if report.brings is Wanted.ALL:
            contact.boot = report.boot
            contact.cursor = report.cursor
            agents = self.view.handle_records(sender, report.boot, records, now)
            self.view.is_complete |= report.has_heard_all
        has_new_tables = self._take_update(report)
        if self.history.tables.revision >= report.revision:
            confirmed_at = now - report.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return Learned(tuple(agents), has_new_tables)

    def _take_update(self, report: Report) -> bool:
        has_new_tables = bool(report.update) and self.history.take(
            unpack_update(report.update)
        )
        if has_new_tables and self.history.tables.revision == report.revision:
            self.in_force_seconds.note(report.revision_age)
        return has_new_tables

    def _take_unchanged(self, answer: Unchanged, now: float) -> None:
        """Take the answer that nothing is missing here."""
        sender = Address(answer.sender)
        contact = self._contacts.by_address.get(sender)
        if contact is None or answer.revision > self.history.tables.revision:
            # It belongs to an inquiry of the last run of this process.
            return
        contact.note_answered(contact.pause, now)
        self._contacts.plan(contact, now)
        self.view.handle_records(sender, contact.boot, (), now)
        self.view.is_complete = True
        confirmed_at = now - answer.confirmed_age
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _take_status(self, answer: Status, now: float) -> None:
        """Process a status answer; schedule a fetch of newer tables."""
        contact = self._contacts.by_address.get(Address(answer.sender))
        if contact is None:
            return
        contact.note_answered(answer.pause, now)
        self._contacts.plan(contact, now)
        if answer.revision <= self.history.tables.revision:
            confirmed_at = now - answer.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        elif now - self._fetched_at >= FETCH_PAUSE:
            self._fetched_at = now
            contact.has_newer_tables = True
            contact.due_at = now

    def _pop_wanted(self, contact: Contact, is_source: bool) -> Wanted:
        is_fetch = contact.has_newer_tables
        contact.has_newer_tables = False
        if is_source:
            return self._wanted
        return Wanted.TABLES if is_fetch else Wanted.STATUS

    def _ask(
        self, address: Address, wanted: Wanted, record: AgentRecord | None
    ) -> Ask:
        contact = self._contacts.by_address[address]
        self._number += wanted is Wanted.ALL
        inquiry = Inquiry(
            self._number,
            self.history.tables.revision,
            contact.boot,
            contact.cursor,
            self._pool,
            record,
            wanted,
        )
        return Ask(address, inquiry)


def pack_update(update: TablesUpdate) -> bytes:
    """Return tables' changes as compressed bytes.

    Notes
    -----
    Rows of one table are much alike: 3,000 routes take 240 kB as msgpack and
    fit one datagram compressed.
    """
    return zlib.compress(msgspec.msgpack.encode(update), 1)


def unpack_update(packed: bytes) -> TablesUpdate:
    """Read tables' changes back."""
    unpacked = zlib.decompressobj().decompress(packed, _MAX_UPDATE)
    return msgspec.msgpack.decode(unpacked, type=TablesUpdate)
