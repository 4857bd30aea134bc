"""A peer that does not answer is probed, then counts as silent."""

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.membership.peers import (
    PROBE_AFTER,
    SILENT_AFTER,
    UNUSED_TIMEOUT,
    PeerLinks,
)

PEER = Endpoint('127.0.0.1', 7000)
LATER = 0.01


@pytest.fixture
def links() -> PeerLinks:
    """Return links on which something was sent at time 0."""
    links = PeerLinks()
    links.record_sent(PEER, 0)
    return links


class TestPeerLinks:
    """Links to a single peer."""

    def test_probes_a_peer_that_has_not_answered(
        self, links: PeerLinks
    ) -> None:
        assert not links.due_probes(PROBE_AFTER - LATER)
        assert links.due_probes(PROBE_AFTER + LATER) == [PEER]

    def test_does_not_probe_at_every_check(self, links: PeerLinks) -> None:
        links.due_probes(PROBE_AFTER + LATER)
        assert not links.due_probes(PROBE_AFTER + 2 * LATER)

    def test_a_peer_is_silent_until_it_is_heard_from(
        self, links: PeerLinks
    ) -> None:
        """Packets to a dead home would be lost until its lease ends.

        The home is killed, and control removes it three seconds later.  Until
        then every balancer would go on sending to it.
        """
        assert not links.is_silent(PEER, SILENT_AFTER - LATER)
        assert links.is_silent(PEER, SILENT_AFTER + LATER)
        links.record_heard(PEER)
        assert not links.is_silent(PEER, SILENT_AFTER + LATER)

    def test_an_idle_peer_is_not_silent(self) -> None:
        assert not PeerLinks().is_silent(PEER, 100)

    def test_evicts_an_unused_link(self, links: PeerLinks) -> None:
        assert not links.due_probes(UNUSED_TIMEOUT + 1)
        assert not links.is_silent(PEER, UNUSED_TIMEOUT + 2)
