"""Passes frames between fake processes: late, twice, or never.

Time is a number that :meth:`Exchange.run` advances.
"""

import functools
import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

TICK = 0.05
TRAVEL = 0.002
"""Seconds that a frame takes from one process to another."""


@attrs.frozen
class Frame:
    """A message on its way from one process to another."""

    source: str
    target: str
    payload: object


@attrs.frozen(order=True)
class _Event:
    due: float
    serial: int
    action: Callable[[], None] = attrs.field(order=False)


class Process(Protocol):
    """What stands at an address."""

    def receive(self, frame: Frame, now: float) -> None:
        """Take a frame."""

    def tick(self, now: float) -> None:
        """Do what is due."""


Inspect = Callable[[Frame], 'tuple[float, ...] | None']
"""Returns how long each copy of a frame is delayed; None for no opinion."""


class Exchange:
    """The network between fake processes, and their clock.

    Attributes
    ----------
    now : float
        Seconds.
    process_by_address : dict
        The living processes.
    frozen : set of str
        Addresses whose processes stand still; their frames wait.
    cuts : set of tuple
        Pairs of source and target between which every frame is lost.
    inspect : callable
        Looks at each frame before it is sent.
    """

    def __init__(self) -> None:
        self.now = float()
        self.process_by_address: dict[str, Process] = {}
        self.frozen: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.inspect: Inspect | None = None
        self._serial = itertools.count()
        self._events: list[_Event] = []
        self._waiting: list[Frame] = []
        self._tick_at = float()

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run something later."""
        event = _Event(self.now + delay, next(self._serial), action)
        heapq.heappush(self._events, event)

    def send(self, source: str, target: str, payload: object) -> None:
        """Send a frame, as the faults of the moment allow."""
        frame = Frame(source, target, payload)
        delays = None if self.inspect is None else self.inspect(frame)
        if (source, target) in self.cuts:
            return
        deliver = functools.partial(self._deliver, frame)
        for delay in (0,) if delays is None else delays:
            self.call_later(TRAVEL + delay, deliver)

    def thaw(self, address: str) -> None:
        """Let a process run again; it finds the frames that have waited."""
        self.frozen.discard(address)
        waiting = self._waiting.copy()
        self._waiting.clear()
        for frame in waiting:
            self._deliver(frame)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while True:
            due = self._events[0].due if self._events else end
            if min(due, self._tick_at) > end:
                break
            if due <= self._tick_at and self._events:
                event = heapq.heappop(self._events)
                self.now = event.due
                event.action()
            else:
                self.now = self._tick_at
                self._tick_at += TICK
                self._tick()
        self.now = end

    def _tick(self) -> None:
        for address, process in list(self.process_by_address.items()):
            if address not in self.frozen:
                process.tick(self.now)

    def _deliver(self, frame: Frame) -> None:
        if frame.target in self.frozen:
            self._waiting.append(frame)
            return
        process = self.process_by_address.get(frame.target)
        if (
            process is not None
            and (frame.source, frame.target) not in self.cuts
        ):
            process.receive(frame, self.now)
