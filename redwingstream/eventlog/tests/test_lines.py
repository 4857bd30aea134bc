"""The event log limits its rate and never blocks."""

import msgspec
import pytest

from redwingstream.eventlog.lines import (
    MAX_LINES_PER_SECOND,
    EventLog,
    event,
)


@event
class FlowSeen:
    """An event used in these tests."""

    flow: str
    hops: int


class _Output:
    """An output that accepts lines while its reader is running."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.is_read = True

    def accept_line(self, line: bytes) -> bool:
        if self.is_read:
            self.lines.append(line)
        return self.is_read

    def last(self) -> dict[str, object]:
        return msgspec.json.decode(self.lines[-1])


class TestEventLog:
    """Lines that the event log of one process writes."""

    @pytest.fixture
    def output(self) -> _Output:
        return _Output()

    @pytest.fixture
    def log(self, output: _Output) -> EventLog:
        self.now = float(0)
        return EventLog(
            'front-1', 'balancer', lambda: self.now, output.accept_line
        )

    def test_a_line_holds_source_event_and_time(self, log, output) -> None:
        self.now = 12.5
        log.write(FlowSeen('a>b', 2))
        line = output.last()
        assert line['event'] == 'flow_seen'
        assert line['node'] == 'front-1'
        assert line['role'] == 'balancer'
        assert line['clock'] == self.now
        assert line['flow'] == 'a>b'
        assert line['hops'] == 2
        assert output.lines[-1].endswith(b'\n')

    def test_rate_of_an_event_class_is_limited(self, log, output) -> None:
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.write(FlowSeen('a>b', 1))
        assert len(output.lines) == MAX_LINES_PER_SECOND
        assert log.counters.over_budget == 7

    def test_the_next_line_counts_events_left_out(self, log, output) -> None:
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.write(FlowSeen('a>b', 1))
        self.now = float(1)
        log.write(FlowSeen('a>b', 1))
        assert output.last()['left_out_before'] == 7
        log.write(FlowSeen('a>b', 1))
        assert 'left_out_before' not in output.last()

    def test_lines_are_lost_while_the_reader_is_stopped(
        self, log, output
    ) -> None:
        """A stopped log reader does not block the process.

        The reader of standard output stops and the pipe fills up.  Lines are
        dropped and counted, and the next line written gives their number.
        """
        output.is_read = False
        for _ in range(3):
            log.write(FlowSeen('a>b', 1))
        output.is_read = True
        log.write(FlowSeen('a>b', 1))
        assert output.last()['lost_before'] == 3
        assert log.counters.unwritable == 3
