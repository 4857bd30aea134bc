"""Three control instances as operating-system processes with real files."""

import asyncio
import contextlib
import shutil
import signal
import subprocess  # noqa: S404 - the tests start the instances themselves
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from redwingstream.control.tests.test_role import KEY, free_endpoint
from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    Edits,
    ReadTables,
    SetZone,
    TablesRead,
)
from redwingstream.tables.rows import ZoneMark
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.frames import FrameCodec

TIMEOUT_SECONDS = 60
PROGRAM = """
import asyncio, sys
from pathlib import Path
from redwingstream.control.role import run_control
from redwingstream.control.settings import ControlSettings
from redwingstream.endpoints import parse_endpoint
mine, folder, key, *replicas = sys.argv[1:]
asyncio.run(run_control(ControlSettings(
    'c', parse_endpoint(mine), 'carse', Path(folder),
    tuple(map(parse_endpoint, replicas)), key.encode(),
)))
"""


class Processes:
    """Three processes, and a client that repeats a request until answered."""

    def __init__(self, folder: Path, client: CallClient) -> None:
        self.folder = folder
        self.client = client
        self.endpoints = tuple(free_endpoint() for _ in range(3))
        self.process_by_endpoint: dict[Endpoint, subprocess.Popen] = {}
        self.accepted: set[str] = set()
        self.revision = 0

    def start(self, endpoint: Endpoint) -> None:
        """Start one process."""
        names = [str(replica) for replica in self.endpoints]
        arguments = [str(endpoint), str(self.path_of(endpoint)), KEY.decode()]
        self.process_by_endpoint[endpoint] = subprocess.Popen(
            [sys.executable, '-c', PROGRAM, *arguments, *names],
        )

    def kill(self, endpoint: Endpoint) -> None:
        """Kill one process with SIGKILL."""
        process = self.process_by_endpoint[endpoint]
        process.kill()
        process.wait()

    def signal(self, endpoint: Endpoint, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.process_by_endpoint[endpoint].send_signal(number)

    def path_of(self, endpoint: Endpoint) -> Path:
        """Return its data folder."""
        return self.folder / str(endpoint.port)

    async def change(self) -> Endpoint:
        """Make a change; return the endpoint that committed it."""
        zone = f'z{len(self.accepted)}'
        edits = Edits(set_zones=(SetZone(ZoneMark(zone, out=True)),))
        request = ChangeRequest(zone, self.revision, edits)
        endpoint, answer = await self._ask_all(request, ChangeAnswer)
        assert answer.code == ResultCode.OK
        self.revision = answer.revision
        self.accepted.add(zone)
        return endpoint

    async def check(self) -> None:
        """Check that the tables hold all committed changes and no others."""
        _, read = await self._ask_all(ReadTables(), TablesRead)
        assert {mark.zone for mark in read.update.zones} == self.accepted

    async def _ask_all(self, request: object, wanted: type):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            turn = 0
            while True:
                turn += 1
                endpoint = self.endpoints[turn % len(self.endpoints)]
                with contextlib.suppress(CallFailedError):
                    return endpoint, await self.client.call(
                        endpoint, request, wanted, timeout=0.5
                    )
                await asyncio.sleep(0.02)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Three running control instances."""
    with CallClient(FrameCodec(KEY, MAX_CALL_SIZE)).opened() as client:
        made = Processes(tmp_path, client)
        for endpoint in made.endpoints:
            made.start(endpoint)
        try:
            yield made
        finally:
            for endpoint in made.endpoints:
                made.kill(endpoint)


class TestProcesses:
    """Committed changes are kept when processes crash or stop."""

    async def test_killed_leaders(self, processes: Processes) -> None:
        """A committed change must be neither lost nor applied twice.

        The leader is killed with SIGKILL during a change, and the client
        repeats the change until an instance answers.
        """
        await self._kill_leader_during_a_change(processes)
        await self._kill_leader_during_a_change(processes)
        for endpoint in processes.endpoints:
            processes.kill(endpoint)
            processes.start(endpoint)
        await processes.check()

    async def test_a_leader_stopped_for_long(
        self, processes: Processes
    ) -> None:
        """A change must not be reverted when a suspended leader resumes.

        The leader is stopped for longer than every timeout among the replicas,
        the others commit changes, and it resumes where it stopped.
        """
        leader = await processes.change()
        processes.signal(leader, signal.SIGSTOP)
        await processes.change()
        await processes.change()
        await asyncio.sleep(1.5)
        processes.signal(leader, signal.SIGCONT)
        await processes.check()
        await processes.change()
        await processes.check()

    async def test_a_removed_data_folder(self, processes: Processes) -> None:
        leader = await processes.change()
        processes.kill(leader)
        shutil.rmtree(processes.path_of(leader))
        processes.start(leader)
        await processes.change()
        await processes.check()

    async def _kill_leader_during_a_change(self, processes: Processes) -> None:
        leader = await processes.change()
        pending = asyncio.create_task(processes.change())
        await asyncio.sleep(0.002)
        processes.kill(leader)
        await pending
        processes.start(leader)
