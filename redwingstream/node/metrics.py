"""Counters and gauges of a process, sent to statsd."""

from collections import Counter

import statsd

from redwingstream.endpoints import Endpoint


class Metrics:
    """Named counters and gauges of one process.

    Parameters
    ----------
    prefix : str
        Prefix of all names, ``redwingstream.ROLE.HOST``.
    target : Endpoint, optional
        Endpoint of statsd; without it, nothing is sent.

    Notes
    -----
    Counts are summed in this process and sent once a second by :meth:`flush`,
    so that a packet costs an addition and not a datagram.

    Attributes
    ----------
    total_by_name : Counter
        Totals of the counters since the start.
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
        """Set a gauge."""
        self._gauge_by_name[name] = level

    def flush(self) -> None:
        """Send the increments since the last flush and the current gauges."""
        if self._client is None:
            return
        for name, total in self.total_by_name.items():
            increment = total - self._sent_by_name[name]
            if increment:
                self._client.incr(name, increment)
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
