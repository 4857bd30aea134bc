"""Where the lines of the event log go, without waiting for it."""

import atexit
import os
import queue
import stat
import threading
from collections.abc import Callable

STDOUT = 1

MAX_WAITING = 2000
"""Lines that wait for a file, 0.5 MB: four seconds of a process that writes as
many as its budgets let it."""

DRAIN_SECONDS = 0.5
"""For so long, twice at most, a process that ends waits for its last
lines to be written; a stalled disk must not keep it from ending in time."""

Sink = Callable[[bytes], bool]
Write = Callable[[bytes], int]


def standard_output() -> Sink:
    """Return a sink that writes to standard output and never waits.

    Notes
    -----
    A pipe or a terminal is written to at once, or not at all when it is full.
    Files know no such mode: a write to one waits as long as its disk stalls.
    """
    if not stat.S_ISREG(os.fstat(STDOUT).st_mode):
        os.set_blocking(STDOUT, False)
        return write_at_once
    writer = FileWriter(lambda line: os.write(STDOUT, line))
    atexit.register(writer.close)
    return writer.put


def write_at_once(line: bytes) -> bool:
    """Write a line to standard output; return whether it took all of it."""
    try:
        return os.write(STDOUT, line) == len(line)
    except OSError:
        # Nobody reads, or the reader is gone; the log counts it.
        return False


class FileWriter:
    """Writes lines in a thread of its own.

    Parameters
    ----------
    write : callable
        Writes bytes and returns how many it wrote; it may wait for long.

    Notes
    -----
    A process whose log is a file on a stalled disk would stand still with its
    next line, and with it every flow that passes it.  Here only the thread
    waits; lines beyond ``MAX_WAITING`` are refused, and the log counts them.
    """

    def __init__(self, write: Write) -> None:
        self._write = write
        self._failures = 0
        self._waiting: queue.Queue[bytes | None] = queue.Queue(MAX_WAITING)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, line: bytes) -> bool:
        """Have a line written; return False when it, or an earlier one, is not.

        An error of the file shows with a later line only, which then is given
        up in its place, so that the log counts as many as are missing.
        """
        if self._failures:
            self._failures -= 1
            return False
        try:
            self._waiting.put_nowait(line)
        except queue.Full:
            return False
        return True

    def close(self) -> None:
        """Wait a moment until all lines are written."""
        try:
            self._waiting.put(None, timeout=DRAIN_SECONDS)
        except queue.Full:
            # The file takes nothing.
            return
        self._thread.join(DRAIN_SECONDS)

    def _run(self) -> None:
        line = self._waiting.get()
        while line is not None:
            try:
                self._write_all(line)
            except OSError:
                self._failures += 1
            line = self._waiting.get()

    def _write_all(self, line: bytes) -> None:
        while line:
            line = line[self._write(line) :]
