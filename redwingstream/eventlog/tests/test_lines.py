"""The event log: bounded, and never waiting."""

import msgspec
import pytest

from redwingstream.eventlog.lines import (
    MAX_LINES_PER_SECOND,
    EventLog,
    event,
)


@event
class FlowSeen:
    """An event of a test."""

    flow: str
    hops: int


class _Output:
    """Takes lines, unless nobody reads."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.is_read = True

    def put(self, line: bytes) -> bool:
        if self.is_read:
            self.lines.append(line)
        return self.is_read

    def last(self) -> dict[str, object]:
        return msgspec.json.decode(self.lines[-1])


class TestEventLog:
    """Lines of one process."""

    @pytest.fixture
    def output(self) -> _Output:
        return _Output()

    @pytest.fixture
    def log(self, output: _Output) -> EventLog:
        self.now = float(0)
        return EventLog('front-1', 'balancer', lambda: self.now, output.put)

    def test_a_line_says_who_what_and_when(self, log, output) -> None:
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

    def test_a_kind_has_a_budget_for_each_second(self, log, output) -> None:
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.write(FlowSeen('a>b', 1))
        assert len(output.lines) == MAX_LINES_PER_SECOND
        assert log.counters.over_budget == 7

    def test_the_next_line_says_what_was_left_out(self, log, output) -> None:
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.write(FlowSeen('a>b', 1))
        self.now = float(1)
        log.write(FlowSeen('a>b', 1))
        assert output.last()['left_out_before'] == 7
        log.write(FlowSeen('a>b', 1))
        assert 'left_out_before' not in output.last()

    def test_a_reader_that_stops_costs_lines_only(self, log, output) -> None:
        """Traffic goes on while nobody reads the logs.

        The reader of standard output is stopped and the pipe fills up.  Lines
        are dropped and counted, and the first one after says how many.
        """
        output.is_read = False
        for _ in range(3):
            log.write(FlowSeen('a>b', 1))
        output.is_read = True
        log.write(FlowSeen('a>b', 1))
        assert output.last()['lost_before'] == 3
        assert log.counters.unwritable == 3
