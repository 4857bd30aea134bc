"""Choice of the balancer through which a packet goes back to a caller."""

from collections.abc import Collection, Sequence

import attrs

MAX_PATHS = 64
"""Maximum count of balancers that are remembered."""

PATH_LIFETIME = 30.0
"""Seconds without a packet after which a balancer is forgotten."""


@attrs.define
class _Path:
    last_heard_at: float
    unanswered: int = 0


class ReturnPaths:
    """The balancers from which an agent has recently received packets.

    Parameters
    ----------
    capacity : int
        Maximum count of balancers; the one not heard from for the longest
        time is evicted first.
    lifetime : float
        Seconds without a packet after which a balancer is forgotten, unless
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
        """Return the number of known balancers."""
        return len(self._path_by_balancer)

    def record_heard(self, balancer: str, now: float) -> None:
        """Record a packet from a balancer (``IP:PORT``)."""
        path = self._path_by_balancer.pop(balancer, None) or _Path(now)
        path.last_heard_at = now
        self._path_by_balancer[balancer] = path
        oldest = next(iter(self._path_by_balancer))
        if len(self._path_by_balancer) > self._capacity:
            self._path_by_balancer.pop(oldest)
        elif self._is_expired(oldest, now):
            self._path_by_balancer.pop(oldest)

    def set_members(self, balancers: Collection[str], now: float) -> None:
        """Apply the current members: forget other balancers, add new ones.

        Notes
        -----
        If all balancers are replaced while a caller sends nothing, no packet
        has arrived through any of the new ones.  Without this method its feed
        would have no path back.
        """
        for known in tuple(self._path_by_balancer):
            if known not in balancers:
                self._path_by_balancer.pop(known)
        kept = self._path_by_balancer
        room = self._capacity - len(kept)
        added = [name for name in balancers if name not in kept][:room]
        # New members count as the least recently heard.
        self._path_by_balancer = {name: _Path(now) for name in added} | kept

    def record_loss(self, balancer: str) -> None:
        """Record that a packet sent through a balancer got no ACK."""
        path = self._path_by_balancer.get(balancer)
        if path is not None:
            path.unanswered += 1

    def record_ack(self, balancer: str) -> None:
        """Record that the last packet sent through a balancer got its ACK."""
        path = self._path_by_balancer.get(balancer)
        if path is not None:
            path.unanswered = 0

    def pick(self, tried: Sequence[str] = ()) -> str | None:
        """Choose a balancer.

        Parameters
        ----------
        tried : sequence of str
            Balancers through which this packet was already sent.

        Returns
        -------
        str or None
            The balancer least often tried; among equals the one with the
            fewest losses; among those the most recently heard.  None when no
            balancer is known.

        Notes
        -----
        A link can fail in one direction: packets from the balancer arrive,
        packets to it are lost.  By last-heard time alone, such a balancer
        would cost every notification a retransmission; counting losses avoids
        it after the first.
        """
        found = None
        lowest: tuple[int, int] | None = None
        for balancer, path in reversed(self._path_by_balancer.items()):
            cost = (tried.count(balancer), path.unanswered)
            if lowest is None or cost < lowest:
                found, lowest = balancer, cost
        return found

    def _is_expired(self, balancer: str, now: float) -> bool:
        last_heard_at = self._path_by_balancer[balancer].last_heard_at
        return now - last_heard_at > self._lifetime
