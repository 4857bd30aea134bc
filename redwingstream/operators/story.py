"""The story of one flow, from the event logs of all processes.

Reads the lines that the packet roles write to standard output, in any order and
with anything in front of them, and puts together what was decided about a flow,
by whom, and what the decider knew at that moment.
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
        'flow_not_found': 'no agent carries it, {visited} were asked',
        'flow_declared_dead': 'reset, since no server can hold it any more',
    }
)
"""What each event says of a flow."""

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
"""How a flow ended, by the first of these events that there was."""

_BELIEF_EVENTS = frozenset(
    (
        'tables_changed',
        'server_reported',
        'dependency_lost',
        'dependency_regained',
        'process_started',
    )
)


@attrs.frozen
class LogLine:
    """A line of an event log.

    Parameters
    ----------
    time : float
        Time of day in seconds, by the clock of its instance.
    node, role, event : str
        Who wrote it, and what it tells.
    fields : dict
        The rest.
    """

    time: float
    node: str
    role: str
    event: str
    fields: dict[str, Any]


@attrs.frozen
class _Head:
    """What every line begins with."""

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
        The decision.
    text : str
        In words.
    known : tuple of str
        What its decider knew, in words.
    """

    line: LogLine
    text: str
    known: tuple[str, ...]


@attrs.frozen
class Story:
    """What happened to a flow.

    Parameters
    ----------
    flow : str
        ``caller>service``.
    steps : tuple of Step
        In the order of time.
    verdict : str
        How it ended.
    left_out : int
        Lines of these kinds that were left out near the steps, so that some
        may be missing.
    """

    flow: str
    steps: tuple[Step, ...]
    verdict: str
    left_out: int


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read the lines that are of an event log; others are passed over."""
    for text in texts:
        start = text.find('{"time"')
        if start >= 0:
            line = _read_line(text[start:])
            if line is not None:
                yield line


def story_of(lines: Iterable[LogLine], flow: str) -> Story:
    """Put together what happened to a flow.

    Parameters
    ----------
    lines : iterable of LogLine
        Of all processes, in any order.
    flow : str
        ``caller>service``, or its beginning.
    """
    steps: list[Step] = []
    known_by_process: dict[tuple[str, str], dict[str, LogLine]] = {}
    left_out = 0
    for line in sorted(lines, key=lambda one: one.time):
        process = (line.node, line.role)
        if line.event in _BELIEF_EVENTS:
            known = known_by_process.setdefault(process, {})
            if line.event == 'process_started':
                # It knows nothing of what an earlier run of it knew.
                known.clear()
            known[line.event] = line
        elif str(line.fields.get('flow', '')).startswith(flow):
            left_out += int(line.fields.get('left_out_before', 0))
            known = known_by_process.get(process, {})
            steps.append(Step(line, _text(line), _beliefs(known, line.time)))
    return Story(flow, tuple(steps), _verdict(steps), left_out)


def story_lines(story: Story) -> list[str]:
    """Return a story as lines for people."""
    if not story.steps:
        return [f'{story.flow}: no line tells of this flow']
    shown = [f'{story.flow}: {story.verdict}']
    first = story.steps[0].line.time
    for step in story.steps:
        after = f'{step.line.time - first:+.3f} s'
        who = f'{step.line.role} {step.line.node}'
        shown.append(f'{after:>11}  {who}: {step.text}')
        shown.extend(f'{"":>13}knew: {text}' for text in step.known)
    if story.left_out:
        shown.append(
            f'{story.left_out} lines of these kinds were left out over their '
            'budget; some steps may be missing',
        )
    return shown


def _read_line(text: str) -> LogLine | None:
    try:
        head = _decoder.decode(text)
    except msgspec.DecodeError:
        # A line that was cut off, or that another program wrote.
        return None
    fields = msgspec.json.decode(text)
    return LogLine(head.time, head.node, head.role, head.event, fields)


def _text(line: LogLine) -> str:
    form = TEXT_BY_EVENT.get(line.event)
    if form is None:
        return line.event
    try:
        return form.format(**line.fields)
    except KeyError:
        return line.event


def _verdict(steps: list[Step]) -> str:
    events = {step.line.event for step in steps}
    for event, verdict in VERDICTS:
        if event in events:
            return verdict
    return 'nothing is known of it'


def _beliefs(known: Mapping[str, LogLine], now: float) -> tuple[str, ...]:
    return tuple(
        text
        for text in (
            _tables_belief(known, now),
            _server_belief(known, now),
            _control_belief(known, now),
        )
        if text
    )


def _tables_belief(known: Mapping[str, LogLine], now: float) -> str:
    tables = known.get('tables_changed')
    if tables is None:
        return 'no tables yet' if 'process_started' in known else ''
    fields = tables.fields
    out = f', zones out {fields["zones_out"]}' if fields['zones_out'] else ''
    return (
        f'tables revision {fields["revision"]}, version {fields["version"]}, '
        f'since {now - tables.time:.1f} s{out}'
    )


def _server_belief(known: Mapping[str, LogLine], now: float) -> str:
    reported = known.get('server_reported')
    if reported is None:
        return ''
    fields = reported.fields
    cold = f', cold for {fields["cold_for"]} s' if fields['cold_for'] else ''
    return (
        f'server {fields["server"]} {fields["readiness"]}{cold}, '
        f'so since {now - reported.time:.1f} s'
    )


def _control_belief(known: Mapping[str, LogLine], now: float) -> str:
    lost = known.get('dependency_lost')
    regained = known.get('dependency_regained')
    if lost is None or (regained is not None and regained.time > lost.time):
        return ''
    return f'no control instance answered since {now - lost.time:.1f} s'
