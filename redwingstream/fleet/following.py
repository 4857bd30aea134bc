"""Asks the control instances, for balancers and agents."""

import asyncio
from collections.abc import Callable, Iterable

from redwingstream.directory.inquiry import Inquirer, Learned
from redwingstream.directory.messages import (
    AgentRecord,
    Report,
    Status,
    Unchanged,
)
from redwingstream.errors import WireError
from redwingstream.eventlog.lines import event
from redwingstream.packets.flow import Address, pair_of
from redwingstream.wire.datagrams import DatagramSocket
from redwingstream.wire.frames import FrameCodec

MIN_PAUSE = 0.02
"""Shortest time in seconds between two looks at what is due, so that inquiries
that are due at nearly the same time go out together."""

REFRESH_EVERY = 1.0
"""Seconds between two looks at all agents, since a control instance that does
not answer any more stops counting without a word."""

LOST_AFTER = 2.0
"""Seconds without any answer after which the control instances count as lost:
several of them are each asked more than twice a second."""


@event
class DependencyLost:
    """Something that this process depends on gives no answer any more."""

    dependency: str
    silent_for: float


@event
class DependencyRegained:
    """Something that was lost answers again."""

    dependency: str


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
    log : callable
        Takes events.
    record : callable
        Returns what this process says of itself; only agents say anything.
    """

    def __init__(
        self,
        inquirer: Inquirer,
        codec: FrameCodec,
        learned: Callable[[Learned], None],
        log: Callable[[object], None],
        record: Callable[[], AgentRecord] | None = None,
    ) -> None:
        self.inquirer = inquirer
        self.reports = 0
        self.malformed = 0
        self._codec = codec
        self._learned = learned
        self._log = log
        self._record = record
        self._socket: DatagramSocket | None = None
        self._refresh_at = float('-inf')
        self._heard_at: float | None = None
        self._is_lost = False

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
        if not isinstance(opened.payload, Report | Unchanged | Status):
            return False
        self.take(opened.payload)
        return True

    def take(self, answer: Report | Unchanged | Status) -> None:
        """Process an answer and send the inquiries that it makes due."""
        now = asyncio.get_running_loop().time()
        self.reports += 1
        self._heard_at = now
        try:
            learned = self.inquirer.take(answer, now)
        except WireError:
            self.malformed += 1
            return
        self._learned(learned)
        if self.inquirer.next_due() <= now:
            self._send(self.inquirer.due(now, self._own_record()))

    def tick(self, now: float) -> float:
        """Ask whom it is time to ask; look at the agents again.

        Returns
        -------
        float
            In how many seconds to look again.
        """
        self._send(self.inquirer.due(now, self._own_record()))
        self._note_dependency(now)
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_EVERY
            changed = self.inquirer.view.refresh(now)
            self._learned(Learned(tuple(changed)))
        due_at = min(self.inquirer.next_due(), self._refresh_at)
        return max(MIN_PAUSE, due_at - now)

    def tell_all(self) -> None:
        """Tell every control instance at once what this process is."""
        self._send(self.inquirer.all(self._own_record()))

    def hurry(self) -> None:
        """Ask sooner than usual, since something is waited for."""
        now = asyncio.get_running_loop().time()
        self.inquirer.hurry(now)
        self._send(self.inquirer.due(now, self._own_record()))

    def follow_seeds(self, seeds: Iterable[Address]) -> None:
        """Take the control instances that the settings name now."""
        now = asyncio.get_running_loop().time()
        self.inquirer.follow_seeds(seeds, now)

    def _own_record(self) -> AgentRecord | None:
        return None if self._record is None else self._record()

    def _note_dependency(self, now: float) -> None:
        if self._heard_at is None:
            return
        silent_for = now - self._heard_at
        is_lost = silent_for > LOST_AFTER
        if is_lost and not self._is_lost:
            self._log(DependencyLost('control', round(silent_for, 3)))
        elif self._is_lost and not is_lost:
            self._log(DependencyRegained('control'))
        self._is_lost = is_lost

    def _send(self, asks: Iterable[object]) -> None:
        if self._socket is None:
            return
        for ask in asks:
            frame = self._codec.seal(ask.inquiry)
            self._socket.send(frame, pair_of(ask.target))
