"""Counts what a process does and sends it on by statsd."""

from collections import Counter

import statsd

from redwingstream.endpoints import Endpoint


class Metrics:
    """Named counters of one process.

    Parameters
    ----------
    prefix : str
        ``redwingstream.ROLE.HOST``.
    target : Endpoint, optional
        Where statsd takes datagrams; counts stay in this process when absent.

    Notes
    -----
    Counts are summed here and sent once a second by :meth:`flush`, so that a
    packet costs an addition and not a datagram.
    """

    def __init__(self, prefix: str, target: Endpoint | None) -> None:
        self.total_by_name: Counter[str] = Counter()
        self._sent_by_name: Counter[str] = Counter()
        self._gauge_by_name: dict[str, float] = {}
        self._client = _make_client(prefix, target)

    def count(self, name: str, times: int = 1) -> None:
        """Add to a counter."""
        self.total_by_name[name] += times

    def gauge(self, name: str, level: float) -> None:
        """Set a level."""
        self._gauge_by_name[name] = level

    def flush(self) -> None:
        """Send what has been counted since the last flush."""
        if self._client is None:
            return
        for name, total in self.total_by_name.items():
            grown = total - self._sent_by_name[name]
            if grown:
                self._client.incr(name, grown)
        for name, level in self._gauge_by_name.items():
            self._client.gauge(name, level)
        self._sent_by_name = Counter(self.total_by_name)


def _make_client(
    prefix: str, target: Endpoint | None
) -> statsd.StatsClient | None:
    if target is None:
        return None
    is_v6 = ':' in target.host
    return statsd.StatsClient(
        target.host, target.port, prefix=prefix, ipv6=is_v6
    )
