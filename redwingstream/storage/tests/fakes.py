"""Folder in memory that simulates crashes and failures of a disk."""

import random

import attrs

from redwingstream.errors import ResultCode, StorageError

FLIPPED_BITS = 0xFF


class PowerCutError(Exception):
    """The power fails at this file operation."""


@attrs.define
class FakeFile:
    """Contents of a file, as written and as last synced."""

    contents: bytes = b''
    synced: bytes = b''


class FakeFolder:
    """Folder whose unsynced contents and names may be lost in a crash.

    Parameters
    ----------
    rng : random.Random
        Decides which unsynced bytes and names are left after a crash.

    Attributes
    ----------
    operations_left : int or None
        Number of operations until the power fails; None for never.
    failure : ResultCode or None
        Code of the error that every operation raises; None for no errors.
    appended_bytes : int
        Number of bytes appended so far.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._file_by_name: dict[str, FakeFile] = {}
        self._synced_by_name: dict[str, FakeFile] = {}
        self.operations_left: int | None = None
        self.failure: ResultCode | None = None
        self.appended_bytes = 0

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None if it does not exist."""
        found = self._file_by_name.get(name)
        return None if found is None else found.contents

    def write(self, name: str, contents: bytes) -> None:
        """Create a file with these contents."""
        self._operate()
        self._file_by_name[name] = FakeFile(contents)

    def append(self, name: str, contents: bytes) -> None:
        """Append to a file; half is written if the operation fails."""
        file = self._file_by_name.setdefault(name, FakeFile())
        self.appended_bytes += len(contents)
        try:
            self._operate()
        except StorageError:
            file.contents += contents[: len(contents) // 2]
            raise
        file.contents += contents

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file."""
        self._operate()
        file = self._file_by_name[name]
        file.contents = file.contents[:size]

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        self._operate()
        file = self._file_by_name[name]
        file.synced = file.contents

    def rename(self, source: str, target: str) -> None:
        """Rename a file."""
        self._operate()
        self._file_by_name[target] = self._file_by_name.pop(source)

    def sync_directory(self) -> None:
        """Make the names of files durable."""
        self._operate()
        self._synced_by_name = dict(self._file_by_name)

    def crash(self) -> None:
        """Restore what is left after a power cut."""
        self.operations_left = None
        self.failure = None
        if self._rng.getrandbits(1):
            self._file_by_name = dict(self._synced_by_name)
        self._synced_by_name = dict(self._file_by_name)
        for file in self._file_by_name.values():
            file.contents = self._contents_after_crash(file)
            file.synced = file.contents

    def corrupt(self, name: str, offset: int) -> None:
        """Flip the bits of one synced byte."""
        file = self._file_by_name[name]
        corrupted = bytearray(file.contents)
        corrupted[offset] ^= FLIPPED_BITS
        file.contents = bytes(corrupted)
        file.synced = file.contents

    def remove(self, name: str) -> None:
        """Remove a file, as an operator might do by hand."""
        self._file_by_name.pop(name)
        self._synced_by_name.pop(name, None)

    def _operate(self) -> None:
        if self.failure is not None:
            raise StorageError('the fake folder fails', self.failure)
        if self.operations_left is None:
            return
        if self.operations_left == 0:
            raise PowerCutError
        self.operations_left -= 1

    def _contents_after_crash(self, file: FakeFile) -> bytes:
        if not file.contents.startswith(file.synced):
            # The file was truncated without a sync: the longer one comes back.
            return file.synced
        unsynced = file.contents[len(file.synced) :]
        left = unsynced[: self._rng.randint(0, len(unsynced))]
        if left and self._rng.getrandbits(1):
            # Sectors are written in any order: the size of the file may be
            # updated before its contents.
            left = bytes(len(left))
        return file.synced + left
