"""What a control instance keeps of the fleet."""

import pytest

from redwingstream.directory.fleet_record import (
    FAILED_WRITE_PAUSE,
    HEARD_WITHIN,
    MAX_PROCESSES,
    WRITE_EVERY,
    Followers,
    WriteTurn,
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
        """A torn record must not be taken for tables that were accepted."""
        with pytest.raises(RedwingstreamError):
            unpack_record('fleet', pack_record(RECORD)[:size])

    @pytest.mark.parametrize('place', [9, 14, 22, 30])
    def test_damaged_is_an_error(self, place) -> None:
        """A flipped bit must not change the tables that are handed out."""
        contents = bytearray(pack_record(RECORD))
        contents[place] ^= 1
        with pytest.raises(RedwingstreamError):
            unpack_record('fleet', bytes(contents))


class TestFollowers:
    """Who has asked lately."""

    def test_forgets_who_is_not_heard_any_more(self) -> None:
        followers = Followers()
        followers.hear(Address(1), 0)
        followers.hear(Address(2), 5)
        assert followers.present(HEARD_WITHIN + 1) == (Address(2),)

    def test_is_bounded(self) -> None:
        followers = Followers()
        for number in range(MAX_PROCESSES + 10):
            followers.hear(Address(number), 0)
        assert len(followers.present(0)) == MAX_PROCESSES


class TestWriteTurn:
    """When a record is written."""

    def test_comes_when_something_has_changed(self) -> None:
        turn = WriteTurn()
        assert turn.is_due(RECORD, 0)
        turn.note_written(RECORD, 0)
        assert not turn.is_due(RECORD, WRITE_EVERY)

    def test_is_bounded_while_much_changes(self) -> None:
        turn = WriteTurn()
        turn.note_written(FleetRecord(), 0)
        assert not turn.is_due(RECORD, WRITE_EVERY / 2)
        assert turn.is_due(RECORD, WRITE_EVERY)

    def test_waits_after_a_write_that_failed(self) -> None:
        """A full disk must not be written to again and again."""
        turn = WriteTurn()
        turn.note_failed(0)
        assert not turn.is_due(RECORD, FAILED_WRITE_PAUSE / 2)
        assert turn.is_due(RECORD, FAILED_WRITE_PAUSE)
