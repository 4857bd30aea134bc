"""Polling of control instances: which to ask next, and their answers."""

import zlib
from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.directory.contacts import Contact, Contacts
from redwingstream.directory.messages import (
    UNSOLICITED,
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

EXPEDITED_SHARE = 0.25
"""Fraction of the requested pause after which a source is asked again while a
caller waits for the result.  With 0.1 s instead of 0.4 s, the answer arrives
before the caller of a dead flow retransmits its packet after 0.2 s."""

MIN_EXPEDITED_PAUSE = 0.1
"""Minimum time in seconds between two expedited inquiries to a source.
Without a leader the requested pause itself is 0.1 s, and the inquiries of a
fleet that has lost many flows must not keep the control instances from
electing one."""

FETCH_PAUSE = 0.1
"""Minimum time in seconds between two inquiries for newer tables.  Prevents
the same update from being fetched from every control instance at once."""

_MAX_UPDATE_BYTES = 33554432


@attrs.frozen
class OutgoingInquiry:
    """An inquiry to be sent.

    Parameters
    ----------
    target : Address
        Control instance to send it to.
    inquiry : Inquiry
        The message.
    """

    target: Address
    inquiry: Inquiry


@attrs.frozen
class InquiryResult:
    """What an answer changed.

    Parameters
    ----------
    agents : tuple of Agent
        Agents that are new or have changed.
    has_new_tables : bool
        True when the tables are newer than before.
    """

    agents: tuple[Agent, ...] = ()
    has_new_tables: bool = False


class Inquirer:
    """Polls control instances for tables and agents.

    Parameters
    ----------
    seeds : iterable of Address
        Control instances that the settings name.
    pool : str
        The only pool whose agents are requested; empty for all.
    now : float
        Current time in seconds, by the event loop's clock.
    salt : int
        Random number of the process, for the selection of sources.
    wants_agents : bool
        False for a process that needs only the tables.

    Attributes
    ----------
    view : AgentView
        The agents that the sources have reported.
    history : TablesHistory
        The newest tables, and earlier changes of them.
    confirmed_at : float
        Time at which the tables were last confirmed to be the newest.
    newest_revision : int
        Highest revision of the tables that a control instance has named.
    in_force_seconds : Histogram
        Seconds from the arrival of tables at a control instance until they
        were applied here.

    Notes
    -----
    Every running control instance is polled, instead of one until it fails.
    An instance that is partitioned from the others, or was suspended and
    resumed, answers with outdated information; with several sources the newest
    tables win, and an agent is silent only when all sources report it.
    Agents' records are read from a few sources only, since the records of a
    large fleet from every control instance would saturate a slow link.  The
    others report only that they run, and the revision of their tables.
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
        self.newest_revision = 0
        self.in_force_seconds = Histogram()
        self._pool = pool
        self._wanted_of_sources = Wanted.ALL if wants_agents else Wanted.TABLES
        self._number = 1
        self._fetched_at = float('-inf')
        self._contacts = Contacts(seeds, now, salt)

    @property
    def controls(self) -> tuple[Address, ...]:
        """Addresses of the control instances that are polled."""
        return tuple(self._contacts.contact_by_address)

    @property
    def sources(self) -> frozenset[Address]:
        """Addresses of the control instances that records are read from."""
        return self._contacts.sources()

    def preferred_controls(self, salt: int, count: int) -> tuple[Address, ...]:
        """Return control instances that answer, by an order of the caller."""
        return self._contacts.preferred(salt, count)

    def apply_seeds(self, seeds: Iterable[Address], now: float) -> None:
        """Replace the control instances that the settings name."""
        self._contacts.apply_seeds(seeds, now)

    def due_inquiries(
        self, now: float, record: AgentRecord | None
    ) -> list[OutgoingInquiry]:
        """Return the inquiries that are due, and schedule their repetition.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.
        record : AgentRecord or None
            Record that an agent sends along; None from other processes.
        """
        if now < self._contacts.next_due_at():
            return []
        self._contacts.evict_expired(now)
        sources = self.sources
        self.view.expect_controls(self._contacts.responsive(sources))
        inquiries = []
        for address, contact in self._contacts.contact_by_address.items():
            if now >= contact.due_at:
                contact.record_inquiry(now)
                wanted = self._pop_wanted(contact, address in sources)
                inquiries.append(self._make_inquiry(address, wanted, record))
        return inquiries

    def expedite(self, now: float) -> None:
        """Make the next inquiries to the sources due sooner than requested."""
        for address in self.sources:
            contact = self._contacts.contact_by_address[address]
            pause = max(contact.pause * EXPEDITED_SHARE, MIN_EXPEDITED_PAUSE)
            soon = contact.asked_at + pause
            contact.due_at = min(contact.due_at, max(now, soon))

    def next_due_at(self) -> float:
        """Return when the next inquiry is due; infinite without contacts."""
        return self._contacts.next_due_at()

    def inquiries_to_all(
        self, record: AgentRecord | None
    ) -> list[OutgoingInquiry]:
        """Return status inquiries to all control instances, due or not."""
        return [
            self._make_inquiry(address, Wanted.STATUS, record)
            for address in self._contacts.contact_by_address
        ]

    def handle_answer(
        self, answer: Report | Unchanged | Status, now: float
    ) -> InquiryResult:
        """Apply an answer.

        Raises
        ------
        WireError
            When its agents' records cannot be decoded.
        """
        self.newest_revision = max(self.newest_revision, answer.revision)
        match answer:
            case Report():
                return self._handle_report(answer, now)
            case Unchanged():
                self._handle_unchanged(answer, now)
            case Status():
                self._handle_status(answer, now)
        return InquiryResult()

    def _handle_report(self, report: Report, now: float) -> InquiryResult:
        records = unpack_records(report.records)
        sender = Address(report.sender)
        for address in map(Address, report.controls):
            self._contacts.record_running(address, now)
        contact = self._contacts.record_running(sender, now)
        if report.number == UNSOLICITED:
            contact.due_at = now
            return InquiryResult()
        contact.record_answer(report.pause, now)
        self._contacts.schedule(contact, now)
        agents: list[Agent] = []
        if report.brings is Wanted.ALL:
            contact.boot = report.boot
            contact.cursor = report.cursor
            agents = self.view.handle_records(sender, report.boot, records, now)
            self.view.is_complete |= report.has_heard_all
        has_new_tables = self._apply_update(report)
        if self.history.tables.revision >= report.revision:
            confirmed_at = now - report.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return InquiryResult(tuple(agents), has_new_tables)

    def _apply_update(self, report: Report) -> bool:
        has_new_tables = bool(report.update) and self.history.apply_update(
            unpack_update(report.update)
        )
        if has_new_tables and self.history.tables.revision == report.revision:
            self.in_force_seconds.record(report.revision_age)
        return has_new_tables

    def _handle_unchanged(self, answer: Unchanged, now: float) -> None:
        """Apply the answer that the process is up to date."""
        sender = Address(answer.sender)
        contact = self._contacts.contact_by_address.get(sender)
        if contact is None or answer.revision > self.history.tables.revision:
            # The answer is to an inquiry of an earlier run of this process.
            return
        contact.record_answer(contact.pause, now)
        self._contacts.schedule(contact, now)
        self.view.handle_records(sender, contact.boot, (), now)
        self.view.is_complete = True
        confirmed_at = now - answer.confirmed_age
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _handle_status(self, answer: Status, now: float) -> None:
        """Apply a status answer; schedule a fetch of newer tables."""
        contact = self._contacts.contact_by_address.get(Address(answer.sender))
        if contact is None:
            return
        contact.record_answer(answer.pause, now)
        self._contacts.schedule(contact, now)
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
            return self._wanted_of_sources
        return Wanted.TABLES if is_fetch else Wanted.STATUS

    def _make_inquiry(
        self, address: Address, wanted: Wanted, record: AgentRecord | None
    ) -> OutgoingInquiry:
        contact = self._contacts.contact_by_address[address]
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
        return OutgoingInquiry(address, inquiry)


def pack_update(update: TablesUpdate) -> bytes:
    """Return changes of the tables as compressed bytes.

    Notes
    -----
    Rows of one table are similar: 3,000 routes take 240 kB as msgpack and fit
    one datagram when compressed.
    """
    return zlib.compress(msgspec.msgpack.encode(update), 1)


def unpack_update(packed: bytes) -> TablesUpdate:
    """Decode changes of the tables."""
    unpacked = zlib.decompressobj().decompress(packed, _MAX_UPDATE_BYTES)
    return msgspec.msgpack.decode(unpacked, type=TablesUpdate)
