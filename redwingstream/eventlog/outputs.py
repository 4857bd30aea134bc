"""Outputs of the event log that never block the caller.

A pipe or terminal is written to in non-blocking mode, a regular file by a
thread.
"""

import atexit
import os
import queue
import stat
import threading
from collections.abc import Callable

STDOUT = 1

MAX_QUEUED_LINES = 2000
"""Lines queued for a file.  They take 0.5 MB and last for four seconds in a
process that writes as many lines as its rate limits allow."""

CLOSE_TIMEOUT_SECONDS = 0.5
"""Seconds that a process that exits waits for space in the queue, and then
again for its last lines to be written.  A stalled disk must not keep the
process from exiting in time."""

Sink = Callable[[bytes], bool]
Write = Callable[[bytes], int]


def standard_output() -> Sink:
    """Return a sink that writes to standard output and never blocks.

    Returns
    -------
    callable
        Writes a line; returns False if the line is dropped.

    Notes
    -----
    A pipe or a terminal is set to non-blocking mode; a line is dropped when it
    is full.  Regular files have no such mode: a write blocks as long as the
    disk stalls, so a thread writes to them.
    """
    if not stat.S_ISREG(os.fstat(STDOUT).st_mode):
        os.set_blocking(STDOUT, False)
        return write_without_blocking
    writer = FileWriter(lambda line: os.write(STDOUT, line))
    atexit.register(writer.close)
    return writer.put


def write_without_blocking(line: bytes) -> bool:
    """Write a line to standard output; return whether all was written."""
    try:
        return os.write(STDOUT, line) == len(line)
    except OSError:
        # The pipe is full or its reader has exited; the event log counts the
        # lost line.
        return False


class FileWriter:
    """Writes lines in a thread of its own, from a bounded queue.

    Parameters
    ----------
    write : callable
        Writes bytes and returns how many it wrote; may block for long.

    Notes
    -----
    If the event loop wrote to a file on a stalled disk, the process would
    block, and all flows that pass through it.  Here only the thread blocks.
    Lines beyond ``MAX_QUEUED_LINES`` are rejected, and the event log counts
    them.
    """

    def __init__(self, write: Write) -> None:
        self._write = write
        self._failures = 0
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, line: bytes) -> bool:
        """Queue a line; return False if it or an earlier line is lost.

        The thread finds a write error only after the line has been accepted.
        A later line is rejected for each such error, so that the event log
        counts as many lines as are missing.

        Parameters
        ----------
        line : bytes
            The line, with its line end.

        Returns
        -------
        bool
            False if the queue is full or an earlier write has failed.
        """
        if self._failures:
            self._failures -= 1
            return False
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            return False
        return True

    def close(self) -> None:
        """Wait until all lines are written, within a time limit."""
        try:
            self._queue.put(None, timeout=CLOSE_TIMEOUT_SECONDS)
        except queue.Full:
            # The thread is blocked in a write and does not empty the queue.
            return
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _run(self) -> None:
        line = self._queue.get()
        while line is not None:
            try:
                self._write_all(line)
            except OSError:
                self._failures += 1
            line = self._queue.get()

    def _write_all(self, line: bytes) -> None:
        while line:
            line = line[self._write(line) :]
