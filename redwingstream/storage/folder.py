"""Interface of the file operations that durable state needs."""

from typing import Protocol


class Folder(Protocol):
    """Folder of files without subfolders.

    Notes
    -----
    Contents are durable only after :meth:`sync` of the file; a new or renamed
    file also needs :meth:`sync_directory`.  Every method raises
    :class:`~redwingstream.errors.StorageError` with code ``DISK_FULL`` or
    ``DISK_FAILED`` if the operating system reports an error.
    """

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None if it does not exist."""

    def write(self, name: str, contents: bytes) -> None:
        """Create a file with these contents, or overwrite it."""

    def append(self, name: str, contents: bytes) -> None:
        """Append to a file."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, source: str, target: str) -> None:
        """Rename a file; an existing file of the new name is replaced."""

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""


def replace_durably(folder: Folder, name: str, contents: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new one.

    Notes
    -----
    A crash while a file is overwritten in place could leave neither.  The new
    contents are synced in a temporary file, which is then renamed, and the
    directory is synced before this function returns.
    """
    temporary_name = f'{name}.new'
    folder.write(temporary_name, contents)
    folder.sync(temporary_name)
    folder.rename(temporary_name, name)
    folder.sync_directory()
