"""A folder in memory that keeps only what was synced."""

import random

import attrs

from redwingstream.errors import ResultCode, StorageError

FLIPPED_BITS = 0xFF


class PowerCutError(Exception):
    """The machine stops at this very operation."""


@attrs.define
class FakeFile:
    """Contents as written, and how many bytes of them are synced."""

    contents: bytes = b''
    synced: bytes = b''


class FakeFolder:
    """A folder whose unsynced bytes and names a crash may drop or tear.

    Parameters
    ----------
    chance : random.Random
        Decides what a crash leaves of unsynced bytes.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._file_by_name: dict[str, FakeFile] = {}
        self._synced_by_name: dict[str, FakeFile] = {}
        self.operations_left: int | None = None
        self.failure: ResultCode | None = None
        self.appended_bytes = 0

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None when there is none."""
        found = self._file_by_name.get(name)
        return None if found is None else found.contents

    def write(self, name: str, contents: bytes) -> None:
        """Make a file with these contents."""
        self._operate()
        self._file_by_name[name] = FakeFile(contents)

    def append(self, name: str, contents: bytes) -> None:
        """Add to the end of a file; a full disk takes half of it."""
        file = self._file_by_name.setdefault(name, FakeFile())
        self.appended_bytes += len(contents)
        try:
            self._operate()
        except StorageError:
            file.contents += contents[: len(contents) // 2]
            raise
        file.contents += contents

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        self._operate()
        file = self._file_by_name[name]
        file.contents = file.contents[:size]

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        self._operate()
        file = self._file_by_name[name]
        file.synced = file.contents

    def rename(self, source: str, target: str) -> None:
        """Give a file another name."""
        self._operate()
        self._file_by_name[target] = self._file_by_name.pop(source)

    def sync_names(self) -> None:
        """Make names durable."""
        self._operate()
        self._synced_by_name = dict(self._file_by_name)

    def crash(self) -> None:
        """Go back to what a power cut leaves."""
        self.operations_left = None
        self.failure = None
        if self._chance.getrandbits(1):
            self._file_by_name = dict(self._synced_by_name)
        self._synced_by_name = dict(self._file_by_name)
        for file in self._file_by_name.values():
            file.contents = self._left_of(file)
            file.synced = file.contents

    def corrupt(self, name: str, offset: int) -> None:
        """Flip the bits of one synced byte."""
        file = self._file_by_name[name]
        broken = bytearray(file.contents)
        broken[offset] ^= FLIPPED_BITS
        file.contents = bytes(broken)
        file.synced = file.contents

    def remove(self, name: str) -> None:
        """Remove a file, as somebody might by hand."""
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

    def _left_of(self, file: FakeFile) -> bytes:
        if not file.contents.startswith(file.synced):
            # A cut that was not synced: the longer file comes back.
            return file.synced
        unsynced = file.contents[len(file.synced) :]
        left = unsynced[: self._chance.randint(0, len(unsynced))]
        if left and self._chance.getrandbits(1):
            # Sectors reach the disk in any order: the size has grown, the
            # bytes are not there.
            left = bytes(len(left))
        return file.synced + left
