"""Encoding of agents' records in an answer."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingstream.directory.messages import (
    AgentRecord,
    HeardRecord,
    Readiness,
)
from redwingstream.directory.packing import pack_records, unpack_records
from redwingstream.errors import WireError

FLEET = 136
MAX_RECORD_BYTES = 32

_records = st.builds(
    HeardRecord,
    st.builds(
        AgentRecord,
        st.integers(0, 2**48 - 1),
        st.text(max_size=20),
        st.text(max_size=20),
        st.integers(0, 2**64 - 1),
        st.integers(0, 2**32),
        st.sampled_from(Readiness),
        st.booleans(),
    ),
    st.integers(0, 10**6).map(lambda ms: ms / 1000),
    st.booleans(),
)


def _fleet() -> tuple[HeardRecord, ...]:
    return tuple(
        HeardRecord(
            AgentRecord(
                0x0A0100011FEC + (number << 16),
                f'zone-{number % 6}',
                f'pool-{number % 2}',
                number * 0x9E3779B97F4A7C15 % 2**64,
                number,
                Readiness.READY,
                is_cold=False,
            ),
            age=number / 1000,
            is_silent=False,
        )
        for number in range(FLEET)
    )


class TestPacking:
    """Round trip and size of packed records."""

    @given(st.lists(_records, max_size=5))
    def test_is_read_back(self, records) -> None:
        assert unpack_records(pack_records(records)) == tuple(records)

    def test_of_no_records_is_empty(self) -> None:
        assert not pack_records(())

    def test_is_compact(self) -> None:
        """Guards against saturating a slow link when a fleet starts."""
        assert len(pack_records(_fleet())) <= FLEET * MAX_RECORD_BYTES


class TestDamaged:
    """Bytes that are not valid packed records."""

    @pytest.mark.parametrize(
        'packed',
        [b'x', zlib.compress(b'x'), pack_records(_fleet())[:-9]],
        ids=['not compressed', 'no rows', 'cut short'],
    )
    def test_is_an_error(self, packed) -> None:
        with pytest.raises(WireError, match='cannot be read'):
            unpack_records(packed)

    def test_oversized_content_is_an_error(self) -> None:
        """Guards against memory exhaustion by a decompression bomb."""
        with pytest.raises(WireError, match='cannot be read'):
            unpack_records(zlib.compress(bytes(2**24)))
