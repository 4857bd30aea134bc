"""How long a new flow may wait at an agent, and when it counts as late.

An agent lets a new flow wait only when its server is expected to take it soon.
A caller whose opening packet is refused tries again at once and has used up its
tries within milliseconds, whereas one that waits is served.  A flow that would
wait longer than its caller does is refused immediately.
"""

import attrs

from redwingstream.openings.caller_timeouts import seconds_waited

MAX_WAIT = 1.2
"""Maximum seconds that a new flow waits.  Its caller gives up 1.4 s after the
first packet; the difference is left for the network and the server's answer."""

BUSY_WAIT_FRACTION = 0.2
"""Maximum wait for a busy server, as a fraction of the route's time-out.  Under
overload every waiting flow waits for the maximum, which delays its answer by
the same time."""

COLD_WAIT_FRACTION = 0.7
"""Maximum wait for a cold server, as a fraction of the route's time-out.  How
long a server stays cold is known; the rest is left for the requests that
gather until then."""

UNKNOWN_TARGET_FRACTION = 0.05
"""Maximum wait for a cold server, as a fraction of the route's time-out, if the
route has no target.  Late flows could not be told from others then and would
take their places."""

LATE_FRACTION = 0.5
"""Fraction of a route's target after which a waiting flow is late.  The rest is
left for the server's answer."""


@attrs.frozen
class CallerLimits:
    """What a route's callers expect.

    Parameters
    ----------
    timeout : float
        Seconds after which a caller gives up a request; 0 when not known.
    target : float
        Seconds within which a request is to be answered; 0 when not known.
    """

    timeout: float = 0
    target: float = 0

    def late_after(self, copies: int) -> float:
        """Return the seconds of further wait after which a flow is late.

        Parameters
        ----------
        copies : int
            Number of opening packets that the caller sent earlier.

        Returns
        -------
        float
            Negative when the flow is late already; infinite when the target is
            not known.
        """
        if not self.target:
            return float('inf')
        return self.target * LATE_FRACTION - seconds_waited(copies)

    def longest_wait(self, copies: int, *, is_cold: bool) -> float:
        """Return the maximum seconds that a new flow may still wait.

        Parameters
        ----------
        copies : int
            Number of opening packets that the caller sent earlier.
        is_cold : bool
            Whether the flow waits for a cold server.
        """
        remaining = MAX_WAIT - seconds_waited(copies)
        if not self.timeout:
            return remaining
        return min(remaining, self._fraction_of_timeout(is_cold=is_cold))

    def acceptable_wait(self, copies: int, *, is_cold: bool) -> float:
        """Return the expected wait up to which a flow is let wait.

        It may exceed :meth:`longest_wait` while a server is cold: the caller
        is refused before it gives up, tries again at once, and waits on.
        """
        if is_cold and self.timeout and self.target:
            return self._fraction_of_timeout(is_cold=True)
        return self.longest_wait(copies, is_cold=is_cold)

    def _fraction_of_timeout(self, *, is_cold: bool) -> float:
        if not is_cold:
            return self.timeout * BUSY_WAIT_FRACTION
        if not self.target:
            return self.timeout * UNKNOWN_TARGET_FRACTION
        return self.timeout * COLD_WAIT_FRACTION
