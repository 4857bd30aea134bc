"""Callers of flows whose server has ended, with real agents and controls."""

import asyncio
import socket

import attrs
import pytest

from redwingstream.directory.messages import (
    FlowSnapshot,
    FlowSnapshotQuery,
    Readiness,
)
from redwingstream.endpoints import Endpoint
from redwingstream.errors import ResultCode, WireError
from redwingstream.fleet.deployment import LocalServer
from redwingstream.fleet.server_reports import ANNOUNCEMENT_DELAY
from redwingstream.fleet.tests.fakes import (
    KEY,
)
from redwingstream.fleet.tests.site import (
    AGENT,
    AGENT_ADDRESS,
    BORN,
    CONTROLS,
    POOL,
    Site,
    recorded,
    return_given,
)
from redwingstream.lost_flows.recorded_flows import (
    MAX_FLOWS,
    RecordedFlow,
    pack_flows,
    unpack_flows,
)
from redwingstream.lost_flows.recovery import QUERY_SECONDS
from redwingstream.packets.flow import Address, address_of, flow_of, pair_of
from redwingstream.packets.tests.network import SERVICE
from redwingstream.tables.rows import FlowKind
from redwingstream.wire import messages
from redwingstream.wire.frames import MAX_FRAME, FrameCodec


@pytest.fixture
async def site(tmp_path):
    made = Site(tmp_path)
    yield made
    made.stop_controls()


class TestLossOfPower:
    """Server, agent and control instances start again."""

    @pytest.mark.parametrize('is_report_first', [True, False])
    async def test_idle_callers_are_reset_at_once(
        self, site, is_report_first
    ) -> None:
        """Guards against requests sent into flows that are lost."""
        recorded(site)
        site.lose_power()
        if is_report_first:
            site.report(BORN + 9000)
        site.run(0.15)
        if not is_report_first:
            assert not site.reset_ports()
            site.report(BORN + 9000)
        assert site.reset_ports() == [1, 2, 3]
        site.run_reporting(5, BORN + 9000)
        assert site.reset_ports() == [1, 2, 3]

    async def test_flows_since_last_snapshot_are_left_out(self, site) -> None:
        """Guards against resets of flows that no snapshot contains."""
        recorded(site)
        site.open(4)
        site.lose_power()
        site.report(BORN + 9000)
        site.run(1)
        assert site.reset_ports() == [1, 2, 3]

    async def test_flow_opened_again_is_left_out(self, site) -> None:
        """Guards against resetting a caller that uses its port again."""
        recorded(site)
        site.lose_power()
        site.report(BORN + 9000)
        site.open(2)
        site.run(1)
        assert site.reset_ports() == [1, 3]

    async def test_union_of_snapshots_of_different_age(self, site) -> None:
        """Guards against losing flows when one instance has missed some."""
        recorded(site)
        snapshot = site.sent_of(FlowSnapshot)[-1]
        older = attrs.evolve(
            snapshot, flows=pack_flows(_flows(3, 4)), sequence=1
        )
        site.lose_power()
        site.report(BORN + 9000)
        site.run(0.2)
        for source in (1, 2):
            site.agent.lost_flows.handle_snapshot(older, source, site.now)
        assert site.reset_ports() == [1, 2, 3, 4]

    async def test_lost_messages_are_repeated(self, site) -> None:
        """Guards against callers without notice after one lost datagram."""
        recorded(site)
        site.lost = (FlowSnapshotQuery,)
        site.lose_power()
        site.report(BORN + 9000)
        site.run(0.5)
        assert not site.reset_ports()
        site.lost = ()
        site.run(0.15)
        assert site.reset_ports() == [1, 2, 3]

    async def test_lost_snapshots_are_sent_again(self, site) -> None:
        """Guards against an unchanged set of flows that is never recorded."""
        site.lost = (FlowSnapshot,)
        recorded(site)
        site.lost = ()
        site.run_reporting(12)
        site.lose_power()
        site.report(BORN + 9000)
        site.run(0.2)
        assert site.reset_ports() == [1, 2, 3]

    async def test_no_snapshot_no_reset(self, site) -> None:
        """Guards against an agent that depends on answers."""
        site.lost = (FlowSnapshot,)
        recorded(site)
        site.lose_power()
        site.report(BORN + 9000)
        site.run(QUERY_SECONDS + 1)
        queries = len(site.sent_of(FlowSnapshotQuery))
        site.run(2)
        assert not site.reset_ports()
        assert len(site.sent_of(FlowSnapshotQuery)) == queries


class TestNoWrongReset:
    """The server may still hold the flows."""

    @pytest.mark.parametrize(
        ('held_by', 'change'),
        [
            (BORN, {'born': BORN}),
            (BORN, {'born': BORN, 'server': 's-2'}),
            (BORN, {'born': BORN - 1}),
            (BORN, {'born': 0}),
            (0, {'born': BORN}),
        ],
    )
    async def test_server_that_may_have_survived(
        self, site, held_by, change
    ) -> None:
        """Guards against resetting the flows of a running server.

        The agent alone starts again; the server may report under a new name,
        late, or without the start of its run.
        """
        site.run_reporting(4, held_by)
        site.open(1)
        site.run_reporting(3, held_by)
        site.lose_power(with_controls=False)
        site.report(**change)
        site.run(QUERY_SECONDS + 1)
        assert not site.reset_ports()

    @pytest.mark.parametrize('born', [BORN, BORN + 9000])
    async def test_address_of_another_pool(self, site, born) -> None:
        """Guards against resets while the earlier server may be running."""
        recorded(site)
        site.start_agent('other')
        site.report(born)
        site.run(1)
        assert bool(site.reset_ports()) == (born > BORN)

    async def test_report_without_start_is_followed_by_one_with(
        self, site
    ) -> None:
        """Guards against taking a damaged report for an earlier run."""
        site.report(born=0)
        site.open(1)
        site.run(2)
        site.report()
        assert not site.reset_ports()

    async def test_frozen_agent(self, site) -> None:
        """Guards against resetting flows of a run that has not reported yet.

        The agent resumes, and opens a flow at the restarted server before it
        handles the reports that have waited.
        """
        recorded(site)
        site.now += 30
        site.open(5)
        site.now += 0.01
        site.report()
        site.now += 0.01
        site.run_reporting(1, BORN + 9000)
        return_given(site, held=(5,))
        assert site.reset_ports() == [1, 2, 3]
        site.lose_power(with_controls=False)
        site.report(BORN + 9000)
        site.run(1)
        assert 5 not in site.reset_ports()

    async def test_late_answer(self, site) -> None:
        """Guards against resets by a snapshot that was long under way."""
        recorded(site)
        snapshot = site.sent_of(FlowSnapshot)[-1]
        site.lost = (FlowSnapshot,)
        site.lose_power()
        site.report(BORN + 9000)
        site.run(QUERY_SECONDS + 1)
        site.agent.lost_flows.handle_snapshot(snapshot, Address(1), site.now)
        assert not site.reset_ports()

    async def test_ended_and_half_open_flows(self, site) -> None:
        """Guards against resets of flows that the server does not hold."""
        recorded(site)
        site.end(2)
        site.open(6, requests=0)
        site.run_reporting(2)
        site.report(BORN + 9000)
        return_given(site)
        assert site.reset_ports() == [1, 3]


class TestServerCrash:
    """The agent keeps running while its server ends."""

    async def test_new_run_reports(self, site) -> None:
        """Guards against flows that are deleted without notice."""
        recorded(site)
        site.report(BORN + 9000)
        return_given(site)
        assert site.reset_ports() == [1, 2, 3]
        assert not site.agent.context.flows.count
        site.report(BORN + 9000)
        return_given(site)
        assert site.reset_ports() == [1, 2, 3]

    @pytest.mark.parametrize('delay', [0.6, 3])
    async def test_new_run_reports_after_a_late_report(
        self, site, delay
    ) -> None:
        """Guards against resetting flows that the new run holds.

        The last report of the earlier run was delayed: it arrives after the
        new run has taken a flow.
        """
        recorded(site)
        site.open(5)
        site.run(delay)
        site.report()
        site.report(BORN + 9000)
        return_given(site, held=(5,))
        assert site.reset_ports() == [1, 2, 3]

    @pytest.mark.parametrize(
        ('readiness', 'ports'),
        [(Readiness.READY, [1, 2, 3, 4]), (Readiness.DRAINING, [])],
    )
    async def test_port_refuses_connections(
        self, site, readiness, ports
    ) -> None:
        """Guards against waiting for the next run, and wrong resets.

        A draining server may be leaving: it closes its port before it ends.
        """
        recorded(site)
        site.open(4)
        site.report(readiness=readiness)
        site.now += 0.1
        with socket.create_server(('127.0.0.1', 0)) as closed:
            port = closed.getsockname()[1]
        await site.agent.server_reports.check_server_ended(
            Endpoint('127.0.0.1', port)
        )
        assert site.reset_ports() == ports


class TestEnabled:
    """Deployments that need no notice send and store nothing."""

    @pytest.mark.parametrize(
        ('kind', 'requests'),
        [(FlowKind.IDEMPOTENT, 2), (FlowKind.NON_IDEMPOTENT, 1)],
    )
    async def test_other_flows(self, kind, requests) -> None:
        """Guards against traffic for flows that carry one request each."""
        site = Site(kind=kind)
        site.run_reporting(4)
        site.open(1, requests)
        # A retransmission is not a second request.
        site.ask(1, 0)
        site.run_reporting(4)
        site.report(BORN + 9000)
        assert not site.sent_of(FlowSnapshot)
        assert not site.reset_ports()

    async def test_routes_without_the_kind_query_nothing(self) -> None:
        """Guards against queries in deployments that record no flows."""
        site = Site(kind=FlowKind.UPLOAD)
        site.run(1)
        assert not site.sent

    async def test_sent_to_two_instances_when_changed(self, site) -> None:
        """Guards against more traffic than the design states."""
        recorded(site)
        sent = len(site.sent_of(FlowSnapshot))
        site.end(1)
        site.run_reporting(3)
        assert len(site.sent_of(FlowSnapshot)) == sent
        site.open(7)
        site.run_reporting(3)
        assert len(site.sent_of(FlowSnapshot)) == sent + 2
        counts = [
            len(one.flow_snapshots) for one in site.control_by_host.values()
        ]
        assert sorted(counts) == [0, 1, 1]

    async def test_silent_instance_is_replaced(self, site) -> None:
        """Guards against snapshots at instances that have stopped."""
        recorded(site)
        inquirer = site.agent.control_client.inquirer
        for address in inquirer.preferred_controls(AGENT_ADDRESS, 1):
            inquirer._contacts.contact_by_address[address].unanswered = 9
            site.control_by_host.pop(pair_of(address)[0])
        site.run_reporting(2)
        kept = [one.flow_snapshots for one in site.control_by_host.values()]
        assert [len(one) for one in kept] == [1, 1]


class TestMessages:
    """Snapshots on the wire."""

    def test_full_snapshot_fits_one_frame(self) -> None:
        """Guards against snapshots that cannot be sent."""
        flows = pack_flows(_flows(*range(MAX_FLOWS)))
        frame = FrameCodec(KEY).seal(FlowSnapshot(1, 2, 3, 4, flows))
        assert len(frame) < MAX_FRAME
        assert len(unpack_flows(flows)) == MAX_FLOWS

    def test_numbers_near_the_wrap(self) -> None:
        """Guards against resets that callers do not accept."""
        for acknowledged in (0, 0x7FFF, 0x8000, 0x123456, 0xFFFFFFFF):
            recorded = RecordedFlow(flow_of(Address(1), SERVICE), acknowledged)
            read = unpack_flows(pack_flows([recorded]))[0]
            distance = (read.acknowledged - acknowledged) & 0xFFFFFFFF
            assert min(distance, 2**32 - distance) <= 0x8000

    @pytest.mark.parametrize('flows', [b'', b'no flows', pack_flows([])[:-1]])
    async def test_damaged_flows(self, site, flows) -> None:
        """Guards against an agent that stops on a damaged message."""
        site.report()
        snapshot = FlowSnapshot(AGENT_ADDRESS, 1, 1, 1, flows)
        frame = FrameCodec(KEY).seal(snapshot)
        site.agent._handle_internal(frame, (CONTROLS[0], 7720))
        assert not site.reset_ports()

    async def test_former_version_ignores_them(self, site, monkeypatch) -> None:
        """Guards against a rolling replacement that stops old processes."""
        frames = [
            FrameCodec(KEY).seal(one)
            for one in (
                FlowSnapshot(1, 2, 3, 4, b''),
                FlowSnapshotQuery(1, 2),
            )
        ]
        for kind in (86, 87):
            monkeypatch.delitem(messages._class_by_kind, kind)
            monkeypatch.setitem(messages._decoder_by_kind, kind, None)
        control = site.control_by_host[CONTROLS[0]]
        for frame in frames:
            with pytest.raises(WireError) as caught:
                FrameCodec(KEY).open(frame)
            assert caught.value.code is ResultCode.MALFORMED
            control.receive(frame, AGENT)
            site.agent._handle_internal(frame, (CONTROLS[0], 7720))
        assert not len(control.flow_snapshots)


def _flows(*ports: int) -> list[RecordedFlow]:
    return [
        RecordedFlow(flow_of(address_of('100.64.0.1', port), SERVICE), 1000)
        for port in ports
    ]


def _closed_port() -> Endpoint:
    """Return an endpoint that refuses connections."""
    with socket.create_server(('127.0.0.1', 0)) as closed:
        return Endpoint('127.0.0.1', closed.getsockname()[1])


class TestLeavingServer:
    """A server has closed its port, and serves its flows for two seconds."""

    @pytest.mark.parametrize('readiness', list(Readiness)[1:3])
    async def test_report_that_arrives_after_the_announcement(
        self, site, readiness
    ) -> None:
        """Guards against resets of flows that a leaving server holds.

        An agent that was frozen handles the reports and the announcement that
        have waited in any order.
        """
        recorded(site)
        site.agent.server_reports.handle_leave('s-1')
        site.report(readiness=readiness)
        site.now += 1
        await site.agent.server_reports.check_server_ended(_closed_port())
        assert not site.reset_ports()
        assert site.agent.context.flows.count

    async def test_announcement_that_waits_to_be_read(self, site) -> None:
        """Guards against resets by an agent that has just been resumed.

        It finds the port closed before it reads the announcement.
        """
        recorded(site)
        site.now += 1
        reports = site.agent.server_reports
        check = asyncio.create_task(reports.check_server_ended(_closed_port()))
        await asyncio.sleep(ANNOUNCEMENT_DELAY / 2)
        reports.handle_leave('s-1')
        await check
        assert not site.reset_ports()
        assert site.agent.context.flows.count

    async def test_stops_together_with_its_agent(self, site) -> None:
        """Guards against resets while the announcement is under way.

        Server and agent of an instance are asked to stop at the same time.
        """
        recorded(site)
        site.now += 1
        site.agent._local_server = LocalServer(_closed_port(), POOL)
        await site.agent.prepare_stop()
        assert not site.reset_ports()
