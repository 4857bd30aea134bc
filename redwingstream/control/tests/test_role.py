"""Control instances over real sockets and files."""

import asyncio
import contextlib
import itertools
import json
import os
import socket
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import pytest

from redwingstream.consensus.state import Timing
from redwingstream.control.role import run_control
from redwingstream.control.settings import ControlSettings
from redwingstream.endpoints import Endpoint
from redwingstream.errors import (
    CallFailedError,
    ResultCode,
    SettingError,
    StorageError,
)
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    DumpAnswer,
    DumpRequest,
    Heartbeat,
    HeartbeatAck,
)
from redwingstream.storage.store import JOURNAL_FILE
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    Edits,
    ReadTables,
    SetPool,
    TablesRead,
)
from redwingstream.tables.messages import (
    FetchTables,
    TablesUpdate,
)
from redwingstream.tables.rows import Pool, Role
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.datagrams import open_datagrams
from redwingstream.wire.frames import FrameCodec

KEY = b'k' * 32
TIMING = Timing(heartbeat=0.02, election_min=0.2, election_max=0.4)
TIMEOUT_SECONDS = 20
REQUEST = ChangeRequest(
    'r1', 0, Edits(set_pools=(SetPool(Pool('sward-live', ('sward-*',))),))
)


FIRST_PORT = 20000
PORTS_PER_RUN = 100
RUNS = 120
_next_ports = itertools.count(FIRST_PORT + os.getpid() % RUNS * PORTS_PER_RUN)


def free_endpoint() -> Endpoint:
    """Return an endpoint whose UDP and TCP ports are free.

    Notes
    -----
    The ports are below the range of ephemeral ports: one of those could be
    assigned to any other socket before the instance binds it.
    """
    endpoint = Endpoint('127.0.0.1', next(_next_ports))
    while not is_free(endpoint):
        endpoint = Endpoint('127.0.0.1', next(_next_ports))
    return endpoint


def is_free(endpoint: Endpoint) -> bool:
    """Whether both ports of an endpoint can be bound now."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
    ):
        try:
            stream.bind(endpoint.as_pair())
            datagrams.bind(endpoint.as_pair())
        except OSError:
            return False
    return True


class Group:
    """Control instances on one event loop, and a client."""

    def __init__(self, folder: Path, size: int) -> None:
        self.folder = folder
        self.endpoints = tuple(free_endpoint() for _ in range(size))
        self.client = CallClient(FrameCodec(KEY, MAX_CALL_SIZE))
        self.task_by_endpoint: dict[Endpoint, asyncio.Task[None]] = {}

    def start(self, endpoint: Endpoint) -> None:
        """Start one instance."""
        name = f'c{self.endpoints.index(endpoint)}'
        settings = ControlSettings(
            name,
            endpoint,
            'carse',
            self.folder / name,
            self.endpoints,
            KEY,
            TIMING,
        )
        task = asyncio.create_task(run_control(settings))
        self.task_by_endpoint[endpoint] = task

    async def stop(self, endpoint: Endpoint) -> None:
        """Stop one instance and wait until it has ended."""
        task = self.task_by_endpoint.pop(endpoint)
        task.cancel()
        await task

    async def stop_all(self) -> None:
        """Stop all running instances at once."""
        await asyncio.gather(*map(self.stop, list(self.task_by_endpoint)))

    async def ask(self, endpoint: Endpoint, request: object, wanted: type):
        """Call an instance."""
        return await self.client.call(endpoint, request, wanted)

    def other_than(self, endpoint: Endpoint) -> Endpoint:
        """Return another instance."""
        return next(other for other in self.endpoints if other != endpoint)

    async def leader(self) -> Endpoint:
        """Wait for a leader that is ready."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            candidates = itertools.cycle(self.endpoints)
            endpoint = next(candidates)
            while not await self._leads(endpoint):
                await asyncio.sleep(0.02)
                endpoint = next(candidates)
            return endpoint

    async def _leads(self, endpoint: Endpoint) -> bool:
        if endpoint not in self.task_by_endpoint:
            return False
        with contextlib.suppress(CallFailedError):
            await self.ask(endpoint, ReadTables(), TablesRead)
            return True
        return False


@contextlib.asynccontextmanager
async def open_group(folder: Path, size: int) -> AsyncIterator[Group]:
    """Run a group of instances until the block ends."""
    group = Group(folder, size)
    for endpoint in group.endpoints:
        group.start(endpoint)
    with group.client.opened():
        try:
            yield group
        finally:
            await group.stop_all()


class Agent:
    """Sends frames to control instances, as an agent does."""

    def __init__(self, sock, codec: FrameCodec, inbox: asyncio.Queue) -> None:
        self.sock = sock
        self.codec = codec
        self.inbox = inbox

    async def ask(self, target: Endpoint, message: object) -> object:
        """Send a frame and wait for the answer."""
        self.sock.send(self.codec.seal(message), target.as_pair())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.inbox.get()


@contextlib.contextmanager
def open_agent():
    """Open an agent's socket."""
    codec = FrameCodec(KEY)
    inbox: asyncio.Queue[object] = asyncio.Queue()

    def receive(datagram: bytes, source: tuple[str, int]) -> None:
        inbox.put_nowait(codec.open(datagram).payload)

    with open_datagrams(Endpoint('127.0.0.1', 0), receive) as sock:
        yield Agent(sock, codec, inbox)


class TestControl:
    """Changes, members and tables over real sockets."""

    @pytest.mark.parametrize('size', [1, 3])
    async def test_accepts_a_change_and_an_agent(
        self, tmp_path: Path, size: int
    ) -> None:
        announce = Announce(
            'sward-1', Role.AGENT, '127.0.0.1:1', 'carse', 'sward-live', 100
        )
        async with open_group(tmp_path, size) as group:
            leader = await group.leader()
            answer = await group.ask(leader, REQUEST, ChangeAnswer)
            assert answer.code == ResultCode.OK
            with open_agent() as agent:
                challenge = await agent.ask(leader, announce)
                assert isinstance(challenge, Challenge)
                again = attrs.evolve(announce, challenge=challenge.challenge)
                ack = await agent.ask(leader, again)
                assert isinstance(ack, HeartbeatAck)
                beat = Heartbeat('sward-1', ack.incarnation, 0)
                assert await agent.ask(leader, beat) == ack
            update = await group.ask(leader, FetchTables(0), TablesUpdate)
            assert update.members[0].host == 'sward-1'
            assert len(update.views[0].members) == 1

    async def test_an_accepted_change_survives_a_restart_of_all(
        self, tmp_path: Path
    ) -> None:
        async with open_group(tmp_path, 3) as group:
            leader = await group.leader()
            answer = await group.ask(leader, REQUEST, ChangeAnswer)
            await group.stop_all()
            for endpoint in group.endpoints:
                group.start(endpoint)
            leader = await group.leader()
            again = await group.ask(leader, REQUEST, ChangeAnswer)
            assert again == answer

    async def test_a_stopping_leader_hands_over(self, tmp_path: Path) -> None:
        async with open_group(tmp_path, 3) as group:
            first = await group.leader()
            await group.ask(first, REQUEST, ChangeAnswer)
            await group.stop(first)
            second = await group.leader()
            read = await group.ask(second, ReadTables(), TablesRead)
            assert read.update.pools[0].name == 'sward-live'

    async def test_a_follower_refuses_changes_and_gives_tables(
        self, tmp_path: Path
    ) -> None:
        async with open_group(tmp_path, 3) as group:
            leader = await group.leader()
            follower = group.other_than(leader)
            with pytest.raises(CallFailedError, match=str(leader)) as caught:
                await group.ask(follower, REQUEST, ChangeAnswer)
            assert caught.value.code is ResultCode.NOT_LEADER
            await group.ask(follower, FetchTables(0), TablesUpdate)
            dump = await group.ask(follower, DumpRequest(), DumpAnswer)
            assert json.loads(dump.text)['consensus']['role'] == 'follower'

    async def test_a_removed_data_folder_is_readmitted(
        self, tmp_path: Path
    ) -> None:
        """A replica with an empty folder must be readmitted and lose no change.

        A follower stops, its folder is emptied, and it starts again; then the
        leader stops.  The change is still there.
        """
        async with open_group(tmp_path, 3) as group:
            leader = await group.leader()
            await group.ask(leader, REQUEST, ChangeAnswer)
            lost = group.other_than(leader)
            await group.stop(lost)
            folder = tmp_path / f'c{group.endpoints.index(lost)}'
            for path in folder.iterdir():
                path.unlink()
            group.start(lost)
            await self._wait_for_role(group, lost, 'follower')
            await group.stop(await group.leader())
            second = await group.leader()
            read = await group.ask(second, ReadTables(), TablesRead)
            assert read.update.pools[0].name == 'sward-live'

    async def _wait_for_role(
        self, group: Group, endpoint: Endpoint, role: str
    ) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                dump = await group.ask(endpoint, DumpRequest(), DumpAnswer)
                if json.loads(dump.text)['consensus']['role'] == role:
                    return
                await asyncio.sleep(0.05)


class TestRefusedStart:
    """An instance that cannot work fails at its start."""

    async def test_an_endpoint_not_among_the_replicas(
        self, tmp_path: Path
    ) -> None:
        mine, other = free_endpoint(), free_endpoint()
        settings = ControlSettings('c', mine, 'z', tmp_path, (other,), KEY)
        with pytest.raises(SettingError, match=str(mine)):
            await run_control(settings)

    async def test_a_damaged_journal(self, tmp_path: Path) -> None:
        async with open_group(tmp_path, 1) as group:
            leader = await group.leader()
            await group.ask(leader, REQUEST, ChangeAnswer)
            await group.stop(leader)
            path = tmp_path / 'c0' / JOURNAL_FILE
            contents = bytearray(path.read_bytes())
            contents[10] ^= 0xFF
            path.write_bytes(contents)
            group.start(leader)
            with pytest.raises(StorageError) as caught:
                await group.task_by_endpoint.pop(leader)
            assert caught.value.code is ResultCode.DATA_DAMAGED
