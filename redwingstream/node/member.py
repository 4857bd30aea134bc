"""The part of a balancer and of an agent that is the same for both.

It owns the frame socket and the calls, follows the tables and keeps the process
a member.  The role on top registers what it does with its own messages.
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
from redwingstream.node.following import TablesFollower
from redwingstream.node.guard import count_errors
from redwingstream.node.metrics import Metrics
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

_BEAT_SPREAD = (0.9, 1.1)
"""Heartbeats are spread, so that members started together do not stay so."""


class MemberNode:
    """Frames, calls, tables and membership of one process.

    Parameters
    ----------
    settings : MemberSettings
        Where it stands and whom it asks.
    key : bytes
        Key of all frames and calls.
    announcement : Announce
        What it says of itself to control.
    metrics : Metrics
        Counts what passes.

    Attributes
    ----------
    follower : TablesFollower
        The tables; the role sets its ``on_tables``.
    announcer : Announcer
        The membership.
    vitals : callable
        What the heartbeat says; a role that has more to say replaces it.
    state : callable
        What the role adds to a dump.
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
            Challenge: self._on_challenge,
            HeartbeatAck: self._on_ack,
            Probe: self._on_probe,
            ProbeAck: self._on_probe_ack,
        }

    @property
    def now(self) -> float:
        """Seconds on the loop's clock."""
        return asyncio.get_running_loop().time()

    def register_handler(
        self, message_class: type, handler: FrameHandler
    ) -> None:
        """Register what happens with a class of frames."""
        self._handler_by_class[message_class] = handler

    def send(self, target: Endpoint, payload: object) -> None:
        """Send a frame; it may be lost like any datagram."""
        if self._socket is not None:
            self._socket.send(self._codec.seal(payload), target.as_pair())

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Hold the sockets open and the membership up for a block."""
        endpoint = self.settings.endpoint
        with (
            self._calls.opened(),
            open_datagrams(endpoint, self._on_datagram) as sock,
        ):
            self._socket = sock
            async with serve_calls(endpoint, self._call_codec, self._on_call):
                beating = asyncio.create_task(self._beat())
                try:
                    yield
                finally:
                    beating.cancel()
                    self.follower.close()
        self._socket = None

    async def _beat(self) -> None:
        while True:
            with count_errors('beat', self.metrics):
                self._beat_once()
            spread = self._rng.uniform(*_BEAT_SPREAD)
            await asyncio.sleep(HEARTBEAT_INTERVAL * spread)

    def _beat_once(self) -> None:
        self._say(self.announcer.tick(self.now, self.vitals()))
        self._ask_a_peer()
        self.metrics.flush()

    def _ask_a_peer(self) -> None:
        """Ask for newer tables while control does not answer.

        A process that starts while all control instances are away has no
        tables, and nobody sends it anything from which to learn of them: a
        restarted balancer would refuse every packet until control is back.
        One that has tables asks the members in them too: it may be sending
        to nobody, since those tables leave it nobody to send to.
        """
        if not self.announcer.is_cut_off(self.now):
            return
        known = {*self.settings.peers, *self.follower.members()}
        peers = sorted(known - {self.settings.endpoint})
        if peers:
            probe = Probe(self.follower.revision)
            self.send(self._rng.choice(peers), probe)

    def _say(self, sends: list[SendToControl]) -> None:
        for send in sends:
            self.send(send.endpoint, send.message)

    def _on_datagram(self, frame: bytes, source: tuple[str, int]) -> None:
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

    def _on_challenge(self, challenge: Challenge, source: Endpoint) -> None:
        self._say(self.announcer.on_challenge(challenge, self.now))

    def _on_ack(self, ack: HeartbeatAck, source: Endpoint) -> None:
        was_member = self.announcer.incarnation
        self._say(self.announcer.on_ack(ack, source, self.now))
        if self.announcer.incarnation != was_member:
            logging.info(
                'node: %s has incarnation %d.',
                self.settings.host,
                self.announcer.incarnation,
            )
        self.follower.handle_revision(ack.revision, source)

    def _on_probe(self, probe: Probe, source: Endpoint) -> None:
        self.send(source, ProbeAck(self.follower.revision))
        self.follower.handle_revision(probe.revision, source)

    def _on_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        self.follower.handle_revision(ack.revision, source)

    async def _on_call(self, request: object) -> object:
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
