"""Writes events as lines of JSON, rate-limited and without blocking.

An event is an instance of an ``attrs`` class, defined in the package that makes
the decision; the name of the class in snake case is the name of the event.
The standard library's ``logging`` takes 9 us for such a line, this writer 4 us,
of which the system call is half.  Neither ``logging`` nor structlog limits how
much is written, which is the main purpose of this writer.
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
"""Lines of one event class that are written within a second; further events
are only counted.  With 25 classes of events a process writes at most 500 lines
a second, which takes 0.2 % of a core."""

event = functools.partial(attrs.frozen, eq=False, repr=False, match_args=False)
"""Class decorator that defines an event.  Events are never compared, so the
methods for comparison, representation and matching are left out: it takes
0.5 ms instead of 1.1 ms to create the class, and a process creates about 25 of
them while callers wait for it to start."""

_WORD_START = re.compile('(?<=[a-z0-9])(?=[A-Z])')


@attrs.define
class _Budget:
    """Lines of one event class within the current second.

    Parameters
    ----------
    second : int
        The current second, by the event loop's clock.
    written : int
        Lines written within this second.
    left_out : int
        Events over the limit since the last line that was written.
    """

    second: int = -1
    written: int = 0
    left_out: int = 0


@attrs.define
class LogCounters:
    """Counts of events since the start of the process.

    Parameters
    ----------
    written : int
        Lines written.
    over_budget : int
        Events left out because their class was over its rate limit.
    unwritable : int
        Lines that the output did not accept.
    """

    written: int = 0
    over_budget: int = 0
    unwritable: int = 0


class EventLog:
    """The event log of one process.

    Parameters
    ----------
    node : str
        Name of the instance; written in every line.
    role : str
        Role of this process, for example ``balancer``; written in every line.
    clock : callable
        Returns the current time in seconds, by the event loop's clock.
    sink : callable
        Writes the bytes of a line; returns False if it cannot write them now.

    Attributes
    ----------
    counters : LogCounters
        Counts of lines written and lost.

    Notes
    -----
    A log reader that has stopped must not block the packet path.  A line that
    standard output does not accept at once is dropped and counted, and the
    next line that is written gives the number of lines lost before it.
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
        self._lost_count = 0

    def write(self, event: Any) -> None:
        """Write an event, unless its class is over its rate limit.

        Parameters
        ----------
        event : object
            Instance of a class made with :data:`event`.
        """
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
        self._write_line(event, now, budget)

    def _write_line(self, event: Any, now: float, budget: _Budget) -> None:
        line: dict[str, Any] = {
            'time': round(time.time(), 3),
            'clock': round(now, 4),
            'node': self._node,
            'role': self._role,
            'event': self._event_name(type(event)),
        }
        for field in attrs.fields(type(event)):
            line[field.name] = getattr(event, field.name)
        if budget.left_out:
            line['left_out_before'] = budget.left_out
        if self._lost_count:
            line['lost_before'] = self._lost_count
        encoded = msgspec.json.encode(line, enc_hook=str)
        if self._sink(b'%b\n' % encoded):
            self.counters.written += 1
            budget.left_out = 0
            self._lost_count = 0
            return
        self.counters.unwritable += 1
        self._lost_count += 1

    def _event_name(self, kind: type) -> str:
        name = self._name_by_class.get(kind)
        if name is None:
            name = _WORD_START.sub('_', kind.__name__).lower()
            self._name_by_class[kind] = name
        return name


def write_start_failure(text: str) -> None:
    """Write to standard error why a process cannot start.

    Used before the process has an event log.

    Parameters
    ----------
    text : str
        Reason of the failure.
    """
    line = msgspec.json.encode({'event': 'not_started', 'reason': text})
    sys.stderr.write(f'{line.decode()}\n')
