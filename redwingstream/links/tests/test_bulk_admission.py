"""Limit on the uploads in progress on a link."""

import pytest

from redwingstream.links.bulk_admission import BulkAdmission
from redwingstream.packets.flow import Head, address_of
from redwingstream.packets.tests.codec import OPENING, Packet, PlainCodec

RATE = 256_250  # bytes per second of a link of 2.05 Mbit/s
TIMEOUT = 5
SERVICE = address_of('198.18.0.1', 443)


def _opening(host: int, port: int = 1000, copies: int = 0) -> Head:
    caller = address_of(f'100.64.0.{host}', port)
    packet = Packet(caller, SERVICE, 1, copies, flags=OPENING)
    return PlainCodec().read(packet.pack())


@pytest.fixture
def full() -> BulkAdmission:
    """Return the admission of a link with as many uploads as it carries."""
    admission = BulkAdmission(RATE)
    for host in range(admission.limit):
        assert admission.admit(_opening(host), TIMEOUT, 0)
    return admission


class TestLimit:
    """Uploads begin one after the other on one link."""

    @pytest.mark.parametrize(
        ('rate', 'limit'), [(12_500_000, 120), (RATE, 2), (1000, 1)]
    )
    def test_follows_the_rate(self, rate: float, limit: int) -> None:
        """Guards against a link that refuses every upload or none."""
        assert BulkAdmission(rate).limit == limit

    def test_refuses_beyond_it(self, full: BulkAdmission) -> None:
        """Guards against more uploads than windows fit into 0.2 s."""
        assert not full.admit(_opening(9), TIMEOUT, 0.1)
        assert full.counters.refused == 1

    def test_relief_after_a_second_without_data(
        self, full: BulkAdmission
    ) -> None:
        """Guards against uploads that count after they have ended."""
        full.record_data(_opening(0).inbound, 0.5)
        relief = 1.1
        assert full.in_progress(relief) == full.limit - 1
        assert full.admit(_opening(9), TIMEOUT, relief)

    def test_never_refuses_a_copy(self, full: BulkAdmission) -> None:
        """Guards against a reset of a flow that a server was given."""
        assert full.admit(_opening(9, copies=1), TIMEOUT, 0.2)


class TestRefusedHost:
    """A caller host was refused at this instance before."""

    def test_is_not_refused_again(self, full: BulkAdmission) -> None:
        """Guards against a request that uses up its attempts here."""
        assert not full.admit(_opening(9), TIMEOUT, 0.1)
        assert full.admit(_opening(9, port=1001), TIMEOUT, 0.2)

    def test_is_refused_after_the_timeout(self, full: BulkAdmission) -> None:
        """Guards against hosts that are admitted forever after."""
        assert not full.admit(_opening(9), TIMEOUT, 0.1)
        later = TIMEOUT + 0.2
        for host in range(full.limit):
            full.record_data(_opening(host).inbound, later)
        assert not full.admit(_opening(9, port=1001), TIMEOUT, later)


class TestRepeatedFirstPacket:
    """The network duplicates the first packet, or delivers it after a copy."""

    @pytest.mark.parametrize('copies', [0, 1])
    def test_of_a_carried_upload_is_not_refused(self, copies: int) -> None:
        """Guards against a reset of a flow that a server was given."""
        admission = BulkAdmission(1000)
        assert admission.limit == 1
        assert admission.admit(_opening(1, copies=copies), TIMEOUT, 0)
        assert admission.admit(_opening(1), TIMEOUT, 0.1)
        assert not admission.counters.refused
