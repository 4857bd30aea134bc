"""Start of a control instance that has a fleet record on its disk."""

import asyncio
from pathlib import Path

import attrs
import pytest

from redwingstream.directory.messages import UNSOLICITED, Inquiry, Report
from redwingstream.fleet.control import Control
from redwingstream.fleet.fleet_record_store import FleetRecordStore, ServedState
from redwingstream.fleet.tests.fakes import (
    DEPLOYMENT,
    KEY,
    FakeProcess,
    FakeSocket,
)
from redwingstream.packets.flow import address_of
from redwingstream.storage.disk import open_folder
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.wire.frames import FrameCodec

OTHER_CONTROL = address_of('10.2.0.100', 7720)
BALANCER = address_of('10.1.0.101', 7721)
REVISION = 7


@pytest.fixture
def disk(tmp_path) -> Path:
    """A data folder with the fleet record of an earlier run."""
    machine = StateMachine()
    machine.state.revision = REVISION
    records = FleetRecordStore(lambda event: None)
    records.followers.record_inquiry(BALANCER, 0)
    served = ServedState((OTHER_CONTROL,), REVISION, machine.update_since)
    with open_folder(tmp_path) as folder:
        records.write_if_due(folder, served, 0)
    return tmp_path


@pytest.fixture
async def socket() -> FakeSocket:
    return FakeSocket()


@pytest.fixture
async def control(disk, socket) -> Control:
    loop = asyncio.get_running_loop()
    deployment = attrs.evolve(DEPLOYMENT, data_folder=disk)
    made = Control(FakeProcess(deployment, loop.time))
    made.attach(socket)
    made.tick(loop.time())
    return made


def _reports(socket: FakeSocket) -> list[Report]:
    codec = FrameCodec(KEY)
    opened = [codec.open(frame).payload for frame in socket.sent]
    return [one for one in opened if isinstance(one, Report)]


class TestStart:
    """No leader is elected yet, and no process knows this instance."""

    async def test_contacts_recorded_processes(self, control, socket) -> None:
        """Guards against a delay until the processes ask at the seeds."""
        assert ('10.1.0.101', 7721) in socket.targets
        assert ('10.2.0.100', 7720) in socket.targets
        assert [report.number for report in _reports(socket)] == [UNSOLICITED]

    async def test_serves_recorded_tables(self, control, socket) -> None:
        """Guards against delaying new flows until a leader is elected."""
        socket.sent.clear()
        inquiry = FrameCodec(KEY).seal(Inquiry(1, 0, 0, 0))
        control.receive(inquiry, ('10.1.0.101', 7721))
        report = _reports(socket)[0]
        assert report.revision == REVISION
        assert report.update

    async def test_does_not_confirm_recorded_tables(
        self, control, socket
    ) -> None:
        """Guards against refusals and reads by tables that may be outdated."""
        socket.sent.clear()
        inquiry = FrameCodec(KEY).seal(Inquiry(1, 0, 0, 0))
        control.receive(inquiry, ('10.1.0.101', 7721))
        assert _reports(socket)[0].confirmed_age == float('inf')
