"""Polling of the control instances, for balancers and agents."""

import asyncio
from collections.abc import Callable, Iterable

from redwingstream.directory.inquiry import Inquirer, InquiryResult
from redwingstream.directory.messages import (
    AgentRecord,
    Report,
    Status,
    Unchanged,
)
from redwingstream.errors import WireError
from redwingstream.eventlog.lines import event
from redwingstream.fleet.confirmation import ConfirmationMonitor
from redwingstream.packets.flow import Address, address_of, pair_of
from redwingstream.wire.datagrams import DatagramSocket
from redwingstream.wire.frames import FrameCodec

MIN_PAUSE = 0.02
"""Minimum time in seconds between two ticks, so that inquiries that are due at
nearly the same time are sent together."""

REFRESH_INTERVAL = 1.0
"""Seconds between two refreshes of all agents, since a control instance that
stops answering sends no message that would change them."""

LOST_AFTER = 2.0
"""Seconds without any answer after which the control instances count as lost:
each of several instances is asked more than twice a second."""


@event
class DependencyLost:
    """A dependency of this process has stopped answering."""

    dependency: str
    silent_for: float


@event
class DependencyRegained:
    """A lost dependency answers again."""

    dependency: str


class ControlClient:
    """Sends inquiries when they are due and handles the answers.

    Parameters
    ----------
    inquirer : Inquirer
        Decides which control instances to ask.
    codec : FrameCodec
        Seals and opens frames between processes.
    on_result : callable
        Called with what each answer changed.
    log : callable
        Called with each event to be logged.
    make_record : callable or None
        Returns the agent's own record; None for other roles.
    on_message : callable or None
        Called with each message that is no answer and its source.

    Attributes
    ----------
    reports : int
        Number of answers received.
    malformed : int
        Number of datagrams and answers that could not be decoded.
    """

    def __init__(
        self,
        inquirer: Inquirer,
        codec: FrameCodec,
        on_result: Callable[[InquiryResult], None],
        log: Callable[[object], None],
        make_record: Callable[[], AgentRecord] | None = None,
        on_message: Callable[[object, Address], None] | None = None,
    ) -> None:
        self.inquirer = inquirer
        self.reports = 0
        self.malformed = 0
        self._codec = codec
        self._on_result = on_result
        self._log = log
        self._make_record = make_record
        self._on_message = on_message
        self._socket: DatagramSocket | None = None
        self._refresh_at = float('-inf')
        self._heard_at: float | None = None
        self._is_lost = False
        self._confirmation: ConfirmationMonitor | None = None

    def attach(self, socket: DatagramSocket) -> None:
        """Set the socket that inquiries are sent through."""
        self._socket = socket

    def receive(self, datagram: bytes, source: tuple[str, int]) -> bool:
        """Handle a datagram; return whether it was an answer."""
        message = self.open(datagram)
        if message is None:
            return False
        if not isinstance(message, Report | Unchanged | Status):
            self._handle_other(message, address_of(*source))
            return False
        self.handle_answer(message)
        return True

    def open(self, datagram: bytes) -> object | None:
        """Return the message of a datagram, or None if it has no valid one."""
        try:
            return self._codec.open(datagram).payload
        except WireError:
            self.malformed += 1
            return None

    def handle_answer(self, answer: Report | Unchanged | Status) -> None:
        """Apply an answer and send the inquiries that it makes due."""
        now = asyncio.get_running_loop().time()
        self.reports += 1
        self._heard_at = now
        try:
            result = self.inquirer.handle_answer(answer, now)
        except WireError:
            self.malformed += 1
            return
        self._on_result(result)
        if self.inquirer.next_due_at() <= now:
            self._send(self.inquirer.due_inquiries(now, self._own_record()))

    def tick(self, now: float) -> float:
        """Send the inquiries that are due; refresh the agents when it is time.

        Returns
        -------
        float
            Seconds until the next call.
        """
        self._send(self.inquirer.due_inquiries(now, self._own_record()))
        self._log_dependency(now)
        self._check_confirmation(now)
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_INTERVAL
            changed = self.inquirer.view.refresh(now)
            self._on_result(InquiryResult(tuple(changed)))
        due_at = min(self.inquirer.next_due_at(), self._refresh_at)
        return max(MIN_PAUSE, due_at - now)

    def send_to_all(self) -> None:
        """Send this process's record to every control instance at once."""
        self._send(self.inquirer.inquiries_to_all(self._own_record()))

    def expedite(self) -> None:
        """Ask sooner than requested, since a caller waits for the result."""
        now = asyncio.get_running_loop().time()
        self.inquirer.expedite(now)
        self._send(self.inquirer.due_inquiries(now, self._own_record()))

    def apply_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the control instances that the settings name."""
        now = asyncio.get_running_loop().time()
        self.inquirer.apply_seeds(seeds, now)

    def send_message(self, message: object, targets: Iterable[Address]) -> None:
        """Send a message that is no inquiry to control instances."""
        if self._socket is None:
            return
        for target in targets:
            self._socket.send(self._codec.seal(message), pair_of(target))

    def _handle_other(self, message: object, source: Address) -> None:
        if self._on_message is None:
            return
        try:
            self._on_message(message, source)
        except WireError:
            self.malformed += 1

    def _own_record(self) -> AgentRecord | None:
        return None if self._make_record is None else self._make_record()

    def _log_dependency(self, now: float) -> None:
        if self._heard_at is None:
            return
        silent_for = now - self._heard_at
        is_lost = silent_for > LOST_AFTER
        if is_lost and not self._is_lost:
            self._log(DependencyLost('control', round(silent_for, 3)))
        elif self._is_lost and not is_lost:
            self._log(DependencyRegained('control'))
        self._is_lost = is_lost

    def _check_confirmation(self, now: float) -> None:
        if self._confirmation is None:
            self._confirmation = ConfirmationMonitor(now, self._log)
        self._confirmation.check(self.inquirer, now)

    def _send(self, inquiries: Iterable[object]) -> None:
        if self._socket is None:
            return
        for outgoing in inquiries:
            frame = self._codec.seal(outgoing.inquiry)
            self._socket.send(frame, pair_of(outgoing.target))
