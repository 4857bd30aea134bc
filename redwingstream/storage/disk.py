"""File operations on a real data folder."""

import contextlib
import errno
import fcntl
import os
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from redwingstream.errors import ResultCode, StorageError

_LOCK_NAME = 'lock'
_OWNER_ONLY = 0o600
_FULL_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT))


SyncNoted = Callable[[float], None]


def _not_noted(seconds: float) -> None:
    """Leave the time of a sync alone."""


class DiskFolder:
    """A data folder; see :class:`redwingstream.storage.folder.Folder`.

    Parameters
    ----------
    path : Path
        Existing folder; :func:`open_folder` makes and locks it.
    sync_noted : callable
        Takes how many seconds each sync of a file took.

    Notes
    -----
    The file that was appended to last stays open, since opening it for each
    record would double the system calls of a synced append.
    """

    def __init__(self, path: Path, sync_noted: SyncNoted) -> None:
        self._path = path
        self._sync_noted = sync_noted
        self._open_name = ''
        self._open_file = -1

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None when there is none."""
        with _reported(f'read {name}'):
            try:
                return (self._path / name).read_bytes()
            except FileNotFoundError:
                return None

    def write(self, name: str, contents: bytes) -> None:
        """Make a file with these contents, or replace those it has."""
        self.close()
        with _reported(f'write {name}'):
            (self._path / name).write_bytes(contents)

    def append(self, name: str, contents: bytes) -> None:
        """Add to the end of a file."""
        with _reported(f'append to {name}'):
            _write_all(self._descriptor(name), contents)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a number of bytes."""
        with _reported(f'truncate {name}'):
            os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        begun = time.monotonic()
        with _reported(f'sync {name}'):
            os.fdatasync(self._descriptor(name))
        self._sync_noted(time.monotonic() - begun)

    def rename(self, source: str, target: str) -> None:
        """Give a file another name; a file of that name is replaced."""
        self.close()
        with _reported(f'rename {source}'):
            (self._path / source).replace(self._path / target)

    def sync_names(self) -> None:
        """Make new, renamed and removed names durable."""
        with (
            _reported('sync the data folder'),
            _open_directory(self._path) as descriptor,
        ):
            os.fsync(descriptor)

    def close(self) -> None:
        """Close the file that is open, if any."""
        if self._open_file >= 0:
            os.close(self._open_file)
            self._open_file = -1
            self._open_name = ''

    def _descriptor(self, name: str) -> int:
        if name != self._open_name:
            self.close()
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open_file = os.open(self._path / name, flags, _OWNER_ONLY)
            self._open_name = name
        return self._open_file


@contextlib.contextmanager
def open_folder(
    path: Path, sync_noted: SyncNoted = _not_noted
) -> Iterator[DiskFolder]:
    """Make a data folder if there is none, lock it, and release it at the end.

    Parameters
    ----------
    path : Path
        The data folder.
    sync_noted : callable, optional
        Takes how many seconds each sync of a file took.

    Yields
    ------
    DiskFolder
        Its file operations.

    Raises
    ------
    StorageError
        When it cannot be made, or another process has it open.

    Notes
    -----
    Two processes on one folder would mix their records.  The system releases
    the lock when its holder dies, however it dies.
    """
    with _reported(f'open {path.name}'):
        path.mkdir(parents=True, exist_ok=True)
        lock = os.open(path / _LOCK_NAME, os.O_RDWR | os.O_CREAT, _OWNER_ONLY)
    folder = DiskFolder(path, sync_noted)
    try:
        _take_lock(lock, path)
        yield folder
    finally:
        folder.close()
        os.close(lock)


@contextlib.contextmanager
def _open_directory(path: Path) -> Iterator[int]:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _take_lock(lock: int, path: Path) -> None:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        raise StorageError(
            f'data folder {path.name} is in use by another process; each '
            'control instance needs a folder of its own',
        ) from error


def _write_all(descriptor: int, contents: bytes) -> None:
    rest = memoryview(contents)
    while rest:
        written = os.write(descriptor, rest)
        rest = rest[written:]


@contextlib.contextmanager
def _reported(action: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        if error.errno in _FULL_ERRORS:
            raise StorageError(
                f'cannot {action}: the disk is full; free space and start '
                'this replica again, nothing accepted is lost',
                ResultCode.DISK_FULL,
            ) from error
        raise StorageError(
            f'cannot {action}: {error.strerror}; check the disk and start '
            'this replica again',
        ) from error
