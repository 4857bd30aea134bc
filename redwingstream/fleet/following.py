"""Asks the control instances, for balancers and agents."""

import asyncio
from collections.abc import Callable, Iterable

from redwingstream.directory.inquiry import Inquirer, Learned
from redwingstream.directory.messages import AgentRecord, Report
from redwingstream.errors import WireError
from redwingstream.packets.flow import Address, pair_of
from redwingstream.wire.datagrams import DatagramSocket
from redwingstream.wire.frames import FrameCodec

TICK = 0.05
"""Seconds between two looks at what is due; a quarter of the shortest pause
between two inquiries."""


class Following:
    """Sends inquiries when they are due and takes the answers.

    Parameters
    ----------
    inquirer : Inquirer
        Decides whom to ask.
    codec : FrameCodec
        Seals and opens what passes between processes.
    learned : callable
        Takes what each answer brought.
    record : callable
        Returns what this process says of itself; None from others than
        agents.
    """

    def __init__(
        self,
        inquirer: Inquirer,
        codec: FrameCodec,
        learned: Callable[[Learned], None],
        record: Callable[[], AgentRecord | None],
    ) -> None:
        self.inquirer = inquirer
        self.reports = 0
        self.malformed = 0
        self._codec = codec
        self._learned = learned
        self._record = record
        self._socket: DatagramSocket | None = None

    def attach(self, socket: DatagramSocket) -> None:
        """Send through this socket from now on."""
        self._socket = socket

    def receive(self, datagram: bytes, source: tuple[str, int]) -> bool:
        """Take a datagram; return whether it was an answer."""
        try:
            opened = self._codec.open(datagram)
        except WireError:
            self.malformed += 1
            return False
        if not isinstance(opened.payload, Report):
            return False
        self.reports += 1
        now = asyncio.get_running_loop().time()
        self._learned(self.inquirer.take(opened.payload, now))
        return True

    def tick(self, now: float) -> None:
        """Ask whom it is time to ask."""
        self._send(self.inquirer.due(now, self._record()))

    def tell_all(self) -> None:
        """Tell every control instance at once what this process is."""
        self._send(self.inquirer.all(self._record()))

    def follow_seeds(self, seeds: Iterable[Address]) -> None:
        """Take the control instances that the settings name now."""
        now = asyncio.get_running_loop().time()
        self.inquirer.follow_seeds(seeds, now)

    def _send(self, asks: Iterable[object]) -> None:
        if self._socket is None:
            return
        for ask in asks:
            frame = self._codec.seal(ask.inquiry)
            self._socket.send(frame, pair_of(ask.target))
