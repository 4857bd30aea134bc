"""Through which balancer a packet goes back to a caller."""

from collections.abc import Collection, Sequence

import attrs

MAX_PATHS = 64
PATH_LIFETIME = 30.0
"""Seconds after which a balancer that was not heard from is forgotten."""


@attrs.define
class _Path:
    last_heard: float
    unanswered: int = 0


class ReturnPaths:
    """The balancers that an agent has heard from lately.

    Parameters
    ----------
    capacity : int
        How many are kept; the one not heard from for longest goes first.
    lifetime : float
        Seconds without a sign of life after which one is forgotten, unless
        it is the last.
    """

    def __init__(
        self, capacity: int = MAX_PATHS, lifetime: float = PATH_LIFETIME
    ) -> None:
        self._capacity = capacity
        self._lifetime = lifetime
        # Least recently heard first.
        self._path_by_balancer: dict[str, _Path] = {}

    def __len__(self) -> int:
        """Return how many balancers are known."""
        return len(self._path_by_balancer)

    def record_heard(self, balancer: str, now: float) -> None:
        """Note a packet from a balancer (``IP:PORT``)."""
        path = self._path_by_balancer.pop(balancer, None) or _Path(now)
        path.last_heard = now
        self._path_by_balancer[balancer] = path
        oldest = next(iter(self._path_by_balancer))
        if len(self._path_by_balancer) > self._capacity:
            self._path_by_balancer.pop(oldest)
        elif self._is_old(oldest, now):
            self._path_by_balancer.pop(oldest)

    def set_members(self, balancers: Collection[str], now: float) -> None:
        """Take the balancers that are members: forget others, add new ones.

        Notes
        -----
        When all balancers are replaced while a caller has nothing to send,
        none of the new ones has been heard from; without this its feed would
        have no way back.
        """
        for former in tuple(self._path_by_balancer):
            if former not in balancers:
                self._path_by_balancer.pop(former)
        heard = self._path_by_balancer
        room = self._capacity - len(heard)
        fresh = [name for name in balancers if name not in heard][:room]
        # First in order: the least recently heard.
        self._path_by_balancer = {name: _Path(now) for name in fresh} | heard

    def unanswered(self, balancer: str) -> None:
        """Note that what was sent through a balancer was not acknowledged."""
        path = self._path_by_balancer.get(balancer)
        if path is not None:
            path.unanswered += 1

    def answered(self, balancer: str) -> None:
        """Note that what was last sent through a balancer got its ACK."""
        path = self._path_by_balancer.get(balancer)
        if path is not None:
            path.unanswered = 0

    def pick(self, tried: Sequence[str] = ()) -> str | None:
        """Choose a balancer.

        Parameters
        ----------
        tried : sequence of str
            Those through which this packet has gone already.

        Returns
        -------
        str or None
            The one tried least; of those the one with the fewest losses; of
            those the one heard last.  None when no balancer is known.

        Notes
        -----
        A link can be silent in one direction: the balancer is heard, and what
        is sent to it is lost.  Ordered by last-heard time alone, it would cost
        every notification a repeat; counting losses avoids it after the first.
        """
        found = None
        lowest: tuple[int, int] | None = None
        for balancer, path in reversed(self._path_by_balancer.items()):
            cost = (tried.count(balancer), path.unanswered)
            if lowest is None or cost < lowest:
                found, lowest = balancer, cost
        return found

    def _is_old(self, balancer: str, now: float) -> bool:
        last_heard = self._path_by_balancer[balancer].last_heard
        return now - last_heard > self._lifetime
