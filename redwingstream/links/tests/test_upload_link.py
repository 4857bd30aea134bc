"""End and reset of an upload whose data waits for the link."""

import pytest

from redwingstream.links.upload_link import UploadLink
from redwingstream.packets.effects import BulkToPeer, ToPeer
from redwingstream.packets.flow import address_of
from redwingstream.packets.tests.codec import END, RESET, Packet, PlainCodec
from redwingstream.tables.rows import FlowKind, FlowRules, Route

RATE = 256_250  # bytes per second of a link of 2.05 Mbit/s
AGENT = address_of('10.1.0.1', 8172)
SERVICE = address_of('198.18.0.1', 443)
WINDOW = 16
FULL = 1200  # bytes of data


def _send(link: UploadLink, port: int, **fields) -> ToPeer | BulkToPeer:
    caller = address_of('100.64.0.1', port)
    packed = Packet(caller, SERVICE, acknowledged=9, **fields).pack()
    head = PlainCodec().read(packed)
    made = link.classify(ToPeer(packed, AGENT), head, 0)
    if isinstance(made, BulkToPeer):
        link.scheduler.admit_bulk(made, 0)
    return made


def _drained(link: UploadLink) -> list[Packet]:
    drained: list[Packet] = []
    now: float | None = 0
    while now is not None:
        drained.extend(
            Packet.unpack(one.payload) for one in link.scheduler.pop_due(now)
        )
        now = link.scheduler.next_drain(now)
    return drained


@pytest.fixture
def link() -> UploadLink:
    """Return a link with two windows, most packets of which wait."""
    made = UploadLink(RATE, print)
    rules = FlowRules(kind=FlowKind.UPLOAD)
    made.apply_routes({SERVICE: Route('198.18.0.1:443', 'a', flows=rules)})
    for number in range(WINDOW):
        for port in (1, 2):
            _send(made, port, sequence=number * FULL, size=FULL)
    return made


class TestEndOfAnUpload:
    """The caller ends or aborts an upload while its data waits."""

    def test_end_does_not_overtake_data(self, link: UploadLink) -> None:
        """Guards against an end that the server gets before the data."""
        _send(link, 1, sequence=WINDOW * FULL, flags=END)
        of_flow = [one for one in _drained(link) if one.source & 0xFFFF == 1]
        assert of_flow[-1].flags == END
        assert [one.sequence for one in of_flow] == sorted(
            one.sequence for one in of_flow
        )

    def test_end_of_a_flow_without_queued_data_is_sent_at_once(
        self, link: UploadLink
    ) -> None:
        """Guards against small packets that wait behind other uploads."""
        assert isinstance(_send(link, 3, flags=END), ToPeer)

    def test_reset_drops_data(self, link: UploadLink) -> None:
        """Guards against data that its server returns after a reset.

        The agent would take that for a server that has lost its flows, and
        treat it as cold.
        """
        assert isinstance(_send(link, 1, flags=RESET), ToPeer)
        assert {one.source & 0xFFFF for one in _drained(link)} == {2}
        assert not link.scheduler.queue.size
