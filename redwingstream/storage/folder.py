"""The file operations that durable state needs, and nothing more."""

from typing import Protocol


class Folder(Protocol):
    """A flat folder of files.

    Notes
    -----
    What is written is durable only after :meth:`sync` of the file, and a new
    or renamed file only after :meth:`sync_names` besides.  Every method raises
    :class:`~redwingstream.errors.StorageError` with code ``DISK_FULL`` or
    ``DISK_FAILED`` when the system refuses.
    """

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None when there is none."""

    def write(self, name: str, contents: bytes) -> None:
        """Make a file with these contents, or replace those it has."""

    def append(self, name: str, contents: bytes) -> None:
        """Add to the end of a file."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a number of bytes."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, source: str, target: str) -> None:
        """Give a file another name; a file of that name is replaced."""

    def sync_names(self) -> None:
        """Make new, renamed and removed names durable."""


def replace_durably(folder: Folder, name: str, contents: bytes) -> None:
    """Replace a file so that after a crash it is the old or the new one.

    Notes
    -----
    A crash while a file is overwritten in place would leave neither.  The new
    contents are synced under another name before they get the real one, and
    the folder is synced before anybody is told.
    """
    fresh = f'{name}.new'
    folder.write(fresh, contents)
    folder.sync(fresh)
    folder.rename(fresh, name)
    folder.sync_names()
