"""Tests of the history of a flow, with log lines of three failed requests."""

import json
import random

import pytest
from cleo.testers.application_tester import ApplicationTester

from redwingstream.errors import ResultCode
from redwingstream.operators.flow_history import (
    build_history,
    history_lines,
    read_lines,
)
from redwingstream.operators.tool import make_application

FLOW = '100.64.0.7:40001>198.18.0.1:443'
OTHER = '100.64.0.7:40002>198.18.0.1:443'


def _line(
    time: float, node: str, role: str, event: str, **fields: object
) -> str:
    common = {'time': time, 'clock': time, 'node': node, 'role': role}
    return json.dumps(
        {**common, 'event': event, **fields}, separators=(',', ':')
    )


def _started(time: float, node: str, role: str) -> str:
    return _line(time, node, role, 'process_started', host='10.1.0.1')


def _tables(time: float, node: str, role: str) -> str:
    return _line(
        time,
        node,
        role,
        'tables_changed',
        revision=15,
        version=32,
        routes=3,
        zones_out='',
        confirmed_age=0.1,
    )


NEVER_OPENED = [
    _started(1, 'front-1', 'balancer'),
    _line(
        2,
        'front-1',
        'balancer',
        'flow_dropped',
        flow=FLOW,
        reason='no route, tables not confirmed',
        revision=0,
    ),
    _line(
        2.2,
        'front-1',
        'balancer',
        'flow_dropped',
        flow=FLOW,
        reason='no route, tables not confirmed',
        revision=0,
        left_out_before=4,
    ),
]
OPENED_WITHOUT_ANSWER = [
    _tables(1, 'front-1', 'balancer'),
    _tables(1, 'side-1', 'agent'),
    _line(
        1.5,
        'side-1',
        'agent',
        'server_reported',
        server='i-1',
        born=1,
        sequence=2,
        readiness='ready',
        cold_for=0,
        outcome='taken',
    ),
    _line(
        2,
        'front-1',
        'balancer',
        'flow_sent',
        flow=FLOW,
        pool='feed',
        agent='10.1.0.9:8172',
        revision=15,
        copy=0,
        tried=0,
    ),
    _line(
        2.001,
        'side-1',
        'agent',
        'flow_opened',
        flow=FLOW,
        origin='10.1.0.1:7721',
        hops=0,
        waiting=1,
        flows=4,
        is_cold=False,
    ),
    _line(8, 'side-1', 'agent', 'flow_lost', flow=FLOW, age=5.999),
]
REFUSED = [
    _line(1, 'side-1', 'agent', 'dependency_lost', dependency='control'),
    _line(
        2,
        'side-1',
        'agent',
        'flow_passed_on',
        flow=FLOW,
        reason='draining',
        target='10.2.0.9:8172',
        hops=0,
        waiting=0,
    ),
    _line(
        2.001,
        'side-2',
        'agent',
        'flow_refused',
        flow=FLOW,
        reason='cold',
        revision=15,
        visited=2,
    ),
]


def _history(lines: list[str], flow: str = FLOW):
    shuffled = list(lines)
    random.Random(1).shuffle(shuffled)
    return build_history(read_lines(shuffled), flow)


class TestFailedRequests:
    """A request that was never opened, one that got no answer, one refused."""

    def test_never_opened(self) -> None:
        history = _history(NEVER_OPENED)
        assert history.verdict == 'dropped without an answer'
        assert history.steps[0].known == ('no tables yet',)
        assert history.left_out == 4

    def test_opened_without_answer(self) -> None:
        history = _history(OPENED_WITHOUT_ANSWER)
        assert history.verdict == 'opened, then lost by its server'
        events = [step.line.event for step in history.steps]
        assert events == ['flow_sent', 'flow_opened', 'flow_lost']
        assert 'server i-1 ready, so since 0.5 s' in history.steps[1].known

    def test_refused(self) -> None:
        history = _history(REFUSED)
        assert history.verdict == 'refused at once'
        assert 'cold' in history.steps[-1].text
        assert 'no control instance answered' in history.steps[0].known[0]


class TestReading:
    """Lines that are not events of the flow, and prefixes of lines."""

    def test_prefixes_are_skipped(self) -> None:
        lines = [f'  37.7 front-1 {line}' for line in OPENED_WITHOUT_ANSWER]
        assert len(_history(lines).steps) == 3

    @pytest.mark.parametrize(
        'text', ['', 'Traceback', '{"time":1', '{"time":"x"}', '{"time":[]}']
    )
    def test_other_lines_are_skipped(self, text) -> None:
        assert not list(read_lines([text]))

    def test_other_flows_are_skipped(self) -> None:
        history = _history(OPENED_WITHOUT_ANSWER, OTHER)
        assert not history.steps
        assert 'no line tells of this flow' in history_lines(history)[0]


class TestCommand:
    """`redwingstream explain logs`."""

    def test_prints_the_history(self, tmp_path) -> None:
        path = tmp_path / 'log'
        path.write_text('\n'.join(OPENED_WITHOUT_ANSWER))
        tester = ApplicationTester(make_application())
        code = tester.execute(f'explain logs {FLOW} {path}')
        assert code == ResultCode.OK
        shown = tester.io.fetch_output()
        assert 'opened, then lost by its server' in shown
        assert '+6.000 s  agent side-1' in shown

    def test_unknown_flow_has_its_exit_code(self, tmp_path) -> None:
        path = tmp_path / 'log'
        path.write_text('')
        tester = ApplicationTester(make_application())
        code = tester.execute(f'explain logs {FLOW} {path}')
        assert code == ResultCode.UNKNOWN_ROW


class TestRestartedProcess:
    """A process that was restarted."""

    def test_state_of_earlier_run_is_not_shown(self) -> None:
        """Guards against showing tables that a process has lost by a restart.

        After a loss of power the balancer drops a packet before it has any
        tables, while the log lines of its earlier run name tables.
        """
        lines = [_tables(1, 'front-1', 'balancer'), *NEVER_OPENED]
        lines[1] = _started(1.5, 'front-1', 'balancer')
        shown = history_lines(build_history(read_lines(lines), FLOW))
        assert not any('revision 15' in line for line in shown)
        assert any('no tables yet' in line for line in shown)
