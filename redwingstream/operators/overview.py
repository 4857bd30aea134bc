"""Collects the status of all processes: control instances and members.

A member is a balancer or agent that has announced itself to the control
instances.
"""

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
"""Maximum number of processes that are queried at the same time."""

CONTROL_ROLE = 'control'
"""Role shown for a control instance, which has no row in the member table."""


@attrs.frozen
class ConsensusVitals:
    """Part of a control instance's dump that describes its consensus.

    Parameters
    ----------
    role : str
        Role in the consensus group, such as leader or follower.
    """

    role: str = ''


@attrs.frozen
class Vitals:
    """Values that the overview reads from the dump of a process.

    Parameters
    ----------
    host : str
        Name of its host.
    zone : str
        Its availability zone.
    in_flight : int or None
        Number of requests that its backend server is running.
    flows : int or None
        Number of feeds that it carries.
    limit : int or None
        Maximum number of requests that its server may run at once.
    consensus : ConsensusVitals or None
        Consensus values; None unless it is a control instance.
    """

    host: str = ''
    zone: str = ''
    in_flight: int | None = None
    flows: int | None = None
    limit: int | None = None
    consensus: ConsensusVitals | None = None


@attrs.frozen
class ProcessStatus:
    """Status of one process.

    Parameters
    ----------
    role : str
        ``control``, ``balancer`` or ``agent``.
    endpoint : str
        ``IP:PORT`` at which it receives calls.
    revision : int or None
        Revision of the tables in force on it; None if it does not answer.
    lags : bool
        Whether it is silent or behind the last accepted change.
    vitals : Vitals
        Values from its dump; empty if it does not answer.
    member : Member or None
        Its row in the member table; None for a control instance.
    """

    role: str
    endpoint: str
    revision: int | None
    lags: bool
    vitals: Vitals
    member: Member | None = None


@attrs.frozen
class Overview:
    """Everything that the command ``status`` shows.

    Parameters
    ----------
    config_revision : int
        Revision of the last accepted change.
    zones_out : tuple of str
        Availability zones out of service.
    processes : tuple of ProcessStatus
        Control instances, then members sorted by host.
    """

    config_revision: int
    zones_out: tuple[str, ...]
    processes: tuple[ProcessStatus, ...]


def all_endpoints(
    control: Sequence[Endpoint], members: Iterable[Member]
) -> tuple[Endpoint, ...]:
    """Return the endpoints of all control instances and members."""
    return (
        *control,
        *(parse_endpoint(member.endpoint) for member in members),
    )


def tables_from(read: TablesRead) -> Tables:
    """Return the tables in an answer of the leader."""
    return Tables().updated(read.update)


async def collect_overview(client: ControlClient) -> Overview:
    """Read the tables from the leader and query the state of every process."""
    read = await client.read_tables()
    tables = tables_from(read)
    collector = _StatusCollector(client, read.config_revision)
    members = sorted(
        tables.member_by_host.values(), key=lambda member: member.host
    )
    queries = [
        collector.collect(CONTROL_ROLE, endpoint, None)
        for endpoint in client.control
    ]
    queries.extend(
        collector.collect(member.role, parse_endpoint(member.endpoint), member)
        for member in members
    )
    marks = tables.zone_by_name.values()
    return Overview(
        read.config_revision,
        tuple(sorted(mark.zone for mark in marks if mark.out)),
        tuple(await asyncio.gather(*queries)),
    )


class _StatusCollector:
    """Queries processes, at most ``MAX_CALLS_AT_ONCE`` at the same time."""

    def __init__(self, client: ControlClient, config_revision: int) -> None:
        self._client = client
        self._config_revision = config_revision
        self._call_slots = asyncio.Semaphore(MAX_CALLS_AT_ONCE)

    async def collect(
        self, role: str, endpoint: Endpoint, member: Member | None
    ) -> ProcessStatus:
        """Query one process; its revision is None if it does not answer."""
        async with self._call_slots:
            revision = await self._fetch_revision(endpoint)
            vitals = Vitals()
            if revision is not None:
                vitals = await self._fetch_vitals(endpoint)
        lags = revision is None or revision < self._config_revision
        return ProcessStatus(
            role, str(endpoint), revision, lags, vitals, member
        )

    async def _fetch_revision(self, endpoint: Endpoint) -> int | None:
        try:
            return await self._client.fetch_revision(
                endpoint, self._config_revision
            )
        except CallFailedError:
            return None

    async def _fetch_vitals(self, endpoint: Endpoint) -> Vitals:
        try:
            text = await self._client.dump(endpoint)
        except CallFailedError:
            return Vitals()
        try:
            return msgspec.json.decode(text, type=Vitals)
        except msgspec.DecodeError:
            return Vitals()
