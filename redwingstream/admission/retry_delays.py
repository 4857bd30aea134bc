"""Delays after which refused callers should retry.

Callers that are refused at the same time and told the same delay retry at the
same time and are refused again.  Each one therefore gets a random delay out of
an interval, which is wider the more callers are refused.
"""

import math
import random

from redwingstream.errors import ResultCode

# Minimum and maximum delay that a caller is told, in seconds.
MIN_DELAY = 1
MAX_DELAY = 120
# Intervals in seconds that do not depend on load, by reason: (minimum,
# maximum).  Zone out: callers find another server of the pool at once, but must
# not all retry in the same second.  Recovering: a bucket is handed over within
# a few seconds.
_ZONE_OUT = (1, 5)
_DRAINING = (1, 3)
_RECOVERING = (2, 6)
_LEDGER_FULL = (5, 30)
_DEFAULT_INTERVAL = (1, 10)
# Width of the interval in seconds without overload, and its growth for each
# refused request per served request.
_MIN_WIDTH = 8
_WIDTH_PER_OVERLOAD = 4


class RetryDelays:
    """Draws random retry delays.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for the delays.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def delay(self, reason: ResultCode, overload: float = 0) -> int:
        """Return after how many whole seconds a caller should retry.

        Parameters
        ----------
        reason : ResultCode
            Why the caller was refused.
        overload : float, optional
            Recent number of refused requests per served request; the interval
            grows in proportion.
        """
        earliest, latest = _interval(reason, overload)
        return self._rng.randint(earliest, latest)


def _interval(reason: ResultCode, overload: float) -> tuple[int, int]:
    """Return the minimum and maximum delay in seconds for a reason."""
    match reason:
        case ResultCode.OVERLOADED:
            return (MIN_DELAY, _latest_for(overload))
        case ResultCode.ZONE_OUT:
            earliest, latest = _ZONE_OUT
        case ResultCode.DRAINING:
            earliest, latest = _DRAINING
        case ResultCode.RECOVERING:
            earliest, latest = _RECOVERING
        case ResultCode.LEDGER_FULL:
            earliest, latest = _LEDGER_FULL
        case _:
            earliest, latest = _DEFAULT_INTERVAL
    if overload:
        latest = max(latest, _latest_for(overload))
    return (earliest, latest)


def _latest_for(overload: float) -> int:
    width = _MIN_WIDTH + _WIDTH_PER_OVERLOAD * max(0, overload)
    return min(MAX_DELAY, MIN_DELAY + math.ceil(width))


class OverloadGauge:
    """Recent ratio of refused to served requests, with exponential decay.

    Parameters
    ----------
    half_life : float, optional
        Seconds after which a request counts half.
    """

    def __init__(self, half_life: float = 5) -> None:
        self._half_life = half_life
        self._served = float(0)
        self._refused = float(0)
        self._updated_at = -math.inf

    def record_served(self, now: float) -> None:
        """Record a request that was admitted."""
        self._decay(now)
        self._served += 1

    def record_refused(self, now: float) -> None:
        """Record a request that was refused."""
        self._decay(now)
        self._refused += 1

    def overload(self, now: float) -> float:
        """Return the number of refused requests per served request."""
        self._decay(now)
        return self._refused / max(1, self._served)

    def _decay(self, now: float) -> None:
        elapsed = max(0, now - self._updated_at)
        remaining = 0.5 ** (elapsed / self._half_life)  # noqa: WPS432 - half
        self._served *= remaining
        self._refused *= remaining
        self._updated_at = now
