"""Tables with a size and an age limit."""

from collections import OrderedDict
from typing import Generic, TypeVar

import attrs

KeyT = TypeVar('KeyT')
RowT = TypeVar('RowT')


@attrs.define
class _Aged(Generic[RowT]):
    row: RowT
    used_at: float


class BoundedTable(Generic[KeyT, RowT]):
    """A table that forgets what was used longest ago.

    Parameters
    ----------
    size : int
        Rows at most.
    age : float
        Seconds without use after which a row is forgotten.
    """

    def __init__(self, size: int, age: float) -> None:
        self.size = size
        self.age = age
        self.overflowed = 0
        self._aged_by_key: OrderedDict[KeyT, _Aged[RowT]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._aged_by_key)

    def get(self, key: KeyT, now: float) -> RowT | None:
        """Return a row and count that as use; None when there is none."""
        aged = self._aged_by_key.get(key)
        if aged is None:
            return None
        if now - aged.used_at > self.age:
            self._aged_by_key.pop(key)
            return None
        aged.used_at = now
        self._aged_by_key.move_to_end(key)
        return aged.row

    def put(self, key: KeyT, row: RowT, now: float) -> None:
        """Set a row."""
        self._aged_by_key[key] = _Aged(row, now)
        self._aged_by_key.move_to_end(key)
        if len(self._aged_by_key) > self.size:
            self._aged_by_key.popitem(last=False)
            self.overflowed += 1

    def pop(self, key: KeyT) -> RowT | None:
        """Remove a row and return it."""
        aged = self._aged_by_key.pop(key, None)
        return None if aged is None else aged.row

    def forget_old(self, now: float) -> list[RowT]:
        """Remove all rows that were not used for too long; return them."""
        gone = []
        while self._aged_by_key:
            key, aged = next(iter(self._aged_by_key.items()))
            if now - aged.used_at <= self.age:
                break
            gone.append(aged.row)
            self._aged_by_key.pop(key)
        return gone

    def pairs(self) -> list[tuple[KeyT, RowT]]:
        """Return all keys with their rows, least recently used first."""
        return [(key, aged.row) for key, aged in self._aged_by_key.items()]

    def rows(self) -> list[RowT]:
        """Return all rows, the one used longest ago first."""
        return [aged.row for aged in self._aged_by_key.values()]
