"""Checksummed records in a file, and where its damage stands.

A file begins with 8 bytes: a magic number and the format version.  A record
is a marker (2 bytes), its kind (1), the length of its body (4), a CRC-32 over
these and the body (4), and the body.
"""

import struct
import zlib
from collections.abc import Iterable

import attrs

from redwingstream.errors import ResultCode, StorageError

FORMAT_VERSION = 1
MAX_BODY = 67108864

_MAGIC = b'RWSTRM'
_FILE_HEADER = struct.Struct('>6sH')
_MARKER = b'\xa7\x5e'
_RECORD_HEADER = struct.Struct('>2sBII')
_UNSUMMED = struct.Struct('>2sBI')


@attrs.frozen
class StoredRecord:
    """A record as it stands in a file.

    Parameters
    ----------
    kind : int
        What its body is; the user of this module numbers them.
    body : bytes
        The contents.
    """

    kind: int
    body: bytes


@attrs.frozen
class Scan:
    """What was found in a file.

    Parameters
    ----------
    records : tuple of StoredRecord
        All records before the end or the first damage.
    good_size : int
        Bytes up to there.
    damage_inside : bool
        True when a whole record stands behind the damage.
    """

    records: tuple[StoredRecord, ...]
    good_size: int
    damage_inside: bool


def pack_file(records: Iterable[StoredRecord]) -> bytes:
    """Return the contents of a file with these records."""
    header = _FILE_HEADER.pack(_MAGIC, FORMAT_VERSION)
    return b''.join((header, *map(pack_record, records)))


def pack_record(record: StoredRecord) -> bytes:
    """Return the bytes of one record."""
    size = len(record.body)
    checksum = _checksum(record.kind, record.body)
    header = _RECORD_HEADER.pack(_MARKER, record.kind, size, checksum)
    return header + record.body


def scan_file(name: str, contents: bytes) -> Scan:
    """Read a file up to its end or its first damage.

    Parameters
    ----------
    name : str
        Name of the file, for the error text.
    contents : bytes
        All of it.

    Raises
    ------
    StorageError
        ``DATA_VERSION`` when another version wrote it, ``DATA_DAMAGED`` when
        its header is not one.
    """
    _check_header(name, contents)
    records = []
    offset = _FILE_HEADER.size
    record = _record_at(contents, offset)
    while record is not None:
        records.append(record)
        offset += _RECORD_HEADER.size + len(record.body)
        record = _record_at(contents, offset)
    return Scan(tuple(records), offset, _has_record_after(contents, offset))


def _check_header(name: str, contents: bytes) -> None:
    header = contents[: _FILE_HEADER.size].ljust(_FILE_HEADER.size, b'\0')
    magic, version = _FILE_HEADER.unpack(header)
    if magic != _MAGIC:
        raise damaged(name, 'it does not begin with the header of this format')
    if version != FORMAT_VERSION:
        raise StorageError(
            f'{name} has format version {version}; this program reads version '
            f'{FORMAT_VERSION}: start the version that wrote it',
            ResultCode.DATA_VERSION,
        )


def damaged(name: str, what: str) -> StorageError:
    """Return the error for a file that cannot be trusted any more."""
    return StorageError(
        f'{name} is damaged: {what}; move the data folder of this replica '
        'away and start it with an empty one: the others readmit it as a new '
        'replica. Never do so on a majority of the replicas',
        ResultCode.DATA_DAMAGED,
    )


def _record_at(contents: bytes, offset: int) -> StoredRecord | None:
    body_start = offset + _RECORD_HEADER.size
    if body_start > len(contents):
        return None
    marker, kind, size, checksum = _RECORD_HEADER.unpack_from(contents, offset)
    if marker != _MARKER or size > min(MAX_BODY, len(contents) - body_start):
        return None
    body = contents[body_start : body_start + size]
    if _checksum(kind, body) != checksum:
        return None
    return StoredRecord(kind, body)


def _has_record_after(contents: bytes, offset: int) -> bool:
    # A crash damages what was written last, so nothing whole stands behind
    # it.  A whole record behind the damage means that synced bytes changed:
    # to cut there would forget what this replica has acknowledged.
    found = contents.find(_MARKER, offset + 1)
    while found >= 0:
        if _record_at(contents, found) is not None:
            return True
        found = contents.find(_MARKER, found + 1)
    return False


def _checksum(kind: int, body: bytes) -> int:
    return zlib.crc32(
        body, zlib.crc32(_UNSUMMED.pack(_MARKER, kind, len(body)))
    )
