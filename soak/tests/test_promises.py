"""What counts as broken, for flows that were reset and answers."""

import time

import attrs
import pytest

from soak.inject import Spans
from soak.load import BrokenFlow, Seen
from soak.promises import (
    Broken,
    broken_promises,
    ended_runs,
    idle_resets,
)
from soak.run import SITE
from standins.packets.site import PacketSite

NETWORK = 1
"""Second number of the addresses, which no test here binds."""


@pytest.fixture
def site(tmp_path) -> PacketSite:
    """A site of which nothing runs."""
    return PacketSite(tmp_path, NETWORK, SITE)


@pytest.fixture
def reset(site) -> BrokenFlow:
    """An idle flow of the first server that is reset now."""
    server = site.servers[0].name
    return BrokenFlow('caller>reports', server, time.monotonic(), is_idle=True)


def _verdict(site: PacketSite, *flows: BrokenFlow) -> tuple[list[Broken], int]:
    """Return broken promises and the count of idle flows that were reset."""
    ended_at_by_name = ended_runs(site.servers)
    return (
        broken_promises(site, Seen(broken=list(flows)), Spans()),
        idle_resets(flows, ended_at_by_name),
    )


class TestResets:
    """Resets on open flows."""

    @pytest.mark.parametrize('is_idle', [True, False])
    def test_no_reset_while_the_server_lives(self, site, reset, is_idle):
        """Callers are notified although their server runs."""
        flow = attrs.evolve(reset, is_idle=is_idle)
        broken = Broken('open flows', f'{flow.flow} at {flow.server}')
        assert _verdict(site, flow) == ([broken], 0)

    def test_no_reset_before_the_server_ends(self, site, reset):
        """Callers are notified when a server announces that it leaves.

        Its open flows stay in use until it is gone, so its later end excuses
        nothing.
        """
        site.servers[0].restart()
        broken, count = _verdict(site, reset)
        assert [one.promise for one in broken] == ['open flows']
        assert count == 0

    def test_idle_callers_of_ended_runs_are_counted(self, site, reset):
        site.servers[0].restart()
        idle = attrs.evolve(reset, at=time.monotonic())
        asking = attrs.evolve(idle, is_idle=False)
        assert _verdict(site, idle, asking) == ([], 1)

    def test_flows_without_an_answer_name_no_server(self, site, reset):
        flow = attrs.evolve(reset, server='', is_idle=False)
        assert _verdict(site, flow) == ([], 0)


class TestAnswers:
    """Answers of servers."""

    def test_a_wrong_answer_is_broken(self, site):
        """An upload whose packets were mixed up counts as served."""
        seen = Seen(wrong_answers=['uploads-1-2 with 1200 bytes'])
        broken = broken_promises(site, seen, Spans())
        assert broken == [Broken('answers', 'uploads-1-2 with 1200 bytes')]
