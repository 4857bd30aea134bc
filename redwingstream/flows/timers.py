"""Due times by key, for logic that is passed the current time."""

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

# Entries that the heap may hold beyond twice the valid ones before it is
# rebuilt, so that a small heap is not rebuilt all the time.
_SLACK = 64

KeyT = TypeVar('KeyT', bound=Hashable)


class Timers(Generic[KeyT]):
    """A priority queue with one due time for each key.

    Notes
    -----
    A due time that was replaced or cancelled stays in the heap until it comes
    up and is then skipped.  The heap is rebuilt when such entries outnumber
    the valid ones, so its size stays within about twice the number of keys.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, KeyT]] = []
        self._entry_by_key: dict[KeyT, tuple[float, int]] = {}
        self._serial = 0

    def __len__(self) -> int:
        """Return how many keys have a due time."""
        return len(self._entry_by_key)

    def start(self, key: KeyT, due: float) -> None:
        """Set or replace the due time of a key, in seconds."""
        self._serial += 1
        self._entry_by_key[key] = (due, self._serial)
        heapq.heappush(self._heap, (due, self._serial, key))
        if len(self._heap) > 2 * len(self._entry_by_key) + _SLACK:
            self._rebuild()

    def cancel(self, key: KeyT) -> None:
        """Remove the due time of a key, if it has one."""
        self._entry_by_key.pop(key, None)

    def next_due(self) -> float | None:
        """Return the earliest due time, or None."""
        while self._heap:
            due, serial, key = self._heap[0]
            if self._entry_by_key.get(key) == (due, serial):
                return due
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now: float) -> Iterator[KeyT]:
        """Remove and yield the keys that are due, earliest first."""
        due = self.next_due()
        while due is not None and due <= now:
            key = heapq.heappop(self._heap)[2]
            self._entry_by_key.pop(key)
            yield key
            due = self.next_due()

    def _rebuild(self) -> None:
        self._heap = [
            (due, serial, key)
            for key, (due, serial) in self._entry_by_key.items()
        ]
        heapq.heapify(self._heap)
