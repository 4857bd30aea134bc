"""Delays for hosts that are admitted again and again.

Each admission moves buckets of a pool, so that a host that keeps restarting
disturbs healthy servers.
"""

from collections import OrderedDict

import attrs

# Number of readmissions, after the first admission, without a delay.
UNDELAYED_READMISSIONS = 2
# Shortest and longest delay, and the time without an admission after which the
# history of a host no longer counts; in seconds.
MIN_DELAY = 2.0
MAX_DELAY = 120.0
HISTORY_TIMEOUT = 600.0
# Maximum number of hosts with a history; the one admitted longest ago is
# evicted.
MAX_HOSTS = 8192


@attrs.define
class _History:
    """Number of readmissions of a host, and when it was last admitted."""

    readmissions: int
    last_admitted_at: float


class ReadmissionDelays:
    """Admission history of each host, and the delay of its next admission.

    Notes
    -----
    A process that starts and dies repeatedly would move the buckets of its pool
    twice each time, and with them the load of healthy servers.  After its first
    admission a host is admitted ``UNDELAYED_READMISSIONS`` times at once; then
    each readmission is delayed twice as long as the one before, counted from
    the last admission.  After ``HISTORY_TIMEOUT`` seconds without an admission
    the history of the host no longer counts.
    """

    def __init__(self) -> None:
        self._history_by_host: OrderedDict[str, _History] = OrderedDict()

    def admission_delay(self, host: str, now: float) -> float:
        """Return the seconds until a host may be admitted; 0 for at once."""
        history = self._history_by_host.get(host)
        if history is None or now - history.last_admitted_at > HISTORY_TIMEOUT:
            return 0
        doublings = history.readmissions - UNDELAYED_READMISSIONS
        if doublings < 0:
            return 0
        delay = min(MIN_DELAY * 2 ** min(doublings, 10), MAX_DELAY)
        return max(0, history.last_admitted_at + delay - now)

    def record_admission(self, host: str, now: float) -> None:
        """Record that a host is admitted now."""
        history = self._history_by_host.get(host)
        if history is None or now - history.last_admitted_at > HISTORY_TIMEOUT:
            self._history_by_host[host] = _History(0, now)
        else:
            history.readmissions += 1
            history.last_admitted_at = now
        self._history_by_host.move_to_end(host)
        if len(self._history_by_host) > MAX_HOSTS:
            self._history_by_host.popitem(last=False)
