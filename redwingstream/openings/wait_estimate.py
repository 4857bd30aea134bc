"""Estimate of the time that a new flow would wait for a server.

An agent offers to hold a new flow only when its server is expected to take it
soon.  A refused opening packet fails the caller's attempt immediately, whereas
one that waits briefly is served.  A flow that would wait longer than its caller
does is refused immediately.
"""

from collections.abc import Sequence

from redwingstream.openings.caller_timeouts import seconds_waited

MAX_WAIT = 1.2
"""Maximum seconds that a new flow waits.  Its caller gives up 1.4 s after the
first packet; the difference is left for the network and the server's answer."""

REQUEST_SECONDS = 0.04
"""Estimated seconds from the start of a request until the server begins to
answer.  Too high an estimate only lets fewer flows wait."""

BUSY_WAIT_FRACTION = 0.2
"""Maximum wait for a busy server, as a fraction of the route's time-out.  Under
overload every waiting flow waits for the maximum, which delays its answer by
the same time."""

COLD_WAIT_FRACTION = 0.05
"""Maximum wait for a cold server, as a fraction of the route's time-out.  The
few flows that a cold server can handle go to callers that have just arrived and
get their answers in time, not to those whose time-out is near."""


def longest_wait(copies: int, timeout: float, *, is_cold: bool) -> float:
    """Return the maximum seconds that a new flow may still wait.

    Parameters
    ----------
    copies : int
        Number of opening packets that the caller sent earlier for this flow.
    timeout : float
        Seconds after which the caller gives up a request; 0 when not known.
    is_cold : bool
        Whether the flow waits for a cold server.
    """
    remaining = MAX_WAIT - seconds_waited(copies)
    fraction = COLD_WAIT_FRACTION if is_cold else BUSY_WAIT_FRACTION
    return min(remaining, timeout * fraction) if timeout else remaining


def expected_slot_wait(
    waiting: int, slots: int, request_seconds: float
) -> float:
    """Return the expected seconds until a server starts one more request.

    Parameters
    ----------
    waiting : int
        Requests that the server has not begun to answer.
    slots : int
        Number of requests that the server runs at once.
    request_seconds : float
        Seconds that the server takes for one request.
    """
    ahead = waiting - slots + 1
    return max(0, ahead) * request_seconds / slots


def expected_rate_wait(
    opened_at: Sequence[float],
    allowed: int,
    queued: int,
    window: float,
    now: float,
) -> float:
    """Return the seconds until the limit of a cold server allows a new flow.

    Parameters
    ----------
    opened_at : sequence of float
        Times of the flows opened within the last window, oldest first.
    allowed : int
        Maximum number of new flows within a window.
    queued : int
        Number of new flows that wait ahead of this one.
    window : float
        Length of the window in seconds.
    now : float
        Current time in seconds, by the event loop's clock.

    Returns
    -------
    float
        Infinite when no new flows are allowed.
    """
    if allowed <= 0:
        return float('inf')
    rounds, position = divmod(len(opened_at) + queued, allowed)
    if rounds == 0:
        return 0
    reference_at = opened_at[position] if position < len(opened_at) else now
    return max(0, reference_at + rounds * window - now)
