"""In-memory network and clock of the fake processes.

Delivers frames late, twice or never, as a test asks.  :meth:`Exchange.run`
advances the clock.
"""

import functools
import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

TICK = 0.05
"""Seconds between two ticks of each process."""

TRAVEL_SECONDS = 0.002
"""Network delay of a frame in seconds."""


@attrs.frozen
class Frame:
    """A message in transit from one process to another."""

    source: str
    target: str
    payload: object


# Time, a serial number that orders equal times, and the action to run.
_Event = tuple[float, int, Callable[[], None]]


class Process(Protocol):
    """A process at an address of the network."""

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a frame."""

    def tick(self, now: float) -> None:
        """Run periodic work."""


Inspect = Callable[[Frame], 'tuple[float, ...] | None']
"""Returns the delay of each copy of a frame in seconds; an empty tuple drops
the frame, None delivers it as usual."""


class Exchange:
    """The network between fake processes, and their clock.

    Attributes
    ----------
    now : float
        Current time in seconds.
    process_by_address : dict
        The running processes.
    frozen : set of str
        Addresses of suspended processes; frames to them are kept.
    cuts : set of tuple
        Pairs of source and target between which every frame is lost.
    inspect : callable
        Called with each frame before it is sent; see :data:`Inspect`.
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
        """Run an action after a delay in seconds."""
        event = (self.now + delay, next(self._serial), action)
        heapq.heappush(self._events, event)

    def send(self, source: str, target: str, payload: object) -> None:
        """Send a frame, subject to the faults that are active."""
        frame = Frame(source, target, payload)
        delays = None if self.inspect is None else self.inspect(frame)
        if (source, target) in self.cuts:
            return
        deliver = functools.partial(self._deliver, frame)
        for delay in (0,) if delays is None else delays:
            self.call_later(TRAVEL_SECONDS + delay, deliver)

    def thaw(self, address: str) -> None:
        """Resume a suspended process and deliver the frames kept for it."""
        self.frozen.discard(address)
        waiting = self._waiting.copy()
        self._waiting.clear()
        for frame in waiting:
            self._deliver(frame)

    def run(self, seconds: float) -> None:
        """Advance the clock and run all events that become due."""
        end = self.now + seconds
        while True:
            due = self._events[0][0] if self._events else end
            if min(due, self._tick_at) > end:
                break
            if due <= self._tick_at and self._events:
                now, _, action = heapq.heappop(self._events)
                self.now = now
                action()
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
