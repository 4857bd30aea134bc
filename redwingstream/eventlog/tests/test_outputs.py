"""Lines that go to a file whose disk may stall."""

import threading

import pytest

from redwingstream.eventlog.outputs import MAX_WAITING, FileWriter

LIMIT = 10.0
"""Seconds after which a test that waits has failed."""


class _Disk:
    """Takes bytes, a few at a time, unless it stalls."""

    def __init__(self, at_once: int = 5) -> None:
        self.taken = b''
        self.is_full = False
        self._at_once = at_once
        self._works = threading.Event()
        self._works.set()
        self.asked = threading.Event()

    def stall(self) -> None:
        self._works.clear()

    def go_on(self) -> None:
        self._works.set()

    def write(self, line: bytes) -> int:
        self.asked.set()
        assert self._works.wait(LIMIT)
        if self.is_full:
            raise OSError('no space left')
        part = line[: self._at_once]
        self.taken += part
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
        assert disk.taken == b''.join(lines)

    def test_goes_on_while_the_disk_stalls(self, writer, disk) -> None:
        """All flows of an instance stand still for three seconds.

        Its processes write their logs to files.  The disk stalls, the next
        line waits for it, and the process with it.
        """
        disk.stall()
        lines = [b'%d\n' % number for number in range(MAX_WAITING)]
        assert all(writer.put(line) for line in lines)
        disk.go_on()
        writer.close()
        assert disk.taken == b''.join(lines)

    def test_refuses_lines_once_too_many_wait(self, writer, disk) -> None:
        disk.stall()
        writer.put(b'first\n')
        assert disk.asked.wait(LIMIT)
        taken = [writer.put(b'line\n') for _ in range(MAX_WAITING + 10)]
        assert taken.count(False) == 10
        disk.go_on()

    def test_a_process_ends_although_the_disk_stalls(
        self, writer, disk
    ) -> None:
        disk.stall()
        writer.put(b'last\n')
        writer.close()
        assert disk.taken == b''
        disk.go_on()

    def test_says_that_lines_are_missing(self, writer, disk) -> None:
        disk.is_full = True
        assert writer.put(b'lost\n')
        writer.close()
        assert not writer.put(b'next\n')
