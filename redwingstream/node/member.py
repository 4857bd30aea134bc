"""The part of a balancer and of an agent that is the same for both.

It owns the frame socket and the calls, follows the tables and keeps the process
a member.  The role on top registers what it does with its own messages.
"""

import asyncio
import contextlib
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
from redwingstream.node.metrics import Metrics
from redwingstream.settings.roles import MemberSettings
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.messages import FetchTables, TablesUpdate
from redwingstream.wire.calls import (
    MAX_CALL_SIZE,
    CallClient,
    serve_calls,
)
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from redwingstream.wire.frames import FrameCodec

FrameHandler = Callable[[Any, Endpoint], None]

_FETCH_PAUSE = 0.1


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
        self.history = TablesHistory()
        self.announcer = Announcer(announcement, settings.control)
        self.on_tables: Callable[[], None] = _do_nothing
        self.vitals: Callable[[], Vitals] = lambda: Vitals(
            revision=self.history.tables.revision,
        )
        self.state: Callable[[], dict[str, Any]] = dict
        self._codec = FrameCodec(key)
        self._call_codec = FrameCodec(key, MAX_CALL_SIZE)
        self._calls = CallClient(self._call_codec)
        self._socket: DatagramSocket | None = None
        self._fetching: asyncio.Task[None] | None = None
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

    def handle(self, message_class: type, handler: FrameHandler) -> None:
        """Register what happens with a class of frames."""
        self._handler_by_class[message_class] = handler

    def send(self, target: Endpoint, payload: object) -> None:
        """Send a frame; it may be lost like any datagram."""
        if self._socket is not None:
            self._socket.send(self._codec.seal(payload), target.as_pair())

    def hear_revision(self, revision: int, source: Endpoint) -> None:
        """Fetch the tables when another process knows newer ones.

        This is how a change reaches a process that control cannot reach: every
        frame of its peers names their revision.
        """
        is_newer = revision > self.history.tables.revision
        if is_newer and self._fetching is None:
            self._fetching = asyncio.create_task(self._fetch(source))

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Hold the sockets open and the membership up for a block."""
        endpoint = self.settings.endpoint
        beating = asyncio.create_task(self._beat())
        try:
            with open_datagrams(endpoint, self._on_datagram) as sock:
                self._socket = sock
                async with serve_calls(
                    endpoint, self._call_codec, self._on_call
                ):
                    yield
        finally:
            self._socket = None
            beating.cancel()
        self._calls.close()

    async def _beat(self) -> None:
        while True:
            self._say(self.announcer.tick(self.now, self.vitals()))
            self.metrics.flush()
            await asyncio.sleep(HEARTBEAT_INTERVAL)

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
        self.hear_revision(ack.revision, source)

    def _on_probe(self, probe: Probe, source: Endpoint) -> None:
        self.send(source, ProbeAck(self.history.tables.revision))
        self.hear_revision(probe.revision, source)

    def _on_probe_ack(self, ack: ProbeAck, source: Endpoint) -> None:
        self.hear_revision(ack.revision, source)

    async def _on_call(self, request: object) -> object:
        match request:
            case FetchTables(since=since):
                return self.history.since(since)
            case DumpRequest():
                return DumpAnswer(self._dump())
            case _:
                raise CallFailedError(
                    f'{type(request).__name__} is not answered by a member; '
                    'ask a control instance',
                    ResultCode.MALFORMED,
                )

    async def _fetch(self, source: Endpoint) -> None:
        since = self.history.tables.revision
        try:
            update = await self._calls.call(
                source, FetchTables(since), TablesUpdate
            )
        except CallFailedError as error:
            logging.warning('node: Tables not fetched: %s.', error)
            await asyncio.sleep(_FETCH_PAUSE)
            return
        finally:
            self._fetching = None
        if self.history.take(update):
            self.metrics.gauge('revision', update.revision)
            self.on_tables()

    def _dump(self) -> str:
        tables = self.history.tables
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
            **self.state(),
        }
        return msgspec.json.encode(described).decode()


def _do_nothing() -> None:
    """Stand in for a role that has nothing to do."""
