"""Budget for retries that the system sends itself.

A time-out under overload causes a retry, which adds to the overload.  Without a
budget, each layer that retries can multiply the load.
"""

# Retries earned by each first attempt of a request.
RETRY_FRACTION = 0.1
# Maximum number of accumulated retries, and the number at the start of a
# process, so that the first lost packet after an idle time can be repeated.
RETRY_RESERVE = 10


class RetryBudget:
    """Token bucket that is filled by first attempts and emptied by retries.

    Parameters
    ----------
    fraction : float, optional
        Retries earned by each first attempt of a request.
    reserve : float, optional
        Maximum number of accumulated retries.
    """

    def __init__(
        self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE
    ) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._earned = reserve

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._earned = min(self._reserve, self._earned + self._fraction)

    def try_retry(self) -> bool:
        """Spend one retry; return False when the budget is exhausted."""
        if self._earned < 1:
            return False
        self._earned -= 1
        return True
