"""Flows of a server that starts again while its agent keeps running."""

import asyncio
import socket

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.fleet.server_reports import ANNOUNCEMENT_DELAY
from redwingstream.fleet.tests.site import BORN, POOL, Site, recorded
from redwingstream.packets.effects import Outgoing, ToPeer, ToServer
from redwingstream.packets.envelopes import Envelope, Kind, unpack_envelope
from redwingstream.packets.flow import Address, address_of
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.tests.codec import OPENING, Packet
from redwingstream.packets.tests.network import SERVICE

LATER = BORN + 9000
HOME = address_of('10.1.0.9', 8172)


class _Port:
    """The port of a server."""

    def __init__(self) -> None:
        self._listening: socket.socket | None = None
        self.open(0)
        self.endpoint = Endpoint(*self._listening.getsockname())

    def open(self, number: int | None = None) -> None:
        """Listen."""
        number = self.endpoint.port if number is None else number
        self._listening = socket.create_server(('127.0.0.1', number))

    def close(self) -> None:
        """Refuse connections."""
        self._listening.close()


@pytest.fixture
def port():
    made = _Port()
    yield made
    made.close()


@pytest.fixture
def site(port):
    made = Site()
    made.agent.server_reports.server_start._server = port.endpoint
    yield made
    made.stop_controls()


def _asked(site: Site, port: int, acknowledged: int) -> list[Outgoing]:
    """Return what the agent does with a lookup of a flow."""
    caller = address_of('100.64.0.1', port)
    packet = Packet(caller, SERVICE, 2, acknowledged, size=4)
    envelope = Envelope(Kind.LOOKUP, packet.pack(), home=HOME, hops=1)
    return site.agent.forwarder.handle_envelope(envelope, Address(1), site.now)


def _denials(outgoing: list[Outgoing]) -> list[Envelope]:
    """Return the answers that a flow is not carried."""
    envelopes = [
        unpack_envelope(one.payload)
        for one in outgoing
        if isinstance(one, ToPeer)
    ]
    return [one for one in envelopes if one.kind is Kind.NOT_CARRIED]


def _reaches_server(outgoing: list[Outgoing]) -> bool:
    return any(isinstance(one, ToServer) for one in outgoing)


class TestRestartedAgent:
    """The agent starts again beside a server that holds flows."""

    @pytest.mark.parametrize('sequence', [0, 1])
    async def test_does_not_count_on_a_first_report(
        self, site, sequence
    ) -> None:
        """Guards against denying flows that were given before that report.

        The earlier run of the agent gave them to the server, by the report of
        the server's earlier run.
        """
        site.report(sequence=sequence)
        outgoing = _asked(site, 5, 1010)
        assert _reaches_server(outgoing)
        assert not _denials(outgoing)

    async def test_does_not_count_on_a_late_report(self, site) -> None:
        """Guards against taking a run for a new one by a late report.

        The report of the earlier run was delayed until the agent had started
        again; the later run holds flows since before that.
        """
        site.report()
        site.report(LATER)
        outgoing = _asked(site, 5, 1010)
        assert _reaches_server(outgoing)
        assert not _denials(outgoing)

    async def test_asks_a_server_that_was_listening(self, site) -> None:
        """Guards against denying flows of a server that runs throughout."""
        await site.agent.server_reports.server_start.check_absent()
        site.report()
        await site.agent.server_reports.server_start.check_listening()
        assert _reaches_server(_asked(site, 5, 1010))

    async def test_denies_flows_of_an_earlier_server(self, site, port) -> None:
        """Guards against a packet to the server for each dead flow.

        The server started after the agent, so it holds no flow of before.
        """
        port.close()
        await site.agent.server_reports.server_start.check_absent()
        port.open()
        site.report()
        assert site.agent.server_reports.server_start.is_due
        await site.agent.server_reports.server_start.check_listening()
        outgoing = _asked(site, 5, 1010)
        assert not _reaches_server(outgoing)
        assert _denials(outgoing)

    async def test_asks_a_leaving_server(self, site, port) -> None:
        """Guards against denying flows of a server that has closed its port.

        It serves them for some seconds more; a late report of it arrives.
        """
        port.close()
        await site.agent.server_reports.server_start.check_absent()
        site.report()
        await site.agent.server_reports.server_start.check_listening()
        assert _reaches_server(_asked(site, 5, 1010))
        assert not site.agent.server_reports.server_start.is_due


class TestFirstReport:
    """The first report of the new run arrives."""

    @pytest.mark.parametrize('delay', [0.03, 0.4, 2])
    async def test_keeps_flows_opened_before_it(self, site, delay) -> None:
        """Guards against denying flows that the new run has accepted."""
        site.run_reporting(4)
        site.open(5)
        site.run(delay)
        site.report(LATER)
        outgoing = _asked(site, 5, 1010)
        assert _reaches_server(outgoing)
        assert not _denials(outgoing)

    async def test_does_not_deny_flows_of_the_earlier_run(self, site) -> None:
        """Guards against denying flows by the time of a late report."""
        recorded(site)
        site.report(LATER)
        outgoing = _asked(site, 1, 1010)
        assert _reaches_server(outgoing)
        assert not _denials(outgoing)


class TestRefusedConnection:
    """The agent finds the server's port closed between two runs."""

    async def _check(self, site: Site, port: _Port) -> asyncio.Task[None]:
        """Start a check that waits for an announcement."""
        port.close()
        reports = site.agent.server_reports
        check = asyncio.create_task(reports.check_server_ended(port.endpoint))
        await asyncio.sleep(ANNOUNCEMENT_DELAY / 2)
        site.now += ANNOUNCEMENT_DELAY / 2
        return check

    async def test_keeps_flows_of_the_next_run(self, site, port) -> None:
        """Guards against denying flows that the next run has accepted."""
        site.run_reporting(4)
        site.now += 1
        check = await self._check(site, port)
        site.open(5)
        await check
        outgoing = _asked(site, 5, 1010)
        assert _reaches_server(outgoing)
        assert not _denials(outgoing)

    async def test_keeps_flows_offered_to_the_next_run(
        self, site, port
    ) -> None:
        """Guards against denying a flow that the next run accepts later."""
        site.run_reporting(4)
        site.now += 1
        check = await self._check(site, port)
        caller = address_of('100.64.0.1', 5)
        opening = Packet(caller, SERVICE, 1, flags=OPENING)
        site.agent.forwarder.handle_envelope(
            Envelope(Kind.OPENING, opening.pack(), pool=pool_hash(POOL)),
            Address(1),
            site.now,
        )
        await check
        assert _reaches_server(_asked(site, 5, 1000))

    async def test_denies_flows_of_the_ended_run(self, site, port) -> None:
        """Guards against lookups that wait for a server that has ended."""
        recorded(site)
        site.now += 1
        await (await self._check(site, port))
        outgoing = _asked(site, 1, 1010)
        assert not _reaches_server(outgoing)
        assert _denials(outgoing)

    async def test_asks_again_once_the_server_runs(self, site, port) -> None:
        """Guards against denying flows of a server that had only left.

        It has closed its port and serves its flows; its announcement is lost.
        """
        recorded(site)
        site.now += 1
        await (await self._check(site, port))
        site.end(9)
        assert _reaches_server(_asked(site, 1, 1010))
