"""Lines written to a file whose disk may stall."""

import threading

import pytest

from redwingstream.eventlog.outputs import MAX_QUEUED_LINES, FileWriter

WAIT_SECONDS = 10.0
"""Seconds that a test waits for a thread before it fails."""


class _Disk:
    """A disk that writes a few bytes per call and can stall or be full."""

    def __init__(self, bytes_per_write: int = 5) -> None:
        self.written = b''
        self.is_full = False
        self._bytes_per_write = bytes_per_write
        self._is_running = threading.Event()
        self._is_running.set()
        self.write_started = threading.Event()

    def stall(self) -> None:
        self._is_running.clear()

    def resume(self) -> None:
        self._is_running.set()

    def write(self, line: bytes) -> int:
        self.write_started.set()
        assert self._is_running.wait(WAIT_SECONDS)
        if self.is_full:
            raise OSError('no space left')
        part = line[: self._bytes_per_write]
        self.written += part
        return len(part)


class TestFileWriter:
    """A log file on a disk that stalls, fills up or writes in parts."""

    @pytest.fixture
    def disk(self) -> _Disk:
        return _Disk()

    @pytest.fixture
    def writer(self, disk: _Disk) -> FileWriter:
        return FileWriter(disk.write)

    def test_writes_all_lines_in_order(self, writer, disk) -> None:
        lines = [b'line %d\n' % number for number in range(50)]
        assert all(writer.put(line) for line in lines)
        writer.close()
        assert disk.written == b''.join(lines)

    def test_accepts_lines_while_the_disk_stalls(self, writer, disk) -> None:
        """A stalled disk does not block the process.

        If a process itself wrote to its log file, a disk that stalls for three
        seconds would block the process, and with it all flows of the instance.
        """
        disk.stall()
        lines = [b'%d\n' % number for number in range(MAX_QUEUED_LINES)]
        assert all(writer.put(line) for line in lines)
        disk.resume()
        writer.close()
        assert disk.written == b''.join(lines)

    def test_rejects_lines_when_the_queue_is_full(self, writer, disk) -> None:
        disk.stall()
        writer.put(b'first\n')
        assert disk.write_started.wait(WAIT_SECONDS)
        accepted = [writer.put(b'line\n') for _ in range(MAX_QUEUED_LINES + 10)]
        assert accepted.count(False) == 10
        disk.resume()

    def test_close_returns_although_the_disk_stalls(self, writer, disk) -> None:
        disk.stall()
        writer.put(b'last\n')
        writer.close()
        assert disk.written == b''
        disk.resume()

    def test_reports_lines_lost_by_write_errors(self, writer, disk) -> None:
        disk.is_full = True
        assert writer.put(b'lost\n')
        writer.close()
        assert not writer.put(b'next\n')
