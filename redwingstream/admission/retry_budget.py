"""Budget for the system's own retries.

A timeout under overload makes a retry, the retry adds to the overload: without
a budget the load can multiply with each layer that retries.
"""

# Retries for each fresh request.
RETRY_FRACTION = 0.1
# Retries that may be saved up; also what a process has to start with, so that
# the first lost packet after a quiet time can be repeated.
RETRY_RESERVE = 10


class RetryBudget:
    """Token bucket that fresh requests fill and retries empty.

    Parameters
    ----------
    fraction : float, optional
        Retries earned by each fresh request.
    reserve : float, optional
        Retries that may be saved up.
    """

    def __init__(
        self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE
    ) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._earned = reserve

    def record_request(self) -> None:
        """Count a request sent for the first time."""
        self._earned = min(self._reserve, self._earned + self._fraction)

    def try_retry(self) -> bool:
        """Take a retry out of the budget; False means: give up instead."""
        if self._earned < 1:
            return False
        self._earned -= 1
        return True
