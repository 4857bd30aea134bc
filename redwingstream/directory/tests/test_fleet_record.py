"""Content and schedule of a control instance's fleet record."""

import pytest

from redwingstream.directory.fleet_record import (
    EVICT_AFTER,
    FAILED_WRITE_PAUSE,
    MAX_PROCESSES,
    WRITE_INTERVAL,
    Followers,
    WriteSchedule,
    pack_record,
    unpack_record,
)
from redwingstream.directory.messages import FleetRecord
from redwingstream.errors import RedwingstreamError
from redwingstream.packets.flow import Address

RECORD = FleetRecord((1, 2), (3,), 7, b'tables')


class TestRecord:
    """A record as the contents of a file."""

    def test_is_read_back(self) -> None:
        assert unpack_record('fleet', pack_record(RECORD)) == RECORD

    @pytest.mark.parametrize('contents', [None, b''])
    def test_is_empty_without_a_file(self, contents) -> None:
        assert unpack_record('fleet', contents) == FleetRecord()

    @pytest.mark.parametrize('size', [1, 7, 12, 20, 30])
    def test_torn_is_an_error(self, size) -> None:
        """Guards against serving tables from a truncated record."""
        with pytest.raises(RedwingstreamError):
            unpack_record('fleet', pack_record(RECORD)[:size])

    @pytest.mark.parametrize('place', [9, 14, 22, 30])
    def test_damaged_is_an_error(self, place) -> None:
        """Guards against serving tables that a flipped bit has changed."""
        contents = bytearray(pack_record(RECORD))
        contents[place] ^= 1
        with pytest.raises(RedwingstreamError):
            unpack_record('fleet', bytes(contents))


class TestFollowers:
    """Processes that have asked recently."""

    def test_evicts_expired_processes(self) -> None:
        followers = Followers()
        followers.record_inquiry(Address(1), 0)
        followers.record_inquiry(Address(2), 5)
        assert followers.recent(EVICT_AFTER + 1) == (Address(2),)

    def test_is_bounded(self) -> None:
        followers = Followers()
        for number in range(MAX_PROCESSES + 10):
            followers.record_inquiry(Address(number), 0)
        assert len(followers.recent(0)) == MAX_PROCESSES


class TestWriteSchedule:
    """Time of the next write."""

    def test_is_due_after_a_change(self) -> None:
        schedule = WriteSchedule()
        assert schedule.is_due(RECORD, 0)
        schedule.record_written(RECORD, 0)
        assert not schedule.is_due(RECORD, WRITE_INTERVAL)

    def test_limits_the_rate_of_writes(self) -> None:
        schedule = WriteSchedule()
        schedule.record_written(FleetRecord(), 0)
        assert not schedule.is_due(RECORD, WRITE_INTERVAL / 2)
        assert schedule.is_due(RECORD, WRITE_INTERVAL)

    def test_waits_after_a_failed_write(self) -> None:
        """Guards against writing to a full disk again and again."""
        schedule = WriteSchedule()
        schedule.record_failure(0)
        assert not schedule.is_due(RECORD, FAILED_WRITE_PAUSE / 2)
        assert schedule.is_due(RECORD, FAILED_WRITE_PAUSE)
