"""Flows of a server that starts again while its agent keeps running."""

import pytest

from redwingstream.fleet.tests.site import BORN, Site, recorded
from redwingstream.packets.effects import Outgoing, ToPeer, ToServer
from redwingstream.packets.envelopes import Envelope, Kind, unpack_envelope
from redwingstream.packets.flow import Address, address_of
from redwingstream.packets.tests.codec import Packet
from redwingstream.packets.tests.network import SERVICE

LATER = BORN + 9000
HOME = address_of('10.1.0.9', 8172)


@pytest.fixture
def site():
    made = Site()
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
