"""Whom a process asks next, and what it makes of the answers."""

import zlib
from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.directory.messages import (
    UNASKED,
    AgentRecord,
    Inquiry,
    Report,
    Unchanged,
)
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.flow import Address
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.messages import TablesUpdate
from redwingstream.telemetry.histogram import Histogram

FIRST_PAUSE = 0.2
"""Seconds between two inquiries to a control instance that has not said how
often it wants to be asked."""

FORGOTTEN_AFTER = 10
"""Seconds after which a control instance that neither answers nor is named by
another one is not asked any more, unless the settings name it."""

HURRIED_SHARE = 0.25
"""Share of the usual pause after which a control instance is asked again when
something is waited for.  With 0.1 s in place of 0.4 s its answer comes before
the caller of a dead flow sends its packet again, after 0.2 s."""

HURRIED_LEAST = 0.1
"""Seconds between two inquiries at the least, however short the usual pause is:
without a leader it is 0.1 s by itself, and a fleet that has lost many flows
must not keep control instances from finding one."""

SPREAD_SHARE = 0.25
"""Share of the pause by which an inquiry may come sooner or later, so that the
inquiries to several control instances do not come at once."""

WARM_AFTER = 1.5
"""Seconds after its start from which a control instance has heard every agent
that it can hear: agents speak to it each 0.4 s, and each 0.2 s until they have
heard how often they should."""

_MAX_UPDATE = 33554432


@attrs.define
class _Control:
    """What is known of one control instance.

    Parameters
    ----------
    is_seed : bool
        True when the settings name it.
    named_at : float
        When it answered, or another one named it.
    due_at : float
        When it is to be asked next.
    asked_at : float
        When it was asked last.
    pause : float
        Seconds between two inquiries, as it wants it.
    boot, cursor : int
        How far its record was read.
    """

    is_seed: bool
    named_at: float
    due_at: float
    asked_at: float = float('-inf')
    pause: float = FIRST_PAUSE
    boot: int = 0
    cursor: int = 0


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

    agents: tuple[Agent, ...]
    has_new_tables: bool


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

    Notes
    -----
    Every control instance that runs is asked in turn, not one of them until it
    fails.  One that is cut off from the others, or frozen and thawed, answers
    with what it knew; with several sources the newest tables win, and an agent
    is silent only when all say so.
    """

    def __init__(self, seeds: Iterable[Address], pool: str, now: float) -> None:
        self.view = AgentView()
        self.history = TablesHistory()
        self.confirmed_at = float('-inf')
        self.in_force_seconds = Histogram()
        self._pool = pool
        self._number = 0
        self._planned = now
        self._control_by_address = {
            seed: _Control(is_seed=True, named_at=now, due_at=now)
            for seed in seeds
        }

    @property
    def controls(self) -> tuple[Address, ...]:
        """Addresses of the control instances that are asked."""
        return tuple(self._control_by_address)

    def follow_seeds(self, seeds: Iterable[Address], now: float) -> None:
        """Take the control instances that the settings name now."""
        wanted = set(seeds)
        for address, control in self._control_by_address.items():
            control.is_seed = address in wanted
        for seed in wanted:
            self._name(seed, now)
            self._control_by_address[seed].is_seed = True

    def due(self, now: float, record: AgentRecord | None) -> list[Ask]:
        """Return the inquiries that are due."""
        self._forget(now)
        asks = []
        for address, control in self._control_by_address.items():
            if now >= control.due_at:
                control.due_at = now + FIRST_PAUSE
                control.asked_at = now
                asks.append(self._ask(address, control, record))
        return asks

    def hurry(self, now: float) -> None:
        """Ask soon, since something is waited for."""
        for control in self._control_by_address.values():
            pause = max(control.pause * HURRIED_SHARE, HURRIED_LEAST)
            soon = control.asked_at + pause
            control.due_at = min(control.due_at, max(now, soon))

    def next_due(self) -> float:
        """Return when the next inquiry is due; infinite without anybody."""
        return min(
            (control.due_at for control in self._control_by_address.values()),
            default=float('inf'),
        )

    def all(self, record: AgentRecord | None) -> list[Ask]:
        """Return inquiries to all control instances, due or not."""
        return [
            self._ask(address, control, record)
            for address, control in self._control_by_address.items()
        ]

    def take(self, report: Report, now: float) -> Learned:
        """Take an answer."""
        sender = Address(report.sender)
        for address in (sender, *map(Address, report.controls)):
            self._name(address, now)
        control = self._control_by_address[sender]
        if report.number == UNASKED:
            control.due_at = now
            return Learned((), has_new_tables=False)
        control.boot = report.boot
        control.cursor = report.cursor
        control.pause = report.pause
        self._plan(control, now)
        agents = self.view.take(sender, report.boot, report.records, now)
        if report.uptime >= WARM_AFTER:
            self.view.is_complete = True
        has_new_tables = bool(report.update) and self.history.take(
            unpack_update(report.update)
        )
        if has_new_tables and self.history.tables.revision == report.revision:
            self.in_force_seconds.note(report.revision_age)
        if self.history.tables.revision >= report.revision:
            confirmed_at = now - report.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return Learned(tuple(agents), has_new_tables)

    def take_unchanged(self, answer: Unchanged, now: float) -> None:
        """Take the answer that nothing is missing here."""
        sender = Address(answer.sender)
        control = self._control_by_address.get(sender)
        if control is None or answer.revision > self.history.tables.revision:
            # It belongs to an inquiry of the last run of this process.
            return
        control.named_at = now
        self._plan(control, now)
        self.view.take(sender, control.boot, (), now)
        self.view.is_complete = True
        confirmed_at = now - answer.confirmed_age
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _ask(
        self, address: Address, control: _Control, record: AgentRecord | None
    ) -> Ask:
        self._number += 1
        inquiry = Inquiry(
            self._number,
            self.history.tables.revision,
            control.boot,
            control.cursor,
            self._pool,
            record,
        )
        return Ask(address, inquiry)

    def _plan(self, control: _Control, now: float) -> None:
        """Set when a control instance is asked next.

        The inquiries are spread over the pause: sent all at once, they would
        all miss a change that comes right after them.
        """
        spread = control.pause * SPREAD_SHARE
        step = control.pause / len(self._control_by_address)
        earliest = now + control.pause - spread
        latest = now + control.pause + spread
        self._planned = min(max(earliest, self._planned + step), latest)
        control.due_at = self._planned

    def _name(self, address: Address, now: float) -> None:
        control = self._control_by_address.get(address)
        if control is None:
            control = _Control(is_seed=False, named_at=now, due_at=now)
            self._control_by_address[address] = control
        control.named_at = now

    def _forget(self, now: float) -> None:
        for address, control in tuple(self._control_by_address.items()):
            is_old = now - control.named_at > FORGOTTEN_AFTER
            if is_old and not control.is_seed:
                self._control_by_address.pop(address)


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
