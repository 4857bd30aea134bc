"""When a refused caller should come back.

Callers refused together that are all told the same delay return together and
are refused together.  Each one therefore gets its own random delay out of an
interval, and the interval is as wide as the crowd needs.
"""

import math
import random

from redwingstream.errors import ResultCode

# Shortest and longest delay that any caller is told, in seconds.
SHORTEST = 1
LONGEST = 120
# Intervals in seconds that do not depend on load, by reason: (from, to).
# A zone out: callers find another server of the pool at once, but not all in
# the same second.  Recovering: a bucket is handed over within a few seconds.
_ZONE_OUT = (1, 5)
_DRAINING = (1, 3)
_RECOVERING = (2, 6)
_LEDGER_FULL = (5, 30)
_BY_DEFAULT = (1, 10)
# Width in seconds without overload, and what it grows by for each request that
# is refused for each one served.
_LEAST_WIDTH = 8
_WIDTH_PER_OVERLOAD = 4


class RetryDelays:
    """Draws the delays.

    Parameters
    ----------
    rng : random.Random
        Where they are drawn from.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def delay(self, reason: ResultCode, overload: float = 0) -> int:
        """Return after how many whole seconds a caller should come back.

        Parameters
        ----------
        reason : ResultCode
            Why it was refused.
        overload : float, optional
            Refused requests for each one served, lately; the interval grows
            in proportion.
        """
        earliest, latest = _interval(reason, overload)
        return self._rng.randint(earliest, latest)


def _interval(reason: ResultCode, overload: float) -> tuple[int, int]:
    """Return the shortest and longest delay for a reason."""
    match reason:
        case ResultCode.OVERLOADED:
            return (SHORTEST, _latest_for(overload))
        case ResultCode.ZONE_OUT:
            earliest, latest = _ZONE_OUT
        case ResultCode.DRAINING:
            earliest, latest = _DRAINING
        case ResultCode.RECOVERING:
            earliest, latest = _RECOVERING
        case ResultCode.LEDGER_FULL:
            earliest, latest = _LEDGER_FULL
        case _:
            earliest, latest = _BY_DEFAULT
    if overload:
        latest = max(latest, _latest_for(overload))
    return (earliest, latest)


def _latest_for(overload: float) -> int:
    width = _LEAST_WIDTH + _WIDTH_PER_OVERLOAD * max(0, overload)
    return min(LONGEST, SHORTEST + math.ceil(width))


class OverloadGauge:
    """How many requests were refused for each one served, lately.

    Parameters
    ----------
    half_life : float, optional
        Seconds after which what happened counts half.
    """

    def __init__(self, half_life: float = 5) -> None:
        self._half_life = half_life
        self._served = float(0)
        self._refused = float(0)
        self._updated_at = -math.inf

    def record_served(self, now: float) -> None:
        """Count a request that was let through."""
        self._fade(now)
        self._served += 1

    def record_refused(self, now: float) -> None:
        """Count a request that was refused."""
        self._fade(now)
        self._refused += 1

    def overload(self, now: float) -> float:
        """Return refused requests for each served one."""
        self._fade(now)
        return self._refused / max(1, self._served)

    def _fade(self, now: float) -> None:
        elapsed = max(0, now - self._updated_at)
        remaining = 0.5 ** (elapsed / self._half_life)  # noqa: WPS432 - half
        self._served *= remaining
        self._refused *= remaining
        self._updated_at = now
