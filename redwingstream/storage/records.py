"""Files of checksummed records, and detection of damage in them.

A file starts with 8 bytes: a magic number and the format version.  A record
consists of a marker (2 bytes), its kind (1 byte), the length of its body (4
bytes), a CRC-32 over these and the body (4 bytes), and the body.
"""

import struct
import zlib
from collections.abc import Iterable

import attrs

from redwingstream.errors import ResultCode, StorageError

FORMAT_VERSION = 1
# Maximum size of the body of a record in bytes.
MAX_BODY = 67108864

_MAGIC = b'RWSTRM'
_FILE_HEADER = struct.Struct('>6sH')
_MARKER = b'\xa7\x5e'
_RECORD_HEADER = struct.Struct('>2sBII')
_CHECKSUMMED_HEADER = struct.Struct('>2sBI')


@attrs.frozen
class StoredRecord:
    """Record of a file.

    Parameters
    ----------
    kind : int
        Kind of its body, a number that users of this module assign.
    body : bytes
        Contents of the record.
    """

    kind: int
    body: bytes


@attrs.frozen
class Scan:
    """Result of reading a file.

    Parameters
    ----------
    records : tuple of StoredRecord
        All records before the end or the first damage.
    valid_size : int
        Number of bytes before the end or the first damage.
    is_damaged_inside : bool
        True if a valid record follows the damage.
    """

    records: tuple[StoredRecord, ...]
    valid_size: int
    is_damaged_inside: bool


def pack_file(records: Iterable[StoredRecord]) -> bytes:
    """Encode a file with these records."""
    header = _FILE_HEADER.pack(_MAGIC, FORMAT_VERSION)
    return b''.join((header, *map(pack_record, records)))


def pack_record(record: StoredRecord) -> bytes:
    """Encode a record."""
    size = len(record.body)
    checksum = _checksum(record.kind, record.body)
    header = _RECORD_HEADER.pack(_MARKER, record.kind, size, checksum)
    return header + record.body


def scan_file(name: str, contents: bytes) -> Scan:
    """Read a file up to its end or its first damage.

    Parameters
    ----------
    name : str
        Name of the file, for error messages.
    contents : bytes
        Contents of the whole file.

    Raises
    ------
    StorageError
        ``DATA_VERSION`` if another version of the program wrote the file,
        ``DATA_DAMAGED`` if its header is invalid.
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
        raise damage_error(
            name, 'it does not begin with the header of this format'
        )
    if version != FORMAT_VERSION:
        raise StorageError(
            f'{name} has format version {version}; this program reads version '
            f'{FORMAT_VERSION}: start the version that wrote it',
            ResultCode.DATA_VERSION,
        )


def damage_error(name: str, details: str) -> StorageError:
    """Return the error for a damaged file."""
    return StorageError(
        f'{name} is damaged: {details}; move the data folder of this replica '
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
    # A crash damages only what was written last, which no valid record follows.
    # A valid record after the damage means that synced bytes have changed:
    # truncating the file there would drop what this replica has acknowledged.
    marker_offset = contents.find(_MARKER, offset + 1)
    while marker_offset >= 0:
        if _record_at(contents, marker_offset) is not None:
            return True
        marker_offset = contents.find(_MARKER, marker_offset + 1)
    return False


def _checksum(kind: int, body: bytes) -> int:
    return zlib.crc32(
        body, zlib.crc32(_CHECKSUMMED_HEADER.pack(_MARKER, kind, len(body)))
    )
