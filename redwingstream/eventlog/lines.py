"""Writes events as lines of JSON, within a budget and without waiting.

An event is an ``attrs`` class of the slice that decides; its class gives the
line its name.  The standard library's ``logging`` took 9 us for such a line in
a trial, this writer 4 us, of which the system call is half; neither it nor
structlog bounds what is written, which is the point here.
"""

import functools
import re
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from redwingstream.eventlog.outputs import Sink

MAX_LINES_PER_SECOND = 20
"""Lines of one kind that are written within a second; the rest is counted.
With 25 kinds of events a process then writes 500 lines a second at most, which
takes 0.2 % of a core."""

event = functools.partial(attrs.frozen, eq=False, repr=False, match_args=False)
"""Makes a class an event.  Events are written once and never compared; without
the methods for that a class takes 0.5 ms to make instead of 1.1 ms, and a
process makes about 25 of them while callers wait for it to start."""

_WORD_START = re.compile('(?<=[a-z0-9])(?=[A-Z])')


@attrs.define
class _Budget:
    """Lines of one kind within the current second."""

    second: int = -1
    written: int = 0
    left_out: int = 0


@attrs.define
class LogCounters:
    """What the log did since the start of the process."""

    written: int = 0
    over_budget: int = 0
    unwritable: int = 0


class EventLog:
    """The event log of one process.

    Parameters
    ----------
    node : str
        Name of the instance, in every line.
    role : str
        What this process does.
    clock : callable
        Returns the time of the loop in seconds.
    sink : callable
        Takes the bytes of a line; returns False when it cannot take them now.

    Notes
    -----
    A reader that is stopped must not stop the packet path: a line that
    standard output does not take at once is dropped and counted, and the next
    line that is written says how many were.
    """

    def __init__(
        self, node: str, role: str, clock: Callable[[], float], sink: Sink
    ) -> None:
        self.counters = LogCounters()
        self._node = node
        self._role = role
        self._clock = clock
        self._sink = sink
        self._budget_by_class: dict[type, _Budget] = {}
        self._name_by_class: dict[type, str] = {}
        self._lost = 0

    def write(self, event: Any) -> None:
        """Write an event, unless its kind has used up its budget."""
        kind = type(event)
        budget = self._budget_by_class.get(kind)
        if budget is None:
            budget = self._budget_by_class.setdefault(kind, _Budget())
        now = self._clock()
        if int(now) != budget.second:
            budget.second = int(now)
            budget.written = 0
        if budget.written >= MAX_LINES_PER_SECOND:
            budget.left_out += 1
            self.counters.over_budget += 1
            return
        budget.written += 1
        self._put(event, now, budget)

    def _put(self, event: Any, now: float, budget: _Budget) -> None:
        line: dict[str, Any] = {
            'time': round(time.time(), 3),
            'clock': round(now, 4),
            'node': self._node,
            'role': self._role,
            'event': self._name(type(event)),
        }
        for field in attrs.fields(type(event)):
            line[field.name] = getattr(event, field.name)
        if budget.left_out:
            line['left_out_before'] = budget.left_out
        if self._lost:
            line['lost_before'] = self._lost
        encoded = msgspec.json.encode(line, enc_hook=str)
        if self._sink(b'%b\n' % encoded):
            self.counters.written += 1
            budget.left_out = 0
            self._lost = 0
            return
        self.counters.unwritable += 1
        self._lost += 1

    def _name(self, kind: type) -> str:
        name = self._name_by_class.get(kind)
        if name is None:
            name = _WORD_START.sub('_', kind.__name__).lower()
            self._name_by_class[kind] = name
        return name


def write_start_failure(text: str) -> None:
    """Write the reason why a process cannot start, before it has a log."""
    line = msgspec.json.encode({'event': 'not_started', 'reason': text})
    sys.stderr.write(f'{line.decode()}\n')
