"""Members, and the revision in force on each process."""

import asyncio
from collections.abc import Iterable, Sequence

import attrs
import msgspec

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import CallFailedError
from redwingstream.operators.client import ControlClient
from redwingstream.tables.edits import (
    TablesRead,
)
from redwingstream.tables.rows import Member
from redwingstream.tables.snapshot import Tables

MAX_CALLS_AT_ONCE = 16
"""Processes that are asked at the same time at most."""

CONTROL_ROLE = 'control'
"""Role of a control instance, which is no member and has no row."""


@attrs.frozen
class ConsensusVitals:
    """What the overview takes of a control instance's consensus."""

    role: str = ''


@attrs.frozen
class Vitals:
    """What the overview takes from the dump of a process.

    Parameters
    ----------
    host : str
        Its name.
    zone : str
        Its availability zone.
    in_flight : int or None
        Requests that its server is running.
    flows : int or None
        Feeds that it carries.
    limit : int or None
        Requests that its server may run at once.
    consensus : ConsensusVitals or None
        Of a control instance.
    """

    host: str = ''
    zone: str = ''
    in_flight: int | None = None
    flows: int | None = None
    limit: int | None = None
    consensus: ConsensusVitals | None = None


@attrs.frozen
class ProcessStatus:
    """One process as the overview shows it.

    Parameters
    ----------
    role : str
        ``control``, ``balancer`` or ``agent``.
    endpoint : str
        Where it takes calls.
    revision : int or None
        Revision of the tables in force on it; None when it does not answer.
    lags : bool
        True when that is behind the last accepted change.
    vitals : Vitals
        From its dump.
    member : Member or None
        Its row; None for a control instance.
    """

    role: str
    endpoint: str
    revision: int | None
    lags: bool
    vitals: Vitals
    member: Member | None = None


@attrs.frozen
class Overview:
    """Everything that ``status`` shows.

    Parameters
    ----------
    config_revision : int
        Revision of the last accepted change.
    zones_out : tuple of str
        Availability zones out of service.
    processes : tuple of ProcessStatus
        Control instances, then members by host.
    """

    config_revision: int
    zones_out: tuple[str, ...]
    processes: tuple[ProcessStatus, ...]


def endpoints_of(
    control: Sequence[Endpoint], members: Iterable[Member]
) -> tuple[Endpoint, ...]:
    """Return the endpoints of all processes."""
    return (
        *control,
        *(parse_endpoint(member.endpoint) for member in members),
    )


def tables_from(read: TablesRead) -> Tables:
    """Return the tables that the leader has sent."""
    return Tables().updated(read.update)


async def take_overview(client: ControlClient) -> Overview:
    """Ask the leader for the tables and every process for its state."""
    read = await client.read_tables()
    tables = tables_from(read)
    surveyor = _Surveyor(client, read.config_revision)
    members = sorted(
        tables.member_by_host.values(), key=lambda member: member.host
    )
    asked = [surveyor.ask(CONTROL_ROLE, spot, None) for spot in client.control]
    asked.extend(
        surveyor.ask(member.role, parse_endpoint(member.endpoint), member)
        for member in members
    )
    marks = tables.zone_by_name.values()
    return Overview(
        read.config_revision,
        tuple(sorted(mark.zone for mark in marks if mark.out)),
        tuple(await asyncio.gather(*asked)),
    )


class _Surveyor:
    """Asks processes, a bounded number at once."""

    def __init__(self, client: ControlClient, config_revision: int) -> None:
        self._client = client
        self._config_revision = config_revision
        self._places = asyncio.Semaphore(MAX_CALLS_AT_ONCE)

    async def ask(
        self, role: str, endpoint: Endpoint, member: Member | None
    ) -> ProcessStatus:
        """Return the status of one process; a silent one has no revision."""
        async with self._places:
            revision = await self._revision(endpoint)
            vitals = Vitals()
            if revision is not None:
                vitals = await self._vitals(endpoint)
        lags = revision is None or revision < self._config_revision
        return ProcessStatus(
            role, str(endpoint), revision, lags, vitals, member
        )

    async def _revision(self, endpoint: Endpoint) -> int | None:
        try:
            return await self._client.revision_of(
                endpoint, self._config_revision
            )
        except CallFailedError:
            return None

    async def _vitals(self, endpoint: Endpoint) -> Vitals:
        try:
            text = await self._client.dump(endpoint)
        except CallFailedError:
            return Vitals()
        try:
            return msgspec.json.decode(text, type=Vitals)
        except msgspec.DecodeError:
            return Vitals()
