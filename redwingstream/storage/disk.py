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


SyncCallback = Callable[[float], None]


def _ignore_sync(seconds: float) -> None:
    """Ignore the duration of a sync."""


class DiskFolder:
    """Data folder on disk; see :class:`redwingstream.storage.folder.Folder`.

    Parameters
    ----------
    path : Path
        Existing folder; :func:`open_folder` creates and locks it.
    on_sync : callable
        Called with the duration of each sync of a file in seconds.

    Notes
    -----
    The file that was last appended to stays open, since opening it for each
    record would double the number of system calls of a synced append.
    """

    def __init__(self, path: Path, on_sync: SyncCallback) -> None:
        self._path = path
        self._on_sync = on_sync
        self._open_name = ''
        self._open_file = -1

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None if it does not exist."""
        with _translated_errors(f'read {name}'):
            try:
                return (self._path / name).read_bytes()
            except FileNotFoundError:
                return None

    def write(self, name: str, contents: bytes) -> None:
        """Create a file with these contents, or overwrite it."""
        self.close()
        with _translated_errors(f'write {name}'):
            (self._path / name).write_bytes(contents)

    def append(self, name: str, contents: bytes) -> None:
        """Append to a file."""
        with _translated_errors(f'append to {name}'):
            _write_all(self._descriptor(name), contents)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        with _translated_errors(f'truncate {name}'):
            os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        started_at = time.monotonic()
        with _translated_errors(f'sync {name}'):
            os.fdatasync(self._descriptor(name))
        self._on_sync(time.monotonic() - started_at)

    def rename(self, source: str, target: str) -> None:
        """Rename a file; an existing file of the new name is replaced."""
        self.close()
        with _translated_errors(f'rename {source}'):
            (self._path / source).replace(self._path / target)

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        with (
            _translated_errors('sync the data folder'),
            _open_directory(self._path) as descriptor,
        ):
            os.fsync(descriptor)

    def close(self) -> None:
        """Close the open file, if any."""
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
    path: Path, on_sync: SyncCallback = _ignore_sync
) -> Iterator[DiskFolder]:
    """Create a data folder if necessary, and lock it until the context ends.

    Parameters
    ----------
    path : Path
        The data folder.
    on_sync : callable, optional
        Called with the duration of each sync of a file in seconds.

    Yields
    ------
    DiskFolder
        File operations on the folder.

    Raises
    ------
    StorageError
        If the folder cannot be created, or another process has locked it.

    Notes
    -----
    Two processes that write to one folder would mix their records.  The
    operating system releases the lock when its holder ends for any reason.
    """
    with _translated_errors(f'open {path.name}'):
        path.mkdir(parents=True, exist_ok=True)
        lock = os.open(path / _LOCK_NAME, os.O_RDWR | os.O_CREAT, _OWNER_ONLY)
    folder = DiskFolder(path, on_sync)
    try:
        _acquire_lock(lock, path)
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


def _acquire_lock(lock: int, path: Path) -> None:
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
def _translated_errors(action: str) -> Iterator[None]:
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
