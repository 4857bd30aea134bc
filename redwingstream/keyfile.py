"""Reads the shared key by which processes and operators authenticate."""

import os
import pathlib
import stat

from redwingstream.errors import ResultCode, SettingError
from redwingstream.wire.frames import KEY_SIZE_MAX, KEY_SIZE_MIN

_MAX_READ_BYTES = 4096


def read_key_file(path: pathlib.Path) -> bytes:
    """Read the key from a file to which only its owner has access.

    Parameters
    ----------
    path : pathlib.Path
        The file; white space around the key is ignored.

    Returns
    -------
    bytes
        The key.

    Raises
    ------
    SettingError
        With ``KEY_FILE_OPEN`` if group or others have any access to the file,
        with ``BAD_SETTING`` if it cannot be read or the length of the key is
        not allowed.

    Notes
    -----
    Whoever has the key can change the tables.  A key file that others can read
    is therefore an error and not just a warning, which is easily missed at
    start-up.  The mode is read from the open file, so that the file checked is
    the file read.
    """
    try:
        with path.open('rb') as key_file:
            mode = os.fstat(key_file.fileno()).st_mode
            key = key_file.read(_MAX_READ_BYTES).strip()
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
