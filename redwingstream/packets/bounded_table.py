"""Tables with a maximum size and an idle time limit."""

from collections import OrderedDict
from typing import Generic, TypeVar

import attrs

KeyT = TypeVar('KeyT')
RowT = TypeVar('RowT')


@attrs.define
class _Entry(Generic[RowT]):
    row: RowT
    used_at: float


class BoundedTable(Generic[KeyT, RowT]):
    """A table that evicts the least recently used row when it is full.

    Parameters
    ----------
    size : int
        Maximum number of rows.
    age : float
        Seconds without use after which a row expires.

    Attributes
    ----------
    overflowed : int
        Number of rows evicted because the table was full.
    """

    def __init__(self, size: int, age: float) -> None:
        self.size = size
        self.age = age
        self.overflowed = 0
        self._entry_by_key: OrderedDict[KeyT, _Entry[RowT]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._entry_by_key)

    def get(self, key: KeyT, now: float) -> RowT | None:
        """Return a row, which counts as use, or None if there is none."""
        entry = self._entry_by_key.get(key)
        if entry is None:
            return None
        if now - entry.used_at > self.age:
            self._entry_by_key.pop(key)
            return None
        entry.used_at = now
        self._entry_by_key.move_to_end(key)
        return entry.row

    def put(self, key: KeyT, row: RowT, now: float) -> None:
        """Set a row; evict the least recently used one if the table is full."""
        self._entry_by_key[key] = _Entry(row, now)
        self._entry_by_key.move_to_end(key)
        if len(self._entry_by_key) > self.size:
            self._entry_by_key.popitem(last=False)
            self.overflowed += 1

    def pop(self, key: KeyT) -> RowT | None:
        """Remove and return a row, or return None if there is none."""
        entry = self._entry_by_key.pop(key, None)
        return None if entry is None else entry.row

    def evict_expired(self, now: float) -> list[RowT]:
        """Remove and return all expired rows."""
        gone = []
        while self._entry_by_key:
            key, entry = next(iter(self._entry_by_key.items()))
            if now - entry.used_at <= self.age:
                break
            gone.append(entry.row)
            self._entry_by_key.pop(key)
        return gone

    def pairs(self) -> list[tuple[KeyT, RowT]]:
        """Return all keys with their rows, least recently used first."""
        return [(key, entry.row) for key, entry in self._entry_by_key.items()]

    def rows(self) -> list[RowT]:
        """Return all rows, least recently used first."""
        return [entry.row for entry in self._entry_by_key.values()]
