"""What every role of a process has: its log, its clock, its stop."""

import asyncio
import contextlib
import hashlib
import logging
import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs

from redwingstream.eventlog.lines import EventLog, event
from redwingstream.eventlog.outputs import standard_output
from redwingstream.fleet.delays import DelayWatch
from redwingstream.fleet.deployment import Deployment
from redwingstream.wire.frames import FrameCodec

RELOAD_EVERY = 1.0
"""Seconds between two looks at the settings file, which may change without a
signal."""


@event
class ProcessStarted:
    """The process has started."""

    host: str
    seeds: str
    is_first_start: bool
    data_folder: str


@event
class ProcessReady:
    """The process can do its work."""

    after: float


@event
class ProcessStopping:
    """The process was asked to stop."""

    reason: str


@event
class ProcessStopped:
    """The process ends."""

    ran_for: float


@event
class SettingsReloaded:
    """The settings file has changed."""

    seeds: str


@event
class UnexpectedError:
    """Something raised an error that nobody handled."""

    where: str
    error: str


KEY_SIZE = 32
"""Bytes of the key of frames; BLAKE2b takes 16 to 64."""


@event
class LibraryLogged:
    """A line of a library or of a module that several products share."""

    logger: str
    level: str
    text: str


class _ToEventLog(logging.Handler):
    """Hands lines of the standard library's loggers to the event log."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.INFO)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        text = record.getMessage()
        self._log.write(LibraryLogged(record.name, record.levelname, text))


Reader = Callable[[], Deployment]


@attrs.frozen
class Duty:
    """Something that a process does again and again.

    Parameters
    ----------
    name : str
        For the log, when it raises an error.
    act : callable
        Takes the time, returns in how many seconds it wants to be called
        again.
    """

    name: str
    act: Callable[[float], float]


FAILED_PAUSE = 0.1
"""Seconds after which a duty that has raised an error is carried out again."""


class Timer:
    """Carries out one duty when it is due.

    A timer of the loop calls the duty itself: a task that sleeps in between
    takes two turns of the loop for each call.
    """

    def __init__(self, process: 'Process', duty: Duty) -> None:
        self._process = process
        self._duty = duty
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_soon(self._run)

    def cancel(self) -> None:
        """Carry it out no more."""
        self._handle.cancel()

    def _run(self) -> None:
        pause = FAILED_PAUSE
        try:
            pause = self._duty.act(self._loop.time())
        except Exception as error:  # an error of one duty stops no other one
            self._process.log_error(self._duty.name, error)
        self._handle = self._loop.call_later(pause, self._run)


class Process:
    """What every role of a process has.

    Parameters
    ----------
    deployment : Deployment
        What it was told at its start.
    role : str
        What it does.
    reread : callable
        Returns the settings as they are now.
    """

    def __init__(
        self, deployment: Deployment, role: str, reread: Reader
    ) -> None:
        loop = asyncio.get_running_loop()
        self.deployment = deployment
        self.clock = loop.time
        self.started_at = loop.time()
        self.log = EventLog(deployment.node, role, loop.time, standard_output())
        logging.basicConfig(
            level=logging.INFO, handlers=(_ToEventLog(self.log),)
        )
        self.delay_watch = DelayWatch(self.log.write)
        self.codec = FrameCodec(_key(deployment))
        self.stopping = asyncio.Event()
        self._reread = reread
        self._watched: list[Callable[[Deployment], None]] = []
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop, number)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.set_exception_handler(self._report)
        self.log.write(
            ProcessStarted(
                deployment.host,
                ','.join(deployment.seeds),
                deployment.is_first_start,
                str(deployment.data_folder or ''),
            ),
        )

    def when_reloaded(self, act: Callable[[Deployment], None]) -> None:
        """Have something called when the settings have changed."""
        self._watched.append(act)

    def reload(self) -> None:
        """Read the settings again; go by them when they differ."""
        try:
            fresh = self._reread()
        except (OSError, ValueError) as error:
            self.log_error('settings', error)
            return
        if fresh == self.deployment:
            return
        self.deployment = fresh
        self.log.write(SettingsReloaded(','.join(fresh.seeds)))
        for act in self._watched:
            act(fresh)

    def log_error(self, where: str, error: Exception) -> None:
        """Write an error that nobody handled."""
        text = f'{type(error).__name__}: {error}'
        self.log.write(UnexpectedError(where, text))

    @contextlib.contextmanager
    def running(self, *duties: Duty) -> Iterator[None]:
        """Carry out duties again and again until the end of the block."""
        own = (
            Duty('reload', self._reload_later),
            Duty('delay', self.delay_watch.look),
        )
        timers = [Timer(self, duty) for duty in (*duties, *own)]
        try:
            yield
        finally:
            self._end(timers)

    def _reload_later(self, now: float) -> float:
        self.reload()
        return RELOAD_EVERY

    def _end(self, timers: list[Timer]) -> None:
        for timer in timers:
            timer.cancel()
        ran_for = round(self.clock() - self.started_at, 3)
        self.log.write(ProcessStopped(ran_for))

    def _stop(self, number: int) -> None:
        self.log.write(ProcessStopping(signal.Signals(number).name))
        self.stopping.set()

    def _report(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        error = context.get('exception')
        text = str(context.get('message'))
        if isinstance(error, Exception):
            text = f'{text}: {type(error).__name__}: {error}'
        self.log.write(UnexpectedError('loop', text))


def read_file(path: Path) -> str:
    """Return the text of a file."""
    return path.read_text()


def _key(deployment: Deployment) -> bytes:
    # Nothing secret is shared between the processes: the instances' network is
    # their own.  The key keeps apart what another deployment might send, and
    # finds damaged frames.
    ports = f'{deployment.first_port}-{deployment.last_port}'
    digest = hashlib.blake2b(ports.encode(), digest_size=KEY_SIZE)
    return digest.digest()
