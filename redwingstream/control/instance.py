"""A replica with its socket, its timers and its service for members."""

import asyncio
import random
import secrets
from functools import partial

from absl import logging

from redwingstream.consensus import events
from redwingstream.consensus.core import Consensus
from redwingstream.consensus.messages import ReplicaMessage, Voter
from redwingstream.control.members import MemberService
from redwingstream.control.replica import Replica, ReplicaEnvironment
from redwingstream.control.service import ControlService
from redwingstream.control.settings import ControlSettings
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import StorageError, WireError
from redwingstream.membership.messages import (
    Announce,
    Heartbeat,
    Probe,
    ProbeAck,
)
from redwingstream.storage.folder import Folder
from redwingstream.storage.store import IDENTITY_BITS, ReplicaStore
from redwingstream.wire.datagrams import DatagramSocket
from redwingstream.wire.frames import FrameCodec

_TICKS_PER_HEARTBEAT = 2


class ControlInstance:
    """A replica with its socket and its timers.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    folder : Folder
        Folder of its durable state.
    """

    def __init__(self, settings: ControlSettings, folder: Folder) -> None:
        loop = asyncio.get_running_loop()
        self._timing = settings.timing
        self._clock = loop.time
        self._codec = FrameCodec(settings.key)
        self._failure: asyncio.Future[None] = loop.create_future()
        self._datagrams: DatagramSocket | None = None
        environment = ReplicaEnvironment(
            self._send, loop.time, loop.call_soon, self._fail
        )
        self._replica = _make_replica(settings, folder, environment)
        self._members = MemberService(
            self._replica, settings.lease, random.SystemRandom(), loop.time
        )
        self.service = ControlService(
            self._replica,
            settings.host,
            settings.zone,
            settings.change_timeout,
        )

    def attach(self, datagrams: DatagramSocket) -> None:
        """Send through this socket from now on."""
        self._datagrams = datagrams

    def receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Handle one datagram; drop it if it is not authentic."""
        try:
            opened = self._codec.open(datagram)
        except WireError:
            return
        reply = partial(self._reply, source)
        match opened.payload:
            case Announce() as announce:
                self._members.on_announce(announce, opened.boot, reply)
            case Heartbeat() as beat:
                self._members.on_heartbeat(beat, opened.boot, reply)
            case Probe():
                reply(ProbeAck(self._replica.machine.state.revision))
            case message if isinstance(message, ReplicaMessage):
                self._replica.step(events.Received(message))

    async def run(self) -> None:
        """Tick until cancelled, then hand over; raise when storage fails."""
        pause = self._timing.heartbeat / _TICKS_PER_HEARTBEAT
        try:
            while not self._failure.done():
                self._tick()
                await asyncio.wait((self._failure,), timeout=pause)
        except asyncio.CancelledError:
            await self._hand_over()
            return
        self._failure.result()

    def _tick(self) -> None:
        self._replica.step(events.Ticked())
        self._members.on_tick()

    async def _hand_over(self) -> None:
        if not self._replica.consensus.is_leader:
            return
        logging.info('control: handing over leadership.')
        deadline = self._clock() + self._timing.election_max
        pause = self._timing.heartbeat / _TICKS_PER_HEARTBEAT
        self._replica.step(events.HandOverRequested())
        while self._replica.consensus.is_leader and self._clock() < deadline:
            await asyncio.sleep(pause)
            self._replica.step(events.Ticked())

    def _send(self, outgoing: events.Outgoing) -> None:
        target = parse_endpoint(outgoing.target).as_pair()
        self._reply(target, outgoing.message)

    def _reply(self, target: tuple[str, int], message: object) -> None:
        if self._datagrams is not None:
            self._datagrams.send(self._codec.seal(message), target)

    def _fail(self, error: StorageError) -> None:
        if not self._failure.done():
            self._failure.set_exception(error)


def _make_replica(
    settings: ControlSettings, folder: Folder, environment: ReplicaEnvironment
) -> Replica:
    store = ReplicaStore(folder)
    loaded = store.load(partial(secrets.randbits, IDENTITY_BITS))
    consensus = Consensus(
        Voter(str(settings.endpoint), loaded.identity),
        tuple(map(str, settings.replicas)),
        settings.timing,
        random.SystemRandom(),
        environment.clock(),
    )
    return Replica(consensus, store, loaded, environment)
