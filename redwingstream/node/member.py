"""The part of a member process that balancers and agents share.

It owns the frame socket and the calls, keeps the tables up to date and the
process a member.  The role registers handlers for its own messages.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import msgspec
from absl import logging

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode, WireError
from redwingstream.membership.announcer import (
    HEARTBEAT_INTERVAL,
    Announcer,
    SendToControl,
    Vitals,
)
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    DumpAnswer,
    DumpRequest,
    HeartbeatAck,
    Probe,
    ProbeAck,
)
from redwingstream.node.guard import count_errors
from redwingstream.node.metrics import Metrics
from redwingstream.node.tables_follower import TablesFollower
from redwingstream.settings.roles import MemberSettings
from redwingstream.tables.messages import FetchTables
from redwingstream.wire.calls import (
    MAX_CALL_SIZE,
    CallClient,
    serve_calls,
)
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from redwingstream.wire.frames import FrameCodec

FrameHandler = Callable[[Any, Endpoint], None]

_HEARTBEAT_JITTER = (0.9, 1.1)
"""Random factors of the heartbeat interval, so that members that start together
do not send their heartbeats at the same time for ever."""


class MemberNode:
    """Frames, calls, tables and membership of one process.

    Parameters
    ----------
    settings : MemberSettings
        Settings of the process, with its addresses, control and peers.
    key : bytes
        Key of all frames and calls.
    announcement : Announce
        Announcement of the process to control.
    metrics : Metrics
        Counters of the process.

    Attributes
    ----------
    follower : TablesFollower
        Holds the tables; the role sets its ``on_tables``.
    announcer : Announcer
        Keeps the process a member: announcement and heartbeats.
    vitals : callable
        Returns the state that a heartbeat reports.  By default only the
        revision of the tables; a role may replace it.
    state : callable
        Returns what the role adds to a dump.
    """

    def __init__(
        self,
        settings: MemberSettings,
        key: bytes,
        announcement: Announce,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._codec = FrameCodec(key)
        self._call_codec = FrameCodec(key, MAX_CALL_SIZE)
        self._calls = CallClient(self._call_codec)
        self.follower = TablesFollower(self._calls, metrics)
        self.announcer = Announcer(announcement, settings.control)
        self.vitals: Callable[[], Vitals] = lambda: Vitals(
            revision=self.follower.revision
        )
        self.describe_state: Callable[[], dict[str, Any]] = dict
        self._socket: DatagramSocket | None = None
        self._rng = random.Random()
        self._handler_by_class: dict[type, FrameHandler] = {
            Challenge: self._handle_challenge,
            HeartbeatAck: self._handle_ack,
            Probe: self._handle_probe,
            ProbeAck: self._handle_probe_ack,
        }

    @property
    def now(self) -> float:
        """Current time in seconds, by the event loop's clock."""
        return asyncio.get_running_loop().time()

    def register_handler(
        self, message_class: type, handler: FrameHandler
    ) -> None:
        """Register the handler of frames with a class of messages."""
        self._handler_by_class[message_class] = handler

    def send(self, target: Endpoint, payload: object) -> None:
        """Send a message in a frame; like any datagram it may be lost."""
        if self._socket is not None:
            self._socket.send(self._codec.seal(payload), target.as_pair())

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Keep sockets open and send heartbeats while the context is open."""
        endpoint = self.settings.endpoint
        with (
            self._calls.opened(),
            open_datagrams(endpoint, self._handle_datagram) as sock,
        ):
            self._socket = sock
            async with serve_calls(
                endpoint, self._call_codec, self._handle_call
            ):
                heartbeat_task = asyncio.create_task(self._heartbeat_loop())
                try:
                    yield
                finally:
                    heartbeat_task.cancel()
                    self.follower.close()
        self._socket = None

    async def _heartbeat_loop(self) -> None:
        while True:
            with count_errors('beat', self.metrics):
                self._send_heartbeat()
            spread = self._rng.uniform(*_HEARTBEAT_JITTER)
            await asyncio.sleep(HEARTBEAT_INTERVAL * spread)

    def _send_heartbeat(self) -> None:
        self._send_to_control(self.announcer.tick(self.now, self.vitals()))
        self._probe_peer()
        self.metrics.flush()

    def _probe_peer(self) -> None:
        """Probe a random peer for newer tables while control does not answer.

        A process that starts while no control instance is reachable has no
        tables and gets no frames from which to learn of them.  A restarted
        balancer would drop every packet until control is back.  A process with
        tables also asks the members in them, since the tables may leave it
        without any agent to send to, and then it gets no answers either.
        """
        if not self.announcer.is_cut_off(self.now):
            return
        known = {*self.settings.peers, *self.follower.members()}
        peers = sorted(known - {self.settings.endpoint})
        if peers:
            probe = Probe(self.follower.revision)
            self.send(self._rng.choice(peers), probe)

    def _send_to_control(self, sends: list[SendToControl]) -> None:
        for send in sends:
            self.send(send.endpoint, send.message)

    def _handle_datagram(self, frame: bytes, source: tuple[str, int]) -> None:
        try:
            opened = self._codec.open(frame)
        except WireError as error:
            self.metrics.count(f'frame_{error.code.name.lower()}')
            return
        handler = self._handler_by_class.get(type(opened.payload))
        if handler is None:
            self.metrics.count('frame_unexpected')
            return
        with count_errors('frame', self.metrics):
            handler(opened.payload, Endpoint(*source))

    def _handle_challenge(self, challenge: Challenge, source: Endpoint) -> None:
        self._send_to_control(self.announcer.on_challenge(challenge, self.now))

    def _handle_ack(self, ack: HeartbeatAck, source: Endpoint) -> None:
        old_incarnation = self.announcer.incarnation
        self._send_to_control(self.announcer.on_ack(ack, source, self.now))
        if self.announcer.incarnation != old_incarnation:
            logging.info(
                'node: %s has incarnation %d.',
                self.settings.host,
                self.announcer.incarnation,
            )
        self.follower.handle_revision(ack.revision, source)

    def _handle_probe(self, probe: Probe, source: Endpoint) -> None:
        self.send(source, ProbeAck(self.follower.revision))
        self.follower.handle_revision(probe.revision, source)

    def _handle_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        self.follower.handle_revision(ack.revision, source)

    async def _handle_call(self, request: object) -> object:
        match request:
            case FetchTables(since=since):
                return self.follower.history.update_since(since)
            case DumpRequest():
                return DumpAnswer(self._dump())
            case _:
                raise CallFailedError(
                    f'{type(request).__name__} is not answered by a member; '
                    'ask a control instance',
                    ResultCode.MALFORMED,
                )

    def _dump(self) -> str:
        tables = self.follower.history.tables
        described = {
            'host': self.settings.host,
            'zone': self.settings.zone,
            'endpoint': str(self.settings.endpoint),
            'incarnation': self.announcer.incarnation,
            'refusal': self.announcer.refusal,
            'revision': tables.revision,
            'leader': str(self.announcer.target),
            'metrics': dict(self.metrics.total_by_name),
            'tables': attrs.asdict(tables, recurse=False),
            **self.describe_state(),
        }
        return msgspec.json.encode(described).decode()
