"""How long a new flow would wait for a server, as far as that is known.

An agent offers to hold a new flow only when it can say that its server will
take it soon.  A caller whose first packet is refused has lost that try at once;
one whose packet waits a moment is served.  A flow that would wait longer than
its caller does is refused at once.
"""

from collections.abc import Sequence

from redwingstream.openings.patience import waited_for

MAX_WAIT = 1.2
"""Seconds that a new flow waits at most.  Its caller gives up 1.4 s after the
first packet; the rest is for the way there and for the server's answer."""

RUN_SECONDS = 0.04
"""Seconds that a server works on a request before it begins to answer.  Too
long a guess only lets fewer wait."""

BUSY_WAIT_FRACTION = 0.2
"""Share of a route's time-out that a new flow waits at most for a busy server.
Where more comes than the servers run, all that wait do so for as long as they
may, and answers are late by it."""

COLD_SHARE = 0.05
"""The same for a cold server.  Its few places go to callers that have just come
and get their answers in time, not to those for which it is late already."""


def longest_wait(copies: int, timeout: float, *, is_cold: bool) -> float:
    """Return the seconds that a caller still waits for a new flow.

    Parameters
    ----------
    copies : int
        How many packets it has sent before this one.
    timeout : float
        Seconds after which it gives a request up; 0 when that is not known.
    is_cold : bool
        Whether it waits for a server that is cold.
    """
    by_copy = MAX_WAIT - waited_for(copies)
    share = COLD_SHARE if is_cold else BUSY_WAIT_FRACTION
    return min(by_copy, timeout * share) if timeout else by_copy


def wait_for_slot(waiting: int, slots: int, run: float) -> float:
    """Return the expected seconds until a server begins with one more request.

    Parameters
    ----------
    waiting : int
        Requests that it has not begun to answer.
    slots : int
        Requests that it runs at once.
    run : float
        Seconds that it works on one.
    """
    ahead = waiting - slots + 1
    return max(0, ahead) * run / slots


def wait_for_pace(
    opened_at: Sequence[float],
    allowed: int,
    queued: int,
    window: float,
    now: float,
) -> float:
    """Return the seconds until a cold server may be given one more new flow.

    Parameters
    ----------
    opened_at : sequence of float
        When it was given those of the last window, oldest first.
    allowed : int
        How many it may be given within a window.
    queued : int
        How many wait before this one.
    window : float
        Seconds of the window.
    now : float
        The time.

    Returns
    -------
    float
        Infinite when it may be given none.
    """
    if allowed <= 0:
        return float('inf')
    rounds, place = divmod(len(opened_at) + queued, allowed)
    if rounds == 0:
        return 0
    before = opened_at[place] if place < len(opened_at) else now
    return max(0, before + rounds * window - now)
