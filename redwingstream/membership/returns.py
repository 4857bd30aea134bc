"""How often a host may return, since each return moves buckets."""

from collections import OrderedDict

import attrs

# Returns after the first admission that need not wait.
FREE_RETURNS = 2
# Shortest and longest wait, and the quiet time that forgets the past, in
# seconds.
FIRST_WAIT = 2.0
LONGEST_WAIT = 120.0
QUIET_TIME = 600.0
# Hosts whose history is kept at most.
MAX_HOSTS = 8192


@attrs.define
class _History:
    returns: int
    last_at: float


class Returns:
    """Admissions of each host, and how long its next one has to wait.

    Notes
    -----
    A process that starts and dies again and again would move the buckets of
    its pool twice each time, and with them the load of healthy servers.  A
    host is admitted at once ``FREE_RETURNS`` times after its first admission;
    then each return waits twice as long as the one before, from its last
    admission on.  ``QUIET_TIME`` seconds without a return forget the past.
    """

    def __init__(self) -> None:
        self._history_by_host: OrderedDict[str, _History] = OrderedDict()

    def wait_of(self, host: str, now: float) -> float:
        """Return the seconds until a host may be admitted; 0 for now."""
        history = self._history_by_host.get(host)
        if history is None or now - history.last_at > QUIET_TIME:
            return 0
        doublings = history.returns - FREE_RETURNS
        if doublings < 0:
            return 0
        wait = min(FIRST_WAIT * 2 ** min(doublings, 10), LONGEST_WAIT)
        return max(0, history.last_at + wait - now)

    def note(self, host: str, now: float) -> None:
        """Remember that a host is admitted now."""
        history = self._history_by_host.get(host)
        if history is None or now - history.last_at > QUIET_TIME:
            self._history_by_host[host] = _History(0, now)
        else:
            history.returns += 1
            history.last_at = now
        self._history_by_host.move_to_end(host)
        if len(self._history_by_host) > MAX_HOSTS:
            self._history_by_host.popitem(last=False)
