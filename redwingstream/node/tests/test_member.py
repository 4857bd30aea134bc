"""Tests of members over real sockets: tables from peers, calls, bad frames."""

import asyncio
import json
import pathlib
import random
import socket
from collections.abc import Callable

import attrs
import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.membership.announcer import Vitals
from redwingstream.membership.messages import (
    Announce,
    DumpAnswer,
    DumpRequest,
    Heartbeat,
    HeartbeatAck,
)
from redwingstream.node.member import MemberNode
from redwingstream.node.metrics import Metrics
from redwingstream.settings.roles import MemberSettings
from redwingstream.tables.edits import (
    ReadTables,
    TablesRead,
)
from redwingstream.tables.messages import (
    FetchTables,
    TablesUpdate,
)
from redwingstream.tables.rows import Member, Role, ZoneMark
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.frames import FrameCodec

KEY = b'k' * 32
UNREACHABLE = Endpoint('127.0.0.1', 9)
UPDATE = TablesUpdate(since=0, revision=5, zones=(ZoneMark('carse', out=True),))
TEST_TIMEOUT = 20
FRAME_COUNT = 20


def free_endpoint() -> Endpoint:
    """Return an endpoint that is free for UDP and TCP."""
    host = f'127.{random.randint(64, 127)}.0.1'
    with socket.socket() as sock:
        sock.bind((host, 0))
        return Endpoint(*sock.getsockname())


def member_at(endpoint: Endpoint, *peers: Endpoint) -> MemberNode:
    """Return a member that can reach no control instance."""
    settings = MemberSettings(
        host='b1',
        endpoint=endpoint,
        zone='carse',
        key_file=pathlib.Path('unused'),
        control=(UNREACHABLE,),
        peers=peers,
    )
    announcement = Announce('b1', Role.BALANCER, str(endpoint), 'carse', '', 1)
    return MemberNode(settings, KEY, announcement, Metrics('test', None))


async def wait_until(is_met: Callable[[], bool]) -> None:
    """Wait until a condition is met."""
    async with asyncio.timeout(TEST_TIMEOUT):
        while not is_met():
            await asyncio.sleep(0.01)


class TestMemberNode:
    """One or two members and a client that calls them."""

    async def test_learns_the_tables_from_a_peer_without_control(self) -> None:
        """A member that restarts while control is down must get the tables.

        A balancer has no disk.  Without tables it could serve no caller until
        control is back.
        """
        informed = member_at(free_endpoint())
        informed.follower.history.apply_update(UPDATE)
        started = member_at(free_endpoint(), informed.settings.endpoint)
        started.announcer.is_cut_off = lambda now: True
        async with informed.opened(), started.opened():
            await wait_until(
                lambda: started.follower.revision == UPDATE.revision
            )
        assert started.follower.history.tables.is_zone_out('carse')

    async def test_asks_members_that_it_knows_without_control(self) -> None:
        """A balancer cut off from control must learn of a replaced pool.

        It cannot reach control, and no peers are set.  Operators replace the
        pool.  The old pool, the only one it knows, has no server left, so the
        balancer sends no packets and gets no answers with a newer revision.
        """
        informed = member_at(free_endpoint())
        endpoint = informed.settings.endpoint
        newer = attrs.evolve(UPDATE, revision=UPDATE.revision + 1)
        informed.follower.history.apply_update(newer)
        row = Member('a1', Role.AGENT, 3, 1, str(endpoint), 'carse')
        cut_off = member_at(free_endpoint())
        cut_off.follower.history.apply_update(
            attrs.evolve(UPDATE, members=(row,))
        )
        cut_off.announcer.is_cut_off = lambda now: True
        async with informed.opened(), cut_off.opened():
            await wait_until(
                lambda: cut_off.follower.revision == newer.revision
            )

    async def test_fetches_tables_from_a_peer_with_a_newer_revision(
        self,
    ) -> None:
        informed = member_at(free_endpoint())
        informed.follower.history.apply_update(UPDATE)
        other = member_at(free_endpoint())
        async with informed.opened(), other.opened():
            other.follower.handle_revision(
                UPDATE.revision, informed.settings.endpoint
            )
            await wait_until(lambda: other.follower.revision == UPDATE.revision)

    async def test_answers_calls(self) -> None:
        member = member_at(free_endpoint())
        member.follower.history.apply_update(UPDATE)
        endpoint = member.settings.endpoint
        codec = FrameCodec(KEY, MAX_CALL_SIZE)
        async with member.opened():
            with CallClient(codec).opened() as calls:
                fetched = await calls.call(
                    endpoint, FetchTables(0), TablesUpdate
                )
                dumped = await calls.call(endpoint, DumpRequest(), DumpAnswer)
                with pytest.raises(CallFailedError) as caught:
                    await calls.call(endpoint, ReadTables(), TablesRead)
        assert fetched == UPDATE
        assert json.loads(dumped.text)['revision'] == UPDATE.revision
        assert caught.value.code is ResultCode.MALFORMED

    async def test_a_call_under_another_key_gets_no_answer(self) -> None:
        member = member_at(free_endpoint())
        codec = FrameCodec(b'x' * 32, MAX_CALL_SIZE)
        async with member.opened():
            with CallClient(codec).opened() as calls:
                with pytest.raises(CallFailedError) as caught:
                    await calls.call(
                        member.settings.endpoint,
                        DumpRequest(),
                        DumpAnswer,
                        timeout=0.2,
                    )
        assert caught.value.code is ResultCode.TIMED_OUT

    async def test_continues_after_a_frame_whose_handler_fails(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Unusable frames must be counted and must not fill the disk with logs.

        A process of another release may send thousands of frames a second whose
        fields this one cannot use.  A traceback for each would fill the disk.
        """
        member = member_at(free_endpoint())
        codec = FrameCodec(KEY)
        unusable = HeartbeatAck(1, 1, 'nowhere')
        async with member.opened():
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for _ in range(FRAME_COUNT):
                    frame = codec.seal(unusable)
                    sock.sendto(frame, member.settings.endpoint.as_pair())
            counted = member.metrics.total_by_name
            await wait_until(lambda: counted['failed_frame'] == FRAME_COUNT)
        assert len(caplog.records) < FRAME_COUNT / 2

    async def test_sends_heartbeats_after_an_error_in_the_vitals(self) -> None:
        """An error in the role's vitals must not stop the heartbeats.

        If it ended the task that sends them, a healthy server would drop out of
        its pool until a restart.
        """
        member = member_at(free_endpoint())
        asked: list[None] = []

        def fail_once() -> Vitals:
            asked.append(None)
            if len(asked) == 1:
                raise KeyError('pool')
            return Vitals(0)

        member.vitals = fail_once
        async with member.opened():
            await wait_until(lambda: len(asked) > 1)
        assert member.metrics.total_by_name['failed_beat'] == 1

    async def test_counts_and_drops_frames_that_it_cannot_handle(self) -> None:
        member = member_at(free_endpoint())
        codec = FrameCodec(KEY)
        frame = codec.seal(Heartbeat('b2', 1, 1))
        frames = (
            b'',
            b'x' * 99,
            frame,
            frame,
            FrameCodec(b'y' * 32).seal(Heartbeat('b2', 1, 1)),
        )
        async with member.opened():
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for each in frames:
                    sock.sendto(each, member.settings.endpoint.as_pair())
            counted = member.metrics.total_by_name
            await wait_until(lambda: sum(counted.values()) >= len(frames))
        assert counted['frame_malformed'] == 1
        assert counted['frame_unauthentic'] == 2
        assert counted['frame_unexpected'] == 1
        assert counted['frame_replayed'] == 1
