"""Encoding of agents' records: compressed rows without field names.

An uncompressed record takes 120 to 160 bytes, mostly field names; a row takes
about 25 bytes when many are compressed together.  A process that starts reads
the records of the whole fleet.
"""

import zlib
from collections.abc import Iterable
from typing import TypeAlias

import attrs
import msgspec

from redwingstream.directory.messages import AgentRecord, HeardRecord, Readiness
from redwingstream.errors import WireError

MAX_UNPACKED_BYTES = 1048576
"""Maximum size in bytes of the rows of one answer after decompression."""

MS_PER_SECOND = 1000

_COMPRESSION = 1
_Row: TypeAlias = tuple[int, str, str, int, int, Readiness, bool, int, bool]
_decoder = msgspec.msgpack.Decoder(tuple[_Row, ...])


def pack_records(records: Iterable[HeardRecord]) -> bytes:
    """Return records as compressed bytes; empty without records."""
    rows = tuple(map(_to_row, records))
    if not rows:
        return b''
    return zlib.compress(msgspec.msgpack.encode(rows), _COMPRESSION)


def unpack_records(packed: bytes) -> tuple[HeardRecord, ...]:
    """Decode records.

    Raises
    ------
    WireError
        When the bytes are not valid output of :func:`pack_records`.
    """
    if not packed:
        return ()
    try:
        unpacked = zlib.decompressobj().decompress(packed, MAX_UNPACKED_BYTES)
        return tuple(map(_from_row, _decoder.decode(unpacked)))
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(
            f"agents' records of {len(packed)} bytes cannot be read: {error}",
        ) from error


def _to_row(heard: HeardRecord) -> _Row:
    age = round(heard.age * MS_PER_SECOND)
    return (*attrs.astuple(heard.record), age, heard.is_silent)


def _from_row(row: _Row) -> HeardRecord:
    *fields, age, is_silent = row
    return HeardRecord(AgentRecord(*fields), age / MS_PER_SECOND, is_silent)
