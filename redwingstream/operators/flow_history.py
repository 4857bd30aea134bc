"""Reconstructs the history of one flow from the event logs of all processes.

The input is the lines that the packet roles (balancer, agent, control instance)
write to standard output, in any order and with any prefix.  The history lists
the decisions about a flow, which process made each of them, and the state that
the process knew at that time.
"""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import attrs
import msgspec

TEXT_BY_EVENT = MappingProxyType(
    {
        'flow_sent': 'sent to agent {agent} of pool {pool}, copy {copy}',
        'flow_opened': 'given to the server ({waiting} unanswered there)',
        'flow_passed_on': 'passed on to {target}: {reason}',
        'flow_held': 'waits for the server, {expected_wait} s: {reason}',
        'flow_refused': 'refused at once: {reason}; it has not run',
        'flow_dropped': 'a packet was dropped: {reason}',
        'flow_lost': 'the server does not hold it any more after {age} s',
        'flow_found': 'found by a search of {hops} hops',
        'flow_mismatch': (
            'not carried here: the agent carries another flow of this port '
            '({state}, opened {age} s ago)'
        ),
        'flow_returned': 'returned by the server ({state}, {age} s old)',
        'flow_not_found': 'no agent carries it, {visited} were asked',
        'flow_declared_dead': 'reset, since no server can hold it any more',
    }
)
"""Description of each event of a flow, formatted with the event's fields."""

VERDICTS = (
    ('flow_lost', 'opened, then lost by its server'),
    ('flow_declared_dead', 'open once, lost with its server, and reset'),
    ('flow_not_found', 'open once, but no agent carries it any more'),
    ('flow_refused', 'refused at once'),
    ('flow_opened', 'given to a server'),
    ('flow_held', 'waited for a server'),
    ('flow_dropped', 'dropped without an answer'),
    ('flow_sent', 'sent to an agent that said nothing'),
)
"""Events in order of precedence, each with the verdict on the flow.

The first of these events that occurred determines the verdict.
"""

_STATE_EVENTS = frozenset(
    (
        'tables_changed',
        'server_reported',
        'dependency_lost',
        'dependency_regained',
        'tables_unconfirmed',
        'tables_confirmed',
        'process_started',
    )
)


@attrs.frozen
class LogLine:
    """One line of an event log.

    Parameters
    ----------
    time : float
        Time of day in seconds, by the clock of the instance that wrote it.
    node, role : str
        Instance and role of the process that wrote it.
    event : str
        Name of the event.
    fields : dict
        All fields of the line, by name.
    """

    time: float
    node: str
    role: str
    event: str
    fields: dict[str, Any]


@attrs.frozen
class _Head:
    """Fields that every line of an event log has."""

    time: float
    node: str
    role: str
    event: str


_decoder = msgspec.json.Decoder(_Head)


@attrs.frozen
class Step:
    """One decision about a flow.

    Parameters
    ----------
    line : LogLine
        The log line of the decision.
    text : str
        Description of the decision.
    known : tuple of str
        Descriptions of the state that the process knew at that time.
    """

    line: LogLine
    text: str
    known: tuple[str, ...]


@attrs.frozen
class FlowHistory:
    """Decisions about one flow, and its end.

    Parameters
    ----------
    flow : str
        ``caller>service``, or a prefix of it.
    steps : tuple of Step
        Decisions in order of time.
    verdict : str
        How the flow ended.
    left_out : int
        Number of log lines that were omitted before these steps because their
        event was over its log budget; steps of this flow may be missing.
    """

    flow: str
    steps: tuple[Step, ...]
    verdict: str
    left_out: int


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse the lines of event logs; other lines are skipped."""
    for text in texts:
        start = text.find('{"time"')
        if start >= 0:
            line = _read_line(text[start:])
            if line is not None:
                yield line


def build_history(lines: Iterable[LogLine], flow: str) -> FlowHistory:
    """Return the history of a flow.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of all processes, in any order.
    flow : str
        ``caller>service``, or a prefix of it.
    """
    steps: list[Step] = []
    known_by_process: dict[tuple[str, str], dict[str, LogLine]] = {}
    left_out = 0
    for line in sorted(lines, key=lambda entry: entry.time):
        process = (line.node, line.role)
        if line.event in _STATE_EVENTS:
            known = known_by_process.setdefault(process, {})
            if line.event == 'process_started':
                # A new run knows nothing of what an earlier run knew.
                known.clear()
            known[line.event] = line
        elif str(line.fields.get('flow', '')).startswith(flow):
            left_out += int(line.fields.get('left_out_before', 0))
            known = known_by_process.get(process, {})
            steps.append(
                Step(line, _step_text(line), _known_state(known, line.time))
            )
    return FlowHistory(flow, tuple(steps), _verdict(steps), left_out)


def history_lines(history: FlowHistory) -> list[str]:
    """Return a history as lines of text."""
    if not history.steps:
        return [f'{history.flow}: no line tells of this flow']
    output = [f'{history.flow}: {history.verdict}']
    start_time = history.steps[0].line.time
    for step in history.steps:
        offset = f'{step.line.time - start_time:+.3f} s'
        process = f'{step.line.role} {step.line.node}'
        output.append(f'{offset:>11}  {process}: {step.text}')
        output.extend(f'{"":>13}knew: {text}' for text in step.known)
    if history.left_out:
        output.append(
            f'{history.left_out} lines of these kinds were left out over their '
            'budget; some steps may be missing',
        )
    return output


def _read_line(text: str) -> LogLine | None:
    try:
        head = _decoder.decode(text)
    except msgspec.DecodeError:
        # The line is truncated, or another program wrote it.
        return None
    fields = msgspec.json.decode(text)
    return LogLine(head.time, head.node, head.role, head.event, fields)


def _step_text(line: LogLine) -> str:
    template = TEXT_BY_EVENT.get(line.event)
    if template is None:
        return line.event
    try:
        return template.format(**line.fields)
    except KeyError:
        return line.event


def _verdict(steps: list[Step]) -> str:
    events = {step.line.event for step in steps}
    for event, verdict in VERDICTS:
        if event in events:
            return verdict
    return 'nothing is known of it'


def _known_state(known: Mapping[str, LogLine], now: float) -> tuple[str, ...]:
    return tuple(
        text
        for text in (
            _known_tables(known, now),
            _known_server(known, now),
            _known_control(known, now),
        )
        if text
    )


def _known_tables(known: Mapping[str, LogLine], now: float) -> str:
    tables = known.get('tables_changed')
    if tables is None:
        return 'no tables yet' if 'process_started' in known else ''
    fields = tables.fields
    out = f', zones out {fields["zones_out"]}' if fields['zones_out'] else ''
    return (
        f'tables revision {fields["revision"]}, version {fields["version"]}, '
        f'since {now - tables.time:.1f} s{out}'
    )


def _known_server(known: Mapping[str, LogLine], now: float) -> str:
    reported = known.get('server_reported')
    if reported is None:
        return ''
    fields = reported.fields
    cold = f', cold for {fields["cold_for"]} s' if fields['cold_for'] else ''
    return (
        f'server {fields["server"]} {fields["readiness"]}{cold}, '
        f'so since {now - reported.time:.1f} s'
    )


def _known_control(known: Mapping[str, LogLine], now: float) -> str:
    lost = known.get('dependency_lost')
    regained = known.get('dependency_regained')
    if lost is None or (regained is not None and regained.time > lost.time):
        return ''
    return f'no control instance answered since {now - lost.time:.1f} s'
