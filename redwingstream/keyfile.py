"""The key under which processes and operators authenticate each other."""

import os
import pathlib
import stat

from redwingstream.errors import ResultCode, SettingError
from redwingstream.wire.frames import KEY_SIZE_MAX, KEY_SIZE_MIN

_MAX_READ = 4096


def read_key_file(path: pathlib.Path) -> bytes:
    """Read the key from a file that only its owner can read.

    Parameters
    ----------
    path : pathlib.Path
        The file; white space round the key does not count.

    Returns
    -------
    bytes
        The key.

    Raises
    ------
    SettingError
        ``KEY_FILE_OPEN`` when group or others may read or write the file,
        ``BAD_SETTING`` when it cannot be read or the key has a wrong length.

    Notes
    -----
    Whoever has the key can change the tables, so a key file that others can
    read is refused instead of only logged: a warning at start-up is easily
    missed.  The mode is read from the open file, so the file that was checked
    is the file that is read.
    """
    try:
        with path.open('rb') as key_file:
            mode = os.fstat(key_file.fileno()).st_mode
            key = key_file.read(_MAX_READ).strip()
    except OSError as error:
        raise SettingError(
            f'setting --key-file has value {str(path)!r}, which cannot be '
            f'read: {error.strerror}; name a readable file',
        ) from error
    _check_mode(path, mode)
    _check_length(path, key)
    return key


def _check_mode(path: pathlib.Path, mode: int) -> None:
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingError(
            f'setting --key-file has value {str(path)!r}, whose mode is '
            f'{stat.S_IMODE(mode):04o}; allowed: no access for group and '
            f'others; run: chmod 600 {path}',
            ResultCode.KEY_FILE_OPEN,
        )


def _check_length(path: pathlib.Path, key: bytes) -> None:
    if not KEY_SIZE_MIN <= len(key) <= KEY_SIZE_MAX:
        raise SettingError(
            f'setting --key-file has value {str(path)!r}, whose key has '
            f'{len(key)} bytes; allowed: {KEY_SIZE_MIN} to {KEY_SIZE_MAX}; '
            f'make one: openssl rand -hex 16 > {path}',
        )
