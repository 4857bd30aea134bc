"""Parts that every role has: log, clock, signals, periodic tasks."""

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
from redwingstream.fleet.delays import DelayMonitor
from redwingstream.fleet.deployment import Deployment
from redwingstream.wire.frames import FrameCodec

RELOAD_INTERVAL = 1.0
"""Seconds between two reads of the settings file, which may change without a
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
    """The process is ready to serve."""

    after: float


@event
class ProcessStopping:
    """The process was asked to stop."""

    reason: str


@event
class ProcessStopped:
    """The process exits."""

    ran_for: float


@event
class SettingsReloaded:
    """The settings file has changed."""

    seeds: str


@event
class UnexpectedError:
    """An error was raised that no code handled."""

    where: str
    error: str


KEY_SIZE = 32
"""Size in bytes of the key that authenticates frames; BLAKE2b takes 16
to 64."""


@event
class LibraryLogged:
    """A library or shared module has logged a line by standard logging."""

    logger: str
    level: str
    text: str


class _EventLogHandler(logging.Handler):
    """Forwards lines of the standard loggers to the event log."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.INFO)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        text = record.getMessage()
        self._log.write(LibraryLogged(record.name, record.levelname, text))


ReadDeployment = Callable[[], Deployment]


@attrs.frozen
class PeriodicTask:
    """A function that a process calls periodically.

    Parameters
    ----------
    name : str
        Name in the log when it raises an error.
    run : callable
        Called with the current time in seconds, by the event loop's clock;
        returns the seconds until the next call.
    """

    name: str
    run: Callable[[float], float]


RETRY_PAUSE = 0.1
"""Seconds after which a task that has raised an error is run again."""


class PeriodicTimer:
    """Runs one periodic task when it is due.

    A timer of the event loop calls the task directly: an asyncio task that
    sleeps between calls takes two iterations of the loop for each call.
    """

    def __init__(self, process: 'Process', task: PeriodicTask) -> None:
        self._process = process
        self._task = task
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_soon(self._run)

    def cancel(self) -> None:
        """Stop running the task."""
        self._handle.cancel()

    def _run(self) -> None:
        pause = RETRY_PAUSE
        try:
            pause = self._task.run(self._loop.time())
        except Exception as error:  # an error of one task does not stop others
            self._process.log_error(self._task.name, error)
        self._handle = self._loop.call_later(pause, self._run)


class Process:
    """Parts that every role of a process has.

    Parameters
    ----------
    deployment : Deployment
        Settings at the start.
    role : str
        Role of the process, for the log.
    read_deployment : callable
        Reads the current settings.

    Attributes
    ----------
    clock : callable
        Returns the time in seconds, by the event loop's clock.
    started_at : float
        Time of the start by this clock.
    log : EventLog
        Log of the process.
    delay_monitor : DelayMonitor
        Detects times in which the process did not run.
    codec : FrameCodec
        Seals and opens frames between processes.
    stopping : asyncio.Event
        Set when the process was asked to stop.
    """

    def __init__(
        self, deployment: Deployment, role: str, read_deployment: ReadDeployment
    ) -> None:
        loop = asyncio.get_running_loop()
        self.deployment = deployment
        self.clock = loop.time
        self.started_at = loop.time()
        self.log = EventLog(deployment.node, role, loop.time, standard_output())
        logging.basicConfig(
            level=logging.INFO, handlers=(_EventLogHandler(self.log),)
        )
        self.delay_monitor = DelayMonitor(self.log.write)
        self.codec = FrameCodec(_frame_key(deployment))
        self.stopping = asyncio.Event()
        self._read_deployment = read_deployment
        self._reload_callbacks: list[Callable[[Deployment], None]] = []
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                signal_number, self._handle_stop_signal, signal_number
            )
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.set_exception_handler(self._handle_loop_error)
        self.log.write(
            ProcessStarted(
                deployment.host,
                ','.join(deployment.seeds),
                deployment.is_first_start,
                str(deployment.data_folder or ''),
            ),
        )

    def on_reload(self, callback: Callable[[Deployment], None]) -> None:
        """Register a callback for changes of the settings."""
        self._reload_callbacks.append(callback)

    def reload(self) -> None:
        """Read the settings again; notify the callbacks when they differ."""
        try:
            newest = self._read_deployment()
        except (OSError, ValueError) as error:
            self.log_error('settings', error)
            return
        if newest == self.deployment:
            return
        self.deployment = newest
        self.log.write(SettingsReloaded(','.join(newest.seeds)))
        for callback in self._reload_callbacks:
            callback(newest)

    def log_error(self, where: str, error: Exception) -> None:
        """Log an error that no code handled."""
        text = f'{type(error).__name__}: {error}'
        self.log.write(UnexpectedError(where, text))

    @contextlib.contextmanager
    def running(self, *tasks: PeriodicTask) -> Iterator[None]:
        """Run periodic tasks until the end of the block."""
        own_tasks = (
            PeriodicTask('reload', self._reload_periodically),
            PeriodicTask('delay', self.delay_monitor.check),
        )
        timers = [PeriodicTimer(self, task) for task in (*tasks, *own_tasks)]
        try:
            yield
        finally:
            self._stop_timers(timers)

    def _reload_periodically(self, now: float) -> float:
        self.reload()
        return RELOAD_INTERVAL

    def _stop_timers(self, timers: list[PeriodicTimer]) -> None:
        for timer in timers:
            timer.cancel()
        ran_for = round(self.clock() - self.started_at, 3)
        self.log.write(ProcessStopped(ran_for))

    def _handle_stop_signal(self, signal_number: int) -> None:
        self.log.write(ProcessStopping(signal.Signals(signal_number).name))
        self.stopping.set()

    def _handle_loop_error(
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


def _frame_key(deployment: Deployment) -> bytes:
    # The key is not secret: the network of the instances is private.  It
    # rejects frames of another deployment and detects damaged ones.
    ports = f'{deployment.first_port}-{deployment.last_port}'
    digest = hashlib.blake2b(ports.encode(), digest_size=KEY_SIZE)
    return digest.digest()
